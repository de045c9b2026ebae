// Answers for which this daemon has no memory: they show nothing of the server
// or of the content, and an idempotent request is sent again.
#include "gateway/replay_fixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <variant>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

template<typename Item>
std::size_t
CountOf(const GatewayDecisions& aDecisions)
{
  return static_cast<std::size_t>(std::count_if(
    aDecisions.begin(), aDecisions.end(), [](const auto& aDecision) {
      return std::holds_alternative<Item>(aDecision);
    }));
}

BackendConn*
FindConnection(GatewayState& aState, BackendConnState aWanted)
{
  for (BackendConn& conn : aState.connections_.slots_) {
    if (conn.key_ != 0 && conn.state_ == aWanted) {
      return &conn;
    }
  }
  return nullptr;
}

struct AnswerCase
{
  const char* name_;
  RequestKind kind_;
  BackendConnState state_; ///< Of the connection that ends.
  BackendEnd end_;
  std::size_t sends_;      ///< Further sends of the request.
  std::uint32_t failures_; ///< Counted against the server.
  std::size_t suspicions_; ///< Attempts that the content may have broken.
};

} // namespace

TEST_GROUP(AnswerMemory){};

TEST(AnswerMemory, NothingCountsAgainstServerOrContent)
{
  using State = BackendConnState;
  const AnswerCase cases[] = {
    { "repeated",
      RequestKind::Idempotent,
      State::Busy,
      BackendEnd::NoMemory,
      1,
      0,
      0 },
    { "not repeated",
      RequestKind::NonIdempotent,
      State::Busy,
      BackendEnd::NoMemory,
      0,
      0,
      0 },
    { "idle",
      RequestKind::Idempotent,
      State::Idle,
      BackendEnd::NoMemory,
      0,
      0,
      0 },
    { "opening",
      RequestKind::Idempotent,
      State::Opening,
      BackendEnd::NoMemory,
      0,
      0,
      0 },
    { "malformed",
      RequestKind::Idempotent,
      State::Busy,
      BackendEnd::Malformed,
      1,
      1,
      0 },
    { "reset",
      RequestKind::Idempotent,
      State::Busy,
      BackendEnd::Reset,
      1,
      1,
      1 },
  };
  for (const AnswerCase& item : cases) {
    Replay replay(1, 42);
    replay.AddShards(1);
    GatewayRoute route;
    route.name_ = "plain";
    route.prefix_ = "/plain/";
    route.kind_ = item.kind_;
    route.timeout_ = seconds(4);
    route.maxAttempts_ = 2;
    route.to_.push_back({ "shard0", 1.0 });
    replay.SetRoute(route);
    replay.Publish();
    replay.Advance(seconds(1));
    for (ModelServer& server : replay.Servers()) {
      server.fault_ = ModelFault::Silent;
    }
    replay.SendRequest(0, "/plain/a", seconds(2));
    replay.Advance(milliseconds(1));
    GatewayState& state = replay.Daemon(0);
    if (item.state_ == State::Opening) {
      FindConnection(state, State::Idle)->state_ = State::Opening;
      ++state.backends_.slots_.front().opening_;
    }
    const BackendConn* conn = FindConnection(state, item.state_);
    CHECK_TEXT(conn != nullptr, item.name_);
    const std::uint64_t key = conn->key_;
    const Backend& backend = state.backends_.slots_[conn->backend_ & kSlotMask];
    Rng rng(1);
    GatewayDecisions decisions;
    GatewayOnEvent(state,
                   BackendClosed{ ConnectionId{ key }, item.end_, true },
                   Now{ replay.Clock(), 0 },
                   rng,
                   decisions);
    LONGS_EQUAL_TEXT(item.sends_, CountOf<BackendSend>(decisions), item.name_);
    LONGS_EQUAL_TEXT(item.failures_, backend.failedInRow_, item.name_);
    LONGS_EQUAL_TEXT(item.suspicions_, state.lost_.size(), item.name_);
    LONGS_EQUAL_TEXT(0, backend.connectionLimit_, item.name_);
    CHECK_TEXT(backend.connectAfter_ <= replay.Clock(), item.name_);
  }
}
