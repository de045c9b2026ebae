#include "publish/publish_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

PublishJob&
FrontJob(PublishStep& aStep)
{
  return aStep.state_.jobs_.front();
}

void
PauseJob(PublishStep& aStep)
{
  PublishJob& job = FrontJob(aStep);
  job.retryAt_ = BackoffAt(aStep, job.failures_++);
}

void
ReadPointer(PublishStep& aStep)
{
  FrontJob(aStep).phase_ = JobPhase::ReadPointer;
  StartGet(aStep,
           PointerKey(aStep.state_),
           { CallUse::JobPointer, LoadUse::Follow, 0 });
}

void
StartCreate(PublishStep& aStep,
            const std::string& aKey,
            const std::string& aValue,
            const PendingCall& aPending)
{
  PlatformCall call;
  call.op_ = PlatformOp::Create;
  call.key_ = aKey;
  call.value_ = aValue;
  StartCall(aStep, std::move(call), aPending);
}

void
SendManifest(PublishStep& aStep)
{
  PublishJob& job = FrontJob(aStep);
  job.phase_ = JobPhase::WriteManifest;
  const Content& content = job.write_.content_;
  StartCreate(aStep,
              NewestEntry(content.pointer_).manifestKey_,
              EncodeManifest(content.manifest_),
              { CallUse::JobManifest, LoadUse::Follow, 0 });
}

/** The one write that publishes. */
void
SendSwap(PublishStep& aStep)
{
  PublishJob& job = FrontJob(aStep);
  job.phase_ = JobPhase::Swap;
  PlatformCall call;
  call.key_ = PointerKey(aStep.state_);
  call.value_ = EncodePointer(job.write_.content_.pointer_);
  call.expectedVersion_ = job.write_.swapVersion_;
  call.op_ =
    call.expectedVersion_ == 0 ? PlatformOp::Create : PlatformOp::Update;
  StartCall(aStep, std::move(call), { CallUse::JobSwap, LoadUse::Follow, 0 });
}

void
WriteChunks(PublishStep& aStep)
{
  PublishJob& job = FrontJob(aStep);
  job.phase_ = JobPhase::WriteChunks;
  PreparedWrite& write = job.write_;
  if (write.written_ == write.chunks_.size()) {
    SendManifest(aStep);
    return;
  }
  const auto inFlight = [&] {
    return write.next_ - write.written_ - write.again_.size();
  };
  while (inFlight() < kParallelCalls) {
    std::size_t index = write.next_;
    if (!write.again_.empty()) {
      index = write.again_.front();
      write.again_.pop_front();
    } else if (write.next_ < write.chunks_.size()) {
      write.next_++;
    } else {
      return;
    }
    StartCreate(aStep,
                write.chunks_[index].key_,
                write.chunks_[index].text_,
                { CallUse::JobChunk, LoadUse::Follow, index });
  }
}

void
StartRollback(PublishStep& aStep)
{
  PublishJob& job = FrontJob(aStep);
  const Pointer& pointer = aStep.state_.content_->pointer_;
  const HistoryEntry* entry = FindGeneration(pointer, job.rollbackTo_);
  if (entry == nullptr || !HasContent(pointer, *entry)) {
    EndJob(aStep,
           ResultCode::NotFound,
           { { "reason", "the content of this generation isn't kept" } });
    return;
  }
  job.phase_ = JobPhase::LoadRollback;
  StartLoad(aStep, LoadUse::Rollback, pointer, *entry);
}

/** The newest generation is in force here: work out what to write on it. */
void
PrepareJob(PublishStep& aStep)
{
  PublishJob& job = FrontJob(aStep);
  if (job.kind_ == JobKind::Rollback) {
    StartRollback(aStep);
    return;
  }
  const bool ready = job.kind_ == JobKind::Apply ? PrepareApply(aStep, job)
                                                 : PrepareRepair(aStep, job);
  if (ready) {
    WriteChunks(aStep);
  }
}

void
RecordAccepted(PublishStep& aStep, const HistoryEntry& aEntry)
{
  Record(aStep,
         TimelineKind::ConfigAccepted,
         aEntry.generation_.value_,
         aEntry.changeId_,
         "published");
}

/** The change is in the stored history. */
void
FinishAccepted(PublishStep& aStep, const PlatformObject* aObject)
{
  PublishJob& job = FrontJob(aStep);
  const HistoryEntry entry = *FindChange(job.stored_, job.changeId_);
  const HistoryEntry own = NewestEntry(job.write_.content_.pointer_);
  if (own.generation_ == entry.generation_ &&
      own.manifestKey_ == entry.manifestKey_) {
    RecordAccepted(aStep, entry);
    AdoptSet(aStep,
             std::move(job.write_.content_),
             std::move(job.write_.set_),
             "published here");
  }
  if (aObject != nullptr) {
    OnPointerSeen(aStep, *aObject);
  }
  AnswerAccepted(aStep, job.operator_, entry, job.document_);
  PopJob(aStep);
}

