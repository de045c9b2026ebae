// Dissemination of rumors, generations and the VM list: how fast they reach all
// daemons, that storage is bounded, and that platform calls do not grow.

#include "membership/fleet_fixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

constexpr Duration kTimeLimit = 300s;

struct SpreadCase
{
  std::size_t size_;
  double loss_;
  Duration limit_; ///< Simulated time.
};

void
Converge(Fleet& aFleet)
{
  aFleet.StartAll();
  aFleet.SetReadyAll();
  aFleet.RunUntil([&aFleet] { return aFleet.Converged(); }, kTimeLimit);
  CHECK_TRUE(aFleet.Converged());
  aFleet.Run(5s);
}

/** Whether every daemon but the origin received a rumor about the server. */
bool
AllReceivedRumor(const Fleet& aFleet,
                 std::size_t aOrigin,
                 const std::string& aServer)
{
  for (std::size_t i = 0; i < aFleet.nodes_.size(); ++i) {
    if (i != aOrigin && !aFleet.nodes_[i].rumorsHeard_.contains(aServer)) {
      return false;
    }
  }
  return true;
}

bool
AllKnowGeneration(const Fleet& aFleet, std::uint64_t aGeneration)
{
  return std::all_of(
    aFleet.nodes_.begin(), aFleet.nodes_.end(), [&](const FleetNode& aNode) {
      const auto members = MembershipMembers(aNode.state_);
      return std::all_of(
        members->begin(), members->end(), [&](const MemberRecord& aRecord) {
          return aRecord.generation_.value_ == aGeneration;
        });
    });
}

VmRecord
ServerVm(const std::string& aName, bool aLeaving)
{
  VmRecord vm;
  vm.name_ = aName;
  vm.address_ = "10.9.0.1:80";
  vm.entry_ = false;
  vm.leaving_ = aLeaving;
  return vm;
}

} // namespace

TEST_GROUP(Spread){};

TEST(Spread, RumorReachesAllOnceWithinTwoSeconds)
{
  for (const SpreadCase& row : std::vector<SpreadCase>{ { 6, 0.0, 2s },
                                                        { 6, 0.1, 2s },
                                                        { 20, 0.1, 2s },
                                                        { 60, 0.0, 2s },
                                                        { 60, 0.1, 2s },
                                                        { 150, 0.05, 2s } }) {
    Fleet fleet(row.size_, 6, 21);
    Converge(fleet);
    fleet.loss_ = row.loss_;
    fleet.Spread(3,
                 LeavingRumor{ "server-1", true, fleet.GetNow().unixMicros_ });
    const Duration taken = fleet.RunUntil(
      [&fleet] { return AllReceivedRumor(fleet, 3, "server-1"); }, kTimeLimit);
    CHECK_TRUE(taken <= row.limit_);
    fleet.Run(30s);
    CHECK_TRUE(fleet.nodes_[3].rumorsHeard_.empty());
    for (std::size_t i = 0; i < row.size_; ++i) {
      CHECK_TRUE(i == 3 || fleet.nodes_[i].rumorsHeard_["server-1"] == 1);
    }
  }
}

namespace {

/** A second rumor about the same server. */
struct RumorOverrideCase
{
  const char* name_;
  bool leaving_;
  Duration after_; ///< Between their time stamps.
  bool isNew_;
};

} // namespace

TEST(Spread, LaterRumorOverridesEarlierOne)
{
  // clang-format off
  const std::vector<RumorOverrideCase> cases{
    { "found by another daemon too", true,  1s,  false },
    { "found again later",           true,  10s, true },
    { "withdrawn",                   false, 1s,  true },
    { "withdrawn before",            false, -1s, false },
    { "the same",                    true,  0s,  false },
  };
  // clang-format on
  for (const RumorOverrideCase& row : cases) {
    Fleet fleet(6, 3, 22);
    Converge(fleet);
    const std::int64_t stamp = fleet.GetNow().unixMicros_;
    fleet.Spread(0, LeavingRumor{ "s", true, stamp });
    fleet.Run(2s);
    fleet.Spread(1,
                 LeavingRumor{ "s", row.leaving_, stamp + row.after_.count() });
    fleet.Run(2s);
    CHECK_EQUAL_TEXT(
      row.isNew_ ? 2 : 1, fleet.nodes_[5].rumorsHeard_["s"], row.name_);
  }
}

