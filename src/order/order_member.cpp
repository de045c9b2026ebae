/**
 * Members as the order package sees them. Rendezvous hashing picks the
 * preferred owner of a range, so that few ranges move when a daemon joins or is
 * lost.
 */
#include "core/hash_func.h"
#include "order/order_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Other members that may own ranges, most preferred first. */
std::vector<const MemberRecord*>
RankMembers(const OrderState& aState, std::uint32_t aRange)
{
  std::vector<const MemberRecord*> ranked;
  if (aState.members_ == nullptr) {
    return ranked;
  }
  for (const MemberRecord& member : *aState.members_) {
    if (member.id_ != aState.settings_.self_ && member.ready_ &&
        member.state_ == MemberState::Alive) {
      ranked.push_back(&member);
    }
  }
  const std::uint64_t seed = aRange + 1;
  std::sort(ranked.begin(),
            ranked.end(),
            [seed](const MemberRecord* aLeft, const MemberRecord* aRight) {
              return HashPair(aLeft->id_.value_, seed) >
                     HashPair(aRight->id_.value_, seed);
            });
  return ranked;
}

} // namespace

const MemberRecord*
FindMember(const OrderState& aState, DaemonId aId)
{
  if (aState.members_ == nullptr) {
    return nullptr;
  }
  for (const MemberRecord& member : *aState.members_) {
    if (member.id_ == aId) {
      return &member;
    }
  }
  return nullptr;
}

bool
IsIncarnationAlive(const OrderState& aState,
                   DaemonId aId,
                   Incarnation aIncarnation)
{
  const MemberRecord* member = FindMember(aState, aId);
  return member != nullptr && member->incarnation_ == aIncarnation &&
         (member->state_ == MemberState::Alive ||
          member->state_ == MemberState::Leaving);
}

bool
IsIncarnationEnded(const OrderState& aState,
                   DaemonId aId,
                   Incarnation aIncarnation)
{
  const OrderSettings& settings = aState.settings_;
  if (aId == settings.self_) {
    return aIncarnation != settings.incarnation_;
  }
  const MemberRecord* member = FindMember(aState, aId);
  return member != nullptr && (member->incarnation_ > aIncarnation ||
                               member->state_ == MemberState::Dead);
}

std::size_t
CountLiveMembers(const OrderState& aState)
{
  std::size_t count = 1;
  if (aState.members_ == nullptr) {
    return count;
  }
  for (const MemberRecord& member : *aState.members_) {
    const bool other = member.id_ != aState.settings_.self_;
    count += other && member.state_ == MemberState::Alive ? 1 : 0;
  }
  return count;
}

DaemonId
PreferredOwner(const OrderState& aState, std::uint32_t aRange)
{
  const DaemonId self = aState.settings_.self_;
  const std::vector<const MemberRecord*> ranked = RankMembers(aState, aRange);
  if (ranked.empty()) {
    return self;
  }
  const DaemonId best = ranked.front()->id_;
  const bool selfIsBest =
    HashPair(self.value_, aRange + 1) > HashPair(best.value_, aRange + 1);
  return selfIsBest && !aState.stopping_ ? self : best;
}

std::vector<DaemonId>
CopyHolders(const OrderState& aState, std::uint32_t aRange)
{
  std::vector<DaemonId> holders;
  for (const MemberRecord* member : RankMembers(aState, aRange)) {
    const bool elsewhere =
      member->failureDomain_ != aState.settings_.failureDomain_;
    if (holders.empty() || elsewhere) {
      holders.push_back(member->id_);
    }
    if (elsewhere) {
      break;
    }
  }
  return holders;
}

void
SendToPeer(OrderStep& aStep, DaemonId aTo, PeerBody aBody, PeerCallId aCall)
{
  const MemberRecord* member = FindMember(aStep.state_, aTo);
  aStep.out_.push_back(
    SendPeer{ .to_ = aTo,
              .address_ = member == nullptr ? "" : member->peerAddress_,
              .body_ = std::move(aBody),
              .call_ = aCall });
}

} // namespace camphorfield
