// What one daemon holds for others: answers that wait until their request ends.
#include "gateway/replay_fixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kShards = 20; ///< Of two servers each.

} // namespace

TEST_GROUP(Held){};

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