/**
 * What a read says about a swap whose reply was lost.
 * @return True when the job may begin anew, since the swap never took place.
 */
bool
SwapIsLost(PublishStep& aStep, std::uint64_t aVersion)
{
  PublishJob& job = FrontJob(aStep);
  if (!job.swapUnknown_) {
    return true;
  }
  // The old version may be a stale read, and the swap may still be under way:
  // only a repeat of the very same swap settles it.
  if (aVersion == job.write_.swapVersion_) {
    SendSwap(aStep);
    return false;
  }
  if (aVersion < job.write_.swapVersion_) {
    PauseJob(aStep);
    return false;
  }
  job.swapUnknown_ = false;
  job.giveUpAt_ = std::max(
    job.giveUpAt_, aStep.now_.mono_ + aStep.state_.settings_.applyTimeout_);
  return true;
}

void
OnJobPointer(PublishStep& aStep, const PlatformReply& aReply)
{
  PublishState& state = aStep.state_;
  PublishJob& job = FrontJob(aStep);
  const PlatformObject* object = ReplyObject(aReply);
  if (object == nullptr && aReply.status_ != PlatformStatus::NotFound) {
    PauseJob(aStep);
    return;
  }
  job.stored_ = Pointer{};
  if (object != nullptr) {
    absl::StatusOr<Pointer> pointer = DecodePointer(object->value_);
    if (!pointer.ok()) {
      PauseJob(aStep);
      return;
    }
    job.stored_ = *std::move(pointer);
  }
  if (FindChange(job.stored_, job.changeId_) != nullptr) {
    FinishAccepted(aStep, object);
    return;
  }
  const std::uint64_t version = object == nullptr ? 0 : object->version_;
  if (!SwapIsLost(aStep, version)) {
    return;
  }
  job.write_.swapVersion_ = version;
  const HistoryEntry& newest = NewestEntry(job.stored_);
  if (newest.generation_ > CurrentGeneration(state)) {
    job.phase_ = JobPhase::LoadBase;
    StartLoad(aStep, LoadUse::Base, job.stored_, newest);
    return;
  }
  PrepareJob(aStep);
}

void
OnJobChunk(PublishStep& aStep, const PlatformReply& aReply, std::size_t aIndex)
{
  PreparedWrite& write = FrontJob(aStep).write_;
  // Keys are never used twice: one that exists is our own earlier write.
  const bool done = aReply.status_ == PlatformStatus::Ok ||
                    aReply.status_ == PlatformStatus::Conflict;
  if (!done) {
    write.again_.push_back(aIndex);
    PauseJob(aStep);
    return;
  }
  write.written_++;
  if (FrontJob(aStep).retryAt_ == kNever) {
    WriteChunks(aStep);
  }
}

void
OnJobManifest(PublishStep& aStep, const PlatformReply& aReply)
{
  const bool done = aReply.status_ == PlatformStatus::Ok ||
                    aReply.status_ == PlatformStatus::Conflict;
  if (done) {
    SendSwap(aStep);
  } else {
    PauseJob(aStep);
  }
}

void
FinishSwapped(PublishStep& aStep, const PlatformReply& aReply)
{
  PublishState& state = aStep.state_;
  PublishJob& job = FrontJob(aStep);
  const PlatformObject* object = ReplyObject(aReply);
  if (object != nullptr) {
    state.pointerVersion_ = object->version_;
  }
  const HistoryEntry entry = NewestEntry(job.write_.content_.pointer_);
  state.seenInStore_ = entry.generation_;
  state.seenChange_ = entry.changeId_;
  state.storeEmpty_ = false;
  RecordAccepted(aStep, entry);
  AdoptSet(aStep,
           std::move(job.write_.content_),
           std::move(job.write_.set_),
           "published here");
  AnswerAccepted(aStep, job.operator_, entry, job.document_);
  PopJob(aStep);
  StartSweep(aStep);
}

void
OnJobSwap(PublishStep& aStep, const PlatformReply& aReply)
{
  PublishJob& job = FrontJob(aStep);
  switch (aReply.status_) {
    case PlatformStatus::Ok:
      FinishSwapped(aStep, aReply);
      return;
    case PlatformStatus::Throttled:
      PauseJob(aStep);
      return;
    case PlatformStatus::Unreachable:
      if (!job.swapUnknown_) {
        job.swapUnknown_ = true;
        job.giveUpAt_ =
          aStep.now_.mono_ + aStep.state_.settings_.readBackTimeout_;
      }
      break;
    default:
      break; // Another daemon was first, or our own earlier swap.
  }
  job.phase_ = JobPhase::ReadPointer;
  PauseJob(aStep);
}

