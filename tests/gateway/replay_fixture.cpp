// Simulation of daemons: their tables, their events and the simulated clock.
#include "gateway/replay_fixture.h"
#include "gateway/replay_clock.h"

#include <algorithm>
#include <array>
#include <utility>

namespace camphorfield {

GatewayRoute
MakeQueryRoute(std::size_t aShards,
               double aMinCoverage,
               std::uint32_t aTopRecords)
{
  GatewayRoute route;
  route.name_ = "query";
  route.prefix_ = "/query/";
  route.timeout_ = std::chrono::seconds(2);
  route.objective_ = std::chrono::milliseconds(200);
  route.maxAttempts_ = 2;
  route.topRecords_ = aTopRecords;
  route.minCoverage_ = aMinCoverage;
  for (std::size_t i = 0; i < aShards; ++i) {
    route.shards_.push_back("shard" + std::to_string(i));
  }
  return route;
}

Replay::Replay(std::size_t aDaemons, std::uint64_t aSeed)
  : rng_(aSeed)
{
  for (std::size_t i = 0; i < aDaemons; ++i) {
    GatewaySettings settings;
    settings.failureDomain_ = i % 2 == 0 ? "a" : "b";
    settings.budget_.slack_ = 52.0;
    daemons_.push_back(
      ModelDaemon{ MakeGatewayState(settings), Rng(aSeed + i + 1) });
    FleetRole role;
    role.isEntryDaemon_ = true;
    role.connectionShares_ = static_cast<std::uint32_t>(aDaemons);
    role.limitShare_ = 1.0 / static_cast<double>(aDaemons);
    role.slackFraction_ = 1.0 / static_cast<double>(aDaemons);
    GatewaySetRole(daemons_.back().state_, role);
  }
  config_.version_ = 1;
}

ModelServer&
Replay::AddServer(const std::string& aService, double aSpeed)
{
  servers_.emplace_back();
  ModelServer& server = servers_.back();
  server.id_ = "i-" + std::to_string(servers_.size());
  server.service_ = aService;
  server.domain_ = servers_.size() % 2 == 0 ? "a" : "b";
  server.speed_ = aSpeed;
  config_.services_[aService] = GatewayService{ aService, 25 };
  return server;
}

void
Replay::AddShards(std::size_t aShards)
{
  constexpr std::array kSpeeds{ 0.8, 1.0, 1.3 };
  for (std::size_t i = 0; i < aShards; ++i) {
    const std::string service = "shard" + std::to_string(i);
    AddServer(service, kSpeeds[i % kSpeeds.size()]);
    AddServer(service, kSpeeds[(i + 1) % kSpeeds.size()]);
  }
}

void
Replay::SetRoute(GatewayRoute aRoute)
{
  aRoute.host_ = "host";
  std::erase_if(config_.routes_, [&aRoute](const GatewayRoute& aOther) {
    return aOther.name_ == aRoute.name_;
  });
  config_.routes_.push_back(std::move(aRoute));
}

void
Replay::SetPolicy(const GatewayPolicy& aPolicy)
{
  for (ModelDaemon& daemon : daemons_) {
    daemon.state_.settings_.policy_ = aPolicy;
  }
}

void
Replay::Publish()
{
  Announce();
  Advance(std::chrono::milliseconds(500));
}

void
Replay::Announce()
{
  ++config_.version_;
  std::vector<BackendEntry> entries;
  for (const ModelServer& server : servers_) {
    if (!server.listed_) {
      continue;
    }
    BackendEntry entry;
    entry.id_ = server.id_;
    entry.startedMillis_ = server.incarnation_;
    entry.service_ = server.service_;
    entry.address_ = server.id_;
    entry.failureDomain_ = server.domain_;
    entry.slots_ = server.slots_;
    entry.draining_ = server.draining_;
    entry.warmupLeft_ = server.warmupLeft_;
    entry.sequence_ = config_.version_;
    entries.push_back(entry);
  }
  const auto config = std::make_shared<const GatewayConfig>(config_);
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    GatewayDecisions decisions;
    GatewayAdoptConfig(
      daemons_[i].state_, config, NowOf(), daemons_[i].rng_, decisions);
    GatewayAdoptServers(
      daemons_[i].state_, entries, NowOf(), daemons_[i].rng_, decisions);
    ApplyDecisions(i, decisions);
  }
}

void
Replay::LimitCold(double aPerSecond, Duration aWarmup)
{
  for (auto& [name, service] : config_.services_) {
    service.warmupPerSecond_ = aPerSecond;
    service.warmup_ = aWarmup;
  }
  for (ModelDaemon& daemon : daemons_) {
    daemon.state_.settings_.warmupOverage_ = 1.5;
    daemon.state_.settings_.warmupSlack_ = 5.0;
  }
  SetColdOwners(daemons_.size());
}

