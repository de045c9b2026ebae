// Access to the history, and splitting of a set into chunks: a change of one
// object in a large set writes, loads and sends about one chunk.
#include "core/digest_func.h"
#include "core/hash_func.h"
#include "object/fault_func.h"
#include "object/object_diff.h"
#include "object/object_json.h"
#include "publish/content_func.h"

#include <algorithm>
#include <set>

namespace camphorfield {

namespace {

std::set<std::string>
DigestsOf(const Manifest& aManifest)
{
  std::set<std::string> digests;
  for (const ChunkRef& chunk : aManifest.chunks_) {
    digests.insert(chunk.digest_);
  }
  return digests;
}

/** Decode a chunk; DataLoss when its text is missing. */
absl::StatusOr<ConfigSet>
ChunkSet(const ChunkTexts& aTexts, const std::string& aDigest)
{
  const auto found = aTexts.find(aDigest);
  if (found == aTexts.end()) {
    return absl::DataLossError("chunk " + aDigest + " is missing");
  }
  return DecodeConfigSet(*found->second);
}

} // namespace

const HistoryEntry&
NewestEntry(const Pointer& aPointer)
{
  static const HistoryEntry kNone;
  return aPointer.history_.empty() ? kNone : aPointer.history_.back();
}

const HistoryEntry*
FindChange(const Pointer& aPointer, std::string_view aChangeId)
{
  for (const HistoryEntry& entry : aPointer.history_) {
    if (entry.changeId_ == aChangeId) {
      return &entry;
    }
  }
  return nullptr;
}

const HistoryEntry*
FindGeneration(const Pointer& aPointer, Generation aGeneration)
{
  for (const HistoryEntry& entry : aPointer.history_) {
    if (entry.generation_ == aGeneration) {
      return &entry;
    }
  }
  return nullptr;
}

bool
IsContentRetained(const Pointer& aPointer, const HistoryEntry& aEntry)
{
  const std::size_t size = aPointer.history_.size();
  const std::size_t first =
    size > kRetainedGenerations ? size - kRetainedGenerations : 0;
  return size != 0 &&
         aEntry.generation_ >= aPointer.history_[first].generation_;
}

void
TrimHistory(Pointer& aPointer)
{
  std::vector<HistoryEntry>& history = aPointer.history_;
  for (HistoryEntry& entry : history) {
    if (entry.touched_.size() > kMaxTouched) {
      entry.touched_.clear();
      entry.touchedAll_ = true;
    }
  }
  const auto drop = [&](std::size_t aCount) {
    aPointer.dropped_ = history[aCount - 1].generation_;
    history.erase(history.begin(),
                  history.begin() + static_cast<std::ptrdiff_t>(aCount));
  };
  if (history.size() > kMaxHistory) {
    drop(history.size() - kMaxHistory);
  }
  while (history.size() > 1 &&
         EncodePointer(aPointer).size() > kMaxPointerBytes) {
    drop(std::max<std::size_t>(1, history.size() / 8));
  }
}

std::string
ManifestDigest(const Manifest& aManifest)
{
  std::string digests;
  for (const ChunkRef& chunk : aManifest.chunks_) {
    digests += chunk.digest_ + "\n";
  }
  return DigestText(digests);
}

std::vector<std::string>
SplitIntoChunks(const ConfigSet& aSet)
{
  std::vector<std::string> chunks;
  std::string text;
  const auto cut = [&] {
    if (!text.empty()) {
      chunks.push_back("[" + text + "\n]\n");
      text.clear();
    }
  };
  for (const ConfigObject& object : ListObjects(aSet)) {
    const std::string encoded = EncodeObject(object);
    if (text.size() + encoded.size() > kMaxChunkBytes) {
      cut();
    }
    text += (text.empty() ? "\n" : ",\n") + encoded;
    if (HashText(KeyText(KeyOf(object))) % kMeanChunkObjects == 0) {
      cut();
    }
  }
  cut();
  return chunks;
}

absl::StatusOr<ConfigSet>
AssembleSet(const Content& aBase,
            const ConfigSet& aBaseSet,
            const Content& aNew)
{
  // Most chunks don't change between generations; only the others are decoded.
  const std::set<std::string> before = DigestsOf(aBase.manifest_);
  const std::set<std::string> after = DigestsOf(aNew.manifest_);
  ConfigSet set = aBaseSet;
  for (const std::string& digest : before) {
    if (after.count(digest) != 0) {
      continue;
    }
    const absl::StatusOr<ConfigSet> old = ChunkSet(aBase.chunks_, digest);
    if (!old.ok()) {
      return old.status();
    }
    for (const ConfigObject& object : ListObjects(*old)) {
      DeleteObject(set, KeyOf(object));
    }
  }
  for (const std::string& digest : after) {
    if (before.count(digest) != 0) {
      continue;
    }
    const absl::StatusOr<ConfigSet> fresh = ChunkSet(aNew.chunks_, digest);
    if (!fresh.ok()) {
      return fresh.status();
    }
    for (ConfigObject& object : ListObjects(*fresh)) {
      PutObject(set, std::move(object));
    }
  }
  return set;
}

} // namespace camphorfield
