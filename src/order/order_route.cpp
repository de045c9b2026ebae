#include "order/order_internal.h"

namespace camphorfield {

namespace {

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

} // namespace

void
TokenAsk(OrderStep& aStep, const OrderAsk& aAsk)
{
  OrderState& state = aStep.state_;
  ResultCode code = ResultCode::Ok;
  if (state.settings_.guards_.issuerIncarnation_ &&
      !VerifyToken(state, aAsk.key_)) {
    code = ResultCode::KeyMalformed;
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

DaemonId
CopyKeeper(const OrderState& aState, const OrderAsk& aAsk)
{
  return RangeWinner(aState, aAsk.range_);
}

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
      AnswerWaiter(aStep,
                   aAsk.waiter_,
                   aAsk.key_,
                   ResultCode::KeyMalformed,
                   nullptr,
                   false);
      return;
  }
}

} // namespace camphorfield