void
Replay::SetColdOwners(std::size_t aOwners)
{
  std::vector<DaemonId> owners;
  for (std::size_t i = 0; i < aOwners; ++i) {
    owners.push_back(DaemonId{ i + 1 });
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    camphorfield::SetColdOwners(daemons_[i].state_.coldPlan_,
                                DaemonId{ i + 1 },
                                i < aOwners ? owners : std::vector<DaemonId>{});
  }
}

void
Replay::Evacuate(const std::set<std::string>& aDomains, std::size_t aFirst)
{
  for (std::size_t i = aFirst; i < daemons_.size(); ++i) {
    GatewayDecisions decisions;
    GatewayAdoptEvacuations(
      daemons_[i].state_, aDomains, NowOf(), daemons_[i].rng_, decisions);
    ApplyDecisions(i, decisions);
  }
}

template<typename Item>
void
Replay::HandleEvent(std::size_t aDaemon, Item&& aItem)
{
  GatewayDecisions decisions;
  ModelDaemon& daemon = daemons_[aDaemon];
  GatewayOnEvent(
    daemon.state_, std::forward<Item>(aItem), NowOf(), daemon.rng_, decisions);
  ApplyDecisions(aDaemon, decisions);
}

// Defined here for the sources of the servers' side.
template void
Replay::HandleEvent(std::size_t, BackendOpened&&);
template void
Replay::HandleEvent(std::size_t, BackendClosed&&);
template void
Replay::HandleEvent(std::size_t, BackendAnswer&&);

void
Replay::Arm(std::size_t aDaemon)
{
  ModelDaemon& daemon = daemons_[aDaemon];
  const TimePoint wake = GatewayNextWake(daemon.state_);
  if (wake >= daemon.armed_) {
    return;
  }
  daemon.armed_ = wake;
  At(std::max(wake - now_, Duration::zero()), [this, aDaemon, wake]() {
    if (daemons_[aDaemon].armed_ == wake) {
      daemons_[aDaemon].armed_ = kNever;
      HandleEvent(aDaemon, Tick{});
    }
  });
}

// Gossip takes up to some hundred milliseconds.
void
Replay::Report(std::size_t aDaemon, const SuspectFound& aFound)
{
  const auto chance = [this]() {
    return std::uniform_real_distribution<double>()(rng_);
  };
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    const int copies = chance() < 0.2 ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      if (i == aDaemon || chance() < lostReports_) {
        continue;
      }
      At(std::chrono::milliseconds(50 + rng_() % 400), [this, i, aFound]() {
        GatewayAdoptSuspect(
          daemons_[i].state_, aFound.fingerprint_, aFound.evidence_, NowOf());
        if (const auto reply = GatewayReplyToReport(
              daemons_[i].state_, aFound.evidence_, NowOf())) {
          Report(i, *reply);
        }
      });
    }
  }
}

void
Replay::At(Duration aAfter, std::function<void()> aAction)
{
  ScheduleAction(schedule_, now_ + aAfter, order_, std::move(aAction));
}

void
Replay::Advance(Duration aTime)
{
  const TimePoint end = now_ + aTime;
  RunActions(schedule_, now_, end);
  now_ = end;
}

ModelServer&
Replay::Server(const std::string& aId)
{
  return *std::find_if(
    servers_.begin(), servers_.end(), [&aId](const ModelServer& aServer) {
      return aServer.id_ == aId;
    });
}

std::uint64_t
Replay::Sends() const
{
  return sendsSeen_.size();
}

std::uint64_t
Replay::SendRequest(std::size_t aDaemon,
                    const std::string& aTarget,
                    Duration aCallerTimeout,
                    const std::string& aCaller,
                    const std::string& aKey)
{
  const std::uint64_t id = nextRequest_++;
  auto message = std::make_shared<ProxyMessage>();
  message->method_ = "GET";
  message->target_ = aTarget;
  message->path_ = aTarget.substr(0, aTarget.find('?'));
  message->host_ = "host";
  message->requestId_ = "r" + std::to_string(id);
  ProxyRequest request;
  request.id_ = CallerRequestId{ id };
  request.caller_ = aCaller;
  request.message_ = std::move(message);
  request.callerTimeout_ = aCallerTimeout;
  request.key_ = aKey;
  HandleEvent(aDaemon, request);
  return id;
}

void
Replay::CancelRequest(std::size_t aDaemon, std::uint64_t aRequest)
{
  HandleEvent(aDaemon, CallerDisconnected{ CallerRequestId{ aRequest } });
}

const ProxyAnswer*
Replay::AnswerOf(std::uint64_t aRequest) const
{
  const auto found = answers_.find(aRequest);
  return found == answers_.end() ? nullptr : &found->second;
}

} // namespace camphorfield
