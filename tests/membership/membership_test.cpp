// Failure detection and joining: crashes are noticed in time, and pauses, loss,
// slow networks and partitions do not lead to wrong deaths.

#include "membership/fleet_fixture.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

constexpr Duration kTimeLimit = 300s; ///< Longer than any step takes.

/** A fleet in which all daemons know each other. */
Fleet
MakeConvergedFleet(std::size_t aSize, std::size_t aDomains, std::uint64_t aSeed)
{
  Fleet fleet(aSize, aDomains, aSeed);
  fleet.StartAll();
  fleet.SetReadyAll();
  fleet.RunUntil([&fleet] { return fleet.Converged(); }, kTimeLimit);
  CHECK_TRUE(fleet.Converged());
  fleet.Run(5s);
  return fleet;
}

struct SizeCase
{
  std::size_t size_;
  std::size_t domains_;
  Duration limit_; ///< Simulated time.
};

} // namespace

TEST_GROUP(Membership){};

TEST(Membership, AllFindEachOtherThroughSeeds)
{
  for (const SizeCase& row : std::vector<SizeCase>{ { 2, 1, 2s },
                                                    { 6, 3, 2s },
                                                    { 20, 4, 3s },
                                                    { 60, 6, 5s },
                                                    { 295, 7, 14s } }) {
    Fleet fleet(row.size_, row.domains_, row.size_);
    fleet.StartAll();
    const Duration taken =
      fleet.RunUntil([&fleet] { return fleet.Converged(); }, kTimeLimit);
    CHECK_TRUE_TEXT(taken < row.limit_, std::to_string(row.size_).c_str());
    fleet.Run(30s);
    CHECK_TRUE(fleet.Converged());
    CHECK_EQUAL(0U, fleet.CountTimeline(TimelineKind::MemberSuspected));
  }
}

TEST(Membership, IdleFleetEmitsNoMembersChanged)
{
  Fleet fleet = MakeConvergedFleet(6, 3, 1);
  fleet.Run(20s);
  std::uint64_t before = 0;
  std::uint64_t after = 0;
  for (const FleetNode& node : fleet.nodes_) {
    before += node.counters_.membersChanged_;
  }
  fleet.Run(60s);
  for (const FleetNode& node : fleet.nodes_) {
    after += node.counters_.membersChanged_;
  }
  CHECK_EQUAL(before, after);
}

TEST(Membership, SameSeedGivesSameDecisions)
{
  const std::uint64_t first = MakeConvergedFleet(20, 4, 9).DecisionsHash();
  CHECK_EQUAL(first, MakeConvergedFleet(20, 4, 9).DecisionsHash());
  CHECK_TRUE(first != MakeConvergedFleet(20, 4, 10).DecisionsHash());
}

namespace {

struct CrashCase
{
  const char* name_;
  std::size_t size_;
  std::vector<std::size_t> crashed_;
  bool refuses_;
};

} // namespace

TEST(Membership, CrashedDaemonsAreNotAliveAfterTwoSeconds)
{
  // clang-format off
  const std::vector<CrashCase> cases{
    { "2, process gone",      2,  { 1 },          true },
    { "2, VM silent",         2,  { 1 },          false },
    { "6, process gone",      6,  { 2 },          true },
    { "6, VM silent",         6,  { 2 },          false },
    { "6, three at once",     6,  { 0, 2, 5 },    false },
    { "20, three at once",    20, { 3, 4, 5 },    false },
    { "60, VM silent",        60, { 17 },         false },
    { "60, three at once",    60, { 1, 17, 59 },  false },
    { "60, a failure domain", 60, { 0, 6, 12, 18, 24, 30, 36, 42, 48, 54 }, false },
  };
  // clang-format on
  for (const CrashCase& row : cases) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet fleet = MakeConvergedFleet(row.size_, 6, seed);
      for (const std::size_t node : row.crashed_) {
        fleet.Crash(node, row.refuses_);
      }
      fleet.Run(2s);
      for (const std::size_t node : row.crashed_) {
        CHECK_FALSE_TEXT(fleet.AllSee(node, MemberState::Alive), row.name_);
        for (std::size_t i = 0; i < row.size_; ++i) {
          CHECK_TRUE_TEXT(!fleet.nodes_[i].running_ ||
                            fleet.StateOf(i, node) != MemberState::Alive,
                          row.name_);
        }
      }
      fleet.RunUntil([&fleet] { return fleet.Converged(); }, kTimeLimit);
      CHECK_TRUE_TEXT(fleet.Converged(), row.name_);
    }
  }
}

