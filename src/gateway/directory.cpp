// Selects entry daemons and watchers in fleets of VMs of unequal size. A query
// goes to every shard, so entry daemons need connections to all servers, which
// accept few; the daemons with the most capacity answer soonest.
#include "gateway/directory.h"

#include "core/hash_func.h"
#include "gateway/gateway_const.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <tuple>

namespace camphorfield {

namespace {

constexpr std::uint32_t kDefaultCapacity = 1000; ///< Per mille of a core.

/** Order of members that is the same on all daemons. */
std::uint64_t
RankOf(const MemberRecord& aMember)
{
  return HashPair(aMember.id_.value_, 1);
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

/** Failure domains in which nearly all shards of a query have a server. */
std::set<std::string>
FindServerDomains(const GatewayState& aState, const GatewayRoute& aRoute)
{
  std::map<std::string_view, std::size_t> shardsIn;
  for (const std::string& shard : aRoute.shards_) {
    const auto number = aState.serviceNumber_.find(shard);
    if (number == aState.serviceNumber_.end()) {
      continue;
    }
    std::vector<std::string_view> counted;
    for (const std::uint64_t key : aState.services_[number->second].backends_) {
      const std::string_view domain =
        aState.backends_.slots_[key & kSlotMask].entry_.failureDomain_;
      if (std::find(counted.begin(), counted.end(), domain) == counted.end()) {
        counted.push_back(domain);
        ++shardsIn[domain];
      }
    }
  }
  std::set<std::string> domains;
  for (const auto& [domain, shards] : shardsIn) {
    if (static_cast<double>(shards) >=
        kDomainCoverage * static_cast<double>(aRoute.shards_.size())) {
      domains.insert(std::string(domain));
    }
  }
  return domains;
}

/** Candidates, the strongest first, those beside servers before equals. */
std::vector<const MemberRecord*>
SortCandidates(const std::vector<MemberRecord>& aMembers,
               const std::set<std::string>& aServerDomains,
               EntryScope aScope)
{
  std::vector<const MemberRecord*> candidates;
  for (const MemberRecord& member : aMembers) {
    if (member.state_ == MemberState::Alive &&
        (member.ready_ || aScope == EntryScope::Alive) &&
        !member.callerAddress_.empty()) {
      candidates.push_back(&member);
    }
  }
  const auto orderOf = [&aServerDomains](const MemberRecord& aMember) {
    return std::tuple(-static_cast<std::int64_t>(CapacityOf(aMember)),
                      aServerDomains.count(aMember.failureDomain_) == 0,
                      RankOf(aMember));
  };
  std::sort(candidates.begin(),
            candidates.end(),
            [&orderOf](const MemberRecord* aLeft, const MemberRecord* aRight) {
              return orderOf(*aLeft) < orderOf(*aRight);
            });
  return candidates;
}

/** Number of failure domains that entry daemons should be spread over. */
std::size_t
CountEntryDomains(const std::vector<const MemberRecord*>& aCandidates,
                  const std::set<std::string>& aServerDomains)
{
  std::set<std::string> all;
  std::set<std::string> besideServers;
  for (const MemberRecord* member : aCandidates) {
    all.insert(member->failureDomain_);
    if (aServerDomains.count(member->failureDomain_) > 0) {
      besideServers.insert(member->failureDomain_);
    }
  }
  // A single domain would be lost as a whole.
  return besideServers.size() > 1 ? besideServers.size() : all.size();
}

} // namespace

// A domain counts if it has servers of each query, so that no query needs bytes
// between domains. Most routes ask the same shards, which are looked up once.
EntryLimits
MakeEntryLimits(const GatewayState& aState)
{
  EntryLimits limits;
  limits.maxCount_ = MaxEntryDaemons(aState);
  if (aState.config_ == nullptr) {
    return limits;
  }
  const GatewayRoute* previous = nullptr;
  for (const GatewayRoute& route : aState.config_->routes_) {
    if (!route.IsQuery() ||
        (previous != nullptr && previous->shards_ == route.shards_)) {
      continue;
    }
    const std::set<std::string> domains = FindServerDomains(aState, route);
    if (previous == nullptr) {
      limits.serverDomains_ = domains;
    } else {
      std::erase_if(limits.serverDomains_, [&domains](const auto& aDomain) {
        return domains.count(aDomain) == 0;
      });
    }
    previous = &route;
  }
  return limits;
}

std::vector<const MemberRecord*>
ChooseEntryDaemons(const std::vector<MemberRecord>& aMembers,
                   const EntryLimits& aLimits,
                   EntryScope aScope)
{
  std::vector<const MemberRecord*> chosen =
    SortCandidates(aMembers, aLimits.serverDomains_, aScope);
  const std::size_t minCount =
    kEntryDaemonsPerDomain * CountEntryDomains(chosen, aLimits.serverDomains_);
  const double needed = kEntryCapacityFactor * SumLoad(aMembers);
  const std::size_t maxCount = std::min(chosen.size(), aLimits.maxCount_);
  std::size_t count = 0;
  double capacity = 0.0;
  while (count < maxCount && (count < minCount || capacity < needed)) {
    capacity += CapacityOf(*chosen[count++]);
  }
  chosen.resize(count);
  return chosen;
}

EntriesAnswer
ListEntryDaemons(const std::vector<MemberRecord>& aMembers,
                 const EntryLimits& aLimits)
{
  EntriesAnswer answer;
  answer.keepFor_ = kDirectoryTtl;
  for (const MemberRecord* member :
       ChooseEntryDaemons(aMembers, aLimits, EntryScope::Ready)) {
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
  std::vector<const MemberRecord*> watchers;
  for (auto& [domain, members] : domains) {
    std::sort(members.begin(),
              members.end(),
              [](const MemberRecord* aLeft, const MemberRecord* aRight) {
                return RankOf(*aLeft) < RankOf(*aRight);
              });
    const std::size_t count =
      all ? members.size() : std::min(members.size(), kWatchersPerDomain);
    watchers.insert(watchers.end(),
                    members.begin(),
                    members.begin() + static_cast<std::ptrdiff_t>(count));
  }
  return watchers;
}

} // namespace camphorfield
