// Prepares the writes of a job. A change based on outdated objects is answered
// with a conflict instead of overwriting concurrent changes.
#include "core/digest_func.h"
#include "object/fault_func.h"
#include "object/object_check.h"
#include "object/object_diff.h"
#include "object/object_json.h"
#include "publish/publish_internal.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <set>

namespace camphorfield {

namespace json = boost::json;

namespace {

const ConfigSet kEmptySet;

const ConfigSet&
CurrentSet(const PublishState& aState)
{
  return aState.current_ == nullptr ? kEmptySet : aState.current_->set_;
}

/** Keys of the chunks that are safe to reuse in the store, by digest. */
std::map<std::string, std::string>
StoredKeys(const PublishState& aState, const PublishJob& aJob)
{
  std::map<std::string, std::string> keys;
  const HistoryEntry& stored = NewestEntry(aJob.storedPointer_);
  const HistoryEntry& own = NewestEntry(aState.content_->pointer_);
  // Only chunks of the generation in the stored pointer are safe from a sweep.
  // The swap fails if that pointer has changed in the meantime.
  if (stored.generation_ == own.generation_ && stored.digest_ == own.digest_ &&
      stored.manifestKey_ == own.manifestKey_) {
    for (const ChunkRef& chunk : aState.content_->manifest_.chunks_) {
      keys[chunk.digest_] = chunk.key_;
    }
  }
  return keys;
}

/** Split the new set into chunks; those not stored yet are to be written. */
void
PrepareChunks(PublishStep& aStep, PublishJob& aJob, const std::string& aName)
{
  const auto keys = StoredKeys(aStep.state_, aJob);
  PreparedWrite& write = aJob.write_;
  for (const std::string& text : SplitIntoChunks(write.set_)) {
    ChunkRef chunk{ DigestText(text), "" };
    const auto stored = keys.find(chunk.digest_);
    if (stored != keys.end()) {
      chunk.key_ = stored->second;
    } else {
      chunk.key_ = aStep.state_.settings_.keyPrefix_ + "/config/chunk/" +
                   aName + "-" + std::to_string(write.chunks_.size());
      write.chunks_.push_back({ chunk.key_, text });
    }
    write.content_.chunks_[chunk.digest_] =
      std::make_shared<const std::string>(text);
    write.content_.manifest_.chunks_.push_back(std::move(chunk));
  }
}

/** Prepare all writes that publish a new set. */
void
PrepareSet(PublishStep& aStep,
           PublishJob& aJob,
           ConfigSet aSet,
           std::vector<std::string> aTouched)
{
  PublishState& state = aStep.state_;
  const std::uint64_t version = aJob.write_.swapVersion_;
  aJob.write_ = PreparedWrite{};
  aJob.write_.swapVersion_ = version;
  aJob.write_.set_ = std::move(aSet);
  // Higher than any generation known, so that no daemon refuses it.
  const Generation highest =
    std::max({ NewestEntry(aJob.storedPointer_).generation_,
               CurrentGeneration(state),
               state.highestEverAnnounced_ });
  HistoryEntry entry;
  entry.generation_ = Generation{ highest.value_ + 1 };
  const std::string name =
    std::to_string(entry.generation_.value_) + "-" + FormatHex(aStep.rng_());
  PrepareChunks(aStep, aJob, name);
  entry.changeId_ = aJob.changeId_;
  entry.document_ = aJob.document_;
  entry.unixMicros_ = aStep.now_.unixMicros_;
  entry.manifestKey_ = state.settings_.keyPrefix_ + "/config/manifest/" + name;
  entry.digest_ = ManifestDigest(aJob.write_.content_.manifest_);
  entry.touched_ = std::move(aTouched);
  Pointer& pointer = aJob.write_.content_.pointer_;
  pointer = state.content_->pointer_;
  pointer.swept_ = std::max(pointer.swept_, state.sweep_.sweptTo_);
  pointer.history_.push_back(std::move(entry));
  TrimHistory(pointer);
}

json::value
FaultList(const ConfigFaults& aFaults)
{
  return json::parse(EncodeFaults(aFaults));
}

bool
RejectJob(PublishStep& aStep, const ConfigFaults& aFaults)
{
  EndJob(
    aStep, ResultCode::ConfigRejected, { { "faults", FaultList(aFaults) } });
  return false;
}

/** Objects of the change that also changed since its base generation. */
json::array
FindConflicts(const PublishState& aState, const PublishJob& aJob)
{
  std::set<std::string> wanted;
  for (const ObjectKey& key : ChangedObjectKeys(aJob.change_)) {
    wanted.insert(KeyText(key));
  }
  json::array conflicts;
  const auto addConflict = [&](const std::string& aName,
                               const HistoryEntry& aEntry) {
    conflicts.push_back({ { "object", aName },
                          { "generation", aEntry.generation_.value_ },
                          { "change_id", aEntry.changeId_ } });
  };
  for (const HistoryEntry& entry : aState.content_->pointer_.history_) {
    if (entry.generation_ <= aJob.change_.basedOn_) {
      continue;
    }
    if (entry.touchedAll_) {
      addConflict("*", entry);
    }
    for (const std::string& name : entry.touched_) {
      if (wanted.count(name) != 0) {
        addConflict(name, entry);
      }
    }
  }
  return conflicts;
}

std::vector<std::string>
TouchedNames(const std::vector<ObjectDiff>& aDiff)
{
  std::vector<std::string> names;
  names.reserve(aDiff.size());
  for (const ObjectDiff& diff : aDiff) {
    names.push_back(KeyText(diff.key_));
  }
  return names;
}

} // namespace

bool
PrepareApply(PublishStep& aStep, PublishJob& aJob)
{
  const PublishState& state = aStep.state_;
  const Pointer& pointer = state.content_->pointer_;
  // Without the whole history since basedOn_, neither conflicts nor an earlier
  // application of this change can be detected.
  if (aJob.change_.basedOn_ < pointer.dropped_) {
    EndJob(aStep,
           ResultCode::ConfigConflict,
           { { "reason", "based_on is older than the history kept" },
             { "oldest", pointer.dropped_.value_ } });
    return false;
  }
  json::array conflicts = FindConflicts(state, aJob);
  if (!conflicts.empty()) {
    EndJob(
      aStep, ResultCode::ConfigConflict, { { "moved", std::move(conflicts) } });
    return false;
  }
  const ConfigFaults faults =
    CheckChange(CurrentSet(state), CurrentGeneration(state), aJob.change_);
  if (!faults.empty()) {
    return RejectJob(aStep, faults);
  }
  std::vector<std::string> touched;
  for (const ObjectKey& key : ChangedObjectKeys(aJob.change_)) {
    touched.push_back(KeyText(key));
  }
  PrepareSet(aStep,
             aJob,
             MergeChange(CurrentSet(state), aJob.change_),
             std::move(touched));
  return true;
}

bool
PrepareRollback(PublishStep& aStep, PublishJob& aJob, const Content& aOld)
{
  const PublishState& state = aStep.state_;
  absl::StatusOr<ConfigSet> set =
    AssembleSet(*state.content_, CurrentSet(state), aOld);
  if (!set.ok()) {
    EndJob(aStep,
           ResultCode::Internal,
           { { "reason", std::string(set.status().message()) } });
    return false;
  }
  // Rules on the transition between generations don't apply to a rollback,
  // since the operator requests exactly this content; faults of the set itself
  // do.
  ConfigFaults faults = CheckSet(*set);
  const std::vector<ObjectDiff> diff = DiffSets(CurrentSet(state), *set);
  if (diff.empty()) {
    AddFault(faults, ConfigFaultCode::EmptyChange, "change", "", "");
  }
  if (!faults.empty()) {
    return RejectJob(aStep, faults);
  }
  PrepareSet(aStep, aJob, *std::move(set), TouchedNames(diff));
  return true;
}

bool
PrepareRepair(PublishStep& aStep, PublishJob& aJob)
{
  const PublishState& state = aStep.state_;
  const HistoryEntry& stored = NewestEntry(aJob.storedPointer_);
  const HistoryEntry& own = NewestEntry(state.content_->pointer_);
  if (state.current_ == nullptr || (stored.generation_ == own.generation_ &&
                                    stored.changeId_ == own.changeId_)) {
    EndJob(aStep, ResultCode::Ok, {});
    return false;
  }
  PrepareSet(aStep, aJob, CurrentSet(state), {});
  return true;
}

} // namespace camphorfield
