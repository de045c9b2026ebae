// Times that a daemon learns, and services that are slower than it knows.
#include "gateway/replay_fixture.h"
#include "gateway/request/route_times.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A plain service and the work of its requests. */
struct SlowCase
{
  const char* name_;
  RequestKind kind_;
  Duration objective_;
  Duration work_;
  Duration callerTimeout_;
};

GatewayRoute
SlowRoute(const SlowCase& aCase)
{
  GatewayRoute route;
  route.name_ = "slow";
  route.prefix_ = "/slow/";
  route.kind_ = aCase.kind_;
  route.timeout_ = aCase.callerTimeout_;
  route.objective_ = aCase.objective_;
  route.maxAttempts_ = 2;
  route.to_.push_back({ "slow", 1.0 });
  return route;
}

void
AddSlowService(Replay& aReplay, const SlowCase& aCase)
{
  for (int i = 0; i < 12; ++i) {
    aReplay.AddServer("slow", 1.0).slots_ = 8;
  }
  aReplay.SetRoute(SlowRoute(aCase));
  aReplay.Publish();
}

std::uint32_t
Answered(const ReplayResult& aResult)
{
  return aResult.onTime_ + aResult.late_;
}

} // namespace

TEST_GROUP(RouteTimes){};

// A daemon that has just started must serve a service whose requests all take
// longer than any constant that a timeout could start from.
TEST(RouteTimes, SlowServicesAreServedFromTheStart)
{
  const SlowCase cases[] = {
    { "within the objective",
      RequestKind::Idempotent,
      seconds(4),
      milliseconds(1300),
      seconds(8) },
    { "later than the objective",
      RequestKind::Idempotent,
      milliseconds(400),
      milliseconds(1300),
      seconds(8) },
    { "no objective",
      RequestKind::Idempotent,
      Duration::zero(),
      milliseconds(1300),
      seconds(8) },
    { "most of the time limit",
      RequestKind::Idempotent,
      seconds(4),
      milliseconds(3000),
      seconds(10) },
    { "not repeatable",
      RequestKind::NonIdempotent,
      seconds(4),
      milliseconds(1300),
      seconds(8) },
  };
  for (const SlowCase& item : cases) {
    Replay replay(1, 9);
    AddSlowService(replay, item);
    const ReplayResult result =
      replay
        .Run({ { "/slow/a", 10.0, item.work_, item.callerTimeout_, 0 } },
             seconds(5))
        .at("/slow/a");
    CHECK_TRUE_TEXT(result.asked_ > 20, item.name_);
    LONGS_EQUAL_TEXT(0, result.failed_, item.name_);
    LONGS_EQUAL_TEXT(result.asked_, Answered(result), item.name_);
  }
}

// Requests that become ten times as expensive must not be given up by what was
// learned before.
TEST(RouteTimes, AServiceThatSlowsDownIsServed)
{
  const SlowCase item{ "slows down",
                       RequestKind::Idempotent,
                       seconds(1),
                       milliseconds(300),
                       seconds(8) };
  Replay replay(1, 10);
  AddSlowService(replay, item);
  replay.Run({ { "/slow/a", 10.0, milliseconds(150), seconds(8), 0 } },
             seconds(8));
  const ReplayResult result =
    replay
      .Run({ { "/slow/b", 10.0, milliseconds(1500), seconds(8), 0 } },
           seconds(8))
      .at("/slow/b");
  CHECK_TRUE(result.asked_ > 40);
  LONGS_EQUAL(0, result.failed_);
  LONGS_EQUAL(result.asked_, Answered(result));
}

// Until answers are known, delays must follow the route and not a constant.
TEST(RouteTimes, UnlearnedTimesFollowTheObjective)
{
  for (const Duration objective :
       { Duration(milliseconds(40)), Duration(seconds(4)) }) {
    GatewayRoute route;
    route.objective_ = objective;
    const RouteLoad load;
    CHECK_TRUE(TypicalLatency(load, route) > objective / 10);
    CHECK_TRUE(TypicalLatency(load, route) < objective);
    CHECK_TRUE(HedgeDelay(load, route) > objective / 10);
    CHECK_TRUE(HedgeDelay(load, route) < objective);
    CHECK_TRUE(SilenceLimit(load) == Duration::max());
  }
}
