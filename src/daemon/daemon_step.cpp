// Forwards events to the packages, and the internal decisions of one package to
// the others, without recursion.

#include "daemon/daemon_func.h"
#include "daemon/daemon_internal.h"

#include "membership/membership_func.h"
#include "order/order_func.h"
#include "publish/publish_func.h"
#include "route/route_func.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace camphorfield {

namespace {

/** Decisions for other packages; the host does not see them. */
template<typename Item>
constexpr bool kIsInternalDecision =
  std::is_same_v<Item, ConfigAdopted> || std::is_same_v<Item, MembersChanged> ||
  std::is_same_v<Item, RumorReceived> || std::is_same_v<Item, SpreadRumor> ||
  std::is_same_v<Item, DispatchOrder> || std::is_same_v<Item, OrderDispatched>;

template<typename Item>
void
ForwardToMembership(const DaemonStep& aStep, const Item& aItem)
{
  MembershipOnEvent(
    aStep.state_.membership_, aItem, aStep.now_, aStep.rng_, aStep.out_);
}

template<typename Item>
void
ForwardToPublish(const DaemonStep& aStep, const Item& aItem)
{
  PublishOnEvent(
    aStep.state_.publish_, aItem, aStep.now_, aStep.rng_, aStep.out_);
}

template<typename Item>
void
ForwardToRoute(const DaemonStep& aStep, const Item& aItem)
{
  RouteOnEvent(aStep.state_.route_, aItem, aStep.now_, aStep.rng_, aStep.out_);
}

template<typename Item>
void
ForwardToOrder(const DaemonStep& aStep, const Item& aItem)
{
  OrderOnEvent(aStep.state_.order_, aItem, aStep.now_, aStep.rng_, aStep.out_);
}

void
HandleItem(const DaemonStep& aStep, const CallerRequest& aRequest)
{
  const ResultCode refusal = AdmitRequest(aStep.state_, aRequest);
  if (refusal != ResultCode::Ok) {
    RefuseRequest(aStep, aRequest, refusal);
    return;
  }
  if (aRequest.mode_ == RouteMode::Order) {
    ++aStep.state_.openOrders_;
    ForwardToOrder(aStep, aRequest);
    return;
  }
  ++aStep.state_.openQueries_;
  ForwardToRoute(aStep, aRequest);
}

void
HandleItem(const DaemonStep& aStep, const EntriesRequest& aRequest)
{
  ForwardToMembership(aStep, aRequest);
}

void
HandleItem(const DaemonStep& aStep, const CallerDisconnected& aGone)
{
  ForwardToRoute(aStep, aGone);
  ForwardToOrder(aStep, aGone);
}

void
HandleItem(const DaemonStep& aStep, const ConnectionOpened& aOpened)
{
  ForwardToRoute(aStep, aOpened);
}

void
HandleItem(const DaemonStep& aStep, const ConnectionEnded& aEnded)
{
  ForwardToRoute(aStep, aEnded);
}

void
HandleItem(const DaemonStep& aStep, const SubAnswer& aAnswer)
{
  ForwardToRoute(aStep, aAnswer);
}

void
HandleItem(const DaemonStep& aStep, const SubNotSent& aNotSent)
{
  ForwardToRoute(aStep, aNotSent);
}

// Each package ignores the bodies of others.
void
HandleItem(const DaemonStep& aStep, const PeerMessage& aMessage)
{
  ForwardToMembership(aStep, aMessage);
  ForwardToPublish(aStep, aMessage);
  ForwardToRoute(aStep, aMessage);
  ForwardToOrder(aStep, aMessage);
}

void
HandleItem(const DaemonStep& aStep, const PeerUnreachable& aUnreachable)
{
  ForwardToMembership(aStep, aUnreachable);
  ForwardToPublish(aStep, aUnreachable);
  ForwardToRoute(aStep, aUnreachable);
  ForwardToOrder(aStep, aUnreachable);
}

void
HandleItem(const DaemonStep& aStep, const PlatformReply& aReply)
{
  switch (aReply.user_) {
    case PlatformUser::Publish:
      ForwardToPublish(aStep, aReply);
      break;
    case PlatformUser::Order:
      ForwardToOrder(aStep, aReply);
      break;
    default:
      ForwardToMembership(aStep, aReply);
      break;
  }
}

void
HandleItem(const DaemonStep& aStep, const StopRequested& aStop)
{
  if (aStep.state_.phase_ != DaemonPhase::Serving) {
    return;
  }
  BeginShutdown(aStep, aStop);
  ForwardToMembership(aStep, aStop);
  ForwardToPublish(aStep, aStop);
  ForwardToRoute(aStep, aStop);
  ForwardToOrder(aStep, aStop);
}

void
HandleItem(const DaemonStep& aStep, const OperatorRequest& aRequest)
{
  OperatorAnswer answer;
  answer.id_ = aRequest.id_;
  switch (aRequest.op_) {
    case OperatorOp::Status:
      answer.text_ = RenderStatus(aStep.state_, aStep.now_);
      aStep.out_.emplace_back(std::move(answer));
      break;
    case OperatorOp::Drain:
      answer.text_ = R"({"draining":true})";
      aStep.out_.emplace_back(std::move(answer));
      HandleItem(aStep, StopRequested{ "operator" });
      break;
    default:
      ForwardToPublish(aStep, aRequest);
      break;
  }
}

void
HandleItem(const DaemonStep& aStep, const Tick& aTick)
{
  ForwardToMembership(aStep, aTick);
  ForwardToPublish(aStep, aTick);
  ForwardToRoute(aStep, aTick);
  ForwardToOrder(aStep, aTick);
}

void
HandleItem(const DaemonStep& aStep, const ConfigAdopted& aAdopted)
{
  ForwardToMembership(aStep, aAdopted);
  ForwardToRoute(aStep, aAdopted);
  ForwardToOrder(aStep, aAdopted);
}

void
HandleItem(const DaemonStep& aStep, const MembersChanged& aChanged)
{
  ForwardToPublish(aStep, aChanged);
  ForwardToRoute(aStep, aChanged);
  ForwardToOrder(aStep, aChanged);
}

void
HandleItem(const DaemonStep& aStep, const RumorReceived& aHeard)
{
  ForwardToRoute(aStep, aHeard);
}

void
HandleItem(const DaemonStep& aStep, const SpreadRumor& aSpread)
{
  ForwardToMembership(aStep, aSpread);
}

void
HandleItem(const DaemonStep& aStep, const DispatchOrder& aDispatch)
{
  ForwardToRoute(aStep, aDispatch);
}

void
HandleItem(const DaemonStep& aStep, const OrderDispatched& aDispatched)
{
  ForwardToOrder(aStep, aDispatched);
}

/** Passes a decision to the host; counts answers and adds order tokens. */
void
EmitToHost(const DaemonStep& aStep, Decision& aDecision, Decisions& aToHost)
{
  if (auto* entries = std::get_if<EntriesAnswer>(&aDecision)) {
    AddOrderTokens(aStep, *entries);
  }
  if (std::holds_alternative<QueryAnswer>(aDecision) &&
      aStep.state_.openQueries_ > 0) {
    --aStep.state_.openQueries_;
  }
  if (std::holds_alternative<OrderAnswer>(aDecision) &&
      aStep.state_.openOrders_ > 0) {
    --aStep.state_.openOrders_;
  }
  aToHost.push_back(std::move(aDecision));
}

/** Forwards a decision to the packages; false if it is for the host. */
bool
DispatchInternal(const DaemonStep& aStep, const Decision& aDecision)
{
  return std::visit(
    [&aStep](const auto& aItem) {
      using Item = std::decay_t<decltype(aItem)>;
      if constexpr (kIsInternalDecision<Item>) {
        HandleItem(aStep, aItem);
        return true;
      } else {
        return false;
      }
    },
    aDecision);
}

void
DrainDecisions(const DaemonStep& aStep, Decisions& aToHost)
{
  for (std::size_t i = 0; i < aStep.out_.size(); ++i) {
    // Moved out first: the vector may grow while the decision is handled.
    Decision decision = std::move(aStep.out_[i]);
    if (!DispatchInternal(aStep, decision)) {
      EmitToHost(aStep, decision, aToHost);
    }
  }
  aStep.out_.clear();
}

} // namespace

void
DaemonOnEvent(DaemonState& aState,
              const Event& aEvent,
              const Now& aNow,
              Rng& aRng,
              Decisions& aOut)
{
  Decisions inner;
  const DaemonStep step{ aState, aNow, aRng, inner };
  std::visit([&step](const auto& aItem) { HandleItem(step, aItem); }, aEvent);
  DrainDecisions(step, aOut);
  UpdateLifecycle(step);
  DrainDecisions(step, aOut);
}

TimePoint
DaemonNextWake(const DaemonState& aState)
{
  return std::min({ aState.nextLifecycleUpdate_,
                    PublishNextWake(aState.publish_),
                    MembershipNextWake(aState.membership_),
                    RouteNextWake(aState.route_),
                    OrderNextWake(aState.order_) });
}

} // namespace camphorfield
