/**
 * JSON encoding of head objects and segments. Decoding is strict: a corrupt log
 * must be refused, because a lost claim could let an order run twice.
 */
#include "core/result_func.h"
#include "order/order_internal.h"

#include <absl/strings/escaping.h>
#include <absl/strings/string_view.h>
#include <boost/json.hpp>
#include <charconv>

namespace camphorfield {

namespace json = boost::json;

namespace {

constexpr std::int64_t kFormat = 1;
constexpr std::size_t kHexDigits = 16;
constexpr std::size_t kClaimFields = 4;
constexpr std::size_t kOutcomeFields = 5;

std::string
ToHex(std::uint64_t aNumber)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(kHexDigits, '0');
  for (std::size_t i = kHexDigits; i-- > 0; aNumber >>= 4U) {
    text[i] = kDigits[aNumber & 0xfU];
  }
  return text;
}

bool
FromHex(std::string_view aText, std::uint64_t& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aNumber, 16);
  return aText.size() == kHexDigits && result.ec == std::errc() &&
         result.ptr == end;
}

absl::Status
Corrupt(const char* aWhat)
{
  return absl::DataLossError(aWhat);
}

/** Typed access to the fields of an object; status_ tells whether one was
 * invalid. */
struct Reader
{
  const json::object& object_;
  absl::Status status_ = absl::OkStatus();
};

const json::value*
FindField(Reader& aReader, const char* aName, json::kind aKind)
{
  const json::value* value = aReader.object_.if_contains(aName);
  if (value == nullptr || value->kind() != aKind) {
    aReader.status_ = Corrupt(aName);
    return nullptr;
  }
  return value;
}

std::int64_t
ReadInteger(Reader& aReader, const char* aName)
{
  const json::value* value = FindField(aReader, aName, json::kind::int64);
  if (value == nullptr || value->get_int64() < 0) {
    aReader.status_ = Corrupt(aName);
    return 0;
  }
  return value->get_int64();
}

std::string
ReadText(Reader& aReader, const char* aName)
{
  const json::value* value = FindField(aReader, aName, json::kind::string);
  return value == nullptr ? std::string() : std::string(value->get_string());
}

std::uint64_t
ReadId(Reader& aReader, const char* aName)
{
  std::uint64_t number = 0;
  if (!FromHex(ReadText(aReader, aName), number)) {
    aReader.status_ = Corrupt(aName);
  }
  return number;
}

json::array
RecordToJson(const LogRecord& aRecord)
{
  const std::string key = ToHex(aRecord.key_.high_) + ToHex(aRecord.key_.low_);
  if (aRecord.kind_ == LogRecordKind::Claim) {
    return { "c", key, aRecord.unixMs_, ToHex(aRecord.body_.value_) };
  }
  json::value answer;
  if (aRecord.answer_ != nullptr) {
    answer = json::string(absl::Base64Escape(*aRecord.answer_));
  }
  return {
    "o", key, aRecord.unixMs_, GetResultRow(aRecord.code_).number_, answer
  };
}

bool
ReadCode(const json::value& aValue, ResultCode& aCode)
{
  for (const ResultRow& row : kResultTable) {
    if (aValue.is_int64() && aValue.get_int64() == row.number_) {
      aCode = row.code_;
      return true;
    }
  }
  return false;
}

bool
ReadAnswer(const json::value& aValue, SharedText& aAnswer)
{
  if (aValue.is_null()) {
    return true;
  }
  std::string text;
  if (!aValue.is_string() ||
      !absl::Base64Unescape(absl::string_view(aValue.get_string().data(),
                                              aValue.get_string().size()),
                            &text)) {
    return false;
  }
  aAnswer = std::make_shared<const std::string>(std::move(text));
  return true;
}

bool
ReadRecordKey(const json::array& aFields, LogRecord& aRecord)
{
  if (aFields.size() < kClaimFields || !aFields[0].is_string() ||
      !aFields[1].is_string() || !aFields[2].is_int64()) {
    return false;
  }
  const std::string_view key(aFields[1].get_string().data(),
                             aFields[1].get_string().size());
  aRecord.unixMs_ = aFields[2].get_int64();
  return key.size() == 2 * kHexDigits &&
         FromHex(key.substr(0, kHexDigits), aRecord.key_.high_) &&
         FromHex(key.substr(kHexDigits), aRecord.key_.low_);
}

absl::StatusOr<LogRecord>
RecordFromJson(const json::value& aValue)
{
  LogRecord record;
  if (!aValue.is_array() || !ReadRecordKey(aValue.get_array(), record)) {
    return Corrupt("record");
  }
  const json::array& fields = aValue.get_array();
  if (fields[0].get_string() == "c" && fields.size() == kClaimFields &&
      fields[3].is_string() &&
      FromHex(std::string_view(fields[3].get_string().data(),
                               fields[3].get_string().size()),
              record.body_.value_)) {
    return record;
  }
  record.kind_ = LogRecordKind::Outcome;
  if (fields[0].get_string() == "o" && fields.size() == kOutcomeFields &&
      ReadCode(fields[3], record.code_) &&
      ReadAnswer(fields[4], record.answer_)) {
    return record;
  }
  return Corrupt("record");
}

