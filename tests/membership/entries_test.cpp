// Entries for callers: stopped daemons disappear in time, callers are spread
// evenly, and a daemon that is isolated or alone still lists itself.

#include "membership/fleet_fixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

constexpr Duration kTimeLimit = 300s;

void
Converge(Fleet& aFleet)
{
  aFleet.StartAll();
  aFleet.SetReadyAll();
  aFleet.RunUntil([&aFleet] { return aFleet.Converged(); }, kTimeLimit);
  CHECK_TRUE(aFleet.Converged());
  aFleet.Run(5s);
}

bool
Lists(const EntriesAnswer& aAnswer, const std::string& aDaemon)
{
  return std::any_of(aAnswer.entries_.begin(),
                     aAnswer.entries_.end(),
                     [&aDaemon](const EntryAddress& aEntry) {
                       return aEntry.daemon_ == aDaemon;
                     });
}

/** How a daemon stops. */
struct StopCase
{
  const char* name_;
  bool crashes_;
  bool refuses_;
};

/** Callers that ask random daemons of a fleet for entries. */
struct CallerSpreadCase
{
  const char* name_;
  std::size_t size_;
  std::size_t domains_;
  std::size_t callerDomains_; ///< Domains of callers, from fd-0.
};

} // namespace

TEST_GROUP(Entries){};

TEST(Entries, StoppedDaemonIsNotListedAfterTwoSeconds)
{
  const std::vector<StopCase> cases{ { "leaves", false, false },
                                     { "process ends", true, true },
                                     { "VM falls silent", true, false } };
  for (const StopCase& row : cases) {
    for (const std::size_t size : { std::size_t{ 6 }, std::size_t{ 60 } }) {
      Fleet fleet(size, 3, 31);
      Converge(fleet);
      if (row.crashes_) {
        fleet.Crash(2, row.refuses_);
      } else {
        fleet.InjectEvent(2, StopRequested{ "drain" });
        CHECK_FALSE(Lists(fleet.RequestEntries(2, "fd-2"), "entry-2"));
      }
      fleet.Run(2s);
      for (std::size_t i = 0; i < size; ++i) {
        if (fleet.nodes_[i].running_) {
          const EntriesAnswer answer = fleet.RequestEntries(i, "fd-2");
          CHECK_FALSE_TEXT(Lists(answer, "entry-2"), row.name_);
          CHECK_FALSE_TEXT(answer.entries_.empty(), row.name_);
        }
      }
    }
  }
}

TEST(Entries, CallersAreSpreadWithinAFifthOfEven)
{
  // clang-format off
  const std::vector<CallerSpreadCase> cases{
    { "even domains",          6,  3, 3 },
    { "uneven domains",        7,  3, 3 },
    { "all in one domain",     6,  3, 1 },
    { "from unknown domains",  7,  4, 9 },
    { "60 daemons",            60, 7, 7 },
  };
  // clang-format on
  for (const CallerSpreadCase& row : cases) {
    Fleet fleet(row.size_, row.domains_, 32);
    Converge(fleet);
    Rng rng(33);
    const std::size_t callers = 200 * row.size_;
    std::map<std::string, double> first;
    for (std::size_t i = 0; i < callers; ++i) {
      const std::string domain =
        "fd-" + std::to_string(rng() % row.callerDomains_);
      const EntriesAnswer answer =
        fleet.RequestEntries(rng() % row.size_, domain);
      CHECK_FALSE_TEXT(answer.entries_.empty(), row.name_);
      first[answer.entries_.front().daemon_] += 1.0;
    }
    CHECK_EQUAL_TEXT(row.size_, first.size(), row.name_);
    for (const auto& [daemon, count] : first) {
      CHECK_TRUE_TEXT(count > 0.8 * 200 && count < 1.2 * 200, row.name_);
    }
  }
}

TEST(Entries, OwnFailureDomainComesFirstUnderEvenLoad)
{
  Fleet fleet(6, 3, 34);
  Converge(fleet);
  Rng rng(35);
  int nearby = 0;
  constexpr int kCallers = 600;
  for (int i = 0; i < kCallers; ++i) {
    const std::string domain = "fd-" + std::to_string(rng() % 3);
    const EntriesAnswer answer = fleet.RequestEntries(rng() % 6, domain);
    nearby += answer.entries_.front().failureDomain_ == domain ? 1 : 0;
  }
  CHECK_TRUE(nearby > kCallers * 9 / 10);
}

