// Host of a gateway: runs its cores on one thread and executes their decisions.
// Detects suspension of the VM, after which the tables may be outdated.
#include "runtime/gateway_host.h"

#include "gateway/fleet/directory.h"
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

/** Interval of the log line with the traffic counters. */
constexpr Duration kTrafficLogInterval = std::chrono::seconds(10);
constexpr Duration kHostMaintenanceInterval = std::chrono::milliseconds(250);
/** The same while a daemon starts: its first reads and connections are due as
 * soon as members and tables are known. */
constexpr Duration kFastMaintenanceInterval = std::chrono::milliseconds(50);
constexpr Duration kFastMaintenancePeriod = std::chrono::seconds(3);
/** After a longer suspension of the VM the tables are read anew. */
constexpr Duration kMinSuspension = std::chrono::milliseconds(500);

/** Kinds of the tables, in the order of their indices. */
std::vector<std::string>
MakeKinds(const GatewayHostSettings& aSettings)
{
  std::vector<std::string> kinds{ aSettings.configKind_,
                                  aSettings.serversKind_ };
  if (!aSettings.evacuationsKind_.empty()) {
    kinds.push_back(aSettings.evacuationsKind_);
  }
  return kinds;
}

} // namespace

GatewayHost::GatewayHost(const GatewayHostSettings& aSettings,
                         const GatewayAdapter& aAdapter,
                         WorkerPool& aPool)
  : settings_(aSettings)
  , adapter_(aAdapter)
  , pool_(aPool)
  , memory_(aSettings.heldBytes_)
  , rng_(aSettings.seed_)
  , gateway_(MakeGatewayState(aSettings.gateway_))
  , answersHold_(&memory_, { .mayUseAll_ = true }, []() {})
  , membership_(MakeMembershipState(aSettings.membership_, ReadClock(), rng_))
  , backends_(
      aPool.At(0).Context(),
      adapter_.gateway_,
      BackendSink{
        [this](const BackendOpened& aItem) { HandleEvent(aItem); },
        [this](BackendAnswer&& aItem) { HandleEvent(std::move(aItem)); },
        [this](const BackendClosed& aItem) { HandleEvent(aItem); },
        [this](const UnreadAnswer& aItem) { HandleEvent(aItem); } },
      &memory_)
  , peers_(
      aPool,
      [this](const Event& aEvent) {
        if (const auto* lost = std::get_if<PeerUnreachable>(&aEvent)) {
          HandleMembershipEvent(*lost);
        }
      },
      [this](const std::string& aPayload) { OnFrame(aPayload); },
      PeerLimits{ &memory_, aSettings.maxPeerConnections_ })
  , store_(aPool.At(0),
           &memory_,
           adapter_.store_,
           aSettings.storeAddress_,
           MakeKinds(aSettings),
           [this](std::size_t aTable, const TableChange& aChange) {
             OnTable(aTable, aChange);
           })
  , evidence_(
      aPool.At(0),
      &memory_,
      adapter_.evidence_,
      aSettings.storeAddress_,
      aSettings.storesEvidence_,
      [this]() { return IsEvidenceKeeper(); },
      [this](const EvidenceItems& aItems) { AdoptStoredEvidence(aItems); })
  , timer_(aPool.At(0).Context())
  , members_(MembershipMembers(membership_))
  , role_(MakeFleetRole(ReadClock().mono_))
  , totalSuspension_(ReadSuspension())
{
  GatewaySetRole(gateway_, role_);
  feed_.incarnation_ = aSettings.membership_.self_.incarnation_.value_;
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
    evidence_.Start();
    OnTimer();
  });
  return absl::OkStatus();
}

void
GatewayHost::SetLimitsHandler(
  std::function<void(const GatewayLimits&)> aHandler)
{
  limitsHandler_ = std::move(aHandler);
}

template<typename Item>
void
GatewayHost::HandleEvent(Item&& aItem)
{
  GatewayOnEvent(
    gateway_, std::forward<Item>(aItem), ReadClock(), rng_, decisions_);
  ApplyDecisions();
}

template<typename Item>
void
GatewayHost::HandleMembershipEvent(const Item& aItem)
{
  MembershipOnEvent(
    membership_, aItem, ReadClock(), rng_, membershipDecisions_);
  ApplyMembershipDecisions();
  ArmTimer();
}

void
GatewayHost::ForwardToMembership(const ConfigAdopted& aAdopted)
{
  HandleMembershipEvent(aAdopted);
}

