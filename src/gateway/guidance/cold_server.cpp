// Keeps all daemons together within the rate that a cold server takes, when
// many daemons learn of the server at the same moment, hold callers' requests
// for it, restart, are partitioned, or see different members.
//
// Time is divided into slots of 1 / rate. Each slot belongs to one entry
// daemon, the one with the highest hash of daemon and slot, and allows it one
// request to each server of that rate. An unused slot lapses, so unused ones of
// many daemons never add up. A daemon that is missing in a view costs at most
// its own part of the slots, since all others keep theirs.
//
// A slot that begins at T is used before T + hold, so sends of any one second
// belong to slots that begin within 1 s + hold: at most rate x (1 + hold) + 1.
// What the bound allows above that covers clocks that differ, and the time that
// requests spend on the way.
#include "gateway/guidance/cold_server.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace camphorfield {

namespace {

constexpr double kMicros = 1e6; ///< In a second.
/** Part of the tolerance of the bound that is spent on holding slots. The rest
 * tolerates clocks that differ by 0.13 s at 100 requests/s and the usual bounds
 * of 1.5 and 5, and by 0.3 s at 10. */
constexpr double kHoldShare = 0.5;
/** Slots are not held longer: requests are answered by then or late. */
constexpr double kMaxHoldSeconds = 0.3;
/** Slots are known for this time ahead, ten times the interval of the calls. */
constexpr double kPlanSeconds = 1.0;
/** Beyond that time, until so many are known ahead: rejected callers are told
 * one each. */
constexpr std::size_t kMinSlotsAhead = 8;
/** Further slots examined for it, in multiples of the number of owners: a
 * daemon owns one in each of them on average. */
constexpr std::int64_t kMaxRounds = 16;

/** Start of a slot in Unix time. */
std::int64_t
SlotStart(const ColdRate& aRate, std::int64_t aSlot)
{
  return static_cast<std::int64_t>(
    std::ceil(static_cast<double>(aSlot) / aRate.perSecond_ * kMicros));
}

bool
IsOwner(const ColdPlan& aPlan, std::int64_t aSlot)
{
  const auto slot = static_cast<std::uint64_t>(aSlot);
  const std::uint64_t own = HashPair(aPlan.self_.value_, slot);
  return std::none_of(
    aPlan.owners_.begin(), aPlan.owners_.end(), [&](DaemonId aOther) {
      const std::uint64_t other = HashPair(aOther.value_, slot);
      return other > own || (other == own && aOther > aPlan.self_);
    });
}

void
Extend(const ColdPlan& aPlan, ColdSlots& aSlots, std::int64_t aUnix)
{
  const ColdRate& rate = aSlots.rate_;
  while (!aSlots.own_.empty() &&
         SlotStart(rate, aSlots.own_.front()) + rate.hold_.count() <= aUnix) {
    aSlots.own_.pop_front();
  }
  // Slots that have begun before this daemon's view are another one's.
  const auto next = static_cast<std::int64_t>(
    std::ceil(static_cast<double>(aUnix) * rate.perSecond_ / kMicros));
  aSlots.scannedTo_ = std::max(aSlots.scannedTo_, next);
  const auto planned =
    next + static_cast<std::int64_t>(rate.perSecond_ * kPlanSeconds);
  const std::int64_t last =
    planned + kMaxRounds * static_cast<std::int64_t>(aPlan.owners_.size());
  const auto known = [&aSlots, next]() {
    return static_cast<std::size_t>(
      aSlots.own_.end() -
      std::lower_bound(aSlots.own_.begin(), aSlots.own_.end(), next));
  };
  std::size_t ahead = known();
  while (aSlots.scannedTo_ < planned ||
         (ahead < kMinSlotsAhead && aSlots.scannedTo_ < last)) {
    if (IsOwner(aPlan, aSlots.scannedTo_)) {
      aSlots.own_.push_back(aSlots.scannedTo_);
      ++ahead;
    }
    ++aSlots.scannedTo_;
  }
}

/** First slot that is not used and hasn't lapsed. */
std::deque<std::int64_t>::const_iterator
FirstUsable(const ColdSlots& aSlots,
            const ColdPhase& aPhase,
            std::int64_t aUnix)
{
  auto first =
    std::upper_bound(aSlots.own_.begin(), aSlots.own_.end(), aPhase.lastSlot_);
  while (first != aSlots.own_.end() &&
         SlotStart(aSlots.rate_, *first) + aSlots.rate_.hold_.count() <=
           aUnix) {
    ++first;
  }
  return first;
}

std::int64_t
UnixTime(const ColdPlan& aPlan, TimePoint aNow)
{
  return aNow.time_since_epoch().count() + aPlan.clockOffset_;
}

} // namespace

