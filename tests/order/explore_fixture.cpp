/** Steps of the state search, and the invariants checked on the way. */
#include "order/explore_internal.h"

#include "core/hash_func.h"
#include "core/result_func.h"
#include "order/order_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

constexpr std::int64_t kEpochMicros = 1'700'000'000'000'000;

constexpr std::uint64_t kSeed = 1;

constexpr const char* kCaller = "desk";

constexpr int kMaxSettleSteps = 1000;

Now
ClockOf(const ExploredWorld& aWorld, std::size_t aDaemon)
{
  Now now = aWorld.now_;
  now.unixMicros_ += aWorld.skewMicros_[aDaemon];
  return now;
}

void
Fail(ExploredWorld& aWorld, const char* aWhy)
{
  if (aWorld.violation_ == nullptr) {
    aWorld.violation_ = aWhy;
  }
}

std::size_t
IndexOf(const ExploredWorld& aWorld, DaemonId aId)
{
  std::size_t index = 0;
  while (aWorld.daemons_[index]->state_.settings_.self_ != aId) {
    ++index;
  }
  return index;
}

/** Check that a key answered "not run" has not run. */
void
CheckNotRun(ExploredWorld& aWorld, ResultCode aCode, const std::string& aKey)
{
  if (GetResultRow(aCode).run_ == RunState::NotRun && aWorld.runs_[aKey] > 0) {
    Fail(aWorld, "answered NOT_RUN though it ran");
  }
}

void
CheckAnswer(ExploredWorld& aWorld, const OrderAnswer& aAnswer, bool aRelayed)
{
  ExploredRequest& request = aWorld.requests_[aAnswer.id_.value_ - 1];
  if (request.answer_ != ResultCode::End) {
    Fail(aWorld, "answered twice");
  }
  request.answer_ = aAnswer.code_;
  if (!aRelayed) {
    CheckNotRun(aWorld, aAnswer.code_, request.key_);
  }
  const bool wrong = aAnswer.body_ == nullptr ||
                     *aAnswer.body_ != request.key_ ||
                     aWorld.runs_[request.key_] == 0;
  if (aAnswer.code_ == ResultCode::Ok && wrong) {
    Fail(aWorld, "answered an outcome that did not happen");
  }
}

void
ExecuteSend(ExploredWorld& aWorld, std::size_t aFrom, const SendPeer& aSend)
{
  const OrderSettings& from = aWorld.daemons_[aFrom]->state_.settings_;
  if (const auto* forward = std::get_if<OrderForward>(&aSend.body_)) {
    aWorld.callKeys_[forward->call_] = forward->key_;
  } else if (const auto* answer = std::get_if<OrderForwarded>(&aSend.body_)) {
    if (answer->accepted_) {
      CheckNotRun(aWorld, answer->code_, aWorld.callKeys_[answer->call_]);
    }
  }
  PutItem(aWorld,
          { .to_ = IndexOf(aWorld, aSend.to_),
            .event_ = PeerMessage{ .from_ = from.self_,
                                   .fromIncarnation_ = from.incarnation_,
                                   .body_ = aSend.body_ } });
}

void
ExecuteDecisions(ExploredWorld& aWorld,
                 std::size_t aFrom,
                 const Decisions& aDecisions,
                 bool aRelayed)
{
  const Incarnation incarnation =
    aWorld.daemons_[aFrom]->state_.settings_.incarnation_;
  for (const Decision& decision : aDecisions) {
    if (const auto* answer = std::get_if<OrderAnswer>(&decision)) {
      CheckAnswer(aWorld, *answer, aRelayed);
    } else if (const auto* send = std::get_if<SendPeer>(&decision)) {
      ExecuteSend(aWorld, aFrom, *send);
    } else if (const auto* call = std::get_if<PlatformCall>(&decision)) {
      PutItem(aWorld,
              { .to_ = aFrom, .incarnation_ = incarnation, .call_ = *call });
    } else if (const auto* order = std::get_if<DispatchOrder>(&decision)) {
      PutItem(
        aWorld,
        { .to_ = aFrom, .incarnation_ = incarnation, .dispatch_ = *order });
    }
  }
}

