// Sends pings, acks and bursts. Each message carries records and rumors within
// the gossip budget, so that many changes at once do not flood the network.

#include "membership/membership_internal.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

constexpr std::size_t kMessageOverhead = 110; ///< Frame, TCP, IP, TCP ack.
constexpr std::size_t kRecordRequestsPerPing = 8;

void
AddRecordRequests(MembershipState& aState, GossipPayload& aPayload)
{
  const std::size_t count =
    std::min(kRecordRequestsPerPing, aState.recordRequests_.size());
  for (std::size_t i = 0; i < count; ++i) {
    MemberRecord request;
    request.id_ = aState.recordRequests_.back();
    aState.recordRequests_.pop_back();
    AddRecord(aPayload, std::move(request), SIZE_MAX);
  }
}

/** Adds the full records that a ping requests. */
void
AddRequestedRecords(MembershipState& aState,
                    const GossipPing& aPing,
                    GossipPayload& aPayload)
{
  for (const MemberRecord& request : aPing.members_) {
    if (request.incarnation_.IsValid()) {
      continue;
    }
    const Member* member = FindMember(aState, request.id_);
    if (member != nullptr) {
      AddRecord(aPayload, member->record_, SIZE_MAX);
    } else if (request.id_ == aState.self_.id_) {
      aPayload.members_.front() = aState.self_;
    }
  }
}

/** Adds full records of random members, which the receiver can sync with. */
void
AddReferrals(MembershipStep& aStep, GossipPayload& aPayload)
{
  for (std::size_t i = 0; i < kSyncReferrals; ++i) {
    const Member* member = RandomMember(aStep);
    if (member != nullptr) {
      AddRecord(aPayload, member->record_, SIZE_MAX);
    }
  }
}

GossipPing
MakePing(MembershipStep& aStep, GossipPayload aPayload, std::uint64_t aSequence)
{
  GossipPing ping;
  ping.adopted_ = MakeAdoptedSet(aStep, false);
  ping.sequence_ = aSequence;
  ping.members_ = std::move(aPayload.members_);
  ping.rumors_ = std::move(aPayload.rumors_);
  ping.viewHash_ = aStep.state_.viewHash_;
  return ping;
}

void
SendBurstTo(MembershipStep& aStep, const Member& aTo)
{
  GossipPayload payload = StartPayload(aStep.state_, &aTo);
  FillPayload(aStep, payload, true);
  ++aStep.state_.stats_.burstMessages_;
  aStep.state_.gossipBudget_ -= static_cast<std::int64_t>(kMessageOverhead);
  const std::size_t bytes = payload.bytes_;
  SendGossip(aStep,
             aTo.record_.id_,
             aTo.record_.peerAddress_,
             MakePing(aStep, std::move(payload), 0),
             bytes);
}

} // namespace

Member*
RandomMember(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  const std::size_t size = state.probeOrder_.size();
  const std::size_t start = size == 0 ? 0 : aStep.rng_() % size;
  for (std::size_t i = 0; i < size; ++i) {
    Member* member = FindMember(state, state.probeOrder_[(start + i) % size]);
    if (member->record_.state_ == MemberState::Alive) {
      return member;
    }
  }
  return nullptr;
}

void
SendGossip(MembershipStep& aStep,
           DaemonId aTo,
           const std::string& aAddress,
           PeerBody aBody,
           std::size_t aBytes)
{
  aStep.state_.stats_.bytesSent_ += aBytes + kMessageOverhead;
  aStep.out_.emplace_back(SendPeer{ aTo, aAddress, std::move(aBody), {} });
}

void
SendPing(MembershipStep& aStep, Member& aTo, std::uint64_t aSequence)
{
  GossipPayload payload = StartPayload(aStep.state_, &aTo);
  if (aTo.record_.state_ != MemberState::Alive) {
    // The member can refute a suspicion only after it has received it.
    AddRecord(payload, BriefRecord(aTo.record_), kMessageBytes);
  }
  AddRecordRequests(aStep.state_, payload);
  FillPayload(aStep, payload, false);
  const std::size_t bytes = payload.bytes_;
  SendGossip(aStep,
             aTo.record_.id_,
             aTo.record_.peerAddress_,
             MakePing(aStep, std::move(payload), aSequence),
             bytes);
}

