// Sequences of evacuations, their ends and other events at the same time.
// Guards against requests to an evacuated domain on any path, requests that are
// lost or sent twice because of an evacuation, and load that returns at once.
#include "gateway/replay_fixture.h"
#include "gateway/shared_fixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kTarget = "/query/a";
constexpr std::size_t kShards = 6;

enum class Step : std::uint8_t
{
  Evacuate,     ///< Domain "a" at all daemons.
  EvacuateLate, ///< The same, at one daemon not yet: it has just started.
  EvacuateBoth, ///< All domains.
  Return,       ///< The end of all evacuations.
  Announce,     ///< The list of servers comes again.
  Replace,      ///< A server of the domain gets a new start.
  Release,      ///< All servers get a new start, one after another.
  Reshard,      ///< The route gets other shards, on servers of both domains.
  Crash,        ///< A server outside the domain crashes.
  End           ///< Number of steps.
};

/** Steps by seconds, while callers send queries. */
struct EvacuationCase
{
  const char* name_;
  std::vector<std::size_t> daemons_;
  std::vector<std::pair<Duration, Step>> steps_;
  /** Intervals in which no request may reach the domain. */
  std::vector<std::pair<Duration, Duration>> silent_;
  double onTime_; ///< Least share of queries answered on time.
};

void
Apply(Replay& aReplay, Step aStep)
{
  switch (aStep) {
    case Step::Evacuate:
      aReplay.Evacuate({ "a" });
      break;
    case Step::EvacuateLate:
      aReplay.Evacuate({ "a" }, 1);
      break;
    case Step::EvacuateBoth:
      aReplay.Evacuate({ "a", "b" });
      break;
    case Step::Return:
      aReplay.Evacuate({});
      break;
    case Step::Announce:
      aReplay.Announce();
      break;
    case Step::Replace:
      ++aReplay.Servers()[1].incarnation_;
      aReplay.Announce();
      break;
    case Step::Release:
      for (std::size_t i = 0; i < aReplay.Servers().size(); ++i) {
        aReplay.At(milliseconds(300) * i, [&aReplay, i]() {
          ++aReplay.Servers()[i].incarnation_;
          aReplay.Announce();
        });
      }
      break;
    case Step::Reshard:
      Reshard(aReplay, MakeQueryRoute(kShards, 0.8, 5));
      aReplay.Announce();
      break;
    default:
      aReplay.Crash(0, ModelFault::Reset);
      break;
  }
}

std::size_t
CountArrivals(Replay& aReplay,
              const std::string& aDomain,
              TimePoint aFrom,
              TimePoint aTo)
{
  std::size_t count = 0;
  for (const ModelServer& server : aReplay.Servers()) {
    if (server.domain_ == aDomain) {
      count += static_cast<std::size_t>(std::count_if(
        server.arrivalTimes_.begin(),
        server.arrivalTimes_.end(),
        [&](TimePoint aAt) { return aAt >= aFrom && aAt < aTo; }));
    }
  }
  return count;
}

void
CheckEvacuation(const EvacuationCase& aCase, std::size_t aDaemons)
{
  const std::string name =
    std::string(aCase.name_) + ", " + std::to_string(aDaemons) + " daemons";
  Replay replay(aDaemons, 42);
  replay.AddShards(kShards);
  replay.SetRoute(MakeQueryRoute(kShards, 0.8, 5));
  replay.Publish();
  const TimePoint begun = replay.Clock();
  for (const auto& [at, step] : aCase.steps_) {
    const Step action = step;
    replay.At(at, [&replay, action]() { Apply(replay, action); });
  }
  const ReplayLoad load{ kTarget, 40, milliseconds(10), seconds(2), 3 };
  const ReplayResult result = replay.Run({ load }, seconds(10))[kTarget];
  for (const auto& [from, to] : aCase.silent_) {
    LONGS_EQUAL_TEXT(
      0, CountArrivals(replay, "a", begun + from, begun + to), name.c_str());
  }
  const Duration returned = aCase.silent_.back().second;
  CHECK_TEXT(CountArrivals(
               replay, "a", begun + returned, begun + returned + seconds(4)) >
               0,
             name.c_str());
  LONGS_EQUAL_TEXT(0, result.failed_, name.c_str());
  const std::string text =
    name + ": on time " + std::to_string(result.OnTimeShare());
  CHECK_TEXT(result.OnTimeShare() >= aCase.onTime_, text.c_str());
}

} // namespace

TEST_GROUP(Evacuation){};

/** Shards whose servers are all evacuated. */
struct LostShardCase
{
  const char* name_;
  std::size_t lost_; ///< Of 6 shards.
  double minCoverage_;
  bool served_;
};

