// Admits or rejects a request on arrival. Callers without a valid key must cost
// little and learn nothing, a key that is too new to be known here must not be
// refused for good, and requests of a key that is withdrawn while they wait in
// queues must not run.
#include "gateway/admission/admission_internal.h"
#include "gateway/backend/backend_internal.h"
#include "gateway/crash/crash_guard.h"
#include "gateway/gateway_func.h"
#include "gateway/guidance/guidance_internal.h"
#include "gateway/request/request_internal.h"
#include "gateway/request/route_match.h"

#include "core/hash_func.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
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
  for (const ServiceNumber service : ServicesOf(aState, route)) {
    aRun.parts_.emplace_back();
    aRun.parts_.back().service_ = service;
  }
}

/** Who sends a request, by its key. */
struct Sender
{
  KeyDigest keyDigest_;
  std::uint32_t organisation_ = kNoOrganisation;
};

Sender
FindSender(const GatewayState& aState, const ProxyRequest& aRequest)
{
  Sender sender;
  sender.keyDigest_ = DigestKey(aRequest.key_, aState.settings_.keySeed_);
  sender.organisation_ =
    FindOrganisation(aState.organisations_, sender.keyDigest_);
  return sender;
}

/** Whether the store may hold a newer configuration that is in force at others.
 */
bool
AreTablesStale(const GatewayState& aState, TimePoint aNow)
{
  const Duration bound = aState.settings_.configApply_;
  return aState.newerConfigExpected_ ||
         (bound.count() > 0 && aState.tablesAsOf_ != kNever &&
          aNow - aState.tablesAsOf_ > bound);
}

void
RejectUnknownKey(GatewayStep& aStep,
                 const ProxyRequest& aRequest,
                 const GatewayRoute& aRoute)
{
  RejectionDetail detail;
  if (aRequest.key_.empty()) {
    detail.reason_ = "no key, or several";
    RejectRequest(aStep, aRequest, ProxyCode::Unauthorized, &aRoute, detail);
    return;
  }
  detail.reason_ = "unknown key";
  if (!AreTablesStale(aStep.state_, aStep.Time())) {
    RejectRequest(aStep, aRequest, ProxyCode::Unauthorized, &aRoute, detail);
    return;
  }
  // The key may be newer than the tables, and 401 would end the caller's tries.
  detail.reason_ = "unknown key, while the configuration may be outdated";
  detail.notBefore_ = kRetryAfterNotReady;
  ++aStep.state_.stats_.staleKeyRejections_;
  RejectRequest(aStep, aRequest, ProxyCode::NotReady, &aRoute, detail);
}

FairSender
MakeFairSender(const GatewayState& aState,
               const Sender& aSender,
               const GatewayRoute& aRoute)
{
  FairSender fair;
  fair.priority_ = aRoute.priority_;
  if (aSender.organisation_ != kNoOrganisation) {
    const Organisation& organisation =
      (*aState.config_->organisations_)[aSender.organisation_];
    fair.organisation_ = HashText(organisation.name_);
    fair.weight_ = organisation.perSecond_;
    fair.priority_ = organisation.priority_.value_or(aRoute.priority_);
  }
  return fair;
}

/** Rejects a request that finds the window of its route full; false if it may
 * run. */
bool
RejectIfFull(GatewayStep& aStep,
             const ProxyRequest& aRequest,
             const GatewayRoute& aRoute,
             const Sender& aSender)
{
  GatewayState& state = aStep.state_;
  if (!state.settings_.policy_.admission_) {
    return false;
  }
  RouteLoad& load = state.loads_[aRoute.name_];
  const double window = AdmissionWindow(state, load, aRoute);
  if (!state.organisations_.configured_ || !state.settings_.policy_.fair_) {
    if (IsAdmitted(load, window)) {
      return false;
    }
    RejectRequest(aStep, aRequest, ProxyCode::Overloaded, &aRoute);
    return true;
  }
  const FairSender sender = MakeFairSender(state, aSender, aRoute);
  const FairVerdict verdict =
    IsFairlyAdmitted(load.fair_, sender, load.inFlight_, window, aStep.Time());
  if (verdict.admitted_) {
    return false;
  }
  RejectionDetail detail;
  if (aSender.organisation_ != kNoOrganisation) {
    detail.organisation_ =
      (*state.config_->organisations_)[aSender.organisation_].name_;
  }
  detail.notBefore_ = ChooseFairReturn(load.fair_,
                                       verdict,
                                       ChooseRetryAfter(aRoute, aStep.rng_),
                                       aStep.Time(),
                                       aStep.rng_);
  detail.reason_ = absl::StrCat("in flight ",
                                load.inFlight_,
                                " of ",
                                std::floor(load.window_),
                                verdict.entitled_ ? ", below" : ", above",
                                " its part");
  RejectRequest(aStep, aRequest, ProxyCode::Overloaded, &aRoute, detail);
  return true;
}