void
SendPingToAddress(MembershipStep& aStep, const std::string& aAddress)
{
  GossipPayload payload = StartPayload(aStep.state_, nullptr);
  const std::size_t bytes = payload.bytes_;
  const std::uint64_t sequence = aStep.state_.nextSequence_++;
  SendGossip(aStep,
             DaemonId{},
             aAddress,
             MakePing(aStep, std::move(payload), sequence),
             bytes);
}

void
SendAck(MembershipStep& aStep, DaemonId aTo, const GossipPing& aPing)
{
  MembershipState& state = aStep.state_;
  const Member* to = FindMember(state, aTo);
  if (to == nullptr) {
    return;
  }
  GossipPayload payload = StartPayload(state, to);
  if (to->record_.state_ != MemberState::Alive) {
    AddRecord(payload, BriefRecord(to->record_), kMessageBytes);
  }
  AddRequestedRecords(state, aPing, payload);
  GossipAck ack;
  if (aPing.sync_) {
    ack.syncNext_ = FillSyncPage(aStep, aPing.syncAfter_, payload);
    if (!ack.syncNext_.IsValid()) {
      AddReferrals(aStep, payload);
    }
  }
  if (!ack.syncNext_.IsValid()) {
    FillPayload(aStep, payload, false);
  }
  ack.adopted_ = MakeAdoptedSet(aStep, aPing.adopted_.generation_.IsValid());
  ack.sequence_ = aPing.sequence_;
  ack.viewHash_ = state.viewHash_;
  ack.members_ = std::move(payload.members_);
  ack.rumors_ = std::move(payload.rumors_);
  SendGossip(
    aStep, aTo, to->record_.peerAddress_, std::move(ack), payload.bytes_);
}

void
SendRelayedAck(MembershipStep& aStep, const RelayedProbe& aRelayed)
{
  MembershipState& state = aStep.state_;
  const Member* origin = FindMember(state, aRelayed.origin_);
  const Member* target = FindMember(state, aRelayed.target_);
  if (origin == nullptr || target == nullptr) {
    return;
  }
  GossipPayload payload = StartPayload(state, origin);
  AddRecord(payload, BriefRecord(target->record_), SIZE_MAX);
  GossipAck ack;
  ack.sequence_ = aRelayed.originSequence_;
  ack.viewHash_ = state.viewHash_;
  ack.members_ = std::move(payload.members_);
  SendGossip(aStep,
             aRelayed.origin_,
             origin->record_.peerAddress_,
             std::move(ack),
             payload.bytes_);
}

TimePoint
NextBurstAt(const MembershipState& aState)
{
  return aState.burstPending_ ? aState.lastBurstAt_ + kBurstGap : kNever;
}

void
SendBurst(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  if (NextBurstAt(state) > aStep.now_.mono_) {
    return;
  }
  state.lastBurstAt_ = aStep.now_.mono_;
  RefillBudgets(state, aStep.now_.mono_);
  if (state.gossipBudget_ <= 0) {
    ++state.stats_.overBudget_;
    return;
  }
  state.burstPending_ = false;
  if (CountLive(state) <= kFullBurstMembers) {
    for (auto& [id, member] : state.members_) {
      if (member.record_.state_ != MemberState::Dead) {
        SendBurstTo(aStep, member);
      }
    }
    return;
  }
  std::vector<DaemonId> receivers;
  for (std::size_t i = 0; i < kBurstFanout; ++i) {
    const Member* to = RandomMember(aStep);
    if (to == nullptr ||
        std::find(receivers.begin(), receivers.end(), to->record_.id_) !=
          receivers.end()) {
      continue;
    }
    receivers.push_back(to->record_.id_);
    SendBurstTo(aStep, *to);
  }
}

} // namespace camphorfield
