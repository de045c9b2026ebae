// Distributes table changes from a few watchers to the other daemons. If every
// daemon watched the store, a change of one server would cost one call per
// daemon.
#include "discovery/table_feed.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <utility>
#include <zlib.h>

namespace camphorfield {

namespace json = boost::json;

namespace {

void
AddChange(TableFeed& aFeed, const std::string& aKind, StoreChange aChange)
{
  aFeed.changes_.push_back(
    FeedChange{ ++aFeed.newest_, aKind, std::move(aChange) });
  if (aFeed.changes_.size() > kMaxFeedChanges) {
    aFeed.changes_.pop_front();
  }
}

StoreObject
ObjectToSend(const TableSync& aTable, const StoreObject& aObject)
{
  StoreObject object = aObject;
  object.revived_ = !IsInUse(aTable, aObject.name_);
  return object;
}

bool
ReplaceWhole(const FeedMessage& aMessage, TableSync& aTable)
{
  std::vector<StoreObject> objects;
  for (const FeedChange& change : aMessage.changes_) {
    if (change.kind_ == aTable.kind_) {
      objects.push_back(change.change_.object_);
    }
  }
  const auto revision = aMessage.revisions_.find(aTable.kind_);
  return revision != aMessage.revisions_.end() &&
         ImportTable(
           aTable, std::move(objects), PositionOf(aMessage, aTable.kind_));
}

/** Removes an object unless it has been written after the removal. */
bool
RemoveUpTo(TableSync& aTable, const StoreObject& aRemoved)
{
  const auto known = aTable.objects_.find(aRemoved.name_);
  if (known == aTable.objects_.end() ||
      PositionOf(known->second) > PositionOf(aRemoved)) {
    return false;
  }
  EraseObject(aTable, aRemoved.name_);
  return true;
}

/** Whether an object holds content that the restored store has lost, and that a
 * table lacks. */
bool
IsLostContent(const FeedChange& aItem, const TableSync& aTable)
{
  const StoreObject& object = aItem.change_.object_;
  const auto known = aTable.objects_.find(object.name_);
  return object.ahead_ && aItem.kind_ == aTable.kind_ &&
         known != aTable.objects_.end() &&
         PositionOf(object) == PositionOf(known->second) &&
         ShouldReplace(aTable, known->second, object);
}

constexpr std::size_t kLengthBytes = 4; ///< Prefix of the compressed text.

/** Returns the length of the text in big-endian order and a zlib stream. */
std::string
Compress(const std::string& aText)
{
  uLongf size = compressBound(aText.size());
  std::string bytes(kLengthBytes + size, '\0');
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes[i] =
      static_cast<char>(aText.size() >> (8 * (kLengthBytes - 1 - i)) & 0xFFU);
  }
  // With a buffer of this size it fails only when out of memory.
  if (compress2(reinterpret_cast<Bytef*>(bytes.data() + kLengthBytes),
                &size,
                reinterpret_cast<const Bytef*>(aText.data()),
                aText.size(),
                Z_BEST_SPEED) != Z_OK) {
    throw std::bad_alloc();
  }
  bytes.resize(kLengthBytes + size);
  return bytes;
}

absl::StatusOr<std::string>
Expand(const std::string& aBytes)
{
  if (aBytes.size() < kLengthBytes) {
    return absl::InvalidArgumentError("feed message is too short");
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = length << 8U | static_cast<unsigned char>(aBytes[i]);
  }
  if (length > kMaxFeedBytes) {
    return absl::InvalidArgumentError("feed message is too long");
  }
  std::string text(length, '\0');
  uLongf size = length;
  if (uncompress(reinterpret_cast<Bytef*>(text.data()),
                 &size,
                 reinterpret_cast<const Bytef*>(aBytes.data() + kLengthBytes),
                 aBytes.size() - kLengthBytes) != Z_OK ||
      size != length) {
    return absl::InvalidArgumentError("feed message can't be decompressed");
  }
  return text;
}

json::object
EncodeChange(const FeedChange& aChange)
{
  const StoreChange& change = aChange.change_;
  json::object object{ { "kind", aChange.kind_ },
                       { "name", change.object_.name_ },
                       { "revision", change.object_.revision_ } };
  if (change.object_.era_ != 0) {
    object["era"] = change.object_.era_;
  }
  if (change.removed_) {
    object["removed"] = true;
    return object;
  }
  object["text"] = change.object_.text_;
  object["order"] = { change.object_.order_.first,
                      change.object_.order_.second };
  if (change.object_.ahead_) {
    object["ahead"] = true;
  }
  if (change.object_.revived_) {
    object["revived"] = true;
  }
  return object;
}

/** Throws a boost::json exception for a missing or mistyped field. */
FeedChange
DecodeChange(const json::object& aObject)
{
  FeedChange change;
  change.kind_ = std::string(aObject.at("kind").as_string());
  change.change_.object_.name_ = std::string(aObject.at("name").as_string());
  change.change_.removed_ = aObject.contains("removed");
  StoreObject& object = change.change_.object_;
  object.revision_ = aObject.at("revision").to_number<std::uint64_t>();
  if (!change.change_.removed_) {
    object.text_ = std::string(aObject.at("text").as_string());
    object.ahead_ = aObject.contains("ahead");
    object.revived_ = aObject.contains("revived");
  }
  if (const json::value* era = aObject.if_contains("era")) {
    object.era_ = era->to_number<std::uint64_t>();
  }
  if (const json::value* order = aObject.if_contains("order")) {
    object.order_ = { order->as_array().at(0).to_number<std::uint64_t>(),
                      order->as_array().at(1).to_number<std::uint64_t>() };
  }
  return change;
}

} // namespace

