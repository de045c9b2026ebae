// Tests of order dispatch: one outcome for each order, and no second attempt
// once an order may have run.
#include "route/route_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

namespace {

/** Number of orders that reached the servers of the service. */
std::uint64_t
OrdersReceived(RouteWorld& aWorld)
{
  return GetServer(aWorld, "s0-0").orders_ + GetServer(aWorld, "s0-1").orders_;
}

using Fault = std::function<void(RouteWorld&)>;

Fault
OnBoth(const std::function<void(FakeServer&)>& aFault)
{
  return [aFault](RouteWorld& aWorld) {
    aFault(GetServer(aWorld, "s0-0"));
    aFault(GetServer(aWorld, "s0-1"));
  };
}

} // namespace

TEST_GROUP(Order){};

TEST(Order, ExactlyOneOutcomeUnderEachFault)
{
  struct Case
  {
    const char* name_;
    Fault before_; ///< Applied before the order is sent.
    Fault during_; ///< Applied half a millisecond after.
    DispatchState state_;
    std::uint64_t received_; ///< Orders received by servers, at most.
  };
  const Fault none = [](RouteWorld&) {};
  const Case cases[] = {
    { "whole", none, none, DispatchState::Answered, 1 },
    { "failed",
      OnBoth([](FakeServer& aServer) { aServer.fails_ = true; }),
      none,
      DispatchState::Unknown,
      1 },
    { "shed by one",
      [](RouteWorld& aWorld) { GetServer(aWorld, "s0-0").refuses_ = true; },
      none,
      DispatchState::Answered,
      2 },
    { "shed by all",
      OnBoth([](FakeServer& aServer) { aServer.refuses_ = true; }),
      none,
      DispatchState::NotRun,
      8 },
    { "crash while it runs",
      none,
      [](RouteWorld& aWorld) {
        CrashServer(aWorld, GetServer(aWorld, "s0-0"));
        CrashServer(aWorld, GetServer(aWorld, "s0-1"));
      },
      DispatchState::Unknown,
      1 },
    { "never answered",
      OnBoth([](FakeServer& aServer) { aServer.work_ = seconds(60); }),
      none,
      DispatchState::Unknown,
      1 },
    { "no server",
      [](RouteWorld& aWorld) {
        StopServer(aWorld, GetServer(aWorld, "s0-0"));
        StopServer(aWorld, GetServer(aWorld, "s0-1"));
        RunFor(aWorld, milliseconds(500));
      },
      none,
      DispatchState::NotRun,
      0 },
    { "all leaving",
      OnBoth([](FakeServer& aServer) { aServer.draining_ = true; }),
      none,
      DispatchState::NotRun,
      2 },
  };
  for (const Case& row : cases) {
    RouteWorld world = MakeWorld({ .services_ = 1 });
    AdoptWorldConfig(world);
    RunFor(world, milliseconds(300));
    row.before_(world);
    const std::uint64_t id = SendOrder(world);
    RunFor(world, microseconds(500));
    row.during_(world);
    RunFor(world, seconds(3));
    LONGS_EQUAL_TEXT(1, world.dispatchCounts_[id], row.name_);
    LONGS_EQUAL_TEXT(static_cast<int>(row.state_),
                     static_cast<int>(world.dispatched_[id].state_),
                     row.name_);
    CHECK_TRUE_TEXT(OrdersReceived(world) <= row.received_, row.name_);
    CHECK_TRUE_TEXT(RouteIsIdle(world.daemons_[0]->state_), row.name_);
  }
}

TEST(Order, OrderNotSentByTheHostIsNotRun)
{
  RouteWorld world = MakeWorld({ .services_ = 1 });
  AdoptWorldConfig(world);
  RunFor(world, milliseconds(300));
  const std::uint64_t id = SendOrder(world);
  const SubRequest sent = world.sent_.back();
  Deliver(world, 0, SubNotSent{ sent.id_, sent.connection_ });
  CHECK_TRUE(world.dispatched_[id].state_ == DispatchState::NotRun);
}

TEST(Order, OrderIsRetriedIfClosedBeforeTheFirstByte)
{
  RouteWorld world = MakeWorld({ .services_ = 1 });
  AdoptWorldConfig(world);
  RunFor(world, milliseconds(300));
  const std::uint64_t id = SendOrder(world);
  const SubRequest sent = world.sent_.back();
  Deliver(world,
          0,
          ConnectionEnded{
            sent.connection_, ConnectionEnd::Closed, true, sent.id_, false });
  RunFor(world, seconds(1));
  CHECK_TRUE(world.dispatched_[id].state_ == DispatchState::Answered);
  LONGS_EQUAL(1, world.dispatchCounts_[id]);
}

TEST(Order, QueuedOrderExpiresAsNotRun)
{
  RouteWorld world = MakeWorld({ .services_ = 1 });
  AdoptWorldConfig(world);
  const std::uint64_t id = SendOrder(world, "x", microseconds(500));
  RunFor(world, seconds(1));
  CHECK_TRUE(world.dispatched_[id].state_ == DispatchState::NotRun);
  LONGS_EQUAL(1, world.dispatchCounts_[id]);
  LONGS_EQUAL(0, OrdersReceived(world));
}
