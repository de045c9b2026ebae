// Handles the end of an attempt. When a server fails, rejects or loses an
// answer, idempotent requests and requests that did not run are sent again,
// within the retry budget that all daemons share.
#include "gateway/backend/backend_internal.h"
#include "gateway/backend/connection_use.h"
#include "gateway/backend/cost_placement.h"
#include "gateway/crash/crash_guard.h"
#include "gateway/gateway_func.h"
#include "gateway/guidance/guidance_internal.h"
#include "gateway/request/request_internal.h"
#include "gateway/request/route_times.h"

#include "core/answer_status.h"
#include "core/hash_func.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

/** Part that an attempt belongs to, or null if its run has ended. */
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

/** Frees an attempt and removes it from its part and server. */
Attempt
Detach(GatewayStep& aStep, std::uint64_t aAttempt)
{
  GatewayState& state = aStep.state_;
  Attempt& slot = *FindSlot(state.attempts_, aAttempt);
  Attempt attempt = slot;
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

/** Releases a connection after a complete answer. */
void
Release(GatewayStep& aStep,
        const Attempt& aAttempt,
        const BackendAnswer& aAnswer)
{
  Backend& backend = *FindSlot(aStep.state_.backends_, aAttempt.backend_);
  backend.reconnect_ = Duration::zero();
  const Duration idleTimeout = aAnswer.keepAlive_.count() > 0
                                 ? aAnswer.keepAlive_ - kKeepAliveMargin
                                 : Duration(kDefaultKeepAlive);
  ReleaseConnection(aStep, aAttempt.connection_, idleTimeout);
  if (aAnswer.closing_ || !IsUsable(backend)) {
    CloseConnection(aStep, aAttempt.connection_);
  }
}

/**
 * Takes one more send of a part from the budget.
 * @param aMayHaveRun Sends of it that may have been executed.
 * @return False if the part may not be sent again.
 */
bool
TakeRetry(GatewayStep& aStep,
          const GatewayRun& aRun,
          const RequestPart& aPart,
          std::uint32_t aMayHaveRun)
{
  const std::uint32_t runs =
    aRun.route_->kind_ == RequestKind::Idempotent ? kMaxRuns : 1;
  return !aRun.revoked_ && aMayHaveRun < runs && aPart.sends_ < kMaxSends &&
         !IsQuarantined(aStep.state_, aRun.content_, aStep.Time()) &&
         !IsServiceEvacuated(aStep.state_,
                             aStep.state_.services_[aPart.service_]) &&
         TakeExtraSend(aStep, aPart);
}

/** Whether an answer belongs to an earlier request on its connection. The
 * connection has carried each id once. A server that echoes ids does so in each
 * answer. */
bool
IsOtherAnswer(const Backend& aBackend,
              const BackendConn& aConn,
              const BackendAnswer& aAnswer)
{
  if (aAnswer.requestId_.empty()) {
    return aBackend.echoesIds_ && aConn.requestHash_ != 0;
  }
  return HashText(aAnswer.requestId_) != aConn.requestHash_;
}

/** Whether a second run of an attempt's request would be an error. */
bool
RunsOnce(const GatewayState& aState, std::uint64_t aAttempt)
{
  const Attempt& attempt = aState.attempts_.slots_[aAttempt & kSlotMask];
  const GatewayRun& run = aState.runs_.slots_[attempt.run_ & kSlotMask];
  return run.key_ == attempt.run_ &&
         run.route_->kind_ == RequestKind::NonIdempotent;
}

/** @param aTrusted Whether a report that it did not run is surely about this
 * attempt; otherwise it may be a copy of an earlier one. */
AttemptEnd
Classify(const BackendAnswer& aAnswer, bool aTrusted)
{
  if (aAnswer.notRun_ || aAnswer.status_ == kStatusMisdirected) {
    return aTrusted ? AttemptEnd::NotRun : AttemptEnd::Garbled;
  }
  if (ClassifyStatus(aAnswer.status_) != StatusClass::Success) {
    return AttemptEnd::Failed;
  }
  return aAnswer.proof_.empty() || aAnswer.encoded_ ? AttemptEnd::Garbled
                                                    : AttemptEnd::End;
}

void
RecordAttemptEnd(GatewayStep& aStep,
                 Backend& aBackend,
                 const BackendAnswer* aAnswer,
                 AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::NotRun:
      if (aAnswer != nullptr && aAnswer->status_ == kStatusMisdirected) {
        EjectMisdirected(aStep, aBackend);
      } else {
        RecordShed(aStep, aBackend);
      }
      break;
    case AttemptEnd::Garbled:
      ++aStep.state_.stats_.garbled_;
      RecordFailure(aStep, aBackend, "invalid answers");
      break;
    case AttemptEnd::Broken:
      RecordFailure(aStep, aBackend, "broken connections");
      break;
    case AttemptEnd::Failed:
      RecordFailure(aStep, aBackend, "failed requests");
      break;
    default:
      break;
  }
}