void
CollectChanges(TableFeed& aFeed, const TableSync& aTable)
{
  auto& published = aFeed.published_[aTable.kind_];
  for (auto next = published.begin(); next != published.end();) {
    if (aTable.objects_.count(next->first) > 0) {
      ++next;
      continue;
    }
    // As of this position the object is gone.
    StoreObject removed{ next->first, aTable.revision_, "" };
    removed.era_ = aTable.era_;
    AddChange(aFeed, aTable.kind_, { std::move(removed), true });
    next = published.erase(next);
  }
  for (const auto& [name, object] : aTable.objects_) {
    const std::pair state(PositionOf(object), object.order_);
    const auto known = published.find(name);
    if (known == published.end() || known->second != state) {
      published[name] = state;
      AddChange(aFeed, aTable.kind_, { ObjectToSend(aTable, object), false });
    }
  }
}

bool
NeedsWholeTables(const TableFeed& aFeed,
                 std::uint64_t aIncarnation,
                 std::uint64_t aNumber)
{
  const std::uint64_t oldest = aFeed.newest_ - aFeed.changes_.size();
  return aIncarnation != aFeed.incarnation_ || aNumber < oldest;
}

FeedMessage
MakeFeedMessage(const TableFeed& aFeed,
                const std::vector<const TableSync*>& aTables,
                std::uint64_t aIncarnation,
                std::uint64_t aNumber)
{
  FeedMessage message;
  message.incarnation_ = aFeed.incarnation_;
  message.number_ = aFeed.newest_;
  message.whole_ = NeedsWholeTables(aFeed, aIncarnation, aNumber);
  for (const TableSync* table : aTables) {
    if (!table->complete_) {
      continue; // A follower would take it for an empty one.
    }
    message.revisions_[table->kind_] = table->revision_;
    message.eras_[table->kind_] = table->era_;
    if (!message.whole_) {
      continue;
    }
    for (const auto& [name, object] : table->objects_) {
      message.changes_.push_back(
        FeedChange{ 0, table->kind_, { ObjectToSend(*table, object), false } });
    }
  }
  if (!message.whole_) {
    message.follows_ = aNumber;
    for (const FeedChange& change : aFeed.changes_) {
      if (change.number_ > aNumber) {
        message.changes_.push_back(change);
      }
    }
  }
  return message;
}

StorePosition
PositionOf(const FeedMessage& aMessage, const std::string& aKind)
{
  const auto revision = aMessage.revisions_.find(aKind);
  if (revision == aMessage.revisions_.end()) {
    return {};
  }
  const auto era = aMessage.eras_.find(aKind);
  return { era == aMessage.eras_.end() ? 0 : era->second, revision->second };
}

bool
ShouldApplyFeed(const FeedMessage& aMessage, const TableSync& aTable)
{
  return !IsTableFresh(aTable) ||
         PositionOf(aMessage, aTable.kind_) > PositionOf(aTable) ||
         std::any_of(aMessage.changes_.begin(),
                     aMessage.changes_.end(),
                     [&aTable](const FeedChange& aItem) {
                       return IsLostContent(aItem, aTable);
                     });
}

