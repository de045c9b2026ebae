// Servers in need name the requests a second that they take from all daemons
// together. They must not get more, and callers are served with what is left.
#include "gateway/replay_fixture.h"
#include "gateway/shared_fixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kQuery = "/query/a";
constexpr std::size_t kShards = 20;

// The platform's bounds.
constexpr Duration kWindow = seconds(4);
constexpr Duration kGrace = seconds(1); ///< By then all daemons know it.
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5.0;

/** Servers of the first shards that name a limit. */
struct LimitCase
{
  const char* name_;
  std::size_t daemons_;
  double perSecond_; ///< Limit of a server.
  std::size_t shards_;
  std::size_t replicas_; ///< Of each of these shards.
  double load_;          ///< Queries a second.
  double served_;        ///< Share of the queries answered, at least.
};

} // namespace

TEST_GROUP(Limit){};

TEST(Limit, ServersGetMoreRequestsThanTheyNamed)
{
  const std::vector<LimitCase> cases{
    { "one replica, the other takes over", 6, 20, 14, 1, 90, 0.98 },
    { "both replicas of some shards", 6, 22, 10, 2, 90, 0.3 },
    { "both replicas of few enough shards", 6, 22, 2, 2, 90, 0.98 },
    { "low limit", 6, 2, 20, 1, 60, 0.9 },
    { "next to nothing", 6, 0, 20, 1, 60, 0.9 },
    { "many daemons", 20, 25, 14, 1, 90, 0.98 },
  };
  for (const LimitCase& item : cases) {
    Replay replay(item.daemons_, 42);
    replay.AddShards(kShards);
    replay.SetRoute(MakeQueryRoute(kShards, 0.89, 20));
    replay.Publish();
    const TimePoint begun = replay.Clock();
    const Duration limitedFrom = seconds(3);
    const Duration limitedTo = seconds(20);
    const auto setLimits = [&](std::optional<double> aLimit) {
      for (std::size_t i = 0; i < item.shards_ * 2; ++i) {
        if (i % 2 < item.replicas_) {
          replay.Servers()[i].limit_ = aLimit;
        }
      }
    };
    replay.At(limitedFrom, [&]() { setLimits(item.perSecond_); });
    replay.At(limitedTo, [&]() { setLimits(std::nullopt); });
    const ReplayLoad load{
      kQuery, item.load_, milliseconds(14), seconds(2), 1
    };
    const ReplayResult result = replay.Run({ load }, seconds(24))[kQuery];
    const double allowed =
      kAllowedFactor * item.perSecond_ * 4.0 + kAllowedExtra;
    for (std::size_t i = 0; i < item.shards_ * 2; ++i) {
      if (i % 2 < item.replicas_) {
        const std::size_t largest =
          CountLargestWindow(replay.Servers()[i].arrivalTimes_,
                             kWindow,
                             begun + limitedFrom + kGrace,
                             begun + limitedTo);
        CHECK_TEXT(static_cast<double>(largest) <= allowed,
                   (std::string(item.name_) + ": " + std::to_string(largest) +
                    " of " + std::to_string(allowed))
                     .c_str());
      }
    }
    const double served = static_cast<double>(result.onTime_ + result.late_) /
                          static_cast<double>(result.asked_);
    CHECK_TEXT(
      served >= item.served_,
      (std::string(item.name_) + ": served " + std::to_string(served)).c_str());
  }
}
