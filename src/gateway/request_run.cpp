// Runs a request from arrival to answer. When shards are slow or lost, a query
// gets a partial answer just before its objective if enough shards have
// answered, and fails at once when enough shards are no longer possible.
#include "gateway/gateway_func.h"
#include "gateway/gateway_internal.h"
#include "gateway/route_match.h"

#include "core/hash_func.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace camphorfield {

namespace {

Duration
RequestTimeout(const ProxyRequest& aRequest, const GatewayRoute& aRoute)
{
  Duration wait = kDefaultDeadline;
  for (const Duration limit : { aRequest.callerTimeout_, aRoute.timeout_ }) {
    wait = limit.count() > 0 ? std::min(wait, limit) : wait;
  }
  return wait - std::min<Duration>(kDeadlineMargin, wait / 10);
}

// The objective counts from the caller's first attempt. A retrying caller
// states what is left of its timeout, so the longest recent timeout is taken as
// that of a first attempt.
Duration
TimeSinceFirstAttempt(const ProxyRequest& aRequest,
                      RouteLoad& aLoad,
                      TimePoint aNow)
{
  if (aRequest.callerTimeout_.count() == 0) {
    return Duration::zero();
  }
  if (aRequest.callerTimeout_ >= aLoad.callerTimeout_ ||
      aNow - aLoad.callerTimeoutAt_ > kCallerTimeoutTtl) {
    aLoad.callerTimeout_ = aRequest.callerTimeout_;
    aLoad.callerTimeoutAt_ = aNow;
  }
  return aLoad.callerTimeout_ - aRequest.callerTimeout_;
}

/** Time left until the objective, less a margin for merging the parts and for
 * the network trip to the caller. */
Duration
TimeToSoftDeadline(const GatewayState& aState,
                   const GatewayRoute& aRoute,
                   Duration aWaited)
{
  const auto objective = static_cast<double>(aRoute.objective_.count());
  const double work = static_cast<double>(kShardCpuTime.count()) *
                      static_cast<double>(aRoute.shards_.size()) /
                      aState.settings_.cpuShare_;
  const Duration margin = std::min<Duration>(
    kObjectiveMargin + Duration(static_cast<std::int64_t>(
                         objective * kObjectiveMarginShare + work)),
    aRoute.objective_ / 3);
  return aRoute.objective_ - margin - aWaited;
}

std::uint32_t
PartsNeeded(const GatewayRoute& aRoute)
{
  if (!aRoute.IsQuery()) {
    return 1;
  }
  const double needed = std::ceil(
    aRoute.minCoverage_ * static_cast<double>(aRoute.shards_.size()) - 1e-9);
  return std::max(static_cast<std::uint32_t>(needed), 1U);
}

void
AddParts(GatewayState& aState, GatewayRun& aRun)
{
  const GatewayRoute& route = *aRun.route_;
  if (!route.IsQuery()) {
    aRun.parts_.emplace_back();
    aRun.parts_.back().service_ =
      FindOrAddService(aState, ChooseService(route, *aRun.load_));
    return;
  }
  for (const std::string& shard : route.shards_) {
    aRun.parts_.emplace_back();
    aRun.parts_.back().service_ = FindOrAddService(aState, shard);
  }
}

GatewayRun&
MakeRun(GatewayStep& aStep,
        const ProxyRequest& aRequest,
        const GatewayRoute& aRoute,
        const ContentKeys& aContent,
        Duration aWaited)
{
  GatewayState& state = aStep.state_;
  GatewayRun& run = AllocateSlot(state.runs_);
  run.id_ = aRequest.id_;
  run.config_ = state.config_;
  run.route_ = &aRoute;
  run.load_ = &state.loads_[aRoute.name_];
  run.message_ = aRequest.message_;
  run.caller_ = aRequest.caller_;
  run.content_ = aContent;
  const std::string& requestId = aRequest.message_->requestId_;
  run.requestHash_ = requestId.empty() ? 0 : HashText(requestId);
  run.arrivedAt_ = aStep.Time();
  run.waitedBefore_ = aWaited;
  run.deadline_ = std::min(aStep.Time() + RequestTimeout(aRequest, aRoute),
                           state.stop_.answeredBy_);
  run.softAt_ = run.deadline_;
  run.needed_ = PartsNeeded(aRoute);
  if (aRoute.objective_.count() > 0 && state.settings_.policy_.partial_) {
    const Duration wait = TimeToSoftDeadline(state, aRoute, aWaited);
    run.late_ = wait <= Duration::zero();
    run.softAt_ =
      run.late_ ? run.deadline_ : std::min(run.deadline_, aStep.Time() + wait);
  }
  AddParts(state, run);
  ++run.load_->inFlight_;
  state.runOf_[run.id_] = run.key_;
  return run;
}

void
StartRun(GatewayStep& aStep, GatewayRun& aRun)
{
  BasicTimerHeap<GatewayTimer>& timers = aStep.state_.timers_;
  AddTimer(timers,
           { aRun.deadline_, aRun.key_, 0, GatewayTimer::RequestDeadline });
  if (aRun.softAt_ < aRun.deadline_) {
    AddTimer(timers,
             { aRun.softAt_, aRun.key_, 0, GatewayTimer::RequestSoftDeadline });
  }
  ProbeFirst(aStep, aRun);
  for (std::uint32_t i = 0; i < aRun.parts_.size(); ++i) {
    RequestPart& part = aRun.parts_[i];
    const GatewayServiceState& service = aStep.state_.services_[part.service_];
    // The others suffice, see TimeUntilEnoughRoom.
    if (aRun.route_->IsQuery() &&
        TimeUntilRoom(
          aStep.state_, service, service.queue_.size(), aStep.Time()) >
          aRun.softAt_ - aStep.Time()) {
      part.phase_ = PartPhase::Failed;
      ++aRun.failed_;
      continue;
    }
    if (part.phase_ != PartPhase::Held) {
      EnqueuePart(aStep, aRun, i);
    }
  }
  AdvanceProbe(aStep, aRun);
}

/** Number of parts whose service has no available server. */
std::uint32_t
CountUnavailableShards(const GatewayState& aState,
                       const GatewayRun& aRun,
                       TimePoint aNow)
{
  return static_cast<std::uint32_t>(std::count_if(
    aRun.parts_.begin(),
    aRun.parts_.end(),
    [&aState, aNow](const RequestPart& aPart) {
      return IsServiceDown(aState, aState.services_[aPart.service_], aNow);
    }));
}

/** Time until the servers' request limits leave room for as many parts as the
 * run needs. */
Duration
TimeUntilEnoughRoom(const GatewayState& aState,
                    const GatewayRun& aRun,
                    TimePoint aNow)
{
  std::vector<Duration> waits;
  waits.reserve(aRun.parts_.size());
  for (const RequestPart& part : aRun.parts_) {
    const GatewayServiceState& service = aState.services_[part.service_];
    waits.push_back(
      TimeUntilRoom(aState, service, service.queue_.size(), aNow));
  }
  const auto last = waits.begin() + (aRun.needed_ - 1);
  std::nth_element(waits.begin(), last, waits.end());
  return *last;
}

/** Finishes a query when all parts have ended, when it is late with enough
 * parts, or when enough parts are no longer possible. */
void
FinishIfDecided(GatewayStep& aStep, GatewayRun& aRun)
{
  const auto parts = static_cast<std::uint32_t>(aRun.parts_.size());
  if (parts - aRun.failed_ < aRun.needed_) {
    FinishFailed(aStep, aRun, ProxyCode::LowCoverage);
    return;
  }
  const bool closed = aRun.done_ + aRun.failed_ == parts;
  if (closed || (aRun.late_ && aRun.done_ >= aRun.needed_)) {
    FinishMerged(aStep, aRun);
  }
}

} // namespace