// Drivers never call back from within a call, so decisions_ doesn't grow during
// the loop.
void
GatewayHost::ApplyDecisions()
{
  for (GatewayDecision& decision : decisions_) {
    ApplyDecision(decision);
  }
  decisions_.clear();
  // What is being served is not refused, also beyond the limit; new requests
  // are.
  answersHold_.Set(gateway_.heldBytes_);
  ArmTimer();
}

void
GatewayHost::ApplyDecision(GatewayDecision& aDecision)
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
        SpreadEvidence(aItem);
      } else if constexpr (std::is_same_v<Item, CapSend>) {
        SendCapMessage(aItem);
      } else if constexpr (std::is_same_v<Item, RequestRecord>) {
        LogRequest(aItem);
      } else if constexpr (std::is_same_v<Item, BackendRecord>) {
        LogBackendChange(aItem);
      } else if constexpr (std::is_same_v<Item, SuspicionRecord>) {
        LogSuspicion(aItem);
      }
    },
    aDecision);
}

void
GatewayHost::ApplyMembershipDecisions()
{
  const Decisions decisions = std::exchange(membershipDecisions_, {});
  for (const Decision& decision : decisions) {
    if (const auto* send = std::get_if<SendPeer>(&decision)) {
      SendToPeer(*send);
    } else if (const auto* changed = std::get_if<MembersChanged>(&decision)) {
      members_ = changed->members_;
      OnMembers(*members_);
    } else if (const auto* heard = std::get_if<RumorReceived>(&decision)) {
      const auto* rumor = std::get_if<QuarantineRumor>(&heard->rumor_);
      if (rumor != nullptr) {
        AdoptEvidence(*rumor);
      }
    } else if (const auto* event = std::get_if<TimelineRecord>(&decision)) {
      LogMembershipChange(*event);
    }
  }
}

void
GatewayHost::SpreadEvidence(const SuspectFound& aFound)
{
  const bool isReport = IsSilenceReport(aFound.evidence_);
  const Duration timeToLive =
    isReport ? Duration(kSilentCrashWindow) : Duration(kSuspectTtl);
  QuarantineRumor rumor;
  rumor.fingerprint_ = Fingerprint{ aFound.fingerprint_ };
  rumor.evidence_ = aFound.evidence_;
  rumor.untilUnixMicros_ = ReadClock().unixMicros_ + timeToLive.count();
  HandleMembershipEvent(SpreadRumor{ rumor });
  if (!isReport) {
    evidence_.Record(aFound.fingerprint_, aFound.evidence_, true);
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
  std::string text = EncodePeerMessage(message);
  const bool tables = std::holds_alternative<GenerationContent>(aSend.body_);
  (tables ? traffic_.tables_ : traffic_.membership_) += text.size();
  const MemberRecord* member = FindMember(aSend.to_);
  if (member != nullptr &&
      member->failureDomain_ != membership_.self_.failureDomain_) {
    traffic_.crossDomain_ += text.size();
  }
  peers_.Send(
    PeerFrame{ aSend.to_, aSend.address_, aSend.call_, std::move(text) });
}

void
GatewayHost::OnFrame(const std::string& aPayload)
{
  const absl::StatusOr<PeerMessage> message = DecodePeerMessage(aPayload);
  if (!message.ok()) {
    WriteLog(LogLevel::Warning,
             "malformed peer message dropped",
             { { "reason", std::string(message.status().message()) } });
    return;
  }
  if (std::holds_alternative<GenerationRequest>(message->body_)) {
    HandleFeedRequest(*message);
    return;
  }
  if (std::holds_alternative<GenerationContent>(message->body_)) {
    HandleFeed(*message);
    return;
  }
  if (const auto* cap = std::get_if<CapMessage>(&message->body_)) {
    HandleEvent(CapReceived{ message->from_, *cap });
    return;
  }
  HandleMembershipEvent(*message);
}

void
GatewayHost::OnMembers(const std::vector<MemberRecord>& aMembers)
{
  RecordFleetSize(role_, aMembers.size(), ReadClock().mono_);
  for (const MemberRecord& member : aMembers) {
    newestKnownVersion_ =
      std::max(newestKnownVersion_, member.generation_.value_);
  }
  ReportTableAge();
}

// The steady clock doesn't advance while the VM is suspended, so deadlines and
// store watches look younger than they are.
void
GatewayHost::CheckSuspension()
{
  const Duration suspended = ReadSuspension();
  if (suspended - totalSuspension_ > kMinSuspension) {
    WriteLog(
      LogLevel::Warning,
      "VM was suspended",
      { { "millis",
          std::to_string((suspended - totalSuspension_).count() / 1000) } });
    store_.Restart();
    CapsAfterSuspension(gateway_.caps_, ReadClock().mono_);
  }
  totalSuspension_ = suspended;
}

void
GatewayHost::LogTraffic()
{
  const TimePoint now = ReadClock().mono_;
  if (now < nextTrafficLogAt_) {
    return;
  }
  nextTrafficLogAt_ = now + kTrafficLogInterval;
  const GatewayStats& stats = gateway_.stats_;
  WriteLog(LogLevel::Info,
           "traffic since process start",
           { { "busy_per_mille", std::to_string(GatewayCpuLoad(gateway_)) },
             { "daemons", std::to_string(gateway_.daemons_) },
             { "first_sends", std::to_string(stats.firstSends_) },
             { "far_sends", std::to_string(stats.crossDomainSends_) },
             { "hedges", std::to_string(stats.hedges_) },
             { "retries", std::to_string(stats.retries_) },
             { "connects", std::to_string(stats.connects_) },
             { "store_calls", std::to_string(store_.Calls()) },
             { "membership_bytes", std::to_string(traffic_.membership_) },
             { "table_bytes", std::to_string(traffic_.tables_) },
             { "far_peer_bytes", std::to_string(traffic_.crossDomain_) } });
}

ProxyAnswer
GatewayHost::SubmitAndWait(
  ProxyRequest aRequest,
  const std::function<void(std::function<void()>)>& aWatchDisconnect)
{
  const CallerRequestId id{ nextRequest_++ };
  aRequest.id_ = id;
  Promise promise;
  boost::fibers::future<ProxyAnswer> future = promise.get_future();
  pending_.emplace(id, &promise);
  HandleEvent(aRequest);
  if (pending_.count(id) > 0) {
    aWatchDisconnect([this, id]() { Abandon(id); });
  }
  return future.get();
}

// The entry is removed before the fiber wakes: the core's answer may still
// arrive after Abandon and must find none.
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
  HandleEvent(CallerDisconnected{ aId });
  ProxyAnswer nothing;
  nothing.id_ = aId;
  Fulfil(aId, std::move(nothing));
}

