// Roles of a gateway daemon: reading the store, following another daemon's feed
// of the tables, and serving callers. Feeds limit the load on the store, and
// keep the tables up to date when the store fails for some daemons.
#include "runtime/gateway_host.h"

#include "discovery/stale_evacuations.h"
#include "gateway/fleet/directory.h"
#include "gateway/fleet/feed_source.h"
#include "gateway/gateway_func.h"
#include "membership/membership_func.h"
#include "observe/log.h"
#include "runtime/clock.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

/** Interval at which a follower renews its request for a feed. */
constexpr Duration kFeedRequestInterval = std::chrono::milliseconds(500);
/** Least time between two requests, when messages after a lost one arrive. */
constexpr Duration kMinFeedRequestInterval = std::chrono::milliseconds(100);
/** A follower reads the store itself after this time without a feed, in which
 * it has tried other sources. */
constexpr Duration kStoreReadAfter = std::chrono::milliseconds(2500);
/** A starting daemon waits this long for a feed before it reads the store. */
constexpr Duration kFirstFeedTimeout = std::chrono::seconds(2);
/** Time after the start until the first members are known; without this wait
 * each daemon of a starting fleet would read the store. */
constexpr Duration kDiscoveryTime = std::chrono::milliseconds(240);
/** Ages of tables are stated in these steps, so that one encoded message serves
 * most followers. */
constexpr Duration kFeedAgeStep = std::chrono::milliseconds(100);
constexpr Duration kFollowerTtl = std::chrono::seconds(3);
/** A feed is requested once the store has been failing for this time. */
constexpr Duration kPeerFallbackAfter = std::chrono::milliseconds(200);
/** A configuration older than another daemon's for this time is logged. */
constexpr Duration kConfigLagToLog = std::chrono::seconds(1);

/** When all of the tables were last known to be up to date. */
TimePoint
EarliestUpToDate(const std::vector<const TableSync*>& aTables)
{
  TimePoint earliest = kNever;
  for (const TableSync* table : aTables) {
    earliest = std::min(earliest, table->upToDateAt_);
  }
  return earliest;
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
  const std::vector<const TableSync*> tables = TablesToSend();
  return std::all_of(tables.begin(), tables.end(), [](const TableSync* aTable) {
    return IsTableFresh(*aTable);
  });
}

/** Time since the tables were known to be up to date with the store. A watch
 * that has gone silent looks like one without changes, so the time counts from
 * the store's latest word. */
Duration
GatewayHost::TableAge()
{
  const TableSync& config = store_.Table(kConfigTable);
  const TableSync& servers = store_.Table(kServersTable);
  if (!config.complete_ || !servers.complete_) {
    return Duration::max();
  }
  const TimePoint now = ReadClock().mono_;
  const Duration age = std::min(now - EarliestUpToDate(TablesToSend()),
                                now - followed_.receivedAt_ + followed_.age_);
  return (age + kFeedAgeStep - Duration(1)) / kFeedAgeStep * kFeedAgeStep;
}

/** Tells the core whether a key that it doesn't know may be a new one. A
 * version that stays away for longer than the bound can't be had, e.g. because
 * the store lost it. */
void
GatewayHost::ReportTableAge()
{
  const std::uint64_t version =
    gateway_.config_ == nullptr ? 0 : gateway_.config_->version_;
  const bool isNewer = newestKnownVersion_ > version &&
                       configLagTime_ < settings_.gateway_.configApply_;
  GatewaySetTableAge(gateway_, TableAge(), isNewer, ReadClock().mono_);
}

