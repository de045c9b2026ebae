#include "membership/membership_internal.h"

#include <algorithm>
#include <climits>

namespace camphorfield {

namespace {

/** Sets are told for this long after a generation was first heard of. Who
 * adopts it later is told as a single record. */
constexpr Duration kAdoptedSetPeriod = 30s;

/** Calls a function with the place of each member in the roster: all but the
 * dead, in order of identifier, this daemon among them. */
template<typename Function>
std::size_t
ForEachRosterMember(MembershipState& aState, const Function& aFunction)
{
  std::size_t place = 0;
  bool selfDone = false;
  for (auto& [id, member] : aState.members_) {
    if (!selfDone && aState.self_.id_ < id) {
      ++place;
      selfDone = true;
    }
    if (member.record_.state_ != MemberState::Dead) {
      aFunction(place++, member);
    }
  }
  return selfDone ? place : place + 1;
}

std::size_t
RosterIndexOfSelf(const MembershipState& aState)
{
  std::size_t place = 0;
  for (const auto& [id, member] : aState.members_) {
    if (aState.self_.id_ < id) {
      break;
    }
    place += member.record_.state_ != MemberState::Dead ? 1 : 0;
  }
  return place;
}

void
SetBit(std::string& aBits, std::size_t aPlace)
{
  const unsigned bit = 1U << (aPlace % CHAR_BIT);
  char& byte = aBits[aPlace / CHAR_BIT];
  byte = static_cast<char>(static_cast<unsigned char>(byte) | bit);
}

bool
HasBit(const std::string& aBits, std::size_t aPlace)
{
  const unsigned bit = 1U << (aPlace % CHAR_BIT);
  return (static_cast<unsigned char>(aBits[aPlace / CHAR_BIT]) & bit) != 0;
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
    ForEachRosterMember(state, [&](std::size_t aPlace, const Member& aMember) {
      if (aMember.record_.generation_ >= state.newestGeneration_) {
        SetBit(set.members_, aPlace);
        ++count;
      }
    });
  if (state.self_.generation_ >= state.newestGeneration_) {
    SetBit(set.members_, RosterIndexOfSelf(state));
    ++count;
  }
  // Who knows of all answers those who don't, and tells no more by itself.
  if (count == roster && !aIsReply) {
    return AdoptedSet{};
  }
  set.generation_ = state.newestGeneration_;
  set.rosterHash_ = state.rosterHash_;
  // Sent also when nothing is left, since it is small: other news yield to it.
  state.gossipBudget_ -= static_cast<std::int64_t>(set.members_.size());
  return set;
}

void
MergeAdoptedSet(MembershipStep& aStep, const AdoptedSet& aSet)
{
  MembershipState& state = aStep.state_;
  UpdateNewestGeneration(state, aSet.generation_, aStep.now_.mono_);
  // Places mean the same members only where both know the same ones.
  if (!aSet.generation_.IsValid() || aSet.rosterHash_ != state.rosterHash_ ||
      aSet.members_.size() != RosterBitmapBytes(state)) {
    return;
  }
  ForEachRosterMember(state, [&](std::size_t aPlace, Member& aMember) {
    if (HasBit(aSet.members_, aPlace) &&
        aMember.record_.generation_ < aSet.generation_) {
      aMember.record_.generation_ = aSet.generation_;
      state.membersChangedDue_ = true;
    }
  });
}

} // namespace camphorfield
