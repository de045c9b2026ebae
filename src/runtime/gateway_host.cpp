#include "runtime/gateway_host.h"

#include "gateway/directory.h"
#include "gateway/gateway_const.h"
#include "gateway/gateway_func.h"
#include "membership/membership_func.h"
#include "observe/log.h"
#include "observe/request_log.h"
#include "peer/peer_codec.h"
#include "runtime/clock.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <type_traits>
#include <utility>

namespace camphorfield {

namespace {

constexpr std::size_t kConfigTable = 0;
constexpr std::size_t kServersTable = 1;
constexpr Duration kCareEvery = std::chrono::milliseconds(250);
/** A daemon that follows another one's tables says so that often. */
constexpr Duration kFeedAskEvery = std::chrono::milliseconds(500);
/** Without a word for so long, it asks another one, and the store. */
constexpr Duration kFeedLife = std::chrono::milliseconds(1300);
/** A daemon that has read the store waits so long for a feeder. */
constexpr Duration kJoinTime = std::chrono::seconds(2);
/** Connections are opened once the other daemons are known: too many daemons
 * would exceed what servers accept. */
constexpr Duration kWarmAfter = std::chrono::milliseconds(400);
constexpr Duration kFollowerLife = std::chrono::seconds(3);
/** A failing store is left to peers after this time. */
constexpr Duration kFeedAfter = std::chrono::milliseconds(200);
/** The largest fleet of this time shares budgets and connections: a daemon
 * that is cut off, or restarts, must not take the shares of the others. */
constexpr Duration kCountMemory = std::chrono::seconds(15);
/** Daemons assumed until others have been heard of. */
constexpr std::uint32_t kDaemonsUnknown = 8;
constexpr Duration kUnknownFor = std::chrono::seconds(5);
/** A VM that stood still for longer must read everything anew. */
constexpr Duration kSuspensionNoticed = std::chrono::milliseconds(500);

} // namespace

GatewayHost::GatewayHost(const GatewayHostSettings& aSettings,
                         const GatewayAdapter& aAdapter,
                         WorkerPool& aPool)
  : settings_(aSettings)
  , adapter_(aAdapter)
  , pool_(aPool)
  , rng_(aSettings.seed_)
  , gateway_(MakeGatewayState(aSettings.gateway_))
  , membership_(MakeMembershipState(aSettings.membership_, ReadClock(), rng_))
  , backends_(
      aPool.At(0).Context(),
      adapter_.gateway_,
      BackendSink{ [this](const BackendOpened& aItem) { Step(aItem); },
                   [this](BackendAnswer&& aItem) { Step(std::move(aItem)); },
                   [this](const BackendClosed& aItem) { Step(aItem); } })
  , peers_(
      aPool,
      [this](const Event& aEvent) {
        if (const auto* lost = std::get_if<PeerUnreachable>(&aEvent)) {
          StepMembership(*lost);
        }
      },
      [this](const std::string& aPayload) { OnFrame(aPayload); })
  , store_(aPool.At(0),
           adapter_.store_,
           aSettings.storeAddress_,
           { aSettings.configKind_, aSettings.serversKind_ },
           [this](std::size_t aTable, const TableChange& aChange) {
             OnTable(aTable, aChange);
           })
  , timer_(aPool.At(0).Context())
  , members_(MembershipMembers(membership_))
  , startedAt_(ReadClock().mono_)
  , suspended_(ReadSuspension())
{
  daemonCounts_[startedAt_ + kUnknownFor - kCountMemory] = kDaemonsUnknown;
  GatewaySetWarm(gateway_, false);
  GatewaySetDaemons(gateway_, kDaemonsUnknown);
  feed_.life_ = aSettings.membership_.self_.incarnation_.value_;
}

absl::Status
GatewayHost::Start()
{
  absl::Status status = peers_.Listen(settings_.membership_.self_.peerAddress_);
  if (!status.ok()) {
    return status;
  }
  pool_.At(0).Post([this]() {
    store_.Start();
    OnTimer();
  });
  return absl::OkStatus();
}

void
GatewayHost::OnLimits(std::function<void(const GatewayLimits&)> aHandler)
{
  onLimits_ = std::move(aHandler);
}

template<typename Item>
void
GatewayHost::Step(Item&& aItem)
{
  GatewayOnEvent(
    gateway_, std::forward<Item>(aItem), ReadClock(), rng_, decisions_);
  Carry();
}

template<typename Item>
void
GatewayHost::StepMembership(const Item& aItem)
{
  MembershipOnEvent(membership_, aItem, ReadClock(), rng_, memberDecisions_);
  CarryMembership();
  Arm();
}

// Drivers never call back from within a call, so the list doesn't grow while
// it is carried out.
void
GatewayHost::Carry()
{
  for (GatewayDecision& decision : decisions_) {
    Carry(decision);
  }
  decisions_.clear();
  Arm();
}

void
GatewayHost::Carry(GatewayDecision& aDecision)
{
  std::visit(
    [this](auto& aItem) {
      using Item = std::decay_t<decltype(aItem)>;
      if constexpr (std::is_same_v<Item, ProxyAnswer>) {
        const CallerRequestId id = aItem.id_;
        Fulfil(id, std::move(aItem));
      } else if constexpr (std::is_same_v<Item, BackendConnect>) {
        backends_.Connect(aItem);
      } else if constexpr (std::is_same_v<Item, BackendSend>) {
        backends_.Send(aItem);
      } else if constexpr (std::is_same_v<Item, BackendDisconnect>) {
        backends_.Disconnect(aItem);
      } else if constexpr (std::is_same_v<Item, SuspectFound>) {
        QuarantineRumor rumor;
        rumor.fingerprint_ = Fingerprint{ aItem.fingerprint_ };
        rumor.crashes_ = aItem.crashes_;
        rumor.untilUnixMicros_ =
          ReadClock().unixMicros_ + Duration(kSuspectLife).count();
        StepMembership(SpreadRumor{ rumor });
      } else if constexpr (std::is_same_v<Item, RequestRecord>) {
        LogRequest(aItem);
      } else if constexpr (std::is_same_v<Item, BackendRecord>) {
        LogBackend(aItem);
      }
    },
    aDecision);
}

void
GatewayHost::CarryMembership()
{
  const Decisions decisions = std::exchange(memberDecisions_, {});
  for (const Decision& decision : decisions) {
    if (const auto* send = std::get_if<SendPeer>(&decision)) {
      SendToPeer(*send);
    } else if (const auto* changed = std::get_if<MembersChanged>(&decision)) {
      members_ = changed->members_;
      OnMembers(*members_);
    } else if (const auto* heard = std::get_if<RumorHeard>(&decision)) {
      const auto* rumor = std::get_if<QuarantineRumor>(&heard->rumor_);
      if (rumor != nullptr) {
        GatewayHearSuspect(
          gateway_, rumor->fingerprint_.value_, rumor->crashes_, ReadClock());
      }
    } else if (const auto* event = std::get_if<TimelineRecord>(&decision)) {
      LogMembership(*event);
    }
  }
}

void
GatewayHost::SendToPeer(const SendPeer& aSend)
{
  PeerMessage message;
  message.from_ = membership_.self_.id_;
  message.fromIncarnation_ = settings_.membership_.self_.incarnation_;
  message.sent_ = HybridTime{ ReadClock().unixMicros_, 0 };
  message.body_ = aSend.body_;
  peers_.Send(PeerFrame{
    aSend.to_, aSend.address_, aSend.call_, EncodePeerMessage(message) });
}

void
GatewayHost::OnFrame(const std::string& aPayload)
{
  const absl::StatusOr<PeerMessage> message = DecodePeerMessage(aPayload);
  if (!message.ok()) {
    WriteLog(LogLevel::Warning,
             "peer frame refused",
             { { "reason", std::string(message.status().message()) } });
    return;
  }
  if (std::holds_alternative<GenerationAsk>(message->body_)) {
    AnswerFeed(*message);
    return;
  }
  if (std::holds_alternative<GenerationContent>(message->body_)) {
    TakeFeed(*message);
    return;
  }
  StepMembership(*message);
}

void
GatewayHost::OnMembers(const std::vector<MemberRecord>& aMembers)
{
  const TimePoint now = ReadClock().mono_;
  daemonCounts_[now] = static_cast<std::uint32_t>(aMembers.size());
  for (const MemberRecord& member : aMembers) {
    newestHeard_ = std::max(newestHeard_, member.generation_.value_);
  }
}

void
GatewayHost::OnTable(std::size_t aTable, const TableChange& aChange)
{
  const char* kind = aTable == kConfigTable ? "config" : "servers";
  if (aChange.lost_) {
    WriteLog(LogLevel::Warning, "store lost", { { "kind", kind } });
  }
  if (aChange.regained_) {
    WriteLog(LogLevel::Info, "store regained", { { "kind", kind } });
  }
  if (aChange.changed_) {
    AdoptTables(aTable);
  }
  Arm();
}

void
GatewayHost::AdoptTables(std::size_t aTable)
{
  if (!store_.Table(aTable).complete_) {
    return;
  }
  if (aTable == kConfigTable) {
    AdoptConfig();
  } else {
    AdoptServers();
  }
  MembershipSetReady(membership_, IsReady());
  NoteTable(feed_, store_.Table(aTable));
  PushFeed();
}

void
GatewayHost::AdoptConfig()
{
  const TableSync& table = store_.Table(kConfigTable);
  const auto found = table.objects_.find(settings_.configName_);
  if (found == table.objects_.end()) {
    return;
  }
  const auto config = adapter_.decodeConfig_(found->second.text_);
  if (!config.ok()) {
    WriteLog(LogLevel::Error,
             "configuration refused",
             { { "reason", std::string(config.status().message()) },
               { "revision", std::to_string(found->second.revision_) } });
    return;
  }
  const std::uint64_t version = (*config)->version_;
  if (!GatewayAdoptConfig(gateway_, *config, ReadClock(), rng_, decisions_)) {
    return;
  }
  WriteLog(LogLevel::Info,
           "configuration in force",
           { { "version", std::to_string(version) },
             { "revision", std::to_string(found->second.revision_) },
             { "routes", std::to_string((*config)->routes_.size()) } });
  Carry();
  if (onLimits_) {
    onLimits_((*config)->limits_);
  }
  auto published = std::make_shared<PublishedConfig>();
  published->generation_ = Generation{ version };
  StepMembership(ConfigAdopted{ std::move(published) });
}

void
GatewayHost::AdoptServers()
{
  const TableSync& table = store_.Table(kServersTable);
  std::erase_if(entries_, [&table](const auto& aItem) {
    return table.objects_.count(aItem.first) == 0;
  });
  std::vector<BackendEntry> servers;
  for (const auto& [name, object] : table.objects_) {
    auto& [revision, entry] = entries_[name];
    if (revision != object.revision_) {
      auto decoded = adapter_.decodeServer_(name, object.text_);
      revision = object.revision_;
      if (!decoded.ok()) {
        entry = BackendEntry{};
        WriteLog(LogLevel::Warning,
                 "server entry ignored",
                 { { "server", name },
                   { "reason", std::string(decoded.status().message()) } });
      } else {
        entry = *std::move(decoded);
      }
    }
    if (!entry.id_.empty()) {
      servers.push_back(entry);
    }
  }
  GatewayAdoptServers(gateway_, servers, ReadClock(), rng_, decisions_);
  Carry();
}

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
  const FeedMessage message = MakeFeedMessage(
    feed_,
    { &store_.Table(kConfigTable), &store_.Table(kServersTable) },
    aLife,
    aNumber);
  GenerationContent content;
  content.call_ = PeerCallId{ 1 };
  content.generation_ = Generation{ 1 };
  content.content_ = EncodeFeed(message);
  SendToPeer(
    SendPeer{ aTo.id_, aTo.peerAddress_, std::move(content), PeerCallId{} });
}

