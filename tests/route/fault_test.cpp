// Tests of routing under faults of servers: slow, failing, draining, silent or
// falsely reporting servers, and new snapshots under load.
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
}

/** Send queries at a fixed rate, regardless of their answers. */
void
OpenLoop(RouteWorld& aWorld,
         Duration aGap,
         std::size_t aCount,
         const char* aRoute = "find")
{
  for (std::size_t i = 0; i < aCount; ++i) {
    SendQuery(
      aWorld, aRoute, "q" + std::to_string(i), i % aWorld.daemons_.size());
    RunFor(aWorld, aGap);
  }
}

std::uint64_t
CountIncomplete(const RouteWorld& aWorld, std::uint64_t aAfter)
{
  std::uint64_t count = 0;
  for (const auto& [id, answer] : aWorld.answers_) {
    count += id > aAfter && !answer.answer_.complete_ ? 1 : 0;
  }
  return count;
}

RouteStats
StatsOf(const RouteWorld& aWorld, std::size_t aDaemon = 0)
{
  return RouteStatistics(aWorld.daemons_[aDaemon]->state_);
}

std::uint64_t
QueriesOf(const RouteWorld& aWorld, const std::string& aName)
{
  return aWorld.servers_.at(aName + ":1").queries_;
}

} // namespace

TEST_GROUP(Fault){};

TEST(Fault, HedgesStayWithinTheBudgetAndCutTheTail)
{
  RouteWorld world = MakeWorld(
    { .services_ = 10, .shardsPerService_ = 2, .work_ = milliseconds(2) });
  Warm(world);
  OpenLoop(world, milliseconds(5), 100);
  GetServer(world, "s3-0").work_ = milliseconds(20);
  const std::uint64_t before = world.nextRequest_;
  OpenLoop(world, milliseconds(5), 400);
  RunFor(world, seconds(1));
  const RouteStats stats = StatsOf(world);
  CHECK_TRUE(stats.hedges_ > 0);
  CHECK_TRUE(static_cast<double>(stats.hedges_) <=
             0.02 * static_cast<double>(stats.primaries_) + kHedgeBurst);
  LONGS_EQUAL(0, CountIncomplete(world, before));
  CHECK_TRUE(AnswerQuantile(world, 0.95) < milliseconds(15));
}

TEST(Fault, NoHedgeWithoutBudget)
{
  RouteWorld world = MakeWorld({ .services_ = 10, .hedgeBudget_ = 0.0 });
  Warm(world);
  GetServer(world, "s3-0").work_ = milliseconds(20);
  OpenLoop(world, milliseconds(5), 400);
  CHECK_TRUE(StatsOf(world).hedges_ <= static_cast<std::uint64_t>(kHedgeBurst));
}

TEST(Fault, SlowServerIsAvoidedAndComesBack)
{
  RouteWorld world = MakeWorld({ .services_ = 1, .shardsPerService_ = 4 });
  Warm(world);
  FakeServer& slow = GetServer(world, "s0-0");
  slow.work_ = milliseconds(60);
  OpenLoop(world, milliseconds(20), 50);
  slow.queries_ = 0;
  OpenLoop(world, milliseconds(20), 500);
  CHECK_TRUE(slow.queries_ <= 4 * 500 / 50);
  slow.work_ = milliseconds(2);
  OpenLoop(world, milliseconds(20), 1500);
  slow.queries_ = 0;
  OpenLoop(world, milliseconds(20), 500);
  CHECK_TRUE(slow.queries_ >= 4 * 500 / 4);
  CHECK_TRUE(GetStatus(world, "s0-0").in_);
}

TEST(Fault, FailingServerIsEjectedAndComesBack)
{
  RouteWorld world = MakeWorld({ .services_ = 1, .shardsPerService_ = 4 });
  Warm(world);
  FakeServer& bad = GetServer(world, "s0-0");
  bad.fails_ = true;
  OpenLoop(world, milliseconds(20), 50);
  const ServerStanding standing = GetStatus(world, "s0-0").standing_;
  CHECK_TRUE(standing == ServerStanding::Ejected ||
             standing == ServerStanding::Probation);
  CHECK_TRUE(GetStatus(world, "s0-1").in_);
  bad.queries_ = 0;
  OpenLoop(world, milliseconds(20), 500);
  CHECK_TRUE(bad.queries_ <= 10);
  bad.fails_ = false;
  OpenLoop(world, milliseconds(20), 1800);
  CHECK_TRUE(GetStatus(world, "s0-0").standing_ == ServerStanding::In);
  RunFor(world, seconds(1));
  LONGS_EQUAL(0, CountIncomplete(world, 0));
}

