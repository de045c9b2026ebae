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

/** Decisions that stay inside the machine. */
template<typename Item>
constexpr bool kIsInternal =
  std::is_same_v<Item, ConfigAdopted> || std::is_same_v<Item, MembersChanged> ||
  std::is_same_v<Item, RumorReceived> || std::is_same_v<Item, SpreadRumor> ||
  std::is_same_v<Item, DispatchOrder> || std::is_same_v<Item, OrderDispatched>;

template<typename Item>
void
TellMembership(const DaemonStep& aStep, const Item& aItem)
{
  MembershipOnEvent(
    aStep.state_.membership_, aItem, aStep.now_, aStep.rng_, aStep.out_);
}

template<typename Item>
void
TellPublish(const DaemonStep& aStep, const Item& aItem)
{
  PublishOnEvent(
    aStep.state_.publish_, aItem, aStep.now_, aStep.rng_, aStep.out_);
}

template<typename Item>
void
TellRoute(const DaemonStep& aStep, const Item& aItem)
{
  RouteOnEvent(aStep.state_.route_, aItem, aStep.now_, aStep.rng_, aStep.out_);
}

template<typename Item>
void
TellOrder(const DaemonStep& aStep, const Item& aItem)
{
  OrderOnEvent(aStep.state_.order_, aItem, aStep.now_, aStep.rng_, aStep.out_);
}

void
Take(const DaemonStep& aStep, const CallerRequest& aRequest)
{
  const ResultCode refusal = AdmitRequest(aStep.state_, aRequest);
  if (refusal != ResultCode::Ok) {
    RefuseRequest(aStep, aRequest, refusal);
    return;
  }
  if (aRequest.mode_ == RouteMode::Order) {
    ++aStep.state_.openOrders_;
    TellOrder(aStep, aRequest);
    return;
  }
  ++aStep.state_.openQueries_;
  TellRoute(aStep, aRequest);
}

void
Take(const DaemonStep& aStep, const EntriesRequest& aRequest)
{
  TellMembership(aStep, aRequest);
}

void
Take(const DaemonStep& aStep, const CallerDisconnected& aGone)
{
  TellRoute(aStep, aGone);
  TellOrder(aStep, aGone);
}

void
Take(const DaemonStep& aStep, const ConnectionOpened& aOpened)
{
  TellRoute(aStep, aOpened);
}

void
Take(const DaemonStep& aStep, const ConnectionEnded& aEnded)
{
  TellRoute(aStep, aEnded);
}

void
Take(const DaemonStep& aStep, const SubAnswer& aAnswer)
{
  TellRoute(aStep, aAnswer);
}

void
Take(const DaemonStep& aStep, const SubNotSent& aNotSent)
{
  TellRoute(aStep, aNotSent);
}

// Each package looks only at the bodies that are its own.
void
Take(const DaemonStep& aStep, const PeerMessage& aMessage)
{
  TellMembership(aStep, aMessage);
  TellPublish(aStep, aMessage);
  TellRoute(aStep, aMessage);
  TellOrder(aStep, aMessage);
}

void
Take(const DaemonStep& aStep, const PeerUnreachable& aUnreachable)
{
  TellMembership(aStep, aUnreachable);
  TellPublish(aStep, aUnreachable);
  TellRoute(aStep, aUnreachable);
  TellOrder(aStep, aUnreachable);
}

void
Take(const DaemonStep& aStep, const PlatformReply& aReply)
{
  switch (aReply.user_) {
    case PlatformUser::Publish:
      TellPublish(aStep, aReply);
      break;
    case PlatformUser::Order:
      TellOrder(aStep, aReply);
      break;
    default:
      TellMembership(aStep, aReply);
      break;
  }
}

void
Take(const DaemonStep& aStep, const StopRequested& aStop)
{
  if (aStep.state_.phase_ != DaemonPhase::Serving) {
    return;
  }
  BeginStop(aStep, aStop);
  TellMembership(aStep, aStop);
  TellPublish(aStep, aStop);
  TellRoute(aStep, aStop);
  TellOrder(aStep, aStop);
}

void
Take(const DaemonStep& aStep, const OperatorRequest& aRequest)
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
      Take(aStep, StopRequested{ "operator" });
      break;
    default:
      TellPublish(aStep, aRequest);
      break;
  }
}

void
Take(const DaemonStep& aStep, const Tick& aTick)
{
  TellMembership(aStep, aTick);
  TellPublish(aStep, aTick);
  TellRoute(aStep, aTick);
  TellOrder(aStep, aTick);
}

void
Take(const DaemonStep& aStep, const ConfigAdopted& aAdopted)
{
  TellMembership(aStep, aAdopted);
  TellRoute(aStep, aAdopted);
  TellOrder(aStep, aAdopted);
}

void
Take(const DaemonStep& aStep, const MembersChanged& aChanged)
{
  TellPublish(aStep, aChanged);
  TellRoute(aStep, aChanged);
  TellOrder(aStep, aChanged);
}

void
Take(const DaemonStep& aStep, const RumorReceived& aHeard)
{
  TellRoute(aStep, aHeard);
}

void
Take(const DaemonStep& aStep, const SpreadRumor& aSpread)
{
  TellMembership(aStep, aSpread);
}

void
Take(const DaemonStep& aStep, const DispatchOrder& aDispatch)
{
  TellRoute(aStep, aDispatch);
}

void
Take(const DaemonStep& aStep, const OrderDispatched& aDispatched)
{
  TellOrder(aStep, aDispatched);
}

/** Looks at a decision on its way to the host. */
void
Pass(const DaemonStep& aStep, Decision& aDecision, Decisions& aToHost)
{
  if (auto* entries = std::get_if<EntriesAnswer>(&aDecision)) {
    CompleteEntries(aStep, *entries);
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

/** Hands one decision on; true when it stayed inside. */
bool
Loop(const DaemonStep& aStep, const Decision& aDecision)
{
  return std::visit(
    [&aStep](const auto& aItem) {
      using Item = std::decay_t<decltype(aItem)>;
      if constexpr (kIsInternal<Item>) {
        Take(aStep, aItem);
        return true;
      } else {
        return false;
      }
    },
    aDecision);
}

void
Settle(const DaemonStep& aStep, Decisions& aToHost)
{
  for (std::size_t i = 0; i < aStep.out_.size(); ++i) {
    // Moved out first: the vector may grow while the decision is taken.
    Decision decision = std::move(aStep.out_[i]);
    if (!Loop(aStep, decision)) {
      Pass(aStep, decision, aToHost);
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
  std::visit([&step](const auto& aItem) { Take(step, aItem); }, aEvent);
  Settle(step, aOut);
  Review(step);
  Settle(step, aOut);
}

TimePoint
DaemonNextWake(const DaemonState& aState)
{
  return std::min({ aState.nextReview_,
                    PublishNextWake(aState.publish_),
                    MembershipNextWake(aState.membership_),
                    RouteNextWake(aState.route_),
                    OrderNextWake(aState.order_) });
}

} // namespace camphorfield
