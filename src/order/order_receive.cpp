#include "core/result_func.h"
#include "order/order_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** The answer to a call that was answered before, as it is true now. */
OrderForwarded
AnswerAgain(OrderState& aState, PeerCallId aId, const CallMemo& aCall)
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
  // Another request may have run the key since this one was told "not run".
  const bool notRun = GetResultRow(aCall.code_).run_ == RunState::NotRun &&
                      aCall.code_ != ResultCode::KeyReused;
  if (notRun && !(known && found->second.state_ == EntryState::NotRun)) {
    answer.code_ = ResultCode::OrderNotAccepted;
  }
  return answer;
}

/** Whether the forward repeats a call that is known already. */
bool
IsRepeated(OrderStep& aStep,
           const PeerMessage& aFrom,
           const OrderForward& aForward)
{
  OrderState& state = aStep.state_;
  SenderMemo& memo = state.memos_[aFrom.from_];
  if (aFrom.fromIncarnation_ < memo.incarnation_) {
    return true; // From a life that is over.
  }
  if (memo.incarnation_ < aFrom.fromIncarnation_) {
    memo = { .incarnation_ = aFrom.fromIncarnation_ };
  }
  if (aForward.call_ <= memo.forgotten_) {
    return true;
  }
  const auto known = memo.calls_.find(aForward.call_);
  if (known == memo.calls_.end()) {
    return false;
  }
  const CallMemo call = known->second;
  if (!call.answered_) {
    return true;
  }
  const OrderForwarded answer = AnswerAgain(state, aForward.call_, call);
  SendToPeer(aStep, aFrom.from_, answer, {});
  return true;
}

void
RememberCall(OrderStep& aStep, const OrderAsk& aAsk)
{
  SenderMemo& memo = aStep.state_.memos_[aAsk.waiter_.from_];
  const bool token = aAsk.parsed_.kind_ == KeyKind::Token;
  memo.calls_[aAsk.waiter_.call_] = { .range_ =
                                        token ? kTokenTable : aAsk.range_,
                                      .key_ = aAsk.digest_ };
  while (memo.calls_.size() > aStep.state_.settings_.memoEntries_) {
    memo.forgotten_ = memo.calls_.begin()->first;
    memo.calls_.erase(memo.calls_.begin());
  }
}

/** Take up a forwarded order that is not a repetition. */
void
AdmitForward(OrderStep& aStep, const OrderAsk& aAsk)
{
  OrderState& state = aStep.state_;
  if (aAsk.parsed_.kind_ == KeyKind::Token) {
    if (IsIssuer(state, aAsk.parsed_)) {
      TokenAsk(aStep, aAsk);
    } else {
      IssuerGone(aStep, aAsk);
    }
    return;
  }
  const OrderRange& range = state.ranges_[aAsk.range_];
  const bool ours = RangeWinner(state, aAsk.range_) == state.settings_.self_;
  if (aAsk.parsed_.kind_ != KeyKind::Plain ||
      (range.state_ != RangeState::Held && !ours)) {
    DeclineForward(aStep, aAsk.waiter_);
    return;
  }
  if (!RefuseByTime(aStep, aAsk)) {
    RangeAsk(aStep, aAsk);
  }
}

} // namespace

void
TakeForward(OrderStep& aStep,
            const PeerMessage& aFrom,
            const OrderForward& aForward)
{
  OrderState& state = aStep.state_;
  const bool repeated = IsRepeated(aStep, aFrom, aForward);
  if (repeated && state.settings_.guards_.callMemo_) {
    return;
  }
  const Duration remaining =
    std::min(aForward.remaining_, state.settings_.longestDeadline_);
  const OrderWaiter waiter{ .from_ = aFrom.from_,
                            .fromIncarnation_ = aFrom.fromIncarnation_,
                            .call_ = aForward.call_,
                            .deadline_ = aStep.now_.mono_ + remaining };
  const OrderAsk ask = MakeAsk(state,
                               aForward.caller_,
                               aForward.route_,
                               aForward.key_,
                               aForward.body_,
                               waiter);
  RememberCall(aStep, ask);
  AdmitForward(aStep, ask);
}

} // namespace camphorfield
