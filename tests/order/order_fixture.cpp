/** Simulated cluster: delivers events and calls with random faults. */
#include "order/order_fixture.h"

#include "order/order_internal.h"

#include <algorithm>
#include <type_traits>

namespace camphorfield {

namespace {

constexpr Duration kHop = std::chrono::microseconds(500);
constexpr std::uint32_t kMille = 1000;
constexpr std::int64_t kEpochMicros = 1'700'000'000'000'000;
constexpr const char* kCaller = "desk";

bool
Chance(Cluster& aCluster, std::uint32_t aPerMille)
{
  return aPerMille > 0 && aCluster.rng_() % kMille < aPerMille;
}

Duration
RandomHopDelay(Cluster& aCluster)
{
  return kHop +
         Duration(aCluster.rng_() % static_cast<std::uint64_t>(kHop.count()));
}

void
Schedule(Cluster& aCluster, Duration aDelay, Delivery aDelivery)
{
  aCluster.queue_.emplace(aCluster.now_.mono_ + aDelay, std::move(aDelivery));
}

std::size_t
IndexOf(const Cluster& aCluster, DaemonId aId)
{
  for (std::size_t i = 0; i < aCluster.daemons_.size(); ++i) {
    if (aCluster.daemons_[i].state_.settings_.self_ == aId) {
      return i;
    }
  }
  return aCluster.daemons_.size();
}

void
SendToTestPeer(Cluster& aCluster, std::size_t aFrom, const SendPeer& aSend)
{
  const OrderSettings& from = aCluster.daemons_[aFrom].state_.settings_;
  const std::size_t to = IndexOf(aCluster, aSend.to_);
  const bool lost = Chance(aCluster, aCluster.faults_.peerLost_) ||
                    aCluster.cut_.count({ aFrom, to }) != 0;
  if (to == aCluster.daemons_.size() || !aCluster.daemons_[to].up_ || lost) {
    Schedule(aCluster,
             RandomHopDelay(aCluster),
             { .to_ = aFrom,
               .incarnation_ = from.incarnation_,
               .event_ = PeerUnreachable{ aSend.to_, "", aSend.call_ } });
    return;
  }
  const Delivery delivery{
    .to_ = to,
    .incarnation_ = aCluster.daemons_[to].state_.settings_.incarnation_,
    .event_ = PeerMessage{ .from_ = from.self_,
                           .fromIncarnation_ = from.incarnation_,
                           .body_ = aSend.body_ }
  };
  Schedule(aCluster, RandomHopDelay(aCluster), delivery);
  if (Chance(aCluster, aCluster.faults_.peerTwice_)) {
    Schedule(aCluster, RandomHopDelay(aCluster) * 100, delivery);
  }
}

void
Execute(Cluster& aCluster, std::size_t aFrom, const Decision& aDecision)
{
  const Incarnation incarnation =
    aCluster.daemons_[aFrom].state_.settings_.incarnation_;
  if (const auto* answer = std::get_if<OrderAnswer>(&aDecision)) {
    aCluster.answers_[answer->id_] = { *answer, aCluster.now_.mono_ };
  } else if (const auto* send = std::get_if<SendPeer>(&aDecision)) {
    SendToTestPeer(aCluster, aFrom, *send);
  } else if (const auto* call = std::get_if<PlatformCall>(&aDecision)) {
    Schedule(aCluster,
             RandomHopDelay(aCluster),
             { .to_ = aFrom, .incarnation_ = incarnation, .call_ = *call });
  } else if (const auto* order = std::get_if<DispatchOrder>(&aDecision)) {
    Schedule(
      aCluster,
      RandomHopDelay(aCluster),
      { .to_ = aFrom, .incarnation_ = incarnation, .dispatch_ = *order });
  }
}

void
RunStoreCall(Cluster& aCluster, const Delivery& aDelivery)
{
  const PlatformCall& call = *aDelivery.call_;
  const Faults& faults = aCluster.faults_;
  PlatformReply reply{ .id_ = call.id_,
                       .user_ = call.user_,
                       .op_ = call.op_,
                       .status_ = PlatformStatus::Unreachable,
                       .key_ = call.key_ };
  if (!faults.storeOut_ && !Chance(aCluster, faults.storeLost_)) {
    PlatformReply real = StoreCall(aCluster.store_, call);
    if (!Chance(aCluster, faults.replyLost_)) {
      reply = std::move(real);
    }
  }
  Schedule(aCluster,
           RandomHopDelay(aCluster),
           { .to_ = aDelivery.to_,
             .incarnation_ = aDelivery.incarnation_,
             .event_ = reply });
}

void
RunDispatch(Cluster& aCluster, const Delivery& aDelivery)
{
  const DispatchOrder& order = *aDelivery.dispatch_;
  const Faults& faults = aCluster.faults_;
  OrderDispatched end{ .id_ = order.id_ };
  if (order.deadline_ <= aCluster.now_.mono_ ||
      Chance(aCluster, faults.serverSheds_)) {
    end.state_ = DispatchState::NotRun;
    end.reason_ = ResultCode::Overloaded;
  } else if (!Chance(aCluster, faults.serverCrashes_)) {
    const int run = ++aCluster.runs_[order.caller_ + '/' + order.key_];
    end.state_ = Chance(aCluster, faults.serverAnswerLost_)
                   ? DispatchState::Unknown
                   : DispatchState::Answered;
    end.body_ = std::make_shared<const std::string>(
      "run " + std::to_string(run) + " of " + order.key_);
  }
  Schedule(aCluster,
           aCluster.serverTime_,
           { .to_ = aDelivery.to_,
             .incarnation_ = aDelivery.incarnation_,
             .event_ = end });
}

void
Deliver(Cluster& aCluster, const Delivery& aDelivery)
{
  if (aDelivery.call_) {
    RunStoreCall(aCluster, aDelivery);
    return;
  }
  if (aDelivery.dispatch_) {
    RunDispatch(aCluster, aDelivery);
    return;
  }
  TestDaemon& daemon = aCluster.daemons_[aDelivery.to_];
  if (!daemon.up_ ||
      daemon.state_.settings_.incarnation_ != aDelivery.incarnation_) {
    return;
  }
  if (daemon.paused_) {
    daemon.held_.push_back(aDelivery);
    return;
  }
  DeliverEvent(aCluster, aDelivery.to_, aDelivery.event_);
}

/** Time of the next delivery or timer. */
TimePoint
NextTime(const Cluster& aCluster)
{
  TimePoint next =
    aCluster.queue_.empty() ? kNever : aCluster.queue_.begin()->first;
  for (const TestDaemon& daemon : aCluster.daemons_) {
    if (daemon.up_ && !daemon.paused_) {
      next = std::min(next, OrderNextWake(daemon.state_));
    }
  }
  return std::max(next, aCluster.now_.mono_);
}

void
AdvanceTo(Cluster& aCluster, TimePoint aTime)
{
  aCluster.now_.unixMicros_ += (aTime - aCluster.now_.mono_).count();
  aCluster.now_.mono_ = aTime;
}

void
TickAll(Cluster& aCluster)
{
  for (std::size_t i = 0; i < aCluster.daemons_.size(); ++i) {
    const TestDaemon& daemon = aCluster.daemons_[i];
    if (daemon.up_ && !daemon.paused_ &&
        OrderNextWake(daemon.state_) <= aCluster.now_.mono_) {
      DeliverEvent(aCluster, i, Tick{});
    }
  }
}

} // namespace

PlatformReply
StoreCall(FakeStore& aStore, const PlatformCall& aCall)
{
  PlatformReply reply{
    .id_ = aCall.id_, .user_ = aCall.user_, .op_ = aCall.op_, .key_ = aCall.key_
  };
  const auto found = aStore.objects_.find(aCall.key_);
  const bool exists = found != aStore.objects_.end();
  switch (aCall.op_) {
    case PlatformOp::List:
      for (const auto& [key, object] : aStore.objects_) {
        if (key.starts_with(aCall.key_)) {
          reply.objects_.push_back(object);
        }
      }
      return reply;
    case PlatformOp::Get:
      reply.status_ = exists ? PlatformStatus::Ok : PlatformStatus::NotFound;
      break;
    case PlatformOp::Create:
      reply.status_ = exists ? PlatformStatus::Conflict : PlatformStatus::Ok;
      break;
    default:
      reply.status_ = PlatformStatus::NotFound;
      if (exists) {
        reply.status_ = found->second.version_ == aCall.expectedVersion_
                          ? PlatformStatus::Ok
                          : PlatformStatus::Conflict;
      }
      break;
  }
  if (reply.status_ != PlatformStatus::Ok) {
    return reply;
  }
  if (aCall.op_ == PlatformOp::Delete) {
    aStore.objects_.erase(found);
    return reply;
  }
  if (aCall.op_ != PlatformOp::Get) {
    ++aStore.writes_;
    PlatformObject& object = aStore.objects_[aCall.key_];
    object = { aCall.key_, object.version_ + 1, aCall.value_ };
  }
  reply.objects_.push_back(aStore.objects_[aCall.key_]);
  return reply;
}

OrderSettings
ClusterSettings(std::size_t aIndex, std::uint64_t aIncarnation)
{
  OrderSettings settings;
  settings.self_ = { aIndex + 1 };
  settings.name_ = "d" + std::to_string(aIndex);
  settings.incarnation_ = { aIncarnation };
  settings.failureDomain_ = "fd" + std::to_string(aIndex % 3);
  return settings;
}

Cluster
MakeCluster(std::size_t aDaemons, std::uint64_t aSeed)
{
  Cluster cluster;
  cluster.rng_.seed(aSeed);
  cluster.now_ = { TimePoint(std::chrono::hours(1)), kEpochMicros };
  for (std::size_t i = 0; i < aDaemons; ++i) {
    cluster.daemons_.push_back(
      { .state_ =
          MakeOrderState(ClusterSettings(i), cluster.now_, cluster.rng_) });
  }
  SpreadMembers(cluster);
  return cluster;
}

void
SpreadMembers(Cluster& aCluster)
{
  auto members = std::make_shared<std::vector<MemberRecord>>();
  for (const TestDaemon& daemon : aCluster.daemons_) {
    const OrderSettings& settings = daemon.state_.settings_;
    MemberRecord record{ .id_ = settings.self_,
                         .name_ = settings.name_,
                         .incarnation_ = settings.incarnation_,
                         .failureDomain_ = settings.failureDomain_,
                         .ready_ = true };
    if (!daemon.up_) {
      record.state_ = MemberState::Dead;
    } else if (daemon.paused_) {
      record.state_ = MemberState::Suspect;
    } else if (daemon.state_.stopping_) {
      record.state_ = MemberState::Leaving;
    }
    members->push_back(record);
  }
  for (std::size_t i = 0; i < aCluster.daemons_.size(); ++i) {
    if (aCluster.daemons_[i].up_ && !aCluster.daemons_[i].paused_) {
      DeliverEvent(aCluster, i, MembersChanged{ members });
    }
  }
}

CallerRequestId
SendOrder(Cluster& aCluster,
          std::size_t aDaemon,
          const std::string& aKey,
          const std::string& aBody,
          Duration aTimeout)
{
  const CallerRequestId id{ ++aCluster.nextRequest_ };
  const CallerRequest request{ .id_ = id,
                               .caller_ = kCaller,
                               .route_ = "reorder",
                               .idempotencyKey_ = aKey,
                               .body_ =
                                 std::make_shared<const std::string>(aBody),
                               .timeout_ = aTimeout };
  Deliver(
    aCluster,
    { .to_ = aDaemon,
      .incarnation_ = aCluster.daemons_[aDaemon].state_.settings_.incarnation_,
      .event_ = request });
  return id;
}

void
DeliverEvent(Cluster& aCluster, std::size_t aDaemon, const Event& aEvent)
{
  Decisions out;
  OrderState& state = aCluster.daemons_[aDaemon].state_;
  std::visit(
    [&](const auto& aTyped) {
      if constexpr (requires {
                      OrderOnEvent(
                        state, aTyped, aCluster.now_, aCluster.rng_, out);
                    }) {
        OrderOnEvent(state, aTyped, aCluster.now_, aCluster.rng_, out);
      }
    },
    aEvent);
  for (const Decision& decision : out) {
    Execute(aCluster, aDaemon, decision);
  }
}

void
RunFor(Cluster& aCluster, Duration aTime)
{
  const TimePoint end = aCluster.now_.mono_ + aTime;
  while (NextTime(aCluster) <= end) {
    AdvanceTo(aCluster, NextTime(aCluster));
    while (!aCluster.queue_.empty() &&
           aCluster.queue_.begin()->first <= aCluster.now_.mono_) {
      const Delivery delivery = aCluster.queue_.begin()->second;
      aCluster.queue_.erase(aCluster.queue_.begin());
      Deliver(aCluster, delivery);
    }
    TickAll(aCluster);
  }
  AdvanceTo(aCluster, end);
}

void
Kill(Cluster& aCluster, std::size_t aDaemon)
{
  aCluster.daemons_[aDaemon].up_ = false;
  aCluster.daemons_[aDaemon].paused_ = false;
  aCluster.daemons_[aDaemon].held_.clear();
}

void
Restart(Cluster& aCluster, std::size_t aDaemon)
{
  const std::uint64_t incarnation =
    aCluster.daemons_[aDaemon].state_.settings_.incarnation_.value_;
  aCluster.daemons_[aDaemon] = {
    .state_ = MakeOrderState(
      ClusterSettings(aDaemon, incarnation + 1), aCluster.now_, aCluster.rng_)
  };
}

void
Pause(Cluster& aCluster, std::size_t aDaemon)
{
  aCluster.daemons_[aDaemon].paused_ = true;
}

void
Resume(Cluster& aCluster, std::size_t aDaemon)
{
  TestDaemon& daemon = aCluster.daemons_[aDaemon];
  daemon.paused_ = false;
  for (const Delivery& delivery : std::exchange(daemon.held_, {})) {
    Deliver(aCluster, delivery);
  }
}

std::string
PlainKey(const Cluster& aCluster, const std::string& aName)
{
  constexpr std::int64_t kMicrosPerMilli = 1000;
  return std::to_string(aCluster.now_.unixMicros_ / kMicrosPerMilli) + '-' +
         aName;
}

ResultCode
CodeOf(const Cluster& aCluster, CallerRequestId aRequest)
{
  const auto answer = aCluster.answers_.find(aRequest);
  return answer == aCluster.answers_.end() ? ResultCode::End
                                           : answer->second.answer_.code_;
}

int
RunCount(const Cluster& aCluster, const std::string& aKey)
{
  const auto runs = aCluster.runs_.find(std::string(kCaller) + '/' + aKey);
  return runs == aCluster.runs_.end() ? 0 : runs->second;
}

std::size_t
OwnerOf(const Cluster& aCluster, const std::string& aKey)
{
  const OrderState& state = aCluster.daemons_[0].state_;
  const std::uint32_t range =
    RangeOfKey(DigestKey(kCaller, aKey), state.settings_.ranges_);
  return IndexOf(aCluster, PreferredOwner(state, range));
}

} // namespace camphorfield
