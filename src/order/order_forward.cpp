#include "core/result_func.h"
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

/** Answer a token's order from a copy, when its issuer can't be asked. */
bool
AnswerFromCopy(OrderStep& aStep, const OrderAsk& aAsk)
{
  const auto copy = aStep.state_.copies_.find(aAsk.digest_);
  if (copy == aStep.state_.copies_.end()) {
    return false;
  }
  const bool same = copy->second.body_ == aAsk.content_;
  AnswerWaiter(aStep,
               aAsk.waiter_,
               aAsk.key_,
               same ? copy->second.code_ : ResultCode::KeyReused,
               same ? copy->second.answer_ : nullptr,
               same);
  return true;
}

/** The token's order as its issuer sees it. */
void
TokenAsk(OrderStep& aStep, const OrderAsk& aAsk)
{
  OrderState& state = aStep.state_;
  ResultCode code = ResultCode::Ok;
  if (state.settings_.guards_.issuerIncarnation_ &&
      !VerifyToken(state, aAsk.key_)) {
    code = ResultCode::KeyMissing;
  } else if (aAsk.parsed_.unixMs_ < state.tokenFloorMs_) {
    code = ResultCode::KeyExpired;
  }
  if (code != ResultCode::Ok) {
    AnswerWaiter(aStep, aAsk.waiter_, aAsk.key_, code, nullptr, false);
    return;
  }
  AdmitAsk(aStep, { kTokenTable, aAsk.digest_ }, aAsk);
}

bool
IsIssuer(const OrderState& aState, const ParsedKey& aKey)
{
  const OrderSettings& settings = aState.settings_;
  return aKey.issuer_ == settings.self_ &&
         (aKey.incarnation_ == settings.incarnation_ ||
          !settings.guards_.issuerIncarnation_);
}

/** The issuer's life is over: only a copy can tell the outcome. */
void
IssuerGone(OrderStep& aStep, const OrderAsk& aAsk)
{
  if (!aStep.state_.settings_.guards_.issuerOnly_) {
    AdmitAsk(aStep, { kTokenTable, aAsk.digest_ }, aAsk);
    return;
  }
  if (!AnswerFromCopy(aStep, aAsk)) {
    AnswerWaiter(aStep,
                 aAsk.waiter_,
                 aAsk.key_,
                 ResultCode::OutcomeUnknown,
                 nullptr,
                 false);
  }
}

/** Daemon that keeps the copy of a dead issuer's outcome; maybe itself. */
DaemonId
CopyKeeper(const OrderState& aState, const OrderAsk& aAsk)
{
  return RangeWinner(aState, aAsk.range_);
}

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
  relay.retryAt_ = aStep.now_.mono_ + state.settings_.forwardRetry_;
}

void
RouteToken(OrderStep& aStep, const OrderAsk& aAsk)
{
  const OrderState& state = aStep.state_;
  const ParsedKey& key = aAsk.parsed_;
  if (IsIssuer(state, key)) {
    TokenAsk(aStep, aAsk);
    return;
  }
  if (IncarnationIsOver(state, key.issuer_, key.incarnation_)) {
    const DaemonId keeper = CopyKeeper(state, aAsk);
    if (keeper == state.settings_.self_ ||
        state.copies_.count(aAsk.digest_) != 0) {
      IssuerGone(aStep, aAsk);
    } else {
      BeginRelay(aStep, aAsk, keeper);
    }
    return;
  }
  const bool known = FindMember(state, key.issuer_) != nullptr;
  BeginRelay(aStep, aAsk, known ? key.issuer_ : DaemonId{});
}

/** Whether a key is within its window by this daemon's clock. */
bool
RefuseByTime(OrderStep& aStep, const OrderAsk& aAsk)
{
  const OrderSettings& settings = aStep.state_.settings_;
  const auto age = Duration(aStep.now_.unixMicros_) -
                   std::chrono::milliseconds(aAsk.parsed_.unixMs_);
  ResultCode code = ResultCode::Ok;
  if (age > settings.window_) {
    code = ResultCode::KeyExpired;
  } else if (-age > settings.clockSkew_) {
    code = RefusalCode(aStep, ResultCode::OrderNotAccepted);
  }
  if (code == ResultCode::Ok) {
    return false;
  }
  AnswerWaiter(aStep, aAsk.waiter_, aAsk.key_, code, nullptr, false);
  return true;
}

void
RoutePlain(OrderStep& aStep, const OrderAsk& aAsk)
{
  const DaemonId winner = RangeWinner(aStep.state_, aAsk.range_);
  if (winner == aStep.state_.settings_.self_) {
    RangeAsk(aStep, aAsk);
    return;
  }
  BeginRelay(aStep, aAsk, winner);
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

OrderAsk
MakeAsk(const OrderState& aState,
        std::string_view aCaller,
        std::string_view aRoute,
        std::string_view aKey,
        const SharedText& aBody,
        const OrderWaiter& aWaiter)
{
  OrderAsk ask{ .waiter_ = aWaiter,
                .caller_ = std::string(aCaller),
                .route_ = std::string(aRoute),
                .key_ = std::string(aKey),
                .body_ = aBody,
                .parsed_ = ParseKey(aKey),
                .digest_ = DigestKey(aCaller, aKey) };
  ask.content_ =
    DigestContent(aRoute, aBody == nullptr ? std::string_view() : *aBody);
  ask.range_ = RangeOfKey(ask.digest_, aState.settings_.ranges_);
  return ask;
}

void
RouteAsk(OrderStep& aStep, const OrderAsk& aAsk)
{
  switch (aAsk.parsed_.kind_) {
    case KeyKind::None:
      RunKeyless(aStep, aAsk);
      return;
    case KeyKind::Token:
      RouteToken(aStep, aAsk);
      return;
    case KeyKind::Plain:
      if (!RefuseByTime(aStep, aAsk)) {
        RoutePlain(aStep, aAsk);
      }
      return;
    case KeyKind::Malformed:
    case KeyKind::End:
      AnswerWaiter(
        aStep, aAsk.waiter_, aAsk.key_, ResultCode::KeyMissing, nullptr, false);
      return;
  }
}

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
    std::min(aForward.remaining_, state.settings_.defaultDeadline_);
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
  relay.retryAt_ = aStep.now_.mono_ + state.settings_.forwardRetry_;
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
        aStep.now_.mono_ + aStep.state_.settings_.forwardRetry_;
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