TEST(Fault, WholeServiceIsNeverEjected)
{
  RouteWorld world = MakeWorld({ .services_ = 1, .serversPerService_ = 4 });
  Warm(world);
  for (auto& [address, server] : world.servers_) {
    server.fails_ = true;
  }
  OpenLoop(world, milliseconds(20), 100);
  std::uint32_t ejected = 0;
  for (const ServerStatus& status : RouteServers(world.daemons_[0]->state_)) {
    ejected += status.standing_ == ServerStanding::Ejected ||
                   status.standing_ == ServerStanding::Probation
                 ? 1
                 : 0;
  }
  LONGS_EQUAL(2, ejected);
}

TEST(Fault, LostReplicasCostNoCoverageAfterTwoSeconds)
{
  RouteWorld world = MakeWorld({ .services_ = 10, .shardsPerService_ = 4 });
  Warm(world);
  OpenLoop(world, milliseconds(5), 20);
  for (int i = 0; i < 10; ++i) {
    StopServer(world, GetServer(world, "s" + std::to_string(i) + "-0"));
  }
  OpenLoop(world, milliseconds(10), 200);
  const std::uint64_t after = world.nextRequest_;
  OpenLoop(world, milliseconds(10), 200);
  RunFor(world, seconds(2));
  LONGS_EQUAL(0, CountIncomplete(world, after));
  // Every answer, also an incomplete one, accounts for each shard.
  for (const auto& [id, answer] : world.answers_) {
    LONGS_EQUAL(
      40, answer.answer_.covered_.size() + answer.answer_.uncovered_.size());
  }
}

TEST(Fault, FalseLoadReportsRaiseTailByAtMostThirtyPercent)
{
  struct Case
  {
    const char* name_;
    std::function<void(FakeServer&)> fault_; ///< Of the server s0-3.
  };
  const Case cases[] = {
    { "failing server reports no load",
      [](FakeServer& aServer) { aServer.fails_ = true; } },
    { "healthy servers, false reports", [](FakeServer&) {} },
  };
  for (const Case& row : cases) {
    Duration tails[2];
    for (int falseReports = 0; falseReports < 2; ++falseReports) {
      RouteWorld world = MakeWorld({ .services_ = 1,
                                     .serversPerService_ = 4,
                                     .shardsPerService_ = 8,
                                     .work_ = milliseconds(4),
                                     .jitter_ = 0.5 });
      for (auto& [address, server] : world.servers_) {
        server.load_ = falseReports == 0 ? 0.2 : 1.0;
      }
      row.fault_(GetServer(world, "s0-3"));
      GetServer(world, "s0-3").load_ = falseReports == 0 ? 1.0 : 0.0;
      Warm(world);
      OpenLoop(world, milliseconds(20), 400);
      RunFor(world, seconds(1));
      tails[falseReports] = AnswerQuantile(world, 0.99);
      LONGS_EQUAL(0, CountIncomplete(world, 0));
    }
    CHECK_TRUE_TEXT(tails[1].count() <= tails[0].count() * 13 / 10, row.name_);
  }
}

// A slow server reports no load while all others report full load. This must
// cost a query at most one run on the slow server.
TEST(Fault, SlowServerWithFalseLoadReportCostsAtMostOneRun)
{
  RouteWorld world = MakeWorld({ .services_ = 1,
                                 .serversPerService_ = 4,
                                 .shardsPerService_ = 8,
                                 .work_ = milliseconds(4) });
  for (auto& [address, server] : world.servers_) {
    server.load_ = 1.0;
  }
  GetServer(world, "s0-3").load_ = 0.0;
  GetServer(world, "s0-3").work_ = milliseconds(40);
  Warm(world);
  OpenLoop(world, milliseconds(20), 400);
  RunFor(world, seconds(1));
  CHECK_TRUE(AnswerQuantile(world, 0.90) <= milliseconds(15));
  CHECK_TRUE(AnswerQuantile(world, 0.99) <= milliseconds(45));
}