TEST(Membership, LeavingSpreadsAtOnce)
{
  for (const SizeCase& row : std::vector<SizeCase>{
         { 6, 3, 100ms }, { 20, 4, 500ms }, { 60, 6, 1s } }) {
    Fleet fleet = MakeConvergedFleet(row.size_, row.domains_, 4);
    fleet.InjectEvent(1, StopRequested{ "test" });
    const Duration taken = fleet.RunUntil(
      [&fleet] { return fleet.AllSee(1, MemberState::Leaving); }, kTimeLimit);
    CHECK_TRUE(taken <= row.limit_);
    // It still answers probes while it drains.
    fleet.Run(20s);
    CHECK_TRUE(fleet.AllSee(1, MemberState::Leaving));
    fleet.Crash(1, true);
    fleet.RunUntil([&fleet] { return fleet.Converged(); }, kTimeLimit);
    CHECK_TRUE(fleet.Converged());
    CHECK_EQUAL(0U, fleet.CountTimeline(TimelineKind::MemberSuspected));
  }
}

namespace {

/** How a daemon restarts on its VM. */
struct RestartCase
{
  const char* name_;
  Duration down_;
  bool otherName_;
  bool earlierClock_;
};

} // namespace

TEST(Membership, RestartedDaemonReplacesItsEarlierIncarnation)
{
  const std::vector<RestartCase> cases{
    { "before it was missed", 50ms, false, false },
    { "after it was declared dead", 20s, false, false },
    { "another name at the address", 50ms, true, false },
    { "another name, after it was declared dead", 20s, true, false },
    { "the clock runs behind", 20s, false, true },
  };
  for (const RestartCase& row : cases) {
    Fleet fleet = MakeConvergedFleet(6, 3, 5);
    fleet.Crash(4, true);
    fleet.Run(row.down_);
    if (row.otherName_) {
      fleet.nodes_[4].settings_.self_.name_ = "entry-4b";
    }
    if (row.earlierClock_) {
      fleet.StartAs(4, 5);
    } else {
      fleet.Start(4);
    }
    fleet.RunUntil([&fleet] { return fleet.Converged(); }, 20s);
    CHECK_TRUE_TEXT(fleet.Converged(), row.name_);
    fleet.Run(10s);
    CHECK_TRUE_TEXT(fleet.Converged(), row.name_);
    for (const FleetNode& node : fleet.nodes_) {
      CHECK_EQUAL_TEXT(6U, MembershipMembers(node.state_)->size(), row.name_);
    }
    CHECK_TRUE_TEXT(fleet.RecordOf(0, 4)->incarnation_ ==
                      MembershipSelf(fleet.nodes_[4].state_).incarnation_,
                    row.name_);
  }
}

TEST(Membership, LargerIncarnationKeepsDuplicateName)
{
  Fleet fleet = MakeConvergedFleet(6, 3, 5);
  fleet.nodes_[5].settings_.self_.name_ = "entry-4";
  fleet.Crash(5, true);
  fleet.Start(5);
  fleet.Run(30s);
  // The larger incarnation keeps the name; the other one does not raise its
  // own.
  CHECK_TRUE(MembershipSelf(fleet.nodes_[4].state_).incarnation_ <
             MembershipSelf(fleet.nodes_[5].state_).incarnation_);
  for (const std::size_t i : { 0, 1, 2, 3 }) {
    CHECK_TRUE(fleet.RecordOf(i, 4)->peerAddress_ ==
               fleet.nodes_[5].settings_.self_.peerAddress_);
    CHECK_TRUE(fleet.StateOf(i, 4) == MemberState::Alive);
  }
}

TEST(Membership, PausedDaemonSuspectsNoMember)
{
  for (const Duration pause : std::vector<Duration>{ 1s, 3s, 20s, 120s }) {
    Fleet fleet = MakeConvergedFleet(20, 4, 6);
    fleet.Pause(7);
    fleet.Run(pause);
    const std::size_t suspected = fleet.nodes_[7].state_.stats_.suspicions_;
    fleet.Resume(7);
    fleet.RunUntil([&fleet] { return fleet.Converged(); }, 10s);
    CHECK_TRUE(fleet.Converged());
    fleet.Run(10s);
    CHECK_TRUE(fleet.Converged());
    const MembershipStats stats =
      MembershipGetStats(fleet.nodes_[7].state_, fleet.GetNow());
    CHECK_EQUAL(suspected, stats.suspicions_);
    CHECK_EQUAL(0U, stats.deaths_);
    CHECK_TRUE(stats.pauses_ > 0);
  }
}

