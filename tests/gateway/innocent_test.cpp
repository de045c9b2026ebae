// Requests that are in flight when servers end or connections break for another
// reason: their content must stay served.
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

constexpr std::size_t kDaemons = 6;
constexpr std::size_t kServers = 6;
constexpr Duration kTime = seconds(40);

/** Another reason, applied to a replay whose load lasts for kTime. */
struct OtherCause
{
  const char* name_;
  std::function<void(Replay&)> apply_;
};

void
Restart(Replay& aReplay, std::size_t aServer)
{
  ModelServer& server = aReplay.Servers()[aServer];
  server.fault_ = ModelFault::None;
  server.draining_ = false;
  ++server.incarnation_;
  aReplay.Announce();
}

/** All servers end together and are back after 3 s. */
void
LosePower(Replay& aReplay, Duration aAt)
{
  aReplay.At(aAt, [&aReplay]() {
    for (std::size_t i = 0; i < kServers; ++i) {
      aReplay.Crash(i);
    }
  });
  aReplay.At(aAt + seconds(3), [&aReplay]() {
    for (std::size_t i = 0; i < kServers; ++i) {
      Restart(aReplay, i);
    }
  });
}

/** Servers end one after the other. */
void
RollServers(Replay& aReplay, bool aDrain)
{
  for (std::size_t i = 0; i < kServers; ++i) {
    const Duration at = seconds(4) + i * seconds(5);
    aReplay.At(at - seconds(1), [&aReplay, i, aDrain]() {
      aReplay.Servers()[i].draining_ = aDrain;
      aReplay.Announce();
    });
    aReplay.At(at, [&aReplay, i]() { aReplay.Crash(i); });
    aReplay.At(at + seconds(2), [&aReplay, i]() { Restart(aReplay, i); });
  }
}

/** Each server resets its answers for 0.3 s in each 2 s, and accepts no
 * connections during the last third of it. */
void
ResetAnswers(Replay& aReplay)
{
  for (Duration at = seconds(2); at < kTime; at += milliseconds(2000)) {
    for (std::size_t i = 0; i < kServers; ++i) {
      const Duration begin = at + i * milliseconds(150);
      const auto set = [&aReplay, i](ModelFault aFault) {
        return
          [&aReplay, i, aFault]() { aReplay.Servers()[i].fault_ = aFault; };
      };
      aReplay.At(begin, set(ModelFault::Reset));
      aReplay.At(begin + milliseconds(200), set(ModelFault::Down));
      aReplay.At(begin + milliseconds(300), set(ModelFault::None));
    }
  }
}

/** All servers go dark together, and are back one after the other. */
void
LosePowerDark(Replay& aReplay, Duration aAt)
{
  for (std::size_t i = 0; i < kServers; ++i) {
    aReplay.At(aAt, [&aReplay, i]() { aReplay.GoDark(i); });
    aReplay.At(aAt + milliseconds(4200) + i * milliseconds(150),
               [&aReplay, i]() { aReplay.Restart(i); });
  }
  aReplay.At(aAt + milliseconds(3600), [&aReplay]() {
    for (ModelServer& server : aReplay.Servers()) {
      server.listed_ = false;
    }
    aReplay.Announce();
  });
}

/** Servers go dark one after the other, under nothing, up to two at a time. */
void
DarkenServers(Replay& aReplay)
{
  for (std::size_t i = 0; i < 2 * kServers; ++i) {
    const std::size_t server = i % kServers;
    const Duration at = seconds(4) + i * milliseconds(2500);
    aReplay.At(at, [&aReplay, server]() { aReplay.GoDark(server); });
    aReplay.At(at + milliseconds(3600), [&aReplay, server]() {
      aReplay.Servers()[server].listed_ = false;
      aReplay.Announce();
    });
    aReplay.At(at + milliseconds(4500),
               [&aReplay, server]() { aReplay.Restart(server); });
  }
}

/** A server neither answers nor reaches the store for 4.5 s, then it goes on.
 */
void
Freeze(Replay& aReplay, std::size_t aServer, Duration aAt)
{
  aReplay.At(aAt, [&aReplay, aServer]() { aReplay.GoDark(aServer); });
  aReplay.At(aAt + milliseconds(3600), [&aReplay, aServer]() {
    aReplay.Servers()[aServer].listed_ = false;
    aReplay.Announce();
  });
  aReplay.At(aAt + milliseconds(4500), [&aReplay, aServer]() {
    aReplay.Servers()[aServer].fault_ = ModelFault::None;
    aReplay.Servers()[aServer].listed_ = true;
    aReplay.Announce();
  });
}

