#include "order/order_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

constexpr std::uint32_t kRefusalsBeforeSelf = 3; ///< Views of members differ.
constexpr std::uint32_t kMostRepeatDoublings = 4;

/** Whether an answer to one of the order's calls is outstanding. */
bool
HasOpenCalls(const OrderRelay& aRelay)
{
  return aRelay.call_.IsValid() || !aRelay.unsure_.empty();
}

void
EraseRelay(OrderStep& aStep, CallerRequestId aRequest)
{
  OrderState& state = aStep.state_;
  const auto relay = state.relays_.find(aRequest);
  state.calls_.erase(relay->second.call_);
  for (const PeerCallId call : relay->second.unsure_) {
    state.calls_.erase(call);
  }
  state.relays_.erase(relay);
}

void
EndRelay(OrderStep& aStep,
         CallerRequestId aRequest,
         ResultCode aCode,
         const SharedText& aBody,
         bool aReplayed)
{
  const OrderRelay& relay = aStep.state_.relays_[aRequest];
  OrderWaiter waiter = relay.ask_.waiter_;
  waiter.unsure_ = waiter.unsure_ || HasOpenCalls(relay);
  const std::string key = relay.ask_.key_;
  EraseRelay(aStep, aRequest);
  AnswerWaiter(aStep, waiter, key, aCode, aBody, aReplayed);
}

void
SendForward(OrderStep& aStep, OrderRelay& aRelay, DaemonId aTarget)
{
  OrderState& state = aStep.state_;
  if (aRelay.call_.IsValid() && aRelay.target_ != aTarget) {
    aRelay.unsure_.insert(aRelay.call_);
    aRelay.call_ = {};
  }
  // The same call again to the same daemon: it knows it by its id.
  if (!aRelay.call_.IsValid()) {
    aRelay.call_ = { ++state.nextCall_ };
    aRelay.repeats_ = 0;
    state.calls_[aRelay.call_] = aRelay.ask_.waiter_.request_;
  }
  aRelay.target_ = aTarget;
  const OrderAsk& ask = aRelay.ask_;
  const TimePoint now = aStep.now_.mono_;
  const std::uint32_t doublings =
    std::min(aRelay.repeats_++, kMostRepeatDoublings);
  aRelay.retryAt_ = now + state.settings_.forwardRepeat_ * (1U << doublings);
  ++state.stats_.forwarded_;
  const auto& config = state.config_;
  SendToPeer(aStep,
             aTarget,
             OrderForward{ .call_ = aRelay.call_,
                           .caller_ = ask.caller_,
                           .route_ = ask.route_,
                           .key_ = ask.key_,
                           .body_ = ask.body_,
                           .remaining_ = ask.waiter_.deadline_ - now -
                                         state.settings_.forwardMargin_,
                           .generation_ = config == nullptr
                                            ? Generation{}
                                            : config->generation_ },
             aRelay.call_);
  RecordOrder(aStep, TimelineKind::OrderForwarded, ask, "");
}

/** Go on with an order that was forwarded in vain. */
void
RetryRelay(OrderStep& aStep, CallerRequestId aRequest)
{
  OrderState& state = aStep.state_;
  OrderRelay& relay = state.relays_[aRequest];
  OrderAsk ask = relay.ask_;
  const bool token = ask.parsed_.kind_ == KeyKind::Token;
  const bool known = FindMember(state, ask.parsed_.issuer_) != nullptr;
  const bool over =
    token &&
    IncarnationIsOver(state, ask.parsed_.issuer_, ask.parsed_.incarnation_);
  if (token && !over) {
    if (known) {
      SendForward(aStep, relay, ask.parsed_.issuer_);
    } else if (relay.giveUpAt_ <= aStep.now_.mono_) {
      EndRelay(aStep, aRequest, ResultCode::OutcomeUnknown, nullptr, false);
    } else {
      relay.retryAt_ = aStep.now_.mono_ + state.settings_.forwardRetry_;
    }
    return;
  }
  const DaemonId target =
    token ? CopyKeeper(state, ask) : RangeWinner(state, ask.range_);
  const bool self = target == state.settings_.self_;
  if (!self && relay.refusals_ < kRefusalsBeforeSelf) {
    SendForward(aStep, relay, target);
    return;
  }
  ask.waiter_.unsure_ = ask.waiter_.unsure_ || HasOpenCalls(relay);
  EraseRelay(aStep, aRequest);
  if (token) {
    IssuerGone(aStep, ask);
  } else {
    RangeAsk(aStep, ask);
  }
}

} // namespace

void
BeginRelay(OrderStep& aStep, const OrderAsk& aAsk, DaemonId aTarget)
{
  OrderState& state = aStep.state_;
  if (state.relays_.size() >= state.settings_.forwardEntries_) {
    AnswerWaiter(aStep,
                 aAsk.waiter_,
                 aAsk.key_,
                 RefusalCode(aStep, ResultCode::OrderNotAccepted),
                 nullptr,
                 false);
    return;
  }
  NoteDeadline(state, aAsk.waiter_.deadline_);
  OrderRelay& relay = state.relays_[aAsk.waiter_.request_];
  relay.ask_ = aAsk;
  if (aTarget.IsValid()) {
    SendForward(aStep, relay, aTarget);
    return;
  }
  relay.giveUpAt_ = aStep.now_.mono_ + state.settings_.issuerWait_;
  relay.retryAt_ =
    aStep.now_.mono_ + Jittered(aStep, state.settings_.forwardRetry_);
}

void
TakeForwarded(OrderStep& aStep, const OrderForwarded& aAnswer)
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
    relay.unsure_.erase(aAnswer.call_);
  }
  const bool notRun = !aAnswer.accepted_ || SaysNotRun(aAnswer.code_);
  if (notRun && !current) {
    return; // Settles an older call; the current one goes on.
  }
  if (aAnswer.accepted_) {
    EndRelay(aStep, request, aAnswer.code_, aAnswer.body_, aAnswer.replayed_);
    return;
  }
  ++relay.refusals_;
  relay.retryAt_ =
    aStep.now_.mono_ + Jittered(aStep, state.settings_.forwardRetry_);
}

void
ForwardUnreachable(OrderStep& aStep, const PeerUnreachable& aEvent)
{
  // The call stays open: that the message did not arrive, and never will, is
  // more than a sender can know.
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
    if (relay.retryAt_ <= now || relay.ask_.waiter_.deadline_ <= now) {
      due.push_back(request);
    }
  }
  for (const CallerRequestId request : due) {
    const OrderRelay& relay = aStep.state_.relays_[request];
    if (relay.ask_.waiter_.deadline_ > now) {
      RetryRelay(aStep, request);
      continue;
    }
    // With a call open this becomes OUTCOME_UNKNOWN.
    const ResultCode code = RefusalCode(aStep, ResultCode::OrderNotAccepted);
    EndRelay(aStep, request, code, nullptr, false);
  }
}

} // namespace camphorfield
