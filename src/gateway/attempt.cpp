// One request on its way to one server: when it is sent, what its answer is
// worth, and when a second server is asked. Answers pauses of single servers
// and answers that are lost, within the budget that all daemons share.
#include "gateway/gateway_func.h"
#include "gateway/gateway_internal.h"

#include <absl/strings/match.h>
#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

constexpr std::uint32_t kStatusOk = 200;
constexpr std::uint32_t kStatusMultiple = 300;
constexpr std::uint32_t kStatusMisdirected = 421;
constexpr std::size_t kBlockedScan = 8; ///< Parts looked at behind the first.
constexpr std::uint32_t kRefreshEvery = 32; ///< Samples between quantiles.

bool
IsSuccess(const BackendAnswer& aAnswer)
{
  return aAnswer.status_ >= kStatusOk && aAnswer.status_ < kStatusMultiple;
}

Duration
UsualTime(const RouteLoad& aLoad)
{
  return aLoad.median_.count() > 0 ? aLoad.median_ : kLatencyUnknown;
}

void
AddAnswerTime(RouteLoad& aLoad, Duration aTime)
{
  AddSample(aLoad.answers_, aTime);
  const bool few = aLoad.answers_.total_ < kSamplesToHedge;
  if (!few && ++aLoad.sinceRefresh_ < kRefreshEvery &&
      aLoad.median_.count() > 0) {
    return;
  }
  aLoad.sinceRefresh_ = 0;
  aLoad.median_ = GetQuantile(aLoad.answers_, 0.5);
  if (few) {
    return;
  }
  const auto median = static_cast<double>(aLoad.median_.count());
  aLoad.hedgeDelay_ =
    std::max({ GetQuantile(aLoad.answers_, kHedgeQuantile),
               Duration(static_cast<std::int64_t>(median * kHedgeMedianFactor)),
               Duration(kHedgeFloor) });
  const auto slowest =
    static_cast<double>(GetQuantile(aLoad.answers_, 0.99).count());
  aLoad.silence_ =
    Duration(static_cast<std::int64_t>(slowest * kSilenceFactor));
}

/** Part that an attempt belongs to, or null when its run has ended. */
RequestPart*
FindPart(GatewayState& aState, const Attempt& aAttempt)
{
  GatewayRun* run = FindSlot(aState.runs_, aAttempt.run_);
  return run == nullptr ? nullptr : &run->parts_[aAttempt.part_];
}

bool
HasAttempts(const RequestPart& aPart)
{
  return aPart.attempts_[0] != 0 || aPart.attempts_[1] != 0;
}

void
SetTimers(GatewayStep& aStep, const GatewayRun& aRun, const Attempt& aAttempt)
{
  KindTimerHeap<GatewayTimer>& timers = aStep.state_.timers_;
  if (aRun.route_->kind_ == RequestKind::NonIdempotent) {
    return;
  }
  const Duration silence =
    std::max<Duration>(aRun.load_->silence_, kSilenceFloor);
  AddTimer(
    timers,
    { aAttempt.sentAt_ + silence, aAttempt.key_, 0, GatewayTimer::Silence });
  if (aAttempt.hedge_ || !aStep.state_.settings_.policy_.hedge_) {
    return;
  }
  const Duration delay = aRun.load_->hedgeDelay_.count() > 0
                           ? aRun.load_->hedgeDelay_
                           : Duration(kHedgeUnknown);
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
  BackendConn& conn = *FindIdle(state, backend);
  Attempt& attempt = TakeSlot(state.attempts_);
  attempt = Attempt{
    attempt.key_,           aRun.key_, aPart, aBackend, conn.key_, aStep.Time(),
    UsualTime(*aRun.load_), aHedge
  };
  conn.state_ = BackendConnState::Busy;
  conn.attempt_ = attempt.key_;
  ++backend.inFlight_;
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
                                       backend.entry_.id_ });
  EnsureConnections(aStep, backend);
}

/** Takes an attempt out of its part, server and connection. */
Attempt
Detach(GatewayStep& aStep, std::uint64_t aAttempt)
{
  GatewayState& state = aStep.state_;
  Attempt& slot = *FindSlot(state.attempts_, aAttempt);
  const Attempt attempt = slot;
  FreeSlot(state.attempts_, slot);
  if (RequestPart* part = FindPart(state, attempt)) {
    for (std::uint64_t& key : part->attempts_) {
      key = key == aAttempt ? 0 : key;
    }
  }
  Backend& backend = *FindSlot(state.backends_, attempt.backend_);
  --backend.inFlight_;
  MarkService(state, backend.service_);
  return attempt;
}

