// One organisation that sends several times its usual rate, or many at once,
// while the window of a route is full.
//
// Use is measured by admitted requests that decay within about a second, not by
// requests in flight: a window can be smaller than the number of organisations.
// Those that had less than their part are admitted a bit beyond the window;
// this room is taken from those above their part, but only while there is such
// need, so that no capacity is left unused.
#include "gateway/admission/fair_admission.h"

#include <algorithm>
#include <cmath>

namespace camphorfield {

namespace {

/** Requests are admitted beyond the window up to this factor, for organisations
 * below their part. */
constexpr double kEntitledFactor = 1.1;
/** Time for which others keep away after a request in need. */
constexpr Duration kNeedTime = std::chrono::milliseconds(300);
constexpr double kUseHalfLifeSeconds = 1.0;
/** Requests beyond its part that are no sign of a surge: those of a small
 * organisation come in ones and twos. */
constexpr double kSpareRequests = 2.0;
/** An organisation without requests for this time has no part. */
constexpr Duration kActiveTime = std::chrono::seconds(2);
/** The sums are as old as this at most: each costs a pass over all active
 * organisations. */
constexpr Duration kSumInterval = std::chrono::milliseconds(50);
/** Longest time by which callers are spread. */
constexpr Duration kMaxSpread = std::chrono::seconds(2);

double
Decay(Duration aTime)
{
  return std::exp2(-std::chrono::duration<double>(aTime).count() /
                   kUseHalfLifeSeconds);
}

double
UsedAt(const FairUser& aUser, TimePoint aNow)
{
  return aUser.used_ * Decay(aNow - aUser.usedAt_);
}

double
WeightOf(const FairAdmission& aFair, const FairUser& aUser)
{
  return aUser.weight_ > 0.0 ? aUser.weight_ : aFair.defaultWeight_;
}

void
Sum(FairAdmission& aFair, TimePoint aNow)
{
  if (aNow < aFair.summedAt_ + kSumInterval) {
    return;
  }
  aFair.summedAt_ = aNow;
  std::erase_if(aFair.users_, [aNow](const auto& aItem) {
    return aItem.second.arrivedAt_ + kActiveTime < aNow;
  });
  double weights = 0.0;
  double weighted = 0.0;
  for (const auto& [organisation, user] : aFair.users_) {
    weights += user.weight_;
    weighted += user.weight_ > 0.0 ? 1.0 : 0.0;
  }
  // One without a rate counts as an average one.
  aFair.defaultWeight_ = weighted > 0.0 ? weights / weighted : 1.0;
  aFair.weights_.fill(0.0);
  aFair.used_.fill(0.0);
  for (const auto& [organisation, user] : aFair.users_) {
    aFair.weights_[user.class_] += WeightOf(aFair, user);
    aFair.used_[user.class_] += UsedAt(user, aNow);
  }
}

FairUser&
Touch(FairAdmission& aFair, const FairSender& aSender, TimePoint aNow)
{
  FairUser& user = aFair.users_[aSender.organisation_];
  user.weight_ = aSender.weight_;
  user.class_ = FairClass(aSender.priority_);
  user.arrivedAt_ = aNow;
  return user;
}

/** Whether a more urgent request needed room a moment ago. */
bool
IsMoreUrgentNeeded(const FairAdmission& aFair,
                   std::size_t aClass,
                   TimePoint aNow)
{
  return std::any_of(
    aFair.needAt_.begin(),
    aFair.needAt_.begin() + static_cast<std::ptrdiff_t>(aClass),
    [aNow](TimePoint aNeed) { return aNow < aNeed + kNeedTime; });
}

} // namespace

std::size_t
FairClass(std::uint32_t aPriority)
{
  return std::min<std::size_t>(aPriority, kFairClasses - 1);
}

FairVerdict
IsFairlyAdmitted(FairAdmission& aFair,
                 const FairSender& aSender,
                 double aInFlight,
                 double aWindow,
                 TimePoint aNow)
{
  FairUser& user = Touch(aFair, aSender, aNow);
  Sum(aFair, aNow);
  const std::size_t own = user.class_;
  const auto place = aFair.inFlight_.begin() + static_cast<std::ptrdiff_t>(own);
  const auto isUsed = [](std::uint32_t aCount) { return aCount > 0; };
  const bool moreUrgent = std::any_of(aFair.inFlight_.begin(), place, isUsed);
  const bool lessUrgent = std::any_of(place + 1, aFair.inFlight_.end(), isUsed);
  const double part = aFair.used_[own] * WeightOf(aFair, user) /
                      std::max(aFair.weights_[own], 1e-9);
  FairVerdict verdict;
  verdict.entitled_ = lessUrgent || UsedAt(user, aNow) < part + kSpareRequests;
  double limit = aWindow;
  if (IsMoreUrgentNeeded(aFair, own, aNow)) {
    verdict.entitled_ = false;
    limit = aWindow * kOthersFactor;
  } else if (verdict.entitled_ && !moreUrgent) {
    limit = std::max(aWindow * kEntitledFactor, aWindow + 1.0);
  } else if (!verdict.entitled_ && aNow < aFair.needAt_[own] + kNeedTime) {
    limit = aWindow * kOthersFactor;
  }
  if (verdict.entitled_ && aInFlight >= aWindow) {
    aFair.needAt_[own] = aNow;
  }
  verdict.admitted_ = aInFlight < std::max(limit, 1.0);
  return verdict;
}

void
CountFairUse(FairAdmission& aFair, const FairSender& aSender, TimePoint aNow)
{
  FairUser& user = Touch(aFair, aSender, aNow);
  user.used_ = UsedAt(user, aNow) + 1.0;
  user.usedAt_ = aNow;
}

// Entitled callers return first. The others follow one after the other, at the
// rate at which requests are admitted.
Duration
ChooseFairReturn(FairAdmission& aFair,
                 const FairVerdict& aVerdict,
                 Duration aBase,
                 TimePoint aNow,
                 Rng& aRng)
{
  const auto jitter = static_cast<std::int64_t>(
    aRng() % static_cast<std::uint64_t>(
               std::max<std::int64_t>(aBase.count() / 4, std::int64_t{ 1 })));
  if (aVerdict.entitled_) {
    return aBase + Duration(jitter);
  }
  double used = 0.0;
  for (const double of : aFair.used_) {
    used += of;
  }
  // The decaying sum of a constant rate is the rate times this.
  const double meanSeconds = kUseHalfLifeSeconds / std::log(2.0);
  const double perSecond = std::max(used / meanSeconds, 1.0);
  aFair.nextReturn_ =
    std::max(aFair.nextReturn_, aNow + aBase) +
    std::chrono::ceil<Duration>(std::chrono::duration<double>(1 / perSecond));
  aFair.nextReturn_ = std::min(aFair.nextReturn_, aNow + aBase + kMaxSpread);
  return aFair.nextReturn_ - aNow + Duration(jitter);
}

} // namespace camphorfield
