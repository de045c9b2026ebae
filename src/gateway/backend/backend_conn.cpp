// Connection pool for servers that accept few connections in total and spend a
// slot on each new one. Every daemon stays within its share and keeps spare
// connections open.
#include "gateway/backend/backend_internal.h"
#include "gateway/backend/connection_use.h"
#include "gateway/backend/cost_placement.h"
#include "gateway/crash/crash_guard.h"
#include "gateway/gateway_func.h"
#include "gateway/guidance/guidance_internal.h"
#include "gateway/request/request_internal.h"

#include "table/suspicion_table.h"

#include <algorithm>

namespace camphorfield {

namespace {

std::uint32_t
ConnectionsAllowed(const GatewayState& aState, const Backend& aBackend)
{
  const GatewayServiceState& service = aState.services_[aBackend.service_];
  const double share =
    kConnectionShare * service.maxConnections_ / std::max(aState.daemons_, 1U);
  return std::max(static_cast<std::uint32_t>(share), 1U);
}

/** Most connections to a server: this daemon's share, and what the server was
 * seen to accept. */
std::uint32_t
MaxConnections(const GatewayStep& aStep, const Backend& aBackend)
{
  const std::uint32_t allowed = ConnectionsAllowed(aStep.state_, aBackend);
  return aStep.Time() < aBackend.connectionLimitUntil_
           ? std::min(allowed, std::max(aBackend.connectionLimit_, 1U))
           : allowed;
}

void
StartConnect(GatewayStep& aStep, Backend& aBackend)
{
  BackendConn& conn = AllocateSlot(aStep.state_.connections_);
  const std::uint64_t key = conn.key_;
  conn = BackendConn{};
  conn.key_ = key;
  conn.backend_ = aBackend.key_;
  aBackend.connections_.push_back(key);
  ++aBackend.opening_;
  ++aStep.state_.stats_.connects_;
  aStep.out_.emplace_back(BackendConnect{
    ConnectionId{ key }, aBackend.entry_.address_, kBackendConnectTimeout });
}

/** Removes a connection that has ended or is being closed. */
void
RemoveConnection(GatewayState& aState, BackendConn& aConn)
{
  Backend* backend = FindSlot(aState.backends_, aConn.backend_);
  if (aConn.state_ == BackendConnState::Opening) {
    --backend->opening_;
  }
  std::erase(backend->connections_, aConn.key_);
  const std::uint64_t key = aConn.backend_;
  FreeSlot(aState.connections_, aConn);
  FreeIfUnused(aState, key);
}

/** Whether one more connection stays within the bound of this daemon. */
bool
HasDescriptor(const GatewayState& aState)
{
  const std::uint32_t most = aState.settings_.maxConnections_;
  return most == 0 || aState.connections_.Count() < most;
}

/** Connections to the servers of a service that may be sent requests. */
std::size_t
CountConnections(const GatewayStep& aStep, ServiceNumber aService)
{
  std::size_t count = 0;
  for (const std::uint64_t key : aStep.state_.services_[aService].backends_) {
    const Backend& backend = aStep.state_.backends_.slots_[key & kSlotMask];
    const bool isWanted = IsUsable(backend) &&
                          aStep.Time() >= backend.ejectedUntil_ &&
                          aStep.Time() >= backend.pausedUntil_;
    count += isWanted ? backend.connections_.size() : 0;
  }
  return count;
}

/** Closes the idle connection that was not used for the longest time, and the
 * only one of a service last. False if all are in use or being opened. */
bool
CloseLeastUsed(GatewayStep& aStep)
{
  const GatewayState& state = aStep.state_;
  std::pair<bool, TimePoint> least{ true, kNever };
  std::uint64_t found = 0;
  for (const BackendConn& conn : state.connections_.slots_) {
    if (conn.key_ == 0 || conn.state_ != BackendConnState::Idle) {
      continue;
    }
    const Backend& backend = state.backends_.slots_[conn.backend_ & kSlotMask];
    const std::pair<bool, TimePoint> use{
      CountConnections(aStep, backend.service_) == 1, conn.usedAt_
    };
    if (found == 0 || use < least) {
      least = use;
      found = conn.key_;
    }
  }
  if (found == 0) {
    return false;
  }
  ++aStep.state_.stats_.connectionsClosed_;
  CloseConnection(aStep, found);
  return true;
}

/** Makes room for a connection to a server at the bound of this daemon. Only a
 * service with waiting requests and without a connection gets it: others would
 * take each other's. */
bool
MakeRoom(GatewayStep& aStep, const Backend& aBackend)
{
  GatewayServiceState& service = aStep.state_.services_[aBackend.service_];
  if (service.queue_.empty() ||
      CountConnections(aStep, aBackend.service_) > 0) {
    return false;
  }
  if (CloseLeastUsed(aStep)) {
    return true;
  }
  // Nothing wakes the queue when a connection of another service is idle.
  const TimePoint at = aStep.Time() + kDescriptorRetryDelay;
  if (service.wakeAt_ <= aStep.Time() || service.wakeAt_ > at) {
    ++aStep.state_.stats_.connectionsDelayed_;
    service.wakeAt_ = at;
    AddTimer(aStep.state_.timers_,
             { at, aBackend.service_, 0, GatewayTimer::QueueWake });
  }
  return false;
}

/** Exponential backoff; the jitter keeps daemons from retrying together. */
void
DelayReconnect(GatewayStep& aStep, Backend& aBackend)
{
  aBackend.reconnect_ = std::clamp<Duration>(
    aBackend.reconnect_ * 2, kReconnectFloor, kReconnectCeiling);
  const auto half = static_cast<std::uint64_t>(aBackend.reconnect_.count() / 2);
  aBackend.connectAfter_ = aStep.Time() + aBackend.reconnect_ / 2 +
                           Duration(aStep.rng_() % (half + 1));
}

/** Learns the server's connection limit: it ended a connection while others
 * stay open. */
void
LearnConnectionLimit(GatewayStep& aStep, Backend& aBackend)
{
  if (aBackend.connections_.size() == aBackend.opening_) {
    return;
  }
  aBackend.connectionLimit_ =
    static_cast<std::uint32_t>(aBackend.connections_.size());
  const auto ttl =
    static_cast<std::uint64_t>(Duration(kConnectionLimitTtl).count());
  aBackend.connectionLimitUntil_ =
    aStep.Time() + kConnectionLimitTtl + Duration(aStep.rng_() % ttl);
}

void
HandleConnectFailure(GatewayStep& aStep, BackendConn& aConn, BackendEnd aEnd)
{
  const std::uint64_t key = aConn.backend_;
  RemoveConnection(aStep.state_, aConn);
  Backend* backend = FindSlot(aStep.state_.backends_, key);
  if (backend == nullptr) {
    return;
  }
  DelayReconnect(aStep, *backend);
  // If another connection is open, the server is up but at its limit.
  LearnConnectionLimit(aStep, *backend);
  const char* reason = aEnd == BackendEnd::Refused ? "connections refused"
                                                   : "connections not accepted";
  if (backend->connections_.size() == backend->opening_) {
    RecordFailure(aStep, *backend, reason);
    RecordCrash(aStep, key, CrashSign::Unreachable, reason);
  }
  MarkService(aStep.state_, backend->service_);
}

/** An idle connection was closed by the server. One that was never used or is
 * still fresh shows that the server is at its connection limit. */
void
HandleIdleClosed(GatewayStep& aStep, BackendConn& aConn)
{
  const std::uint64_t key = aConn.backend_;
  if (!aConn.used_) {
    DelayReconnect(aStep, *FindSlot(aStep.state_.backends_, key));
  }
  const bool fresh = aStep.Time() - aConn.usedAt_ < kFreshConnectionAge;
  RemoveConnection(aStep.state_, aConn);
  Backend* backend = FindSlot(aStep.state_.backends_, key);
  if (fresh && backend != nullptr) {
    LearnConnectionLimit(aStep, *backend);
  }
}

/** Outcome of an attempt whose connection has ended. */
AttemptEnd
ToAttemptEnd(BackendEnd aEnd)
{
  switch (aEnd) {
    case BackendEnd::Malformed:
      return AttemptEnd::Garbled;
    case BackendEnd::NoMemory:
      return AttemptEnd::Dropped;
    default:
      return AttemptEnd::Broken;
  }
}

/** A connection ended with a request in flight. */
void
HandleBusyClosed(GatewayStep& aStep,
                 const BackendConn& aConn,
                 const BackendClosed& aClosed)
{
  GatewayState& state = aStep.state_;
  const std::uint64_t attemptKey = aConn.attempt_;
  const Attempt& attempt = *FindSlot(state.attempts_, attemptKey);
  const GatewayRun* run = FindSlot(state.runs_, attempt.run_);
  // A server may crash in its answer, too. Bytes that are no answer come from a
  // server that runs.
  const AttemptEnd end = ToAttemptEnd(aClosed.end_);
  if (run != nullptr && end == AttemptEnd::Broken) {
    RecordLostAttempt(aStep,
                      *run,
                      attempt,
                      AttemptLoss::Broken,
                      kBackendEndNames[static_cast<std::size_t>(aClosed.end_)]);
  }
  EndAttempt(aStep, attemptKey, end);
}

} // namespace

void
EnsureConnections(GatewayStep& aStep, Backend& aBackend)
{
  GatewayServiceState& service = aStep.state_.services_[aBackend.service_];
  if (!IsUsable(aBackend) || !service.configured_ ||
      aStep.Time() < aBackend.connectAfter_ || aBackend.opening_ > 0) {
    return;
  }
  const bool ahead = aStep.state_.preconnect_ || !service.queue_.empty();
  const std::uint32_t spare =
    IsSameDomain(aStep.state_, aBackend) ? kSpareSameDomain : kSpareOtherDomain;
  std::uint32_t wanted = aBackend.inFlight_ + (ahead ? spare : 0);
  if (IsCostMode(aStep.state_)) {
    RecordUse(aBackend, aStep.Time());
    const bool waiting = !service.queue_.empty();
    wanted =
      !ahead ? aBackend.inFlight_
      : waiting
        ? aBackend.inFlight_ + 1
        : JustifiedConnections(aStep.state_, aBackend, spare, aStep.Time());
  }
  wanted = std::min(wanted, MaxConnections(aStep, aBackend));
  if (aBackend.connections_.size() < wanted &&
      (HasDescriptor(aStep.state_) || MakeRoom(aStep, aBackend))) {
    StartConnect(aStep, aBackend);
  }
}

// Prefers the connection used last: the server is the least likely to have
// dropped it.
BackendConn*
FindIdle(GatewayState& aState,
         const Backend& aBackend,
         std::uint64_t aRequestHash,
         TimePoint aNow)
{
  BackendConn* best = nullptr;
  for (const std::uint64_t key : aBackend.connections_) {
    BackendConn& conn = aState.connections_.slots_[key & kSlotMask];
    if (conn.state_ == BackendConnState::Idle && aNow < conn.expiresAt_ &&
        !MayHaveCarried(conn.carried_, aRequestHash) &&
        (best == nullptr || conn.usedAt_ > best->usedAt_)) {
      best = &conn;
    }
  }
  return best;
}

// A server that has just refused is not sent many connections: one at a time,
// and none during the backoff after a failed connect.
void
OpenUnusedConnection(GatewayStep& aStep, Backend& aBackend)
{
  GatewayState& state = aStep.state_;
  if (aBackend.opening_ > 0) {
    return;
  }
  if (aStep.Time() < aBackend.connectAfter_) {
    AddTimer(state.timers_,
             { aBackend.connectAfter_,
               aBackend.service_,
               0,
               GatewayTimer::QueueWake });
    return;
  }
  if (aBackend.connections_.size() >= MaxConnections(aStep, aBackend) ||
      !HasDescriptor(state)) {
    std::uint64_t oldest = 0;
    TimePoint oldestAt = kNever;
    for (const std::uint64_t key : aBackend.connections_) {
      const BackendConn& conn = state.connections_.slots_[key & kSlotMask];
      if (conn.state_ == BackendConnState::Idle && conn.usedAt_ < oldestAt) {
        oldest = key;
        oldestAt = conn.usedAt_;
      }
    }
    if (oldest == 0) {
      return;
    }
    CloseConnection(aStep, oldest);
  }
  StartConnect(aStep, aBackend);
}

void
CloseConnection(GatewayStep& aStep, std::uint64_t aConnection)
{
  BackendConn* conn = FindSlot(aStep.state_.connections_, aConnection);
  if (conn != nullptr) {
    aStep.out_.emplace_back(BackendDisconnect{
      ConnectionId{ aConnection }, conn->backend_, conn->requestHash_ });
    RemoveConnection(aStep.state_, *conn);
  }
}

void
CloseIdle(GatewayStep& aStep, Backend& aBackend)
{
  const std::vector<std::uint64_t> connections = aBackend.connections_;
  for (const std::uint64_t key : connections) {
    const BackendConn* conn = FindSlot(aStep.state_.connections_, key);
    if (conn->state_ != BackendConnState::Busy) {
      CloseConnection(aStep, key);
    }
  }
}

void
ReleaseConnection(GatewayStep& aStep,
                  std::uint64_t aConnection,
                  Duration aIdleTimeout)
{
  GatewayState& state = aStep.state_;
  BackendConn& conn = *FindSlot(state.connections_, aConnection);
  conn.state_ = BackendConnState::Idle;
  conn.used_ = true;
  conn.attempt_ = 0;
  conn.usedAt_ = aStep.Time();
  conn.expiresAt_ = aStep.Time() + aIdleTimeout;
  if (conn.carried_.count_ >= kMaxCarriedIds) {
    const std::uint64_t backend = conn.backend_;
    CloseConnection(aStep, aConnection);
    if (Backend* server = FindSlot(state.backends_, backend)) {
      EnsureConnections(aStep, *server);
    }
  }
}

void
MaintainConnections(GatewayStep& aStep)
{
  GatewayState& state = aStep.state_;
  std::vector<std::uint64_t> expired;
  for (const BackendConn& conn : state.connections_.slots_) {
    if (conn.key_ != 0 && conn.state_ == BackendConnState::Idle &&
        conn.expiresAt_ <= aStep.Time()) {
      expired.push_back(conn.key_);
    }
  }
  for (const std::uint64_t key : expired) {
    CloseConnection(aStep, key);
  }
  for (const auto& [entry, key] : state.backendOf_) {
    EnsureConnections(aStep, *FindSlot(state.backends_, key));
  }
}

void
GatewayOnEvent(GatewayState& aState,
               const BackendOpened& aOpened,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut)
{
  GatewayStep step{ aState, aNow, aRng, aOut };
  BackendConn* conn = FindSlot(aState.connections_, aOpened.connection_.value_);
  if (conn == nullptr) {
    return;
  }
  Backend& backend = *FindSlot(aState.backends_, conn->backend_);
  conn->state_ = BackendConnState::Idle;
  conn->openedAt_ = aNow.mono_;
  conn->usedAt_ = aNow.mono_;
  conn->expiresAt_ = aNow.mono_ + kDefaultKeepAlive;
  --backend.opening_;
  if (backend.crashed_) {
    ++backend.restarts_;
    backend.incarnation_ = HashIncarnation(backend);
    AssumeCold(step, backend, "it has restarted");
  }
  backend.crashed_ = false;
  if (!IsUsable(backend)) {
    CloseConnection(step, aOpened.connection_.value_);
    return;
  }
  MarkService(aState, backend.service_);
  DispatchMarked(step);
}

void
GatewayOnEvent(GatewayState& aState,
               const BackendClosed& aClosed,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut)
{
  GatewayStep step{ aState, aNow, aRng, aOut };
  BackendConn* conn = FindSlot(aState.connections_, aClosed.connection_.value_);
  if (conn == nullptr) {
    return;
  }
  if (aClosed.end_ == BackendEnd::NoMemory &&
      conn->state_ != BackendConnState::Busy) {
    // Shows nothing of the server, such as a limit of its connections.
    RemoveConnection(aState, *conn);
    return;
  }
  switch (conn->state_) {
    case BackendConnState::Opening:
      HandleConnectFailure(step, *conn, aClosed.end_);
      break;
    case BackendConnState::Busy:
      HandleBusyClosed(step, *conn, aClosed);
      break;
    default:
      HandleIdleClosed(step, *conn);
      break;
  }
  DispatchMarked(step);
}

} // namespace camphorfield