ColdRate
MakeColdRate(double aPerSecond, double aOverage, double aSlack)
{
  ColdRate rate;
  const double most = aPerSecond * aOverage + aSlack - 1.0;
  rate.perSecond_ = std::max(0.0, std::min(aPerSecond, most));
  if (rate.perSecond_ > 0.0) {
    const double spare = most / rate.perSecond_ - 1.0;
    rate.hold_ = Duration(static_cast<std::int64_t>(
      std::min(spare * kHoldShare, kMaxHoldSeconds) * kMicros));
  }
  return rate;
}

// The slots known so far were found for other owners.
void
SetColdOwners(ColdPlan& aPlan,
              DaemonId aSelf,
              const std::vector<DaemonId>& aOwners)
{
  if (aPlan.self_ == aSelf && aPlan.owners_ == aOwners) {
    return;
  }
  aPlan.self_ = aSelf;
  aPlan.owners_ = aOwners;
  for (auto& [perSecond, slots] : aPlan.slots_) {
    slots.own_.clear();
    slots.scannedTo_ = 0;
  }
}

void
ExtendColdPlan(ColdPlan& aPlan, const Now& aNow)
{
  aPlan.clockOffset_ = aNow.unixMicros_ - aNow.mono_.time_since_epoch().count();
  if (aPlan.owners_.empty()) {
    return;
  }
  for (auto& [perSecond, slots] : aPlan.slots_) {
    if (slots.rate_.perSecond_ > 0.0) {
      Extend(aPlan, slots, aNow.unixMicros_);
    }
  }
}

Duration
TimeUntilColdSlot(const ColdPlan& aPlan,
                  const ColdPhase& aPhase,
                  double aPerSecond,
                  std::size_t aAhead,
                  TimePoint aNow)
{
  const auto found = aPlan.slots_.find(aPerSecond);
  if (found == aPlan.slots_.end()) {
    return Duration::max();
  }
  const ColdSlots& slots = found->second;
  const std::int64_t now = UnixTime(aPlan, aNow);
  const auto first = FirstUsable(slots, aPhase, now);
  const auto left = static_cast<std::size_t>(slots.own_.end() - first);
  if (left == 0) {
    return Duration::max();
  }
  const std::size_t index = std::min(aAhead, left - 1);
  const std::int64_t start =
    SlotStart(slots.rate_, first[static_cast<std::ptrdiff_t>(index)]);
  // Slots beyond the known ones come at the mean interval.
  const double further = static_cast<double>(aAhead - index) *
                         static_cast<double>(aPlan.owners_.size()) /
                         slots.rate_.perSecond_ * kMicros;
  return Duration(std::max<std::int64_t>(start - now, 0) +
                  static_cast<std::int64_t>(further));
}

void
UseColdSlot(const ColdPlan& aPlan,
            ColdPhase& aPhase,
            double aPerSecond,
            TimePoint aNow)
{
  const auto found = aPlan.slots_.find(aPerSecond);
  if (found == aPlan.slots_.end()) {
    return;
  }
  const auto first = FirstUsable(found->second, aPhase, UnixTime(aPlan, aNow));
  if (first != found->second.own_.end()) {
    aPhase.lastSlot_ = *first;
  }
}

} // namespace camphorfield
