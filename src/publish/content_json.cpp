// JSON encoding of pointers, manifests and bundles. Corrupt or truncated data
// from the store or from a peer is rejected.
#include "core/digest_func.h"
#include "object/json_internal.h"
#include "object/json_scan.h"
#include "publish/content_func.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <set>

namespace camphorfield {

namespace json = boost::json;

namespace {

/** Format number; raised when older readers must reject the data. */
constexpr std::uint64_t kFormat = 1;

/** Parse a JSON object and check its format number. */
absl::StatusOr<json::value>
ParseRecord(std::string_view aText)
{
  ConfigFaults faults;
  if (!ScanJson(aText, kMaxSetBytes, faults)) {
    return absl::InvalidArgumentError("not a JSON document");
  }
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  boost::system::error_code error;
  json::value value =
    json::parse({ aText.data(), aText.size() }, error, {}, options);
  if (error || !value.is_object()) {
    return absl::InvalidArgumentError("not a JSON object");
  }
  const json::value* format = value.get_object().if_contains("format");
  if (format == nullptr || *format != json::value(kFormat)) {
    return absl::InvalidArgumentError("unknown format");
  }
  return value;
}

absl::Status
FaultStatus(const ConfigFaults& aFaults)
{
  if (aFaults.empty()) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(aFaults.front().field_ + " is invalid");
}

json::object
EncodeEntry(const HistoryEntry& aEntry)
{
  json::object entry;
  entry["generation"] = aEntry.generation_.value_;
  entry["change_id"] = aEntry.changeId_;
  entry["document"] = aEntry.document_;
  entry["unix_us"] = aEntry.unixMicros_;
  entry["manifest"] = aEntry.manifestKey_;
  entry["digest"] = aEntry.digest_;
  json::array touched;
  for (const std::string& name : aEntry.touched_) {
    touched.push_back(json::string(name));
  }
  entry["touched"] = std::move(touched);
  entry["touched_all"] = aEntry.touchedAll_;
  return entry;
}

HistoryEntry
DecodeEntry(FieldReader& aReader)
{
  HistoryEntry entry;
  std::uint64_t time = 0;
  ReadUint64(
    aReader, "generation", FieldPresence::Required, entry.generation_.value_);
  ReadString(aReader, "change_id", FieldPresence::Required, entry.changeId_);
  ReadString(aReader, "document", FieldPresence::Required, entry.document_);
  ReadUint64(aReader, "unix_us", FieldPresence::Required, time);
  entry.unixMicros_ = static_cast<std::int64_t>(time);
  ReadString(aReader, "manifest", FieldPresence::Required, entry.manifestKey_);
  ReadString(aReader, "digest", FieldPresence::Required, entry.digest_);
  ReadBool(aReader, "touched_all", entry.touchedAll_);
  const json::array* touched =
    FindList(aReader, "touched", FieldPresence::Required);
  for (std::size_t i = 0; touched != nullptr && i < touched->size(); i++) {
    const json::value& name = (*touched)[i];
    if (!name.is_string()) {
      ReportField(aReader, ConfigFaultCode::WrongType, "touched", "");
      continue;
    }
    entry.touched_.emplace_back(name.get_string().c_str());
  }
  return entry;
}

/** Text field without a length limit; empty when absent. */
std::string
LongText(const json::object& aObject, const char* aField)
{
  const json::value* value = aObject.if_contains(aField);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return { value->get_string().data(), value->get_string().size() };
}

/** Chunk texts of a bundle, by their digest as computed here. */
ChunkTexts
BundleTexts(const json::object& aBundle)
{
  ChunkTexts texts;
  const json::value* list = aBundle.if_contains("chunks");
  if (list == nullptr || !list->is_array()) {
    return texts;
  }
  for (const json::value& entry : list->get_array()) {
    if (entry.is_string()) {
      auto text = std::make_shared<const std::string>(
        entry.get_string().data(), entry.get_string().size());
      std::string digest = DigestText(*text);
      texts.emplace(std::move(digest), std::move(text));
    }
  }
  return texts;
}

/** Insert the part of the history that the sender left out. */
void
CompleteHistory(Pointer& aPointer, const Pointer& aOwn)
{
  std::vector<HistoryEntry> history;
  for (const HistoryEntry& entry : aOwn.history_) {
    if (entry.generation_ < aPointer.history_.front().generation_) {
      history.push_back(entry);
    }
  }
  history.insert(
    history.end(), aPointer.history_.begin(), aPointer.history_.end());
  aPointer.history_ = std::move(history);
}

/** Collect the chunk texts of a manifest from those received or held here. */
absl::Status
CompleteTexts(const ChunkTexts& aReceived,
              const ChunkTexts& aLocal,
              Content& aOut)
{
  for (const ChunkRef& chunk : aOut.manifest_.chunks_) {
    const auto received = aReceived.find(chunk.digest_);
    const auto local = aLocal.find(chunk.digest_);
    if (received == aReceived.end() && local == aLocal.end()) {
      return absl::DataLossError("a chunk is missing");
    }
    aOut.chunks_[chunk.digest_] =
      received != aReceived.end() ? received->second : local->second;
  }
  return absl::OkStatus();
}

} // namespace

std::string
EncodePointer(const Pointer& aPointer)
{
  json::array history;
  for (const HistoryEntry& entry : aPointer.history_) {
    history.push_back(EncodeEntry(entry));
  }
  json::object record;
  record["format"] = kFormat;
  record["generation"] = NewestEntry(aPointer).generation_.value_;
  record["dropped"] = aPointer.dropped_.value_;
  record["swept"] = aPointer.swept_.value_;
  record["history"] = std::move(history);
  return json::serialize(record);
}

absl::StatusOr<Pointer>
DecodePointer(std::string_view aText)
{
  const absl::StatusOr<json::value> record = ParseRecord(aText);
  if (!record.ok()) {
    return record.status();
  }
  ConfigFaults faults;
  FieldReader reader{ &record->get_object(), "pointer", "", &faults, {} };
  Pointer pointer;
  ReadUint64(
    reader, "dropped", FieldPresence::Required, pointer.dropped_.value_);
  ReadUint64(reader, "swept", FieldPresence::Required, pointer.swept_.value_);
  const json::array* list =
    FindList(reader, "history", FieldPresence::Required);
  for (std::size_t i = 0; list != nullptr && i < list->size(); i++) {
    FieldReader entry;
    if (OpenListEntry(reader, "history", *list, i, entry)) {
      pointer.history_.push_back(DecodeEntry(entry));
    }
  }
  for (std::size_t i = 1; i < pointer.history_.size(); i++) {
    if (pointer.history_[i - 1].generation_ >=
        pointer.history_[i].generation_) {
      return absl::InvalidArgumentError("generations are not ascending");
    }
  }
  if (pointer.history_.empty() ||
      !pointer.history_.back().generation_.IsValid()) {
    return absl::InvalidArgumentError("no generation");
  }
  const absl::Status status = FaultStatus(faults);
  return status.ok() ? absl::StatusOr<Pointer>(pointer) : status;
}

std::string
EncodeManifest(const Manifest& aManifest)
{
  json::array chunks;
  for (const ChunkRef& chunk : aManifest.chunks_) {
    json::object entry;
    entry["digest"] = chunk.digest_;
    entry["key"] = chunk.key_;
    chunks.push_back(std::move(entry));
  }
  json::object record;
  record["format"] = kFormat;
  record["chunks"] = std::move(chunks);
  return json::serialize(record);
}

absl::StatusOr<Manifest>
DecodeManifest(std::string_view aText)
{
  const absl::StatusOr<json::value> record = ParseRecord(aText);
  if (!record.ok()) {
    return record.status();
  }
  ConfigFaults faults;
  FieldReader reader{ &record->get_object(), "manifest", "", &faults, {} };
  Manifest manifest;
  const json::array* list = FindList(reader, "chunks", FieldPresence::Required);
  for (std::size_t i = 0; list != nullptr && i < list->size(); i++) {
    FieldReader entry;
    if (OpenListEntry(reader, "chunks", *list, i, entry)) {
      ChunkRef chunk;
      ReadString(entry, "digest", FieldPresence::Required, chunk.digest_);
      ReadString(entry, "key", FieldPresence::Required, chunk.key_);
      manifest.chunks_.push_back(std::move(chunk));
    }
  }
  const absl::Status status = FaultStatus(faults);
  return status.ok() ? absl::StatusOr<Manifest>(manifest) : status;
}

std::string
EncodeBundle(const Content& aContent,
             const Manifest* aBase,
             Generation aBaseGeneration)
{
  std::set<std::string> known;
  Pointer pointer = aContent.pointer_;
  if (aBase != nullptr) {
    for (const ChunkRef& chunk : aBase->chunks_) {
      known.insert(chunk.digest_);
    }
    std::erase_if(pointer.history_, [&](const HistoryEntry& aEntry) {
      return aEntry.generation_ <= aBaseGeneration;
    });
  }
  json::array chunks;
  for (const auto& [digest, text] : aContent.chunks_) {
    if (known.count(digest) == 0) {
      chunks.push_back(json::string(*text));
    }
  }
  json::object bundle;
  bundle["format"] = kFormat;
  bundle["pointer"] = EncodePointer(pointer);
  bundle["manifest"] = EncodeManifest(aContent.manifest_);
  bundle["chunks"] = std::move(chunks);
  return json::serialize(bundle);
}

absl::StatusOr<Content>
DecodeBundle(std::string_view aText, const Content& aOwn)
{
  const absl::StatusOr<json::value> record = ParseRecord(aText);
  if (!record.ok()) {
    return record.status();
  }
  const json::object& bundle = record->get_object();
  absl::StatusOr<Pointer> pointer = DecodePointer(LongText(bundle, "pointer"));
  if (!pointer.ok()) {
    return pointer.status();
  }
  absl::StatusOr<Manifest> manifest =
    DecodeManifest(LongText(bundle, "manifest"));
  if (!manifest.ok()) {
    return manifest.status();
  }
  if (ManifestDigest(*manifest) != NewestEntry(*pointer).digest_) {
    return absl::DataLossError("the manifest doesn't match its digest");
  }
  Content content{ *std::move(pointer), *std::move(manifest), {} };
  CompleteHistory(content.pointer_, aOwn.pointer_);
  const absl::Status status =
    CompleteTexts(BundleTexts(bundle), aOwn.chunks_, content);
  return status.ok() ? absl::StatusOr<Content>(std::move(content)) : status;
}

} // namespace camphorfield