TEST(Entries, LoadedDaemonGetsFewerCallers)
{
  Fleet fleet(6, 1, 36);
  Converge(fleet);
  MembershipSetLoad(fleet.nodes_[1].state_, 900);
  fleet.Run(5s);
  std::map<std::string, int> first;
  for (int i = 0; i < 600; ++i) {
    ++first[fleet.RequestEntries(0, "fd-0").entries_.front().daemon_];
  }
  CHECK_TRUE(first["entry-1"] < 90);
  CHECK_TRUE(first["entry-1"] > 0);
}

TEST(Entries, AnswerAlternatesFailureDomains)
{
  Fleet fleet(12, 4, 37);
  Converge(fleet);
  const EntriesAnswer answer = fleet.RequestEntries(0, "fd-1");
  CHECK_EQUAL(kMaxEntries, answer.entries_.size());
  CHECK_TRUE(answer.keepFor_ == kEntriesKeepFor);
  CHECK_TRUE(answer.code_ == ResultCode::Ok);
  CHECK_TRUE(answer.tokens_.empty());
  std::set<std::string> domains;
  std::set<std::string> addresses;
  for (std::size_t i = 0; i < answer.entries_.size(); ++i) {
    addresses.insert(answer.entries_[i].address_);
    if (i < 4) {
      domains.insert(answer.entries_[i].failureDomain_);
    }
  }
  CHECK_EQUAL(4U, domains.size());
  CHECK_EQUAL(answer.entries_.size(), addresses.size());
}

namespace {

struct AloneCase
{
  const char* name_;
  bool ready_;
  bool leaving_;
  ResultCode code_;
  std::size_t entries_;
};

} // namespace

TEST(Entries, DaemonAloneListsItselfWhileReady)
{
  const std::vector<AloneCase> cases{
    { "ready", true, false, ResultCode::Ok, 1 },
    { "no configuration yet", false, false, ResultCode::NotReady, 0 },
    { "leaving", true, true, ResultCode::Stopping, 0 },
  };
  for (const AloneCase& row : cases) {
    Fleet fleet(1, 1, 38);
    fleet.Start(0);
    fleet.Run(1s);
    MembershipSetReady(fleet.nodes_[0].state_, row.ready_);
    if (row.leaving_) {
      fleet.InjectEvent(0, StopRequested{ "drain" });
    }
    const EntriesAnswer answer = fleet.RequestEntries(0, "fd-0");
    CHECK_TRUE_TEXT(answer.code_ == row.code_, row.name_);
    CHECK_EQUAL_TEXT(row.entries_, answer.entries_.size(), row.name_);
  }
}

TEST(Entries, IsolatedDaemonListsItself)
{
  Fleet fleet(6, 3, 39);
  Converge(fleet);
  fleet.CutBothWays({ 2 });
  fleet.Run(5s);
  const EntriesAnswer answer = fleet.RequestEntries(2, "fd-0");
  CHECK_TRUE(Lists(answer, "entry-2"));
  // The others suspect it; it must not have spread that they are dead.
  fleet.Heal();
  fleet.Run(10s);
  CHECK_EQUAL(6U, fleet.RequestEntries(2, "fd-0").entries_.size());
}

TEST(Entries, DaemonThatIsNotReadyIsNotListed)
{
  Fleet fleet(6, 3, 40);
  Converge(fleet);
  MembershipSetReady(fleet.nodes_[4].state_, false);
  fleet.InjectEvent(4, Tick{});
  fleet.Run(1s);
  CHECK_FALSE(Lists(fleet.RequestEntries(0, "fd-1"), "entry-4"));
  MembershipSetReady(fleet.nodes_[4].state_, true);
  fleet.InjectEvent(4, Tick{});
  fleet.Run(1s);
  CHECK_TRUE(Lists(fleet.RequestEntries(0, "fd-1"), "entry-4"));
}
