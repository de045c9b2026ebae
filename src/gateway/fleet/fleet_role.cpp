// Divides what all daemons share when views of the fleet differ: at the start
// of all machines, after kills, while hundreds of daemons join, in partitions.
//
// Connections: divided by the largest recent number of daemons that may serve.
//
// Slack of the retry budget: a daemon uses its part only after it has been an
// entry daemon, and has seen more than half of the recent fleet, for a whole
// window of the budget. Whatever the former owner of the part, or this daemon
// before a restart, has spent has left the window by then. At most one side of
// a partition has the majority.
#include "gateway/fleet/fleet_role.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** A daemon that is partitioned off or restarts must not take over the
 * connections of the others in this time. */
constexpr Duration kFleetSizeWindow = std::chrono::seconds(15);
/** Fleet size assumed after the start, until the members are known. */
constexpr std::uint32_t kInitialFleetSize = 8;
constexpr Duration kInitialFleetSizePeriod = std::chrono::seconds(5);
/** A starting daemon opens connections once the member list has hardly grown
 * for this time: too many daemons would exceed the servers' connection limits.
 */
constexpr Duration kMembershipSettleTime = std::chrono::milliseconds(400);
/** Until this time after its start, a daemon counts members that are alive but
 * not ready as entry daemons; afterwards only ready ones. */
constexpr Duration kStartupPeriod = std::chrono::seconds(6);
/** Daemons' views of the entry daemons may differ, and callers keep old answers
 * of the directory: up to this factor more daemons may serve at a time. */
constexpr std::uint32_t kEntryViewFactor = 2;
/** A new entry daemon owns no slots of cold servers until the others know of
 * it: gossip reaches all of 600 daemons in 0.2 s (docs/CAPACITY.md). */
constexpr Duration kColdOwnerDelay = std::chrono::seconds(1);
/** An entry daemon that has left the view keeps its slots for this time. */
constexpr Duration kColdOwnerTtl = std::chrono::seconds(3);

std::uint32_t
LargestCount(const std::map<TimePoint, std::uint32_t>& aCounts)
{
  std::uint32_t largest = 1;
  for (const auto& [at, count] : aCounts) {
    largest = std::max(largest, count);
  }
  return largest;
}

/** Drops counts that have left the window, but not the newest. */
void
DropOldCounts(std::map<TimePoint, std::uint32_t>& aCounts, TimePoint aNow)
{
  while (aCounts.size() > 1 &&
         aCounts.begin()->first + kFleetSizeWindow < aNow) {
    aCounts.erase(aCounts.begin());
  }
}

bool
Includes(const std::vector<const MemberRecord*>& aList, DaemonId aId)
{
  return std::any_of(
    aList.begin(), aList.end(), [aId](const MemberRecord* aMember) {
      return aMember->id_ == aId;
    });
}

void
UpdateSlack(FleetRole& aRole,
            bool aEligible,
            Duration aBudgetWindow,
            TimePoint aNow)
{
  if (!aEligible) {
    aRole.slackEarnedSince_ = kNever;
    aRole.slackFraction_ = 0.0;
    return;
  }
  if (aRole.slackEarnedSince_ == kNever) {
    aRole.slackEarnedSince_ = aNow;
  }
  aRole.slackFraction_ = aNow - aRole.slackEarnedSince_ <= aBudgetWindow
                           ? 0.0
                           : 1.0 / LargestCount(aRole.entryDaemonCounts_);
}

// Each slot belongs to one of the entry daemons. Those seen a moment ago count
// too: with more daemons in its view, a daemon owns fewer slots, so views that
// differ lose slots rather than giving them to two daemons.
void
UpdateColdOwners(FleetRole& aRole,
                 const std::vector<const MemberRecord*>& aEntryDaemons,
                 bool aEligible,
                 TimePoint aNow)
{
  for (const MemberRecord* daemon : aEntryDaemons) {
    aRole.entrySeenAt_[daemon->id_] = aNow;
  }
  std::erase_if(aRole.entrySeenAt_, [aNow](const auto& aItem) {
    return aItem.second + kColdOwnerTtl < aNow;
  });
  aRole.coldOwners_.clear();
  if (!aEligible) {
    aRole.coldOwnerSince_ = kNever;
    return;
  }
  aRole.coldOwnerSince_ = std::min(aRole.coldOwnerSince_, aNow);
  if (aNow - aRole.coldOwnerSince_ < kColdOwnerDelay) {
    return;
  }
  for (const auto& [id, seenAt] : aRole.entrySeenAt_) {
    aRole.coldOwners_.push_back(id);
  }
}

} // namespace

FleetRole
MakeFleetRole(TimePoint aNow)
{
  FleetRole role;
  role.startedAt_ = aNow;
  role.grownAt_ = aNow;
  role.connectionShares_ = kInitialFleetSize;
  role.daemonCounts_[aNow + kInitialFleetSizePeriod - kFleetSizeWindow] =
    kInitialFleetSize;
  return role;
}

void
RecordFleetSize(FleetRole& aRole, std::size_t aMembers, TimePoint aNow)
{
  if (HasGrown(aRole.grownTo_, aMembers)) {
    aRole.grownAt_ = aNow;
  }
  aRole.daemonCounts_[aNow] = static_cast<std::uint32_t>(aMembers);
}

void
UpdateFleetRole(FleetRole& aRole,
                DaemonId aSelf,
                const std::vector<MemberRecord>& aMembers,
                std::size_t aMaxEntryDaemons,
                Duration aBudgetWindow,
                TimePoint aNow)
{
  aRole.isWatcher_ = Includes(ChooseWatchers(aMembers), aSelf);
  const auto entryDaemons =
    ChooseEntryDaemons(aMembers, aMaxEntryDaemons, EntryScope::Ready);
  const bool isListed = Includes(entryDaemons, aSelf);
  // While the whole fleet starts, few members are known and ready, and each
  // daemon would count itself as an entry daemon.
  aRole.isEntryDaemon_ =
    aNow >= aRole.startedAt_ + kStartupPeriod
      ? isListed
      : aNow >= aRole.grownAt_ + kMembershipSettleTime &&
          Includes(
            ChooseEntryDaemons(aMembers, aMaxEntryDaemons, EntryScope::Alive),
            aSelf);
  aRole.entryDaemonCounts_[aNow] =
    static_cast<std::uint32_t>(entryDaemons.size());
  DropOldCounts(aRole.daemonCounts_, aNow);
  DropOldCounts(aRole.entryDaemonCounts_, aNow);
  const std::uint32_t entryCount = LargestCount(aRole.entryDaemonCounts_);
  aRole.connectionShares_ =
    std::min(LargestCount(aRole.daemonCounts_), kEntryViewFactor * entryCount);
  aRole.limitShare_ = 1.0 / (aNow < aRole.startedAt_ + kStartupPeriod
                               ? std::max(entryCount, kInitialFleetSize)
                               : entryCount);
  const bool majority = SeesMajority(aRole.size_, CountAlive(aMembers), aNow);
  const bool isEligible = isListed && majority;
  UpdateSlack(aRole, isEligible, aBudgetWindow, aNow);
  aRole.self_ = aSelf;
  UpdateColdOwners(aRole, entryDaemons, isEligible, aNow);
}

} // namespace camphorfield
