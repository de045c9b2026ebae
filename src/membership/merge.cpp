// Merges records from peers: higher versions win, claims about this daemon are
// refuted, and restarts, clocks that run ahead and reused addresses are
// resolved.

#include "core/hash_func.h"
#include "membership/membership_internal.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorfield {

namespace {

/**
 * Declares the older one of two members with the same address dead.
 * @return False if the record itself is the older one.
 */
bool
ResolveAddressConflict(MembershipStep& aStep, const MemberRecord& aRecord)
{
  const auto found = aStep.state_.byAddress_.find(aRecord.peerAddress_);
  if (found == aStep.state_.byAddress_.end() || found->second == aRecord.id_) {
    return true;
  }
  Member* other = FindMember(aStep.state_, found->second);
  if (other == nullptr || other->record_.state_ == MemberState::Dead) {
    return true;
  }
  if (other->record_.incarnation_ > aRecord.incarnation_) {
    return aRecord.state_ == MemberState::Dead;
  }
  MarkDead(aStep, *other, "address taken over");
  return true;
}

TimelineKind
StateEventKind(MemberState aState)
{
  switch (aState) {
    case MemberState::Suspect:
      return TimelineKind::MemberSuspected;
    case MemberState::Leaving:
      return TimelineKind::MemberLeaving;
    case MemberState::Dead:
      return TimelineKind::MemberDead;
    default:
      return TimelineKind::MemberAlive;
  }
}

/** Requests a full record with the next pings. */
void
RequestMemberRecord(MembershipState& aState, DaemonId aId)
{
  const bool known = std::find(aState.recordRequests_.begin(),
                               aState.recordRequests_.end(),
                               aId) != aState.recordRequests_.end();
  if (!known && aState.recordRequests_.size() < kMaxRecordRequests) {
    aState.recordRequests_.push_back(aId);
  }
}

bool
IsValidRecord(const MemberRecord& aRecord)
{
  return !aRecord.name_.empty() && !aRecord.peerAddress_.empty() &&
         aRecord.id_.value_ == HashText(aRecord.name_);
}

/** Whether a change is urgent, so that it makes a burst due. The first adoption
 * of a generation is urgent; in large fleets later ones are not. */
bool
IsUrgent(MembershipStep& aStep,
         const MemberRecord& aNew,
         const MemberRecord& aOld)
{
  MembershipState& state = aStep.state_;
  const bool newest = aNew.generation_ > state.newestGeneration_;
  UpdateNewestGeneration(state, aNew.generation_, aStep.now_.mono_);
  return newest || aNew.state_ != aOld.state_ || aNew.ready_ != aOld.ready_ ||
         aNew.readsStore_ != aOld.readsStore_ ||
         aNew.incarnation_ != aOld.incarnation_ ||
         (aNew.generation_ != aOld.generation_ &&
          CountLive(state) <= kSmallFleet);
}

void
AddMember(MembershipStep& aStep, const MemberRecord& aRecord)
{
  MembershipState& state = aStep.state_;
  if (aRecord.name_.empty()) {
    if (aRecord.state_ != MemberState::Dead) {
      RequestMemberRecord(state, aRecord.id_);
    }
    return;
  }
  // An unknown tombstone is dropped: it would only be passed on forever.
  if (aRecord.state_ == MemberState::Dead || !IsValidRecord(aRecord) ||
      state.members_.size() >= kMaxMembers ||
      !ResolveAddressConflict(aStep, aRecord)) {
    return;
  }
  if (state.members_.empty()) {
    StartSync(aStep);
  }
  Member& member = state.members_[aRecord.id_];
  state.probeOrder_.push_back(aRecord.id_);
  std::swap(state.probeOrder_.back(),
            state.probeOrder_[aStep.rng_() % state.probeOrder_.size()]);
  member.record_.state_ = MemberState::Dead;
  ReplaceRecord(aStep, member, aRecord);
  UpdateNewestGeneration(state, aRecord.generation_, aStep.now_.mono_);
  state.membersChangedDue_ = true;
  // With a count of zero it would receive all callers until it caught up.
  member.handedOut_ = state.selfHandedOut_;
  if (!aStep.fromSyncPage_) {
    QueueRecord(state, member, true, true);
  }
  RecordMemberEvent(aStep, TimelineKind::MemberJoined, aRecord, "");
}

void
UpdateMember(MembershipStep& aStep, Member& aMember, MemberRecord aRecord)
{
  MembershipState& state = aStep.state_;
  const MemberRecord old = aMember.record_;
  const bool isNewIncarnation = aRecord.incarnation_ != old.incarnation_;
  if (aRecord.name_.empty() && isNewIncarnation) {
    RequestMemberRecord(state, aRecord.id_); // its addresses may have changed
    return;
  }
  if (aRecord.name_.empty()) {
    aRecord.name_ = old.name_;
    aRecord.peerAddress_ = old.peerAddress_;
    aRecord.callerAddress_ = old.callerAddress_;
    aRecord.operatorAddress_ = old.operatorAddress_;
    aRecord.capacity_ = old.capacity_;
    aRecord.failureDomain_ = old.failureDomain_;
  }
  if (!IsValidRecord(aRecord) || !ResolveAddressConflict(aStep, aRecord)) {
    return;
  }
  if (!isNewIncarnation) {
    // An adopted set may have raised it; within an incarnation it never falls.
    aRecord.generation_ = std::max(aRecord.generation_, old.generation_);
  }
  const bool urgent = IsUrgent(aStep, aRecord, old);
  const bool moved = aRecord.peerAddress_ != old.peerAddress_ ||
                     aRecord.callerAddress_ != old.callerAddress_;
  state.membersChangedDue_ = state.membersChangedDue_ || urgent || moved ||
                             aRecord.generation_ != old.generation_;
  ReplaceRecord(aStep, aMember, std::move(aRecord));
  aMember.hasOurRecord_ = aMember.hasOurRecord_ && !isNewIncarnation;
  if (!aStep.fromSyncPage_) {
    QueueRecord(state, aMember, urgent, isNewIncarnation);
  }
  if (isNewIncarnation && aMember.record_.state_ == MemberState::Alive) {
    RecordMemberEvent(
      aStep, TimelineKind::MemberJoined, aMember.record_, "new incarnation");
  } else if (aMember.record_.state_ != old.state_) {
    RecordMemberEvent(
      aStep, StateEventKind(aMember.record_.state_), aMember.record_, "told");
  }
}

/** Merges a generation from a record that is not newer: adoptions do not change
 * the version. */
void
RaiseGeneration(MembershipStep& aStep,
                Member& aMember,
                const MemberRecord& aRecord)
{
  MembershipState& state = aStep.state_;
  MemberRecord& record = aMember.record_;
  if (aRecord.incarnation_ != record.incarnation_ ||
      aRecord.generation_ <= record.generation_) {
    return;
  }
  const bool urgent = aRecord.generation_ > state.newestGeneration_ ||
                      CountLive(state) <= kSmallFleet;
  UpdateNewestGeneration(state, aRecord.generation_, aStep.now_.mono_);
  record.generation_ = aRecord.generation_;
  state.membersChangedDue_ = true;
  if (urgent || !SendsAdoptedSets(state, aStep.now_.mono_)) {
    QueueRecord(state, aMember, urgent, false);
  }
}

/**
 * Merges a record about this daemon. A suspicion is refuted with a higher
 * version. A larger incarnation of an earlier run, whose clock was ahead, is
 * exceeded by one; a live daemon of the same name at another address is counted
 * as a conflict and left alone.
 */
void
MergeSelf(MembershipStep& aStep, const MemberRecord& aRecord)
{
  MembershipState& state = aStep.state_;
  MemberRecord& self = state.self_;
  if (aRecord.incarnation_ > self.incarnation_) {
    const bool isOtherAddress = !aRecord.peerAddress_.empty() &&
                                aRecord.peerAddress_ != self.peerAddress_;
    if (aRecord.state_ == MemberState::Alive &&
        (isOtherAddress || aRecord.name_.empty())) {
      ++state.stats_.nameConflicts_;
      return;
    }
    SetSelfVersion(
      state, Incarnation{ aRecord.incarnation_.value_ + 1 }, self.heartbeat_);
    for (auto& [id, member] : state.members_) {
      member.hasOurRecord_ = false;
    }
    BumpSelfVersion(state, true);
    return;
  }
  if (!Overrides(aRecord, self)) {
    return;
  }
  ++state.stats_.refutations_;
  SetSelfVersion(state, self.incarnation_, aRecord.heartbeat_);
  BumpSelfVersion(state, true);
}

} // namespace

bool
Overrides(const MemberRecord& aNew, const MemberRecord& aOld)
{
  return std::tie(aNew.incarnation_, aNew.heartbeat_, aNew.state_) >
         std::tie(aOld.incarnation_, aOld.heartbeat_, aOld.state_);
}

void
MergeRecord(MembershipStep& aStep, const MemberRecord& aRecord)
{
  if (!aRecord.incarnation_.IsValid() || !aRecord.id_.IsValid()) {
    return; // a request for a full record
  }
  if (aRecord.id_ == aStep.state_.self_.id_) {
    MergeSelf(aStep, aRecord);
    return;
  }
  Member* member = FindMember(aStep.state_, aRecord.id_);
  if (member == nullptr) {
    AddMember(aStep, aRecord);
  } else if (Overrides(aRecord, member->record_)) {
    UpdateMember(aStep, *member, aRecord);
  } else {
    RaiseGeneration(aStep, *member, aRecord);
  }
}

} // namespace camphorfield
