// Choice of entry daemons in fleets of VMs of unequal size.
#include "gateway/fleet/directory.h"

#include <CppUTest/TestHarness.h>
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
    const auto chosen =
      ChooseEntryDaemons(members, item.limit_, EntryScope::Ready);
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
  const auto now = ChooseEntryDaemons(members, kNoLimit, EntryScope::Ready);
  LONGS_EQUAL(1, now.size());
  for (const MemberRecord* member :
       ChooseEntryDaemons(members, kNoLimit, EntryScope::Alive)) {
    LONGS_EQUAL(500, member->capacity_);
  }
}
