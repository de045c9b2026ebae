#include "core/digest_func.h"
#include "publish/publish_internal.h"

namespace camphorfield {

namespace {

ContentLoad&
LoadOf(PublishState& aState, LoadUse aUse)
{
  return aState.loads_[static_cast<std::size_t>(aUse)];
}

void
FinishLoad(PublishStep& aStep, LoadUse aUse)
{
  ContentLoad& load = LoadOf(aStep.state_, aUse);
  Content content = std::move(load.content_);
  load = ContentLoad{};
  if (aUse != LoadUse::Follow) {
    OnJobLoaded(aStep, aUse, std::move(content));
    return;
  }
  if (AdoptContent(aStep, std::move(content), "store")) {
    aStep.state_.confirmed_ = true;
  }
}

/** An object of the content is gone, or isn't what its digest says. */
void
FailLoad(PublishStep& aStep, LoadUse aUse, std::string_view aReason)
{
  PublishState& state = aStep.state_;
  ContentLoad& load = LoadOf(state, aUse);
  const Generation generation = NewestEntry(load.content_.pointer_).generation_;
  load = ContentLoad{};
  RefuseGeneration(aStep, generation, aReason);
  if (aUse != LoadUse::Follow) {
    OnJobLoadFailed(aStep);
    return;
  }
  // The pointer may have moved on since: look again.
  state.reader_.failures_++;
  state.reader_.nextAt_ = BackoffAt(aStep, state.reader_.failures_);
}

void
AskChunks(PublishStep& aStep, LoadUse aUse)
{
  ContentLoad& load = LoadOf(aStep.state_, aUse);
  if (load.retryAt_ != kNever) {
    return;
  }
  while (!load.todo_.empty() && load.inFlight_.size() < kParallelCalls) {
    const std::size_t index = load.todo_.front();
    load.todo_.pop_front();
    load.inFlight_.insert(index);
    const std::string& key = load.content_.manifest_.chunks_[index].key_;
    StartGet(aStep, key, { CallUse::LoadChunk, aUse, index });
  }
  if (load.todo_.empty() && load.inFlight_.empty()) {
    FinishLoad(aStep, aUse);
  }
}

void
OnManifest(PublishStep& aStep, LoadUse aUse, const std::string& aText)
{
  ContentLoad& load = LoadOf(aStep.state_, aUse);
  absl::StatusOr<Manifest> manifest = DecodeManifest(aText);
  if (!manifest.ok() || ManifestDigest(*manifest) !=
                          NewestEntry(load.content_.pointer_).digest_) {
    FailLoad(aStep, aUse, "the manifest doesn't match its digest");
    return;
  }
  load.haveManifest_ = true;
  load.content_.manifest_ = *std::move(manifest);
  const ChunkTexts& held = aStep.state_.content_->chunks_;
  for (std::size_t i = 0; i < load.content_.manifest_.chunks_.size(); i++) {
    const std::string& digest = load.content_.manifest_.chunks_[i].digest_;
    const auto found = held.find(digest);
    if (found != held.end()) {
      load.content_.chunks_[digest] = found->second;
    } else {
      load.todo_.push_back(i);
    }
  }
  AskChunks(aStep, aUse);
}

void
OnChunk(PublishStep& aStep,
        LoadUse aUse,
        std::size_t aIndex,
        const std::string& aText)
{
  ContentLoad& load = LoadOf(aStep.state_, aUse);
  const std::string& digest = load.content_.manifest_.chunks_[aIndex].digest_;
  if (DigestText(aText) != digest) {
    FailLoad(aStep, aUse, "a chunk doesn't match its digest");
    return;
  }
  load.content_.chunks_[digest] = std::make_shared<const std::string>(aText);
  AskChunks(aStep, aUse);
}

void
AskManifest(PublishStep& aStep, LoadUse aUse)
{
  const ContentLoad& load = LoadOf(aStep.state_, aUse);
  StartGet(aStep,
           NewestEntry(load.content_.pointer_).manifestKey_,
           { CallUse::LoadManifest, aUse, 0 });
}

} // namespace

void
StartLoad(PublishStep& aStep,
          LoadUse aUse,
          const Pointer& aPointer,
          const HistoryEntry& aEntry)
{
  ContentLoad& load = LoadOf(aStep.state_, aUse);
  // Calls of a load that this one replaces must not be taken for its own.
  std::erase_if(aStep.state_.calls_, [&](const auto& aCall) {
    const CallUse use = aCall.second.use_;
    return (use == CallUse::LoadManifest || use == CallUse::LoadChunk) &&
           aCall.second.load_ == aUse;
  });
  load = ContentLoad{};
  load.active_ = true;
  load.content_.pointer_ = aPointer;
  std::erase_if(load.content_.pointer_.history_, [&](const auto& aOther) {
    return aOther.generation_ > aEntry.generation_;
  });
  AskManifest(aStep, aUse);
}

void
OnLoadReply(PublishStep& aStep,
            const PlatformReply& aReply,
            const PendingCall& aPending)
{
  const LoadUse use = aPending.load_;
  ContentLoad& load = LoadOf(aStep.state_, use);
  if (!load.active_) {
    return;
  }
  load.inFlight_.erase(aPending.index_);
  const PlatformObject* object = ReplyObject(aReply);
  if (object == nullptr && aReply.status_ == PlatformStatus::NotFound) {
    FailLoad(aStep, use, "the store lacks '" + aReply.key_ + "'");
    return;
  }
  if (object == nullptr) {
    if (aPending.use_ == CallUse::LoadChunk) {
      load.todo_.push_back(aPending.index_);
    }
    load.retryAt_ = BackoffAt(aStep, load.failures_++);
    return;
  }
  if (aPending.use_ == CallUse::LoadManifest) {
    OnManifest(aStep, use, object->value_);
  } else {
    OnChunk(aStep, use, aPending.index_, object->value_);
  }
}

void
RunLoads(PublishStep& aStep)
{
  for (std::size_t i = 0; i < aStep.state_.loads_.size(); i++) {
    ContentLoad& load = aStep.state_.loads_[i];
    if (!load.active_ || load.retryAt_ > aStep.now_.mono_) {
      continue;
    }
    load.retryAt_ = kNever;
    const auto use = static_cast<LoadUse>(i);
    if (load.haveManifest_) {
      AskChunks(aStep, use);
    } else {
      AskManifest(aStep, use);
    }
  }
}

} // namespace camphorfield