TEST(Spread, QuarantineOnlyGrowsAndExpires)
{
  Fleet fleet(6, 3, 23);
  Converge(fleet);
  const std::int64_t now = fleet.GetNow().unixMicros_;
  const std::int64_t until = now + Duration(60s).count();
  fleet.Spread(0, QuarantineRumor{ Fingerprint{ 7 }, 2, until });
  fleet.Run(2s);
  fleet.Spread(1, QuarantineRumor{ Fingerprint{ 7 }, 1, until - 5 });
  fleet.Run(2s);
  for (const FleetNode& node : fleet.nodes_) {
    CHECK_EQUAL(1U, node.state_.rumors_.size());
    const auto& known =
      std::get<QuarantineRumor>(node.state_.rumors_.begin()->second.rumor_);
    CHECK_EQUAL(2U, known.crashes_);
    CHECK_TRUE(known.untilUnixMicros_ == until);
  }
  fleet.Run(70s);
  for (const FleetNode& node : fleet.nodes_) {
    CHECK_TRUE(node.state_.rumors_.empty());
  }
}

// A count merged by its maximum stays at one when each daemon has seen another
// crash.
TEST(Spread, CrashesSeenByDifferentDaemonsAddUp)
{
  Fleet fleet(6, 3, 25);
  Converge(fleet);
  const std::int64_t until = fleet.GetNow().unixMicros_ + Duration(60s).count();
  CrashEvidence all;
  for (std::uint64_t i = 0; i < 3; ++i) {
    CrashEvidence seen;
    AddCrash(seen, { 100 + i, 200 + i, 300 + i });
    JoinEvidence(all, seen);
    fleet.Spread(i, QuarantineRumor{ Fingerprint{ 7 }, 0, until, seen });
  }
  fleet.Run(3s);
  CHECK_TRUE(IsConclusive(all));
  for (const FleetNode& node : fleet.nodes_) {
    CHECK_EQUAL(1U, node.state_.rumors_.size());
    const auto& known =
      std::get<QuarantineRumor>(node.state_.rumors_.begin()->second.rumor_);
    CHECK_TRUE(known.evidence_ == all);
  }
}

struct FloodCase
{
  const char* name_;
  std::uint64_t servers_; ///< Crashed under each query of the flood.
  std::size_t contents_;
};

// When servers of all shards crash, each query in flight leaves evidence under
// four keys, for each shard or for several servers. The conclusive evidence,
// which two requests for the same content have left, must not wait behind it.
TEST(Spread, ConclusiveEvidenceOvertakesWeakEvidence)
{
  const std::vector<FloodCase> cases{
    { "one server each, five queries of 90 shards", 1, 5UL * 90 * 4 },
    { "several servers each, 200 queries", 3, 200UL * 4 },
  };
  for (const FloodCase& item : cases) {
    Fleet fleet(6, 3, 27);
    Converge(fleet);
    const std::int64_t until =
      fleet.GetNow().unixMicros_ + Duration(60s).count();
    for (std::uint64_t i = 0; i < item.contents_; ++i) {
      CrashEvidence weak;
      for (std::uint64_t server = 0; server < item.servers_; ++server) {
        AddCrash(weak, { 100 + server, 200 + i, 300 });
      }
      fleet.Spread(i % fleet.nodes_.size(),
                   QuarantineRumor{ Fingerprint{ 1000 + i }, 0, until, weak });
    }
    fleet.Run(2s);
    CrashEvidence conclusive;
    for (std::uint64_t i = 0; i < 3; ++i) {
      AddCrash(conclusive, { 100 + i, 200 + i, 300 + i });
    }
    fleet.Spread(0, QuarantineRumor{ Fingerprint{ 7 }, 0, until, conclusive });
    fleet.Run(500ms);
    for (const FleetNode& node : fleet.nodes_) {
      CHECK_TRUE_TEXT(
        std::any_of(node.state_.rumors_.begin(),
                    node.state_.rumors_.end(),
                    [](const auto& aItem) {
                      const auto* rumor =
                        std::get_if<QuarantineRumor>(&aItem.second.rumor_);
                      return rumor != nullptr &&
                             rumor->fingerprint_ == Fingerprint{ 7 };
                    }),
        item.name_);
    }
  }
}

TEST(Spread, DaemonThatJoinsLaterLearnsRumors)
{
  Fleet fleet(20, 4, 24);
  Converge(fleet);
  for (int i = 0; i < 50; ++i) {
    fleet.Spread(0,
                 LeavingRumor{
                   "s" + std::to_string(i), true, fleet.GetNow().unixMicros_ });
    fleet.Run(100ms);
  }
  fleet.Crash(9, true);
  fleet.Run(30s);
  fleet.Start(9);
  fleet.Run(30s);
  CHECK_EQUAL(50U, fleet.nodes_[9].rumorsHeard_.size());
}

TEST(Spread, RumorsAreBounded)
{
  Fleet fleet(2, 1, 25);
  Converge(fleet);
  for (std::size_t i = 0; i < kMaxRumors + 500; ++i) {
    fleet.Spread(0,
                 LeavingRumor{
                   "s" + std::to_string(i), true, fleet.GetNow().unixMicros_ });
  }
  CHECK_EQUAL(kMaxRumors, fleet.nodes_[0].state_.rumors_.size());
  fleet.Run(60s);
  CHECK_TRUE(fleet.nodes_[1].state_.rumors_.size() <= kMaxRumors);
  fleet.Run(kLeavingRumorLifetime + 1s);
  CHECK_TRUE(fleet.nodes_[0].state_.rumors_.empty());
  for (const auto& queue : fleet.nodes_[0].state_.rumorQueues_) {
    CHECK_TRUE(queue.empty());
  }
}

