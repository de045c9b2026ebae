// Publishes changes by a compare-and-swap of the pointer. When the reply to a
// swap is lost, its outcome is read back, so that no change is applied twice
// and none is reported as failed that took effect.
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
ScheduleJobRetry(PublishStep& aStep)
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
           { CallPurpose::JobPointer, LoadPurpose::Adopt, 0 });
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
              { CallPurpose::JobManifest, LoadPurpose::Adopt, 0 });
}

/** Compare-and-swap of the pointer: the write that publishes the change. */
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
  StartCall(
    aStep, std::move(call), { CallPurpose::JobSwap, LoadPurpose::Adopt, 0 });
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
    return write.nextChunk_ - write.written_ - write.retryChunks_.size();
  };
  while (inFlight() < kMaxParallelChunkCalls) {
    std::size_t index = write.nextChunk_;
    if (!write.retryChunks_.empty()) {
      index = write.retryChunks_.front();
      write.retryChunks_.pop_front();
    } else if (write.nextChunk_ < write.chunks_.size()) {
      write.nextChunk_++;
    } else {
      return;
    }
    StartCreate(aStep,
                write.chunks_[index].key_,
                write.chunks_[index].text_,
                { CallPurpose::JobChunk, LoadPurpose::Adopt, index });
  }
}

void
StartRollback(PublishStep& aStep)
{
  PublishJob& job = FrontJob(aStep);
  const Pointer& pointer = aStep.state_.content_->pointer_;
  const HistoryEntry* entry = FindGeneration(pointer, job.rollbackTo_);
  if (entry == nullptr || !IsContentRetained(pointer, *entry)) {
    EndJob(aStep,
           ResultCode::NotFound,
           { { "reason", "the content of this generation isn't kept" } });
    return;
  }
  job.phase_ = JobPhase::LoadRollback;
  StartLoad(aStep, LoadPurpose::Rollback, pointer, *entry);
}

/** Prepare the writes, now that the stored generation is in force here. */
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

/** End the first job: its change is in the stored history. */
void
FinishAccepted(PublishStep& aStep, const PlatformObject* aObject)
{
  PublishJob& job = FrontJob(aStep);
  const HistoryEntry entry = *FindChange(job.storedPointer_, job.changeId_);
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
    OnPointerRead(aStep, *aObject);
  }
  AnswerAccepted(aStep, job.operatorRequest_, entry, job.document_);
  PopJob(aStep);
}

/**
 * Check the version read from the store for the outcome of a swap whose reply
 * was lost.
 * @return True when no swap can take effect any more: the job may start over.
 */
bool
MayRestartJob(PublishStep& aStep, std::uint64_t aVersion)
{
  PublishJob& job = FrontJob(aStep);
  if (!job.swapOutcomeUnknown_) {
    return true;
  }
  // The read may be stale, or the lost swap may still take effect: only the
  // outcome of an identical swap is certain.
  if (aVersion == job.write_.swapVersion_) {
    SendSwap(aStep);
    return false;
  }
  if (aVersion < job.write_.swapVersion_) {
    ScheduleJobRetry(aStep);
    return false;
  }
  job.swapOutcomeUnknown_ = false;
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
    ScheduleJobRetry(aStep);
    return;
  }
  job.storedPointer_ = Pointer{};
  if (object != nullptr) {
    absl::StatusOr<Pointer> pointer = DecodePointer(object->value_);
    if (!pointer.ok()) {
      ScheduleJobRetry(aStep);
      return;
    }
    job.storedPointer_ = *std::move(pointer);
  }
  if (FindChange(job.storedPointer_, job.changeId_) != nullptr) {
    FinishAccepted(aStep, object);
    return;
  }
  const std::uint64_t version = object == nullptr ? 0 : object->version_;
  if (!MayRestartJob(aStep, version)) {
    return;
  }
  job.write_.swapVersion_ = version;
  const HistoryEntry& newest = NewestEntry(job.storedPointer_);
  if (newest.generation_ > CurrentGeneration(state)) {
    job.phase_ = JobPhase::LoadBase;
    StartLoad(aStep, LoadPurpose::Base, job.storedPointer_, newest);
    return;
  }
  PrepareJob(aStep);
}

