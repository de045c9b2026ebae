// Rates of organisations over all daemons: uneven, shifting callers, and owners
// that die, pause, are cut off or change. In every window the sum stays within
// the tolerance; hardly any request below the cap is refused.
#include "gateway/cap_replay_fixture.h"
#include "gateway/fleet/fleet_majority.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct SizeCase
{
  std::size_t daemons_;
  double loss_; ///< Largest share refused below the cap.
};

struct FaultCase
{
  const char* name_;
  void (*act_)(CapReplay&);
  std::size_t daemons_;
  /** Time without an owner, for the caps whose owner is gone: until the others
   * know, and another daemon may grant. */
  double outageSeconds_;
  double loss_; ///< Share refused below the cap besides.
};

/** Time in which callers ask. */
constexpr double kAskingSeconds = 33.0;
/** Detection and gossip of the replay, and the time until a takeover. */
constexpr double kTakeoverSeconds = 3.0 + 0.8 + 1.5;
/** Time in which a fleet that was killed is to serve again: views, then half a
 * second in which they agree. */
constexpr double kRejoinSeconds = 0.2 + 0.5;

void
KillOwners(CapReplay& aReplay)
{
  for (int i = 0; i < 2; ++i) {
    aReplay.At(seconds(20),
               [&aReplay]() { aReplay.Kill(aReplay.BusiestOwner()); });
  }
}

void
PauseOwner(CapReplay& aReplay)
{
  aReplay.At(seconds(20), [&aReplay]() {
    aReplay.Pause(aReplay.BusiestOwner(), milliseconds(1800));
  });
}

// Long enough that the others take over meanwhile.
void
PauseOwnerForLong(CapReplay& aReplay)
{
  aReplay.At(seconds(20), [&aReplay]() {
    const std::size_t owner = aReplay.BusiestOwner();
    aReplay.Pause(owner, seconds(6));
    aReplay.LeaveViews(owner, milliseconds(3000), seconds(8));
  });
}

void
Partition(CapReplay& aReplay)
{
  aReplay.At(seconds(20), [&aReplay]() { aReplay.Split(0.3); });
  aReplay.At(seconds(32), [&aReplay]() { aReplay.Heal(); });
}

void
DifferingViews(CapReplay& aReplay)
{
  for (int i = 0; i < 20; ++i) {
    aReplay.At(milliseconds(20000 + 300 * i), [&aReplay]() {
      aReplay.LeaveViews(aReplay.AnyDaemon(), milliseconds(0), seconds(2));
    });
  }
}

void
ManyJoin(CapReplay& aReplay)
{
  for (int i = 0; i < 200; ++i) {
    aReplay.At(milliseconds(20000 + 15 * i), [&aReplay]() { aReplay.Join(); });
  }
}

void
AllRestart(CapReplay& aReplay)
{
  aReplay.At(seconds(20), [&aReplay]() { aReplay.RestartAll(); });
}

void
RestartHalf(CapReplay& aReplay)
{
  aReplay.At(seconds(20), [&aReplay]() { aReplay.RestartSome(0.55); });
}

void
RestartAtOnce(CapReplay& aReplay)
{
  aReplay.At(seconds(20), [&aReplay]() { aReplay.RestartSome(1.0); });
}

// The second time strikes owners that wait or have just begun.
void
RestartTwice(CapReplay& aReplay)
{
  RestartAtOnce(aReplay);
  aReplay.At(milliseconds(20600), [&aReplay]() { aReplay.RestartSome(1.0); });
  aReplay.At(milliseconds(24000), [&aReplay]() { aReplay.RestartSome(0.55); });
}

void
LowerCaps(CapReplay& aReplay)
{
  aReplay.At(seconds(20), [&aReplay]() { aReplay.ScaleCaps(0.2); });
}

void
LoseMessages(CapReplay& aReplay)
{
  aReplay.LoseMessages(0.05);
}

} // namespace

TEST_GROUP(RateCap){};

// When half of the fleet is killed, those that remain refused every request of
// an organisation until the others were back. A side of a partition must have
// stopped before the other one takes over.
TEST(RateCap, GrantsGoOnForAMomentWithoutAMajority)
{
  struct Step
  {
    int millis_;
    std::size_t alive_;
    bool grants_;
  };
  const Step steps[] = {
    { 0, 66, true },     { 1000, 30, true }, { 1900, 30, true },
    { 2100, 30, false }, { 3200, 40, true }, { 4000, 33, true },
    { 5300, 33, false },
  };
  FleetSize size;
  for (const Step& step : steps) {
    CHECK_EQUAL(
      step.grants_,
      MayGoOnGranting(size,
                      step.alive_,
                      TimePoint{} + seconds(100) + milliseconds(step.millis_)));
  }
  // One that has never seen a majority has nothing to go on with.
  FleetSize fresh;
  fresh.largest_ = 66;
  fresh.reachedAt_ = TimePoint{} + seconds(100);
  CHECK_FALSE(MayGoOnGranting(fresh, 3, TimePoint{} + seconds(100)));
}