GatewayRun&
MakeRun(GatewayStep& aStep,
        const ProxyRequest& aRequest,
        const GatewayRoute& aRoute,
        const Sender& aSender,
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
  run.keyDigest_ = aSender.keyDigest_;
  run.organisation_ = aSender.organisation_;
  run.priority_ = aRoute.priority_;
  if (aSender.organisation_ != kNoOrganisation) {
    run.priority_ =
      (*run.config_->organisations_)[aSender.organisation_].priority_.value_or(
        aRoute.priority_);
  }
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
  ++run.load_->fair_.inFlight_[FairClass(run.priority_)];
  if (state.organisations_.configured_) {
    CountFairUse(
      run.load_->fair_, MakeFairSender(state, aSender, aRoute), aStep.Time());
  }
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
        (!HasAllowedServer(aStep.state_, *aRun.route_, service) ||
         TimeUntilRoom(
           aStep.state_, service, service.queue_.size(), aStep.Time()) >
           aRun.softAt_ - aStep.Time())) {
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
    [&aState, &aRun, aNow](const RequestPart& aPart) {
      const GatewayServiceState& service = aState.services_[aPart.service_];
      return IsServiceDown(aState, service, aNow) ||
             !HasAllowedServer(aState, *aRun.route_, service);
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
    // A caller that returns was promised room before those that follow.
    waits.push_back(
      aRun.waitedBefore_ > Duration::zero()
        ? TimeUntilRoom(aState, service, service.queue_.size(), aNow)
        : TimeUntilUnpromisedRoom(aState, service, aNow));
  }
  const auto last = waits.begin() + (aRun.needed_ - 1);
  std::nth_element(waits.begin(), last, waits.end());
  return *last;
}

/** Longest time that a request waits for room at servers. Those that are late
 * already would wait for cold servers until their deadline. */
Duration
LongestWait(const GatewayRun& aRun, bool aCold, TimePoint aNow)
{
  const Duration left = aRun.softAt_ - aNow;
  const Duration objective = aRun.route_->objective_;
  return aCold && objective.count() > 0 ? std::min(left, objective) : left;
}

} // namespace

std::optional<std::string>
OrganisationName(const GatewayRun& aRun)
{
  if (!aRun.config_->organisations_) {
    return std::nullopt;
  }
  return aRun.organisation_ == kNoOrganisation
           ? std::string()
           : (*aRun.config_->organisations_)[aRun.organisation_].name_;
}

// The new configuration decides which routes are public. One that it doesn't
// have any more is taken as it was.
void
RejectRevokedRuns(GatewayStep& aStep)
{
  GatewayState& state = aStep.state_;
  if (!state.organisations_.configured_) {
    return;
  }
  for (GatewayRun& run : state.runs_.slots_) {
    if (run.key_ == 0 || run.revoked_) {
      continue;
    }
    const GatewayRoute* route =
      FindRoute(*state.config_, run.message_->host_, run.message_->path_);
    const bool isPublic = (route == nullptr ? run.route_ : route)->public_;
    if (!isPublic && FindOrganisation(state.organisations_, run.keyDigest_) ==
                       kNoOrganisation) {
      RevokeRun(aStep, run);
    }
  }
  DispatchMarked(aStep);
}

void
GatewayOnEvent(GatewayState& aState,
               const ProxyRequest& aRequest,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut)
{
  GatewayStep step{ aState, aNow, aRng, aOut };
  AdmitRequest(step, aRequest, 0);
}

void
AdmitRequest(GatewayStep& aStep,
             const ProxyRequest& aRequest,
             std::uint64_t aCap)
{
  GatewayState& state = aStep.state_;
  const TimePoint now = aStep.Time();
  const GatewayRoute* route = nullptr;
  const auto reject = [&](ProxyCode aCode) {
    ReturnToken(aStep, aCap);
    RejectRequest(aStep, aRequest, aCode, route);
  };
  if (state.config_ == nullptr) {
    reject(ProxyCode::NotReady);
    return;
  }
  route = FindRoute(
    *state.config_, aRequest.message_->host_, aRequest.message_->path_);
  if (route == nullptr) {
    reject(ProxyCode::NoRoute);
    return;
  }
  const Sender sender = FindSender(state, aRequest);
  if (state.organisations_.configured_ && !route->public_ &&
      sender.organisation_ == kNoOrganisation) {
    ReturnToken(aStep, aCap);
    RejectUnknownKey(aStep, aRequest, *route);
    return;
  }
  if (!CanFinishBeforeStop(
        state.stop_, *route, RequestTimeout(aRequest, *route), now)) {
    reject(ProxyCode::Stopping);
    return;
  }
  const ContentKeys content = MakeContentKeys(aRequest);
  if (IsQuarantined(state, content, now)) {
    reject(ProxyCode::Quarantined);
    return;
  }
  RouteLoad& load = state.loads_[route->name_];
  const Duration waited = TimeSinceFirstAttempt(aRequest, load, now);
  // With cold servers, the time until they have room is known.
  const bool cold = HasOnlyColdRoom(state, *route, now);
  if (!cold && RejectIfFull(aStep, aRequest, *route, sender)) {
    ReturnToken(aStep, aCap);
    return;
  }
  const bool admitted = !cold || !state.settings_.policy_.admission_ ||
                        IsAdmitted(load, AdmissionWindow(state, load, *route));
  if (aCap == 0 && sender.organisation_ != kNoOrganisation) {
    RateCap* cap = FindCap(
      state.caps_, (*state.config_->organisations_)[sender.organisation_]);
    if (cap != nullptr) {
      AwaitCapToken(aStep, aRequest, *cap);
      return;
    }
  }
  GatewayRun& run = MakeRun(aStep, aRequest, *route, sender, content, waited);
  run.cap_ = aCap;
  const auto parts = static_cast<std::uint32_t>(run.parts_.size());
  if (parts - CountUnavailableShards(state, run, now) < run.needed_) {
    FinishFailed(aStep, run, ProxyCode::NoServer);
    return;
  }
  const Duration wait = TimeUntilEnoughRoom(state, run, now);
  if (!admitted || wait > LongestWait(run, cold, now)) {
    ++state.stats_.limitRejections_;
    FinishFailed(
      aStep, run, ProxyCode::NoServer, PromiseColdSlot(aStep, run, wait));
    return;
  }
  StartRun(aStep, run);
  DispatchMarked(aStep);
}

} // namespace camphorfield
