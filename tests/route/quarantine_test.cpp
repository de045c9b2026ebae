// Tests of the quarantine of contents that crash servers.
#include "route/route_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

namespace {

RouteWorld
PoisonWorld(std::size_t aDaemons, std::size_t aServices)
{
  RouteWorld world = MakeWorld({ .services_ = aServices,
                                 .serversPerService_ = 4,
                                 .shardsPerService_ = 1,
                                 .daemons_ = aDaemons });
  for (auto& [address, server] : world.servers_) {
    server.poison_ = "poison";
  }
  return world;
}

void
Warm(RouteWorld& aWorld)
{
  AdoptWorldConfig(aWorld);
  ShareMembers(aWorld);
  RunFor(aWorld, milliseconds(300));
}

std::uint32_t
CountCrashes(const RouteWorld& aWorld)
{
  std::uint32_t crashes = 0;
  for (const auto& [address, server] : aWorld.servers_) {
    crashes += server.crashes_;
  }
  return crashes;
}

/** Send other queries, so that some are in flight when a server crashes. */
void
RunBackgroundLoad(RouteWorld& aWorld, Duration aTime)
{
  const TimePoint until = aWorld.now_ + aTime;
  std::uint64_t i = 0;
  while (aWorld.now_ < until) {
    ++i;
    SendQuery(aWorld,
              "find",
              "plain" + std::to_string(i % 50),
              i % aWorld.daemons_.size(),
              "others");
    RunFor(aWorld, milliseconds(1));
  }
}

} // namespace

TEST_GROUP(Quarantine){};

TEST(Quarantine, FiftyResendsCrashAtMostThreeServers)
{
  struct Case
  {
    std::size_t daemons_;
    Duration gap_;
    bool background_;
  };
  const Case cases[] = {
    { 1, milliseconds(100), false },
    { 1, milliseconds(100), true },
    { 7, milliseconds(200), false },
    { 7, milliseconds(200), true },
    { 7, {}, false },
    { 7, seconds(2), true },
  };
  for (const Case& row : cases) {
    RouteWorld world = PoisonWorld(row.daemons_, 1);
    Warm(world);
    for (int i = 0; i < 50; ++i) {
      if (row.gap_ == Duration::zero()) {
        // The caller resends as soon as it has the answer.
        QueryAndWait(world, "find", "poison", i % row.daemons_);
        continue;
      }
      SendQuery(world, "find", "poison", i % row.daemons_);
      if (row.background_) {
        RunBackgroundLoad(world, row.gap_);
      } else {
        RunFor(world, row.gap_);
      }
    }
    RunFor(world, seconds(2));
    const std::uint32_t crashes = CountCrashes(world);
    CHECK_TRUE(crashes >= 1);
    CHECK_TRUE_TEXT(crashes <= 3,
                    (std::to_string(crashes) + " crashes, " +
                     std::to_string(row.daemons_) + " daemons, gap " +
                     std::to_string(row.gap_.count()))
                      .c_str());
  }
}

TEST(Quarantine, OtherContentIsServedAfterACrash)
{
  RouteWorld world = PoisonWorld(1, 1);
  Warm(world);
  SendQuery(world, "find", "poison");
  RunBackgroundLoad(world, seconds(3));
  const std::uint64_t before = world.nextRequest_;
  RunBackgroundLoad(world, seconds(1));
  RunFor(world, seconds(2));
  for (const auto& [id, answer] : world.answers_) {
    CHECK_TRUE(id <= before || answer.answer_.complete_);
  }
}

TEST(Quarantine, QuarantineIsReportedAndExpires)
{
  RouteWorld world = PoisonWorld(1, 1);
  Warm(world);
  SendQuery(world, "find", "poison");
  RunFor(world, seconds(2));
  const QueryAnswer& answer = QueryAndWait(world, "find", "poison");
  CHECK_TRUE(answer.code_ == ResultCode::Quarantined);
  LONGS_EQUAL(1, RouteStatistics(world.daemons_[0]->state_).quarantined_);
  for (auto& [address, server] : world.servers_) {
    server.poison_.clear();
  }
  RunFor(world, kQuarantineTtl);
  CHECK_TRUE(QueryAndWait(world, "find", "poison").complete_);
}

TEST(Quarantine, LossOfManyServersQuarantinesNoContent)
{
  RouteWorld world = PoisonWorld(2, 10);
  Warm(world);
  for (int i = 0; i < 100; ++i) {
    SendQuery(world, "find", "plain" + std::to_string(i));
  }
  RunFor(world, milliseconds(1));
  for (auto& [address, server] : world.servers_) {
    CrashServer(world, server);
  }
  RunFor(world, milliseconds(250));
  CHECK_FALSE(world.rumors_.empty());
  // No content is quarantined, and rumors stay below the crash count by which
  // peers would quarantine.
  RunFor(world, seconds(1));
  LONGS_EQUAL(0, RouteStatistics(world.daemons_[0]->state_).quarantined_);
  for (const Rumor& rumor : world.rumors_) {
    const auto* suspect = std::get_if<QuarantineRumor>(&rumor);
    CHECK_TRUE(suspect == nullptr || suspect->crashes_ < kCrashesToQuarantine);
  }
}

TEST(Quarantine, OrdersAreQuarantinedAfterCrashes)
{
  RouteWorld world = PoisonWorld(1, 1);
  Warm(world);
  std::vector<std::uint64_t> orders;
  for (int i = 0; i < 50; ++i) {
    orders.push_back(SendOrder(world, "poison"));
    RunFor(world, milliseconds(500));
  }
  RunFor(world, seconds(2));
  CHECK_TRUE(CountCrashes(world) <= 3);
  CHECK_TRUE(world.dispatched_[orders[0]].state_ == DispatchState::Unknown);
  CHECK_TRUE(world.dispatched_[orders[49]].state_ == DispatchState::NotRun);
  CHECK_TRUE(world.dispatched_[orders[49]].reason_ == ResultCode::Quarantined);
}
