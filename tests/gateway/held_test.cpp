// What one daemon holds for others: connections to servers beyond its
// descriptors, and answers that wait until their request ends.
#include "gateway/replay_fixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kShards = 20; ///< Of two servers each.

struct BoundCase
{
  const char* name_;
  std::uint32_t bound_; ///< Zero: none.
  double perSecond_;    ///< Queries, each to all shards.
  double onTime_;       ///< Least share that is on time.
};

} // namespace

TEST_GROUP(Held){};

// 40 servers with spare connections took 76 descriptors and more under load,
// whatever the limit of the process.
TEST(Held, ConnectionsToServersStayWithinTheirBound)
{
  const BoundCase cases[] = {
    { "none", 0, 20, 1.0 },
    { "spare connections only", 60, 20, 1.0 },
    { "one for each shard", 20, 20, 0.95 },
    { "fewer than shards", 12, 5, 0.95 },
  };
  for (const BoundCase& item : cases) {
    Replay replay(1, 42);
    replay.AddShards(kShards);
    replay.SetRoute(MakeQueryRoute(kShards, 1.0, 5));
    GatewayState& state = replay.Daemon(0);
    state.settings_.maxConnections_ = item.bound_;
    replay.Publish();
    std::size_t most = 0;
    for (int i = 0; i < 8000; ++i) {
      replay.At(milliseconds(i),
                [&]() { most = std::max(most, state.connections_.Count()); });
    }
    const ReplayLoad load{
      "/query/a", item.perSecond_, milliseconds(5), seconds(2), 0
    };
    const ReplayResult result = replay.Run({ load }, seconds(6)).at("/query/a");
    const std::string text = std::string(item.name_) + ": most " +
                             std::to_string(most) + ", on time " +
                             std::to_string(result.OnTimeShare());
    CHECK_TEXT(item.bound_ == 0 || most <= item.bound_, text.c_str());
    LONGS_EQUAL_TEXT(0, result.failed_, text.c_str());
    LONGS_EQUAL_TEXT(0, result.rejected_, text.c_str());
    CHECK_TEXT(result.OnTimeShare() >= item.onTime_, text.c_str());
    if (item.bound_ == 0) {
      LONGS_EQUAL_TEXT(0, state.stats_.connectionsClosed_, text.c_str());
      LONGS_EQUAL_TEXT(0, state.stats_.connectionsDelayed_, text.c_str());
    }
  }
}

// Answers of other shards are kept while one is awaited, and were not counted.
TEST(Held, AnswersAreCountedUntilTheirRequestEnds)
{
  for (const ModelFault fault : { ModelFault::Silent, ModelFault::Fail }) {
    Replay replay(1, 42);
    replay.AddShards(kShards);
    replay.SetRoute(MakeQueryRoute(kShards, 1.0, 5));
    replay.Publish();
    replay.Advance(seconds(1));
    for (ModelServer& server : replay.Servers()) {
      if (server.service_ == "shard0") {
        server.fault_ = fault;
      }
    }
    const GatewayState& state = replay.Daemon(0);
    LONGS_EQUAL(0, state.heldBytes_);
    std::uint64_t most = 0;
    for (int i = 0; i < 900; ++i) {
      replay.At(milliseconds(i),
                [&]() { most = std::max(most, state.heldBytes_); });
    }
    const std::uint64_t id = replay.SendRequest(0, "/query/a", seconds(1));
    replay.Advance(seconds(3));
    CHECK_TRUE(replay.AnswerOf(id) != nullptr);
    CHECK_TEXT(most >= kShards - 1, std::to_string(most).c_str());
    LONGS_EQUAL(0, state.heldBytes_);
  }
}