TEST(Fault, SilentConnectionsCostNoCoverage)
{
  RouteWorld world = MakeWorld({ .services_ = 10, .shardsPerService_ = 2 });
  Warm(world);
  OpenLoop(world, milliseconds(5), 100);
  std::size_t i = 0;
  for (auto& [key, connection] : world.network_) {
    connection.silent_ = i++ % 2 == 0;
  }
  const TimePoint silentAt = world.now_;
  OpenLoop(world, milliseconds(5), 400);
  RunFor(world, seconds(2));
  for (const auto& [id, answer] : world.answers_) {
    CHECK_TRUE(answer.took_ <= seconds(1));
    CHECK_TRUE(answer.answer_.complete_);
    if (world.startedAt_[id] > silentAt + seconds(1)) {
      CHECK_TRUE(answer.took_ < milliseconds(20));
    }
  }
  LONGS_EQUAL(0, StatsOf(world).ejections_);
}

TEST(Fault, ServersDrainOneAfterAnother)
{
  RouteWorld world =
    MakeWorld({ .services_ = 3, .serversPerService_ = 3, .daemons_ = 2 });
  Warm(world);
  for (int round = 0; round < 3; ++round) {
    for (int service = 0; service < 3; ++service) {
      GetServer(world,
                "s" + std::to_string(service) + "-" + std::to_string(round))
        .draining_ = true;
    }
    OpenLoop(world, milliseconds(10), 200);
    std::map<std::string, std::uint64_t> queries;
    for (const auto& [address, server] : world.servers_) {
      queries[address] = server.queries_;
    }
    OpenLoop(world, milliseconds(10), 100);
    for (auto& [address, server] : world.servers_) {
      if (server.draining_) {
        LONGS_EQUAL(queries[address], server.queries_);
        server.draining_ = false;
      }
    }
    OpenLoop(world, milliseconds(10), 600);
  }
  RunFor(world, seconds(1));
  LONGS_EQUAL(0, CountIncomplete(world, 0));
}

TEST(Fault, LeavingServerIsSpreadToPeersOnce)
{
  RouteWorld world = MakeWorld({ .services_ = 1, .daemons_ = 3 });
  Warm(world);
  GetServer(world, "s0-0").draining_ = true;
  for (int i = 0; i < 20; ++i) {
    SendQuery(world, "find", "x", 0);
    RunFor(world, milliseconds(5));
  }
  RunFor(world, seconds(1));
  std::uint32_t spread = 0;
  for (const Rumor& rumor : world.rumors_) {
    const auto* leaving = std::get_if<LeavingRumor>(&rumor);
    spread += leaving != nullptr && leaving->leaving_ ? 1 : 0;
  }
  LONGS_EQUAL(1, spread);
  const std::uint64_t before = QueriesOf(world, "s0-0");
  CHECK_TRUE(QueryAndWait(world, "find", "x", 1).complete_);
  CHECK_TRUE(QueryAndWait(world, "find", "x", 2).complete_);
  LONGS_EQUAL(before, QueriesOf(world, "s0-0"));
}

TEST(Fault, DrainByOperatorTakesEffectAtOnce)
{
  RouteWorld world = MakeWorld({ .services_ = 1 });
  Warm(world);
  QueryAndWait(world);
  world.config_->set_.services_["s0"].servers_[0].draining_ = true;
  AdoptWorldConfig(world);
  const std::uint64_t before = QueriesOf(world, "s0-0");
  OpenLoop(world, milliseconds(5), 50);
  LONGS_EQUAL(before, QueriesOf(world, "s0-0"));
  LONGS_EQUAL(0, GetServer(world, "s0-0").connections_);
  CHECK_TRUE(GetStatus(world, "s0-0").standing_ == ServerStanding::Draining);
}

