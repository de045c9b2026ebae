/**
 * Forwards to other daemons. A lost message or answer leaves it open whether
 * the order ran; the same call is resent until it is answered or the deadline
 * passes.
 */
#include "order/order_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Declined forwards before this daemon handles the order itself: the daemons'
 * views of the members may differ. */
constexpr std::uint32_t kMaxRefusals = 3;
constexpr std::uint32_t kMaxRepeatDoublings = 4;

/** Whether one of the order's calls is unanswered. */
bool
HasOpenCalls(const OrderRelay& aRelay)
{
  return aRelay.call_.IsValid() || !aRelay.earlierCalls_.empty();
}

void
EraseRelay(OrderStep& aStep, CallerRequestId aRequest)
{
  OrderState& state = aStep.state_;
  const auto relay = state.relays_.find(aRequest);
  state.calls_.erase(relay->second.call_);
  for (const PeerCallId call : relay->second.earlierCalls_) {
    state.calls_.erase(call);
  }
  state.relays_.erase(relay);
}

void
FinishRelay(OrderStep& aStep,
            CallerRequestId aRequest,
            ResultCode aCode,
            const SharedText& aBody,
            bool aReplayed)
{
  const OrderRelay& relay = aStep.state_.relays_[aRequest];
  OrderWaiter waiter = relay.order_.waiter_;
  waiter.mayRunElsewhere_ = waiter.mayRunElsewhere_ || HasOpenCalls(relay);
  const std::string key = relay.order_.key_;
  EraseRelay(aStep, aRequest);
  AnswerWaiter(aStep, waiter, key, aCode, aBody, aReplayed);
}

void
SendForward(OrderStep& aStep, OrderRelay& aRelay, DaemonId aTarget)
{
  OrderState& state = aStep.state_;
  if (aRelay.call_.IsValid() && aRelay.target_ != aTarget) {
    aRelay.earlierCalls_.insert(aRelay.call_);
    aRelay.call_ = {};
  }
  // A resend to the same daemon keeps the call id, by which it is detected.
  if (!aRelay.call_.IsValid()) {
    aRelay.call_ = { ++state.nextCall_ };
    aRelay.repeats_ = 0;
    state.calls_[aRelay.call_] = aRelay.order_.waiter_.request_;
  }
  aRelay.target_ = aTarget;
  const IncomingOrder& order = aRelay.order_;
  const TimePoint now = aStep.now_.mono_;
  const std::uint32_t doublings =
    std::min(aRelay.repeats_++, kMaxRepeatDoublings);
  aRelay.retryAt_ = now + state.settings_.forwardRepeat_ * (1U << doublings);
  ++state.stats_.forwarded_;
  const auto& config = state.config_;
  SendToPeer(aStep,
             aTarget,
             OrderForward{ .call_ = aRelay.call_,
                           .caller_ = order.caller_,
                           .route_ = order.route_,
                           .key_ = order.key_,
                           .body_ = order.body_,
                           .remaining_ = order.waiter_.deadline_ - now -
                                         state.settings_.forwardMargin_,
                           .generation_ = config == nullptr
                                            ? Generation{}
                                            : config->generation_ },
             aRelay.call_);
  RecordOrderEvent(aStep, TimelineKind::OrderForwarded, order, "");
}

/** Forward an unanswered or declined order again, or admit it here. */
void
RetryRelay(OrderStep& aStep, CallerRequestId aRequest)
{
  OrderState& state = aStep.state_;
  OrderRelay& relay = state.relays_[aRequest];
  IncomingOrder order = relay.order_;
  const bool token = order.parsed_.kind_ == KeyKind::Token;
  const bool known = FindMember(state, order.parsed_.issuer_) != nullptr;
  const bool ended = token && IsIncarnationEnded(state,
                                                 order.parsed_.issuer_,
                                                 order.parsed_.incarnation_);
  if (token && !ended) {
    if (known) {
      SendForward(aStep, relay, order.parsed_.issuer_);
    } else if (relay.giveUpAt_ <= aStep.now_.mono_) {
      FinishRelay(aStep, aRequest, ResultCode::OutcomeUnknown, nullptr, false);
    } else {
      relay.retryAt_ = aStep.now_.mono_ + state.settings_.forwardRetry_;
    }
    return;
  }
  const DaemonId target = token ? CopyLookupTarget(state, order)
                                : PreferredOwner(state, order.range_);
  const bool self = target == state.settings_.self_;
  if (!self && relay.refusals_ < kMaxRefusals) {
    SendForward(aStep, relay, target);
    return;
  }
  order.waiter_.mayRunElsewhere_ =
    order.waiter_.mayRunElsewhere_ || HasOpenCalls(relay);
  EraseRelay(aStep, aRequest);
  if (token) {
    AnswerWithoutIssuer(aStep, order);
  } else {
    SubmitToRange(aStep, order);
  }
}

} // namespace

