// Connection pool: opens connections within the quota and with backoff, since a
// server that restarts or is at its cap must not be flooded with connects.
#include "route/conn_pool.h"

#include "route/server_health.h"
#include "route/sub_cmd.h"

#include <algorithm>

namespace camphorfield {

namespace {

Connection&
ConnAt(RouteState& aState, std::uint32_t aSlot)
{
  return aState.connections_.slots_[aSlot];
}

std::uint32_t
SlotOf(std::uint64_t aKey)
{
  return static_cast<std::uint32_t>(aKey & kSlotMask);
}

void
OpenOne(Step& aStep, ServerIndex aServer)
{
  ServerState& server = aStep.state_.servers_[aServer];
  Connection& connection = AllocateSlot(aStep.state_.connections_);
  const std::uint64_t key = connection.key_;
  connection = Connection{};
  connection.key_ = key;
  connection.server_ = aServer;
  connection.openedAt_ = aStep.now_.mono_;
  server.connections_.push_back(SlotOf(key));
  ++aStep.state_.stats_.opened_;
  aStep.out_.emplace_back(OpenConnection{
    { key }, { aServer + 1 }, server.spec_.address_, kConnectTimeout });
}

std::uint32_t
CurrentQuota(const ServerState& aServer, TimePoint aNow)
{
  // The server refused a connection over its cap: use one less until it has
  // noticed the end of closed connections.
  const bool squeezed =
    aServer.overCapUntil_ > aNow && aServer.connectionQuota_ > 1;
  return squeezed ? aServer.connectionQuota_ - 1 : aServer.connectionQuota_;
}

void
RecordConnectFailure(Step& aStep, ServerState& aServer)
{
  ++aServer.connectFailures_;
  const std::uint32_t doublings =
    std::min<std::uint32_t>(aServer.connectFailures_ - 1, 10);
  const Duration pause = std::min<Duration>(
    kConnectBackoffFloor * (1U << doublings), kConnectBackoffCeiling);
  // Jitter keeps the daemons from reconnecting all at once.
  const auto jitter =
    static_cast<std::int64_t>(aStep.rng_() % (pause.count() / 4 + 1));
  aServer.connectAfter_ = aStep.now_.mono_ + pause + Duration(jitter);
}

} // namespace

Connection*
FindIdle(RouteState& aState, ServerIndex aServer)
{
  for (const std::uint32_t slot : aState.servers_[aServer].connections_) {
    Connection& connection = ConnAt(aState, slot);
    if (connection.state_ == ConnState::Idle && !connection.unverified_) {
      return &connection;
    }
  }
  return nullptr;
}

Connection*
FindOldestIdle(RouteState& aState, ServerIndex aServer)
{
  Connection* oldest = nullptr;
  for (const std::uint32_t slot : aState.servers_[aServer].connections_) {
    Connection& connection = ConnAt(aState, slot);
    if (connection.state_ != ConnState::Idle) {
      continue;
    }
    if (oldest == nullptr || connection.usedAt_ < oldest->usedAt_) {
      oldest = &connection;
    }
  }
  return oldest;
}

std::uint32_t
CountConns(const RouteState& aState, ServerIndex aServer, ConnState aWanted)
{
  std::uint32_t count = 0;
  for (const std::uint32_t slot : aState.servers_[aServer].connections_) {
    count += aState.connections_.slots_[slot].state_ == aWanted ? 1 : 0;
  }
  return count;
}

void
OpenUpTo(Step& aStep, ServerIndex aServer, std::uint32_t aWanted)
{
  ServerState& server = aStep.state_.servers_[aServer];
  if (!server.isHome_ || !server.configured_ ||
      aStep.now_.mono_ < server.connectAfter_) {
    return;
  }
  const std::uint32_t quota = CurrentQuota(server, aStep.now_.mono_);
  // After a failed connect, try one connection at a time.
  const std::uint32_t wanted =
    server.connectFailures_ > 0 ? 1 : std::min(aWanted, quota);
  const std::uint32_t closing =
    CountConns(aStep.state_, aServer, ConnState::Closing);
  while (server.connections_.size() - closing < wanted &&
         server.connections_.size() < quota) {
    OpenOne(aStep, aServer);
  }
}

void
CloseConn(Step& aStep, Connection& aConnection)
{
  if (aConnection.state_ == ConnState::Closing) {
    return;
  }
  aConnection.state_ = ConnState::Closing;
  aStep.out_.emplace_back(CloseConnection{ { aConnection.key_ } });
}

void
CloseIdle(Step& aStep, ServerIndex aServer)
{
  for (const std::uint32_t slot : aStep.state_.servers_[aServer].connections_) {
    Connection& connection = ConnAt(aStep.state_, slot);
    if (connection.state_ == ConnState::Idle) {
      CloseConn(aStep, connection);
    }
  }
}

void
ReleaseConn(Step& aStep, std::uint64_t aConnection, bool aReusable)
{
  Connection* connection = FindSlot(aStep.state_.connections_, aConnection);
  if (connection == nullptr || connection->state_ != ConnState::Busy) {
    return;
  }
  const ServerState& server = aStep.state_.servers_[connection->server_];
  const TimePoint now = aStep.now_.mono_;
  connection->sub_ = 0;
  connection->usedAt_ = now;
  connection->unverified_ = false;
  connection->state_ = ConnState::Idle;
  const bool surplus = server.connections_.size() > server.connectionQuota_;
  const bool old = now - connection->openedAt_ > kConnectionMaxAge;
  if (!aReusable || surplus || old || !server.isHome_ || IsLeaving(server)) {
    CloseConn(aStep, *connection);
  }
}

void
RecordOpened(Step& aStep, ConnectionId aId)
{
  Connection* connection = FindSlot(aStep.state_.connections_, aId.value_);
  if (connection == nullptr || connection->state_ != ConnState::Opening) {
    return;
  }
  ServerState& server = aStep.state_.servers_[connection->server_];
  const TimePoint now = aStep.now_.mono_;
  if (server.connectFailures_ >= kDownAfterFailures) {
    server.slowStartUntil_ = now + kSlowStart;
  }
  server.connectFailures_ = 0;
  server.connectAfter_ = {};
  connection->state_ = ConnState::Idle;
  connection->usedAt_ = now;
  connection->openedAt_ = now;
  if (!server.configured_ || !server.isHome_) {
    CloseConn(aStep, *connection);
    return;
  }
  MarkService(aStep.state_, server.service_);
}

void
RecordEnded(Step& aStep, const ConnectionEnded& aEvent)
{
  RouteState& state = aStep.state_;
  Connection* connection = FindSlot(state.connections_, aEvent.id_.value_);
  if (connection == nullptr) {
    return;
  }
  ServerState& server = state.servers_[connection->server_];
  std::erase(server.connections_, SlotOf(connection->key_));
  if (aEvent.reason_ == ConnectionEnd::OverCap) {
    ++state.stats_.overCap_;
    server.overCapUntil_ = aStep.now_.mono_ + kOverCapPause;
    server.connectAfter_ = aStep.now_.mono_ + kConnectBackoffFloor;
  } else if (!aEvent.wasOpen_ &&
             aEvent.reason_ != ConnectionEnd::ClosedLocally) {
    RecordConnectFailure(aStep, server);
  }
  MarkService(state, server.service_);
  FreeSlot(state.connections_, *connection);
}

void
VerifyIdleConns(Step& aStep, ServerIndex aServer)
{
  // Copied; health checks change connection states but not this list.
  const std::vector<std::uint32_t> slots =
    aStep.state_.servers_[aServer].connections_;
  for (const std::uint32_t slot : slots) {
    Connection& connection = ConnAt(aStep.state_, slot);
    if (connection.state_ == ConnState::Idle) {
      connection.unverified_ = true;
      SendHealth(aStep, connection);
    }
  }
}

} // namespace camphorfield
