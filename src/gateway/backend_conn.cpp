// Answers servers that accept few connections from all callers together and
// charge a slot for each new one: every daemon keeps to its share, and has one
// more open than it uses.
#include "gateway/gateway_func.h"
#include "gateway/gateway_internal.h"

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

void
Open(GatewayStep& aStep, Backend& aBackend)
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

/** Takes a connection out of the state; its end is known. */
void
Forget(GatewayState& aState, BackendConn& aConn)
{
  Backend* backend = FindSlot(aState.backends_, aConn.backend_);
  if (aConn.state_ == BackendConnState::Opening) {
    --backend->opening_;
  }
  std::erase(backend->connections_, aConn.key_);
  const std::uint64_t key = aConn.backend_;
  FreeSlot(aState.connections_, aConn);
  ForgetIfUnused(aState, key);
}

/** Waits longer after each failure; the jitter keeps daemons apart. */
void
PutOffConnects(GatewayStep& aStep, Backend& aBackend)
{
  aBackend.reconnect_ = std::clamp<Duration>(
    aBackend.reconnect_ * 2, kReconnectFloor, kReconnectCeiling);
  const auto half = static_cast<std::uint64_t>(aBackend.reconnect_.count() / 2);
  aBackend.connectAfter_ = aStep.Time() + aBackend.reconnect_ / 2 +
                           Duration(aStep.rng_() % (half + 1));
}

/** A server has ended a connection though others are open: it takes no more. */
void
NoteFull(GatewayStep& aStep, Backend& aBackend)
{
  if (aBackend.connections_.size() == aBackend.opening_) {
    return;
  }
  aBackend.accepted_ = static_cast<std::uint32_t>(aBackend.connections_.size());
  const auto life = static_cast<std::uint64_t>(Duration(kAcceptedLife).count());
  aBackend.acceptedUntil_ =
    aStep.Time() + kAcceptedLife + Duration(aStep.rng_() % life);
}

void
FailConnect(GatewayStep& aStep, BackendConn& aConn, BackendEnd aEnd)
{
  const std::uint64_t key = aConn.backend_;
  Forget(aStep.state_, aConn);
  Backend* backend = FindSlot(aStep.state_.backends_, key);
  if (backend == nullptr) {
    return;
  }
  PutOffConnects(aStep, *backend);
  if (aEnd == BackendEnd::Refused) {
    NoteRefusedConnect(aStep, key);
  }
  // With another connection open the server is there: it has too many.
  NoteFull(aStep, *backend);
  if (backend->connections_.size() == backend->opening_) {
    NoteFailure(aStep,
                *backend,
                aEnd == BackendEnd::Refused ? "it refuses connections"
                                            : "it accepts no connections");
  }
  MarkService(aStep.state_, backend->service_);
}

/** One that was never used was accepted only to be ended: the server has as
 * many connections as it takes. */
void
EndIdle(GatewayStep& aStep, BackendConn& aConn)
{
  const std::uint64_t key = aConn.backend_;
  if (!aConn.used_) {
    PutOffConnects(aStep, *FindSlot(aStep.state_.backends_, key));
  }
  const bool fresh = aStep.Time() - aConn.usedAt_ < kFreshConnection;
  Forget(aStep.state_, aConn);
  Backend* backend = FindSlot(aStep.state_.backends_, key);
  if (fresh && backend != nullptr) {
    NoteFull(aStep, *backend);
  }
}

/** A connection ends with a request on it. */
void
EndBusy(GatewayStep& aStep,
        const BackendConn& aConn,
        const BackendClosed& aClosed)
{
  GatewayState& state = aStep.state_;
  const std::uint64_t attemptKey = aConn.attempt_;
  const Attempt& attempt = *FindSlot(state.attempts_, attemptKey);
  const GatewayRun* run = FindSlot(state.runs_, attempt.run_);
  if (run != nullptr && !aClosed.answerBegun_) {
    NoteBrokenConnection(aStep, aConn.backend_, run->fingerprint_);
  }
  EndAttempt(aStep,
             attemptKey,
             aClosed.end_ == BackendEnd::Malformed ? AttemptEnd::Garbled
                                                   : AttemptEnd::Broken);
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
  const bool ahead = aStep.state_.warm_ || !service.queue_.empty();
  const std::uint32_t spare =
    IsNear(aStep.state_, aBackend) ? kSpareNear : kSpareFar;
  std::uint32_t wanted = std::min(ConnectionsAllowed(aStep.state_, aBackend),
                                  aBackend.inFlight_ + (ahead ? spare : 0));
  if (aStep.Time() < aBackend.acceptedUntil_) {
    wanted = std::min(wanted, std::max(aBackend.accepted_, 1U));
  }
  if (aBackend.connections_.size() < wanted) {
    Open(aStep, aBackend);
  }
}

// The one used last is the least likely to have been dropped by the server.
BackendConn*
FindIdle(GatewayState& aState, const Backend& aBackend, TimePoint aNow)
{
  BackendConn* best = nullptr;
  for (const std::uint64_t key : aBackend.connections_) {
    BackendConn& conn = aState.connections_.slots_[key & kSlotMask];
    if (conn.state_ == BackendConnState::Idle && aNow < conn.expiresAt_ &&
        (best == nullptr || conn.usedAt_ > best->usedAt_)) {
      best = &conn;
    }
  }
  return best;
}

void
CloseConnection(GatewayStep& aStep, std::uint64_t aConnection)
{
  BackendConn* conn = FindSlot(aStep.state_.connections_, aConnection);
  if (conn != nullptr) {
    aStep.out_.emplace_back(BackendDisconnect{ ConnectionId{ aConnection } });
    Forget(aStep.state_, *conn);
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
ReleaseConnection(GatewayStep& aStep, std::uint64_t aConnection, Duration aLife)
{
  GatewayState& state = aStep.state_;
  BackendConn& conn = *FindSlot(state.connections_, aConnection);
  conn.state_ = BackendConnState::Idle;
  conn.used_ = true;
  conn.attempt_ = 0;
  conn.usedAt_ = aStep.Time();
  conn.expiresAt_ = aStep.Time() + aLife;
}

void
CareForConnections(GatewayStep& aStep)
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
  conn->usedAt_ = aNow.mono_;
  conn->expiresAt_ = aNow.mono_ + kKeepAliveUnknown;
  --backend.opening_;
  if (!IsUsable(backend)) {
    CloseConnection(step, aOpened.connection_.value_);
    return;
  }
  MarkService(aState, backend.service_);
  PumpMarked(step);
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
  switch (conn->state_) {
    case BackendConnState::Opening:
      FailConnect(step, *conn, aClosed.end_);
      break;
    case BackendConnState::Busy:
      EndBusy(step, *conn, aClosed);
      break;
    default:
      EndIdle(step, *conn);
      break;
  }
  PumpMarked(step);
}

} // namespace camphorfield
