// Tests of single queries: coverage, reasons of uncovered shards, soft answer
// time.
#include "route/route_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

namespace {

RouteWorld
StartWorld(const WorldShape& aShape)
{
  RouteWorld world = MakeWorld(aShape);
  return world;
}

void
Warm(RouteWorld& aWorld)
{
  AdoptWorldConfig(aWorld);
  RunFor(aWorld, milliseconds(300));
}

} // namespace

TEST_GROUP(Query){};

TEST(Query, EveryShardIsCoveredOnce)
{
  RouteWorld world = StartWorld({ .services_ = 3, .shardsPerService_ = 4 });
  Warm(world);
  const QueryAnswer& answer = QueryAndWait(world);
  CHECK_TRUE(answer.code_ == ResultCode::Ok);
  CHECK_TRUE(answer.complete_);
  LONGS_EQUAL(12, answer.covered_.size());
  LONGS_EQUAL(0, answer.uncovered_.size());
  LONGS_EQUAL(1, answer.version_.value_);
  LONGS_EQUAL(1, answer.generation_.value_);
}

TEST(Query, RefusedQueriesSendNothing)
{
  struct Case
  {
    const char* route_;
    bool config_;
    ResultCode code_;
  };
  const Case cases[] = {
    { "find", false, ResultCode::NotReady },
    { "nothing", true, ResultCode::UnknownRoute },
    { "buy", true, ResultCode::UnknownRoute },
  };
  for (const Case& row : cases) {
    RouteWorld world = StartWorld({});
    if (row.config_) {
      Warm(world);
    }
    const QueryAnswer& answer = QueryAndWait(world, row.route_);
    CHECK_TRUE(answer.code_ == row.code_);
    LONGS_EQUAL(0, world.sent_.size());
  }
}

TEST(Query, UncoveredShardsHaveAReason)
{
  struct Case
  {
    std::function<void(FakeServer&)> fault_;
    UncoveredReason reason_;
  };
  const Case cases[] = {
    { [](FakeServer& aServer) { aServer.refuses_ = true; },
      UncoveredReason::Refused },
    { [](FakeServer& aServer) { aServer.fails_ = true; },
      UncoveredReason::Failed },
    { [](FakeServer& aServer) { aServer.mislabels_ = true; },
      UncoveredReason::Corrupt },
    { [](FakeServer& aServer) { aServer.mislabelShard_ = "other"; },
      UncoveredReason::Corrupt },
    { [](FakeServer& aServer) { aServer.versions_ = { 9 }; },
      UncoveredReason::WrongVersion },
    { [](FakeServer& aServer) { aServer.work_ = seconds(30); },
      UncoveredReason::Timeout },
  };
  for (const Case& row : cases) {
    RouteWorld world = StartWorld({ .services_ = 2, .shardsPerService_ = 1 });
    Warm(world);
    row.fault_(GetServer(world, "s1-0"));
    row.fault_(GetServer(world, "s1-1"));
    const QueryAnswer& answer = QueryAndWait(world);
    CHECK_TRUE(answer.code_ == ResultCode::Partial);
    CHECK_FALSE(answer.complete_);
    LONGS_EQUAL(1, answer.covered_.size());
    LONGS_EQUAL(1, answer.uncovered_.size());
    STRCMP_EQUAL("h1", answer.uncovered_[0].shard_.c_str());
    LONGS_EQUAL(static_cast<int>(row.reason_),
                static_cast<int>(answer.uncovered_[0].reason_));
  }
}

TEST(Query, OneFaultyReplicaCostsNoCoverage)
{
  const std::function<void(FakeServer&)> faults[] = {
    [](FakeServer& aServer) { aServer.refuses_ = true; },
    [](FakeServer& aServer) { aServer.fails_ = true; },
    [](FakeServer& aServer) { aServer.mislabels_ = true; },
    [](FakeServer& aServer) { aServer.versions_ = { 9 }; },
    [](FakeServer& aServer) { aServer.draining_ = true; },
  };
  for (const auto& fault : faults) {
    RouteWorld world = StartWorld({});
    Warm(world);
    fault(GetServer(world, "s0-0"));
    fault(GetServer(world, "s1-1"));
    for (int i = 0; i < 20; ++i) {
      CHECK_TRUE(QueryAndWait(world).complete_);
    }
  }
}

TEST(Query, UnreachableServiceIsReportedAtOnce)
{
  RouteWorld world = StartWorld({ .services_ = 2, .shardsPerService_ = 1 });
  Warm(world);
  StopServer(world, GetServer(world, "s1-0"));
  StopServer(world, GetServer(world, "s1-1"));
  RunFor(world, milliseconds(500));
  const QueryAnswer& answer = QueryAndWait(world);
  CHECK_TRUE(answer.code_ == ResultCode::Partial);
  LONGS_EQUAL(static_cast<int>(UncoveredReason::NoReplica),
              static_cast<int>(answer.uncovered_[0].reason_));
  CHECK_TRUE(world.answers_.rbegin()->second.took_ < milliseconds(20));
}

TEST(Query, PartialAnswerAtSoftAnswerTime)
{
  struct Case
  {
    Duration soft_;
    double minCoverage_;
    Duration atMost_;
    ResultCode code_;
  };
  const Case cases[] = {
    { milliseconds(50), 0.5, milliseconds(51), ResultCode::Partial },
    { milliseconds(50), 0.9, seconds(1), ResultCode::CoverageTooLow },
    { {}, 0.5, seconds(1), ResultCode::Partial },
  };
  for (const Case& row : cases) {
    RouteWorld world = StartWorld({ .services_ = 2,
                                    .shardsPerService_ = 1,
                                    .softAnswer_ = row.soft_,
                                    .minCoverage_ = row.minCoverage_ });
    Warm(world);
    GetServer(world, "s1-0").work_ = seconds(30);
    GetServer(world, "s1-1").work_ = seconds(30);
    const QueryAnswer& answer = QueryAndWait(world);
    CHECK_TRUE(answer.code_ == row.code_);
    const Duration took = world.answers_.rbegin()->second.took_;
    CHECK_TRUE(took <= row.atMost_);
    CHECK_TRUE(took >=
               (row.atMost_ < seconds(1) ? row.soft_ : milliseconds(900)));
  }
}

TEST(Query, QueryIsDroppedWhenItsCallerDisconnects)
{
  RouteWorld world = StartWorld({});
  Warm(world);
  const std::uint64_t id = SendQuery(world);
  CHECK_FALSE(RouteIsIdle(world.daemons_[0]->state_));
  Deliver(world, 0, CallerDisconnected{ { id } });
  CHECK_TRUE(RouteIsIdle(world.daemons_[0]->state_));
  RunFor(world, seconds(2));
  CHECK_FALSE(world.answers_.contains(id));
  CHECK_TRUE(QueryAndWait(world).complete_);
}
