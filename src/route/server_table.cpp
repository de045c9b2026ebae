// Tables of servers and services, compiled from the configuration. State of a
// server survives a new generation, so that publishing costs no connections.
// Home daemons are chosen by rendezvous hashing: members that change move few.
#include "route/server_table.h"

#include "core/hash_func.h"
#include "route/conn_pool.h"
#include "route/server_health.h"
#include "route/sub_cmd.h"

#include <algorithm>
#include <tuple>

namespace camphorfield {

namespace {

ServiceIndex
FindOrAddService(RouteState& aState, const std::string& aName)
{
  const auto found = aState.serviceIndex_.find(aName);
  if (found != aState.serviceIndex_.end()) {
    return found->second;
  }
  const auto index = static_cast<ServiceIndex>(aState.services_.size());
  aState.services_.emplace_back();
  aState.services_[index].name_ = aName;
  aState.serviceIndex_[aName] = index;
  return index;
}

// Server state is keyed by name and address: the same name at another address
// is another process on another VM.
ServerIndex
FindOrAddServer(RouteState& aState, const ServerSpec& aSpec)
{
  const std::string key = aSpec.name_ + "@" + aSpec.address_;
  const auto found = aState.serverIndex_.find(key);
  if (found != aState.serverIndex_.end()) {
    return found->second;
  }
  const auto index = static_cast<ServerIndex>(aState.servers_.size());
  aState.servers_.emplace_back();
  aState.serverIndex_[key] = index;
  return index;
}

void
ApplyServerSpec(Step& aStep, ServiceIndex aService, const ServerSpec& aSpec)
{
  RouteState& state = aStep.state_;
  const ServerIndex index = FindOrAddServer(state, aSpec);
  ServerState& server = state.servers_[index];
  const bool isNew = !server.configured_;
  const bool startsDraining = aSpec.draining_ && !server.spec_.draining_;
  server.spec_ = aSpec;
  server.service_ = aService;
  server.configured_ = true;
  server.sameDomain_ = aSpec.failureDomain_ == state.settings_.failureDomain_;
  state.services_[aService].servers_.push_back(index);
  state.serverByName_[aSpec.name_] = index;
  if (startsDraining) {
    CloseIdle(aStep, index);
  }
  if (isNew) {
    server.limit_ = 0.0;
    AddTimer(state.timers_, { aStep.now_.mono_, index, 0, TimerKind::Server });
  }
}

void
ApplyServices(Step& aStep, const ConfigSet& aSet)
{
  RouteState& state = aStep.state_;
  state.serverByName_.clear();
  for (ServiceState& service : state.services_) {
    service.servers_.clear();
    service.expectedVersions_.clear();
  }
  std::vector<bool> wasConfigured(state.servers_.size());
  for (std::size_t i = 0; i < state.servers_.size(); ++i) {
    wasConfigured[i] = state.servers_[i].configured_;
  }
  std::vector<ServerIndex> configured;
  for (const auto& [name, spec] : aSet.services_) {
    const ServiceIndex index = FindOrAddService(state, name);
    state.services_[index].reportsLoad_ = spec.reportsLoad_;
    state.services_[index].connectCost_ = spec.connectCost_;
    for (const ServerSpec& server : spec.servers_) {
      ApplyServerSpec(aStep, index, server);
    }
    configured.insert(configured.end(),
                      state.services_[index].servers_.begin(),
                      state.services_[index].servers_.end());
    MarkService(state, index);
  }
  std::sort(configured.begin(), configured.end());
  for (ServerIndex i = 0; i < wasConfigured.size(); ++i) {
    if (wasConfigured[i] &&
        !std::binary_search(configured.begin(), configured.end(), i)) {
      state.servers_[i].configured_ = false;
      CloseIdle(aStep, i);
      MarkService(state, state.servers_[i].service_);
    }
  }
}

SharedVersion
CompileVersion(RouteState& aState, const IndexVersionSpec& aSpec)
{
  auto version = std::make_shared<CompiledVersion>();
  version->version_ = aSpec.version_;
  version->shards_.reserve(aSpec.shards_.size());
  std::unordered_map<ServiceIndex, std::size_t> positions;
  for (const ShardSpec& shard : aSpec.shards_) {
    const ServiceIndex service = FindOrAddService(aState, shard.service_);
    version->shards_.push_back({ shard.name_, service });
    const auto [position, added] =
      positions.try_emplace(service, version->services_.size());
    if (added) {
      version->services_.push_back(service);
      version->perService_.push_back(0);
    }
    ++version->perService_[position->second];
  }
  return version;
}

void
ExpectVersion(Step& aStep, const CompiledVersion& aVersion)
{
  for (const ServiceIndex index : aVersion.services_) {
    ServiceState& service = aStep.state_.services_[index];
    service.expectedVersions_.push_back(aVersion.version_);
    service.expectedSince_ = aStep.now_.mono_;
  }
}

using VersionsByIndex =
  std::unordered_map<std::string, std::vector<SharedVersion>>;

VersionsByIndex
CompileIndexes(Step& aStep, const ConfigSet& aSet)
{
  VersionsByIndex compiled;
  for (const auto& [name, spec] : aSet.indexes_) {
    std::vector<SharedVersion>& versions = compiled[name];
    for (const IndexVersionSpec& version : spec.versions_) {
      versions.push_back(CompileVersion(aStep.state_, version));
    }
    std::sort(versions.begin(),
              versions.end(),
              [](const SharedVersion& aLeft, const SharedVersion& aRight) {
                return aLeft->version_.value_ > aRight->version_.value_;
              });
    if (!versions.empty()) {
      ExpectVersion(aStep, *versions.front());
    }
  }
  return compiled;
}

std::uint32_t
FindOrAddLimits(RouteState& aState, const std::string& aName)
{
  for (std::uint32_t i = 0; i < aState.limits_.size(); ++i) {
    if (aState.limits_[i].name_ == aName) {
      return i;
    }
  }
  aState.limits_.emplace_back();
  aState.limits_.back().name_ = aName;
  return static_cast<std::uint32_t>(aState.limits_.size() - 1);
}

void
SetHedgeQuantile(RouteState& aState, const CompiledRoute& aRoute)
{
  // Hedging above the quantile that the budget covers spends it on the slowest
  // attempts.
  const double quantile = std::clamp(1.0 - aRoute.limits_.hedgeBudget_,
                                     kHedgeQuantileFloor,
                                     kHedgeQuantileCeiling);
  for (const SharedVersion& version : aRoute.versions_) {
    for (const ServiceIndex service : version->services_) {
      aState.services_[service].hedgeQuantile_ = quantile;
    }
  }
}

std::shared_ptr<const CompiledRoute>
CompileRoute(RouteState& aState,
             const RouteSpec& aSpec,
             const ConfigSet& aSet,
             const VersionsByIndex& aVersions)
{
  auto route = std::make_shared<CompiledRoute>();
  route->spec_ = aSpec;
  const auto limits = aSet.limits_.find(aSpec.limits_);
  if (limits != aSet.limits_.end()) {
    route->limits_ = limits->second;
  }
  route->limitsIndex_ = FindOrAddLimits(aState, aSpec.limits_);
  const auto versions = aVersions.find(aSpec.index_);
  if (aSpec.mode_ == RouteMode::Query && versions != aVersions.end()) {
    route->versions_ = versions->second;
    SetHedgeQuantile(aState, *route);
  }
  if (aSpec.mode_ == RouteMode::Order) {
    route->service_ = FindOrAddService(aState, aSpec.service_);
  }
  return route;
}

bool
CanBeHome(const MemberRecord& aMember)
{
  return aMember.state_ == MemberState::Alive ||
         aMember.state_ == MemberState::Suspect;
}

/** Daemon with its rank for one server; the highest ranks become homes. */
struct RankedDaemon
{
  bool sameDomain_ = false;
  std::uint64_t hash_ = 0;
  DaemonId id_;
};

bool
RanksBefore(const RankedDaemon& aLeft, const RankedDaemon& aRight)
{
  return std::tie(aLeft.sameDomain_, aLeft.hash_, aLeft.id_.value_) >
         std::tie(aRight.sameDomain_, aRight.hash_, aRight.id_.value_);
}

std::vector<DaemonId>
PickHomes(const RouteState& aState,
          const ServerSpec& aServer,
          std::size_t aCount)
{
  std::vector<RankedDaemon> ranked;
  const std::uint64_t server = HashText(aServer.name_);
  for (const auto& [id, member] : aState.members_) {
    if (CanBeHome(member)) {
      ranked.push_back({ member.failureDomain_ == aServer.failureDomain_,
                         HashPair(server, id.value_),
                         id });
    }
  }
  std::sort(ranked.begin(), ranked.end(), RanksBefore);
  ranked.resize(std::min(ranked.size(), aCount));
  std::vector<DaemonId> homes;
  homes.reserve(ranked.size());
  for (const RankedDaemon& daemon : ranked) {
    homes.push_back(daemon.id_);
  }
  return homes;
}

void
AssignHomes(Step& aStep, ServerIndex aServer)
{
  RouteState& state = aStep.state_;
  ServerState& server = state.servers_[aServer];
  const std::uint32_t homes = state.config_->homesPerServer_;
  const bool wasHome = server.isHome_;
  server.homes_.clear();
  server.isHome_ = true;
  std::uint32_t holders = state.config_->maxDaemons_;
  if (homes > 0 && homes < holders) {
    holders = homes * kHomeQuotaDivisor;
    server.homes_ = PickHomes(state, server.spec_, homes);
    server.isHome_ = std::find(server.homes_.begin(),
                               server.homes_.end(),
                               state.settings_.self_) != server.homes_.end();
  }
  server.connectionQuota_ = std::max<std::uint32_t>(
    1, server.spec_.connections_ / std::max<std::uint32_t>(1, holders));
  const double ceiling =
    server.isHome_ ? server.connectionQuota_
                   : std::max(server.connectionQuota_, kInitialRelayLimit);
  if (server.limit_ < 1.0 || server.limit_ > ceiling ||
      wasHome != server.isHome_) {
    server.limit_ = ceiling;
  }
  if (wasHome && !server.isHome_) {
    CloseIdle(aStep, aServer);
  } else if (!wasHome && server.isHome_) {
    AddTimer(state.timers_,
             { aStep.now_.mono_, aServer, 0, TimerKind::Server });
  }
  MarkService(state, server.service_);
}

} // namespace

void
AdoptConfig(Step& aStep, const PublishedConfig& aConfig)
{
  RouteState& state = aStep.state_;
  auto compiled = std::make_shared<CompiledConfig>();
  compiled->generation_ = aConfig.generation_;
  const ConfigSet& set = aConfig.set_;
  if (!set.fleets_.empty()) {
    const FleetSpec& fleet = set.fleets_.begin()->second;
    compiled->maxDaemons_ = std::max<std::uint32_t>(1, fleet.maxDaemons_);
    compiled->homesPerServer_ = fleet.homesPerServer_;
  } else {
    compiled->maxDaemons_ = FleetSpec{}.maxDaemons_;
  }
  ApplyServices(aStep, set);
  const VersionsByIndex versions = CompileIndexes(aStep, set);
  for (const auto& [name, spec] : set.routes_) {
    compiled->routes_[name] = CompileRoute(state, spec, set, versions);
  }
  state.config_ = std::move(compiled);
  AssignConnectionQuotas(aStep);
}

void
AssignConnectionQuotas(Step& aStep)
{
  if (aStep.state_.config_ == nullptr) {
    return;
  }
  for (ServerIndex i = 0; i < aStep.state_.servers_.size(); ++i) {
    if (aStep.state_.servers_[i].configured_) {
      AssignHomes(aStep, i);
    }
  }
}

} // namespace camphorfield