void
GatewayHost::SendFeed(const MemberRecord& aTo,
                      std::uint64_t aIncarnation,
                      std::uint64_t aNumber,
                      Duration aAge)
{
  // Most followers need the same message, so the latest one is cached.
  const bool whole = NeedsWholeTables(feed_, aIncarnation, aNumber);
  const std::tuple key(feed_.newest_, whole, whole ? 0 : aNumber, aAge);
  if (encodedFeed_.empty() || encodedKey_ != key) {
    FeedMessage message =
      MakeFeedMessage(feed_, TablesToSend(), aIncarnation, aNumber);
    message.age_ = aAge;
    message.statedEvacuations_ = StatedEvacuations();
    encodedFeed_ = EncodeFeed(message);
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

void
GatewayHost::SendStoreUnavailable(const MemberRecord& aTo)
{
  FeedMessage message;
  message.storeUnavailable_ = true;
  AddEvacuations(message, settings_.evacuationsKind_, TablesToSend());
  message.statedEvacuations_ = StatedEvacuations();
  SendFeedText(aTo, EncodeFeed(message));
}

// Only tables that are up to date with the store, or were so a moment ago, are
// passed on. A follower gets changes until its request expires. While the store
// is unavailable, followers are told so; otherwise all of them would fall back
// to it. A daemon that has just started sends the tables once it has them: in a
// fleet that starts as a whole the views of the watchers are incomplete.
void
GatewayHost::HandleFeedRequest(const PeerMessage& aMessage)
{
  const MemberRecord* sender = FindMember(aMessage.from_);
  if (sender == nullptr) {
    return;
  }
  const TimePoint expiresAt = ReadClock().mono_ + kFollowerTtl;
  const Duration age = TableAge();
  if (age == Duration::max()) {
    followers_[aMessage.from_] = FeedFollower{ 0, true, expiresAt };
    return;
  }
  if (age > kMaxFeedAge) {
    followers_.erase(aMessage.from_);
    SendStoreUnavailable(*sender);
    return;
  }
  const auto& request = std::get<GenerationRequest>(aMessage.body_);
  SendFeed(*sender, request.generation_.value_, request.base_.value_, age);
  followers_[aMessage.from_] = FeedFollower{ feed_.newest_, false, expiresAt };
}

void
GatewayHost::PushFeed()
{
  const TimePoint now = ReadClock().mono_;
  std::erase_if(followers_, [now](const auto& aItem) {
    return aItem.second.expiresAt_ < now;
  });
  // Taken once: the encoded message is cached by it.
  const Duration age = TableAge();
  if (age > kMaxFeedAge) {
    return;
  }
  for (auto& [id, follower] : followers_) {
    const MemberRecord* member = FindMember(id);
    if (member != nullptr &&
        (follower.needsWhole_ || follower.number_ < feed_.newest_)) {
      SendFeed(*member,
               follower.needsWhole_ ? 0 : feed_.incarnation_,
               follower.number_,
               age);
      follower.number_ = feed_.newest_;
      follower.needsWhole_ = false;
    }
  }
}

// Followers look for another source at once, without waiting for an answer to
// their next request.
void
GatewayHost::DropFollowersIfStale()
{
  const Duration age = TableAge();
  if (followers_.empty() || age <= kMaxFeedAge || age == Duration::max()) {
    return;
  }
  for (const auto& [id, follower] : followers_) {
    if (const MemberRecord* member = FindMember(id)) {
      SendStoreUnavailable(*member);
    }
  }
  followers_.clear();
}

void
GatewayHost::HandleFeed(const PeerMessage& aMessage)
{
  const auto& content = std::get<GenerationContent>(aMessage.body_);
  const auto message = DecodeFeed(content.content_);
  if (!message.ok()) {
    WriteLog(LogLevel::Warning,
             "malformed tables from a peer dropped",
             { { "reason", std::string(message.status().message()) } });
    return;
  }
  TakePeerEvacuations(*message);
  if (message->storeUnavailable_) {
    const TimePoint now = ReadClock().mono_;
    if (now - storeUnavailableAt_ >= kFeedTimeout) {
      storeUnavailableSince_ = now;
    }
    storeUnavailableAt_ = now;
    if (aMessage.from_ == followed_.source_) {
      FollowFeed(followed_, DaemonId{});
    }
    return;
  }
  const FeedEffect effect = TakeFeedMessage(
    followed_, aMessage.from_, *message, Tables(), ReadClock().mono_);
  if (effect.missed_) {
    ++syncStats_.feedGaps_;
    WriteLog(LogLevel::Warning,
             "table changes missed",
             { { "source", std::to_string(aMessage.from_.value_) },
               { "position", std::to_string(followed_.position_) },
               { "follows", std::to_string(message->follows_) } });
    nextFeedRequestAt_ = feedRequestedAt_ + kMinFeedRequestInterval;
    RequestFeed();
  }
  syncStats_.wholeTables_ += effect.taken_ && message->whole_ ? 1 : 0;
  AdoptTables(effect.changed_);
  for (const std::size_t number : effect.stalled_) {
    WriteLog(LogLevel::Warning,
             "store watch stalled: a peer has newer revisions",
             { { "kind", store_.Table(number).kind_ } });
  }
  if (!effect.stalled_.empty()) {
    ++syncStats_.stalledWatches_;
    store_.Restart();
  }
}

void
GatewayHost::RequestFeed()
{
  const Now now = ReadClock();
  const std::vector<TableSync*> tables = Tables();
  const std::uint64_t version =
    gateway_.config_ == nullptr ? 0 : gateway_.config_->version_;
  const bool isFailing =
    std::any_of(tables.begin(), tables.end(), [&now](const TableSync* aTable) {
      return aTable->failures_ > 0 &&
             now.mono_ - aTable->failingSince_ > kPeerFallbackAfter;
    });
  const bool lacksEvacuations =
    serversWithheldSince_ != kNever &&
    now.mono_ - serversWithheldSince_ > kPeerFallbackAfter;
  // One that replaces a watcher goes on until a watcher reads the store again.
  const bool replacesWatcher =
    !role_.isWatcher_ && IsFresh() && !IsStoreReadByWatchers();
  const bool isWanted = (!role_.isWatcher_ && !replacesWatcher) || isFailing ||
                        lacksEvacuations || newestKnownVersion_ > version;
  if (!isWanted || now.mono_ < nextFeedRequestAt_) {
    return;
  }
  feedRequestedAt_ = now.mono_;
  nextFeedRequestAt_ = now.mono_ + kFeedRequestInterval;
  const MemberRecord* source =
    ChooseFeedSource(followed_,
                     { membership_.self_.id_,
                       membership_.self_.failureDomain_,
                       storeUnavailableAt_,
                       Generation{ newestKnownVersion_ },
                       configLagTime_ },
                     *members_,
                     now.mono_,
                     rng_);
  if (source == nullptr) {
    return;
  }
  FollowFeed(followed_, source->id_);
  GenerationRequest request;
  request.call_ = PeerCallId{ 1 };
  // A watcher may have skipped earlier feed messages, and a configuration that
  // stays behind shows that something has been lost: whole tables are
  // requested.
  const bool needsWhole =
    role_.isWatcher_ || followed_.needsWhole_ || configLagTime_ > kMaxSourceLag;
  request.generation_ = Generation{ needsWhole ? 0 : followed_.incarnation_ };
  request.base_ = Generation{ followed_.position_ };
  SendToPeer(
    SendPeer{ source->id_, source->peerAddress_, request, PeerCallId{} });
}

void
GatewayHost::TrackConfigLag()
{
  const TimePoint now = ReadClock().mono_;
  const std::uint64_t version =
    gateway_.config_ == nullptr ? 0 : gateway_.config_->version_;
  configLagTime_ =
    UpdateConfigLag(configLag_, version, newestKnownVersion_, now);
  const bool isLagging = configLagTime_ > kConfigLagToLog;
  if (isLagging == configLag_.logged_) {
    return;
  }
  configLag_.logged_ = isLagging;
  if (!isLagging) {
    WriteLog(LogLevel::Info,
             "configuration no longer behind",
             { { "version", std::to_string(version) } });
    return;
  }
  ++syncStats_.configLags_;
  WriteLog(
    LogLevel::Warning,
    "configuration behind another daemon's",
    { { "version", std::to_string(version) },
      { "newest", std::to_string(newestKnownVersion_) },
      { "source", std::to_string(followed_.source_.value_) },
      { "feed_millis",
        std::to_string((now - followed_.receivedAt_).count() / 1000) } });
}

// A daemon that isn't a watcher reads the store only while it has no feed, or
// none that keeps its configuration up to date.
void
GatewayHost::UpdateRole()
{
  const TimePoint now = ReadClock().mono_;
  UpdateFleetRole(role_,
                  membership_.self_.id_,
                  *members_,
                  MaxEntryDaemons(gateway_),
                  settings_.gateway_.budget_.window_,
                  now);
  MembershipSetLoad(membership_, GatewayCpuLoad(gateway_));
  // While the store is unavailable there is no feed. The store may answer
  // others than the watchers, so followers try to read it in turns.
  const bool storeUnavailable = now - storeUnavailableAt_ < kFeedTimeout;
  const bool mayRead =
    storeUnavailable
      ? IsFresh() ||
          MayReplaceWatcher(FallbackPlace(membership_.self_.id_, *members_),
                            now - storeUnavailableSince_)
      : now - followed_.receivedAt_ >= kStoreReadAfter;
  const bool hasFeed = !mayRead;
  const bool joining = now < role_.startedAt_ + kFirstFeedTimeout;
  // Before the first sync, few members are known.
  const bool membersKnown = MembershipIsSynced(membership_) || !joining;
  const TimePoint firstReadAt =
    role_.startedAt_ + kDiscoveryTime +
    FirstReadDelay(membership_.self_.id_, members_->size());
  if (!MembershipIsSynced(membership_)) {
    role_.coldOwners_.clear();
  }
  GatewaySetRole(gateway_, role_);
  for (std::size_t number = 0; number < store_.Count(); ++number) {
    TableSync& table = store_.Table(number);
    const bool wasPassive = table.passive_;
    // The source may run with settings that don't have this table.
    const bool isCarried = number != kEvacuationsTable || storeUnavailable ||
                           followed_.kinds_.count(table.kind_) > 0;
    table.passive_ =
      IsReadByOthers({ role_.isWatcher_,
                       table.complete_,
                       now >= firstReadAt && membersKnown,
                       joining,
                       hasFeed && isCarried,
                       number == kConfigTable ? configLagTime_ : Duration() });
    // Changes that a feed applies meanwhile are missing in the watch's history.
    table.watching_ = table.watching_ && !table.passive_;
    if (wasPassive && !table.passive_ && storeUnavailable &&
        !followed_.needsWhole_) {
      ResumeTable(table, now);
    }
  }
  MembershipSetReadsStore(membership_, IsFresh() && TableAge() <= kMaxFeedAge);
}

/** Whether a watcher, other than this daemon, has up to date tables. */
bool
GatewayHost::IsStoreReadByWatchers() const
{
  const auto watchers = ChooseWatchers(*members_);
  return std::any_of(
    watchers.begin(), watchers.end(), [this](const MemberRecord* aMember) {
      return aMember->readsStore_ && aMember->id_ != membership_.self_.id_;
    });
}

} // namespace camphorfield
