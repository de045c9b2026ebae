// What the end of an attempt is worth and what follows. Answers servers that
// fail, refuse, or lose answers: what may be repeated is sent again, within the
// budget that all daemons share.
#include "gateway/gateway_func.h"
#include "gateway/gateway_internal.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

constexpr std::uint32_t kStatusOk = 200;
constexpr std::uint32_t kStatusMultiple = 300;
constexpr std::uint32_t kStatusMisdirected = 421;
constexpr std::uint32_t kRefreshEvery = 32; ///< Samples between quantiles.

bool
IsSuccess(const BackendAnswer& aAnswer)
{
  return aAnswer.status_ >= kStatusOk && aAnswer.status_ < kStatusMultiple;
}

void
AddAnswerTime(RouteLoad& aLoad, Duration aTime)
{
  AddSample(aLoad.answers_, aTime);
  const bool few = aLoad.answers_.total_ < kSamplesToHedge;
  if (!few && ++aLoad.samplesSinceRefresh_ < kRefreshEvery &&
      aLoad.median_.count() > 0) {
    return;
  }
  aLoad.samplesSinceRefresh_ = 0;
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
  Backend& backend = *FindSlot(aStep.state_.backends_, aAttempt.backend_);
  backend.reconnect_ = Duration::zero();
  const Duration life = aAnswer.keepAlive_.count() > 0
                          ? aAnswer.keepAlive_ - kKeepAliveMargin
                          : Duration(kKeepAliveUnknown);
  ReleaseConnection(aStep, aAttempt.connection_, life);
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
  const RequestPart& part = aRun.parts_[aPart];
  if (!MayRetry(aRun, part) || !MaySendExtra(aStep, part)) {
    FailPart(aStep, aRun, aPart);
    return;
  }
  ++aStep.state_.stats_.retries_;
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

} // namespace

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
