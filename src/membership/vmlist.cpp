#include "core/hash_func.h"
#include "membership/membership_internal.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

/**
 * Readers are the first ones of a hash order that changes each round, so that
 * the number of calls doesn't grow with the fleet and each daemon's share
 * shrinks with it. Two views may differ: then one reads more, or one less.
 */
bool
IsReader(const MembershipState& aState, std::int64_t aRound)
{
  const auto round = static_cast<std::uint64_t>(aRound);
  const std::uint64_t own = HashPair(round, aState.self_.id_.value_);
  std::size_t before = 0;
  for (const auto& [id, member] : aState.members_) {
    if (member.record_.state_ == MemberState::Alive && !member.doubted_ &&
        HashPair(round, id.value_) < own && ++before >= kVmListReaders) {
      return false;
    }
  }
  return true;
}

void
LearnListed(MembershipStep& aStep, const VmRecord& aVm, bool aLeaving)
{
  const LeavingRumor rumor{ aVm.name_, aLeaving, aStep.now_.unixMicros_, true };
  if (LearnRumor(aStep, rumor)) {
    aStep.out_.emplace_back(RumorReceived{ rumor });
  }
}

/**
 * The list may tell that a server leaves. It lags, so a server that it shows
 * as staying withdraws only what an earlier list has told.
 */
void
LearnServerVm(MembershipStep& aStep,
              const VmRecord& aVm,
              const std::map<std::string, LeavingRumor>& aKnown)
{
  const auto known = aKnown.find(aVm.name_);
  const bool leaving = known != aKnown.end() && known->second.leaving_;
  if (aVm.leaving_ && !leaving) {
    LearnListed(aStep, aVm, true);
    return;
  }
  if (!aVm.leaving_ && leaving && known->second.listed_ &&
      aStep.now_.unixMicros_ - known->second.unixMicros_ > kVmListLag.count()) {
    LearnListed(aStep, aVm, false);
  }
}

std::map<std::string, LeavingRumor>
KnownLeaving(const MembershipState& aState)
{
  std::map<std::string, LeavingRumor> known;
  for (const auto& [key, rumor] : aState.rumors_) {
    if (const auto* leaving = std::get_if<LeavingRumor>(&rumor.rumor_)) {
      known[leaving->server_] = *leaving;
    }
  }
  return known;
}

} // namespace

void
ReadVmList(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  if (aStep.now_.mono_ < state.nextVmListAt_) {
    return;
  }
  // Failures double the interval; jitter keeps daemons out of step.
  const std::uint32_t doublings =
    std::min(state.vmListFailures_, kVmListBackoffMost);
  const Duration interval = kVmListInterval * (1 << doublings);
  const auto half = static_cast<std::uint64_t>(interval.count() / 2);
  const Duration jitter =
    doublings == 0 ? Duration{} : Duration(aStep.rng_() % half);
  state.nextVmListAt_ = aStep.now_.mono_ + interval + jitter;
  const std::int64_t round = aStep.now_.unixMicros_ / kVmListInterval.count();
  if (state.vmListCall_.IsValid() || !IsReader(state, round)) {
    return;
  }
  ++state.stats_.vmListCalls_;
  state.vmListCall_.value_ = aStep.rng_() | 1U;
  PlatformCall call;
  call.id_ = state.vmListCall_;
  call.user_ = PlatformUser::Membership;
  call.op_ = PlatformOp::VmList;
  call.timeout_ = kVmListTimeout;
  aStep.out_.emplace_back(std::move(call));
}

void
LearnVmList(MembershipStep& aStep, const PlatformReply& aReply)
{
  MembershipState& state = aStep.state_;
  if (aReply.id_ != state.vmListCall_) {
    return;
  }
  state.vmListCall_ = PlatformCallId{};
  if (aReply.status_ != PlatformStatus::Ok) {
    ++state.vmListFailures_;
    return;
  }
  state.vmListFailures_ = 0;
  state.hints_.clear();
  const std::map<std::string, LeavingRumor> known = KnownLeaving(state);
  for (const VmRecord& vm : aReply.vms_) {
    if (!vm.entry_) {
      LearnServerVm(aStep, vm, known);
    } else if (!vm.leaving_ && state.hints_.size() < kMaxMembers &&
               !state.byAddress_.contains(vm.address_)) {
      state.hints_.insert(vm.address_);
    }
  }
}

} // namespace camphorfield