TEST(Spread, GenerationSpreadsToAllInTime)
{
  for (const SpreadCase& row : std::vector<SpreadCase>{
         { 6, 0.0, 1s }, { 20, 0.0, 1s }, { 60, 0.0, 1s }, { 200, 0.0, 3s } }) {
    Fleet fleet(row.size_, 6, 26);
    Converge(fleet);
    for (std::size_t i = 0; i < row.size_; ++i) {
      fleet.Adopt(i, 7);
    }
    const Duration taken = fleet.RunUntil(
      [&fleet] { return AllKnowGeneration(fleet, 7); }, kTimeLimit);
    CHECK_TRUE(taken <= row.limit_);
    // An older one is not advertised.
    fleet.Adopt(0, 6);
    fleet.Run(1s);
    CHECK_TRUE(AllKnowGeneration(fleet, 7));
  }
}

TEST(Spread, VmListCallsDoNotGrowWithTheFleet)
{
  constexpr double kSeconds = 300.0;
  for (const std::size_t size :
       { std::size_t{ 2 }, std::size_t{ 6 }, std::size_t{ 60 } }) {
    Fleet fleet(size, 2, 27);
    Converge(fleet);
    for (FleetNode& node : fleet.nodes_) {
      node.counters_ = FleetCounters{};
    }
    fleet.Run(Duration(300s));
    double calls = 0.0;
    for (const FleetNode& node : fleet.nodes_) {
      calls += static_cast<double>(node.counters_.vmLists_);
    }
    CHECK_TRUE(calls / kSeconds < 0.5);
    CHECK_TRUE(calls / kSeconds > 0.3);
  }
}

TEST(Spread, VmListCallsStaySpreadAfterPlatformOutage)
{
  Fleet fleet(60, 6, 28);
  Converge(fleet);
  fleet.platformDown_ = true;
  fleet.Run(600s);
  for (FleetNode& node : fleet.nodes_) {
    node.counters_ = FleetCounters{};
  }
  fleet.platformDown_ = false;
  std::uint64_t most = 0;
  std::uint64_t before = 0;
  for (int second = 0; second < 120; ++second) {
    fleet.Run(1s);
    std::uint64_t calls = 0;
    for (const FleetNode& node : fleet.nodes_) {
      calls += node.counters_.vmLists_;
    }
    most = std::max(most, calls - before);
    before = calls;
  }
  CHECK_TRUE(before > 0);
  CHECK_TRUE(most <= 4);
}

TEST(Spread, VmListEmitsAndWithdrawsLeavingRumors)
{
  Fleet fleet(6, 3, 29);
  Converge(fleet);
  fleet.vms_ = { ServerVm("listed", true), ServerVm("staying", false) };
  fleet.Run(10s);
  CHECK_TRUE(AllReceivedRumor(fleet, 99, "listed"));
  for (const FleetNode& node : fleet.nodes_) {
    CHECK_FALSE(node.rumorsHeard_.contains("staying"));
    CHECK_EQUAL(1, node.rumorsHeard_.at("listed"));
  }
  // The list lags, so it must not withdraw a rumor that came from the server.
  fleet.Spread(0, LeavingRumor{ "staying", true, fleet.GetNow().unixMicros_ });
  fleet.vms_ = { ServerVm("listed", false), ServerVm("staying", false) };
  fleet.Run(60s);
  for (std::size_t i = 1; i < 6; ++i) {
    CHECK_EQUAL(2, fleet.nodes_[i].rumorsHeard_.at("listed"));
    CHECK_EQUAL(1, fleet.nodes_[i].rumorsHeard_.at("staying"));
  }
}

TEST(Spread, VmListJoinsFleetWithoutSeeds)
{
  Fleet fleet(6, 3, 30);
  for (FleetNode& node : fleet.nodes_) {
    node.settings_.seeds_.clear();
    VmRecord vm;
    vm.name_ = node.settings_.self_.name_;
    vm.address_ = node.settings_.self_.peerAddress_;
    fleet.vms_.push_back(vm);
  }
  // The list may still show a VM that has ended.
  VmRecord gone;
  gone.name_ = "gone";
  gone.address_ = "10.0.99.99:7000";
  fleet.vms_.push_back(gone);
  fleet.StartAll();
  const Duration taken =
    fleet.RunUntil([&fleet] { return fleet.Converged(); }, kTimeLimit);
  CHECK_TRUE(taken <= 10s);
}