json::array
RecordsToJson(const std::vector<LogRecord>& aRecords)
{
  json::array array;
  array.reserve(aRecords.size());
  for (const LogRecord& record : aRecords) {
    array.emplace_back(RecordToJson(record));
  }
  return array;
}

absl::Status
ReadRecords(Reader& aReader, std::vector<LogRecord>& aRecords)
{
  const json::value* array = FindField(aReader, "records", json::kind::array);
  if (array == nullptr) {
    return aReader.status_;
  }
  for (const json::value& value : array->get_array()) {
    absl::StatusOr<LogRecord> record = RecordFromJson(value);
    if (!record.ok()) {
      return record.status();
    }
    aRecords.push_back(*std::move(record));
  }
  return absl::OkStatus();
}

absl::Status
ReadSegments(Reader& aReader, std::vector<LogSegment>& aSegments)
{
  const json::value* array = FindField(aReader, "segments", json::kind::array);
  if (array == nullptr) {
    return aReader.status_;
  }
  for (const json::value& value : array->get_array()) {
    if (!value.is_object()) {
      return Corrupt("segment");
    }
    Reader reader{ value.get_object() };
    aSegments.push_back({ .name_ = ReadText(reader, "name"),
                          .lastUnixMs_ = ReadInteger(reader, "last_ms") });
    if (!reader.status_.ok()) {
      return reader.status_;
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<json::value>
ParseObject(std::string_view aText)
{
  json::error_code error;
  json::value value =
    json::parse(json::string_view(aText.data(), aText.size()), error);
  if (error || !value.is_object()) {
    return Corrupt("not a JSON object");
  }
  Reader reader{ value.get_object() };
  if (ReadInteger(reader, "format") != kFormat) {
    return Corrupt("format");
  }
  return value;
}

} // namespace

std::string
EncodeHead(const LogHead& aHead)
{
  json::array segments;
  for (const LogSegment& segment : aHead.segments_) {
    segments.push_back(
      { { "name", segment.name_ }, { "last_ms", segment.lastUnixMs_ } });
  }
  const json::object head{ { "format", kFormat },
                           { "ranges", aHead.ranges_ },
                           { "epoch", aHead.epoch_ },
                           { "owner", ToHex(aHead.owner_.value_) },
                           { "incarnation", ToHex(aHead.incarnation_.value_) },
                           { "released", aHead.released_ ? 1 : 0 },
                           { "batch", aHead.batch_ },
                           { "floor_ms", aHead.floorUnixMs_ },
                           { "segments", segments },
                           { "records", RecordsToJson(aHead.records_) } };
  return json::serialize(head);
}

absl::StatusOr<LogHead>
DecodeHead(std::string_view aText)
{
  const absl::StatusOr<json::value> value = ParseObject(aText);
  if (!value.ok()) {
    return value.status();
  }
  Reader reader{ value->get_object() };
  LogHead head;
  head.ranges_ = static_cast<std::uint32_t>(ReadInteger(reader, "ranges"));
  head.epoch_ = static_cast<std::uint64_t>(ReadInteger(reader, "epoch"));
  head.owner_ = { ReadId(reader, "owner") };
  head.incarnation_ = { ReadId(reader, "incarnation") };
  head.released_ = ReadInteger(reader, "released") != 0;
  head.batch_ = ReadText(reader, "batch");
  head.floorUnixMs_ = ReadInteger(reader, "floor_ms");
  if (!reader.status_.ok()) {
    return reader.status_;
  }
  const absl::Status segments = ReadSegments(reader, head.segments_);
  if (!segments.ok()) {
    return segments;
  }
  const absl::Status records = ReadRecords(reader, head.records_);
  if (!records.ok()) {
    return records;
  }
  return head;
}

std::string
EncodeSegment(const std::vector<LogRecord>& aRecords)
{
  return json::serialize(json::object{
    { "format", kFormat }, { "records", RecordsToJson(aRecords) } });
}

absl::StatusOr<std::vector<LogRecord>>
DecodeSegment(std::string_view aText)
{
  const absl::StatusOr<json::value> value = ParseObject(aText);
  if (!value.ok()) {
    return value.status();
  }
  Reader reader{ value->get_object() };
  std::vector<LogRecord> records;
  const absl::Status status = ReadRecords(reader, records);
  if (!status.ok()) {
    return status;
  }
  return records;
}

std::string
RangePrefix(const OrderSettings& aSettings, std::uint32_t aRange)
{
  return aSettings.prefix_ + "/range-" + std::to_string(aRange) + '/';
}

std::string
HeadKey(const OrderSettings& aSettings, std::uint32_t aRange)
{
  return RangePrefix(aSettings, aRange) + "head";
}

} // namespace camphorfield
