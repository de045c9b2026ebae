// Many different requests that crash each server that runs them, each resent
// by its caller, among queries that crash nothing.
#include "gateway/replay_fixture.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <functional>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = 6;
constexpr double kQueriesPerSecond = 60.0;
constexpr double kCrashingShare = 0.03;
constexpr Duration kTime = seconds(20);
constexpr Duration kResendAfter = seconds(3);
constexpr int kResends = 5;

/** A service of some shards with three servers each. */
struct LoadCase
{
  const char* name_;
  std::size_t shards_;
  Duration backAfter_;   ///< Until a crashed server is back.
  std::size_t contents_; ///< Of the other queries.
  double quality_;       ///< Of the other queries, at least.
  std::size_t crashes_;  ///< At most.
};

} // namespace

TEST_GROUP(CrashLoad){};

// Without holding back, each such request crashes up to two servers of each
// shard, several times.
TEST(CrashLoad, OtherQueriesAreLostWithTheServers)
{
  for (const LoadCase& item : std::vector<LoadCase>{
         { "12 shards", 12, milliseconds(2000), 400, 0.7, 200 },
         { "30 shards", 30, milliseconds(2000), 400, 0.7, 200 },
         { "30 shards, slow starts", 30, milliseconds(3500), 400, 0.7, 200 },
         { "30 shards, repeated content",
           30,
           milliseconds(2000),
           10,
           0.7,
           200 },
       }) {
    Replay replay(kDaemons, 17);
    for (std::size_t i = 0; i < item.shards_ * 3; ++i) {
      replay.AddServer("shard" + std::to_string(i / 3), 1.0).crashesOn_ = true;
    }
    replay.SetRoute(MakeQueryRoute(item.shards_, 0.7, 5));
    replay.OnCrash([&](std::size_t aServer) {
      replay.Crash(aServer);
      replay.At(item.backAfter_, [&replay, aServer]() {
        ModelServer& server = replay.Servers()[aServer];
        server.fault_ = ModelFault::None;
        ++server.incarnation_;
        replay.Announce();
      });
    });
    replay.Publish();
    Rng rng(3);
    std::exponential_distribution<double> gap(kQueriesPerSecond *
                                              kCrashingShare);
    int content = 0;
    for (double at = gap(rng); at < 20.0; at += gap(rng), ++content) {
      for (int i = 0; i <= kResends; ++i) {
        const std::string target = "/query/poison" + std::to_string(content);
        replay.At(Duration(static_cast<std::int64_t>(at * 1e6)) +
                    i * kResendAfter,
                  [&replay, &rng, target]() {
                    replay.SendRequest(rng() % kDaemons, target, seconds(2));
                  });
      }
    }
    std::vector<ReplayLoad> loads;
    for (std::size_t i = 0; i < item.contents_; ++i) {
      loads.push_back({ "/query/good" + std::to_string(i),
                        kQueriesPerSecond * (1.0 - kCrashingShare) /
                          static_cast<double>(item.contents_),
                        milliseconds(15),
                        seconds(2),
                        1 });
    }
    ReplayResult result;
    for (const auto& [target, one] : replay.Run(loads, kTime)) {
      result.asked_ += one.asked_;
      result.quality_ += one.quality_;
    }
    const std::string seen = std::string(item.name_) + ": quality " +
                             std::to_string(result.MeanQuality()) +
                             ", crashes " +
                             std::to_string(replay.Crashes().size()) + " of " +
                             std::to_string(content) + " contents";
    CHECK_TEXT(result.MeanQuality() >= item.quality_, seen.c_str());
    CHECK_TEXT(replay.Crashes().size() <= item.crashes_, seen.c_str());
  }
}

// Each query waits for its first shard although none crashes servers.
TEST(CrashLoad, AskingOneShardFirstCostsOtherQueriesTooMuch)
{
  std::array<double, 2> quality{};
  for (const bool inWave : { false, true }) {
    Replay replay(kDaemons, 17);
    for (std::size_t i = 0; i < 90; ++i) {
      ModelServer& server =
        replay.AddServer("shard" + std::to_string(i / 3), 1.0);
      server.pauseEvery_ = milliseconds(4000);
      server.pauseFor_ = milliseconds(180);
      server.pauseAt_ = milliseconds(443 * i);
    }
    replay.SetRoute(MakeQueryRoute(30, 0.7, 5));
    replay.Publish();
    for (std::size_t i = 0; i < kDaemons; ++i) {
      replay.Daemon(i).crashWaveUntil_ = inWave ? kNever : TimePoint{};
    }
    const ReplayLoad load{
      "/query/good", kQueriesPerSecond, milliseconds(15), seconds(2), 1
    };
    const ReplayResult result = replay.Run({ load }, kTime)[load.target_];
    quality.at(inWave ? 1 : 0) = result.MeanQuality();
  }
  CHECK_TRUE(quality[1] >= 0.97 * quality[0]);
}