void
OnJobChunk(PublishStep& aStep, const PlatformReply& aReply, std::size_t aIndex)
{
  PreparedWrite& write = FrontJob(aStep).write_;
  // Keys are never reused: an existing key is from an earlier attempt of this
  // write.
  const bool done = aReply.status_ == PlatformStatus::Ok ||
                    aReply.status_ == PlatformStatus::Conflict;
  if (!done) {
    write.retryChunks_.push_back(aIndex);
    ScheduleJobRetry(aStep);
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
    ScheduleJobRetry(aStep);
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
  state.storeGeneration_ = entry.generation_;
  state.storeChangeId_ = entry.changeId_;
  state.storeEmpty_ = false;
  RecordAccepted(aStep, entry);
  AdoptSet(aStep,
           std::move(job.write_.content_),
           std::move(job.write_.set_),
           "published here");
  AnswerAccepted(aStep, job.operatorRequest_, entry, job.document_);
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
      ScheduleJobRetry(aStep);
      return;
    case PlatformStatus::Unreachable:
      if (!job.swapOutcomeUnknown_) {
        job.swapOutcomeUnknown_ = true;
        job.giveUpAt_ =
          aStep.now_.mono_ + aStep.state_.settings_.readBackTimeout_;
      }
      break;
    default:
      break; // Another daemon's swap, or an earlier attempt, was first.
  }
  job.phase_ = JobPhase::ReadPointer;
  ScheduleJobRetry(aStep);
}

void
AbortJob(PublishStep& aStep)
{
  const bool unknown = FrontJob(aStep).swapOutcomeUnknown_;
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
    AbortJob(aStep);
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

/** Reject queued changes whose time ran out before they were started. */
void
ExpireQueuedJobs(PublishStep& aStep)
{
  auto& jobs = aStep.state_.jobs_;
  for (std::size_t i = 1; i < jobs.size();) {
    if (jobs[i].giveUpAt_ > aStep.now_.mono_) {
      i++;
      continue;
    }
    AnswerOperator(aStep,
                   jobs[i].operatorRequest_,
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
  // Replies to this job's calls must not be taken for replies to the next
  // job's.
  std::erase_if(state.calls_, [](const auto& aCall) {
    const CallPurpose purpose = aCall.second.purpose_;
    const bool load =
      purpose == CallPurpose::LoadManifest || purpose == CallPurpose::LoadChunk;
    return (purpose >= CallPurpose::JobPointer &&
            purpose <= CallPurpose::JobSwap) ||
           (load && aCall.second.loadPurpose_ != LoadPurpose::Adopt);
  });
  state.loads_[static_cast<std::size_t>(LoadPurpose::Base)] = ContentLoad{};
  state.loads_[static_cast<std::size_t>(LoadPurpose::Rollback)] = ContentLoad{};
  state.jobs_.pop_front();
}

void
RunJobs(PublishStep& aStep)
{
  StartRepair(aStep);
  ExpireQueuedJobs(aStep);
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
  switch (aPending.purpose_) {
    case CallPurpose::JobPointer:
      OnJobPointer(aStep, aReply);
      return;
    case CallPurpose::JobChunk:
      OnJobChunk(aStep, aReply, aPending.index_);
      return;
    case CallPurpose::JobManifest:
      OnJobManifest(aStep, aReply);
      return;
    default:
      OnJobSwap(aStep, aReply);
      return;
  }
}

void
OnJobLoaded(PublishStep& aStep, LoadPurpose aPurpose, Content aContent)
{
  PublishState& state = aStep.state_;
  if (state.jobs_.empty()) {
    return;
  }
  PublishJob& job = state.jobs_.front();
  if (aPurpose == LoadPurpose::Rollback) {
    if (PrepareRollback(aStep, job, aContent)) {
      WriteChunks(aStep);
    }
    return;
  }
  if (AdoptContent(aStep, std::move(aContent), "store")) {
    state.confirmed_ = true;
  }
  if (CurrentGeneration(state) < NewestEntry(job.storedPointer_).generation_) {
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
  ScheduleJobRetry(aStep);
}

} // namespace camphorfield
