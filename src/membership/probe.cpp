// SWIM failure detection with indirect probes and local health. Pauses of this
// process and its isolation must not make it declare healthy members dead.

#include "membership/membership_internal.h"

#include <algorithm>
#include <vector>

namespace camphorfield {

namespace {

/** Mean deviations added to the round-trip time, as in the timeout of TCP. */
constexpr int kVariationFactor = 4;

/** With this many pending, an unreachable peer starts no further probe. */
constexpr std::size_t kMaxProbes = 16;

/** Wait for an ack, from the round-trip times of the failure domain; longer
 * while local health is bad, as then this daemon itself is likely late. */
Duration
ProbeTimeout(const MembershipState& aState, const Member& aMember)
{
  Duration wait = kProbeTimeoutCap;
  const auto found = aState.roundTrips_.find(aMember.record_.failureDomain_);
  if (found != aState.roundTrips_.end()) {
    const RoundTrip& trip = found->second;
    wait = std::clamp(trip.smoothed_ + kVariationFactor * trip.variation_,
                      kProbeTimeoutFloor,
                      kProbeTimeoutCap);
  }
  return wait * (1 + aState.health_);
}

void
UpdateRoundTrip(MembershipState& aState, const Member& aMember, Duration aTook)
{
  const auto [found, isNew] =
    aState.roundTrips_.try_emplace(aMember.record_.failureDomain_);
  RoundTrip& trip = found->second;
  if (isNew) {
    trip = RoundTrip{ aTook, aTook / 2 };
    return;
  }
  const Duration error = aTook - trip.smoothed_;
  trip.smoothed_ += error / 8;
  trip.variation_ += (std::chrono::abs(error) - trip.variation_) / 4;
}

/** The live member that follows this daemon in the ring of ids at a distance;
 * zero is the next one. */
Member*
RingSuccessor(MembershipState& aState, std::size_t aDistance)
{
  auto next = aState.members_.upper_bound(aState.self_.id_);
  for (std::size_t left = aState.members_.size(); left > 0; --left, ++next) {
    if (next == aState.members_.end()) {
      next = aState.members_.begin();
    }
    if (next->second.record_.state_ == MemberState::Dead) {
      continue;
    }
    if (aDistance == 0) {
      return &next->second;
    }
    --aDistance;
  }
  return nullptr;
}

/** The next live member in shuffled order; each comes once per pass. */
Member*
NextInOrder(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  for (std::size_t left = state.probeOrder_.size(); left > 0; --left) {
    if (state.probeCursor_ >= state.probeOrder_.size()) {
      state.probeCursor_ = 0;
      std::shuffle(
        state.probeOrder_.begin(), state.probeOrder_.end(), aStep.rng_);
    }
    Member* member = FindMember(state, state.probeOrder_[state.probeCursor_++]);
    if (member->record_.state_ != MemberState::Dead) {
      return member;
    }
  }
  return nullptr;
}

bool
IsProbed(const MembershipState& aState, DaemonId aId)
{
  return std::any_of(
    aState.probes_.begin(), aState.probes_.end(), [aId](const auto& aEntry) {
      return aEntry.second.target_ == aId;
    });
}

void
StartProbe(MembershipStep& aStep, Member& aTarget)
{
  MembershipState& state = aStep.state_;
  const std::uint64_t sequence = state.nextSequence_++;
  Probe probe;
  probe.target_ = aTarget.record_.id_;
  probe.sentAt_ = aStep.now_.mono_;
  probe.deadline_ = probe.sentAt_ + ProbeTimeout(state, aTarget);
  state.probes_.emplace(sequence, probe);
  ++state.stats_.pings_;
  SendPing(aStep, aTarget, sequence);
}

/** Has helpers ping the target, as only the path to it may be broken. */
void
SendIndirectProbes(MembershipStep& aStep,
                   std::uint64_t aSequence,
                   Probe& aProbe)
{
  Member* target = FindMember(aStep.state_, aProbe.target_);
  aProbe.indirect_ = true;
  aProbe.deadline_ = aStep.now_.mono_ + 2 * ProbeTimeout(aStep.state_, *target);
  const GossipProbe body{ aSequence, target->record_ };
  const std::size_t bytes = RecordBytes(target->record_);
  std::vector<DaemonId> asked;
  for (std::size_t i = 0; i < 2 * kIndirectProbes; ++i) {
    Member* helper = RandomMember(aStep);
    if (helper == nullptr || asked.size() == kIndirectProbes) {
      break;
    }
    const DaemonId id = helper->record_.id_;
    if (id == aProbe.target_ ||
        std::find(asked.begin(), asked.end(), id) != asked.end()) {
      continue;
    }
    asked.push_back(id);
    ++aStep.state_.stats_.indirectProbes_;
    SendGossip(aStep, id, helper->record_.peerAddress_, body, bytes);
  }
  // Pinged directly again: the connection may have been at fault.
  SendPing(aStep, *target, aSequence);
}

void
ProbeFailed(MembershipStep& aStep, const Probe& aProbe)
{
  MembershipState& state = aStep.state_;
  ++state.failedSinceAck_;
  Member* target = FindMember(state, aProbe.target_);
  if (target == nullptr) {
    return;
  }
  if (IsIsolated(state, aStep.now_.mono_)) {
    // Not gossiped: when the partition ends, all members would have to refute
    // it at once.
    target->suspectedLocally_ = true;
    state.anySuspectedLocally_ = true;
    state.membersChangedDue_ = true;
    return;
  }
  MarkSuspect(aStep, *target, "no answer, directly or through others");
  // If it is alive, this lets it refute the suspicion.
  SendPing(aStep, *target, state.nextSequence_++);
}

void
CheckSuspicionTimeouts(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  if (IsIsolated(state, aStep.now_.mono_)) {
    return;
  }
  std::vector<DaemonId> expired;
  for (const DaemonId id : state.suspects_) {
    if (state.members_[id].deadline_ <= aStep.now_.mono_) {
      expired.push_back(id);
    }
  }
  for (const DaemonId id : expired) {
    MarkDead(aStep, state.members_[id], "suspicion not denied");
  }
}

/** Clears local suspicions after the first ack, and syncs what has changed
 * meanwhile. */
void
EndIsolation(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  for (auto& [id, member] : state.members_) {
    member.suspectedLocally_ = false;
  }
  state.anySuspectedLocally_ = false;
  state.membersChangedDue_ = true;
  StartSync(aStep);
}

} // namespace

bool
IsIsolated(const MembershipState& aState, TimePoint aNow)
{
  const Duration silent = aNow - aState.lastAckAt_;
  if (aState.failedSinceAck_ < kIsolationProbes || silent < kIsolationAfter) {
    return false;
  }
  // In a small fleet refutations are cheap, and the last live member must be
  // able to declare the others dead.
  return CountLive(aState) > kSmallFleet || silent < kIsolationLimit;
}

void
DetectPause(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  const TimePoint now = aStep.now_.mono_;
  const Duration gap = now - state.lastEventAt_;
  state.lastEventAt_ = now;
  if (gap < kPauseLimit) {
    return;
  }
  // Acks may be unread in the sockets, so overdue probes prove nothing.
  ++state.stats_.pauses_;
  state.health_ = std::min(state.health_ + 1, kWorstHealth);
  state.probes_.clear();
  state.relayedProbes_.clear();
  state.lastAckAt_ = now;
  state.failedSinceAck_ = 0;
  for (const DaemonId id : state.suspects_) {
    state.members_[id].deadline_ += gap;
  }
}

void
ProbeNextMember(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  const std::uint64_t round = state.probeRound_++;
  // Probes of ring neighbours bound the detection time; probes in shuffled
  // order spread gossip over the fleet.
  Member* target =
    round % 2 == 0 ? RingSuccessor(state, (round / 2) % 2) : NextInOrder(aStep);
  if (target != nullptr && IsProbed(state, target->record_.id_)) {
    target = NextInOrder(aStep);
  }
  if (target != nullptr && !IsProbed(state, target->record_.id_)) {
    StartProbe(aStep, *target);
  }
}

void
CheckProbeTimeouts(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  const TimePoint now = aStep.now_.mono_;
  for (auto it = state.probes_.begin(); it != state.probes_.end();) {
    Probe& probe = it->second;
    const Member* target = FindMember(state, probe.target_);
    const bool isDead =
      target == nullptr || target->record_.state_ == MemberState::Dead;
    if (!isDead && probe.deadline_ > now) {
      ++it;
      continue;
    }
    if (!isDead && !probe.indirect_) {
      SendIndirectProbes(aStep, it->first, probe);
      ++it;
      continue;
    }
    const Probe expired = probe;
    it = state.probes_.erase(it);
    if (!isDead) {
      ProbeFailed(aStep, expired);
    }
  }
  std::erase_if(state.relayedProbes_, [now](const auto& aEntry) {
    return aEntry.second.deadline_ <= now;
  });
  CheckSuspicionTimeouts(aStep);
}

void
OnProbeAck(MembershipStep& aStep, DaemonId aFrom, const GossipAck& aAck)
{
  MembershipState& state = aStep.state_;
  const auto relayed = state.relayedProbes_.find(aAck.sequence_);
  if (relayed != state.relayedProbes_.end()) {
    if (relayed->second.target_ == aFrom) {
      SendRelayedAck(aStep, relayed->second);
    }
    state.relayedProbes_.erase(relayed);
    return;
  }
  const auto found = state.probes_.find(aAck.sequence_);
  if (found == state.probes_.end()) {
    return;
  }
  const Probe probe = found->second;
  Member* target = FindMember(state, probe.target_);
  const bool direct = aFrom == probe.target_;
  if (target == nullptr || (!direct && !probe.indirect_)) {
    return; // another daemon now has the address
  }
  state.probes_.erase(found);
  if (state.anySuspectedLocally_) {
    EndIsolation(aStep);
  }
  state.lastAckAt_ = aStep.now_.mono_;
  state.failedSinceAck_ = 0;
  if (target->record_.state_ == MemberState::Leaving) {
    target->deadline_ = kNever; // still draining
    state.suspects_.erase(probe.target_);
  }
  if (direct) {
    target->hasOurRecord_ = true;
    UpdateRoundTrip(state, *target, aStep.now_.mono_ - probe.sentAt_);
    state.health_ -= state.health_ > 0 ? 1 : 0;
  }
}

void
OnProbeUnreachable(MembershipStep& aStep, DaemonId aTarget)
{
  MembershipState& state = aStep.state_;
  for (auto& [sequence, probe] : state.probes_) {
    if (probe.target_ == aTarget && !probe.indirect_) {
      SendIndirectProbes(aStep, sequence, probe);
    }
  }
  Member* target = FindMember(state, aTarget);
  if (target != nullptr && target->record_.state_ == MemberState::Alive &&
      state.probes_.size() < kMaxProbes && !IsProbed(state, aTarget)) {
    StartProbe(aStep, *target);
  }
}

void
RelayProbe(MembershipStep& aStep, DaemonId aFrom, const GossipProbe& aProbe)
{
  MembershipState& state = aStep.state_;
  MergeRecord(aStep, aProbe.target_);
  Member* target = FindMember(state, aProbe.target_.id_);
  if (target == nullptr || FindMember(state, aFrom) == nullptr) {
    return;
  }
  const std::uint64_t sequence = state.nextSequence_++;
  RelayedProbe relayed;
  relayed.origin_ = aFrom;
  relayed.originSequence_ = aProbe.sequence_;
  relayed.target_ = aProbe.target_.id_;
  relayed.deadline_ = aStep.now_.mono_ + 2 * kProbeTimeoutCap;
  state.relayedProbes_.emplace(sequence, relayed);
  SendPing(aStep, *target, sequence);
}

TimePoint
NextProbeDeadline(const MembershipState& aState)
{
  TimePoint next = kNever;
  for (const auto& [sequence, probe] : aState.probes_) {
    next = std::min(next, probe.deadline_);
  }
  return next;
}

} // namespace camphorfield
