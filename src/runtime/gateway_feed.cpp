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
constexpr Duration kFeedAskEvery = std::chrono::milliseconds(500);
/** Without a word for so long, it asks another one, and the store. */
constexpr Duration kFeedLife = std::chrono::milliseconds(1300);
/** A daemon that starts waits so long for a feeder. */
constexpr Duration kJoinTime = std::chrono::seconds(2);
/** Connections are opened once no further daemon has become known for so long:
 * too many daemons would exceed what servers accept. */
constexpr Duration kWarmAfter = std::chrono::milliseconds(400);
/** Daemons that are alive but not ready by then leave service to others. */
constexpr Duration kUnreadyAfter = std::chrono::seconds(6);
/** Views of who serves callers may differ, and callers keep old answers: at
 * most that many times as many daemons serve at a time. */
constexpr std::uint32_t kFrontViews = 2;
/** The others are known so long after the start; before, each daemon of a
 * starting fleet would read the store. */
constexpr Duration kKnownAfter = std::chrono::milliseconds(240);
/** The watchers themselves may be turned away by a store that serves others:
 * followers that have heard of no change for so long ask it, each at its own
 * time. */
constexpr Duration kAloneAfter = std::chrono::seconds(5);
constexpr Duration kFollowerLife = std::chrono::seconds(3);
/** A failing store is left to peers after this time. */
constexpr Duration kFeedAfter = std::chrono::milliseconds(200);

