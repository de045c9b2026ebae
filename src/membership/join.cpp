// First contact with other daemons and sync of all records, at start and after
// a network partition. Attempts have jitter and pages have a byte budget, for
// fleets that start at once.

#include "membership/membership_internal.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace camphorfield {

namespace {

/** Whether this daemon or a member that is not dead has the address. */
bool
IsAddressInUse(MembershipState& aState, const std::string& aAddress)
{
  if (aAddress == aState.self_.peerAddress_) {
    return true;
  }
  const auto found = aState.byAddress_.find(aAddress);
  if (found == aState.byAddress_.end()) {
    return false;
  }
  const Member* member = FindMember(aState, found->second);
  return member != nullptr && member->record_.state_ != MemberState::Dead;
}

/** Seeds, addresses of dead members and addresses from the VM list, without
 * those in use. */
std::vector<std::string>
JoinAddresses(MembershipState& aState)
{
  std::vector<std::string> addresses;
  for (const std::string& seed : aState.settings_.seeds_) {
    if (!IsAddressInUse(aState, seed)) {
      addresses.push_back(seed);
    }
  }
  for (const DaemonId id : aState.dead_) {
    const std::string& address = aState.members_[id].record_.peerAddress_;
    if (!IsAddressInUse(aState, address)) {
      addresses.push_back(address);
    }
  }
  for (const std::string& listed : aState.vmListAddresses_) {
    if (!IsAddressInUse(aState, listed)) {
      addresses.push_back(listed);
    }
  }
  return addresses;
}

} // namespace

void
TryJoin(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  if (aStep.now_.mono_ < state.nextJoinAt_) {
    return;
  }
  // Jitter spreads the attempts of a fleet that starts at once.
  const Duration interval =
    CountLive(state) == 1 ? kJoinIntervalAlone : kJoinInterval;
  const auto half = static_cast<std::uint64_t>(interval.count() / 2);
  state.nextJoinAt_ =
    aStep.now_.mono_ + interval / 2 + Duration(aStep.rng_() % (2 * half));
  const std::vector<std::string> addresses = JoinAddresses(state);
  if (addresses.empty()) {
    return;
  }
  const std::string& address =
    addresses[state.joinCursor_++ % addresses.size()];
  const auto known = state.byAddress_.find(address);
  if (known == state.byAddress_.end()) {
    SendPingToAddress(aStep, address);
    return;
  }
  SendPing(aStep, state.members_[known->second], state.nextSequence_++);
}

void
StartSync(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  state.syncing_ = true;
  state.syncAfter_ = DaemonId{};
  state.syncRetryAt_ = aStep.now_.mono_;
}

void
RepeatSync(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  if (state.syncing_ || aStep.now_.mono_ < state.nextSyncAt_) {
    return;
  }
  if (!state.viewsDiffer_) {
    // Later differences are repaired by the rotation of records.
    state.nextSyncAt_ = kNever;
    state.syncInterval_ = kMinSyncInterval;
    return;
  }
  StartSync(aStep);
}

void
ContinueSync(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  if (!state.syncing_ || aStep.now_.mono_ < state.syncRetryAt_) {
    return;
  }
  const Member* to = RandomMember(aStep);
  if (to == nullptr) {
    state.syncRetryAt_ = aStep.now_.mono_ + kSyncRetryDelay;
    return;
  }
  state.syncSequence_ = state.nextSequence_++;
  state.syncRetryAt_ = aStep.now_.mono_ + kSyncRetryDelay;
  GossipPing ping;
  ping.sequence_ = state.syncSequence_;
  ping.members_.push_back(state.self_);
  ping.viewHash_ = state.viewHash_;
  ping.sync_ = true;
  ping.syncAfter_ = state.syncAfter_;
  const std::size_t bytes = RecordBytes(state.self_);
  SendGossip(
    aStep, to->record_.id_, to->record_.peerAddress_, std::move(ping), bytes);
}

void
OnSyncPage(MembershipStep& aStep, const GossipAck& aAck)
{
  MembershipState& state = aStep.state_;
  if (!state.syncing_ || !(aAck.syncNext_ > state.syncAfter_)) {
    return; // no page: syncRetryAt_ asks another member
  }
  if (aAck.syncNext_ == kSyncEnd) {
    state.syncing_ = false;
    state.syncRetryAt_ = kNever;
    const Duration least =
      kSyncIntervalPerMember * static_cast<std::int64_t>(CountLive(state));
    state.nextSyncAt_ =
      aStep.now_.mono_ + std::max<Duration>(state.syncInterval_, least);
    state.syncInterval_ = std::min(2 * state.syncInterval_, kMaxSyncInterval);
    return;
  }
  state.syncAfter_ = aAck.syncNext_;
  state.syncRetryAt_ = aStep.now_.mono_;
}

DaemonId
FillSyncPage(MembershipStep& aStep, DaemonId aAfter, GossipPayload& aPayload)
{
  MembershipState& state = aStep.state_;
  RefillBudgets(state, aStep.now_.mono_);
  if (state.syncBudget_ <= 0) {
    return DaemonId{};
  }
  AddRumors(state, aPayload, RumorRank::First, kMessageBytes);
  AddRotatedRumor(state, aPayload, kMessageBytes);
  const std::size_t before = aPayload.bytes_;
  DaemonId last = kSyncEnd;
  for (auto next = state.members_.upper_bound(aAfter);
       next != state.members_.end();
       ++next) {
    const MemberRecord& record = next->second.record_;
    if (record.state_ != MemberState::Dead) {
      aPayload.bytes_ += RecordBytes(record);
      aPayload.members_.push_back(record);
    }
    if (aPayload.bytes_ >= kSyncPageBytes) {
      last = next->first;
      break;
    }
  }
  state.syncBudget_ -= static_cast<std::int64_t>(aPayload.bytes_ - before);
  return last;
}

} // namespace camphorfield