/** Updates the part after an unsuccessful attempt, and retries or fails it. */
void
ContinuePart(GatewayStep& aStep,
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
    const std::uint64_t before = run->failure_.body_.capacity();
    run->failure_ = std::move(*aAnswer);
    HoldAnswer(aStep.state_, *run, before, run->failure_.body_.capacity());
  }
  run->broken_ += aEnd == AttemptEnd::Broken ? 1 : 0;
  if (part.phase_ != PartPhase::Running || HasAttempts(part)) {
    return;
  }
  if (aEnd == AttemptEnd::Broken && MayCrashServers(*run)) {
    part.phase_ = PartPhase::Held;
    AdvanceProbe(aStep, *run);
    return;
  }
  RetryOrFail(aStep, *run, aAttempt.part_);
}

} // namespace

void
RetryOrFail(GatewayStep& aStep, GatewayRun& aRun, std::uint32_t aPart)
{
  const RequestPart& part = aRun.parts_[aPart];
  if (!TakeRetry(aStep, aRun, part, part.mayHaveRun_)) {
    FailPart(aStep, aRun, aPart);
    return;
  }
  ++aStep.state_.stats_.retries_;
  EnqueuePart(aStep, aRun, aPart);
}

void
EndAttempt(GatewayStep& aStep, std::uint64_t aAttempt, AttemptEnd aEnd)
{
  const Attempt attempt = Detach(aStep, aAttempt);
  Backend& backend = *FindSlot(aStep.state_.backends_, attempt.backend_);
  RecordAttemptEnd(aStep, backend, nullptr, aEnd);
  CloseConnection(aStep, attempt.connection_);
  ContinuePart(aStep, attempt, aEnd, nullptr);
}

// A silent server may be at work or gone. The attempt makes way for another
// one; where there can be none, its answer is awaited until the deadline.
void
EndSilentAttempt(GatewayStep& aStep, std::uint64_t aAttempt)
{
  GatewayState& state = aStep.state_;
  const Attempt* slot = FindSlot(state.attempts_, aAttempt);
  if (slot == nullptr) {
    return;
  }
  GatewayRun* run = FindSlot(state.runs_, slot->run_);
  if (slot->abandoned_) {
    // Nothing was expected of the server any more.
    CloseConnection(aStep, Detach(aStep, aAttempt).connection_);
    return;
  }
  if (run == nullptr) {
    EndAttempt(aStep, aAttempt, AttemptEnd::Broken);
    return;
  }
  RequestPart& part = run->parts_[slot->part_];
  const bool isOnly = part.attempts_[0] == 0 || part.attempts_[1] == 0;
  if (isOnly && !TakeRetry(aStep, *run, part, part.mayHaveRun_ + 1U)) {
    RecordPendingTime(aStep, *FindSlot(state.backends_, slot->backend_), *slot);
    return;
  }
  RecordLostAttempt(aStep, *run, *slot, AttemptLoss::Silent);
  const Attempt attempt = Detach(aStep, aAttempt);
  RecordAttemptEnd(aStep,
                   *FindSlot(state.backends_, attempt.backend_),
                   nullptr,
                   AttemptEnd::Broken);
  AddAnswerTime(*run->load_, aStep.Time() - attempt.sentAt_);
  CloseConnection(aStep, attempt.connection_);
  ++part.mayHaveRun_;
  run->mayHaveRun_ = true;
  if (isOnly) {
    ++state.stats_.retries_;
    EnqueuePart(aStep, *run, attempt.part_);
  }
}

