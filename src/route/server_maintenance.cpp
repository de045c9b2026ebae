// Periodic maintenance of servers. Health checks find servers that are back or
// have loaded a snapshot, and idle connections that broke unnoticed.
#include "route/conn_pool.h"
#include "route/server_health.h"
#include "route/sub_cmd.h"

#include <algorithm>

namespace camphorfield {

namespace {

// Servers load a newly published snapshot one after the other; until a server
// has it, its health is checked more often.
bool
AwaitsVersion(const RouteState& aState,
              const ServerState& aServer,
              TimePoint aNow)
{
  const ServiceState& service = aState.services_[aServer.service_];
  if (aServer.heldVersions_.empty() ||
      aNow - service.expectedSince_ > kNewVersionWindow) {
    return false;
  }
  for (const SnapshotVersion version : service.expectedVersions_) {
    if (std::find(aServer.heldVersions_.begin(),
                  aServer.heldVersions_.end(),
                  version) == aServer.heldVersions_.end()) {
      return true;
    }
  }
  return false;
}

void
CheckHealth(Step& aStep, ServerIndex aServer)
{
  ServerState& server = aStep.state_.servers_[aServer];
  const TimePoint now = aStep.now_.mono_;
  const bool awaits = AwaitsVersion(aStep.state_, server, now);
  const Duration sooner =
    awaits ? kHealthInterval - kHealthIntervalNewVersion : Duration::zero();
  if (now + sooner < server.nextHealth_) {
    return;
  }
  Connection* connection = FindOldestIdle(aStep.state_, aServer);
  if (connection == nullptr) {
    return;
  }
  const Duration interval =
    IsLeaving(server) ? kLeavingProbeInterval : kHealthInterval;
  // Jitter spreads the health checks of all daemons.
  const auto jitter =
    static_cast<std::int64_t>(aStep.rng_() % (interval.count() / 4));
  server.nextHealth_ = now + interval + Duration(jitter);
  SendHealth(aStep, *connection);
}

void
MaintainIdleConns(Step& aStep, ServerIndex aServer)
{
  const TimePoint now = aStep.now_.mono_;
  const std::vector<std::uint32_t> slots =
    aStep.state_.servers_[aServer].connections_;
  for (const std::uint32_t slot : slots) {
    Connection& connection = aStep.state_.connections_.slots_[slot];
    if (connection.state_ != ConnState::Idle) {
      continue;
    }
    if (now - connection.openedAt_ > kConnectionMaxAge) {
      CloseConn(aStep, connection);
    } else if (now - connection.usedAt_ > kIdleUnverifiedAfter) {
      connection.unverified_ = true;
      SendHealth(aStep, connection);
    }
  }
}

void
MaintainLeavingServer(Step& aStep, ServerIndex aServer)
{
  const ServerState& server = aStep.state_.servers_[aServer];
  // Only a new configuration ends a drain by an operator, so health checks are
  // not needed.
  if (server.spec_.draining_) {
    CloseIdle(aStep, aServer);
    return;
  }
  if (aStep.now_.mono_ < server.nextHealth_) {
    return;
  }
  if (server.connections_.empty()) {
    OpenUpTo(aStep, aServer, 1);
    return;
  }
  CheckHealth(aStep, aServer);
}

} // namespace

void
MaintainServer(Step& aStep, ServerIndex aServer)
{
  RouteState& state = aStep.state_;
  ServerState& server = state.servers_[aServer];
  if (!server.configured_ || !server.isHome_) {
    CloseIdle(aStep, aServer);
    return;
  }
  AddTimer(state.timers_,
           { aStep.now_.mono_ + kServerMaintenanceInterval,
             aServer,
             0,
             TimerKind::Server });
  if (IsLeaving(server)) {
    MaintainLeavingServer(aStep, aServer);
    return;
  }
  MaintainIdleConns(aStep, aServer);
  CheckHealth(aStep, aServer);
  OpenUpTo(aStep, aServer, kWarmConnections);
  if (!state.services_[server.service_].queue_.heap_.empty()) {
    MarkService(state, server.service_);
  }
}

} // namespace camphorfield