/** The link between the daemons and a service is cut, twice. */
void
CutLink(Replay& aReplay)
{
  for (const Duration at : { seconds(5), seconds(18) }) {
    for (std::size_t i = 0; i < kServers; ++i) {
      Freeze(aReplay, i, at);
    }
  }
}

void
FreezeServers(Replay& aReplay)
{
  for (std::size_t i = 0; i < kServers; ++i) {
    Freeze(aReplay, i, seconds(4) + i * milliseconds(2500));
  }
}

void
GarbleAnswers(Replay& aReplay)
{
  for (ModelServer& server : aReplay.Servers()) {
    server.lateCopies_ = true;
    server.dropsIdle_ = milliseconds(150);
  }
}

} // namespace

TEST_GROUP(Innocent){};

// One caller repeats one request at all daemons, so that several with the same
// content are in flight on several servers at any moment.
TEST(Innocent, RepeatedContentIsQuarantined)
{
  const std::vector<OtherCause> causes{
    { "a loss of power",
      [](Replay& aReplay) { LosePower(aReplay, seconds(5)); } },
    { "two losses of power",
      [](Replay& aReplay) {
        LosePower(aReplay, seconds(5));
        LosePower(aReplay, seconds(17));
      } },
    { "a rolling release",
      [](Replay& aReplay) { RollServers(aReplay, true); } },
    { "servers killed in turn",
      [](Replay& aReplay) { RollServers(aReplay, false); } },
    { "resets", ResetAnswers },
    { "resets and a loss of power",
      [](Replay& aReplay) {
        ResetAnswers(aReplay);
        LosePower(aReplay, seconds(5));
      } },
    { "copies and dropped connections", GarbleAnswers },
    { "servers go dark in turn", DarkenServers },
    { "servers go dark together",
      [](Replay& aReplay) { LosePowerDark(aReplay, seconds(5)); } },
    { "servers go dark together, twice",
      [](Replay& aReplay) {
        LosePowerDark(aReplay, seconds(5));
        LosePowerDark(aReplay, seconds(17));
      } },
    { "a link is cut", CutLink },
    { "servers freeze in turn", FreezeServers },
  };
  std::string failures;
  for (const OtherCause& cause : causes) {
    for (const std::uint64_t seed : { 1, 2, 3 }) {
      Replay replay(kDaemons, seed);
      for (std::size_t i = 0; i < kServers; ++i) {
        replay.AddServer("shard0", 1.0).breaksInAnswers_ = true;
      }
      replay.SetRoute(MakePlainRoute(RequestKind::Idempotent, seconds(2)));
      replay.Publish();
      cause.apply_(replay);
      replay.Run({ { "/plain/x", 120.0, milliseconds(60) } }, kTime);
      std::uint64_t quarantined = 0;
      for (std::size_t i = 0; i < kDaemons; ++i) {
        quarantined +=
          replay.Daemon(i)
            .stats_.byCode_[static_cast<std::size_t>(ProxyCode::Quarantined)];
      }
      if (quarantined > 0) {
        failures += std::string("\n") + cause.name_ + ", seed " +
                    std::to_string(seed) + ": " + std::to_string(quarantined);
      }
    }
  }
  STRCMP_EQUAL("", failures.c_str());
}

// A server pauses under a request, answers others on newer connections, and
// crashes for another reason later.
TEST(Innocent, RequestLostBeforeACrashCountsAsItsCause)
{
  Replay replay(1, 1);
  ModelServer& server = replay.AddServer("shard0", 1.0);
  server.accepts_ = 1;
  replay.SetRoute(MakePlainRoute(RequestKind::Idempotent, seconds(2)));
  replay.Publish();
  replay.Advance(seconds(1));
  replay.GoDark(0);
  replay.SendRequest(0, "/plain/x", milliseconds(900));
  replay.Advance(seconds(1));
  server.fault_ = ModelFault::None;
  replay.Advance(seconds(1));
  const std::uint64_t later =
    replay.SendRequest(0, "/plain/y", milliseconds(900));
  replay.Advance(seconds(3));
  const ProxyAnswer* answer = replay.AnswerOf(later);
  CHECK_TRUE(answer != nullptr && answer->code_ == ProxyCode::Forwarded);
  replay.Crash(0);
  server.listed_ = false;
  replay.Announce();
  replay.Advance(seconds(1));
  const GatewayStats& stats = replay.Daemon(0).stats_;
  LONGS_EQUAL(1, stats.silentAttempts_);
  LONGS_EQUAL(0, stats.crashesSuspected_);
}
