// States of the members: indexes, deadlines, hashes of the view, and the list
// for other packages, which is limited in rate because large fleets change
// often.

#include "core/hash_func.h"
#include "membership/membership_internal.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorfield {

namespace {

/** MembersChanged is emitted at most once per this time for each member: it
 * copies the list, and many changes come at once. */
constexpr Duration kEmitIntervalPerMember = 100us;

/** Hash of what a difference of views is about. Zero for the dead: daemons
 * remove tombstones at different times. The version is left out: it also rises
 * with each change of load, and in a fleet of hundreds some change is always on
 * its way, so that views would never agree and the rotation of records would
 * use up the gossip budget for nothing. */
std::uint64_t
RecordHash(const MemberRecord& aRecord)
{
  if (aRecord.state_ == MemberState::Dead) {
    return 0;
  }
  const std::uint64_t status = 4 * static_cast<std::uint64_t>(aRecord.state_) +
                               (aRecord.readsStore_ ? 2 : 0) +
                               (aRecord.ready_ ? 1 : 0);
  return HashPair(aRecord.id_.value_,
                  HashPair(aRecord.incarnation_.value_, status));
}

/** Adds a record to the hashes of view and roster, or removes it. */
void
ToggleHashes(MembershipState& aState, const MemberRecord& aRecord)
{
  aState.viewHash_ ^= RecordHash(aRecord);
  if (aRecord.state_ != MemberState::Dead) {
    aState.rosterHash_ ^=
      HashPair(aRecord.incarnation_.value_, aRecord.id_.value_);
  }
}

Duration
SuspicionTimeout(const MembershipState& aState)
{
  const double size = static_cast<double>(CountLive(aState));
  const double factor = std::max(1.0, std::log10(size));
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(kSuspicionTimeout.count()) *
                              factor * (1.0 + aState.health_)));
}

/** Updates sets and deadline for a member's new state. */
void
UpdateStateIndex(MembershipStep& aStep, Member& aMember)
{
  MembershipState& state = aStep.state_;
  const DaemonId id = aMember.record_.id_;
  state.suspects_.erase(id);
  state.dead_.erase(id);
  aMember.deadline_ = kNever;
  if (aMember.record_.state_ == MemberState::Suspect) {
    state.suspects_.insert(id);
    aMember.deadline_ = aStep.now_.mono_ + SuspicionTimeout(state);
  }
  if (aMember.record_.state_ == MemberState::Dead) {
    state.dead_.insert(id);
    aMember.deadline_ = aStep.now_.mono_ + kTombstone;
  }
}

void
SetState(MembershipStep& aStep, Member& aMember, MemberState aNew)
{
  ToggleHashes(aStep.state_, aMember.record_);
  aMember.record_.state_ = aNew;
  ToggleHashes(aStep.state_, aMember.record_);
  UpdateStateIndex(aStep, aMember);
  aStep.state_.membersChangedDue_ = true;
}

} // namespace

void
ReplaceRecord(MembershipStep& aStep, Member& aMember, MemberRecord aRecord)
{
  MembershipState& state = aStep.state_;
  const auto address = state.byAddress_.find(aMember.record_.peerAddress_);
  if (address != state.byAddress_.end() &&
      address->second == aMember.record_.id_) {
    state.byAddress_.erase(address);
  }
  ToggleHashes(state, aMember.record_);
  ToggleHashes(state, aRecord);
  aMember.record_ = std::move(aRecord);
  state.byAddress_[aMember.record_.peerAddress_] = aMember.record_.id_;
  UpdateStateIndex(aStep, aMember);
}

void
MarkSuspect(MembershipStep& aStep, Member& aMember, const char* aReason)
{
  if (aMember.record_.state_ == MemberState::Leaving) {
    // Keeps its state, but has a deadline: it is not expected to refute.
    if (aMember.deadline_ == kNever) {
      aStep.state_.suspects_.insert(aMember.record_.id_);
      aMember.deadline_ = aStep.now_.mono_ + SuspicionTimeout(aStep.state_);
    }
    return;
  }
  if (aMember.record_.state_ != MemberState::Alive) {
    return;
  }
  ++aStep.state_.stats_.suspicions_;
  SetState(aStep, aMember, MemberState::Suspect);
  QueueRecord(aStep.state_, aMember, true, false);
  RecordMemberEvent(
    aStep, TimelineKind::MemberSuspected, aMember.record_, aReason);
}

