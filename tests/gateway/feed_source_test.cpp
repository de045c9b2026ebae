// Choice of the daemon whose feed of table changes is followed.
#include "gateway/fleet/config_lag.h"
#include "gateway/fleet/directory.h"
#include "gateway/fleet/feed_source.h"

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

// A source whose watch of the store tells it nothing goes on sending messages.
TEST(FeedSource, SourcesWithAnOldConfigurationAreFollowed)
{
  const auto isNewest = [](Bench&, const MemberRecord& aMember) {
    return aMember.generation_.value_ == 5;
  };
  const auto lag = [](Bench& aBench, Duration aLag) {
    FollowFirstWatcher(aBench, milliseconds(100));
    aBench.view_.newestVersion_ = Generation{ 5 };
    aBench.view_.configLag_ = aLag;
  };
  CheckChoices({
    { "the change may be on its way",
      [lag](Bench& aBench) { lag(aBench, milliseconds(400)); },
      IsFirstWatcher },
    { "some watchers have it",
      [lag](Bench& aBench) {
        lag(aBench, seconds(1));
        aBench.Member(*std::next(aBench.watchers_.begin())).generation_ =
          Generation{ 5 };
        aBench.Member(*std::next(aBench.watchers_.begin(), 3)).generation_ =
          Generation{ 5 };
      },
      isNewest },
    { "the source has it, too",
      [lag](Bench& aBench) {
        lag(aBench, seconds(1));
        for (const DaemonId watcher : aBench.watchers_) {
          aBench.Member(watcher).generation_ = Generation{ 5 };
        }
      },
      IsFirstWatcher },
    { "no watcher has it",
      [lag](Bench& aBench) {
        lag(aBench, seconds(1));
        for (MemberRecord& member : aBench.members_) {
          const bool hasIt = aBench.watchers_.count(member.id_) == 0 &&
                             member.id_ != aBench.view_.self_;
          member.generation_ = Generation{ hasIt ? 5U : 4U };
        }
      },
      isNewest },
    { "who has it has stopped",
      [lag](Bench& aBench) {
        lag(aBench, seconds(1));
        for (MemberRecord& member : aBench.members_) {
          if (aBench.watchers_.count(member.id_) == 0) {
            member.generation_ = Generation{ 5 };
            member.state_ = MemberState::Suspect;
          }
        }
      },
      [](Bench& aBench, const MemberRecord& aMember) {
        return IsWatcher(aBench, aMember) && aMember.generation_.value_ == 4;
      } },
  });
}

// The store is the last resort of a follower whose sources are all behind.
TEST(FeedSource, FollowersKeepAnOldConfigurationWhileTheirFeedRuns)
{
  struct Case
  {
    const char* name_;
    StoreReadView view_;
    bool readByOthers_;
  };
  const std::vector<Case> cases{
    { "watcher", { true, true, true, false, true, {} }, false },
    { "watcher, before its turn",
      { true, false, false, true, false, {} },
      true },
    { "follower", { false, true, true, false, true, {} }, true },
    { "follower, no feed", { false, true, true, false, false, {} }, false },
    { "follower, incomplete", { false, false, true, false, true, {} }, false },
    { "just started", { false, false, true, true, false, {} }, true },
    { "behind for a moment",
      { false, true, true, false, true, milliseconds(1900) },
      true },
    { "behind", { false, true, true, false, true, milliseconds(2100) }, false },
  };
  for (const Case& item : cases) {
    CHECK_TEXT(IsReadByOthers(item.view_) == item.readByOthers_, item.name_);
  }
}

// In a series of changes there is always a newer one on its way.
TEST(FeedSource, LagIsThatOfTheOldestMissingVersion)
{
  ConfigLag lag;
  const auto at = [](int aMillis) { return kNow + milliseconds(aMillis); };
  CHECK_TRUE(UpdateConfigLag(lag, 4, 4, at(0)) == Duration::zero());
  CHECK_TRUE(UpdateConfigLag(lag, 4, 5, at(100)) == Duration::zero());
  CHECK_TRUE(UpdateConfigLag(lag, 4, 6, at(300)) == milliseconds(200));
  CHECK_TRUE(UpdateConfigLag(lag, 5, 6, at(500)) == milliseconds(200));
  CHECK_TRUE(UpdateConfigLag(lag, 5, 6, at(3500)) == milliseconds(3200));
  // A version that was skipped is no longer missing.
  CHECK_TRUE(UpdateConfigLag(lag, 7, 6, at(3600)) == Duration::zero());
}

// The store may answer others than the watchers. Without this, followers kept
// an old configuration until they had lost their feed for 5 to 10 s.
TEST(FeedSource, DaemonsThatTheStoreAnswersArePreferredDuringAnOutage)
{
  const auto markReaders = [](Bench& aBench, Duration aReportAge) {
    aBench.view_.storeUnavailableAt_ = kNow - aReportAge;
    for (MemberRecord& member : aBench.members_) {
      member.readsStore_ = aBench.watchers_.count(member.id_) == 0 &&
                           member.id_ != aBench.view_.self_ &&
                           member.id_.value_ % 5 == 0;
    }
  };
  const auto readsInDomain = [](Bench& aBench, const MemberRecord& aMember) {
    return aMember.readsStore_ &&
           aMember.failureDomain_ == aBench.view_.failureDomain_;
  };
  CheckChoices({
    { "reported a moment ago",
      [&](Bench& aBench) { markReaders(aBench, milliseconds(100)); },
      readsInDomain },
    { "none in the own failure domain",
      [&](Bench& aBench) {
        markReaders(aBench, milliseconds(100));
        for (MemberRecord& member : aBench.members_) {
          member.readsStore_ =
            member.readsStore_ &&
            member.failureDomain_ != aBench.view_.failureDomain_;
        }
      },
      [](Bench&, const MemberRecord& aMember) { return aMember.readsStore_; } },
    { "reported long ago",
      [&](Bench& aBench) { markReaders(aBench, seconds(10)); },
      [](Bench& aBench, const MemberRecord& aMember) {
        return IsWatcher(aBench, aMember) &&
               aMember.failureDomain_ == aBench.view_.failureDomain_;
      } },
  });
}

// While the store answers none of the watchers, enough other daemons must try
// it before a configuration is due, and the whole fleet must not try at once.
TEST(FeedSource, WatchersAreReplacedInTurns)
{
  for (const std::size_t others : { 70UL, 289UL, 2394UL }) {
    const auto trying = [others](Duration aAfter) {
      std::size_t count = 0;
      for (std::size_t place = 0; place < others; ++place) {
        count += MayReplaceWatcher(place, aAfter) ? 1 : 0;
      }
      return count;
    };
    CHECK_TRUE(trying(milliseconds(300)) == 0);
    CHECK_TRUE(trying(milliseconds(600)) >= kMinWatchers);
    CHECK_TRUE(trying(milliseconds(600)) <= 2 * kMinWatchers);
    std::set<std::size_t> tried;
    for (Duration at{}; at < seconds(7); at += milliseconds(100)) {
      for (std::size_t place = 0; place < others; ++place) {
        if (MayReplaceWatcher(place, at)) {
          tried.insert(place);
        }
      }
      if (at == Duration(milliseconds(1100))) {
        CHECK_TRUE(tried.size() >= 3 * kMinWatchers);
      }
    }
    LONGS_EQUAL(others, tried.size());
  }
}