/** Gives a connection back after a whole answer. */
void
Release(GatewayStep& aStep,
        const Attempt& aAttempt,
        const BackendAnswer& aAnswer)
{
  GatewayState& state = aStep.state_;
  BackendConn& conn = *FindSlot(state.connections_, aAttempt.connection_);
  Backend& backend = *FindSlot(state.backends_, aAttempt.backend_);
  conn.state_ = BackendConnState::Idle;
  conn.used_ = true;
  backend.reconnect_ = Duration::zero();
  conn.attempt_ = 0;
  conn.usedAt_ = aStep.Time();
  const Duration life = aAnswer.keepAlive_.count() > 0
                          ? aAnswer.keepAlive_ - kKeepAliveMargin
                          : Duration(kKeepAliveUnknown);
  conn.expiresAt_ = aStep.Time() + life;
  if (aAnswer.closing_ || !IsUsable(backend)) {
    CloseConnection(aStep, aAttempt.connection_);
  }
}

/** Whether a part may be sent once more after a failed attempt. */
bool
MayRetry(const GatewayRun& aRun, const RequestPart& aPart)
{
  const std::uint32_t runs =
    aRun.route_->kind_ == RequestKind::Idempotent ? kMaxRuns : 1;
  return aPart.mayHaveRun_ < runs && aPart.sends_ < kMaxSends;
}

void
RetryOrFail(GatewayStep& aStep, GatewayRun& aRun, std::uint32_t aPart)
{
  GatewayState& state = aStep.state_;
  RequestPart& part = aRun.parts_[aPart];
  if (!MayRetry(aRun, part)) {
    FailPart(aStep, aRun, aPart);
    return;
  }
  if (!TakeExtra(state.services_[part.service_].budget_,
                 state.settings_.budget_,
                 state.daemons_,
                 aStep.Time())) {
    ++state.stats_.budgetDenied_;
    FailPart(aStep, aRun, aPart);
    return;
  }
  ++state.stats_.retries_;
  EnqueuePart(aStep, aRun, aPart);
}

AttemptEnd
Classify(const BackendAnswer& aAnswer)
{
  if (aAnswer.notRun_ || aAnswer.status_ == kStatusMisdirected) {
    return AttemptEnd::NotRun;
  }
  if (IsSuccess(aAnswer) && (aAnswer.proof_.empty() || aAnswer.encoded_)) {
    return AttemptEnd::Garbled;
  }
  return IsSuccess(aAnswer) ? AttemptEnd::End : AttemptEnd::Failed;
}

void
LearnFromEnd(GatewayStep& aStep,
             Backend& aBackend,
             const BackendAnswer* aAnswer,
             AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::NotRun:
      if (aAnswer != nullptr && aAnswer->status_ == kStatusMisdirected) {
        NoteMisdirected(aStep, aBackend);
      } else {
        NoteShed(aStep, aBackend);
      }
      break;
    case AttemptEnd::Garbled:
      ++aStep.state_.stats_.garbled_;
      NoteFailure(aStep, aBackend, "its answers are spoiled");
      break;
    case AttemptEnd::Broken:
      NoteFailure(aStep, aBackend, "its connections break");
      break;
    case AttemptEnd::Failed:
      NoteFailure(aStep, aBackend, "it fails requests");
      break;
    default:
      break;
  }
}

/** What follows for the run once an attempt ended without a success. */
void
Continue(GatewayStep& aStep,
         const Attempt& aAttempt,
         AttemptEnd aEnd,
         BackendAnswer* aAnswer)
{
  GatewayRun* run = FindSlot(aStep.state_.runs_, aAttempt.run_);
  if (run == nullptr) {
    return;
  }
  RequestPart& part = run->parts_[aAttempt.part_];
  if (aEnd == AttemptEnd::NotRun) {
    std::erase(part.tried_, aAttempt.backend_);
  } else {
    ++part.mayHaveRun_;
    run->mayHaveRun_ = true;
  }
  if (aAnswer != nullptr) {
    run->failure_ = std::move(*aAnswer);
  }
  if (part.phase_ == PartPhase::Running && !HasAttempts(part)) {
    RetryOrFail(aStep, *run, aAttempt.part_);
  }
}

void
PumpService(GatewayStep& aStep, ServiceNumber aService)
{
  GatewayState& state = aStep.state_;
  std::size_t blocked = 0;
  auto next = state.services_[aService].queue_.begin();
  while (next != state.services_[aService].queue_.end() &&
         blocked < kBlockedScan) {
    const QueueKey place = *next++;
    GatewayRun& run = *FindSlot(state.runs_, std::get<3>(place));
    const std::uint32_t index = std::get<4>(place);
    const std::uint64_t backend =
      ChooseBackend(aStep, run, run.parts_[index], false);
    if (backend == 0) {
      ++blocked;
      continue;
    }
    state.services_[aService].queue_.erase(place);
    Send(aStep, run, index, backend, false);
  }
  if (!state.services_[aService].queue_.empty()) {
    const std::vector<std::uint64_t> backends =
      state.services_[aService].backends_;
    for (const std::uint64_t key : backends) {
      EnsureConnections(aStep, *FindSlot(state.backends_, key));
    }
  }
}

} // namespace

void
PumpMarked(GatewayStep& aStep)
{
  std::vector<ServiceNumber>& marked = aStep.state_.marked_;
  while (!marked.empty()) {
    const ServiceNumber number = marked.back();
    marked.pop_back();
    aStep.state_.services_[number].marked_ = false;
    PumpService(aStep, number);
  }
}

