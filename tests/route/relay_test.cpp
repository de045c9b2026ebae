// Tests of the relay through home daemons of servers.
#include "route/route_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

namespace {

RouteWorld
RelayWorld()
{
  return MakeWorld({ .services_ = 4,
                     .serversPerService_ = 2,
                     .shardsPerService_ = 4,
                     .connections_ = 8,
                     .daemons_ = 9,
                     .maxDaemons_ = 2400,
                     .homesPerServer_ = 2 });
}

void
Warm(RouteWorld& aWorld)
{
  ShareMembers(aWorld);
  AdoptWorldConfig(aWorld);
  RunFor(aWorld, milliseconds(500));
}

RouteStats
SumStats(const RouteWorld& aWorld)
{
  RouteStats sum;
  for (const auto& daemon : aWorld.daemons_) {
    const RouteStats stats = RouteStatistics(daemon->state_);
    sum.relayed_ += stats.relayed_;
    sum.relayBatches_ += stats.relayBatches_;
    sum.relayServed_ += stats.relayServed_;
  }
  return sum;
}

/** Number of daemons that hold connections to a server. */
std::size_t
CountHolders(const RouteWorld& aWorld, const std::string& aAddress)
{
  std::set<std::size_t> holders;
  for (const auto& [key, connection] : aWorld.network_) {
    if (connection.address_ == aAddress) {
      holders.insert(key.first);
    }
  }
  return holders.size();
}

} // namespace

TEST_GROUP(Relay){};

TEST(Relay, DaemonsWithoutConnectionsRelay)
{
  RouteWorld world = RelayWorld();
  Warm(world);
  for (std::size_t i = 0; i < world.daemons_.size(); ++i) {
    const QueryAnswer& answer = QueryAndWait(world, "find", "x", i);
    CHECK_TRUE(answer.complete_);
    LONGS_EQUAL(16, answer.covered_.size());
  }
  for (const auto& [address, server] : world.servers_) {
    CHECK_TRUE(CountHolders(world, address) <= 2);
    CHECK_TRUE(server.peakConnections_ <= server.cap_);
  }
  const RouteStats sum = SumStats(world);
  CHECK_TRUE(sum.relayed_ > 0);
  LONGS_EQUAL(sum.relayed_, sum.relayServed_);
  CHECK_TRUE(sum.relayBatches_ * 2 <= sum.relayed_);
}

TEST(Relay, UnreachableHomeCostsNoCoverage)
{
  RouteWorld world = RelayWorld();
  Warm(world);
  for (std::size_t i = 0; i < world.daemons_.size(); ++i) {
    QueryAndWait(world, "find", "x", i);
  }
  std::set<std::size_t> homes;
  for (const auto& [key, connection] : world.network_) {
    homes.insert(key.first);
  }
  const std::size_t lost = *homes.begin();
  const std::size_t sender = lost == 0 ? 1 : 0;
  world.cutPeers_.insert(lost);
  for (int i = 0; i < 50; ++i) {
    CHECK_TRUE(QueryAndWait(world, "find", "x", sender).complete_);
  }
}

TEST(Relay, PausedHomeIsAvoided)
{
  RouteWorld world = RelayWorld();
  Warm(world);
  for (std::size_t i = 0; i < world.daemons_.size(); ++i) {
    QueryAndWait(world, "find", "x", i);
  }
  std::set<std::size_t> homes;
  for (const auto& [key, connection] : world.network_) {
    homes.insert(key.first);
  }
  const std::size_t paused = *homes.begin();
  const std::size_t sender = paused == 0 ? 1 : 0;
  world.pausedPeers_.insert(paused);
  for (int i = 0; i < 20; ++i) {
    CHECK_TRUE(QueryAndWait(world, "find", "x", sender).complete_);
    CHECK_TRUE(world.answers_.rbegin()->second.took_ <= milliseconds(500));
  }
}

TEST(Relay, ConnectionQuotaHoldsWhenHomesChange)
{
  RouteWorld world = RelayWorld();
  Warm(world);
  for (std::size_t gone = 0; gone < 4; ++gone) {
    world.daemons_[gone]->up_ = false;
    ShareMembers(world);
    for (int i = 0; i < 50; ++i) {
      SendQuery(world, "find", "x", 4 + i % 5);
      RunFor(world, milliseconds(5));
    }
  }
  RunFor(world, seconds(2));
  for (const auto& [address, server] : world.servers_) {
    CHECK_TRUE(server.peakConnections_ <= server.cap_);
    LONGS_EQUAL(0, server.overCap_);
  }
  CHECK_TRUE(QueryAndWait(world, "find", "x", 8).complete_);
}

TEST(Relay, NoRelayWhenEveryDaemonIsHome)
{
  RouteWorld world =
    MakeWorld({ .daemons_ = 3, .maxDaemons_ = 3, .homesPerServer_ = 3 });
  Warm(world);
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK_TRUE(QueryAndWait(world, "find", "x", i).complete_);
  }
  LONGS_EQUAL(0, SumStats(world).relayed_);
}