// What can't be served is rejected at once, the rest without waiting for the
// lost shards.
TEST(Evacuation, ShardsInTheDomainHoldQueriesUp)
{
  const std::vector<LostShardCase> cases{
    { "one of six", 1, 0.8, true },
    { "none may be missing", 1, 1.0, false },
    { "two of six", 2, 0.8, false },
    { "two of six, low coverage", 2, 0.5, true },
    { "all", 6, 0.5, false },
  };
  for (const LostShardCase& item : cases) {
    Replay replay(6, 42);
    replay.AddShards(kShards);
    for (std::size_t i = 0; i < 2 * item.lost_; ++i) {
      replay.Servers()[i].domain_ = "lost";
    }
    replay.SetRoute(MakeQueryRoute(kShards, item.minCoverage_, 5));
    replay.Publish();
    replay.Evacuate({ "lost" });
    const std::uint64_t request = replay.SendRequest(0, kTarget, seconds(2));
    const ProxyAnswer* answer = replay.AnswerOf(request);
    LONGS_EQUAL_TEXT(!item.served_, answer != nullptr, item.name_);
    if (answer != nullptr) {
      CHECK_TRUE_TEXT(answer->code_ == ProxyCode::NoServer, item.name_);
      CHECK_TRUE_TEXT(answer->retryAfter_ >= seconds(1), item.name_);
      continue;
    }
    replay.Advance(milliseconds(50));
    answer = replay.AnswerOf(request);
    CHECK_TRUE_TEXT(answer != nullptr, item.name_);
    CHECK_TRUE_TEXT(answer->code_ == ProxyCode::Merged, item.name_);
    LONGS_EQUAL_TEXT(item.lost_, answer->missing_, item.name_);
  }
}

/** Servers that a route may use, and whether its queries can be served. */
struct RegionCase
{
  const char* name_;
  std::set<std::string> allowed_;
  std::set<std::string> evacuated_;
  bool served_;
  bool usesA_; ///< Servers of domain "a", in region "ra".
  bool usesB_; ///< Servers of domain "b", in region "rb".
};

TEST(Evacuation, RequestsLeaveTheRegionsOfTheirRoute)
{
  const std::vector<RegionCase> cases{
    { "all", {}, {}, true, true, true },
    { "one", { "ra" }, {}, true, true, false },
    { "both", { "ra", "rb" }, {}, true, true, true },
    { "its domain is evacuated", { "ra" }, { "a" }, false, false, false },
    { "the other is evacuated", { "ra" }, { "b" }, true, true, false },
    { "unknown", { "rc" }, {}, false, false, false },
  };
  for (const RegionCase& item : cases) {
    Replay replay(2, 42);
    for (std::size_t i = 0; i < 2; ++i) {
      replay.Daemon(i).settings_.regionOf_ = { { "a", "ra" }, { "b", "rb" } };
    }
    replay.AddShards(kShards);
    GatewayRoute route = MakeQueryRoute(kShards, 0.8, 5);
    route.allowedRegions_ = item.allowed_;
    replay.SetRoute(route);
    replay.Publish();
    replay.Evacuate(item.evacuated_);
    const ReplayLoad load{ kTarget, 120, milliseconds(10), seconds(2), 0 };
    const ReplayResult result = replay.Run({ load }, seconds(3))[kTarget];
    const TimePoint end = replay.Clock();
    LONGS_EQUAL_TEXT(item.usesA_,
                     CountArrivals(replay, "a", TimePoint{}, end) > 0,
                     item.name_);
    LONGS_EQUAL_TEXT(item.usesB_,
                     CountArrivals(replay, "b", TimePoint{}, end) > 0,
                     item.name_);
    LONGS_EQUAL_TEXT(item.served_, result.onTime_ > 0, item.name_);
    if (!item.served_) {
      LONGS_EQUAL_TEXT(result.asked_, result.rejected_, item.name_);
      for (const Duration after : result.rejectedAfter_) {
        CHECK_TRUE_TEXT(after == Duration::zero(), item.name_);
      }
    }
  }
}

