// What servers say of themselves in answers goes before what the store says of
// them: that they leave, and how long they want no requests.
#include "gateway/replay_fixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kTarget = "/query/a";
constexpr std::size_t kShards = 6;

void
MakeShards(Replay& aReplay)
{
  aReplay.AddShards(kShards);
  aReplay.SetRoute(MakeQueryRoute(kShards, 0.8, 5));
  aReplay.Publish();
}

std::size_t
CountArrivals(const ModelServer& aServer, TimePoint aFrom, TimePoint aTo)
{
  return static_cast<std::size_t>(std::count_if(
    aServer.arrivalTimes_.begin(),
    aServer.arrivalTimes_.end(),
    [aFrom, aTo](TimePoint aAt) { return aAt >= aFrom && aAt < aTo; }));
}

/** How a server leaves, and what the store says of it meanwhile. */
struct LeavingCase
{
  const char* name_;
  ModelFault fault_;    ///< Shed: it says so in a rejection.
  bool unlisted_;       ///< Its entry disappears and comes back as ready.
  bool newIncarnation_; ///< It comes back as a new one.
  bool usedAgain_;
  std::size_t daemons_ = 6;
  double speed_ = 1.0; ///< Of its work; above 1 its part is the last one.
};

/** Servers that want no requests for a while. */
struct PauseCase
{
  const char* name_;
  std::size_t servers_; ///< First servers of the list; two are a shard.
  Duration pause_;
  double served_; ///< Share of the queries answered on time, at least.
  std::size_t daemons_ = 6;
  Duration siblingPauses_{}; ///< The other replica stops each second.
};

} // namespace

TEST_GROUP(Guidance){};

TEST(Guidance, LeavingServersGetRequestsWhileTheStoreListsThem)
{
  const std::vector<LeavingCase> cases{
    { "in a success", ModelFault::None, false, false, false },
    { "in a rejection", ModelFault::Shed, false, false, false },
    { "in a failure", ModelFault::Fail, false, false, false },
    { "entry comes back", ModelFault::None, true, false, false },
    { "new incarnation", ModelFault::None, true, true, true },
    { "in the last part of a query",
      ModelFault::None,
      false,
      false,
      false,
      6,
      3.0 },
    { "64 daemons", ModelFault::None, true, false, false, 64 },
  };
  for (const LeavingCase& item : cases) {
    Replay replay(item.daemons_, 42);
    MakeShards(replay);
    ModelServer& server = replay.Servers()[0];
    server.speed_ *= item.speed_;
    const TimePoint begun = replay.Clock();
    replay.At(seconds(2), [&]() {
      server.leaving_ = true;
      server.fault_ = item.fault_;
    });
    replay.At(seconds(6), [&]() {
      server.listed_ = !item.unlisted_;
      server.leaving_ = !item.newIncarnation_;
      server.incarnation_ += item.newIncarnation_ ? 1 : 0;
      replay.Publish();
    });
    replay.At(seconds(8), [&]() {
      server.listed_ = true;
      replay.Publish();
    });
    const ReplayLoad load{ kTarget, 60, milliseconds(10), seconds(2), 1 };
    const ReplayResult result = replay.Run({ load }, seconds(16))[kTarget];
    LONGS_EQUAL_TEXT(0, server.unwantedWhileLeaving_, item.name_);
    // Daemons that were not told may go on.
    CHECK_TRUE_TEXT(
      !item.usedAgain_ ||
        CountArrivals(server, begun + seconds(9), replay.Clock()) > 0,
      item.name_);
    CHECK_TEXT(result.OnTimeShare() >= 0.97, item.name_);
  }
}

TEST(Guidance, PausedServersGetRequestsBeforeTheTimeIsOver)
{
  const std::vector<PauseCase> cases{
    { "one replica", 1, seconds(4), 0.97 },
    { "both replicas of a shard", 2, seconds(4), 0.97 },
    { "short", 2, milliseconds(300), 0.97 },
    { "too many shards", 8, seconds(4), 0.6 },
    { "as a hedge", 1, seconds(4), 0.97, 6, milliseconds(200) },
    { "64 daemons", 2, seconds(4), 0.97, 64 },
  };
  for (const PauseCase& item : cases) {
    Replay replay(item.daemons_, 42);
    MakeShards(replay);
    if (item.siblingPauses_.count() > 0) {
      replay.Servers()[1].pauseEvery_ = seconds(1);
      replay.Servers()[1].pauseFor_ = item.siblingPauses_;
    }
    const TimePoint begun = replay.Clock();
    replay.At(seconds(2), [&]() {
      for (std::size_t i = 0; i < item.servers_; ++i) {
        replay.Servers()[i].fault_ = ModelFault::Shed;
        replay.Servers()[i].retryAfter_ = item.pause_;
      }
    });
    replay.At(seconds(3), [&]() {
      for (std::size_t i = 0; i < item.servers_; ++i) {
        replay.Servers()[i].fault_ = ModelFault::None;
      }
    });
    const ReplayLoad load{ kTarget, 60, milliseconds(10), seconds(2), 1 };
    const ReplayResult result = replay.Run({ load }, seconds(16))[kTarget];
    for (std::size_t i = 0; i < item.servers_; ++i) {
      const ModelServer& server = replay.Servers()[i];
      LONGS_EQUAL_TEXT(0, server.unwantedWhilePaused_, item.name_);
      CHECK_TRUE_TEXT(
        CountArrivals(server, begun + seconds(8), replay.Clock()) > 0,
        item.name_);
    }
    CHECK_TEXT(
      result.OnTimeShare() >= item.served_,
      (std::string(item.name_) + ": " + std::to_string(result.OnTimeShare()))
        .c_str());
    std::vector<Duration> rejected = result.rejectedAfter_;
    std::sort(rejected.begin(), rejected.end());
    CHECK_TRUE_TEXT(rejected.empty() ||
                      rejected[rejected.size() / 2] <= milliseconds(5),
                    item.name_);
  }
}

