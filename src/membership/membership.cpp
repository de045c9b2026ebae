#include "core/hash_func.h"
#include "membership/membership_func.h"
#include "membership/membership_internal.h"

#include <algorithm>
#include <cstdlib>

namespace camphorfield {

namespace {

/** Change of load that is worth telling, per mille. */
constexpr std::uint32_t kLoadStep = 50;

/** Load is told at most once in this time, for each member. */
constexpr Duration kLoadGapPerMember = 10ms;
constexpr Duration kLoadGapLeast = 1s;

/** What every event ends with. */
void
Finish(MembershipStep& aStep)
{
  ContinueSync(aStep);
  SendBurst(aStep);
  TellMembers(aStep);
}

void
TellLoad(MembershipState& aState, TimePoint aNow)
{
  const auto change = std::abs(static_cast<std::int64_t>(aState.load_) -
                               static_cast<std::int64_t>(aState.self_.load_));
  const Duration gap =
    std::max(kLoadGapLeast,
             Duration(kLoadGapPerMember.count() *
                      static_cast<std::int64_t>(CountLive(aState))));
  if (change < kLoadStep || aNow < aState.loadToldAt_ + gap) {
    return;
  }
  aState.loadToldAt_ = aNow;
  aState.self_.load_ = aState.load_;
  TouchSelf(aState, false);
}

void
TakeNews(MembershipStep& aStep,
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
  TakeNews(aStep, aPing.members_, aPing.rumors_, aPing.viewHash_);
  LearnAdoptedSet(aStep, aPing.adopted_);
  if (aPing.sequence_ != 0) {
    SendAck(aStep, aFrom, aPing);
  }
}

void
OnAck(MembershipStep& aStep, DaemonId aFrom, const GossipAck& aAck)
{
  aStep.fromPage_ = aAck.sequence_ == aStep.state_.syncSequence_;
  TakeNews(aStep, aAck.members_, aAck.rumors_, aAck.viewHash_);
  LearnAdoptedSet(aStep, aAck.adopted_);
  if (aStep.fromPage_) {
    SyncAnswered(aStep, aAck);
    return;
  }
  ProbeAnswered(aStep, aFrom, aAck);
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
  state.refilledAt_ = now;
  state.nextGossipAt_ = now + Duration(aRng() % interval);
  state.nextOutreachAt_ = now;
  const auto jitter =
    static_cast<std::uint64_t>(Duration(kVmListGrace).count());
  state.nextVmListAt_ = now + kVmListGrace + Duration(aRng() % jitter);
  state.list_ = std::make_shared<const std::vector<MemberRecord>>();
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
    return; // our own address stands among the seeds under another form
  }
  NoteTime(step);
  if (const auto* ping = std::get_if<GossipPing>(&aMessage.body_)) {
    OnPing(step, aMessage.from_, *ping);
  } else if (const auto* ack = std::get_if<GossipAck>(&aMessage.body_)) {
    OnAck(step, aMessage.from_, *ack);
  } else if (const auto* probe = std::get_if<GossipProbe>(&aMessage.body_)) {
    HelpProbe(step, aMessage.from_, *probe);
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
  NoteTime(step);
  ProbeUndelivered(step, aUnreachable.to_);
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
  LearnVmList(step, aReply);
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
  // Where there are many, the first ones carry the news and the rest follow
  // in sets.
  const bool urgent =
    generation > aState.newest_ || CountLive(aState) <= kSmallFleet;
  NoteGeneration(aState, generation, aNow.mono_);
  aState.burstPending_ = aState.burstPending_ || urgent;
  aState.changed_ = true;
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
  aState.changed_ = true;
  aState.burstPending_ = true;
  aState.lastBurstAt_ = TimePoint{}; // told at once
  aState.toldAt_ = TimePoint{};
  MembershipStep step{ aState, aNow, aRng, aDecisions };
  RecordMember(
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
  NoteTime(step);
  JudgeProbes(step);
  if (aNow.mono_ >= aState.nextGossipAt_) {
    // After a gap the rounds missed are not made up for.
    aState.nextGossipAt_ =
      std::max(aState.nextGossipAt_, aNow.mono_ - kGossipInterval) +
      kGossipInterval;
    TellLoad(aState, aNow.mono_);
    ProbeNext(step);
    ReachOut(step);
    RepeatSync(step);
    ReadVmList(step);
    ForgetTombstones(step);
    ForgetRumors(step);
  }
  Finish(step);
}

TimePoint
MembershipNextWake(const MembershipState& aState)
{
  return std::min({ aState.nextGossipAt_,
                    NextProbeDeadline(aState),
                    BurstAt(aState),
                    TellMembersAt(aState),
                    aState.syncing_ ? aState.syncRetryAt_ : kNever });
}

void
MembershipSetReady(MembershipState& aState, bool aReady)
{
  if (aState.self_.ready_ != aReady) {
    aState.self_.ready_ = aReady;
    TouchSelf(aState, true);
    aState.changed_ = true;
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
  return aState.list_;
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
