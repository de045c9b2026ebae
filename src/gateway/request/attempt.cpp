// Sends parts to servers, and hedges to a second server when the first one
// pauses, within the retry budget that all daemons share.
#include "gateway/backend/backend_internal.h"
#include "gateway/backend/connection_use.h"
#include "gateway/backend/cost_placement.h"
#include "gateway/crash/crash_guard.h"
#include "gateway/guidance/guidance_internal.h"
#include "gateway/request/request_internal.h"
#include "gateway/request/route_times.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Parts without a server that one pass over a queue skips. */
constexpr std::size_t kMaxBlockedParts = 8;

void
SetTimers(GatewayStep& aStep, const GatewayRun& aRun, const Attempt& aAttempt)
{
  BasicTimerHeap<GatewayTimer>& timers = aStep.state_.timers_;
  if (aRun.route_->kind_ == RequestKind::NonIdempotent) {
    // It outlives its run, but not a server that never ends its answer.
    AddTimer(timers,
             { aRun.deadline_ + kAbandonGrace,
               aAttempt.key_,
               0,
               GatewayTimer::Silence });
    return;
  }
  const Duration silence = SilenceLimit(*aRun.load_);
  if (silence < aRun.deadline_ - aAttempt.sentAt_) {
    AddTimer(
      timers,
      { aAttempt.sentAt_ + silence, aAttempt.key_, 0, GatewayTimer::Silence });
  }
  if (aAttempt.hedge_ || !aStep.state_.settings_.policy_.hedge_) {
    return;
  }
  const Duration delay = aAttempt.cost_ != nullptr
                           ? FirstHedgeCheck(aRun, aAttempt)
                           : HedgeDelay(*aRun.load_, *aRun.route_);
  AddTimer(timers,
           { aAttempt.sentAt_ + delay, aAttempt.key_, 0, GatewayTimer::Hedge });
}

void
Send(GatewayStep& aStep,
     GatewayRun& aRun,
     std::uint32_t aPart,
     std::uint64_t aBackend,
     bool aHedge)
{
  GatewayState& state = aStep.state_;
  RequestPart& part = aRun.parts_[aPart];
  Backend& backend = *FindSlot(state.backends_, aBackend);
  BackendConn& conn =
    *FindIdle(state, backend, aRun.requestHash_, aStep.Time());
  Attempt& attempt = AllocateSlot(state.attempts_);
  attempt = Attempt{ attempt.key_,
                     aRun.key_,
                     aPart,
                     aBackend,
                     conn.key_,
                     aStep.Time(),
                     TypicalLatency(*aRun.load_, *aRun.route_),
                     aHedge,
                     backend.lifeSign_.at_ };
  if (aRun.cost_ != nullptr) {
    attempt.cost_ = aRun.cost_;
    attempt.estimate_ = state.placement_.chosen_;
    part.note_ = state.placement_.note_;
  }
  CountAgainstLimit(backend.rateLimit_, state.limitShare_, aStep.Time());
  CountColdSend(state, backend, aStep.Time());
  conn.state_ = BackendConnState::Busy;
  conn.attempt_ = attempt.key_;
  conn.requestHash_ = aRun.requestHash_;
  AddCarriedId(conn.carried_, aRun.requestHash_);
  ++backend.inFlight_;
  state.stats_.crossDomainSends_ += IsSameDomain(state, backend) ? 0 : 1;
  part.attempts_[part.attempts_[0] == 0 ? 0 : 1] = attempt.key_;
  part.phase_ = PartPhase::Running;
  ++part.sends_;
  ++aRun.sends_;
  if (std::find(part.tried_.begin(), part.tried_.end(), aBackend) ==
      part.tried_.end()) {
    part.tried_.push_back(aBackend);
  }
  if (!part.counted_) {
    part.counted_ = true;
    ++state.stats_.firstSends_;
    CountFirst(state.services_[part.service_].budget_,
               state.settings_.budget_,
               aStep.Time());
  }
  SetTimers(aStep, aRun, attempt);
  aStep.out_.emplace_back(BackendSend{ SubRequestId{ attempt.key_ },
                                       ConnectionId{ conn.key_ },
                                       aRun.message_,
                                       aRun.deadline_ - aStep.Time(),
                                       backend.entry_.id_,
                                       OrganisationName(aRun) });
  EnsureConnections(aStep, backend);
}

/** Opens connections to the servers that a hedge could go to: PlacementMode::
 * Cost keeps none open ahead to servers that are hardly used. */
void
OpenForHedge(GatewayStep& aStep, const RequestPart& aPart)
{
  GatewayState& state = aStep.state_;
  const std::vector<std::uint64_t> backends =
    state.services_[aPart.service_].backends_;
  for (const std::uint64_t key : backends) {
    Backend& backend = *FindSlot(state.backends_, key);
    if (backend.connections_.empty()) {
      RecordWanted(backend, aStep.Time());
      EnsureConnections(aStep, backend);
    }
  }
}

/** Dispatches a queue again once the servers' request limits leave room. */
void
WakeWhenAllowed(GatewayStep& aStep, ServiceNumber aService)
{
  GatewayServiceState& service = aStep.state_.services_[aService];
  const Duration wait = TimeUntilRoom(aStep.state_, service, 0, aStep.Time());
  if (wait == Duration::zero() || wait == Duration::max() ||
      service.wakeAt_ > aStep.Time()) {
    return;
  }
  service.wakeAt_ = aStep.Time() + wait;
  AddTimer(aStep.state_.timers_,
           { service.wakeAt_, aService, 0, GatewayTimer::QueueWake });
}