TEST(Membership, OneWayCutBetweenTwoCausesNoDeath)
{
  Fleet fleet = MakeConvergedFleet(6, 3, 7);
  fleet.Cut(1, 2);
  fleet.Run(60s);
  CHECK_TRUE(fleet.Converged());
  CHECK_EQUAL(0U, fleet.CountTimeline(TimelineKind::MemberDead));
}

namespace {

struct CutCase
{
  const char* name_;
  bool outward_; ///< Its messages are dropped.
  bool inward_;  ///< Messages to it are dropped.
  Duration time_;
};

} // namespace

TEST(Membership, CutOffDaemonIsDeclaredDeadAndRejoins)
{
  const std::vector<CutCase> cases{
    { "can't send", true, false, 30s },
    { "can't receive", false, true, 30s },
    { "cut off", true, true, 20s },
    { "cut off for minutes", true, true, 300s },
  };
  for (const CutCase& row : cases) {
    Fleet fleet = MakeConvergedFleet(20, 4, 8);
    for (std::size_t i = 0; i < 20; ++i) {
      if (i != 3 && row.outward_) {
        fleet.Cut(3, i);
      }
      if (i != 3 && row.inward_) {
        fleet.Cut(i, 3);
      }
    }
    fleet.Run(2s);
    for (std::size_t i = 0; i < 20; ++i) {
      CHECK_TRUE_TEXT(i == 3 || fleet.StateOf(i, 3) != MemberState::Alive,
                      row.name_);
    }
    fleet.Run(row.time_);
    CHECK_TRUE_TEXT(fleet.AllSee(3, MemberState::Dead), row.name_);
    fleet.Heal();
    const Duration taken =
      fleet.RunUntil([&fleet] { return fleet.Converged(); }, kTimeLimit);
    CHECK_TRUE_TEXT(taken < 15s, row.name_);
    fleet.Run(20s);
    CHECK_TRUE_TEXT(fleet.Converged(), row.name_);
  }
}

TEST(Membership, PartitionedRegionsMergeAfterHealing)
{
  for (const std::size_t size : { std::size_t{ 6 }, std::size_t{ 60 } }) {
    Fleet fleet = MakeConvergedFleet(size, 6, 11);
    std::set<std::size_t> region;
    for (std::size_t i = 0; i < size / 3; ++i) {
      region.insert(i);
    }
    fleet.CutBothWays(region);
    fleet.Run(240s);
    // Each side declares the other dead.
    CHECK_TRUE(fleet.StateOf(0, size - 1) == MemberState::Dead);
    CHECK_TRUE(fleet.StateOf(size - 1, 0) == MemberState::Dead);
    CHECK_TRUE(fleet.StateOf(size - 1, size - 2) == MemberState::Alive);
    fleet.Heal();
    const Duration taken =
      fleet.RunUntil([&fleet] { return fleet.Converged(); }, kTimeLimit);
    CHECK_TRUE(taken < 15s);
  }
}

TEST(Membership, MessageLossCausesNoDeath)
{
  for (const double loss : { 0.01, 0.05, 0.10 }) {
    Fleet fleet = MakeConvergedFleet(20, 4, 12);
    fleet.loss_ = loss;
    fleet.Run(180s);
    CHECK_EQUAL(0U, fleet.CountTimeline(TimelineKind::MemberDead));
    fleet.loss_ = 0.0;
    fleet.Run(5s);
    CHECK_TRUE(fleet.Converged());
  }
}

TEST(Membership, SlowNetworkCausesNoDeath)
{
  Fleet fleet = MakeConvergedFleet(20, 4, 13);
  fleet.minDelay_ = 100ms;
  fleet.maxDelay_ = 300ms;
  fleet.Run(120s);
  CHECK_EQUAL(0U, fleet.CountTimeline(TimelineKind::MemberDead));
  CHECK_TRUE(fleet.Converged());
}
