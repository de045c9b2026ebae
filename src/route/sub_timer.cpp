// Timers of sub-requests: hedge delay and progress timeout. A connection that
// goes silent (lost packets, half-open) is closed before the deadline, if the
// server answers on other connections.
#include "route/sub_timer.h"

#include "route/conn_pool.h"
#include "route/relay.h"
#include "route/server_health.h"
#include "route/sub_cmd.h"
#include "route/sub_owner.h"

#include <algorithm>

namespace camphorfield {

namespace {

constexpr std::uint32_t kHedgeSamples = 32; ///< Before the quantile is used.

ServiceState&
ServiceOf(RouteState& aState, const Sub& aSub)
{
  return aState.services_[aState.servers_[aSub.server_].service_];
}

Duration
HedgeDelay(const ServiceState& aService, const Sub& aSub)
{
  if (aService.latency_.total_ < kHedgeSamples) {
    return kInitialHedgeDelay;
  }
  // A probe goes to a server that was slow or failed, so it is hedged sooner.
  const Duration delay =
    aSub.probe_ ? aService.latency_.p50_ * 2 : aService.latency_.hedge_;
  return std::max(delay, kHedgeDelayFloor);
}

TimePoint
LatestAnswerTime(const Sub& aSub)
{
  return aSub.deadline_ == kNever ? kNever : aSub.deadline_ + kAnswerGrace;
}

void
ArmProgress(Step& aStep, const Sub& aSub, Duration aDelay)
{
  const TimePoint at =
    std::min(aStep.now_.mono_ + aDelay, LatestAnswerTime(aSub));
  AddTimer(aStep.state_.timers_, { at, aSub.key_, 0, TimerKind::Progress });
}

void
CloseSilent(Step& aStep, std::uint64_t aSub, bool aSilent)
{
  const Sub sub = *FindSlot(aStep.state_.subs_, aSub);
  Connection* connection = FindSlot(aStep.state_.connections_, sub.connection_);
  if (connection != nullptr) {
    connection->sub_ = 0;
    CloseConn(aStep, *connection);
  }
  if (aSilent) {
    ++aStep.state_.stats_.silent_;
    aStep.out_.emplace_back(
      TimelineRecord{ TimelineKind::ConnectionSilent,
                      0,
                      aStep.state_.servers_[sub.server_].spec_.name_,
                      sub.connection_,
                      "no answer while others answered" });
  }
  EndSub(aStep, aSub, SubOutcome::Silent, nullptr);
  VerifyIdleConns(aStep, sub.server_);
}

// An answer on another connection shows that the server is alive and that only
// this connection is silent.
void
ProbeForLiveness(Step& aStep, const Sub& aSub)
{
  Connection* idle = FindOldestIdle(aStep.state_, aSub.server_);
  if (idle != nullptr) {
    SendHealth(aStep, *idle);
    return;
  }
  const ServerState& server = aStep.state_.servers_[aSub.server_];
  OpenUpTo(aStep,
           aSub.server_,
           static_cast<std::uint32_t>(server.connections_.size()) + 1);
}

// The home daemon checks its own connections. If it does not answer for longer
// than that takes, it is paused or unreachable.
void
CheckHomeProgress(Step& aStep,
                  const Sub& aSub,
                  Duration aElapsed,
                  Duration aTimeout)
{
  if (aElapsed < aTimeout * kHomeTimeoutFactor) {
    ArmProgress(aStep, aSub, aTimeout / 2);
    return;
  }
  BackOffHome(aStep, aSub.home_);
  EndSub(aStep, aSub.key_, SubOutcome::Silent, nullptr);
}

void
CheckProgress(Step& aStep, const Sub& aSub)
{
  const TimePoint now = aStep.now_.mono_;
  const ServerState& server = aStep.state_.servers_[aSub.server_];
  if (now >= LatestAnswerTime(aSub)) {
    CloseSilent(aStep, aSub.key_, false);
    return;
  }
  // An order gets its whole timeout, since ending it earlier makes its outcome
  // unknown. After kMaxSilentAttempts the work itself is slow, so a shard waits
  // until its deadline.
  if (aSub.kind_ == SubKind::Order || aSub.keepUntilDeadline_) {
    ArmProgress(aStep, aSub, kProgressCeiling);
    return;
  }
  const Duration timeout = ProgressTimeout(ServiceOf(aStep.state_, aSub));
  const Duration elapsed = now - aSub.sentAt_;
  if (aSub.connection_ == 0) {
    CheckHomeProgress(aStep, aSub, elapsed, timeout);
    return;
  }
  if (server.lastAnsweredSentAt_ > aSub.sentAt_ && elapsed >= timeout) {
    CloseSilent(aStep, aSub.key_, true);
    return;
  }
  if (elapsed >= timeout * kStalledFactor) {
    CloseSilent(aStep, aSub.key_, false);
    return;
  }
  if (elapsed >= timeout) {
    ProbeForLiveness(aStep, aSub);
  }
  ArmProgress(aStep, aSub, timeout / 2);
}

} // namespace

Duration
ProgressTimeout(const ServiceState& aService)
{
  return std::clamp<Duration>(
    aService.latency_.p99_ * kProgressFactor, kProgressFloor, kProgressCeiling);
}

void
ArmSubTimer(Step& aStep, const Sub& aSub)
{
  const ServiceState& service = ServiceOf(aStep.state_, aSub);
  if (aSub.kind_ == SubKind::Query && !aSub.hedge_ &&
      aSub.owner_.kind_ == OwnerKind::Query) {
    const TimePoint at = aStep.now_.mono_ + HedgeDelay(service, aSub);
    AddTimer(aStep.state_.timers_, { at, aSub.key_, 0, TimerKind::Hedge });
    return;
  }
  ArmProgress(aStep, aSub, ProgressTimeout(service));
}

void
HandleSubTimer(Step& aStep, const Timer& aTimer)
{
  const Sub* found = FindSlot(aStep.state_.subs_, aTimer.key_);
  if (found == nullptr) {
    return;
  }
  const Sub sub = *found;
  if (aTimer.kind_ == TimerKind::Progress) {
    CheckProgress(aStep, sub);
    return;
  }
  RecordSlowAttempt(aStep, sub.server_, aStep.now_.mono_ - sub.sentAt_);
  const Duration left = sub.sentAt_ +
                        ProgressTimeout(ServiceOf(aStep.state_, sub)) -
                        aStep.now_.mono_;
  ArmProgress(aStep, sub, std::max(left, kHedgeDelayFloor));
  if (sub.owner_.kind_ == OwnerKind::Query) {
    OnShardHedgeTimer(aStep, sub);
  }
}

} // namespace camphorfield
