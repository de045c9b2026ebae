// Health of servers: ejects servers that fail or are slow, restores them after
// good probes, and adapts the limit of requests in flight to refusals.
#include "route/server_health.h"

#include "route/conn_pool.h"
#include "route/sub_cmd.h"

#include <algorithm>
#include <cmath>

namespace camphorfield {

namespace {

constexpr double kLimitFloor = 1.0; ///< Requests in flight.

void
Record(Step& aStep,
       TimelineKind aKind,
       const ServerState& aServer,
       const char* aReason)
{
  aStep.out_.emplace_back(
    TimelineRecord{ aKind, 0, aServer.spec_.name_, 0, aReason });
}

// At most half of a service may be ejected: the rest would be overloaded, and
// ejection does not help against a fault that all servers share.
bool
CanEject(const RouteState& aState, const ServerState& aServer)
{
  const ServiceState& service = aState.services_[aServer.service_];
  std::uint32_t present = 0;
  std::uint32_t ejected = 0;
  for (const ServerIndex index : service.servers_) {
    const ServerState& other = aState.servers_[index];
    if (IsLeaving(other) || IsDown(aState, index)) {
      continue;
    }
    ++present;
    ejected += IsEjected(other) ? 1 : 0;
  }
  return ejected + 1 <= std::floor(present * kMaxEjectedShare);
}

void
Eject(Step& aStep, ServerState& aServer, const char* aReason)
{
  const std::uint32_t doublings =
    std::min<std::uint32_t>(aServer.ejections_, 10);
  const Duration length =
    std::min<Duration>(kEjectionFloor * (1U << doublings), kEjectionCeiling);
  ++aServer.ejections_;
  aServer.probation_ = true;
  aServer.probesGood_ = 0;
  aServer.failures_ = 0;
  aServer.ejectedUntil_ = aStep.now_.mono_ + length;
  aServer.nextProbe_ = aServer.ejectedUntil_;
  ++aStep.state_.stats_.ejections_;
  Record(aStep, TimelineKind::ServerEjected, aServer, aReason);
}

void
Restore(Step& aStep, ServerState& aServer)
{
  aServer.probation_ = false;
  aServer.ejections_ = 0;
  aServer.slowStartUntil_ = aStep.now_.mono_ + kSlowStart;
  Record(aStep, TimelineKind::ServerRestored, aServer, "probes answered well");
}

// Compares with the fastest other server, because a service of two servers has
// no useful median.
bool
IsSlow(const RouteState& aState, const ServerState& aServer)
{
  double best = 0.0;
  for (const ServerIndex index : aState.services_[aServer.service_].servers_) {
    const ServerState& other = aState.servers_[index];
    if (&other == &aServer || other.samples_ < kSlowSamples ||
        !other.configured_) {
      continue;
    }
    best = best == 0.0 ? other.latency_ : std::min(best, other.latency_);
  }
  return best > 0.0 &&
         aServer.latency_ >
           best * kSlowFactor + static_cast<double>(kSlowMargin.count());
}

void
AddLatency(ServerState& aServer, Duration aTime, TimePoint aNow)
{
  aServer.sampledAt_ = aNow;
  const double micros = static_cast<double>(aTime.count());
  aServer.latency_ =
    aServer.samples_ == 0
      ? micros
      : aServer.latency_ + kLatencyWeight * (micros - aServer.latency_);
  ++aServer.samples_;
}

void
GrowLimit(ServerState& aServer)
{
  const double quota =
    std::max(kLimitFloor, static_cast<double>(aServer.connectionQuota_));
  if (aServer.inFlight_ + 1 >= std::floor(aServer.limit_)) {
    aServer.limit_ = std::min(quota, aServer.limit_ + 1.0 / aServer.limit_);
  }
}

void
EvaluateProbe(Step& aStep, ServerState& aServer, Duration aTime)
{
  const ServiceState& service = aStep.state_.services_[aServer.service_];
  if (service.latency_.p50_ > Duration::zero() &&
      aTime > service.latency_.p50_ * 3 + kSlowMargin) {
    aServer.ejectedUntil_ = {};
    Eject(aStep, aServer, "probe was slow");
    return;
  }
  if (++aServer.probesGood_ >= kProbesToRestore) {
    aServer.latency_ = static_cast<double>(aTime.count());
    Restore(aStep, aServer);
  }
}

void
RefreshQuantiles(LatencyHist& aHist, double aHedgeQuantile)
{
  constexpr std::uint32_t kRefreshEvery = 64;
  if (aHist.samplesSinceRefresh_ < kRefreshEvery &&
      aHist.total_ > kRefreshEvery) {
    return;
  }
  aHist.samplesSinceRefresh_ = 0;
  aHist.p50_ = GetQuantile(aHist, 0.5);
  aHist.p99_ = GetQuantile(aHist, 0.99);
  aHist.hedge_ = GetQuantile(aHist, aHedgeQuantile);
}

} // namespace

bool
IsLeaving(const ServerState& aServer)
{
  return aServer.leaving_ || aServer.spec_.draining_;
}

bool
IsDown(const RouteState& aState, ServerIndex aServer)
{
  const ServerState& server = aState.servers_[aServer];
  return server.isHome_ && server.connectFailures_ >= kDownAfterFailures &&
         CountConns(aState, aServer, ConnState::Idle) == 0 &&
         CountConns(aState, aServer, ConnState::Busy) == 0;
}

bool
IsEjected(const ServerState& aServer)
{
  return aServer.probation_;
}

ServerStanding
GetStanding(const RouteState& aState, ServerIndex aServer, TimePoint aNow)
{
  const ServerState& server = aState.servers_[aServer];
  if (!server.configured_) {
    return ServerStanding::Removed;
  }
  if (server.spec_.draining_) {
    return ServerStanding::Draining;
  }
  if (server.leaving_) {
    return ServerStanding::Leaving;
  }
  if (IsDown(aState, aServer)) {
    return ServerStanding::Down;
  }
  if (server.probation_) {
    return server.ejectedUntil_ > aNow ? ServerStanding::Ejected
                                       : ServerStanding::Probation;
  }
  if (server.isHome_ && server.connections_.empty()) {
    return ServerStanding::Connecting;
  }
  return server.slowStartUntil_ > aNow ? ServerStanding::SlowStart
                                       : ServerStanding::In;
}

bool
LacksVersion(const ServerState& aServer,
             SnapshotVersion aVersion,
             TimePoint aNow)
{
  for (const MissingVersion& lacked : aServer.missingVersions_) {
    if (lacked.version_ == aVersion && lacked.until_ > aNow) {
      return true;
    }
  }
  return false;
}

void
RecordMissingVersion(ServerState& aServer,
                     SnapshotVersion aVersion,
                     TimePoint aNow)
{
  std::erase_if(aServer.missingVersions_, [&](const MissingVersion& aLacked) {
    return aLacked.version_ == aVersion || aLacked.until_ <= aNow;
  });
  std::erase(aServer.heldVersions_, aVersion);
  aServer.missingVersions_.push_back({ aVersion, aNow + kMissingVersionTtl });
}

void
RecordGoodAnswer(Step& aStep, const Sub& aSub, Duration aTime)
{
  ServerState& server = aStep.state_.servers_[aSub.server_];
  ServiceState& service = aStep.state_.services_[server.service_];
  server.failures_ = 0;
  GrowLimit(server);
  AddLatency(server, aTime, aStep.now_.mono_);
  AddSample(service.latency_, aTime);
  RefreshQuantiles(service.latency_, service.hedgeQuantile_);
  if (aSub.probe_ && server.probation_) {
    EvaluateProbe(aStep, server, aTime);
    return;
  }
  if (!server.probation_ && server.samples_ >= kSlowSamples &&
      IsSlow(aStep.state_, server) && CanEject(aStep.state_, server)) {
    Eject(aStep, server, "slow compared with its service");
  }
}

void
RecordFailure(Step& aStep, ServerIndex aServer)
{
  ServerState& server = aStep.state_.servers_[aServer];
  ++server.failures_;
  if (server.probation_ && aStep.now_.mono_ >= server.ejectedUntil_) {
    Eject(aStep, server, "probe failed");
    return;
  }
  if (!server.probation_ && server.failures_ >= kEjectAfterFailures &&
      CanEject(aStep.state_, server)) {
    Eject(aStep, server, "failures in a row");
  }
}

void
RecordSlowAttempt(Step& aStep, ServerIndex aServer, Duration aAtLeast)
{
  ServerState& server = aStep.state_.servers_[aServer];
  if (static_cast<double>(aAtLeast.count()) > server.latency_) {
    AddLatency(server, aAtLeast, aStep.now_.mono_);
  }
}

void
RecordShed(Step& aStep, ServerIndex aServer)
{
  ServerState& server = aStep.state_.servers_[aServer];
  const TimePoint now = aStep.now_.mono_;
  server.pausedUntil_ = now + kRefusedPause;
  // A burst of refusals counts as one sign of overload.
  if (now - server.limitCutAt_ < kLimitDecreasePause) {
    return;
  }
  server.limitCutAt_ = now;
  server.limit_ = std::max(kLimitFloor, server.limit_ * kLimitDecrease);
}

void
SetLeaving(Step& aStep, ServerIndex aServer, bool aLeaving, std::int64_t aAt)
{
  ServerState& server = aStep.state_.servers_[aServer];
  if (aAt < server.leavingAt_) {
    return;
  }
  server.leavingAt_ = aAt;
  if (server.leaving_ == aLeaving) {
    return;
  }
  server.leaving_ = aLeaving;
  Record(aStep,
         aLeaving ? TimelineKind::ServerLeaving : TimelineKind::ServerRestored,
         server,
         aLeaving ? "leaving" : "no longer leaving");
  if (aLeaving) {
    CloseIdle(aStep, aServer);
    server.nextHealth_ = aStep.now_.mono_ + kLeavingProbeInterval;
  } else {
    server.slowStartUntil_ = aStep.now_.mono_ + kSlowStart;
  }
  MarkService(aStep.state_, server.service_);
}

void
ApplyAnswerHeaders(Step& aStep, ServerIndex aServer, const SubAnswer& aAnswer)
{
  ServerState& server = aStep.state_.servers_[aServer];
  if (aAnswer.load_ >= 0.0) {
    server.load_ = std::min(aAnswer.load_, 1.0);
    server.loadAt_ = aStep.now_.mono_;
  }
  if (aAnswer.draining_ && !server.leaving_) {
    const std::int64_t at = aStep.now_.unixMicros_;
    SetLeaving(aStep, aServer, true, at);
    aStep.out_.emplace_back(
      SpreadRumor{ LeavingRumor{ server.spec_.name_, true, at } });
  }
}

void
ApplyHealthAnswer(Step& aStep, ServerIndex aServer, const SubAnswer& aAnswer)
{
  ServerState& server = aStep.state_.servers_[aServer];
  ApplyAnswerHeaders(aStep, aServer, aAnswer);
  if (aAnswer.status_ != SubStatus::Ok) {
    return;
  }
  if (!aAnswer.versions_.empty()) {
    server.heldVersions_ = aAnswer.versions_;
    std::erase_if(server.missingVersions_, [&](const MissingVersion& aLacked) {
      return std::find(server.heldVersions_.begin(),
                       server.heldVersions_.end(),
                       aLacked.version_) != server.heldVersions_.end();
    });
  }
  if (server.leaving_ && !aAnswer.draining_) {
    const std::int64_t at = aStep.now_.unixMicros_;
    SetLeaving(aStep, aServer, false, at);
    aStep.out_.emplace_back(
      SpreadRumor{ LeavingRumor{ server.spec_.name_, false, at } });
  }
}

} // namespace camphorfield
