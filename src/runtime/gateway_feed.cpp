// Who reads the store, who is told by others, and who serves callers.
#include "runtime/gateway_host.h"

#include "gateway/directory.h"
#include "gateway/gateway_func.h"
#include "membership/membership_func.h"
#include "observe/log.h"
#include "runtime/clock.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

/** A daemon that follows another one's tables says so that often. */
constexpr Duration kFeedRequestInterval = std::chrono::milliseconds(500);
/** Without a word for so long, it asks another one, and the store. */
constexpr Duration kFeedTimeout = std::chrono::milliseconds(1300);
/** A daemon that starts waits so long for a feeder. */
constexpr Duration kFirstFeedTimeout = std::chrono::seconds(2);
/** Connections are opened once no further daemon has become known for so long:
 * too many daemons would exceed what servers accept. */
constexpr Duration kMembershipSettleTime = std::chrono::milliseconds(400);
/** Daemons that are alive but not ready by then leave service to others. */
constexpr Duration kStartupPeriod = std::chrono::seconds(6);
/** Views of who serves callers may differ, and callers keep old answers: at
 * most that many times as many daemons serve at a time. */
constexpr std::uint32_t kEntryViewFactor = 2;
/** The others are known so long after the start; before, each daemon of a
 * starting fleet would read the store. */
constexpr Duration kDiscoveryTime = std::chrono::milliseconds(240);
/** The watchers themselves may be turned away by a store that serves others:
 * followers that have heard of no change for so long ask it, each at its own
 * time. */
constexpr Duration kStoreFallbackAfter = std::chrono::seconds(5);
constexpr Duration kFollowerTtl = std::chrono::seconds(3);
/** A failing store is left to peers after this time. */
constexpr Duration kPeerFallbackAfter = std::chrono::milliseconds(200);

std::uint32_t
LargestCount(const std::map<TimePoint, std::uint32_t>& aCounts)
{
  std::uint32_t maxEntryDaemons = 1;
  for (const auto& [at, count] : aCounts) {
    maxEntryDaemons = std::max(maxEntryDaemons, count);
  }
  return maxEntryDaemons;
}

} // namespace

const MemberRecord*
GatewayHost::FindMember(DaemonId aId) const
{
  const auto found = std::find_if(
    members_->begin(), members_->end(), [aId](const MemberRecord& aMember) {
      return aMember.id_ == aId;
    });
  return found == members_->end() ? nullptr : &*found;
}

bool
GatewayHost::IsFresh()
{
  return IsTableFresh(store_.Table(kConfigTable)) &&
         IsTableFresh(store_.Table(kServersTable));
}

void
GatewayHost::SendFeed(const MemberRecord& aTo,
                      std::uint64_t aIncarnation,
                      std::uint64_t aNumber)
{
  // Most followers are told the same.
  const bool whole = NeedsWhole(feed_, aIncarnation, aNumber);
  const std::tuple key(feed_.newest_, whole, whole ? 0 : aNumber);
  if (encodedFeed_.empty() || encodedKey_ != key) {
    encodedFeed_ = EncodeFeed(MakeFeedMessage(
      feed_,
      { &store_.Table(kConfigTable), &store_.Table(kServersTable) },
      aIncarnation,
      aNumber));
    encodedKey_ = key;
  }
  SendFeedText(aTo, encodedFeed_);
}

void
GatewayHost::SendFeedText(const MemberRecord& aTo, const std::string& aText)
{
  GenerationContent content;
  content.call_ = PeerCallId{ 1 };
  content.generation_ = Generation{ 1 };
  content.content_ = aText;
  SendToPeer(
    SendPeer{ aTo.id_, aTo.peerAddress_, std::move(content), PeerCallId{} });
}

// Only what the store itself has told is handed on. Those who follow are told
// of changes until they ask no more; while the store is away they are told so,
// else they would all turn to it.
void
GatewayHost::HandleFeedRequest(const PeerMessage& aMessage)
{
  const MemberRecord* sender = FindMember(aMessage.from_);
  if (sender == nullptr) {
    return;
  }
  if (!IsFresh()) {
    FeedMessage message;
    message.behind_ = true;
    SendFeedText(*sender, EncodeFeed(message));
    return;
  }
  const auto& request = std::get<GenerationAsk>(aMessage.body_);
  SendFeed(*sender, request.generation_.value_, request.base_.value_);
  followers_[aMessage.from_] =
    FeedFollower{ feed_.newest_, ReadClock().mono_ + kFollowerTtl };
}

void
GatewayHost::PushFeed()
{
  const TimePoint now = ReadClock().mono_;
  std::erase_if(followers_, [now](const auto& aItem) {
    return aItem.second.expiresAt_ < now;
  });
  for (auto& [id, follower] : followers_) {
    const MemberRecord* member = FindMember(id);
    if (member != nullptr && follower.number_ < feed_.newest_) {
      SendFeed(*member, feed_.life_, follower.number_);
      follower.number_ = feed_.newest_;
    }
  }
}

void
GatewayHost::HandleFeed(const PeerMessage& aMessage)
{
  const auto& content = std::get<GenerationContent>(aMessage.body_);
  const auto message = DecodeFeed(content.content_);
  if (!message.ok()) {
    WriteLog(LogLevel::Warning,
             "tables of a peer refused",
             { { "reason", std::string(message.status().message()) } });
    return;
  }
  if (message->behind_) {
    storeUnavailableAt_ = ReadClock().mono_;
    return;
  }
  // Changes fit only on what was taken from the same life up to there.
  if (aMessage.from_ != feedSource_ ||
      (!message->whole_ && message->life_ != feedSourceIncarnation_)) {
    return;
  }
  feedSourceIncarnation_ = message->life_;
  feedPosition_ = message->number_;
  lastFeedAt_ = ReadClock().mono_;
  for (const std::size_t number : { kConfigTable, kServersTable }) {
    TableSync& table = store_.Table(number);
    const bool watchStalled =
      IsTableFresh(table) && IsFeedWanted(*message, table);
    if (IsFeedWanted(*message, table) && ApplyFeed(*message, table)) {
      AdoptTables(number);
    }
    if (watchStalled) {
      WriteLog(LogLevel::Warning,
               "watch is silent: a peer knows more",
               { { "kind", table.kind_ } });
      store_.Restart();
    }
  }
}