void
MarkDead(MembershipStep& aStep, Member& aMember, const char* aReason)
{
  ++aStep.state_.stats_.deaths_;
  SetState(aStep, aMember, MemberState::Dead);
  QueueRecord(aStep.state_, aMember, true, false);
  RecordMemberEvent(aStep, TimelineKind::MemberDead, aMember.record_, aReason);
}

void
RemoveExpiredTombstones(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  std::vector<DaemonId> old;
  for (const DaemonId id : state.dead_) {
    if (state.members_[id].deadline_ <= aStep.now_.mono_) {
      old.push_back(id);
    }
  }
  for (const DaemonId id : old) {
    const auto address =
      state.byAddress_.find(state.members_[id].record_.peerAddress_);
    if (address != state.byAddress_.end() && address->second == id) {
      state.byAddress_.erase(address);
    }
    state.dead_.erase(id);
    state.members_.erase(id);
    std::erase(state.probeOrder_, id);
  }
}

Member*
FindMember(MembershipState& aState, DaemonId aId)
{
  const auto found = aState.members_.find(aId);
  return found == aState.members_.end() ? nullptr : &found->second;
}

std::size_t
CountLive(const MembershipState& aState)
{
  return aState.members_.size() - aState.dead_.size() + 1;
}

void
SetSelfState(MembershipState& aState, MemberState aNew)
{
  MemberRecord& self = aState.self_;
  // Version zero is the initial record, which is in no hash yet.
  if (self.heartbeat_ != 0) {
    ToggleHashes(aState, self);
  }
  self.state_ = aNew;
  ++self.heartbeat_;
  ToggleHashes(aState, self);
}

void
SetSelfVersion(MembershipState& aState,
               Incarnation aIncarnation,
               std::uint64_t aHeartbeat)
{
  MemberRecord& self = aState.self_;
  ToggleHashes(aState, self);
  self.incarnation_ = aIncarnation;
  self.heartbeat_ = aHeartbeat;
  ToggleHashes(aState, self);
}

void
BumpSelfVersion(MembershipState& aState, bool aUrgent)
{
  const MemberRecord& self = aState.self_;
  SetSelfVersion(aState, self.incarnation_, self.heartbeat_ + 1);
  aState.burstPending_ = aState.burstPending_ || aUrgent;
}

void
SetSelfStatus(MembershipState& aState, bool aReady, bool aReadsStore)
{
  ToggleHashes(aState, aState.self_);
  aState.self_.ready_ = aReady;
  aState.self_.readsStore_ = aReadsStore;
  ToggleHashes(aState, aState.self_);
  BumpSelfVersion(aState, true);
}

TimePoint
NextMembersChangedAt(const MembershipState& aState)
{
  if (!aState.membersChangedDue_) {
    return kNever;
  }
  const auto size = static_cast<std::int64_t>(CountLive(aState));
  return aState.membersEmittedAt_ + kEmitIntervalPerMember * size;
}

void
EmitMembersChanged(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  if (NextMembersChangedAt(state) > aStep.now_.mono_) {
    return;
  }
  state.membersChangedDue_ = false;
  state.membersEmittedAt_ = aStep.now_.mono_;
  auto list = std::make_shared<std::vector<MemberRecord>>();
  list->reserve(CountLive(state));
  bool selfAdded = false;
  for (const auto& [id, member] : state.members_) {
    if (!selfAdded && state.self_.id_ < id) {
      list->push_back(state.self_);
      selfAdded = true;
    }
    if (member.record_.state_ == MemberState::Dead) {
      continue;
    }
    list->push_back(member.record_);
    if (member.suspectedLocally_ &&
        member.record_.state_ == MemberState::Alive) {
      list->back().state_ = MemberState::Suspect;
    }
  }
  if (!selfAdded) {
    list->push_back(state.self_);
  }
  state.publishedMembers_ = list;
  aStep.out_.emplace_back(MembersChanged{ state.publishedMembers_ });
}

void
RecordMemberEvent(MembershipStep& aStep,
                  TimelineKind aKind,
                  const MemberRecord& aRecord,
                  const char* aReason)
{
  TimelineRecord record;
  record.kind_ = aKind;
  record.object_ = aRecord.name_;
  record.number_ = aRecord.incarnation_.value_;
  record.text_ = aReason;
  aStep.out_.emplace_back(std::move(record));
}

} // namespace camphorfield