// Guards against refusals below the cap because the tokens are at a daemon
// whose callers have moved, and against sums above it.
TEST(RateCap, UnevenShiftingCallers)
{
  const std::vector<SizeCase> cases{ { 6, 0.01 }, { 66, 0.01 }, { 295, 0.01 } };
  for (const SizeCase& item : cases) {
    CapReplay replay(item.daemons_, 17);
    replay.Run(seconds(45));
    const CapReplayResult result = replay.Result();
    const std::string name = std::to_string(item.daemons_) + " daemons";
    ReportCapFigures(name.c_str(), result);
    CHECK_TEXT(result.excess_ <= 0.0, name.c_str());
    CHECK_TEXT(result.lossShare_ <= item.loss_, name.c_str());
    CHECK_TEXT(result.fixedLossShare_ > 5 * item.loss_, name.c_str());
  }
}

// Guards against two daemons that grant the whole cap each, and against a burst
// that is granted again by the next owner. Losses last until the others know.
TEST(RateCap, FaultsOfOwners)
{
  // Callers on the smaller side have no owner for 12 s, and those on the other
  // lose the owners that are cut off until they are replaced.
  constexpr double kCut = 0.3;
  constexpr double kPartitionLoss =
    kCut * 12 / kAskingSeconds +
    (1 - kCut) * kCut * (kTakeoverSeconds + 1) / kAskingSeconds;
  // Views take 1.2 s, then the time until a takeover passes.
  constexpr double kRestartLoss = (1.2 + 1.5) / kAskingSeconds;
  // The bursts, a second of each cap, may have been used before the restart.
  constexpr double kEmptyBuckets = 1.0 / kAskingSeconds;
  const std::vector<FaultCase> cases{
    { "owner killed", KillOwners, 66, kTakeoverSeconds, 0.01 },
    { "owner of six killed", KillOwners, 6, kTakeoverSeconds, 0.02 },
    { "owner paused", PauseOwner, 66, 1.8, 0.01 },
    { "owner paused for long", PauseOwnerForLong, 66, kTakeoverSeconds, 0.01 },
    { "partition", Partition, 66, 0.0, 0.01 + kPartitionLoss },
    { "views that differ", DifferingViews, 66, 0.0, 0.03 },
    { "many join", ManyJoin, 66, 0.0, 0.05 },
    { "all restart", AllRestart, 66, 0.0, 0.01 + kRestartLoss },
    { "half restart at once",
      RestartHalf,
      66,
      kRejoinSeconds,
      kEmptyBuckets * 0.55 },
    { "all restart at once", RestartAtOnce, 66, kRejoinSeconds, kEmptyBuckets },
    { "all restart twice",
      RestartTwice,
      66,
      kRejoinSeconds,
      3 * kEmptyBuckets },
    { "caps lowered", LowerCaps, 66, 0.0, 0.01 },
    { "messages lost", LoseMessages, 66, 0.0, 0.10 },
  };
  for (const FaultCase& item : cases) {
    CapReplay replay(item.daemons_, 23);
    item.act_(replay);
    replay.Run(seconds(45));
    const CapReplayResult result = replay.Result();
    ReportCapFigures(item.name_, result);
    CHECK_TEXT(result.excess_ <= 0.0, item.name_);
    const double outage =
      result.affected_ * item.outageSeconds_ / kAskingSeconds;
    CHECK_TEXT(result.lossShare_ <= item.loss_ + outage, item.name_);
  }
}

// Guards against two sides of a partition that both grant, and against a fleet
// that is made smaller for good and never grants again.
TEST(RateCap, MajorityOfTheRecentFleet)
{
  struct Step
  {
    Duration at_;
    std::size_t alive_;
    bool majority_;
  };
  const std::vector<Step> steps{
    { seconds(0), 1, true },    { seconds(1), 20, true },
    { seconds(2), 11, true },   { seconds(3), 10, false },
    { seconds(60), 6, false },  { seconds(90), 20, true },
    { seconds(100), 8, false }, { seconds(689), 8, false },
    { seconds(691), 8, true },  { seconds(692), 4, false },
    { seconds(693), 20, true },
  };
  FleetSize size;
  for (const Step& step : steps) {
    const TimePoint now = TimePoint{ seconds(1000) } + step.at_;
    CHECK_EQUAL_TEXT(step.majority_,
                     SeesMajority(size, step.alive_, now),
                     std::to_string(step.at_.count()).c_str());
  }
}
