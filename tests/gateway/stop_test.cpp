// A planned stop: every request that the daemon has taken is answered before
// the process ends, however late it came.
#include "gateway/replay_fixture.h"
#include "gateway/shared_fixture.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kGrace = seconds(6);

/** One request during the stop; its server answers never. */
struct StopCase
{
  const char* name_;
  RequestKind kind_;
  Duration sentAt_; ///< After the stop began.
  bool taken_;      ///< Passed on to a server.
};

} // namespace

TEST_GROUP(Stop){};

TEST(Stop, LateRequestsAreCutWithoutAnAnswer)
{
  using enum RequestKind;
  const std::vector<StopCase> cases{
    { "before", Idempotent, milliseconds(-500), true },
    { "before, once", NonIdempotent, milliseconds(-500), true },
    { "early", Idempotent, seconds(1), true },
    { "early, once", NonIdempotent, seconds(1), true },
    { "half way", Idempotent, milliseconds(3500), true },
    { "half way, once", NonIdempotent, milliseconds(3500), false },
    { "late", Idempotent, milliseconds(4900), false },
    { "late, once", NonIdempotent, milliseconds(4900), false },
    { "at the end", Idempotent, milliseconds(5390), false },
    { "at the end, once", NonIdempotent, milliseconds(5390), false },
  };
  for (const StopCase& item : cases) {
    Replay replay(1, 5);
    replay.AddShards(1);
    replay.SetRoute(MakePlainRoute(item.kind_, seconds(8)));
    replay.Publish();
    // Connections stay open, but no answer comes.
    for (ModelServer& server : replay.Servers()) {
      server.pauseEvery_ = seconds(1000);
      server.pauseFor_ = seconds(999);
    }
    std::uint64_t request = 0;
    const std::uint64_t before = replay.Sends();
    replay.At(seconds(1), [&]() {
      const TimePoint now = replay.Clock();
      GatewayBeginStop(replay.Daemon(0),
                       { now + kGrace / 2, now + kGrace * 87 / 100 });
    });
    replay.At(seconds(1) + item.sentAt_, [&]() {
      request = replay.SendRequest(0, "/plain/a", seconds(8));
    });
    replay.Advance(seconds(1) + kGrace * 9 / 10);
    const ProxyAnswer* answer = replay.AnswerOf(request);
    CHECK_TRUE_TEXT(answer != nullptr, item.name_);
    CHECK_TEXT((answer->code_ == ProxyCode::Stopping) != item.taken_,
               item.name_);
    CHECK_TEXT((replay.Sends() > before) == item.taken_, item.name_);
    // Only "did not run" comes with a time to retry.
    CHECK_TEXT((answer->retryAfter_.count() > 0) == !item.taken_, item.name_);
    LONGS_EQUAL_TEXT(0, GatewayInFlight(replay.Daemon(0)), item.name_);
  }
}
