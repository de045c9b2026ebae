// Chooses whose feed of the tables a daemon follows while watchers stop, lose
// the store, or go on with a watch that tells them nothing.
#include "gateway/fleet/feed_source.h"

#include "gateway/fleet/directory.h"

#include <algorithm>
#include <bit>

namespace camphorfield {

namespace {

const MemberRecord*
FindAlive(const std::vector<MemberRecord>& aMembers, DaemonId aId)
{
  const auto found = std::find_if(
    aMembers.begin(), aMembers.end(), [aId](const MemberRecord& aMember) {
      return aMember.id_ == aId && aMember.state_ == MemberState::Alive;
    });
  return found == aMembers.end() ? nullptr : &*found;
}

/** After a report that the store is unavailable, a follower prefers daemons
 * that the store answers for this time. */
constexpr Duration kUnavailablePeriod = std::chrono::seconds(3);
/** Interval between the turns of successive groups of daemons that replace
 * watchers; each group doubles the number of those that have tried. */
constexpr Duration kTurnInterval = std::chrono::milliseconds(500);
/** Length of a turn: a connect, a read of the tables, and some retries. */
constexpr Duration kTurnLength = std::chrono::milliseconds(1500);
/** A daemon's turns return at this interval, so that an outage of the whole
 * store isn't answered by calls of the whole fleet at once. */
constexpr Duration kTurnPeriod = std::chrono::seconds(6);

bool
HasNewest(const FeedSourceView& aView, const MemberRecord& aMember)
{
  return aMember.generation_ >= aView.newestVersion_;
}

/** Daemons that the store answers; those of the same failure domain if there
 * are any. */
std::vector<const MemberRecord*>
FindStoreReaders(const FeedSourceView& aView,
                 const std::vector<MemberRecord>& aMembers)
{
  std::vector<const MemberRecord*> sameDomain;
  std::vector<const MemberRecord*> all;
  for (const MemberRecord& member : aMembers) {
    if (member.id_ == aView.self_ || member.state_ != MemberState::Alive ||
        !member.readsStore_) {
      continue;
    }
    all.push_back(&member);
    if (member.failureDomain_ == aView.failureDomain_) {
      sameDomain.push_back(&member);
    }
  }
  return sameDomain.empty() ? all : sameDomain;
}

std::vector<const MemberRecord*>
FindWatchers(const FollowedFeed& aFeed,
             const FeedSourceView& aView,
             const std::vector<MemberRecord>& aMembers,
             TimePoint aNow)
{
  std::vector<const MemberRecord*> sameDomain;
  std::vector<const MemberRecord*> all;
  for (const MemberRecord* member : ChooseWatchers(aMembers)) {
    if (member->id_ == aView.self_) {
      continue;
    }
    all.push_back(member);
    if (member->failureDomain_ == aView.failureDomain_) {
      sameDomain.push_back(member);
    }
  }
  // After a timeout, or a report that the store is unavailable, watchers of
  // other failure domains are candidates too.
  const bool preferSameDomain =
    aFeed.source_.value_ == 0 &&
    aNow - aView.storeUnavailableAt_ >= kFeedTimeout;
  return preferSameDomain && !sameDomain.empty() ? sameDomain : all;
}

/** Watchers with the newest configuration; if there are none, any daemons that
 * have it. */
std::vector<const MemberRecord*>
FindNewest(const FeedSourceView& aView,
           const std::vector<MemberRecord>& aMembers)
{
  std::vector<const MemberRecord*> found;
  for (const MemberRecord* member : ChooseWatchers(aMembers)) {
    if (member->id_ != aView.self_ && HasNewest(aView, *member)) {
      found.push_back(member);
    }
  }
  if (!found.empty()) {
    return found;
  }
  for (const MemberRecord& member : aMembers) {
    if (member.id_ != aView.self_ && member.state_ == MemberState::Alive &&
        HasNewest(aView, member)) {
      found.push_back(&member);
    }
  }
  return found;
}

} // namespace

bool
MayReplaceWatcher(std::size_t aPlace, Duration aUnavailableFor)
{
  const auto group =
    static_cast<std::int64_t>(std::bit_width(aPlace / kMinWatchers + 1) - 1);
  // The first interval is for asking the other watchers.
  const Duration passed =
    aUnavailableFor - (group + 1) * Duration(kTurnInterval);
  return passed >= Duration::zero() && passed % kTurnPeriod < kTurnLength;
}

bool
IsReadByOthers(const StoreReadView& aView)
{
  if (!aView.complete_ && !aView.mayReadFirst_) {
    return true;
  }
  return !aView.isWatcher_ &&
         (aView.awaitsFirst_ || (aView.hasFeed_ && aView.complete_ &&
                                 aView.configLag_ <= kConfigReadAfter));
}

// Keeps the current source while its feed messages arrive and its configuration
// isn't behind; otherwise picks a random daemon that the store answers, or a
// random watcher, at first of the same failure domain. A watcher that the store
// rejects so tries another source each time.
const MemberRecord*
ChooseFeedSource(const FollowedFeed& aFeed,
                 const FeedSourceView& aView,
                 const std::vector<MemberRecord>& aMembers,
                 TimePoint aNow,
                 Rng& aRng)
{
  const bool isBehind = aView.configLag_ > kMaxSourceLag;
  const MemberRecord* current = FindAlive(aMembers, aFeed.source_);
  if (current != nullptr && aNow - aFeed.receivedAt_ < kFeedTimeout &&
      (!isBehind || HasNewest(aView, *current))) {
    return current;
  }
  std::vector<const MemberRecord*> candidates;
  if (isBehind) {
    candidates = FindNewest(aView, aMembers);
  }
  if (candidates.empty() &&
      aNow - aView.storeUnavailableAt_ < kUnavailablePeriod) {
    candidates = FindStoreReaders(aView, aMembers);
  }
  if (candidates.empty()) {
    candidates = FindWatchers(aFeed, aView, aMembers, aNow);
  }
  return candidates.empty() ? nullptr : candidates[aRng() % candidates.size()];
}

} // namespace camphorfield
