// Selects records and rumors for gossip messages within a byte budget, so that
// a returning region or a mass restart does not exceed the bandwidth of gossip.

#include "membership/membership_internal.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace camphorfield {

namespace {

constexpr std::size_t kBriefRecordBytes = 34; ///< Record without texts.
constexpr std::size_t kTextOverheadBytes = 2; ///< Per text.

/** Part of the budget that only rumors of the first rank and urgent records may
 * use. */
constexpr std::int64_t kUrgentReserveBytes = kMaxGossipBudget / 2;

/** Above this queue length, as when a region comes back, sync pages and
 * rotation spread records at less cost than many sends of each. */
constexpr std::size_t kLongQueue = 32;
constexpr std::uint8_t kLongQueueSends = 3;

bool
Contains(const GossipPayload& aPayload, DaemonId aId)
{
  return std::any_of(
    aPayload.members_.begin(),
    aPayload.members_.end(),
    [aId](const MemberRecord& aRecord) { return aRecord.id_ == aId; });
}

/** Adds queued records, the ones sent least often first. */
void
AddQueued(MembershipState& aState,
          std::deque<DaemonId>& aQueue,
          std::uint8_t Member::*aLeft,
          GossipPayload& aPayload,
          std::size_t aBudget)
{
  std::vector<DaemonId> requeued;
  while (!aQueue.empty()) {
    Member* member = FindMember(aState, aQueue.front());
    if (member == nullptr || member->*aLeft == 0) {
      aQueue.pop_front();
      continue;
    }
    MemberRecord record =
      member->sendFull_ ? member->record_ : BriefRecord(member->record_);
    if (!AddRecord(aPayload, std::move(record), aBudget)) {
      break;
    }
    aQueue.pop_front();
    if (--(member->*aLeft) > 0) {
      requeued.push_back(member->record_.id_);
    } else if (aLeft == &Member::urgentSendsLeft_) {
      member->sendFull_ = false;
    }
  }
  aQueue.insert(aQueue.end(), requeued.begin(), requeued.end());
}

/** Adds records in rotation, which repairs views that differ for any reason. */
void
AddRotation(MembershipState& aState,
            GossipPayload& aPayload,
            std::size_t aBudget)
{
  for (std::size_t left = aState.members_.size(); left > 0; --left) {
    auto next = aState.members_.upper_bound(aState.recordRotation_);
    if (next == aState.members_.end()) {
      next = aState.members_.begin();
    }
    if (next->second.record_.state_ != MemberState::Dead &&
        !AddRecord(aPayload, BriefRecord(next->second.record_), aBudget)) {
      return;
    }
    aState.recordRotation_ = next->first;
  }
}

} // namespace

bool
AddRecord(GossipPayload& aPayload, MemberRecord aRecord, std::size_t aBudget)
{
  if (Contains(aPayload, aRecord.id_)) {
    return true;
  }
  const std::size_t bytes = RecordBytes(aRecord);
  if (aPayload.bytes_ + bytes > aBudget) {
    return false;
  }
  aPayload.bytes_ += bytes;
  aPayload.members_.push_back(std::move(aRecord));
  return true;
}

GossipPayload
StartPayload(const MembershipState& aState, const Member* aTo)
{
  GossipPayload payload;
  const bool brief = aTo != nullptr && aTo->hasOurRecord_;
  AddRecord(
    payload, brief ? BriefRecord(aState.self_) : aState.self_, kMessageBytes);
  return payload;
}

void
FillPayload(MembershipStep& aStep, GossipPayload& aPayload, bool aUrgentOnly)
{
  MembershipState& state = aStep.state_;
  RefillBudgets(state, aStep.now_.mono_);
  if (state.gossipBudget_ <= 0) {
    return;
  }
  const std::size_t before = aPayload.bytes_;
  AddRumors(state, aPayload, RumorRank::First, kMessageBytes);
  AddRotatedRumor(state, aPayload, kMessageBytes);
  AddQueued(state,
            state.urgentQueue_,
            &Member::urgentSendsLeft_,
            aPayload,
            kMessageBytes);
  const bool hasReserve = state.gossipBudget_ >= kUrgentReserveBytes;
  if (hasReserve) {
    AddRumors(state, aPayload, RumorRank::Second, kMessageBytes);
  }
  if (!aUrgentOnly && hasReserve) {
    AddRumors(state, aPayload, RumorRank::Last, kMessageBytes);
    AddQueued(state,
              state.slowQueue_,
              &Member::slowSendsLeft_,
              aPayload,
              kMessageBytes);
    if (state.viewsDiffer_) {
      AddRotation(state, aPayload, kMessageBytes);
    }
  }
  state.gossipBudget_ -= static_cast<std::int64_t>(aPayload.bytes_ - before);
}

void
RefillBudgets(MembershipState& aState, TimePoint aNow)
{
  constexpr Duration kStep = 10ms; // shorter steps lose bytes to rounding
  const Duration passed = aNow - aState.budgetsRefilledAt_;
  if (passed < kStep) {
    return;
  }
  const auto millis = passed / Duration(1ms);
  aState.budgetsRefilledAt_ += Duration(1ms) * millis;
  aState.gossipBudget_ =
    std::min(kMaxGossipBudget,
             aState.gossipBudget_ + kGossipBytesPerSecond * millis / 1000);
  aState.syncBudget_ = std::min(
    kMaxSyncBudget, aState.syncBudget_ + kSyncBytesPerSecond * millis / 1000);
}

std::size_t
RecordBytes(const MemberRecord& aRecord)
{
  if (!aRecord.incarnation_.IsValid()) {
    return kBriefRecordBytes / 2; // a request: only the id
  }
  if (aRecord.name_.empty()) {
    return kBriefRecordBytes;
  }
  return kBriefRecordBytes + aRecord.name_.size() +
         aRecord.peerAddress_.size() + aRecord.callerAddress_.size() +
         aRecord.operatorAddress_.size() + aRecord.failureDomain_.size() +
         4 * kTextOverheadBytes;
}

MemberRecord
BriefRecord(const MemberRecord& aRecord)
{
  MemberRecord brief;
  brief.id_ = aRecord.id_;
  brief.incarnation_ = aRecord.incarnation_;
  brief.heartbeat_ = aRecord.heartbeat_;
  brief.state_ = aRecord.state_;
  brief.ready_ = aRecord.ready_;
  brief.readsStore_ = aRecord.readsStore_;
  brief.generation_ = aRecord.generation_;
  brief.load_ = aRecord.load_;
  return brief;
}

std::uint8_t
RetransmitLimit(const MembershipState& aState, std::uint32_t aFactor)
{
  const auto rounds =
    static_cast<std::uint32_t>(std::bit_width(CountLive(aState)));
  return static_cast<std::uint8_t>(aFactor * rounds);
}

void
QueueRecord(MembershipState& aState, Member& aMember, bool aUrgent, bool aFull)
{
  aMember.sendFull_ = aMember.sendFull_ || aFull;
  if (!aUrgent) {
    if (aMember.slowSendsLeft_ == 0) {
      aState.slowQueue_.push_front(aMember.record_.id_);
    }
    aMember.slowSendsLeft_ = RetransmitLimit(aState, 1);
    return;
  }
  if (aMember.urgentSendsLeft_ == 0) {
    aState.urgentQueue_.push_front(aMember.record_.id_);
  }
  aMember.urgentSendsLeft_ = aState.urgentQueue_.size() > kLongQueue
                               ? kLongQueueSends
                               : RetransmitLimit(aState, kRetransmitFactor);
  aState.burstPending_ = true;
}

} // namespace camphorfield
