// Selects entry daemons and watchers in fleets of VMs of unequal size. A query
// goes to every shard, so entry daemons need connections to all servers, which
// accept few; the daemons with the most capacity answer soonest.
#include "gateway/fleet/directory.h"

#include "core/hash_func.h"
#include "gateway/gateway_const.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace camphorfield {

namespace {

constexpr std::uint32_t kDefaultCapacity = 1000; ///< Per mille of a core.
/** Time for each member over which the first reads of the store are spread, so
 * that most of a starting fleet gets the tables from those that were first. */
constexpr Duration kFirstReadSpread = std::chrono::milliseconds(20);

/** Order of daemons that is the same on all of them. */
std::uint64_t
RankOf(DaemonId aId)
{
  return HashPair(aId.value_, 1);
}

std::uint32_t
CapacityOf(const MemberRecord& aMember)
{
  return aMember.capacity_ > 0 ? aMember.capacity_ : kDefaultCapacity;
}

/** Processor time in use by all members together, per mille of a core. */
double
SumLoad(const std::vector<MemberRecord>& aMembers)
{
  double sum = 0.0;
  for (const MemberRecord& member : aMembers) {
    sum += member.load_ / 1000.0 * CapacityOf(member);
  }
  return sum;
}

} // namespace

std::size_t
MaxEntryDaemons(const GatewayState& aState)
{
  double fewest = 0.0;
  for (const GatewayServiceState& service : aState.services_) {
    const double share = kConnectionShare * service.maxConnections_;
    if (service.configured_ && (fewest == 0.0 || share < fewest)) {
      fewest = share;
    }
  }
  if (fewest == 0.0) {
    return kMaxDirectoryEntries;
  }
  const auto count = static_cast<std::size_t>(fewest / kConnectionsPerDaemon);
  return std::clamp<std::size_t>(count, 1, kMaxDirectoryEntries);
}

std::vector<const MemberRecord*>
ChooseEntryDaemons(const std::vector<MemberRecord>& aMembers,
                   std::size_t aLimit,
                   EntryScope aScope)
{
  std::vector<const MemberRecord*> chosen;
  std::set<std::string> domains;
  for (const MemberRecord& member : aMembers) {
    if (member.state_ == MemberState::Alive &&
        (member.ready_ || aScope == EntryScope::Alive) &&
        !member.callerAddress_.empty()) {
      chosen.push_back(&member);
      domains.insert(member.failureDomain_);
    }
  }
  std::sort(chosen.begin(),
            chosen.end(),
            [](const MemberRecord* aLeft, const MemberRecord* aRight) {
              return CapacityOf(*aLeft) != CapacityOf(*aRight)
                       ? CapacityOf(*aLeft) > CapacityOf(*aRight)
                       : RankOf(aLeft->id_) < RankOf(aRight->id_);
            });
  const std::size_t minCount = kEntryDaemonsPerDomain * domains.size();
  const double needed = kEntryCapacityFactor * SumLoad(aMembers);
  const std::size_t maxCount = std::min(chosen.size(), aLimit);
  std::size_t count = 0;
  double capacity = 0.0;
  while (count < maxCount && (count < minCount || capacity < needed)) {
    capacity += CapacityOf(*chosen[count++]);
  }
  chosen.resize(count);
  return chosen;
}

EntriesAnswer
ListEntryDaemons(const std::vector<MemberRecord>& aMembers, std::size_t aLimit)
{
  EntriesAnswer answer;
  answer.keepFor_ = kDirectoryTtl;
  for (const MemberRecord* member :
       ChooseEntryDaemons(aMembers, aLimit, EntryScope::Ready)) {
    answer.entries_.push_back(
      { member->callerAddress_, member->failureDomain_, member->name_ });
  }
  if (answer.entries_.empty()) {
    answer.code_ = ResultCode::NotReady;
  }
  return answer;
}

std::vector<const MemberRecord*>
ChooseWatchers(const std::vector<MemberRecord>& aMembers)
{
  std::map<std::string, std::vector<const MemberRecord*>> domains;
  for (const MemberRecord& member : aMembers) {
    if (member.state_ == MemberState::Alive) {
      domains[member.failureDomain_].push_back(&member);
    }
  }
  const bool all = aMembers.size() <= kMaxFleetAllWatching;
  const std::size_t perDomain =
    domains.empty() ? 1 : (kMinWatchers + domains.size() - 1) / domains.size();
  std::vector<const MemberRecord*> watchers;
  for (auto& [domain, members] : domains) {
    std::sort(members.begin(),
              members.end(),
              [](const MemberRecord* aLeft, const MemberRecord* aRight) {
                return RankOf(aLeft->id_) < RankOf(aRight->id_);
              });
    const std::size_t count =
      all ? members.size() : std::min(members.size(), perDomain);
    watchers.insert(watchers.end(),
                    members.begin(),
                    members.begin() + static_cast<std::ptrdiff_t>(count));
  }
  return watchers;
}

std::size_t
FallbackPlace(DaemonId aSelf, const std::vector<MemberRecord>& aMembers)
{
  std::set<DaemonId> watchers;
  for (const MemberRecord* watcher : ChooseWatchers(aMembers)) {
    watchers.insert(watcher->id_);
  }
  return static_cast<std::size_t>(std::count_if(
    aMembers.begin(), aMembers.end(), [&](const MemberRecord& aMember) {
      return aMember.state_ == MemberState::Alive &&
             watchers.count(aMember.id_) == 0 &&
             RankOf(aMember.id_) < RankOf(aSelf);
    }));
}

Duration
FirstReadDelay(DaemonId aSelf, std::size_t aMembers)
{
  if (aMembers <= kMaxFleetAllWatching) {
    return Duration::zero();
  }
  const double place =
    static_cast<double>(RankOf(aSelf)) /
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return Duration(static_cast<std::int64_t>(
    place * static_cast<double>(Duration(kFirstReadSpread).count()) *
    static_cast<double>(aMembers)));
}

std::size_t
CountAlive(const std::vector<MemberRecord>& aMembers)
{
  return static_cast<std::size_t>(
    std::count_if(aMembers.begin(), aMembers.end(), [](const auto& aMember) {
      return aMember.state_ == MemberState::Alive;
    }));
}

} // namespace camphorfield
