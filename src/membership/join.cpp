#include "membership/membership_internal.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace camphorfield {

namespace {

/** Whether a living member, or we ourselves, have this address. */
bool
IsTaken(MembershipState& aState, const std::string& aAddress)
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

/** Addresses to try: of the dead, from the settings, from the VM list. */
std::vector<std::string>
AddressesToTry(MembershipState& aState)
{
  std::vector<std::string> addresses;
  for (const std::string& seed : aState.settings_.seeds_) {
    if (!IsTaken(aState, seed)) {
      addresses.push_back(seed);
    }
  }
  for (const DaemonId id : aState.dead_) {
    const std::string& address = aState.members_[id].record_.peerAddress_;
    if (!IsTaken(aState, address)) {
      addresses.push_back(address);
    }
  }
  for (const std::string& hint : aState.hints_) {
    if (!IsTaken(aState, hint)) {
      addresses.push_back(hint);
    }
  }
  return addresses;
}

} // namespace

void
ReachOut(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  if (aStep.now_.mono_ < state.nextOutreachAt_) {
    return;
  }
  // Jitter keeps a fleet that starts at once from knocking in step.
  const Duration interval =
    CountLive(state) == 1 ? kAloneInterval : kOutreachInterval;
  const auto half = static_cast<std::uint64_t>(interval.count() / 2);
  state.nextOutreachAt_ =
    aStep.now_.mono_ + interval / 2 + Duration(aStep.rng_() % (2 * half));
  const std::vector<std::string> addresses = AddressesToTry(state);
  if (addresses.empty()) {
    return;
  }
  const std::string& address =
    addresses[state.outreachCursor_++ % addresses.size()];
  const auto known = state.byAddress_.find(address);
  if (known == state.byAddress_.end()) {
    SendHello(aStep, address);
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
  if (state.syncing_ || aStep.now_.mono_ < state.syncAgainAt_) {
    return;
  }
  if (!state.viewsDiffer_) {
    // Small differences are left to rotation from now on.
    state.syncAgainAt_ = kNever;
    state.syncAgain_ = kSyncAgain;
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
    state.syncRetryAt_ = aStep.now_.mono_ + kSyncRetry;
    return;
  }
  state.syncSequence_ = state.nextSequence_++;
  state.syncRetryAt_ = aStep.now_.mono_ + kSyncRetry;
  GossipPing ping;
  ping.sequence_ = state.syncSequence_;
  ping.members_.push_back(state.self_);
  ping.viewHash_ = state.viewHash_;
  ping.sync_ = true;
  ping.syncAfter_ = state.syncAfter_;
  const std::size_t bytes = RecordBytes(state.self_);
  SendCounted(
    aStep, to->record_.id_, to->record_.peerAddress_, std::move(ping), bytes);
}

void
SyncAnswered(MembershipStep& aStep, const GossipAck& aAck)
{
  MembershipState& state = aStep.state_;
  if (!state.syncing_ || !(aAck.syncNext_ > state.syncAfter_)) {
    return; // no page: another member is asked after a while
  }
  if (aAck.syncNext_ == kSyncEnd) {
    state.syncing_ = false;
    state.syncRetryAt_ = kNever;
    state.syncAgainAt_ = aStep.now_.mono_ + state.syncAgain_;
    state.syncAgain_ = std::min(2 * state.syncAgain_, kSyncAgainMost);
    return;
  }
  state.syncAfter_ = aAck.syncNext_;
  state.syncRetryAt_ = aStep.now_.mono_;
}

DaemonId
FillPage(MembershipStep& aStep, DaemonId aAfter, News& aNews)
{
  MembershipState& state = aStep.state_;
  Refill(state, aStep.now_.mono_);
  if (state.pagesLeft_ <= 0) {
    return DaemonId{};
  }
  AddRumors(state, aNews, kMessageBytes);
  const std::size_t before = aNews.bytes_;
  DaemonId last = kSyncEnd;
  for (auto next = state.members_.upper_bound(aAfter);
       next != state.members_.end();
       ++next) {
    const MemberRecord& record = next->second.record_;
    if (record.state_ != MemberState::Dead) {
      aNews.bytes_ += RecordBytes(record);
      aNews.members_.push_back(record);
    }
    if (aNews.bytes_ >= kSyncBytes) {
      last = next->first;
      break;
    }
  }
  state.pagesLeft_ -= static_cast<std::int64_t>(aNews.bytes_ - before);
  return last;
}

} // namespace camphorfield
