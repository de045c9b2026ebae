// Random faults and configuration changes from a seed: every query and order
// has exactly one outcome, and budgets and connection caps hold.
#include "route/route_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

namespace {

constexpr int kSeeds = 12;
constexpr int kSteps = 1500;

/** Pick a random server. */
FakeServer&
PickServer(RouteWorld& aWorld)
{
  auto server = aWorld.servers_.begin();
  std::advance(
    server,
    static_cast<std::ptrdiff_t>(aWorld.rng_() % aWorld.servers_.size()));
  return server->second;
}

void
ToggleFault(RouteWorld& aWorld)
{
  FakeServer& server = PickServer(aWorld);
  switch (aWorld.rng_() % 8) {
    case 0:
      server.refuses_ = !server.refuses_;
      break;
    case 1:
      server.fails_ = !server.fails_;
      break;
    case 2:
      server.mislabels_ = !server.mislabels_;
      break;
    case 3:
      server.draining_ = !server.draining_;
      break;
    case 4:
      CrashServer(aWorld, server);
      break;
    case 5:
      server.work_ =
        server.work_ > milliseconds(5) ? milliseconds(2) : milliseconds(40);
      break;
    case 6:
      server.load_ = server.load_ < 0.5 ? 1.0 : 0.0;
      break;
    default:
      for (auto& [key, connection] : aWorld.network_) {
        connection.silent_ = connection.silent_ || aWorld.rng_() % 4 == 0;
      }
      break;
  }
}

/** Publish a new snapshot, or let a server load or drop one. */
void
ChangeVersions(RouteWorld& aWorld)
{
  IndexSpec& index = aWorld.config_->set_.indexes_["index"];
  if (aWorld.rng_() % 3 == 0) {
    IndexVersionSpec next = index.versions_.back();
    ++next.version_.value_;
    std::rotate(
      next.shards_.begin(), next.shards_.begin() + 1, next.shards_.end());
    index.versions_.push_back(next);
    if (index.versions_.size() > 3) {
      index.versions_.erase(index.versions_.begin());
    }
    AdoptWorldConfig(aWorld);
    return;
  }
  FakeServer& server = PickServer(aWorld);
  server.versions_.clear();
  for (const IndexVersionSpec& version : index.versions_) {
    server.versions_.insert(version.version_.value_);
  }
}

void
RandomStep(RouteWorld& aWorld)
{
  const std::uint64_t random = aWorld.rng_() % 100;
  const std::size_t daemon = aWorld.rng_() % aWorld.daemons_.size();
  if (random < 70) {
    const bool batch = aWorld.rng_() % 4 == 0;
    SendQuery(aWorld,
              batch ? "archive" : "find",
              "b" + std::to_string(aWorld.nextRequest_ + 1),
              daemon,
              "c" + std::to_string(aWorld.rng_() % 5),
              milliseconds(static_cast<std::int64_t>(aWorld.rng_() % 500)));
  } else if (random < 90) {
    SendOrder(aWorld,
              "o" + std::to_string(aWorld.nextRequest_ + 1),
              milliseconds(static_cast<std::int64_t>(aWorld.rng_() % 300)),
              daemon);
  } else if (random < 96) {
    ToggleFault(aWorld);
  } else {
    ChangeVersions(aWorld);
  }
  RunFor(aWorld, microseconds(static_cast<std::int64_t>(aWorld.rng_() % 6000)));
}

void
CheckQueries(const RouteWorld& aWorld, std::size_t aShards)
{
  std::set<std::string> sentBodies;
  for (const SubRequest& sub : aWorld.sent_) {
    sentBodies.insert(*sub.body_);
  }
  for (const auto& [id, started] : aWorld.startedAt_) {
    const auto count = aWorld.answerCounts_.find(id);
    CHECK_TRUE(count != aWorld.answerCounts_.end());
    LONGS_EQUAL(1, count->second);
    const TimedAnswer& timed = aWorld.answers_.at(id);
    const QueryAnswer& answer = timed.answer_;
    CHECK_TRUE(timed.took_ <= seconds(1));
    const std::string version = ":" + std::to_string(answer.version_.value_);
    for (const ShardAnswer& shard : answer.covered_) {
      CHECK_TRUE(shard.body_->ends_with(version));
    }
    const std::size_t shards =
      answer.covered_.size() + answer.uncovered_.size();
    CHECK_TRUE(shards == aShards || (shards == 0 && !answer.complete_));
    CHECK_TRUE(answer.complete_ == (answer.covered_.size() == aShards));
    const bool notRun = answer.code_ == ResultCode::Overloaded ||
                        answer.code_ == ResultCode::DeadlineTooShort ||
                        answer.code_ == ResultCode::CallerOverLimit ||
                        answer.code_ == ResultCode::NoReplica;
    CHECK_FALSE(notRun && sentBodies.contains("b" + std::to_string(id)));
  }
}

void
CheckOrders(const RouteWorld& aWorld)
{
  for (const auto& [id, count] : aWorld.dispatchCounts_) {
    LONGS_EQUAL(1, count);
  }
  // No order ran more than once.
  for (const auto& [body, runs] : aWorld.orderRuns_) {
    CHECK_TRUE(runs <= 1);
  }
  for (const auto& [id, done] : aWorld.dispatched_) {
    const auto runs = aWorld.orderRuns_.find("o" + std::to_string(id));
    const bool ran = runs != aWorld.orderRuns_.end();
    CHECK_FALSE(done.state_ == DispatchState::NotRun && ran);
    CHECK_FALSE(done.state_ == DispatchState::Answered && !ran);
  }
}

} // namespace

