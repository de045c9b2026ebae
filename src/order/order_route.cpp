/**
 * Chooses the daemon that may run an order: the owner of the key's range, or
 * the issuer of its token. Without the issuer only an outcome copy can answer.
 */
#include "order/order_internal.h"

namespace camphorfield {

namespace {

/** Answer a token's order from a local outcome copy.
 * @return Whether there was one. */
bool
AnswerFromCopy(OrderStep& aStep, const IncomingOrder& aOrder)
{
  const auto copy = aStep.state_.copies_.find(aOrder.digest_);
  if (copy == aStep.state_.copies_.end()) {
    return false;
  }
  const bool same = copy->second.body_ == aOrder.content_;
  AnswerWaiter(aStep,
               aOrder.waiter_,
               aOrder.key_,
               same ? copy->second.code_ : ResultCode::KeyReused,
               same ? copy->second.answer_ : nullptr,
               same);
  return true;
}

void
RouteToken(OrderStep& aStep, const IncomingOrder& aOrder)
{
  const OrderState& state = aStep.state_;
  const ParsedKey& key = aOrder.parsed_;
  if (IsIssuer(state, key)) {
    AdmitTokenOrder(aStep, aOrder);
    return;
  }
  if (IsIncarnationEnded(state, key.issuer_, key.incarnation_)) {
    const DaemonId holder = CopyLookupTarget(state, aOrder);
    if (holder == state.settings_.self_ ||
        state.copies_.count(aOrder.digest_) != 0) {
      AnswerWithoutIssuer(aStep, aOrder);
    } else {
      BeginRelay(aStep, aOrder, holder);
    }
    return;
  }
  const bool known = FindMember(state, key.issuer_) != nullptr;
  BeginRelay(aStep, aOrder, known ? key.issuer_ : DaemonId{});
}

void
RoutePlain(OrderStep& aStep, const IncomingOrder& aOrder)
{
  const DaemonId owner = PreferredOwner(aStep.state_, aOrder.range_);
  if (owner == aStep.state_.settings_.self_) {
    SubmitToRange(aStep, aOrder);
    return;
  }
  BeginRelay(aStep, aOrder, owner);
}

} // namespace

void
AdmitTokenOrder(OrderStep& aStep, const IncomingOrder& aOrder)
{
  OrderState& state = aStep.state_;
  ResultCode code = ResultCode::Ok;
  if (state.settings_.guards_.tokenBoundToIncarnation_ &&
      !VerifyToken(state, aOrder.key_)) {
    code = ResultCode::KeyMalformed;
  } else if (aOrder.parsed_.unixMs_ < state.tokenFloorMs_) {
    code = ResultCode::KeyExpired;
  }
  if (code != ResultCode::Ok) {
    AnswerWaiter(aStep, aOrder.waiter_, aOrder.key_, code, nullptr, false);
    return;
  }
  AdmitOrder(aStep, { kTokenTable, aOrder.digest_ }, aOrder);
}

bool
IsIssuer(const OrderState& aState, const ParsedKey& aKey)
{
  const OrderSettings& settings = aState.settings_;
  return aKey.issuer_ == settings.self_ &&
         (aKey.incarnation_ == settings.incarnation_ ||
          !settings.guards_.tokenBoundToIncarnation_);
}

void
AnswerWithoutIssuer(OrderStep& aStep, const IncomingOrder& aOrder)
{
  if (!aStep.state_.settings_.guards_.tokenRunsAtIssuerOnly_) {
    AdmitOrder(aStep, { kTokenTable, aOrder.digest_ }, aOrder);
    return;
  }
  if (!AnswerFromCopy(aStep, aOrder)) {
    AnswerWaiter(aStep,
                 aOrder.waiter_,
                 aOrder.key_,
                 ResultCode::OutcomeUnknown,
                 nullptr,
                 false);
  }
}

DaemonId
CopyLookupTarget(const OrderState& aState, const IncomingOrder& aOrder)
{
  return PreferredOwner(aState, aOrder.range_);
}

bool
RefuseOutsideWindow(OrderStep& aStep, const IncomingOrder& aOrder)
{
  const OrderSettings& settings = aStep.state_.settings_;
  const auto age = Duration(aStep.now_.unixMicros_) -
                   std::chrono::milliseconds(aOrder.parsed_.unixMs_);
  ResultCode code = ResultCode::Ok;
  if (age > settings.window_) {
    code = ResultCode::KeyExpired;
  } else if (-age > settings.clockSkew_) {
    code = RefusalCode(aStep, ResultCode::OrderNotAccepted);
  }
  if (code == ResultCode::Ok) {
    return false;
  }
  AnswerWaiter(aStep, aOrder.waiter_, aOrder.key_, code, nullptr, false);
  return true;
}

IncomingOrder
MakeIncomingOrder(const OrderState& aState,
                  std::string_view aCaller,
                  std::string_view aRoute,
                  std::string_view aKey,
                  const SharedText& aBody,
                  const OrderWaiter& aWaiter)
{
  IncomingOrder order{ .waiter_ = aWaiter,
                       .caller_ = std::string(aCaller),
                       .route_ = std::string(aRoute),
                       .key_ = std::string(aKey),
                       .body_ = aBody,
                       .parsed_ = ParseKey(aKey),
                       .digest_ = DigestKey(aCaller, aKey) };
  order.content_ =
    DigestContent(aRoute, aBody == nullptr ? std::string_view() : *aBody);
  order.range_ = RangeOfKey(order.digest_, aState.settings_.ranges_);
  return order;
}

void
RouteOrder(OrderStep& aStep, const IncomingOrder& aOrder)
{
  switch (aOrder.parsed_.kind_) {
    case KeyKind::None:
      RunKeyless(aStep, aOrder);
      return;
    case KeyKind::Token:
      RouteToken(aStep, aOrder);
      return;
    case KeyKind::Plain:
      if (!RefuseOutsideWindow(aStep, aOrder)) {
        RoutePlain(aStep, aOrder);
      }
      return;
    case KeyKind::Malformed:
    case KeyKind::End:
      AnswerWaiter(aStep,
                   aOrder.waiter_,
                   aOrder.key_,
                   ResultCode::KeyMalformed,
                   nullptr,
                   false);
      return;
  }
}

} // namespace camphorfield