// Only what the store itself has told is handed on. Those who follow are told
// of changes until they ask no more.
void
GatewayHost::AnswerFeed(const PeerMessage& aMessage)
{
  const MemberRecord* sender = FindMember(aMessage.from_);
  if (sender == nullptr || !IsFresh()) {
    return;
  }
  const auto& ask = std::get<GenerationAsk>(aMessage.body_);
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
      SendFeed(*member, feed_.life_, follower.number_);
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
  // Changes fit only on what was taken from the same life up to there.
  if (aMessage.from_ != feeder_ ||
      (!message->whole_ && message->life_ != feederLife_)) {
    return;
  }
  feederLife_ = message->life_;
  feederNumber_ = message->number_;
  fedAt_ = ReadClock().mono_;
  for (const std::size_t number : { kConfigTable, kServersTable }) {
    TableSync& table = store_.Table(number);
    // A table that the store itself keeps up to date needs no help.
    if (!IsTableFresh(table) && ApplyFeed(*message, table)) {
      AdoptTables(number);
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
  // After a silence others are tried too.
  const bool first = feeder_.value_ == 0;
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
  GenerationAsk ask;
  ask.call_ = PeerCallId{ 1 };
  ask.generation_ = Generation{ feederLife_ };
  ask.base_ = Generation{ feederNumber_ };
  SendToPeer(SendPeer{ feeder->id_, feeder->peerAddress_, ask, PeerCallId{} });
}

// A daemon that doesn't watch reads the store once, and again whenever nobody
// tells it of changes.
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
  const bool fed = now - fedAt_ < kFeedLife;
  const bool joining = now < startedAt_ + kJoinTime;
  for (const std::size_t number : { kConfigTable, kServersTable }) {
    TableSync& table = store_.Table(number);
    table.passive_ = !watcher_ && table.complete_ && (fed || joining);
    // What was told meanwhile isn't in the watch's history.
    table.watching_ = table.watching_ && !table.passive_;
  }
  const std::size_t fronts = CountFronts(gateway_);
  const bool front =
    holds(ChooseFronts(*members_, fronts)) || members_->size() <= fronts;
  GatewaySetWarm(gateway_, front && now >= startedAt_ + kWarmAfter);
  std::uint32_t daemons = 1;
  for (const auto& [at, count] : daemonCounts_) {
    daemons = std::max(daemons, count);
  }
  GatewaySetDaemons(gateway_,
                    std::min(daemons, static_cast<std::uint32_t>(fronts)));
}

// The steady clock stands still while the VM does, so that deadlines and
// watches look younger than they are.
void
GatewayHost::CheckSuspension()
{
  const Duration suspended = ReadSuspension();
  if (suspended - suspended_ > kSuspensionNoticed) {
    WriteLog(LogLevel::Warning,
             "the VM stood still",
             { { "millis",
                 std::to_string((suspended - suspended_).count() / 1000) } });
    store_.Restart();
  }
  suspended_ = suspended;
}

ProxyAnswer
GatewayHost::Ask(ProxyRequest aRequest,
                 const std::function<void(std::function<void()>)>& aWatchGone)
{
  const CallerRequestId id{ nextRequest_++ };
  aRequest.id_ = id;
  Promise promise;
  boost::fibers::future<ProxyAnswer> future = promise.get_future();
  pending_.emplace(id, &promise);
  Step(aRequest);
  if (pending_.count(id) > 0) {
    aWatchGone([this, id]() { Abandon(id); });
  }
  return future.get();
}

// The entry goes first: a second answer, after an Abandon, finds none.
void
GatewayHost::Fulfil(CallerRequestId aId, ProxyAnswer&& aAnswer)
{
  const auto found = pending_.find(aId);
  if (found == pending_.end()) {
    return;
  }
  Promise* promise = found->second;
  pending_.erase(found);
  promise->set_value(std::move(aAnswer));
}

void
GatewayHost::Abandon(CallerRequestId aId)
{
  Step(CallerGone{ aId });
  ProxyAnswer nothing;
  nothing.id_ = aId;
  Fulfil(aId, std::move(nothing));
}

EntriesAnswer
GatewayHost::ListEntries() const
{
  return ListFronts(*members_, CountFronts(gateway_));
}

bool
GatewayHost::IsReady() const
{
  return !stopping_ && gateway_.config_ != nullptr &&
         !gateway_.backendOf_.empty();
}

void
GatewayHost::BeginStop()
{
  stopping_ = true;
  MembershipSetReady(membership_, false);
  StepMembership(StopAsked{ "signal" });
}

std::size_t
GatewayHost::InFlight() const
{
  return GatewayInFlight(gateway_);
}

void
GatewayHost::Arm()
{
  const TimePoint wake = std::min(
    { GatewayNextWake(gateway_), MembershipNextWake(membership_), nextCare_ });
  if (wake >= armed_) {
    return;
  }
  armed_ = wake;
  timer_.expires_at(ToSteady(wake));
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      OnTimer();
    }
  });
}

void
GatewayHost::OnTimer()
{
  armed_ = kNever;
  const TimePoint now = ReadClock().mono_;
  if (now >= nextCare_) {
    nextCare_ = now + kCareEvery;
    CheckSuspension();
    ChooseRole();
    AskForFeed();
    if (DropLapsed(store_.Table(kServersTable), now).changed_) {
      AdoptTables(kServersTable);
    }
    std::erase_if(daemonCounts_, [this, now](const auto& aItem) {
      return aItem.first + kCountMemory < now && daemonCounts_.size() > 1;
    });
  }
  if (now >= MembershipNextWake(membership_)) {
    StepMembership(Tick{});
  }
  Step(Tick{});
}

} // namespace camphorfield