void
EnqueuePart(GatewayStep& aStep, GatewayRun& aRun, std::uint32_t aPart)
{
  RequestPart& part = aRun.parts_[aPart];
  part.phase_ = PartPhase::Waiting;
  const TimePoint urgency = aRun.late_ ? aRun.deadline_ : aRun.softAt_;
  part.place_ =
    QueueKey(aRun.late_, aRun.route_->priority_, urgency, aRun.key_, aPart);
  aStep.state_.services_[part.service_].queue_.insert(part.place_);
  MarkService(aStep.state_, part.service_);
}

void
DequeuePart(GatewayState& aState, RequestPart& aPart)
{
  aState.services_[aPart.service_].queue_.erase(aPart.place_);
}

void
EndAttempt(GatewayStep& aStep, std::uint64_t aAttempt, AttemptEnd aEnd)
{
  const Attempt attempt = Detach(aStep, aAttempt);
  Backend& backend = *FindSlot(aStep.state_.backends_, attempt.backend_);
  LearnFromEnd(aStep, backend, nullptr, aEnd);
  CloseConnection(aStep, attempt.connection_);
  Continue(aStep, attempt, aEnd, nullptr);
}

// A server drops what it runs when the connection closes, which frees its
// slot; a new connection costs less than most of the work that is left.
void
CancelAttempt(GatewayStep& aStep, std::uint64_t aAttempt)
{
  const Attempt attempt = Detach(aStep, aAttempt);
  Backend& backend = *FindSlot(aStep.state_.backends_, attempt.backend_);
  NoteNoAnswerYet(aStep, backend, attempt);
  GatewayRun* run = FindSlot(aStep.state_.runs_, attempt.run_);
  if (run != nullptr) {
    AddAnswerTime(*run->load_, aStep.Time() - attempt.sentAt_);
  }
  CloseConnection(aStep, attempt.connection_);
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
  NoteNoAnswerYet(
    aStep, *FindSlot(state.backends_, attempt->backend_), *attempt);
  if (part.attempts_[0] != 0 && part.attempts_[1] != 0) {
    return;
  }
  if (part.mayHaveRun_ + 1U >= kMaxRuns || part.sends_ >= kMaxSends) {
    return;
  }
  const std::uint64_t backend = ChooseBackend(aStep, *run, part, true);
  if (backend == 0) {
    // The other servers are busy: look again before long.
    if (part.tried_.size() < run->route_->maxAttempts_) {
      AddTimer(state.timers_,
               { aStep.Time() + UsualTime(*run->load_) / 4,
                 aAttempt,
                 0,
                 GatewayTimer::Hedge });
    }
    return;
  }
  if (!TakeExtra(state.services_[part.service_].budget_,
                 state.settings_.budget_,
                 state.daemons_,
                 aStep.Time())) {
    ++state.stats_.budgetDenied_;
    return;
  }
  ++state.stats_.hedges_;
  ++run->hedges_;
  Send(aStep, *run, index, backend, true);
}

void
EndSilentAttempt(GatewayStep& aStep, std::uint64_t aAttempt)
{
  if (FindSlot(aStep.state_.attempts_, aAttempt) != nullptr) {
    EndAttempt(aStep, aAttempt, AttemptEnd::Broken);
  }
}

void
GatewayOnEvent(GatewayState& aState,
               BackendAnswer&& aAnswer,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut)
{
  GatewayStep step{ aState, aNow, aRng, aOut };
  BackendConn* conn = FindSlot(aState.connections_, aAnswer.connection_.value_);
  if (conn == nullptr) {
    return;
  }
  if (conn->state_ != BackendConnState::Busy) {
    // Nothing was asked for.
    ++aState.stats_.garbled_;
    CloseConnection(step, conn->key_);
    return;
  }
  const std::uint64_t key = conn->attempt_;
  const Attempt* pending = FindSlot(aState.attempts_, key);
  const GatewayRun* asking = FindSlot(aState.runs_, pending->run_);
  if (asking != nullptr && !aAnswer.requestId_.empty() &&
      aAnswer.requestId_ != asking->message_->requestId_) {
    // A second answer to an earlier request; ours is still to come.
    ++aState.stats_.garbled_;
    return;
  }
  const AttemptEnd end = Classify(aAnswer);
  const Attempt attempt = Detach(step, key);
  Backend& backend = *FindSlot(aState.backends_, attempt.backend_);
  Release(step, attempt, aAnswer);
  GatewayRun* run = FindSlot(aState.runs_, attempt.run_);
  if (end != AttemptEnd::End) {
    LearnFromEnd(step, backend, &aAnswer, end);
    Continue(step, attempt, end, &aAnswer);
  } else {
    NoteAnswer(step, backend, attempt, aAnswer);
    if (run != nullptr) {
      AddAnswerTime(*run->load_, aNow.mono_ - attempt.sentAt_);
      aState.stats_.hedgesWon_ += attempt.hedge_ ? 1 : 0;
      CompletePart(step, *run, attempt.part_, std::move(aAnswer));
    }
  }
  PumpMarked(step);
}

} // namespace camphorfield
