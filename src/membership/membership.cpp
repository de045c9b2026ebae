// Entry points of membership: hands events to gossip, probes, joining and
// rumors. In large fleets, changes of load and adoptions are sent less often.

#include "core/hash_func.h"
#include "membership/membership_func.h"
#include "membership/membership_internal.h"

#include <algorithm>
#include <cstdlib>

namespace camphorfield {

namespace {

/** Change of load that is advertised, per mille. */
constexpr std::uint32_t kMinLoadChange = 50;

/** Load is advertised at most once per this time for each member, and at most
 * once per kMinLoadInterval. */
constexpr Duration kLoadIntervalPerMember = 10ms;
constexpr Duration kMinLoadInterval = 1s;

/** Sends what the event has made due. */
void
Finish(MembershipStep& aStep)
{
  ContinueSync(aStep);
  SendBurst(aStep);
  EmitMembersChanged(aStep);
}

void
AdvertiseLoad(MembershipState& aState, TimePoint aNow)
{
  const auto change = std::abs(static_cast<std::int64_t>(aState.load_) -
                               static_cast<std::int64_t>(aState.self_.load_));
  const Duration gap =
    std::max(kMinLoadInterval,
             Duration(kLoadIntervalPerMember.count() *
                      static_cast<std::int64_t>(CountLive(aState))));
  if (change < kMinLoadChange || aNow < aState.loadAdvertisedAt_ + gap) {
    return;
  }
  aState.loadAdvertisedAt_ = aNow;
  aState.self_.load_ = aState.load_;
  BumpSelfVersion(aState, false);
}

void
MergePayload(MembershipStep& aStep,
             const std::vector<MemberRecord>& aMembers,
             const std::vector<Rumor>& aRumors,
             std::uint64_t aViewHash)
{
  for (const MemberRecord& record : aMembers) {
    MergeRecord(aStep, record);
  }
  for (const Rumor& rumor : aRumors) {
    if (LearnRumor(aStep, rumor)) {
      aStep.out_.emplace_back(RumorReceived{ rumor });
    }
  }
  aStep.state_.viewsDiffer_ = aViewHash != aStep.state_.viewHash_;
}

void
OnPing(MembershipStep& aStep, DaemonId aFrom, const GossipPing& aPing)
{
  MergePayload(aStep, aPing.members_, aPing.rumors_, aPing.viewHash_);
  MergeAdoptedSet(aStep, aPing.adopted_);
  if (aPing.sequence_ != 0) {
    SendAck(aStep, aFrom, aPing);
  }
}

void
OnAck(MembershipStep& aStep, DaemonId aFrom, const GossipAck& aAck)
{
  aStep.fromSyncPage_ = aAck.sequence_ == aStep.state_.syncSequence_;
  MergePayload(aStep, aAck.members_, aAck.rumors_, aAck.viewHash_);
  MergeAdoptedSet(aStep, aAck.adopted_);
  if (aStep.fromSyncPage_) {
    OnSyncPage(aStep, aAck);
    return;
  }
  OnProbeAck(aStep, aFrom, aAck);
}

} // namespace

MembershipState
MakeMembershipState(const MembershipSettings& aSettings,
                    const Now& aNow,
                    Rng& aRng)
{
  MembershipState state;
  state.settings_ = aSettings;
  state.self_ = aSettings.self_;
  state.self_.id_.value_ = HashText(state.self_.name_);
  SetSelfState(state, MemberState::Alive);
  const TimePoint now = aNow.mono_;
  const auto interval = static_cast<std::uint64_t>(kGossipInterval.count());
  state.lastEventAt_ = now;
  state.lastAckAt_ = now;
  state.budgetsRefilledAt_ = now;
  state.nextGossipAt_ = now + Duration(aRng() % interval);
  state.nextJoinAt_ = now;
  const auto jitter =
    static_cast<std::uint64_t>(Duration(kVmListGrace).count());
  state.nextVmListAt_ = now + kVmListGrace + Duration(aRng() % jitter);
  state.publishedMembers_ = std::make_shared<const std::vector<MemberRecord>>();
  return state;
}

void
MembershipOnEvent(MembershipState& aState,
                  const PeerMessage& aMessage,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions)
{
  MembershipStep step{ aState, aNow, aRng, aDecisions };
  if (aMessage.from_ == aState.self_.id_) {
    return; // own message: a seed is an alias of the own address
  }
  DetectPause(step);
  if (const auto* ping = std::get_if<GossipPing>(&aMessage.body_)) {
    OnPing(step, aMessage.from_, *ping);
  } else if (const auto* ack = std::get_if<GossipAck>(&aMessage.body_)) {
    OnAck(step, aMessage.from_, *ack);
  } else if (const auto* probe = std::get_if<GossipProbe>(&aMessage.body_)) {
    RelayProbe(step, aMessage.from_, *probe);
  }
  Finish(step);
}

void
MembershipOnEvent(MembershipState& aState,
                  const PeerUnreachable& aUnreachable,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions)
{
  MembershipStep step{ aState, aNow, aRng, aDecisions };
  DetectPause(step);
  OnProbeUnreachable(step, aUnreachable.to_);
  Finish(step);
}

void
MembershipOnEvent(MembershipState& aState,
                  const PlatformReply& aReply,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions)
{
  if (aReply.user_ != PlatformUser::Membership) {
    return;
  }
  MembershipStep step{ aState, aNow, aRng, aDecisions };
  OnVmList(step, aReply);
  Finish(step);
}

void
MembershipOnEvent(MembershipState& aState,
                  const SpreadRumor& aSpread,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions)
{
  MembershipStep step{ aState, aNow, aRng, aDecisions };
  LearnRumor(step, aSpread.rumor_);
  Finish(step);
}

void
MembershipOnEvent(MembershipState& aState,
                  const ConfigAdopted& aAdopted,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions)
{
  const Generation generation = aAdopted.config_->generation_;
  if (generation <= aState.self_.generation_) {
    return;
  }
  aState.self_.generation_ = generation;
  // In large fleets only the first adoption makes a burst due; the others are
  // gossiped as sets.
  const bool urgent =
    generation > aState.newestGeneration_ || CountLive(aState) <= kSmallFleet;
  UpdateNewestGeneration(aState, generation, aNow.mono_);
  aState.burstPending_ = aState.burstPending_ || urgent;
  aState.membersChangedDue_ = true;
  MembershipStep step{ aState, aNow, aRng, aDecisions };
  Finish(step);
}

void
MembershipOnEvent(MembershipState& aState,
                  const EntriesRequest& aRequest,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions)
{
  MembershipStep step{ aState, aNow, aRng, aDecisions };
  aDecisions.emplace_back(ChooseEntries(step, aRequest));
}

void
MembershipOnEvent(MembershipState& aState,
                  const StopRequested& aStop,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions)
{
  if (aState.self_.state_ == MemberState::Leaving) {
    return;
  }
  SetSelfState(aState, MemberState::Leaving);
  aState.membersChangedDue_ = true;
  aState.burstPending_ = true;
  aState.lastBurstAt_ = TimePoint{}; // makes the burst due now
  aState.membersEmittedAt_ = TimePoint{};
  MembershipStep step{ aState, aNow, aRng, aDecisions };
  RecordMemberEvent(
    step, TimelineKind::MemberLeaving, aState.self_, aStop.reason_.c_str());
  Finish(step);
}

void
MembershipOnEvent(MembershipState& aState,
                  const Tick& /*aTick*/,
                  const Now& aNow,
                  Rng& aRng,
                  Decisions& aDecisions)
{
  MembershipStep step{ aState, aNow, aRng, aDecisions };
  DetectPause(step);
  CheckProbeTimeouts(step);
  if (aNow.mono_ >= aState.nextGossipAt_) {
    // Rounds missed in a pause are not repeated.
    aState.nextGossipAt_ =
      std::max(aState.nextGossipAt_, aNow.mono_ - kGossipInterval) +
      kGossipInterval;
    AdvertiseLoad(aState, aNow.mono_);
    ProbeNextMember(step);
    TryJoin(step);
    RepeatSync(step);
    ReadVmList(step);
    RemoveExpiredTombstones(step);
    RemoveExpiredRumors(step);
  }
  Finish(step);
}

TimePoint
MembershipNextWake(const MembershipState& aState)
{
  return std::min({ aState.nextGossipAt_,
                    NextProbeDeadline(aState),
                    NextBurstAt(aState),
                    NextMembersChangedAt(aState),
                    aState.syncing_ ? aState.syncRetryAt_ : kNever });
}

bool
MembershipIsSynced(const MembershipState& aState)
{
  return !aState.syncing_;
}

void
MembershipSetReady(MembershipState& aState, bool aReady)
{
  if (aState.self_.ready_ != aReady) {
    SetSelfStatus(aState, aReady, aState.self_.readsStore_);
    aState.membersChangedDue_ = true;
  }
}

void
MembershipSetReadsStore(MembershipState& aState, bool aReadsStore)
{
  if (aState.self_.readsStore_ != aReadsStore) {
    SetSelfStatus(aState, aState.self_.ready_, aReadsStore);
    aState.membersChangedDue_ = true;
  }
}

void
MembershipSetLoad(MembershipState& aState, std::uint32_t aPerMille)
{
  aState.load_ = aPerMille;
}

std::shared_ptr<const std::vector<MemberRecord>>
MembershipMembers(const MembershipState& aState)
{
  return aState.publishedMembers_;
}

const MemberRecord&
MembershipSelf(const MembershipState& aState)
{
  return aState.self_;
}

MembershipStats
MembershipGetStats(const MembershipState& aState, const Now& aNow)
{
  MembershipStats stats = aState.stats_;
  stats.dead_ = aState.dead_.size();
  stats.alive_ = 1;
  for (const auto& [id, member] : aState.members_) {
    stats.alive_ += member.record_.state_ == MemberState::Alive ? 1 : 0;
    stats.suspect_ += member.record_.state_ == MemberState::Suspect ? 1 : 0;
  }
  stats.health_ = aState.health_;
  stats.isolated_ = IsIsolated(aState, aNow.mono_);
  return stats;
}

} // namespace camphorfield
