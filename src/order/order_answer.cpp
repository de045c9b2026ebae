/**
 * Answers to callers and forwarding daemons. An answer never says "not run"
 * while a forward of the same order is open.
 */
#include "core/result_func.h"
#include "order/order_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

void
CountAnswer(OrderStats& aStats, ResultCode aCode, bool aReplayed)
{
  if (aCode == ResultCode::OutcomeUnknown) {
    ++aStats.unknown_;
  } else if (GetResultRow(aCode).run_ == RunState::NotRun) {
    ++aStats.notRun_;
  } else if (MeansNotRun(aCode)) {
    ++aStats.refused_;
  }
  if (aReplayed) {
    ++aStats.replayed_;
  }
}

void
AnswerForward(OrderStep& aStep,
              const OrderWaiter& aWaiter,
              const OrderForwarded& aAnswer)
{
  const auto received = aStep.state_.receivedCalls_.find(aWaiter.from_);
  if (received == aStep.state_.receivedCalls_.end() ||
      received->second.incarnation_ != aWaiter.fromIncarnation_) {
    return; // The sender has restarted; its new incarnation didn't ask.
  }
  const auto call = received->second.calls_.find(aWaiter.call_);
  if (call != received->second.calls_.end()) {
    call->second.answered_ = true;
    call->second.accepted_ = aAnswer.accepted_;
    call->second.code_ = aAnswer.code_;
  }
  SendToPeer(aStep, aWaiter.from_, aAnswer, {});
}

} // namespace

bool
MeansNotRun(ResultCode aCode)
{
  return GetResultRow(aCode).run_ == RunState::NotRun ||
         aCode == ResultCode::ClaimsUnavailable ||
         aCode == ResultCode::OrderNotAccepted;
}

ResultCode
RefusalCode(const OrderStep& aStep, ResultCode aCode)
{
  // An earlier request with this key may have run elsewhere, so the answer may
  // only refer to this request.
  return aStep.state_.settings_.guards_.notRunNeedsProof_
           ? aCode
           : ResultCode::OrderNotRun;
}

void
AnswerWaiter(OrderStep& aStep,
             const OrderWaiter& aWaiter,
             std::string_view aKey,
             ResultCode aCode,
             const SharedText& aBody,
             bool aReplayed)
{
  const OrderGuards& guards = aStep.state_.settings_.guards_;
  ResultCode code = aCode;
  if (aWaiter.mayRunElsewhere_ && guards.openForwardIsUnsure_ &&
      MeansNotRun(code)) {
    code = ResultCode::OutcomeUnknown;
  }
  if (aWaiter.from_.IsValid()) {
    AnswerForward(aStep,
                  aWaiter,
                  { .call_ = aWaiter.call_,
                    .code_ = code,
                    .replayed_ = aReplayed,
                    .body_ = aBody });
    return;
  }
  CountAnswer(aStep.state_.stats_, code, aReplayed);
  const auto& config = aStep.state_.config_;
  aStep.out_.push_back(OrderAnswer{
    .id_ = aWaiter.request_,
    .code_ = code,
    .generation_ = config == nullptr ? Generation{} : config->generation_,
    .key_ = std::string(aKey),
    .body_ = aBody,
    .replayed_ = aReplayed });
  aStep.out_.push_back(TimelineRecord{ .kind_ = TimelineKind::OrderAnswered,
                                       .request_ = aWaiter.request_.value_,
                                       .text_ = GetResultRow(code).name_ });
}

void
DeclineForward(OrderStep& aStep, const OrderWaiter& aWaiter)
{
  AnswerForward(aStep,
                aWaiter,
                { .call_ = aWaiter.call_,
                  .code_ = ResultCode::OrderNotAccepted,
                  .accepted_ = false });
}

void
ScheduleDeadline(OrderState& aState, TimePoint aDeadline)
{
  aState.deadlineAt_ = std::min(aState.deadlineAt_, aDeadline);
}

void
RecordOrderEvent(OrderStep& aStep,
                 TimelineKind aKind,
                 const IncomingOrder& aOrder,
                 std::string_view aText)
{
  aStep.out_.push_back(
    TimelineRecord{ .kind_ = aKind,
                    .request_ = aOrder.waiter_.request_.value_,
                    .object_ = aOrder.key_,
                    .number_ = aOrder.range_,
                    .text_ = std::string(aText) });
}

} // namespace camphorfield
