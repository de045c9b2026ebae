// Tests of admission control and fairness at more than the capacity of the
// servers.
#include "route/route_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

namespace {

void
Warm(RouteWorld& aWorld)
{
  AdoptWorldConfig(aWorld);
  ShareMembers(aWorld);
  RunFor(aWorld, milliseconds(300));
  for (int i = 0; i < 20; ++i) {
    SendQuery(aWorld);
    RunFor(aWorld, milliseconds(20));
  }
}

bool
SaysNotRun(ResultCode aCode)
{
  return aCode == ResultCode::Overloaded ||
         aCode == ResultCode::DeadlineTooShort ||
         aCode == ResultCode::CallerOverLimit;
}

/** Parameters with capacity for 400 shards per second. */
WorldShape
SmallShape()
{
  return { .services_ = 1,
           .serversPerService_ = 2,
           .shardsPerService_ = 2,
           .slots_ = 2,
           .connections_ = 4,
           .maxDaemons_ = 1,
           .deadline_ = milliseconds(200),
           .work_ = milliseconds(10) };
}

/** Results of a run at a fixed rate. */
struct Load
{
  std::uint64_t complete_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t other_ = 0;
  Duration worstRefusal_{};
};

Load
RunLoad(RouteWorld& aWorld, Duration aGap, std::size_t aCount)
{
  const std::uint64_t before = aWorld.nextRequest_;
  for (std::size_t i = 0; i < aCount; ++i) {
    SendQuery(aWorld, "find", "x", 0, "c" + std::to_string(i % 7));
    RunFor(aWorld, aGap);
  }
  RunFor(aWorld, seconds(1));
  Load load;
  for (const auto& [id, answer] : aWorld.answers_) {
    if (id <= before) {
      continue;
    }
    if (answer.answer_.complete_) {
      ++load.complete_;
    } else if (SaysNotRun(answer.answer_.code_)) {
      ++load.refused_;
      load.worstRefusal_ = std::max(load.worstRefusal_, answer.took_);
    } else {
      ++load.other_;
    }
  }
  return load;
}

} // namespace

TEST_GROUP(Overload){};

TEST(Overload, GoodputHoldsAtTwiceTheCapacity)
{
  // Four slots of 10 ms serve 200 queries of two shards per second.
  struct Case
  {
    Duration gap_;
    std::uint64_t complete_; ///< Complete answers within a second, at least.
  };
  const Case cases[] = {
    { milliseconds(10), 100 },
    { microseconds(2500), 180 },
    { microseconds(1250), 180 },
  };
  for (const Case& row : cases) {
    RouteWorld world = MakeWorld(SmallShape());
    Warm(world);
    const auto count = static_cast<std::size_t>(seconds(1) / row.gap_);
    const Load load = RunLoad(world, row.gap_, count);
    CHECK_TRUE(load.complete_ >= row.complete_);
    LONGS_EQUAL(count, load.complete_ + load.refused_ + load.other_);
    CHECK_TRUE(load.other_ <= count / 20);
  }
}

TEST(Overload, RefusedQueriesAreNotSent)
{
  RouteWorld world = MakeWorld(SmallShape());
  Warm(world);
  const std::uint64_t before = world.nextRequest_;
  world.sent_.clear();
  for (int i = 0; i < 400; ++i) {
    SendQuery(world, "find", "body" + std::to_string(world.nextRequest_ + 1));
    RunFor(world, milliseconds(2));
  }
  RunFor(world, seconds(1));
  std::set<std::string> bodies;
  for (const SubRequest& sub : world.sent_) {
    bodies.insert(*sub.body_);
  }
  std::uint32_t refused = 0;
  for (const auto& [id, answer] : world.answers_) {
    if (id <= before || !SaysNotRun(answer.answer_.code_)) {
      continue;
    }
    ++refused;
    CHECK_FALSE(bodies.contains("body" + std::to_string(id)));
    CHECK_TRUE(answer.answer_.retryAfter_ > Duration::zero() ||
               answer.took_ > Duration::zero());
  }
  CHECK_TRUE(refused > 100);
}

TEST(Overload, BatchDelaysInteractiveByAtMostOneRun)
{
  Duration tails[2];
  for (int batch = 0; batch < 2; ++batch) {
    RouteWorld world = MakeWorld(SmallShape());
    Warm(world);
    std::vector<Duration> times;
    std::vector<std::uint64_t> ids;
    for (int i = 0; i < 200; ++i) {
      for (int k = 0; k < 4 * batch; ++k) {
        SendQuery(world, "archive", "a", 0, "archive");
      }
      RunFor(world, microseconds(7300));
      ids.push_back(SendQuery(world));
      RunFor(world, microseconds(7300));
    }
    RunFor(world, seconds(1));
    for (const std::uint64_t id : ids) {
      CHECK_TRUE(world.answers_[id].answer_.complete_);
      times.push_back(world.answers_[id].took_);
    }
    std::sort(times.begin(), times.end());
    tails[batch] = times[times.size() * 95 / 100];
  }
  // A running batch request cannot be interrupted, so an interactive query may
  // wait for one run of it.
  CHECK_TRUE(tails[1] <= tails[0] + milliseconds(11));
}

TEST(Overload, OneCallerCannotStarveAnother)
{
  RouteWorld world = MakeWorld(SmallShape());
  Warm(world);
  std::vector<std::uint64_t> modest;
  for (int i = 0; i < 100; ++i) {
    for (int k = 0; k < 5; ++k) {
      SendQuery(world, "find", "x", 0, "greedy");
    }
    modest.push_back(SendQuery(world, "find", "x", 0, "modest"));
    RunFor(world, milliseconds(10));
  }
  RunFor(world, seconds(1));
  std::uint32_t served = 0;
  for (const std::uint64_t id : modest) {
    served += world.answers_[id].answer_.complete_ ? 1 : 0;
  }
  CHECK_TRUE(served >= 40);
}

TEST(Overload, InFlightLimitByPriority)
{
  struct Case
  {
    const char* route_;
    std::uint32_t admitted_; ///< Of 40 concurrent queries of different callers.
  };
  const Case cases[] = { { "find", 20 }, { "archive", 14 } };
  for (const Case& row : cases) {
    WorldShape shape = SmallShape();
    shape.deadline_ = seconds(20);
    RouteWorld world = MakeWorld(shape);
    world.config_->set_.limits_["limits"].maxInFlight_ = 20;
    Warm(world);
    const std::uint64_t before = world.nextRequest_;
    for (int i = 0; i < 40; ++i) {
      SendQuery(world, row.route_, "x", 0, "c" + std::to_string(i));
    }
    RunFor(world, seconds(20));
    std::uint32_t complete = 0;
    for (const auto& [id, answer] : world.answers_) {
      complete += id > before && answer.answer_.complete_ ? 1 : 0;
    }
    LONGS_EQUAL(row.admitted_, complete);
  }
}

TEST(Overload, RefusalsLowerTheLimitOfAServer)
{
  RouteWorld world = MakeWorld(SmallShape());
  Warm(world);
  const std::uint32_t before = GetStatus(world, "s0-0").limit_;
  GetServer(world, "s0-0").refuses_ = true;
  for (int i = 0; i < 20; ++i) {
    SendQuery(world);
    RunFor(world, milliseconds(60));
  }
  CHECK_TRUE(GetStatus(world, "s0-0").limit_ < before);
  GetServer(world, "s0-0").refuses_ = false;
  for (int i = 0; i < 200; ++i) {
    SendQuery(world);
    RunFor(world, milliseconds(4));
  }
  LONGS_EQUAL(before, GetStatus(world, "s0-0").limit_);
}