TEST(Evacuation, RequestsReachAnEvacuatedDomain)
{
  // A request needs 0.3 ms to reach a server.
  const Duration sent = milliseconds(1);
  const Duration at2 = seconds(2);
  const Duration at3 = seconds(3);
  const Duration at4 = seconds(4);
  const Duration at6 = seconds(6);
  const Duration at8 = seconds(8);
  const std::vector<EvacuationCase> cases{
    { "begun and ended",
      { 6, 40, 83, 295 },
      { { at2, Step::Evacuate }, { at6, Step::Return } },
      { { at2 + sent, at6 } },
      0.97 },
    { "shards change meanwhile",
      { 6, 83, 295 },
      { { at2, Step::Evacuate },
        { at3, Step::Reshard },
        { at6, Step::Return } },
      { { at2 + sent, at6 } },
      0.97 },
    { "begun and ended twice",
      { 6, 83 },
      { { at2, Step::Evacuate },
        { at3, Step::Evacuate },
        { at4, Step::Return },
        { at4, Step::Return },
        { at6, Step::Evacuate },
        { at8, Step::Return } },
      { { at2 + sent, at4 }, { at6 + sent, at8 } },
      0.97 },
    { "the list comes again",
      { 6 },
      { { at2, Step::Evacuate },
        { at3, Step::Announce },
        { at6, Step::Return } },
      { { at2 + sent, at6 } },
      0.97 },
    { "a server of the domain starts meanwhile",
      { 6 },
      { { at2, Step::Evacuate },
        { at3, Step::Replace },
        { at6, Step::Return } },
      { { at2 + sent, at6 } },
      0.97 },
    { "rolling release of all servers",
      { 6, 83, 295 },
      { { at2, Step::Evacuate },
        { at3, Step::Release },
        { at8, Step::Return } },
      { { at2 + sent, at8 } },
      0.9 },
    { "ended in a rolling release",
      { 6, 83 },
      { { at2, Step::Evacuate },
        { at3, Step::Release },
        { at4, Step::Return } },
      { { at2 + sent, at4 } },
      0.9 },
    { "a daemon starts meanwhile",
      { 6, 83 },
      { { at2, Step::EvacuateLate },
        { at3, Step::Evacuate },
        { at6, Step::Return } },
      { { at3 + sent, at6 } },
      0.97 },
    { "another server resets its connections meanwhile",
      { 6 },
      { { at2, Step::Evacuate }, { at3, Step::Crash }, { at6, Step::Return } },
      { { at2 + sent, at6 } },
      0.9 },
    { "all domains",
      { 6 },
      { { at2, Step::EvacuateBoth }, { at3, Step::Return } },
      { { at2 + sent, at3 } },
      0.85 },
  };
  for (const EvacuationCase& item : cases) {
    for (const std::size_t daemons : item.daemons_) {
      CheckEvacuation(item, daemons);
    }
  }
}

// Requests in flight are completed and not sent again; waiting ones that no
// server may take are rejected at once.
TEST(Evacuation, RequestsInFlightAreLostOrSentTwice)
{
  Replay replay(1, 42);
  replay.AddServer("shard0", 1.0).slots_ = 1;
  GatewayRoute route = MakeQueryRoute(1, 1.0, 5);
  route.kind_ = RequestKind::NonIdempotent;
  replay.SetRoute(route);
  replay.Publish();
  const ReplayLoad none{ "/query/a", 0.001, milliseconds(50) };
  replay.Run({ none }, Duration::zero());
  std::vector<std::uint64_t> requests;
  requests.reserve(20);
  for (int i = 0; i < 20; ++i) {
    requests.push_back(replay.SendRequest(0, "/query/a", seconds(2)));
  }
  const std::uint64_t sent = replay.Sends();
  CHECK_TRUE(sent > 0 && sent < 20);
  replay.Evacuate({ "b" });
  std::size_t rejected = 0;
  for (const std::uint64_t request : requests) {
    const ProxyAnswer* answer = replay.AnswerOf(request);
    if (answer != nullptr) {
      CHECK_TRUE(answer->code_ == ProxyCode::NoServer);
      CHECK_TRUE(answer->retryAfter_.count() > 0);
      ++rejected;
    }
  }
  LONGS_EQUAL(20 - sent, rejected);
  replay.Advance(seconds(3));
  std::size_t merged = 0;
  for (const std::uint64_t request : requests) {
    merged += replay.AnswerOf(request)->code_ == ProxyCode::Merged ? 1 : 0;
  }
  LONGS_EQUAL(sent, merged);
  LONGS_EQUAL(sent, replay.Servers()[0].arrivals_);
  LONGS_EQUAL(0, replay.Servers()[0].connections_);
}

// The domain's servers may be cold, or slow for other reasons, when it returns.
TEST(Evacuation, LoadReturnsAtOnce)
{
  Evacuations evacuations;
  const TimePoint begun{ seconds(100) };
  UpdateEvacuations(evacuations, { "a" }, begun);
  DOUBLES_EQUAL(1.0, ReturnFactor(evacuations, "a", begun), 1e-9);
  UpdateEvacuations(evacuations, {}, begun + seconds(1));
  double before = 10.0;
  for (int i = 0; i <= 5; ++i) {
    const double factor =
      ReturnFactor(evacuations, "a", begun + seconds(1 + i));
    CHECK_TRUE(factor < before);
    before = factor;
  }
  DOUBLES_EQUAL(1.0, before, 1e-9);
  DOUBLES_EQUAL(1.0, ReturnFactor(evacuations, "b", begun), 1e-9);
  UpdateEvacuations(evacuations, { "a" }, begun + seconds(2));
  CHECK_TRUE(IsEvacuated(evacuations, "a"));
  CHECK_TRUE(evacuations.endedAt_.empty());
}