void
GatewayOnEvent(GatewayState& aState,
               const ProxyRequest& aRequest,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut)
{
  GatewayStep step{ aState, aNow, aRng, aOut };
  if (aState.config_ == nullptr) {
    RejectRequest(step, aRequest, ProxyCode::NotReady, nullptr);
    return;
  }
  const GatewayRoute* route = FindRoute(
    *aState.config_, aRequest.message_->host_, aRequest.message_->path_);
  if (route == nullptr) {
    RejectRequest(step, aRequest, ProxyCode::NoRoute, nullptr);
    return;
  }
  if (!CanFinishBeforeStop(
        aState.stop_, *route, RequestTimeout(aRequest, *route), aNow.mono_)) {
    RejectRequest(step, aRequest, ProxyCode::Stopping, route);
    return;
  }
  const ContentKeys content = MakeContentKeys(aRequest);
  if (IsQuarantined(aState, content, aNow.mono_)) {
    RejectRequest(step, aRequest, ProxyCode::Quarantined, route);
    return;
  }
  RouteLoad& load = aState.loads_[route->name_];
  const Duration waited = TimeSinceFirstAttempt(aRequest, load, aNow.mono_);
  if (aState.settings_.policy_.admission_ &&
      !IsAdmitted(load, GuaranteedWindow(aState, *route))) {
    RejectRequest(step, aRequest, ProxyCode::Overloaded, route);
    return;
  }
  GatewayRun& run = MakeRun(step, aRequest, *route, content, waited);
  const auto parts = static_cast<std::uint32_t>(run.parts_.size());
  if (parts - CountUnavailableShards(aState, run, aNow.mono_) < run.needed_) {
    FinishFailed(step, run, ProxyCode::NoServer);
    return;
  }
  const Duration wait = TimeUntilEnoughRoom(aState, run, aNow.mono_);
  if (wait > run.softAt_ - aNow.mono_) {
    ++aState.stats_.limitRejections_;
    FinishFailed(step, run, ProxyCode::NoServer, wait);
    return;
  }
  StartRun(step, run);
  DispatchMarked(step);
}

