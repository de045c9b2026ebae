// Event handlers of the package, its wake times and its readiness.
#include "publish/publish_internal.h"

#include <algorithm>
#include <random>

namespace camphorfield {

namespace {

/** Longest delay of the first read after the start. */
constexpr Duration kStartSpread = std::chrono::milliseconds(100);

/** Do all work that is due. Called at the end of nearly every event. */
void
RunDueWork(PublishStep& aStep)
{
  PublishState& state = aStep.state_;
  if (!state.started_) {
    state.started_ = true;
    state.startedAt_ = aStep.now_.mono_;
    state.reader_.nextAt_ = aStep.now_.mono_ + state.startDelay_;
    state.watch_.nextAt_ = aStep.now_.mono_ + kStartPeerWait;
  }
  if (state.settleAt_ <= aStep.now_.mono_) {
    state.settleAt_ = kNever; // No further wake: only events can confirm now.
  }
  ConfirmByPeers(aStep);
  RunFetch(aStep);
  RunDeferredLoad(aStep);
  RunLoads(aStep);
  RunReaders(aStep);
  RunJobs(aStep);
}

void
OnReply(PublishStep& aStep, const PlatformReply& aReply)
{
  PublishState& state = aStep.state_;
  const auto found = state.calls_.find(aReply.id_);
  if (found == state.calls_.end()) {
    return;
  }
  const PendingCall pending = found->second;
  state.calls_.erase(found);
  TrackStoreReachability(aStep, aReply.status_);
  switch (pending.purpose_) {
    case CallPurpose::Read:
    case CallPurpose::Watch:
      OnPointerReply(aStep, aReply, pending.purpose_);
      return;
    case CallPurpose::OperatorQuery:
      OnOperatorQueryReply(aStep, aReply);
      return;
    case CallPurpose::LoadManifest:
    case CallPurpose::LoadChunk:
      OnLoadReply(aStep, aReply, pending);
      return;
    case CallPurpose::Sweep:
      OnSweepReply(aStep, aReply);
      return;
    default:
      OnJobReply(aStep, aReply, pending);
      return;
  }
}

} // namespace

PublishState
MakePublishState(const PublishSettings& aSettings, Rng& aRng)
{
  PublishState state;
  state.settings_ = aSettings;
  state.content_ = std::make_shared<const Content>();
  // Spreads the first reads of daemons that start together after an outage.
  std::uniform_int_distribution<Duration::rep> draw(0, kStartSpread.count());
  state.startDelay_ = Duration(draw(aRng));
  return state;
}

void
PublishOnEvent(PublishState& aState,
               const PlatformReply& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut)
{
  if (aEvent.user_ != PlatformUser::Publish) {
    return;
  }
  PublishStep step{ aState, aNow, aRng, aOut };
  OnReply(step, aEvent);
  RunDueWork(step);
}

void
PublishOnEvent(PublishState& aState,
               const PeerMessage& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut)
{
  PublishStep step{ aState, aNow, aRng, aOut };
  if (const auto* ask = std::get_if<GenerationRequest>(&aEvent.body_)) {
    OnGenerationRequest(step, aEvent.from_, *ask);
  } else if (const auto* content =
               std::get_if<GenerationContent>(&aEvent.body_)) {
    OnGenerationContent(step, aEvent.from_, *content);
    RunDueWork(step);
  }
}

void
PublishOnEvent(PublishState& aState,
               const PeerUnreachable& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut)
{
  PeerFetch& fetch = aState.fetch_;
  if (!aEvent.call_.IsValid() || aEvent.call_ != fetch.call_) {
    return;
  }
  fetch.giveUpAt_ = aNow.mono_;
  PublishStep step{ aState, aNow, aRng, aOut };
  RunDueWork(step);
}

void
PublishOnEvent(PublishState& aState,
               const MembersChanged& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut)
{
  aState.members_ = aEvent.members_;
  PublishStep step{ aState, aNow, aRng, aOut };
  bool peer = false;
  for (const MemberRecord& member : *aState.members_) {
    aState.highestEverAnnounced_ =
      std::max(aState.highestEverAnnounced_, member.generation_);
    peer = peer || IsLivePeer(aState, member);
  }
  if (!peer) {
    aState.firstPeerAt_ = kNever;
  } else if (aState.firstPeerAt_ == kNever) {
    aState.firstPeerAt_ = aNow.mono_;
    aState.settleAt_ = aNow.mono_ + aState.settings_.settleTime_;
  }
  UpdateWatcherRole(step);
  RunDueWork(step);
}

void
PublishOnEvent(PublishState& aState,
               const OperatorRequest& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut)
{
  PublishStep step{ aState, aNow, aRng, aOut };
  HandleOperator(step, aEvent);
  RunDueWork(step);
}

void
PublishOnEvent(PublishState& aState,
               const StopRequested& /*aEvent*/,
               const Now& /*aNow*/,
               Rng& /*aRng*/,
               Decisions& /*aOut*/)
{
  aState.stopping_ = true;
}

void
PublishOnEvent(PublishState& aState,
               const Tick& /*aEvent*/,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut)
{
  PublishStep step{ aState, aNow, aRng, aOut };
  RunDueWork(step);
}

TimePoint
PublishNextWake(const PublishState& aState)
{
  if (!aState.started_) {
    return TimePoint{}; // At once: the first event starts the reads.
  }
  const PeerFetch& fetch = aState.fetch_;
  TimePoint wake = std::min({ fetch.giveUpAt_,
                              fetch.retryAt_,
                              aState.deferredLoad_.at_,
                              aState.settleAt_,
                              aState.repairAt_ });
  // A read or watch in flight needs no wake; its due time would spin.
  if (!aState.reader_.inFlight_) {
    wake = std::min(wake, aState.reader_.nextAt_);
  }
  if (PublishIsWatcher(aState) && aState.reader_.answered_ &&
      !aState.watch_.inFlight_) {
    wake = std::min(wake, aState.watch_.nextAt_);
  }
  for (const ContentLoad& load : aState.loads_) {
    wake = std::min(wake, load.retryAt_);
  }
  for (std::size_t i = 0; i < aState.jobs_.size(); i++) {
    const PublishJob& job = aState.jobs_[i];
    wake = std::min(wake, i == 0 ? job.retryAt_ : job.giveUpAt_);
  }
  return wake;
}

std::shared_ptr<const PublishedConfig>
PublishCurrent(const PublishState& aState)
{
  return aState.current_;
}

bool
PublishIsConfirmed(const PublishState& aState)
{
  return aState.confirmed_ && aState.current_ != nullptr;
}

std::string
PublishNotReadyReason(const PublishState& aState, const Now& aNow)
{
  if (PublishIsConfirmed(aState)) {
    return {};
  }
  const auto waited = std::chrono::duration_cast<std::chrono::seconds>(
    aNow.mono_ - aState.startedAt_);
  const std::string since = " for " + std::to_string(waited.count()) + " s";
  if (aState.current_ != nullptr) {
    return "generation " + std::to_string(CurrentGeneration(aState).value_) +
           " is confirmed neither by the store nor by the peers" + since;
  }
  if (aState.storeEmpty_) {
    return "no configuration has been published";
  }
  const std::string store = aState.reader_.answered_
                              ? "the configuration is being loaded"
                              : "the store has not answered" + since;
  const std::string peers = aState.firstPeerAt_ == kNever
                              ? "no peer was heard of"
                              : "no peer has sent a configuration";
  return store + "; " + peers;
}

bool
PublishIsIdle(const PublishState& aState)
{
  return aState.jobs_.empty();
}

bool
PublishIsWatcher(const PublishState& aState)
{
  return aState.watcher_ && !aState.stopping_;
}

} // namespace camphorfield