void
SetDaemon(ExploredWorld& aWorld, std::size_t aDaemon, OrderState aState)
{
  auto daemon = std::make_shared<ExploredDaemon>();
  daemon->hash_ = HashOrderState(aState);
  daemon->state_ = std::move(aState);
  aWorld.daemons_[aDaemon] = std::move(daemon);
}

std::shared_ptr<const std::vector<MemberRecord>>
MemberView(const ExploredWorld& aWorld, std::size_t aDaemon)
{
  auto members = std::make_shared<std::vector<MemberRecord>>();
  for (std::size_t i = 0; i < kExploredDaemons; ++i) {
    const OrderSettings& settings = aWorld.daemons_[i]->state_.settings_;
    const bool dead = i == 0 && aWorld.sawFirstDead_[aDaemon];
    members->push_back(
      { .id_ = settings.self_,
        .incarnation_ = settings.incarnation_,
        .state_ = dead ? MemberState::Dead : MemberState::Alive,
        .ready_ = true });
  }
  return members;
}

OrderSettings
ExploredSettings(std::size_t aDaemon,
                 std::uint64_t aIncarnation,
                 const OrderGuards& aGuards)
{
  // The first daemon is the preferred owner of the range.
  std::array<std::uint64_t, kExploredDaemons> ids{ 1, 2, 3 };
  std::sort(
    ids.begin(), ids.end(), [](std::uint64_t aLeft, std::uint64_t aRight) {
      return HashPair(aLeft, 1) > HashPair(aRight, 1);
    });
  OrderSettings settings;
  settings.self_ = { ids[aDaemon] };
  settings.incarnation_ = { aIncarnation };
  settings.ranges_ = 1;
  settings.writesPerSecond_ = 1'000'000;
  settings.writeBurst_ = 1000;
  for (Duration OrderSettings::*delay : { &OrderSettings::backoffInitial_,
                                          &OrderSettings::outcomeDelay_,
                                          &OrderSettings::takeoverGrace_,
                                          &OrderSettings::rebalanceDelay_,
                                          &OrderSettings::releaseWait_,
                                          &OrderSettings::outcomeWait_,
                                          &OrderSettings::forwardRetry_,
                                          &OrderSettings::forwardMargin_,
                                          &OrderSettings::issuerWait_ }) {
    settings.*delay = Duration(0); // Due at once; the search picks the moment.
  }
  settings.guards_ = aGuards;
  return settings;
}

/** Execute a store call; sends a reply unless the caller has given up. */
void
RunStore(ExploredWorld& aWorld, const ExploredItem& aItem)
{
  auto store = std::make_shared<FakeStore>(*aWorld.store_);
  const PlatformReply reply = StoreCall(*store, *aItem.delivery_.call_);
  if (store->writes_ != aWorld.store_->writes_) {
    aWorld.before_ = aWorld.store_;
  }
  aWorld.store_ = std::move(store);
  if (!aItem.abandoned_) {
    PutItem(aWorld,
            { .to_ = aItem.delivery_.to_,
              .incarnation_ = aItem.delivery_.incarnation_,
              .event_ = reply });
  }
}

/** Check that a key runs once, and only while a request that may run it is not
 * answered as "not run". */
void
CheckRun(ExploredWorld& aWorld, const std::string& aKey)
{
  if (aWorld.runs_[aKey] > 1) {
    Fail(aWorld, "ran twice");
  }
  for (const ExploredRequest& request : aWorld.requests_) {
    const bool open =
      request.sent_ && request.key_ == aKey &&
      (request.answer_ == ResultCode::End || !MeansNotRun(request.answer_));
    if (open) {
      return;
    }
  }
  Fail(aWorld, "ran after every request was answered as not run");
}

/** Index of a daemon's first store call or event; items_.size() if none. */
std::size_t
FindItem(const ExploredWorld& aWorld, std::size_t aDaemon, bool aStoreCall)
{
  std::size_t i = 0;
  while (i < aWorld.items_.size()) {
    const Delivery& delivery = aWorld.items_[i]->delivery_;
    const bool event = !delivery.call_ && !delivery.dispatch_;
    if (delivery.to_ == aDaemon &&
        (aStoreCall ? delivery.call_.has_value() : event)) {
      break;
    }
    ++i;
  }
  return i;
}