bool
ApplyFeed(const FeedMessage& aMessage, TableSync& aTable)
{
  if (aMessage.whole_) {
    return ReplaceWhole(aMessage, aTable);
  }
  bool changed = false;
  for (const FeedChange& item : aMessage.changes_) {
    if (item.kind_ != aTable.kind_) {
      continue;
    }
    const StoreObject& object = item.change_.object_;
    if (item.change_.removed_) {
      changed = RemoveUpTo(aTable, object) || changed;
      continue;
    }
    const auto known = aTable.objects_.find(object.name_);
    const bool outdated = known == aTable.objects_.end()
                            ? PositionOf(object) <= PositionOf(aTable)
                            : !ShouldReplace(aTable, known->second, object);
    if (!outdated) {
      PutObject(aTable, StoreObject(object));
      changed = true;
    }
  }
  AdvanceTo(aTable, PositionOf(aMessage, aTable.kind_));
  return changed;
}

bool
TakeLostContent(const FeedMessage& aMessage, TableSync& aTable)
{
  bool changed = false;
  for (const FeedChange& item : aMessage.changes_) {
    if (IsLostContent(item, aTable)) {
      PutObject(aTable, StoreObject(item.change_.object_));
      changed = true;
    }
  }
  return changed;
}

std::string
EncodeFeed(const FeedMessage& aMessage)
{
  json::object revisions;
  for (const auto& [kind, revision] : aMessage.revisions_) {
    revisions[kind] = revision;
  }
  json::object eras;
  for (const auto& [kind, era] : aMessage.eras_) {
    eras[kind] = era;
  }
  json::array changes;
  for (const FeedChange& change : aMessage.changes_) {
    changes.push_back(EncodeChange(change));
  }
  json::object document{
    { "life", aMessage.incarnation_ },        { "number", aMessage.number_ },
    { "follows", aMessage.follows_ },         { "whole", aMessage.whole_ },
    { "behind", aMessage.storeUnavailable_ }, { "age", aMessage.age_.count() },
    { "revisions", std::move(revisions) },    { "eras", std::move(eras) },
    { "changes", std::move(changes) }
  };
  if (aMessage.statedEvacuations_) {
    json::array& stated = document["stated-evacuations"].emplace_array();
    for (const std::string& domain : *aMessage.statedEvacuations_) {
      stated.emplace_back(domain);
    }
  }
  return Compress(json::serialize(document));
}

absl::StatusOr<FeedMessage>
DecodeFeed(const std::string& aBytes)
{
  const absl::StatusOr<std::string> text = Expand(aBytes);
  if (!text.ok()) {
    return text.status();
  }
  // Names and contents of objects are passed on as they are in the store.
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  FeedMessage message;
  try {
    const json::value document = json::parse(*text, {}, options);
    const json::object& object = document.as_object();
    message.incarnation_ = object.at("life").to_number<std::uint64_t>();
    message.number_ = object.at("number").to_number<std::uint64_t>();
    message.follows_ = object.at("follows").to_number<std::uint64_t>();
    message.whole_ = object.at("whole").as_bool();
    message.storeUnavailable_ = object.at("behind").as_bool();
    message.age_ = Duration(object.at("age").to_number<std::int64_t>());
    for (const auto& item : object.at("revisions").as_object()) {
      message.revisions_[std::string(item.key())] =
        item.value().to_number<std::uint64_t>();
    }
    if (const json::value* eras = object.if_contains("eras")) {
      for (const auto& item : eras->as_object()) {
        message.eras_[std::string(item.key())] =
          item.value().to_number<std::uint64_t>();
      }
    }
    for (const json::value& item : object.at("changes").as_array()) {
      message.changes_.push_back(DecodeChange(item.as_object()));
    }
    if (const json::value* stated = object.if_contains("stated-evacuations")) {
      message.statedEvacuations_.emplace();
      for (const json::value& item : stated->as_array()) {
        message.statedEvacuations_->emplace(item.as_string());
      }
    }
  } catch (const std::exception& fault) {
    return absl::InvalidArgumentError(fault.what());
  }
  return message;
}

} // namespace camphorfield