EntriesAnswer
GatewayHost::ListEntries() const
{
  return ListEntryDaemons(*members_, MaxEntryDaemons(gateway_));
}

bool
GatewayHost::IsReady() const
{
  return !stopping_ && gateway_.config_ != nullptr &&
         !gateway_.backendOf_.empty();
}

void
GatewayHost::BeginStop(const PlannedStop& aStop)
{
  stopping_ = true;
  GatewayBeginStop(gateway_, aStop);
  ArmTimer();
  MembershipSetReady(membership_, false);
  HandleMembershipEvent(StopRequested{ "signal" });
}

void
GatewayHost::EndStop()
{
  const TimePoint now = ReadClock().mono_;
  GatewayBeginStop(gateway_, { now, now });
  HandleEvent(Tick{});
}

std::size_t
GatewayHost::InFlight() const
{
  return GatewayInFlight(gateway_);
}

void
GatewayHost::ArmTimer()
{
  const TimePoint wake = std::min({ GatewayNextWake(gateway_),
                                    MembershipNextWake(membership_),
                                    nextMaintenanceAt_ });
  if (wake >= timerExpiry_) {
    return;
  }
  timerExpiry_ = wake;
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
  timerExpiry_ = kNever;
  const TimePoint now = ReadClock().mono_;
  if (now >= nextMaintenanceAt_) {
    nextMaintenanceAt_ = now + (now < role_.startedAt_ + kFastMaintenancePeriod
                                  ? kFastMaintenanceInterval
                                  : kHostMaintenanceInterval);
    CheckSuspension();
    LogTraffic();
    TrackConfigLag();
    ReportTableAge();
    UpdateRole();
    UpdateCapView();
    DropFollowersIfStale();
    RequestFeed();
    EndServerWait();
    for (std::size_t i = kServersTable; i < store_.Count(); ++i) {
      if (DropLapsed(store_.Table(i), now).changed_) {
        AdoptTables({ i });
      }
    }
  }
  if (now >= MembershipNextWake(membership_)) {
    HandleMembershipEvent(Tick{});
  }
  HandleEvent(Tick{});
}

} // namespace camphorfield