void
GatewayOnEvent(GatewayState& aState,
               const CallerDisconnected& aGone,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut)
{
  GatewayStep step{ aState, aNow, aRng, aOut };
  const auto found = aState.runOf_.find(aGone.id_);
  if (found != aState.runOf_.end()) {
    ++aState.stats_.callersGone_;
    CloseRun(step, *FindSlot(aState.runs_, found->second));
    DispatchMarked(step);
  }
}

void
CompletePart(GatewayStep& aStep,
             GatewayRun& aRun,
             std::uint32_t aPart,
             BackendAnswer&& aAnswer)
{
  if (!aRun.route_->IsQuery()) {
    aRun.parts_[aPart].phase_ = PartPhase::Done;
    ++aRun.done_;
    AdjustWindow(*aRun.load_,
                 aStep.Time() - aRun.arrivedAt_,
                 aRun.route_->objective_,
                 aStep.Time());
    FinishForwarded(aStep, aRun, std::move(aAnswer));
    return;
  }
  RequestPart& part = aRun.parts_[aPart];
  const auto attempts = part.attempts_;
  for (const std::uint64_t attempt : attempts) {
    if (attempt != 0) {
      CancelAttempt(aStep, attempt);
    }
  }
  if (part.phase_ == PartPhase::Waiting) {
    DequeuePart(aStep.state_, part);
  }
  part.phase_ = PartPhase::Done;
  part.proof_ = std::move(aAnswer.proof_);
  part.body_ = std::move(aAnswer.body_);
  if (++aRun.done_ == aRun.needed_) {
    AdjustWindow(*aRun.load_,
                 aStep.Time() - aRun.arrivedAt_,
                 aRun.route_->objective_,
                 aStep.Time());
  }
  const std::uint64_t key = aRun.key_;
  FinishIfDecided(aStep, aRun);
  if (GatewayRun* run = FindSlot(aStep.state_.runs_, key)) {
    ReleaseHeld(aStep, *run);
  }
}

void
FailPart(GatewayStep& aStep, GatewayRun& aRun, std::uint32_t aPart)
{
  aRun.parts_[aPart].phase_ = PartPhase::Failed;
  ++aRun.failed_;
  if (aRun.route_->IsQuery()) {
    const std::uint64_t key = aRun.key_;
    FinishIfDecided(aStep, aRun);
    if (GatewayRun* run = FindSlot(aStep.state_.runs_, key)) {
      AdvanceProbe(aStep, *run);
    }
    return;
  }
  // A failure answer of a server is forwarded unchanged, unless it reports that
  // the request did not run.
  if (aRun.mayHaveRun_ && aRun.failure_.status_ != 0 &&
      !aRun.failure_.notRun_ && !aRun.failure_.encoded_ &&
      aRun.failure_.status_ >= 300) {
    FinishForwarded(aStep, aRun, std::move(aRun.failure_));
    return;
  }
  FinishFailed(aStep, aRun, ProxyCode::Failed);
}

void
HandleSoftDeadline(GatewayStep& aStep, GatewayRun& aRun)
{
  aRun.late_ = aRun.done_ < aRun.needed_;
  if (!aRun.late_) {
    if (aRun.route_->IsQuery()) {
      FinishMerged(aStep, aRun);
    }
    return;
  }
  ShrinkWindowOnLate(*aRun.load_, aRun.route_->objective_, aStep.Time());
  // Queues the parts behind all requests that can still meet their objective.
  for (std::uint32_t i = 0; i < aRun.parts_.size(); ++i) {
    if (aRun.parts_[i].phase_ == PartPhase::Waiting) {
      DequeuePart(aStep.state_, aRun.parts_[i]);
      EnqueuePart(aStep, aRun, i);
    }
  }
}

void
HandleDeadline(GatewayStep& aStep, GatewayRun& aRun)
{
  if (aRun.route_->IsQuery() && aRun.done_ >= aRun.needed_) {
    FinishMerged(aStep, aRun);
    return;
  }
  FinishFailed(aStep, aRun, ProxyCode::TimedOut);
}

} // namespace camphorfield
