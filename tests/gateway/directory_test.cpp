// Choice of entry daemons in fleets of VMs of unequal size.
#include "gateway/directory.h"

#include <CppUTest/TestHarness.h>
#include <set>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

constexpr std::size_t kNoLimit = 64;

/** Members with the same properties. */
struct Group
{
  const char* domain_;
  std::size_t count_;
  std::uint32_t capacity_;
  std::uint32_t load_;
  bool ready_ = true;
};

std::vector<MemberRecord>
MakeMembers(const std::vector<Group>& aGroups)
{
  std::vector<MemberRecord> members;
  for (const Group& group : aGroups) {
    for (std::size_t i = 0; i < group.count_; ++i) {
      MemberRecord member;
      member.name_ = "m" + std::to_string(members.size());
      member.id_ = DaemonId{ members.size() + 1 };
      member.state_ = MemberState::Alive;
      member.ready_ = group.ready_;
      member.callerAddress_ = "10.0.0.1:" + std::to_string(members.size());
      member.failureDomain_ = group.domain_;
      member.capacity_ = group.capacity_;
      member.load_ = group.load_;
      members.push_back(member);
    }
  }
  return members;
}

} // namespace

TEST_GROUP(EntryDaemons){};

TEST(EntryDaemons, LargestDaemonsAreChosenUpToTheLoad)
{
  struct Case
  {
    const char* name_;
    std::vector<Group> groups_;
    std::size_t limit_;
    std::size_t entryDaemons_;
    std::uint32_t weakest_; ///< Least capacity among those chosen.
  };
  const std::vector<Case> cases{
    { "small fleet: all daemons",
      { { "a", 2, 250, 0 }, { "b", 2, 250, 0 }, { "c", 2, 250, 0 } },
      kNoLimit,
      6,
      250 },
    { "large daemons suffice",
      { { "a", 2, 500, 0 },
        { "b", 2, 500, 0 },
        { "a", 20, 120, 0 },
        { "b", 20, 120, 0 } },
      kNoLimit,
      4,
      500 },
    // Of 2,000 in all half is in use, so 4,000 are needed.
    { "load requires small daemons, too",
      { { "a", 2, 500, 500 }, { "b", 2, 500, 500 }, { "b", 40, 120, 0 } },
      kNoLimit,
      4 + 17,
      120 },
    { "limited by the connections of servers",
      { { "a", 2, 500, 900 }, { "b", 2, 500, 900 }, { "b", 40, 120, 0 } },
      10,
      10,
      120 },
    { "only small daemons",
      { { "a", 20, 120, 0 }, { "b", 20, 120, 0 } },
      kNoLimit,
      4,
      120 },
    { "only one daemon", { { "a", 1, 120, 900 } }, kNoLimit, 1, 120 },
    { "unknown capacity counts as one core",
      { { "a", 8, 0, 0 }, { "a", 2, 500, 0 } },
      kNoLimit,
      2,
      0 },
  };
  for (const Case& item : cases) {
    const std::vector<MemberRecord> members = MakeMembers(item.groups_);
    const auto chosen = ChooseEntryDaemons(
      members, EntryLimits{ item.limit_, {} }, EntryScope::Ready);
    LONGS_EQUAL_TEXT(item.entryDaemons_, chosen.size(), item.name_);
    LONGS_EQUAL_TEXT(item.weakest_, chosen.back()->capacity_, item.name_);
  }
}

// Otherwise each daemon of a starting fleet would see itself as the only entry
// daemon and open connections to all servers.
TEST(EntryDaemons, AliveScopeIncludesStartingDaemons)
{
  const std::vector<MemberRecord> members =
    MakeMembers({ { "a", 1, 120, 0, true }, { "a", 6, 500, 0, false } });
  const auto now =
    ChooseEntryDaemons(members, EntryLimits{}, EntryScope::Ready);
  LONGS_EQUAL(1, now.size());
  for (const MemberRecord* member :
       ChooseEntryDaemons(members, EntryLimits{}, EntryScope::Alive)) {
    LONGS_EQUAL(500, member->capacity_);
  }
}

// Bytes between failure domains and the time for them are saved where all
// shards have a server in the daemon's own domain.
TEST(EntryDaemons, DomainsWithServersComeFirstAmongEquals)
{
  struct Case
  {
    const char* name_;
    std::vector<Group> groups_;
    std::set<std::string> serverDomains_;
    std::size_t besideServers_;
    std::size_t elsewhere_;
  };
  const std::vector<Case> cases{
    { "equals",
      { { "a", 3, 500, 0 }, { "b", 3, 500, 0 }, { "c", 3, 500, 0 } },
      { "a", "b" },
      4,
      0 },
    { "strength goes first",
      { { "a", 3, 120, 0 }, { "b", 3, 120, 0 }, { "c", 3, 500, 0 } },
      { "a", "b" },
      1,
      3 },
    { "no domain has all shards",
      { { "a", 3, 500, 0 }, { "b", 3, 500, 0 }, { "c", 3, 500, 0 } },
      {},
      0,
      6 },
    { "a single domain isn't enough to lose",
      { { "a", 3, 500, 0 }, { "b", 3, 500, 0 } },
      { "a" },
      3,
      1 },
    { "load needs more than they carry",
      { { "a", 2, 500, 500 }, { "b", 2, 500, 500 }, { "c", 9, 500, 0 } },
      { "a", "b" },
      4,
      4 },
  };
  for (const Case& item : cases) {
    const std::vector<MemberRecord> members = MakeMembers(item.groups_);
    const EntryLimits limits{ kNoLimit, item.serverDomains_ };
    std::size_t beside = 0;
    std::size_t elsewhere = 0;
    for (const MemberRecord* member :
         ChooseEntryDaemons(members, limits, EntryScope::Ready)) {
      ++(item.serverDomains_.count(member->failureDomain_) > 0 ? beside
                                                               : elsewhere);
    }
    LONGS_EQUAL_TEXT(item.besideServers_, beside, item.name_);
    LONGS_EQUAL_TEXT(item.elsewhere_, elsewhere, item.name_);
  }
}
