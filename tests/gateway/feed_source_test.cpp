// Choice of the daemon whose feed of table changes is followed.
#include "gateway/directory.h"
#include "gateway/feed_source.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDomains = 3;
constexpr std::size_t kMembers = 30;
constexpr TimePoint kNow{ seconds(100) };

std::vector<MemberRecord>
MakeMembers()
{
  std::vector<MemberRecord> members;
  for (std::size_t i = 0; i < kMembers; ++i) {
    MemberRecord member;
    member.id_ = DaemonId{ i + 1 };
    member.failureDomain_ = "d" + std::to_string(i % kDomains);
    member.generation_ = Generation{ 4 };
    members.push_back(member);
  }
  return members;
}

/** A daemon that is no watcher, and the fleet as it sees it. */
struct Bench
{
  Bench()
  {
    for (const MemberRecord* watcher : ChooseWatchers(members_)) {
      watchers_.insert(watcher->id_);
    }
    const auto self = std::find_if(
      members_.begin(), members_.end(), [this](const MemberRecord& aMember) {
        return watchers_.count(aMember.id_) == 0;
      });
    view_.self_ = self->id_;
    view_.failureDomain_ = self->failureDomain_;
  }
  MemberRecord& Member(DaemonId aId)
  {
    return *std::find_if(
      members_.begin(), members_.end(), [aId](const MemberRecord& aMember) {
        return aMember.id_ == aId;
      });
  }
  /** All daemons that may be chosen. */
  std::set<DaemonId> Choices() const
  {
    constexpr int kTries = 200;
    std::set<DaemonId> chosen;
    Rng rng(3);
    for (int i = 0; i < kTries; ++i) {
      const MemberRecord* source =
        ChooseFeedSource(followed_, view_, members_, kNow, rng);
      chosen.insert(source == nullptr ? DaemonId{} : source->id_);
    }
    return chosen;
  }
  std::vector<MemberRecord> members_ = MakeMembers();
  std::set<DaemonId> watchers_;
  FollowedFeed followed_;
  FeedSourceView view_;
};

/** A change of the bench, and which daemons may be chosen then. */
struct SourceCase
{
  const char* name_;
  std::function<void(Bench&)> change_;
  std::function<bool(Bench&, const MemberRecord&)> expected_;
};

bool
IsWatcher(Bench& aBench, const MemberRecord& aMember)
{
  return aBench.watchers_.count(aMember.id_) > 0;
}

bool
IsFirstWatcher(Bench& aBench, const MemberRecord& aMember)
{
  return aMember.id_ == *aBench.watchers_.begin();
}

void
FollowFirstWatcher(Bench& aBench, Duration aSince)
{
  aBench.followed_.source_ = *aBench.watchers_.begin();
  aBench.followed_.receivedAt_ = kNow - aSince;
}

void
CheckChoices(const std::vector<SourceCase>& aCases)
{
  for (const SourceCase& item : aCases) {
    Bench bench;
    item.change_(bench);
    std::set<DaemonId> expected;
    for (const MemberRecord& member : bench.members_) {
      if (item.expected_(bench, member)) {
        expected.insert(member.id_);
      }
    }
    CHECK_TRUE_TEXT(bench.Choices() == expected, item.name_);
  }
}

} // namespace

TEST_GROUP(FeedSource){};

TEST(FeedSource, OneWatcherIsFollowedWhileItsMessagesArrive)
{
  CheckChoices({
    { "at first of the own failure domain",
      [](Bench&) {},
      [](Bench& aBench, const MemberRecord& aMember) {
        return IsWatcher(aBench, aMember) &&
               aMember.failureDomain_ == aBench.view_.failureDomain_;
      } },
    { "its messages arrive",
      [](Bench& aBench) { FollowFirstWatcher(aBench, milliseconds(900)); },
      IsFirstWatcher },
    { "silent",
      [](Bench& aBench) { FollowFirstWatcher(aBench, milliseconds(1400)); },
      IsWatcher },
    { "the store rejects it",
      [](Bench& aBench) {
        aBench.view_.storeUnavailableAt_ = kNow - milliseconds(100);
      },
      IsWatcher },
  });
}
