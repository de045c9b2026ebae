// Simulated daemons and their configuration for the tests of routing.
#include "route/route_fixture.h"

#include "core/hash_func.h"

#include <algorithm>

namespace camphorfield {

namespace {

constexpr std::array<const char*, 3> kDomains{ "a", "b", "c" };

ServiceSpec
MakeService(RouteWorld& aWorld, const WorldShape& aShape, std::size_t aIndex)
{
  ServiceSpec service;
  service.name_ = "s" + std::to_string(aIndex);
  for (std::size_t i = 0; i < aShape.serversPerService_; ++i) {
    ServerSpec spec;
    spec.name_ = service.name_ + "-" + std::to_string(i);
    spec.address_ = spec.name_ + ":1";
    spec.failureDomain_ = kDomains[i % kDomains.size()];
    spec.slots_ = aShape.slots_;
    spec.connections_ = aShape.connections_;
    service.servers_.push_back(spec);
    FakeServer& server = aWorld.servers_[spec.address_];
    server.name_ = spec.name_;
    server.address_ = spec.address_;
    server.slots_ = aShape.slots_;
    server.cap_ = aShape.connections_;
    server.work_ = aShape.work_;
    server.jitter_ = aShape.jitter_;
    server.versions_.insert(aShape.versions_.begin(), aShape.versions_.end());
  }
  return service;
}

RouteSpec
MakeRoute(const WorldShape& aShape,
          const std::string& aName,
          Priority aPriority)
{
  RouteSpec route;
  route.name_ = aName;
  route.index_ = "index";
  route.limits_ = "limits";
  route.priority_ = aPriority;
  route.deadline_ = aShape.deadline_;
  route.softAnswer_ = aShape.softAnswer_;
  route.minCoverage_ = aShape.minCoverage_;
  return route;
}

void
FillRoutes(ConfigSet& aSet, const WorldShape& aShape)
{
  aSet.routes_["find"] = MakeRoute(aShape, "find", Priority::Interactive);
  aSet.routes_["archive"] = MakeRoute(aShape, "archive", Priority::Batch);
  RouteSpec buy = MakeRoute(aShape, "buy", Priority::Interactive);
  buy.mode_ = RouteMode::Order;
  buy.service_ = "s0";
  aSet.routes_["buy"] = buy;
  LimitsSpec limits;
  limits.name_ = "limits";
  limits.hedgeBudget_ = aShape.hedgeBudget_;
  aSet.limits_["limits"] = limits;
  FleetSpec fleet;
  fleet.name_ = "fleet";
  fleet.maxDaemons_ = aShape.maxDaemons_;
  fleet.homesPerServer_ = aShape.homesPerServer_;
  aSet.fleets_["fleet"] = fleet;
}

void
AddDaemon(RouteWorld& aWorld, std::size_t aIndex)
{
  RouteSettings settings;
  settings.name_ = "d" + std::to_string(aIndex);
  settings.self_ = { HashText(settings.name_) };
  settings.failureDomain_ = kDomains[aIndex % kDomains.size()];
  auto daemon = std::make_unique<FakeDaemon>();
  daemon->state_ = MakeRouteState(settings);
  daemon->rng_.seed(aIndex + 1);
  aWorld.daemons_.push_back(std::move(daemon));
}

} // namespace

RouteWorld
MakeWorld(const WorldShape& aShape)
{
  RouteWorld world;
  world.config_ = std::make_shared<PublishedConfig>();
  ConfigSet& set = world.config_->set_;
  for (std::size_t i = 0; i < aShape.services_; ++i) {
    const ServiceSpec service = MakeService(world, aShape, i);
    set.services_[service.name_] = service;
  }
  IndexSpec index;
  index.name_ = "index";
  for (const std::uint64_t version : aShape.versions_) {
    IndexVersionSpec spec;
    spec.version_ = { version };
    for (std::size_t i = 0; i < aShape.services_ * aShape.shardsPerService_;
         ++i) {
      spec.shards_.push_back({ "h" + std::to_string(i),
                               "s" + std::to_string(i % aShape.services_) });
    }
    index.versions_.push_back(spec);
  }
  set.indexes_["index"] = index;
  FillRoutes(set, aShape);
  for (std::size_t i = 0; i < aShape.daemons_; ++i) {
    AddDaemon(world, i);
  }
  return world;
}

void
AdoptWorldConfig(RouteWorld& aWorld)
{
  auto next = std::make_shared<PublishedConfig>(*aWorld.config_);
  ++next->generation_.value_;
  aWorld.config_ = next;
  for (std::size_t i = 0; i < aWorld.daemons_.size(); ++i) {
    Deliver(aWorld, i, ConfigAdopted{ next });
  }
}

void
ShareMembers(RouteWorld& aWorld)
{
  auto members = std::make_shared<std::vector<MemberRecord>>();
  for (const auto& daemon : aWorld.daemons_) {
    MemberRecord member;
    member.id_ = daemon->state_.settings_.self_;
    member.name_ = daemon->state_.settings_.name_;
    member.failureDomain_ = daemon->state_.settings_.failureDomain_;
    member.peerAddress_ = member.name_ + ":2";
    member.state_ = daemon->up_ ? MemberState::Alive : MemberState::Dead;
    members->push_back(member);
  }
  std::sort(members->begin(),
            members->end(),
            [](const MemberRecord& aLeft, const MemberRecord& aRight) {
              return aLeft.id_ < aRight.id_;
            });
  for (std::size_t i = 0; i < aWorld.daemons_.size(); ++i) {
    Deliver(aWorld, i, MembersChanged{ members });
  }
}

void
RunFor(RouteWorld& aWorld, Duration aTime)
{
  const TimePoint until = aWorld.now_ + aTime;
  while (true) {
    TimePoint next = until;
    std::size_t tick = aWorld.daemons_.size();
    if (!aWorld.events_.empty()) {
      next = std::min(next, aWorld.events_.begin()->first);
    }
    for (std::size_t i = 0; i < aWorld.daemons_.size(); ++i) {
      const FakeDaemon& daemon = *aWorld.daemons_[i];
      const TimePoint wake = RouteNextWake(daemon.state_);
      if (daemon.up_ && wake < next) {
        next = wake;
        tick = i;
      }
    }
    aWorld.now_ = std::max(aWorld.now_, next);
    if (tick < aWorld.daemons_.size()) {
      Deliver(aWorld, tick, Tick{});
      continue;
    }
    if (aWorld.events_.empty() || aWorld.events_.begin()->first > until ||
        next >= until) {
      break;
    }
    const std::function<void()> event =
      std::move(aWorld.events_.begin()->second);
    aWorld.events_.erase(aWorld.events_.begin());
    event();
  }
  aWorld.now_ = until;
}

std::uint64_t
SendQuery(RouteWorld& aWorld,
          const std::string& aRoute,
          const std::string& aBody,
          std::size_t aDaemon,
          const std::string& aCaller,
          Duration aTimeout)
{
  CallerRequest request;
  request.id_ = { ++aWorld.nextRequest_ };
  request.caller_ = aCaller;
  request.route_ = aRoute;
  request.body_ = std::make_shared<const std::string>(aBody);
  request.timeout_ = aTimeout;
  aWorld.startedAt_[request.id_.value_] = aWorld.now_;
  Deliver(aWorld, aDaemon, request);
  return request.id_.value_;
}

const QueryAnswer&
QueryAndWait(RouteWorld& aWorld,
             const std::string& aRoute,
             const std::string& aBody,
             std::size_t aDaemon)
{
  const std::uint64_t id = SendQuery(aWorld, aRoute, aBody, aDaemon);
  for (int i = 0; i < 100'000 && !aWorld.answers_.contains(id); ++i) {
    RunFor(aWorld, microseconds(100));
  }
  return aWorld.answers_.at(id).answer_;
}

std::uint64_t
SendOrder(RouteWorld& aWorld,
          const std::string& aBody,
          Duration aTime,
          std::size_t aDaemon)
{
  DispatchOrder order;
  order.id_ = { ++aWorld.nextRequest_ };
  order.request_ = { order.id_.value_ };
  order.caller_ = "till";
  order.route_ = "buy";
  order.key_ = "k" + std::to_string(order.id_.value_);
  order.body_ = std::make_shared<const std::string>(aBody);
  order.deadline_ = aWorld.now_ + aTime;
  Deliver(aWorld, aDaemon, order);
  return order.id_.value_;
}

FakeServer&
GetServer(RouteWorld& aWorld, const std::string& aName)
{
  return aWorld.servers_.at(aName + ":1");
}

ServerStatus
GetStatus(const RouteWorld& aWorld, const std::string& aName)
{
  for (const ServerStatus& status : RouteServers(aWorld.daemons_[0]->state_)) {
    if (status.name_ == aName) {
      return status;
    }
  }
  return {};
}

Duration
AnswerQuantile(const RouteWorld& aWorld, double aQuantile)
{
  std::vector<Duration> times;
  for (const auto& [id, answer] : aWorld.answers_) {
    times.push_back(answer.took_);
  }
  if (times.empty()) {
    return {};
  }
  std::sort(times.begin(), times.end());
  const auto rank =
    static_cast<std::size_t>(aQuantile * static_cast<double>(times.size() - 1));
  return times[rank];
}

} // namespace camphorfield