namespace {

/** Leaves an unneeded attempt to finish, so that its connection stays open. */
void
AbandonAttempt(GatewayStep& aStep, Attempt& aAttempt)
{
  GatewayState& state = aStep.state_;
  if (GatewayRun* run = FindSlot(state.runs_, aAttempt.run_)) {
    for (std::uint64_t& key : run->parts_[aAttempt.part_].attempts_) {
      key = key == aAttempt.key_ ? 0 : key;
    }
  }
  aAttempt.abandoned_ = true;
  aAttempt.run_ = 0;
  ++state.stats_.abandoned_;
  AddTimer(state.timers_,
           { aStep.Time() + kMaxAbandonedTime,
             aAttempt.key_,
             0,
             GatewayTimer::Silence });
}

} // namespace

// A server aborts a request when its connection closes, which frees the slot. A
// new connection costs less than the rest of the work in most cases.
void
CancelAttempt(GatewayStep& aStep, std::uint64_t aAttempt)
{
  Attempt& attempt = *FindSlot(aStep.state_.attempts_, aAttempt);
  Backend& backend = *FindSlot(aStep.state_.backends_, attempt.backend_);
  RecordPendingTime(aStep, backend, attempt);
  GatewayRun* run = FindSlot(aStep.state_.runs_, attempt.run_);
  if (run != nullptr) {
    AddAnswerTime(*run->load_, aStep.Time() - attempt.sentAt_);
  }
  if (IsWorthFinishing(aStep.state_, backend, attempt, aStep.Time())) {
    AbandonAttempt(aStep, attempt);
    return;
  }
  if (attempt.cost_ != nullptr) {
    LearnFromCancelled(aStep, backend, attempt);
  }
  CloseConnection(aStep, Detach(aStep, aAttempt).connection_);
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
    // An answer without a request.
    ++aState.stats_.garbled_;
    CloseConnection(step, conn->key_);
    return;
  }
  const std::uint64_t key = conn->attempt_;
  Backend& backend = *FindSlot(aState.backends_, conn->backend_);
  // The answer to this request is still to come.
  if (IsOtherAnswer(backend, *conn, aAnswer)) {
    ++aState.stats_.garbled_;
    return;
  }
  const bool isBound = !aAnswer.requestId_.empty() || !conn->used_;
  backend.echoesIds_ = backend.echoesIds_ || !aAnswer.requestId_.empty();
  const bool isTrusted = isBound || !RunsOnce(aState, key);
  const AttemptEnd end = Classify(aAnswer, isTrusted);
  // If it was a copy, the answer is still to come.
  aAnswer.closing_ = aAnswer.closing_ || !isTrusted;
  const Attempt attempt = Detach(step, key);
  RecordLifeSign(step, backend, conn->openedAt_, attempt.sentAt_);
  RecordGuidance(step, backend, aAnswer);
  Release(step, attempt, aAnswer);
  GatewayRun* run = FindSlot(aState.runs_, attempt.run_);
  if (end != AttemptEnd::End) {
    RecordAttemptEnd(step, backend, &aAnswer, end);
    ContinuePart(step, attempt, end, &aAnswer);
  } else {
    RecordSuccess(step, backend, attempt, aAnswer);
    if (run != nullptr) {
      AddAnswerTime(*run->load_, aNow.mono_ - attempt.sentAt_);
      aState.stats_.hedgesWon_ += attempt.hedge_ ? 1 : 0;
      CompletePart(step, *run, attempt.part_, std::move(aAnswer));
    }
  }
  DispatchMarked(step);
}

void
GatewayOnEvent(GatewayState& aState,
               const UnreadAnswer& aUnread,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut)
{
  GatewayStep step{ aState, aNow, aRng, aOut };
  Backend* backend = FindSlot(aState.backends_, aUnread.backend_);
  const std::string& requestId = aUnread.answer_.requestId_;
  const bool isOther = !requestId.empty() && aUnread.requestHash_ != 0 &&
                       HashText(requestId) != aUnread.requestHash_;
  if (backend != nullptr && !isOther) {
    RecordLateAnswer(step, *backend, requestId);
    RecordGuidance(step, *backend, aUnread.answer_);
  }
}

} // namespace camphorfield