void
GiveUpJob(PublishStep& aStep)
{
  const bool unknown = FrontJob(aStep).swapUnknown_;
  EndJob(aStep,
         unknown ? ResultCode::ConfigUnknown : ResultCode::StoreUnavailable,
         { { "reason",
             unknown ? "the store does not answer; ask by the change id"
                     : "the store does not answer; nothing was published" } });
}

void
ResumeJob(PublishStep& aStep)
{
  PublishJob& job = FrontJob(aStep);
  job.retryAt_ = kNever;
  if (aStep.now_.mono_ >= job.giveUpAt_) {
    GiveUpJob(aStep);
    return;
  }
  switch (job.phase_) {
    case JobPhase::WriteChunks:
      WriteChunks(aStep);
      return;
    case JobPhase::WriteManifest:
      SendManifest(aStep);
      return;
    case JobPhase::Swap:
      SendSwap(aStep);
      return;
    default:
      ReadPointer(aStep);
      return;
  }
}

/** Changes that waited too long behind another one did not run. */
void
ExpireWaiting(PublishStep& aStep)
{
  auto& jobs = aStep.state_.jobs_;
  for (std::size_t i = 1; i < jobs.size();) {
    if (jobs[i].giveUpAt_ > aStep.now_.mono_) {
      i++;
      continue;
    }
    AnswerOperator(aStep,
                   jobs[i].operator_,
                   ResultCode::StoreUnavailable,
                   { { "reason", "waited behind another change" } });
    jobs.erase(jobs.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

void
StartRepair(PublishStep& aStep)
{
  PublishState& state = aStep.state_;
  if (state.repairAt_ > aStep.now_.mono_) {
    return;
  }
  state.repairAt_ = kNever;
  if (state.current_ == nullptr || state.stopping_) {
    return;
  }
  PublishJob job;
  job.kind_ = JobKind::Repair;
  job.changeId_ =
    "repair-" + std::to_string(state.current_->generation_.value_);
  job.document_ = NewestEntry(state.content_->pointer_).digest_;
  job.giveUpAt_ = aStep.now_.mono_ + state.settings_.applyTimeout_;
  state.jobs_.push_back(std::move(job));
}

} // namespace

void
PopJob(PublishStep& aStep)
{
  PublishState& state = aStep.state_;
  // What is still in flight for this job must not be taken for the next one's.
  std::erase_if(state.calls_, [](const auto& aCall) {
    const CallUse use = aCall.second.use_;
    const bool load = use == CallUse::LoadManifest || use == CallUse::LoadChunk;
    return (use >= CallUse::JobPointer && use <= CallUse::JobSwap) ||
           (load && aCall.second.load_ != LoadUse::Follow);
  });
  state.loads_[static_cast<std::size_t>(LoadUse::Base)] = ContentLoad{};
  state.loads_[static_cast<std::size_t>(LoadUse::Rollback)] = ContentLoad{};
  state.jobs_.pop_front();
}

void
RunJobs(PublishStep& aStep)
{
  StartRepair(aStep);
  ExpireWaiting(aStep);
  PublishState& state = aStep.state_;
  while (!state.jobs_.empty()) {
    PublishJob& job = state.jobs_.front();
    if (!job.started_) {
      job.started_ = true;
      ReadPointer(aStep);
      return;
    }
    if (job.retryAt_ > aStep.now_.mono_) {
      return;
    }
    const std::size_t before = state.jobs_.size();
    ResumeJob(aStep);
    if (state.jobs_.size() == before) {
      return;
    }
  }
}

void
OnJobReply(PublishStep& aStep,
           const PlatformReply& aReply,
           const PendingCall& aPending)
{
  if (aStep.state_.jobs_.empty()) {
    return;
  }
  switch (aPending.use_) {
    case CallUse::JobPointer:
      OnJobPointer(aStep, aReply);
      return;
    case CallUse::JobChunk:
      OnJobChunk(aStep, aReply, aPending.index_);
      return;
    case CallUse::JobManifest:
      OnJobManifest(aStep, aReply);
      return;
    default:
      OnJobSwap(aStep, aReply);
      return;
  }
}

void
OnJobLoaded(PublishStep& aStep, LoadUse aUse, Content aContent)
{
  PublishState& state = aStep.state_;
  if (state.jobs_.empty()) {
    return;
  }
  PublishJob& job = state.jobs_.front();
  if (aUse == LoadUse::Rollback) {
    if (PrepareRollback(aStep, job, aContent)) {
      WriteChunks(aStep);
    }
    return;
  }
  if (AdoptContent(aStep, std::move(aContent), "store")) {
    state.confirmed_ = true;
  }
  if (CurrentGeneration(state) < NewestEntry(job.stored_).generation_) {
    OnJobLoadFailed(aStep);
    return;
  }
  PrepareJob(aStep);
}

void
OnJobLoadFailed(PublishStep& aStep)
{
  if (aStep.state_.jobs_.empty()) {
    return;
  }
  FrontJob(aStep).phase_ = JobPhase::ReadPointer;
  PauseJob(aStep);
}

} // namespace camphorfield
