// Runs a request from arrival to answer. When shards are slow or lost, a query
// gets a partial answer just before its objective if enough shards have
// answered, and fails at once when enough shards are no longer possible.
#include "gateway/admission/admission_internal.h"
#include "gateway/gateway_func.h"
#include "gateway/request/request_internal.h"
#include "gateway/request/topk_merge.h"

#include "core/answer_status.h"

#include <utility>

namespace camphorfield {

namespace {

/**
 * Whether the caller gets a server's failure unchanged.
 *
 * Callers send a request that runs at most once again after a status that
 * promises that it didn't run. Without the server's report the request may have
 * run, whatever the status.
 */
bool
IsForwardable(const BackendAnswer& aFailure, RequestKind aKind)
{
  if (aFailure.notRun_ || aFailure.encoded_) {
    return false;
  }
  switch (ClassifyStatus(aFailure.status_)) {
    case StatusClass::Failure:
      return true;
    case StatusClass::PromisedNotRun:
      return aKind == RequestKind::Idempotent;
    default:
      return false;
  }
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
               const CallerDisconnected& aGone,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut)
{
  GatewayStep step{ aState, aNow, aRng, aOut };
  if (aState.awaiting_.erase(aGone.id_.value_) > 0) {
    ++aState.stats_.callersGone_;
    return;
  }
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
  // The other shards' answers may take long; an oversized body isn't kept.
  if (part.body_.size() > kMaxHeldPartBytes) {
    part.body_ = MergeTopRecords({ part.body_ }, aRun.route_->topRecords_);
  }
  HoldAnswer(
    aStep.state_, aRun, 0, part.body_.capacity() + part.proof_.capacity());
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
  if (aRun.mayHaveRun_ && IsForwardable(aRun.failure_, aRun.route_->kind_)) {
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