std::uint32_t
CountMost(const std::map<TimePoint, std::uint32_t>& aCounts)
{
  std::uint32_t most = 1;
  for (const auto& [at, count] : aCounts) {
    most = std::max(most, count);
  }
  return most;
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
                      std::uint64_t aLife,
                      std::uint64_t aNumber)
{
  // Most followers are told the same.
  const bool whole = NeedsWholeTables(feed_, aLife, aNumber);
  const std::tuple key(feed_.newest_, whole, whole ? 0 : aNumber);
  if (encodedFeed_.empty() || encodedKey_ != key) {
    encodedFeed_ = EncodeFeed(MakeFeedMessage(
      feed_,
      { &store_.Table(kConfigTable), &store_.Table(kServersTable) },
      aLife,
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
GatewayHost::AnswerFeed(const PeerMessage& aMessage)
{
  const MemberRecord* sender = FindMember(aMessage.from_);
  if (sender == nullptr) {
    return;
  }
  if (!IsFresh()) {
    FeedMessage message;
    message.storeUnavailable_ = true;
    SendFeedText(*sender, EncodeFeed(message));
    return;
  }
  const auto& ask = std::get<GenerationRequest>(aMessage.body_);
  SendFeed(*sender, ask.generation_.value_, ask.base_.value_);
  followers_[aMessage.from_] =
    FeedFollower{ feed_.newest_, ReadClock().mono_ + kFollowerLife };
}

void
GatewayHost::PushFeed()
{
  const TimePoint now = ReadClock().mono_;
  std::erase_if(followers_,
                [now](const auto& aItem) { return aItem.second.until_ < now; });
  for (auto& [id, follower] : followers_) {
    const MemberRecord* member = FindMember(id);
    if (member != nullptr && follower.number_ < feed_.newest_) {
      SendFeed(*member, feed_.incarnation_, follower.number_);
      follower.number_ = feed_.newest_;
    }
  }
}

void
GatewayHost::TakeFeed(const PeerMessage& aMessage)
{
  const auto& content = std::get<GenerationContent>(aMessage.body_);
  const auto message = DecodeFeed(content.content_);
  if (!message.ok()) {
    WriteLog(LogLevel::Warning,
             "tables of a peer refused",
             { { "reason", std::string(message.status().message()) } });
    return;
  }
  if (message->storeUnavailable_) {
    behindAt_ = ReadClock().mono_;
    return;
  }
  // Changes fit only on what was taken from the same life up to there.
  if (aMessage.from_ != feeder_ ||
      (!message->whole_ && message->incarnation_ != feederLife_)) {
    return;
  }
  feederLife_ = message->incarnation_;
  feederNumber_ = message->number_;
  fedAt_ = ReadClock().mono_;
  for (const std::size_t number : { kConfigTable, kServersTable }) {
    TableSync& table = store_.Table(number);
    const bool dead = IsTableFresh(table) && ShouldApplyFeed(*message, table);
    if (ShouldApplyFeed(*message, table) && ApplyFeed(*message, table)) {
      AdoptTables(number);
    }
    if (dead) {
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
GatewayHost::ChooseFeeder()
{
  const DaemonId self = membership_.self_.id_;
  const bool heard = ReadClock().mono_ - fedAt_ < kFeedLife;
  const MemberRecord* current = FindMember(feeder_);
  if (heard && current != nullptr && current->state_ == MemberState::Alive) {
    return current;
  }
  std::vector<const MemberRecord*> near;
  std::vector<const MemberRecord*> all;
  for (const MemberRecord* member : ChooseWatchers(*members_)) {
    if (member->id_ == self) {
      continue;
    }
    all.push_back(member);
    if (member->failureDomain_ == membership_.self_.failureDomain_) {
      near.push_back(member);
    }
  }
  // After a silence, or from one that is behind, others are tried too.
  const bool first =
    feeder_.value_ == 0 && ReadClock().mono_ - behindAt_ >= kFeedLife;
  const std::vector<const MemberRecord*>& from =
    first && !near.empty() ? near : all;
  return from.empty() ? nullptr : from[rng_() % from.size()];
}

void
GatewayHost::AskForFeed()
{
  const Now now = ReadClock();
  const TableSync& config = store_.Table(kConfigTable);
  const TableSync& servers = store_.Table(kServersTable);
  const std::uint64_t version =
    gateway_.config_ == nullptr ? 0 : gateway_.config_->version_;
  const auto failing = [&now](const TableSync& aTable) {
    return aTable.failures_ > 0 &&
           now.mono_ - aTable.failingSince_ > kFeedAfter;
  };
  const bool wanted =
    !watcher_ || failing(config) || failing(servers) || newestHeard_ > version;
  if (!wanted || now.mono_ < nextFeedAsk_) {
    return;
  }
  nextFeedAsk_ = now.mono_ + kFeedAskEvery;
  const MemberRecord* feeder = ChooseFeeder();
  if (feeder == nullptr) {
    return;
  }
  if (feeder->id_ != feeder_) {
    feeder_ = feeder->id_;
    feederLife_ = 0;
    feederNumber_ = 0;
  }
  GenerationRequest ask;
  ask.call_ = PeerCallId{ 1 };
  // One that reads the store itself may have left out earlier messages.
  ask.generation_ = Generation{ watcher_ ? 0 : feederLife_ };
  ask.base_ = Generation{ feederNumber_ };
  SendToPeer(SendPeer{ feeder->id_, feeder->peerAddress_, ask, PeerCallId{} });
}

// A daemon that doesn't watch reads the store only while nobody tells it of
// changes.
void
GatewayHost::ChooseRole()
{
  const DaemonId self = membership_.self_.id_;
  const auto holds = [self](const std::vector<const MemberRecord*>& aList) {
    return std::any_of(
      aList.begin(), aList.end(), [self](const MemberRecord* aMember) {
        return aMember->id_ == self;
      });
  };
  watcher_ = holds(ChooseWatchers(*members_));
  const TimePoint now = ReadClock().mono_;
  // With the store away nobody is fed; those who watch it see its return.
  const bool behind =
    now - behindAt_ < kFeedLife && now - fedAt_ < kAloneAfter + aloneJitter_;
  const bool fed = now - fedAt_ < kFeedLife || behind;
  const bool joining = now < startedAt_ + kJoinTime;
  const bool known = now >= startedAt_ + kKnownAfter;
  for (const std::size_t number : { kConfigTable, kServersTable }) {
    TableSync& table = store_.Table(number);
    table.passive_ =
      !known || (!watcher_ && (joining || (fed && table.complete_)));
    // What was told meanwhile isn't in the watch's history.
    table.watching_ = table.watching_ && !table.passive_;
  }
  MembershipSetLoad(membership_, GatewayCpuLoad(gateway_));
  const std::size_t most = MaxEntryDaemons(gateway_);
  const auto fronts = ChooseEntryDaemons(*members_, most, EntryScope::Ready);
  // While all start, few are known and ready, and each would take itself for a
  // front.
  const bool settled = now >= memberJoinedAt_ + kWarmAfter;
  const bool front =
    now < startedAt_ + kUnreadyAfter
      ? settled && holds(ChooseEntryDaemons(*members_, most, EntryScope::Alive))
      : holds(fronts);
  GatewaySetPreconnect(gateway_, front);
  frontCounts_[now] = static_cast<std::uint32_t>(fronts.size());
  const std::uint32_t daemons = CountMost(daemonCounts_);
  GatewaySetDaemons(gateway_,
                    std::min(daemons, kFrontViews * CountMost(frontCounts_)));
}

} // namespace camphorfield
