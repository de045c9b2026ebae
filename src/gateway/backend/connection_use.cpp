// Connections to servers that spend 6 ms of a slot on each new one, while
// unneeded requests are cancelled by closing theirs, and idle ones expire.
#include "gateway/backend/connection_use.h"

#include "gateway/backend/backend_internal.h"
#include "gateway/backend/cost_placement.h"
#include "gateway/backend/work_estimate.h"

#include <algorithm>
#include <cmath>

namespace camphorfield {

namespace {

constexpr Duration kPeakHalfLife = seconds(3);
/** An idle connection is replaced while the server was used within this time.
 */
constexpr Duration kRecentUse = seconds(10);

} // namespace

bool
IsWorthFinishing(const GatewayState& aState,
                 const Backend& aBackend,
                 const Attempt& aAttempt,
                 TimePoint aNow)
{
  return IsCostMode(aState) && aAttempt.cost_ != nullptr &&
         IsUsable(aBackend) &&
         ExpectedRest(aState, aAttempt, aNow) <
           static_cast<double>(kNewConnectionCost.count());
}

// A server of the own failure domain keeps one connection, so that the first
// request after a quiet time needs no handshake. Others are opened on use.
std::uint32_t
JustifiedConnections(const GatewayState& aState,
                     const Backend& aBackend,
                     std::uint32_t aSpare,
                     TimePoint aNow)
{
  const BackendWork& work = aBackend.work_;
  const double peak = work.peak_ * Decay(aNow - work.peakAt_, kPeakHalfLife);
  const bool recent = work.peak_ > 0.0 && aNow - work.peakAt_ < kRecentUse;
  const std::uint32_t least = recent || IsSameDomain(aState, aBackend) ? 1 : 0;
  const auto used = static_cast<std::uint32_t>(std::lround(peak));
  return std::max(
    { aBackend.inFlight_, std::min(used, aBackend.inFlight_ + aSpare), least });
}

void
RecordUse(Backend& aBackend, TimePoint aNow)
{
  if (aBackend.inFlight_ == 0) {
    return;
  }
  BackendWork& work = aBackend.work_;
  work.peak_ = std::max(work.peak_ * Decay(aNow - work.peakAt_, kPeakHalfLife),
                        static_cast<double>(aBackend.inFlight_));
  work.peakAt_ = aNow;
}

void
RecordWanted(Backend& aBackend, TimePoint aNow)
{
  aBackend.work_.peak_ = std::max(aBackend.work_.peak_, 1.0);
  aBackend.work_.peakAt_ = aNow;
}

} // namespace camphorfield
