// Keeps all daemons together within the request rate that a server in need has
// named. Each daemon uses an equal part of it, since callers spread over the
// entry daemons evenly, so that nothing has to be agreed on.
#include "gateway/guidance/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace camphorfield {

namespace {

/** Least rate of all daemons together: an answer is the only way to learn that
 * a server that has asked for nothing takes requests again. */
constexpr double kMinPerSecond = 0.1;
/** Unused requests of this time may be sent together. */
constexpr double kBurstSeconds = 0.5;

double
OwnRate(const RateLimit& aLimit, double aShare)
{
  return std::max(*aLimit.perSecond_, kMinPerSecond) * aShare;
}

double
TokensAt(const RateLimit& aLimit, double aShare, TimePoint aNow)
{
  const double rate = OwnRate(aLimit, aShare);
  const std::chrono::duration<double> passed = aNow - aLimit.tokensAt_;
  const double most = std::max(rate * kBurstSeconds, 1.0);
  return std::min(aLimit.tokens_ + rate * std::max(passed.count(), 0.0), most);
}

} // namespace

// The first token comes after a random part of the interval: daemons that learn
// of the limit together must not send together.
void
UpdateRateLimit(RateLimit& aLimit,
                std::optional<double> aPerSecond,
                double aShare,
                TimePoint aNow,
                Rng& aRng)
{
  if (!aPerSecond) {
    aLimit = RateLimit{};
    return;
  }
  constexpr double kParts = 1000.0;
  aLimit.tokens_ = aLimit.perSecond_
                     ? TokensAt(aLimit, aShare, aNow)
                     : static_cast<double>(aRng() % 1000) / kParts;
  aLimit.tokensAt_ = aNow;
  aLimit.perSecond_ = aPerSecond;
}

Duration
TimeUntilAllowed(const RateLimit& aLimit,
                 double aShare,
                 std::size_t aAhead,
                 TimePoint aNow)
{
  if (!aLimit.perSecond_) {
    return Duration::zero();
  }
  const double missing =
    static_cast<double>(aAhead) + 1.0 - TokensAt(aLimit, aShare, aNow);
  if (missing <= 0.0) {
    return Duration::zero();
  }
  const double seconds = missing / OwnRate(aLimit, aShare);
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

void
CountAgainstLimit(RateLimit& aLimit, double aShare, TimePoint aNow)
{
  if (!aLimit.perSecond_) {
    return;
  }
  aLimit.tokens_ = TokensAt(aLimit, aShare, aNow) - 1.0;
  aLimit.tokensAt_ = aNow;
}

} // namespace camphorfield