void
Settle(ExploredWorld& aWorld, std::size_t aFirst, std::size_t aLast)
{
  for (int i = 0; i < kMaxSettleSteps; ++i) {
    const auto item = std::find_if(
      aWorld.items_.begin(), aWorld.items_.end(), [&](const auto& aItem) {
        return aItem->delivery_.to_ >= aFirst && aItem->delivery_.to_ <= aLast;
      });
    if (item != aWorld.items_.end()) {
      ExecuteItem(aWorld,
                  static_cast<std::size_t>(item - aWorld.items_.begin()));
      continue;
    }
    std::size_t daemon = aFirst;
    while (daemon <= aLast && !IsDue(aWorld, daemon)) {
      ++daemon;
    }
    if (daemon > aLast) {
      return;
    }
    DeliverEvent(aWorld, daemon, Tick{});
  }
}

void
ShedOldest(ExploredWorld& aWorld)
{
  std::size_t i = 0;
  while (!aWorld.items_[i]->delivery_.dispatch_) {
    ++i;
  }
  const auto item = TakeItem(aWorld, i);
  RunServer(aWorld, item->delivery_, kServerCases[kShedServerCase]);
}

} // namespace

void
PutItem(ExploredWorld& aWorld, Delivery aDelivery, bool aAbandoned)
{
  auto item = std::make_shared<ExploredItem>();
  item->hash_ = HashPair(HashDelivery(aDelivery), aAbandoned ? 1 : 0);
  item->delivery_ = std::move(aDelivery);
  item->abandoned_ = aAbandoned;
  aWorld.items_.push_back(std::move(item));
}

void
DeliverEvent(ExploredWorld& aWorld, std::size_t aDaemon, const Event& aEvent)
{
  Rng rng(kSeed);
  Decisions out;
  OrderState state = aWorld.daemons_[aDaemon]->state_;
  const Now now = ClockOf(aWorld, aDaemon);
  std::visit(
    [&](const auto& aTyped) {
      if constexpr (requires { OrderOnEvent(state, aTyped, now, rng, out); }) {
        OrderOnEvent(state, aTyped, now, rng, out);
      }
    },
    aEvent);
  SetDaemon(aWorld, aDaemon, std::move(state));
  bool relayed = false;
  if (const auto* peer = std::get_if<PeerMessage>(&aEvent)) {
    relayed = std::holds_alternative<OrderForwarded>(peer->body_);
  }
  ExecuteDecisions(aWorld, aDaemon, out, relayed);
}

bool
IsDue(const ExploredWorld& aWorld, std::size_t aDaemon)
{
  return OrderNextWake(aWorld.daemons_[aDaemon]->state_) <= aWorld.now_.mono_;
}

bool
IsStaleEvent(const ExploredWorld& aWorld, const Delivery& aDelivery)
{
  return aDelivery.incarnation_.IsValid() &&
         aDelivery.incarnation_ !=
           aWorld.daemons_[aDelivery.to_]->state_.settings_.incarnation_;
}

void
RunServer(ExploredWorld& aWorld,
          const Delivery& aDelivery,
          const ServerCase& aCase)
{
  const DispatchOrder& order = *aDelivery.dispatch_;
  if (aCase.runs_) {
    ++aWorld.runs_[order.key_];
    CheckRun(aWorld, order.key_);
  }
  PutItem(aWorld,
          { .to_ = aDelivery.to_,
            .incarnation_ = aDelivery.incarnation_,
            .event_ = OrderDispatched{
              .id_ = order.id_,
              .state_ = aCase.reported_,
              .reason_ = ResultCode::Overloaded,
              .body_ = std::make_shared<const std::string>(order.key_) } });
}

std::shared_ptr<const ExploredItem>
TakeItem(ExploredWorld& aWorld, std::size_t aItem)
{
  auto item = aWorld.items_[aItem];
  aWorld.items_.erase(aWorld.items_.begin() +
                      static_cast<std::ptrdiff_t>(aItem));
  return item;
}

void
ExecuteItem(ExploredWorld& aWorld, std::size_t aItem)
{
  const auto item = TakeItem(aWorld, aItem);
  const Delivery& delivery = item->delivery_;
  if (delivery.call_) {
    RunStore(aWorld, *item);
  } else if (delivery.dispatch_) {
    RunServer(aWorld, delivery, kServerCases[0]);
  } else if (!IsStaleEvent(aWorld, delivery)) {
    DeliverEvent(aWorld, delivery.to_, delivery.event_);
  }
}

