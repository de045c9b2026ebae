// Reads the platform's VM list for leaving servers and peer addresses. A few
// readers per round keep the number of platform calls independent of fleet
// size.

#include "core/hash_func.h"
#include "membership/membership_internal.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

/**
 * Readers are the first kVmListReaders members by a hash that changes each
 * round, so the number of calls does not grow with the fleet. Where views
 * differ there may be one reader more or less.
 */
bool
IsReader(const MembershipState& aState, std::int64_t aRound)
{
  const auto round = static_cast<std::uint64_t>(aRound);
  const std::uint64_t own = HashPair(round, aState.self_.id_.value_);
  std::size_t before = 0;
  for (const auto& [id, member] : aState.members_) {
    if (member.record_.state_ == MemberState::Alive &&
        !member.suspectedLocally_ && HashPair(round, id.value_) < own &&
        ++before >= kVmListReaders) {
      return false;
    }
  }
  return true;
}

void
EmitListedRumor(MembershipStep& aStep, const VmRecord& aVm, bool aLeaving)
{
  const LeavingRumor rumor{ aVm.name_, aLeaving, aStep.now_.unixMicros_, true };
  if (LearnRumor(aStep, rumor)) {
    aStep.out_.emplace_back(RumorReceived{ rumor });
  }
}

/**
 * Emits a rumor when the list shows a server as leaving. The list lags, so a
 * server that it shows as staying withdraws only a rumor from an earlier list.
 */
void
MergeServerVm(MembershipStep& aStep,
              const VmRecord& aVm,
              const std::map<std::string, LeavingRumor>& aKnown)
{
  const auto known = aKnown.find(aVm.name_);
  const bool leaving = known != aKnown.end() && known->second.leaving_;
  if (aVm.leaving_ && !leaving) {
    EmitListedRumor(aStep, aVm, true);
    return;
  }
  if (!aVm.leaving_ && leaving && known->second.listed_ &&
      aStep.now_.unixMicros_ - known->second.unixMicros_ > kVmListLag.count()) {
    EmitListedRumor(aStep, aVm, false);
  }
}

std::map<std::string, LeavingRumor>
KnownLeavingRumors(const MembershipState& aState)
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
  // Each failure doubles the interval; jitter keeps daemons from calling
  // together.
  const std::uint32_t doublings =
    std::min(state.vmListFailures_, kMaxVmListDoublings);
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
OnVmList(MembershipStep& aStep, const PlatformReply& aReply)
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
  state.vmListAddresses_.clear();
  const std::map<std::string, LeavingRumor> known = KnownLeavingRumors(state);
  for (const VmRecord& vm : aReply.vms_) {
    if (!vm.entry_) {
      MergeServerVm(aStep, vm, known);
    } else if (!vm.leaving_ && state.vmListAddresses_.size() < kMaxMembers &&
               !state.byAddress_.contains(vm.address_)) {
      state.vmListAddresses_.insert(vm.address_);
    }
  }
}

} // namespace camphorfield
