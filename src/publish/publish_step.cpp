// Helpers of the package: platform calls, and retries with backoff and jitter
// so that a store that recovers isn't overloaded.
#include "publish/publish_internal.h"

#include <algorithm>
#include <random>

namespace camphorfield {

namespace {

constexpr std::uint32_t kMaxDoublings = 10;

} // namespace

Generation
CurrentGeneration(const PublishState& aState)
{
  return aState.current_ == nullptr ? Generation{}
                                    : aState.current_->generation_;
}

std::string
PointerKey(const PublishState& aState)
{
  return aState.settings_.keyPrefix_ + "/config/pointer";
}

void
StartCall(PublishStep& aStep, PlatformCall aCall, const PendingCall& aPending)
{
  // Random instead of a counter, since other packages of the daemon issue ids
  // too.
  aCall.id_ = PlatformCallId{ aStep.rng_() | 1U };
  aCall.user_ = PlatformUser::Publish;
  if (aCall.timeout_.count() == 0) {
    aCall.timeout_ = aStep.state_.settings_.callTimeout_;
  }
  aStep.state_.calls_[aCall.id_] = aPending;
  aStep.out_.emplace_back(std::move(aCall));
}

void
StartGet(PublishStep& aStep,
         const std::string& aKey,
         const PendingCall& aPending)
{
  PlatformCall call;
  call.op_ = PlatformOp::Get;
  call.key_ = aKey;
  StartCall(aStep, std::move(call), aPending);
}

Duration
RandomDuration(PublishStep& aStep, Duration aLimit)
{
  std::uniform_int_distribution<Duration::rep> draw(0, aLimit.count());
  return Duration(draw(aStep.rng_));
}

TimePoint
BackoffAt(PublishStep& aStep, std::uint32_t aFailures)
{
  const PublishSettings& settings = aStep.state_.settings_;
  const std::uint32_t doublings = std::min(aFailures, kMaxDoublings);
  const Duration pause =
    std::min(settings.backoffMax_, settings.backoffInitial_ * (1 << doublings));
  // Half fixed, half random: daemons that failed together spread out, and none
  // retries at once.
  return aStep.now_.mono_ + pause / 2 + RandomDuration(aStep, pause / 2);
}

void
Record(PublishStep& aStep,
       TimelineKind aKind,
       std::uint64_t aNumber,
       std::string_view aObject,
       std::string_view aText)
{
  aStep.out_.emplace_back(TimelineRecord{
    aKind, 0, std::string(aObject), aNumber, std::string(aText) });
}

void
TrackStoreReachability(PublishStep& aStep, PlatformStatus aStatus)
{
  PublishState& state = aStep.state_;
  const bool lost = aStatus == PlatformStatus::Unreachable;
  if (lost == state.storeUnreachable_) {
    return;
  }
  state.storeUnreachable_ = lost;
  Record(aStep,
         lost ? TimelineKind::StoreLost : TimelineKind::StoreFound,
         CurrentGeneration(state).value_,
         "store",
         lost ? "no reply to a call" : "replies again");
}

const PlatformObject*
ReplyObject(const PlatformReply& aReply)
{
  const bool pause =
    aReply.status_ == PlatformStatus::Ok && !aReply.objects_.empty();
  return pause ? &aReply.objects_.front() : nullptr;
}

} // namespace camphorfield