TEST(Fault, AnswersNeverMixSnapshotsUnderLoad)
{
  RouteWorld world = MakeWorld({ .services_ = 4, .shardsPerService_ = 3 });
  Warm(world);
  std::uint64_t version = 1;
  for (int round = 0; round < 6; ++round) {
    ++version;
    IndexSpec& index = world.config_->set_.indexes_["index"];
    IndexVersionSpec next = index.versions_.back();
    next.version_ = { version };
    // The new shard map has one shard less and assigns shards to other
    // services.
    next.shards_.pop_back();
    std::rotate(
      next.shards_.begin(), next.shards_.begin() + 1, next.shards_.end());
    for (std::size_t i = 0; i < next.shards_.size(); ++i) {
      next.shards_[i].name_ =
        "v" + std::to_string(version) + "-" + std::to_string(i);
    }
    index.versions_.push_back(next);
    AdoptWorldConfig(world);
    OpenLoop(world, milliseconds(5), 20);
    std::size_t loaded = 0;
    for (auto& [address, server] : world.servers_) {
      server.versions_.insert(version);
      if (++loaded % 2 == 0) {
        OpenLoop(world, milliseconds(5), 10);
      }
    }
    OpenLoop(world, milliseconds(5), 100);
    for (auto& [address, server] : world.servers_) {
      server.versions_.erase(version - 1);
    }
    // AdoptWorldConfig has replaced the configuration object.
    std::vector<IndexVersionSpec>& versions =
      world.config_->set_.indexes_["index"].versions_;
    std::erase_if(versions, [&](const IndexVersionSpec& aSpec) {
      return aSpec.version_.value_ < version;
    });
    AdoptWorldConfig(world);
  }
  RunFor(world, seconds(2));
  for (const auto& [id, answer] : world.answers_) {
    const std::string suffix =
      ":" + std::to_string(answer.answer_.version_.value_);
    for (const ShardAnswer& shard : answer.answer_.covered_) {
      CHECK_TRUE(shard.body_->ends_with(suffix));
    }
    CHECK_TRUE(answer.answer_.complete_);
  }
  LONGS_EQUAL(version, world.answers_.rbegin()->second.answer_.version_.value_);
}

TEST(Fault, NewVersionIsPinnedOnlyWhenEveryShardHasIt)
{
  RouteWorld world = MakeWorld({ .services_ = 2, .versions_ = { 1, 2 } });
  GetServer(world, "s1-0").versions_ = { 1 };
  GetServer(world, "s1-1").versions_ = { 1 };
  Warm(world);
  RunFor(world, seconds(3));
  LONGS_EQUAL(1, QueryAndWait(world).version_.value_);
  GetServer(world, "s1-1").versions_ = { 1, 2 };
  RunFor(world, seconds(3));
  const QueryAnswer& answer = QueryAndWait(world);
  LONGS_EQUAL(2, answer.version_.value_);
  CHECK_TRUE(answer.complete_);
}

TEST(Fault, QueryRestartsOnceWhenAShardLacksTheVersion)
{
  RouteWorld world = MakeWorld({ .services_ = 2, .versions_ = { 1, 2 } });
  for (auto& [address, server] : world.servers_) {
    server.reportsVersions_ = false;
  }
  Warm(world);
  GetServer(world, "s1-0").versions_ = { 1 };
  GetServer(world, "s1-1").versions_ = { 1 };
  const QueryAnswer& answer = QueryAndWait(world);
  LONGS_EQUAL(1, answer.version_.value_);
  CHECK_TRUE(answer.complete_);
  LONGS_EQUAL(1, StatsOf(world).restarts_);
}

TEST(Fault, ConnectionQuotaIsNeverExceeded)
{
  RouteWorld world = MakeWorld({ .services_ = 2,
                                 .connections_ = 6,
                                 .daemons_ = 3,
                                 .maxDaemons_ = 3,
                                 .work_ = milliseconds(20) });
  Warm(world);
  OpenLoop(world, milliseconds(1), 500);
  RunFor(world, seconds(2));
  for (const auto& [address, server] : world.servers_) {
    CHECK_TRUE(server.peakConnections_ <= 6);
    LONGS_EQUAL(0, server.overCap_);
  }
}