void
BeginRelay(OrderStep& aStep, const IncomingOrder& aOrder, DaemonId aTarget)
{
  OrderState& state = aStep.state_;
  if (state.relays_.size() >= state.settings_.forwardEntries_) {
    AnswerWaiter(aStep,
                 aOrder.waiter_,
                 aOrder.key_,
                 RefusalCode(aStep, ResultCode::OrderNotAccepted),
                 nullptr,
                 false);
    return;
  }
  ScheduleDeadline(state, aOrder.waiter_.deadline_);
  OrderRelay& relay = state.relays_[aOrder.waiter_.request_];
  relay.order_ = aOrder;
  if (aTarget.IsValid()) {
    SendForward(aStep, relay, aTarget);
    return;
  }
  relay.giveUpAt_ = aStep.now_.mono_ + state.settings_.issuerWait_;
  relay.retryAt_ =
    aStep.now_.mono_ + Jittered(aStep, state.settings_.forwardRetry_);
}

void
OnForwardAnswer(OrderStep& aStep, const OrderForwarded& aAnswer)
{
  OrderState& state = aStep.state_;
  const auto call = state.calls_.find(aAnswer.call_);
  if (call == state.calls_.end()) {
    return;
  }
  const CallerRequestId request = call->second;
  state.calls_.erase(call);
  OrderRelay& relay = state.relays_[request];
  const bool current = relay.call_ == aAnswer.call_;
  if (current) {
    relay.call_ = {};
  } else {
    relay.earlierCalls_.erase(aAnswer.call_);
  }
  const bool notRun = !aAnswer.accepted_ || MeansNotRun(aAnswer.code_);
  if (notRun && !current) {
    return; // Answers an older call; the current one is still open.
  }
  if (aAnswer.accepted_) {
    FinishRelay(
      aStep, request, aAnswer.code_, aAnswer.body_, aAnswer.replayed_);
    return;
  }
  ++relay.refusals_;
  relay.retryAt_ =
    aStep.now_.mono_ + Jittered(aStep, state.settings_.forwardRetry_);
}

void
OnForwardUnreachable(OrderStep& aStep, const PeerUnreachable& aEvent)
{
  // The call stays open: the sender can't know that the message did not arrive
  // and never will.
  for (auto& [request, relay] : aStep.state_.relays_) {
    const bool concerns = aEvent.call_.IsValid() ? relay.call_ == aEvent.call_
                                                 : relay.target_ == aEvent.to_;
    if (concerns && relay.call_.IsValid()) {
      const TimePoint soon =
        aStep.now_.mono_ +
        Jittered(aStep, aStep.state_.settings_.forwardRetry_);
      relay.retryAt_ = std::min(relay.retryAt_, soon);
    }
  }
}

void
TickRelays(OrderStep& aStep)
{
  const TimePoint now = aStep.now_.mono_;
  std::vector<CallerRequestId> due;
  for (const auto& [request, relay] : aStep.state_.relays_) {
    if (relay.retryAt_ <= now || relay.order_.waiter_.deadline_ <= now) {
      due.push_back(request);
    }
  }
  for (const CallerRequestId request : due) {
    const OrderRelay& relay = aStep.state_.relays_[request];
    if (relay.order_.waiter_.deadline_ > now) {
      RetryRelay(aStep, request);
      continue;
    }
    // With a call open this becomes OUTCOME_UNKNOWN.
    const ResultCode code = RefusalCode(aStep, ResultCode::OrderNotAccepted);
    FinishRelay(aStep, request, code, nullptr, false);
  }
}

} // namespace camphorfield
