/**
 * Forwards from other daemons. Repeated calls, by resends or duplicated
 * messages, are answered from the record of the first one and never run the
 * order again.
 */
#include "core/result_func.h"
#include "order/order_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Answer to a repeated call, by the current state of its key. */
OrderForwarded
MakeRepeatedAnswer(OrderState& aState,
                   PeerCallId aId,
                   const ReceivedCall& aCall)
{
  OrderForwarded answer{ .call_ = aId,
                         .code_ = aCall.code_,
                         .accepted_ = aCall.accepted_ };
  const OrderTable& table = TableOf(aState, aCall.range_);
  const auto found = table.entries_.find(aCall.key_);
  const bool known = found != table.entries_.end();
  if (aCall.code_ == ResultCode::Ok ||
      aCall.code_ == ResultCode::OrderRefused) {
    const bool kept = known && found->second.state_ == EntryState::Done;
    answer.code_ = kept ? found->second.code_ : ResultCode::OutcomeUnknown;
    answer.body_ = kept ? found->second.answer_ : nullptr;
    answer.replayed_ = true;
    return answer;
  }
  // Another request may have run the key since this one was answered "not run".
  const bool notRun = GetResultRow(aCall.code_).run_ == RunState::NotRun &&
                      aCall.code_ != ResultCode::KeyReused;
  if (notRun && !(known && found->second.state_ == EntryState::NotRun)) {
    answer.code_ = ResultCode::OrderNotAccepted;
  }
  return answer;
}

/** Answer a repeated call, if its answer is known.
 * @return Whether the forward repeats a call or is outdated. */
bool
AnswerIfRepeated(OrderStep& aStep,
                 const PeerMessage& aFrom,
                 const OrderForward& aForward)
{
  OrderState& state = aStep.state_;
  ReceivedCalls& received = state.receivedCalls_[aFrom.from_];
  if (aFrom.fromIncarnation_ < received.incarnation_) {
    return true; // From an incarnation that has ended.
  }
  if (received.incarnation_ < aFrom.fromIncarnation_) {
    received = { .incarnation_ = aFrom.fromIncarnation_ };
  }
  if (aForward.call_ <= received.lastEvicted_) {
    return true;
  }
  const auto known = received.calls_.find(aForward.call_);
  if (known == received.calls_.end()) {
    return false;
  }
  const ReceivedCall call = known->second;
  if (!call.answered_) {
    return true;
  }
  const OrderForwarded answer = MakeRepeatedAnswer(state, aForward.call_, call);
  SendToPeer(aStep, aFrom.from_, answer, {});
  return true;
}

void
RecordReceivedCall(OrderStep& aStep, const IncomingOrder& aOrder)
{
  ReceivedCalls& received = aStep.state_.receivedCalls_[aOrder.waiter_.from_];
  const bool token = aOrder.parsed_.kind_ == KeyKind::Token;
  received.calls_[aOrder.waiter_.call_] = { .range_ = token ? kTokenTable
                                                            : aOrder.range_,
                                            .key_ = aOrder.digest_ };
  while (received.calls_.size() > aStep.state_.settings_.receivedCallEntries_) {
    received.lastEvicted_ = received.calls_.begin()->first;
    received.calls_.erase(received.calls_.begin());
  }
}

/** Admit a forwarded order that is not a repeat. */
void
AdmitForward(OrderStep& aStep, const IncomingOrder& aOrder)
{
  OrderState& state = aStep.state_;
  if (aOrder.parsed_.kind_ == KeyKind::Token) {
    if (IsIssuer(state, aOrder.parsed_)) {
      AdmitTokenOrder(aStep, aOrder);
    } else {
      AnswerWithoutIssuer(aStep, aOrder);
    }
    return;
  }
  const OrderRange& range = state.ranges_[aOrder.range_];
  const bool ours =
    PreferredOwner(state, aOrder.range_) == state.settings_.self_;
  if (aOrder.parsed_.kind_ != KeyKind::Plain ||
      (range.state_ != RangeState::Held && !ours)) {
    DeclineForward(aStep, aOrder.waiter_);
    return;
  }
  if (!RefuseOutsideWindow(aStep, aOrder)) {
    SubmitToRange(aStep, aOrder);
  }
}

} // namespace

void
OnForward(OrderStep& aStep,
          const PeerMessage& aFrom,
          const OrderForward& aForward)
{
  OrderState& state = aStep.state_;
  const bool repeated = AnswerIfRepeated(aStep, aFrom, aForward);
  if (repeated && state.settings_.guards_.forwardsDeduplicated_) {
    return;
  }
  const Duration remaining =
    std::min(aForward.remaining_, state.settings_.forwardDeadlineMax_);
  const OrderWaiter waiter{ .from_ = aFrom.from_,
                            .fromIncarnation_ = aFrom.fromIncarnation_,
                            .call_ = aForward.call_,
                            .deadline_ = aStep.now_.mono_ + remaining };
  const IncomingOrder order = MakeIncomingOrder(state,
                                                aForward.caller_,
                                                aForward.route_,
                                                aForward.key_,
                                                aForward.body_,
                                                waiter);
  RecordReceivedCall(aStep, order);
  AdmitForward(aStep, order);
}

} // namespace camphorfield
