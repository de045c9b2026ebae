// Deletes content of generations that are no longer retained, including what
// interrupted jobs left, so that the store doesn't grow without bound.
#include "publish/publish_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Steps of a sweep, in order. */
enum class SweepStep : std::uint8_t
{
  NextManifest,  ///< Read which chunks are kept.
  OldManifest,   ///< Read which chunks the old generation used.
  ListChunks,    ///< List chunks written by any attempt at the old generation.
  ListManifests, ///< The same for manifests.
  Remove         ///< Delete what isn't kept.
};

/** Prefix of the keys of chunks or manifests written for the old generation. */
std::string
OldKeyPrefix(const PublishState& aState, std::string_view aPart)
{
  const std::string number =
    std::to_string(aState.sweep_.oldEntry_.generation_.value_);
  return aState.settings_.keyPrefix_ + "/config/" + std::string(aPart) + "/" +
         number + "-";
}

void
StartList(PublishStep& aStep, std::string_view aPart)
{
  PlatformCall call;
  call.op_ = PlatformOp::List;
  call.key_ = OldKeyPrefix(aStep.state_, aPart);
  StartCall(
    aStep, std::move(call), { CallPurpose::Sweep, LoadPurpose::Adopt, 0 });
}

/** Delete the next garbage key, or end the sweep. */
void
RemoveNext(PublishStep& aStep)
{
  Sweep& sweep = aStep.state_.sweep_;
  if (sweep.garbage_.empty()) {
    sweep.sweptTo_ = sweep.oldEntry_.generation_;
    sweep.active_ = false;
    // After changes in quick succession, more than one generation is due.
    StartSweep(aStep);
    return;
  }
  const auto& [key, version] = *sweep.garbage_.begin();
  if (version == 0) {
    StartGet(aStep, key, { CallPurpose::Sweep, LoadPurpose::Adopt, 0 });
    return;
  }
  PlatformCall call;
  call.op_ = PlatformOp::Delete;
  call.key_ = key;
  call.expectedVersion_ = version;
  StartCall(
    aStep, std::move(call), { CallPurpose::Sweep, LoadPurpose::Adopt, 0 });
}

void
RunSweepStep(PublishStep& aStep)
{
  Sweep& sweep = aStep.state_.sweep_;
  const PendingCall pending{ CallPurpose::Sweep, LoadPurpose::Adopt, 0 };
  switch (static_cast<SweepStep>(sweep.step_)) {
    case SweepStep::NextManifest:
      StartGet(aStep, sweep.nextEntry_.manifestKey_, pending);
      return;
    case SweepStep::OldManifest:
      StartGet(aStep, sweep.oldEntry_.manifestKey_, pending);
      return;
    case SweepStep::ListChunks:
      StartList(aStep, "chunk");
      return;
    case SweepStep::ListManifests:
      StartList(aStep, "manifest");
      return;
    default:
      RemoveNext(aStep);
      return;
  }
}

void
AddGarbage(Sweep& aSweep, const std::string& aKey, std::uint64_t aVersion)
{
  if (aSweep.keptKeys_.count(aKey) == 0) {
    std::uint64_t& version = aSweep.garbage_[aKey];
    version = std::max(version, aVersion);
  }
}

/** Handle the reply to a read or list; false ends the sweep. */
bool
ApplySweepRead(Sweep& aSweep, const PlatformReply& aReply)
{
  const auto step = static_cast<SweepStep>(aSweep.step_);
  const PlatformObject* object = ReplyObject(aReply);
  if (step == SweepStep::NextManifest || step == SweepStep::OldManifest) {
    // An interrupted sweep may have deleted the old manifest already.
    if (step == SweepStep::OldManifest &&
        aReply.status_ == PlatformStatus::NotFound) {
      return true;
    }
    const absl::StatusOr<Manifest> manifest =
      DecodeManifest(object == nullptr ? "" : object->value_);
    if (!manifest.ok()) {
      return false;
    }
    for (const ChunkRef& chunk : manifest->chunks_) {
      if (step == SweepStep::NextManifest) {
        aSweep.keptKeys_.insert(chunk.key_);
      } else {
        AddGarbage(aSweep, chunk.key_, 0);
      }
    }
    return true;
  }
  for (const PlatformObject& listed : aReply.objects_) {
    AddGarbage(aSweep, listed.key_, listed.version_);
  }
  return aReply.status_ == PlatformStatus::Ok;
}

/** Handle the reply to a read or deletion of the first garbage key. */
void
ApplySweepRemoval(Sweep& aSweep, const PlatformReply& aReply)
{
  const auto first = aSweep.garbage_.begin();
  const PlatformObject* object = ReplyObject(aReply);
  if (aReply.op_ == PlatformOp::Get && object != nullptr) {
    first->second = object->version_;
    return;
  }
  aSweep.garbage_.erase(first);
}

} // namespace

void
StartSweep(PublishStep& aStep)
{
  PublishState& state = aStep.state_;
  Sweep& sweep = state.sweep_;
  const Pointer& pointer = state.content_->pointer_;
  const Generation done = std::max(pointer.swept_, sweep.sweptTo_);
  if (sweep.active_) {
    return;
  }
  for (std::size_t i = 0; i + 1 < pointer.history_.size(); i++) {
    const HistoryEntry& entry = pointer.history_[i];
    if (entry.generation_ <= done) {
      continue;
    }
    if (IsContentRetained(pointer, entry)) {
      return;
    }
    sweep = Sweep{};
    sweep.sweptTo_ = done;
    sweep.active_ = true;
    sweep.oldEntry_ = entry;
    sweep.nextEntry_ = pointer.history_[i + 1];
    RunSweepStep(aStep);
    return;
  }
}

void
OnSweepReply(PublishStep& aStep, const PlatformReply& aReply)
{
  Sweep& sweep = aStep.state_.sweep_;
  if (!sweep.active_) {
    return;
  }
  const bool failed = aReply.status_ == PlatformStatus::Unreachable ||
                      aReply.status_ == PlatformStatus::Throttled;
  // Nothing waits for a sweep: the next published change starts it again from
  // the beginning.
  if (failed) {
    sweep.active_ = false;
    return;
  }
  if (sweep.step_ == static_cast<std::uint32_t>(SweepStep::Remove)) {
    ApplySweepRemoval(sweep, aReply);
  } else if (ApplySweepRead(sweep, aReply)) {
    sweep.step_++;
  } else {
    sweep.active_ = false;
    return;
  }
  RunSweepStep(aStep);
}

} // namespace camphorfield
