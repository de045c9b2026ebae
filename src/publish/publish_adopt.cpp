// Puts generations in force. A stale or restored store, or a peer that lags,
// never takes a daemon back to an earlier generation.
#include "publish/publish_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

const ConfigSet kEmptySet;

const ConfigSet&
CurrentSet(const PublishState& aState)
{
  return aState.current_ == nullptr ? kEmptySet : aState.current_->set_;
}

void
KeepManifest(PublishState& aState)
{
  aState.recentManifests_[CurrentGeneration(aState)] =
    aState.content_->manifest_;
  while (aState.recentManifests_.size() > kMaxRecentManifests) {
    aState.recentManifests_.erase(aState.recentManifests_.begin());
  }
}

} // namespace

bool
AdoptContent(PublishStep& aStep, Content aContent, std::string_view aSource)
{
  PublishState& state = aStep.state_;
  const Generation generation = NewestEntry(aContent.pointer_).generation_;
  if (generation <= CurrentGeneration(state)) {
    return false;
  }
  absl::StatusOr<ConfigSet> set =
    AssembleSet(*state.content_, CurrentSet(state), aContent);
  if (!set.ok()) {
    RefuseGeneration(aStep, generation, std::string(set.status().message()));
    return false;
  }
  return AdoptSet(aStep, std::move(aContent), *std::move(set), aSource);
}

bool
AdoptSet(PublishStep& aStep,
         Content aContent,
         ConfigSet aSet,
         std::string_view aSource)
{
  PublishState& state = aStep.state_;
  const HistoryEntry& entry = NewestEntry(aContent.pointer_);
  // The generation in force is set only here, so that it never decreases.
  if (entry.generation_ <= CurrentGeneration(state)) {
    return false;
  }
  auto config = std::make_shared<PublishedConfig>();
  config->generation_ = entry.generation_;
  config->changeId_ = entry.changeId_;
  config->set_ = std::move(aSet);
  state.content_ = std::make_shared<const Content>(std::move(aContent));
  state.current_ = std::move(config);
  KeepManifest(state);
  Record(aStep,
         TimelineKind::GenerationAdopted,
         state.current_->generation_.value_,
         state.current_->changeId_,
         aSource);
  aStep.out_.emplace_back(ConfigAdopted{ state.current_ });
  const bool matchesStore =
    state.current_->generation_ == state.storeGeneration_ &&
    state.current_->changeId_ == state.storeChangeId_;
  const bool newerThanStore =
    state.storeGeneration_.IsValid() &&
    state.current_->generation_ > state.storeGeneration_;
  state.confirmed_ = state.confirmed_ || matchesStore || newerThanStore;
  state.fetch_.failures_ = 0;
  state.fetch_.failedPeers_.clear();
  std::erase_if(state.fetch_.notices_, [&](const auto& aNotice) {
    return aNotice.second <= state.current_->generation_;
  });
  SendNotices(aStep);
  return true;
}

void
RefuseGeneration(PublishStep& aStep,
                 Generation aGeneration,
                 std::string_view aReason)
{
  PublishState& state = aStep.state_;
  const Generation current = CurrentGeneration(state);
  const std::string text =
    std::string(aReason) + "; in force stays " + std::to_string(current.value_);
  // A stale store is read repeatedly; record each refusal once.
  const std::string refusal = std::to_string(aGeneration.value_) + " " + text;
  if (state.lastRefusal_ == refusal) {
    return;
  }
  state.lastRefusal_ = refusal;
  Record(aStep,
         TimelineKind::GenerationRefused,
         aGeneration.value_,
         "generation",
         text);
}

void
ConfirmByPeers(PublishStep& aStep)
{
  PublishState& state = aStep.state_;
  const bool settled =
    state.firstPeerAt_ != kNever &&
    aStep.now_.mono_ >= state.firstPeerAt_ + state.settings_.settleTime_;
  if (state.confirmed_ || !settled || state.current_ == nullptr) {
    return;
  }
  state.confirmed_ = state.current_->generation_ >= HighestAnnounced(state);
}

} // namespace camphorfield