// What another server at the address says doesn't bind the one that has it.
TEST(Guidance, ServersAreLeftAloneForWhatAnotherOneSaid)
{
  Replay replay(6, 42);
  MakeShards(replay);
  ModelServer& server = replay.Servers()[0];
  const TimePoint begun = replay.Clock();
  replay.At(seconds(2), [&]() { server.fault_ = ModelFault::Moved; });
  replay.At(seconds(3), [&]() { server.fault_ = ModelFault::None; });
  const ReplayLoad load{ kTarget, 60, milliseconds(10), seconds(2), 1 };
  replay.Run({ load }, seconds(16));
  // Setting it aside takes up to 4 s.
  const std::size_t arrivals =
    CountArrivals(server, begun + seconds(8), replay.Clock());
  CHECK_TEXT(arrivals > 60, std::to_string(arrivals).c_str());
}

// An entry may be malformed or missing for a moment while its server pauses or
// names a limit.
TEST(Guidance, PausesAndLimitsAreLostWithTheEntry)
{
  struct Case
  {
    const char* name_;
    Duration goneAt_; ///< After the server began to pause.
    Duration goneFor_;
    bool newIncarnation_;
    bool isLimit_;
  };
  const std::vector<Case> cases{
    { "pause", milliseconds(400), milliseconds(200), false, false },
    { "long gone", milliseconds(400), milliseconds(2500), false, false },
    { "told while gone", milliseconds(2), milliseconds(30), false, false },
    { "new incarnation", milliseconds(400), milliseconds(200), true, false },
    { "limit", milliseconds(400), milliseconds(200), false, true },
  };
  for (const Case& item : cases) {
    Replay replay(6, 42);
    MakeShards(replay);
    ModelServer& server = replay.Servers()[0];
    const TimePoint begun = replay.Clock();
    replay.At(seconds(2), [&]() {
      server.fault_ = item.isLimit_ ? ModelFault::None : ModelFault::Shed;
      server.retryAfter_ = item.isLimit_ ? Duration::zero() : seconds(4);
      server.limit_ = item.isLimit_ ? std::optional(6.0) : std::nullopt;
    });
    const auto list = [&](bool aListed) {
      server.listed_ = aListed;
      replay.Announce();
    };
    replay.At(seconds(2) + item.goneAt_, [&]() {
      server.incarnation_ += item.newIncarnation_ ? 1 : 0;
      list(false);
    });
    replay.At(seconds(2) + item.goneAt_ + item.goneFor_, [&]() { list(true); });
    const ReplayLoad load{ kTarget, 60, milliseconds(10), seconds(2), 1 };
    replay.Run({ load }, seconds(6));
    const std::size_t arrivals =
      CountArrivals(server, begun + seconds(3), begun + seconds(6));
    if (item.isLimit_) {
      // The servers of a shard share 60 queries a second.
      CHECK_TEXT(arrivals <= 21, std::to_string(arrivals).c_str());
    } else if (item.newIncarnation_) {
      CHECK_TEXT(arrivals > 0, item.name_);
    } else {
      LONGS_EQUAL_TEXT(0, server.unwantedWhilePaused_, item.name_);
    }
  }
}

// A request may be cancelled while the rejection is on its way.
TEST(Guidance, PausesAreMissedInAnswersToCancelledRequests)
{
  Replay replay(1, 42);
  MakeShards(replay);
  GatewayState& state = replay.Daemon(0);
  const Backend& backend = state.backends_.slots_.front();
  BackendAnswer answer;
  answer.status_ = 503;
  answer.notRun_ = true;
  answer.retryAfter_ = seconds(3);
  Rng rng(1);
  GatewayDecisions decisions;
  const Now now{ replay.Clock(), 0 };
  GatewayOnEvent(
    state, UnreadAnswer{ backend.key_, answer }, now, rng, decisions);
  CHECK_TRUE(backend.pausedUntil_ >= replay.Clock() + seconds(3));
  // A server that is no longer known.
  GatewayOnEvent(
    state, UnreadAnswer{ backend.key_ + 1, answer }, now, rng, decisions);
}

// An unreadable field neither begins nor ends anything, and is logged at times.
TEST(Guidance, AnUnreadableFieldEndsALimit)
{
  Replay replay(1, 42);
  MakeShards(replay);
  ModelServer& server = replay.Servers()[0];
  replay.At(seconds(1), [&]() { server.limit_ = 20.0; });
  replay.At(seconds(3), [&]() {
    server.limit_ = std::nullopt;
    server.malformedGuidance_ = true;
  });
  const ReplayLoad load{ kTarget, 60, milliseconds(10), seconds(2), 1 };
  replay.Run({ load }, seconds(9));
  const GatewayState& state = replay.Daemon(0);
  const auto limited = std::count_if(
    state.backends_.slots_.begin(),
    state.backends_.slots_.end(),
    [](const Backend& aBackend) { return aBackend.rateLimit_.perSecond_; });
  LONGS_EQUAL(1, limited);
  CHECK_TRUE(state.stats_.malformedGuidance_ > 10);
  const std::uint64_t lines = replay.RecordsSeen("malformed");
  CHECK_TRUE(lines == 1 || lines == 2);
}
