// Loads the content of a generation from the store. Chunks held already aren't
// read again, failed reads are retried and all digests are verified.
#include "core/digest_func.h"
#include "publish/publish_internal.h"

namespace camphorfield {

namespace {

ContentLoad&
LoadOf(PublishState& aState, LoadPurpose aPurpose)
{
  return aState.loads_[static_cast<std::size_t>(aPurpose)];
}

void
FinishLoad(PublishStep& aStep, LoadPurpose aPurpose)
{
  ContentLoad& load = LoadOf(aStep.state_, aPurpose);
  Content content = std::move(load.content_);
  load = ContentLoad{};
  if (aPurpose != LoadPurpose::Adopt) {
    OnJobLoaded(aStep, aPurpose, std::move(content));
    return;
  }
  if (AdoptContent(aStep, std::move(content), "store")) {
    aStep.state_.confirmed_ = true;
  }
}

/** Handle content with an object that is missing or has a wrong digest. */
void
FailLoad(PublishStep& aStep, LoadPurpose aPurpose, std::string_view aReason)
{
  PublishState& state = aStep.state_;
  ContentLoad& load = LoadOf(state, aPurpose);
  const Generation generation = NewestEntry(load.content_.pointer_).generation_;
  load = ContentLoad{};
  RefuseGeneration(aStep, generation, aReason);
  if (aPurpose != LoadPurpose::Adopt) {
    OnJobLoadFailed(aStep);
    return;
  }
  // The pointer may have changed since: read it again.
  state.reader_.failures_++;
  state.reader_.nextAt_ = BackoffAt(aStep, state.reader_.failures_);
}

void
RequestChunks(PublishStep& aStep, LoadPurpose aPurpose)
{
  ContentLoad& load = LoadOf(aStep.state_, aPurpose);
  if (load.retryAt_ != kNever) {
    return;
  }
  while (!load.pendingChunks_.empty() &&
         load.inFlight_.size() < kMaxParallelChunkCalls) {
    const std::size_t index = load.pendingChunks_.front();
    load.pendingChunks_.pop_front();
    load.inFlight_.insert(index);
    const std::string& key = load.content_.manifest_.chunks_[index].key_;
    StartGet(aStep, key, { CallPurpose::LoadChunk, aPurpose, index });
  }
  if (load.pendingChunks_.empty() && load.inFlight_.empty()) {
    FinishLoad(aStep, aPurpose);
  }
}

void
OnManifest(PublishStep& aStep, LoadPurpose aPurpose, const std::string& aText)
{
  ContentLoad& load = LoadOf(aStep.state_, aPurpose);
  absl::StatusOr<Manifest> manifest = DecodeManifest(aText);
  if (!manifest.ok() || ManifestDigest(*manifest) !=
                          NewestEntry(load.content_.pointer_).digest_) {
    FailLoad(aStep, aPurpose, "the manifest doesn't match its digest");
    return;
  }
  load.haveManifest_ = true;
  load.content_.manifest_ = *std::move(manifest);
  const ChunkTexts& localChunks = aStep.state_.content_->chunks_;
  for (std::size_t i = 0; i < load.content_.manifest_.chunks_.size(); i++) {
    const std::string& digest = load.content_.manifest_.chunks_[i].digest_;
    const auto found = localChunks.find(digest);
    if (found != localChunks.end()) {
      load.content_.chunks_[digest] = found->second;
    } else {
      load.pendingChunks_.push_back(i);
    }
  }
  RequestChunks(aStep, aPurpose);
}

void
OnChunk(PublishStep& aStep,
        LoadPurpose aPurpose,
        std::size_t aIndex,
        const std::string& aText)
{
  ContentLoad& load = LoadOf(aStep.state_, aPurpose);
  const std::string& digest = load.content_.manifest_.chunks_[aIndex].digest_;
  if (DigestText(aText) != digest) {
    FailLoad(aStep, aPurpose, "a chunk doesn't match its digest");
    return;
  }
  load.content_.chunks_[digest] = std::make_shared<const std::string>(aText);
  RequestChunks(aStep, aPurpose);
}

void
RequestManifest(PublishStep& aStep, LoadPurpose aPurpose)
{
  const ContentLoad& load = LoadOf(aStep.state_, aPurpose);
  StartGet(aStep,
           NewestEntry(load.content_.pointer_).manifestKey_,
           { CallPurpose::LoadManifest, aPurpose, 0 });
}

} // namespace

void
StartLoad(PublishStep& aStep,
          LoadPurpose aPurpose,
          const Pointer& aPointer,
          const HistoryEntry& aEntry)
{
  ContentLoad& load = LoadOf(aStep.state_, aPurpose);
  // Replies to calls of the replaced load must not be taken for this one's.
  std::erase_if(aStep.state_.calls_, [&](const auto& aCall) {
    const CallPurpose purpose = aCall.second.purpose_;
    return (purpose == CallPurpose::LoadManifest ||
            purpose == CallPurpose::LoadChunk) &&
           aCall.second.loadPurpose_ == aPurpose;
  });
  load = ContentLoad{};
  load.active_ = true;
  load.content_.pointer_ = aPointer;
  std::erase_if(load.content_.pointer_.history_, [&](const auto& aOther) {
    return aOther.generation_ > aEntry.generation_;
  });
  RequestManifest(aStep, aPurpose);
}

void
OnLoadReply(PublishStep& aStep,
            const PlatformReply& aReply,
            const PendingCall& aPending)
{
  const LoadPurpose purpose = aPending.loadPurpose_;
  ContentLoad& load = LoadOf(aStep.state_, purpose);
  if (!load.active_) {
    return;
  }
  load.inFlight_.erase(aPending.index_);
  const PlatformObject* object = ReplyObject(aReply);
  if (object == nullptr && aReply.status_ == PlatformStatus::NotFound) {
    FailLoad(aStep, purpose, "the store lacks '" + aReply.key_ + "'");
    return;
  }
  if (object == nullptr) {
    if (aPending.purpose_ == CallPurpose::LoadChunk) {
      load.pendingChunks_.push_back(aPending.index_);
    }
    load.retryAt_ = BackoffAt(aStep, load.failures_++);
    return;
  }
  if (aPending.purpose_ == CallPurpose::LoadManifest) {
    OnManifest(aStep, purpose, object->value_);
  } else {
    OnChunk(aStep, purpose, aPending.index_, object->value_);
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
    const auto purpose = static_cast<LoadPurpose>(i);
    if (load.haveManifest_) {
      RequestChunks(aStep, purpose);
    } else {
      RequestManifest(aStep, purpose);
    }
  }
}

} // namespace camphorfield