TEST_GROUP(Random){};

TEST(Random, InvariantsHoldUnderRandomFaults)
{
  struct Case
  {
    std::uint32_t maxDaemons_;
    std::uint32_t homes_;
  };
  const Case cases[] = { { 3, 0 }, { 100, 2 } };
  RouteStats sum;
  for (const Case& row : cases) {
    for (int seed = 1; seed <= kSeeds; ++seed) {
      RouteWorld world = MakeWorld({ .services_ = 4,
                                     .serversPerService_ = 3,
                                     .shardsPerService_ = 3,
                                     .connections_ = 9,
                                     .daemons_ = 3,
                                     .maxDaemons_ = row.maxDaemons_,
                                     .homesPerServer_ = row.homes_ });
      world.rng_.seed(static_cast<std::uint64_t>(seed));
      ShareMembers(world);
      AdoptWorldConfig(world);
      RunFor(world, milliseconds(300));
      for (int i = 0; i < kSteps; ++i) {
        RandomStep(world);
      }
      RunFor(world, seconds(4));
      CheckQueries(world, 12);
      CheckOrders(world);
      for (const auto& [address, server] : world.servers_) {
        CHECK_TRUE(server.peakConnections_ <= server.cap_);
      }
      for (const auto& daemon : world.daemons_) {
        const RouteStats stats = RouteStatistics(daemon->state_);
        CHECK_TRUE(RouteIsIdle(daemon->state_));
        sum.complete_ += stats.complete_;
        sum.hedges_ += stats.hedges_;
        sum.retries_ += stats.retries_;
        sum.discarded_ += stats.discarded_;
        sum.silent_ += stats.silent_;
        sum.crashes_ += stats.crashes_;
        sum.ejections_ += stats.ejections_;
        sum.relayed_ += stats.relayed_;
        CHECK_TRUE(static_cast<double>(stats.hedges_) <=
                   0.02 * static_cast<double>(stats.primaries_) + kHedgeBurst);
        CHECK_TRUE(static_cast<double>(stats.retries_) <=
                   0.1 * static_cast<double>(stats.primaries_) + kRetryBurst);
      }
    }
  }
  // Every kind of event must have occurred.
  for (const std::uint64_t count : { sum.complete_,
                                     sum.hedges_,
                                     sum.retries_,
                                     sum.discarded_,
                                     sum.silent_,
                                     sum.crashes_,
                                     sum.ejections_,
                                     sum.relayed_ }) {
    CHECK_TRUE(count > 0);
  }
}

TEST(Random, SameSeedGivesTheSameDecisions)
{
  std::vector<std::uint64_t> sent[2];
  for (std::vector<std::uint64_t>& ids : sent) {
    RouteWorld world = MakeWorld({ .daemons_ = 2, .jitter_ = 0.3 });
    ShareMembers(world);
    AdoptWorldConfig(world);
    for (int i = 0; i < 300; ++i) {
      RandomStep(world);
    }
    for (const SubRequest& sub : world.sent_) {
      ids.push_back(sub.id_.value_);
    }
  }
  CHECK_TRUE(sent[0].size() > 100);
  CHECK_TRUE(sent[0] == sent[1]);
}
