// Bit sets of the members that have the newest generation. Large fleets send
// them in place of one record per adoption, to save gossip bytes.

#include "membership/membership_internal.h"

#include <algorithm>
#include <climits>

namespace camphorfield {

namespace {

/** Time after the first news of a generation in which sets are sent. A member
 * that adopts it later is gossiped as a single record. */
constexpr Duration kAdoptedSetPeriod = 30s;

/** Calls a function for each other member with its index in the roster: all but
 * the dead, in order of id, this daemon included. Returns the roster size. */
template<typename Function>
std::size_t
ForEachRosterMember(MembershipState& aState, const Function& aFunction)
{
  std::size_t index = 0;
  bool selfDone = false;
  for (auto& [id, member] : aState.members_) {
    if (!selfDone && aState.self_.id_ < id) {
      ++index;
      selfDone = true;
    }
    if (member.record_.state_ != MemberState::Dead) {
      aFunction(index++, member);
    }
  }
  return selfDone ? index : index + 1;
}

std::size_t
RosterIndexOfSelf(const MembershipState& aState)
{
  std::size_t index = 0;
  for (const auto& [id, member] : aState.members_) {
    if (aState.self_.id_ < id) {
      break;
    }
    index += member.record_.state_ != MemberState::Dead ? 1 : 0;
  }
  return index;
}

void
SetBit(std::string& aBits, std::size_t aIndex)
{
  const unsigned bit = 1U << (aIndex % CHAR_BIT);
  char& byte = aBits[aIndex / CHAR_BIT];
  byte = static_cast<char>(static_cast<unsigned char>(byte) | bit);
}

bool
HasBit(const std::string& aBits, std::size_t aIndex)
{
  const unsigned bit = 1U << (aIndex % CHAR_BIT);
  return (static_cast<unsigned char>(aBits[aIndex / CHAR_BIT]) & bit) != 0;
}

std::size_t
RosterBitmapBytes(const MembershipState& aState)
{
  return (CountLive(aState) + CHAR_BIT - 1) / CHAR_BIT;
}

} // namespace

bool
SendsAdoptedSets(const MembershipState& aState, TimePoint aNow)
{
  return CountLive(aState) > kSmallFleet &&
         aState.newestGeneration_.IsValid() &&
         aNow < aState.newestGenerationAt_ + kAdoptedSetPeriod;
}

void
UpdateNewestGeneration(MembershipState& aState,
                       Generation aGeneration,
                       TimePoint aNow)
{
  if (aGeneration > aState.newestGeneration_) {
    aState.newestGeneration_ = aGeneration;
    aState.newestGenerationAt_ = aNow;
  }
}

AdoptedSet
MakeAdoptedSet(MembershipStep& aStep, bool aIsReply)
{
  MembershipState& state = aStep.state_;
  AdoptedSet set;
  if (!SendsAdoptedSets(state, aStep.now_.mono_)) {
    return set;
  }
  set.members_.assign(RosterBitmapBytes(state), '\0');
  std::size_t count = 0;
  const std::size_t roster =
    ForEachRosterMember(state, [&](std::size_t aIndex, const Member& aMember) {
      if (aMember.record_.generation_ >= state.newestGeneration_) {
        SetBit(set.members_, aIndex);
        ++count;
      }
    });
  if (state.self_.generation_ >= state.newestGeneration_) {
    SetBit(set.members_, RosterIndexOfSelf(state));
    ++count;
  }
  // A daemon that knows all members to have it only replies to sets.
  if (count == roster && !aIsReply) {
    return AdoptedSet{};
  }
  set.generation_ = state.newestGeneration_;
  set.rosterHash_ = state.rosterHash_;
  // Small, so it is sent without budget too, at the expense of records.
  state.gossipBudget_ -= static_cast<std::int64_t>(set.members_.size());
  return set;
}

void
MergeAdoptedSet(MembershipStep& aStep, const AdoptedSet& aSet)
{
  MembershipState& state = aStep.state_;
  UpdateNewestGeneration(state, aSet.generation_, aStep.now_.mono_);
  // Indices match only if both daemons know the same members.
  if (!aSet.generation_.IsValid() || aSet.rosterHash_ != state.rosterHash_ ||
      aSet.members_.size() != RosterBitmapBytes(state)) {
    return;
  }
  ForEachRosterMember(state, [&](std::size_t aIndex, Member& aMember) {
    if (HasBit(aSet.members_, aIndex) &&
        aMember.record_.generation_ < aSet.generation_) {
      aMember.record_.generation_ = aSet.generation_;
      state.membersChangedDue_ = true;
    }
  });
}

} // namespace camphorfield