void
DispatchQueue(GatewayStep& aStep, ServiceNumber aService)
{
  GatewayState& state = aStep.state_;
  std::size_t blocked = 0;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> quarantined;
  auto next = state.services_[aService].queue_.begin();
  while (next != state.services_[aService].queue_.end() &&
         blocked < kMaxBlockedParts) {
    const QueueKey key = *next++;
    GatewayRun& run = *FindSlot(state.runs_, std::get<3>(key));
    const std::uint32_t index = std::get<4>(key);
    if (IsQuarantined(state, run.content_, aStep.Time())) {
      quarantined.emplace_back(run.key_, index);
      ++blocked;
      continue;
    }
    const std::uint64_t backend =
      ChooseBackend(aStep, run, run.parts_[index], false);
    if (backend == 0) {
      ++blocked;
      continue;
    }
    state.services_[aService].queue_.erase(key);
    Send(aStep, run, index, backend, false);
  }
  for (const auto& [key, index] : quarantined) {
    // The failure of an earlier part may have ended the run.
    if (GatewayRun* run = FindSlot(state.runs_, key)) {
      DequeuePart(state, run->parts_[index]);
      FailPart(aStep, *run, index);
    }
  }
  if (!state.services_[aService].queue_.empty()) {
    WakeWhenAllowed(aStep, aService);
    const std::vector<std::uint64_t> backends =
      state.services_[aService].backends_;
    for (const std::uint64_t key : backends) {
      EnsureConnections(aStep, *FindSlot(state.backends_, key));
    }
  }
}

} // namespace

bool
TakeExtraSend(GatewayStep& aStep, const RequestPart& aPart)
{
  GatewayState& state = aStep.state_;
  const bool taken = TakeExtra(state.services_[aPart.service_].budget_,
                               state.settings_.budget_,
                               state.slackFraction_,
                               aStep.Time());
  state.stats_.budgetDenied_ += taken ? 0 : 1;
  return taken;
}

void
DispatchMarked(GatewayStep& aStep)
{
  std::vector<ServiceNumber>& marked = aStep.state_.marked_;
  while (!marked.empty()) {
    const ServiceNumber number = marked.back();
    marked.pop_back();
    aStep.state_.services_[number].marked_ = false;
    DispatchQueue(aStep, number);
  }
}

void
EnqueuePart(GatewayStep& aStep, GatewayRun& aRun, std::uint32_t aPart)
{
  RequestPart& part = aRun.parts_[aPart];
  part.phase_ = PartPhase::Waiting;
  PrepareCost(aStep.state_, aRun, aStep.Time());
  const TimePoint urgency = aRun.late_ ? aRun.deadline_ : aRun.softAt_;
  part.queueKey_ =
    QueueKey(aRun.late_, aRun.priority_, urgency, aRun.key_, aPart);
  aStep.state_.services_[part.service_].queue_.insert(part.queueKey_);
  MarkService(aStep.state_, part.service_);
}

void
DequeuePart(GatewayState& aState, RequestPart& aPart)
{
  aState.services_[aPart.service_].queue_.erase(aPart.queueKey_);
}

void
HedgeAttempt(GatewayStep& aStep, std::uint64_t aAttempt)
{
  GatewayState& state = aStep.state_;
  const Attempt* attempt = FindSlot(state.attempts_, aAttempt);
  GatewayRun* run =
    attempt == nullptr ? nullptr : FindSlot(state.runs_, attempt->run_);
  if (run == nullptr) {
    return;
  }
  const std::uint32_t index = attempt->part_;
  RequestPart& part = run->parts_[index];
  RecordPendingTime(
    aStep, *FindSlot(state.backends_, attempt->backend_), *attempt);
  if (part.attempts_[0] != 0 && part.attempts_[1] != 0) {
    return;
  }
  if (part.mayHaveRun_ + 1U >= kMaxRuns || part.sends_ >= kMaxSends ||
      run->revoked_ || MayCrashServers(*run) ||
      IsSuspected(state, run->content_)) {
    return;
  }
  const std::uint64_t backend = ChooseBackend(aStep, *run, part, true);
  double repeatedError = 0.0;
  const bool wanted = attempt->cost_ == nullptr || backend == 0 ||
                      IsHedgeWorthwhile(state,
                                        *run,
                                        *attempt,
                                        *FindSlot(state.backends_, backend),
                                        aStep.Time(),
                                        repeatedError);
  if (backend == 0 || !wanted) {
    // The other servers are busy: try again soon.
    if (backend == 0 && attempt->cost_ != nullptr) {
      OpenForHedge(aStep, part);
    }
    if (part.tried_.size() < run->route_->maxAttempts_) {
      AddTimer(state.timers_,
               { aStep.Time() + TypicalLatency(*run->load_, *run->route_) / 4,
                 aAttempt,
                 0,
                 GatewayTimer::Hedge });
    }
    return;
  }
  if (!TakeExtraSend(aStep, part)) {
    return;
  }
  ++state.stats_.hedges_;
  ++run->hedges_;
  Send(aStep, *run, index, backend, true);
  if (Attempt* hedge = FindSlot(state.attempts_, part.attempts_[1])) {
    hedge->repeatedError_ = repeatedError;
  }
}

} // namespace camphorfield