void
Send(ExploredWorld& aWorld, std::size_t aRequest)
{
  ExploredRequest& request = aWorld.requests_[aRequest];
  request.sent_ = true;
  DeliverEvent(
    aWorld,
    request.daemon_,
    CallerRequest{ .id_ = { aRequest + 1 },
                   .caller_ = kCaller,
                   .route_ = "reorder",
                   .idempotencyKey_ = request.key_,
                   .body_ = std::make_shared<const std::string>("body") });
}

void
MarkFirstDead(ExploredWorld& aWorld, std::size_t aDaemon)
{
  aWorld.sawFirstDead_[aDaemon] = true;
  DeliverEvent(aWorld, aDaemon, MembersChanged{ MemberView(aWorld, aDaemon) });
}

void
Crash(ExploredWorld& aWorld, std::size_t aDaemon)
{
  const OrderSettings& old = aWorld.daemons_[aDaemon]->state_.settings_;
  const OrderSettings settings =
    ExploredSettings(aDaemon, old.incarnation_.value_ + 1, old.guards_);
  Rng rng(kSeed);
  SetDaemon(
    aWorld, aDaemon, MakeOrderState(settings, ClockOf(aWorld, aDaemon), rng));
  DeliverEvent(aWorld, aDaemon, MembersChanged{ MemberView(aWorld, aDaemon) });
}

bool
AdvanceToNextDue(ExploredWorld& aWorld)
{
  TimePoint next = kNever;
  for (const auto& daemon : aWorld.daemons_) {
    const TimePoint wake = OrderNextWake(daemon->state_);
    if (wake > aWorld.now_.mono_) {
      next = std::min(next, wake);
    }
  }
  if (next == kNever) {
    return false;
  }
  aWorld.now_.unixMicros_ += (next - aWorld.now_.mono_).count();
  aWorld.now_.mono_ = next;
  return true;
}

ExploredWorld
MakeWorld(const OrderGuards& aGuards)
{
  ExploredWorld world;
  world.now_ = { TimePoint(std::chrono::hours(1)), kEpochMicros };
  world.store_ = std::make_shared<FakeStore>();
  Rng rng(kSeed);
  for (std::size_t i = 0; i < kExploredDaemons; ++i) {
    OrderState state =
      MakeOrderState(ExploredSettings(i, 1, aGuards), world.now_, rng);
    if (i == 0) {
      world.token_ = OrderIssueTokens(state, 1, world.now_, rng)[0];
    }
    SetDaemon(world, i, std::move(state));
  }
  for (std::size_t i = 0; i < kExploredDaemons; ++i) {
    DeliverEvent(world, i, MembersChanged{ MemberView(world, i) });
  }
  Settle(world, 0, kExploredDaemons - 1);
  return world;
}

void
RunPrefix(ExploredWorld& aWorld, const std::vector<PrefixStep>& aSteps)
{
  for (const PrefixStep& step : aSteps) {
    switch (step.op_) {
      case PrefixOp::Send:
        Send(aWorld, step.arg_);
        break;
      case PrefixOp::Settle:
        Settle(aWorld, 0, kExploredDaemons - 1);
        break;
      case PrefixOp::SettleDaemon:
        Settle(aWorld, step.arg_, step.arg_);
        break;
      case PrefixOp::FalseDeath:
        MarkFirstDead(aWorld, step.arg_);
        break;
      case PrefixOp::Store:
        ExecuteItem(aWorld, FindItem(aWorld, step.arg_, true));
        break;
      case PrefixOp::Deliver:
        ExecuteItem(aWorld, FindItem(aWorld, step.arg_, false));
        break;
      case PrefixOp::Shed:
        ShedOldest(aWorld);
        break;
      case PrefixOp::Skew:
        aWorld.skewMicros_[step.arg_] =
          aWorld.daemons_[step.arg_]->state_.settings_.window_.count() +
          std::chrono::microseconds(std::chrono::seconds(1)).count();
        break;
      case PrefixOp::End:
        break;
    }
  }
}

} // namespace camphorfield