// A daemon that follows keeps to its feeder; one that the store refuses tries
// another one each time.
const MemberRecord*
GatewayHost::ChooseFeedSource()
{
  const DaemonId self = membership_.self_.id_;
  const bool recent = ReadClock().mono_ - lastFeedAt_ < kFeedTimeout;
  const MemberRecord* current = FindMember(feedSource_);
  if (recent && current != nullptr && current->state_ == MemberState::Alive) {
    return current;
  }
  std::vector<const MemberRecord*> sameDomain;
  std::vector<const MemberRecord*> all;
  for (const MemberRecord* member : ChooseWatchers(*members_)) {
    if (member->id_ == self) {
      continue;
    }
    all.push_back(member);
    if (member->failureDomain_ == membership_.self_.failureDomain_) {
      sameDomain.push_back(member);
    }
  }
  // After a silence, or from one that is behind, others are tried too.
  const bool first = feedSource_.value_ == 0 &&
                     ReadClock().mono_ - storeUnavailableAt_ >= kFeedTimeout;
  const std::vector<const MemberRecord*>& from =
    first && !sameDomain.empty() ? sameDomain : all;
  return from.empty() ? nullptr : from[rng_() % from.size()];
}

void
GatewayHost::RequestFeed()
{
  const Now now = ReadClock();
  const TableSync& config = store_.Table(kConfigTable);
  const TableSync& servers = store_.Table(kServersTable);
  const std::uint64_t version =
    gateway_.config_ == nullptr ? 0 : gateway_.config_->version_;
  const auto isFailing = [&now](const TableSync& aTable) {
    return aTable.failures_ > 0 &&
           now.mono_ - aTable.failingSince_ > kPeerFallbackAfter;
  };
  const bool isWanted = !isWatcher_ || isFailing(config) ||
                        isFailing(servers) || newestKnownVersion_ > version;
  if (!isWanted || now.mono_ < nextFeedRequestAt_) {
    return;
  }
  nextFeedRequestAt_ = now.mono_ + kFeedRequestInterval;
  const MemberRecord* source = ChooseFeedSource();
  if (source == nullptr) {
    return;
  }
  if (source->id_ != feedSource_) {
    feedSource_ = source->id_;
    feedSourceIncarnation_ = 0;
    feedPosition_ = 0;
  }
  GenerationAsk request;
  request.call_ = PeerCallId{ 1 };
  // One that reads the store itself may have left out earlier messages.
  request.generation_ = Generation{ isWatcher_ ? 0 : feedSourceIncarnation_ };
  request.base_ = Generation{ feedPosition_ };
  SendToPeer(
    SendPeer{ source->id_, source->peerAddress_, request, PeerCallId{} });
}

// A daemon that doesn't watch reads the store only while nobody tells it of
// changes.
void
GatewayHost::UpdateRole()
{
  const DaemonId self = membership_.self_.id_;
  const auto includesSelf =
    [self](const std::vector<const MemberRecord*>& aList) {
      return std::any_of(
        aList.begin(), aList.end(), [self](const MemberRecord* aMember) {
          return aMember->id_ == self;
        });
    };
  isWatcher_ = includesSelf(ChooseWatchers(*members_));
  const TimePoint now = ReadClock().mono_;
  // With the store away nobody is fed; those who watch it see its return.
  const bool storeUnavailable =
    now - storeUnavailableAt_ < kFeedTimeout &&
    now - lastFeedAt_ < kStoreFallbackAfter + storeFallbackJitter_;
  const bool hasFeed = now - lastFeedAt_ < kFeedTimeout || storeUnavailable;
  const bool joining = now < startedAt_ + kFirstFeedTimeout;
  const bool membersKnown = now >= startedAt_ + kDiscoveryTime;
  for (const std::size_t number : { kConfigTable, kServersTable }) {
    TableSync& table = store_.Table(number);
    table.passive_ = !membersKnown ||
                     (!isWatcher_ && (joining || (hasFeed && table.complete_)));
    // What was told meanwhile isn't in the watch's history.
    table.watching_ = table.watching_ && !table.passive_;
  }
  MembershipSetLoad(membership_, GatewayBusy(gateway_));
  const std::size_t maxEntryDaemons = CountFronts(gateway_);
  const auto entryDaemons =
    ChooseFronts(*members_, maxEntryDaemons, FrontScope::Ready);
  // While all start, few are known and ready, and each would take itself for a
  // front.
  const bool settled = now >= memberJoinedAt_ + kMembershipSettleTime;
  const bool isEntryDaemon =
    now < startedAt_ + kStartupPeriod
      ? settled && includesSelf(ChooseFronts(
                     *members_, maxEntryDaemons, FrontScope::Alive))
      : includesSelf(entryDaemons);
  GatewaySetWarm(gateway_, isEntryDaemon);
  entryDaemonCounts_[now] = static_cast<std::uint32_t>(entryDaemons.size());
  const std::uint32_t daemons = LargestCount(daemonCounts_);
  GatewaySetDaemons(
    gateway_,
    std::min(daemons, kEntryViewFactor * LargestCount(entryDaemonCounts_)));
}

} // namespace camphorfield
