// Reads JSON fields strictly: a misspelt field, a wrong unit or a wrong type is
// a fault, never a silent default.
#include "object/json_internal.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <cmath>
#include <limits>

namespace camphorfield {

namespace json = boost::json;

namespace {

constexpr std::size_t kQuotedBytes = 60; ///< Limit of a quoted value.

std::string
Quote(std::string_view aText)
{
  // A cut within a character would make the encoded fault invalid UTF-8.
  std::size_t size = std::min(aText.size(), kQuotedBytes);
  while (size < aText.size() && size > 0 &&
         (static_cast<unsigned char>(aText[size]) & 0xC0U) == 0x80U) {
    size--;
  }
  const bool whole = size == aText.size();
  return "'" + std::string(aText.substr(0, size)) + (whole ? "'" : "...'");
}

std::string_view
TypeName(const json::value& aValue)
{
  switch (aValue.kind()) {
    case json::kind::null:
      return "null";
    case json::kind::bool_:
      return "a truth value";
    case json::kind::string:
      return "a text";
    case json::kind::array:
      return "a list";
    case json::kind::object:
      return "an object";
    default:
      return "a number";
  }
}

void
ReportType(FieldReader& aReader,
           std::string_view aField,
           std::string_view aWanted,
           const json::value& aValue)
{
  const std::string reason = "expected " + std::string(aWanted) + ", found " +
                             std::string(TypeName(aValue));
  ReportField(aReader, ConfigFaultCode::WrongType, aField, reason);
}

/** Read an integer from zero to aMax. */
bool
ReadUnsigned(FieldReader& aReader,
             std::string_view aField,
             const json::value& aValue,
             std::uint64_t aMax,
             std::uint64_t& aOut)
{
  if (!aValue.is_number()) {
    ReportType(aReader, aField, "a whole number", aValue);
    return false;
  }
  if (aValue.is_double() &&
      aValue.get_double() != std::floor(aValue.get_double())) {
    ReportField(aReader, ConfigFaultCode::NotWhole, aField, "");
    return false;
  }
  const bool negative = aValue.is_int64() && aValue.get_int64() < 0;
  const std::uint64_t number =
    aValue.is_int64()    ? static_cast<std::uint64_t>(aValue.get_int64())
    : aValue.is_uint64() ? aValue.get_uint64()
                         : 0;
  if (aValue.is_double() || negative || number > aMax) {
    const std::string reason = "0 to " + std::to_string(aMax);
    ReportField(aReader, ConfigFaultCode::NumberRange, aField, reason);
    return false;
  }
  aOut = number;
  return true;
}

/** Whether a field names a known duration in another unit, as "deadline_s". */
bool
IsOtherUnit(const FieldReader& aReader, std::string_view aField)
{
  for (const std::string_view known : aReader.knownFields_) {
    if (!known.ends_with("_ms")) {
      continue;
    }
    const std::string_view stem = known.substr(0, known.size() - 3);
    const bool bare = aField == stem;
    if (bare || (aField.starts_with(stem) && aField[stem.size()] == '_')) {
      return true;
    }
  }
  return false;
}

} // namespace

void
ReportField(FieldReader& aReader,
            ConfigFaultCode aCode,
            std::string_view aField,
            std::string_view aReason)
{
  std::string path = aReader.path_;
  if (!path.empty() && !aField.empty()) {
    path += '.';
  }
  path += aField;
  AddFault(*aReader.faults_, aCode, aReader.object_, path, aReason);
}

const json::value*
FindField(FieldReader& aReader,
          std::string_view aField,
          FieldPresence aPresence)
{
  aReader.knownFields_.push_back(aField);
  const json::value* value =
    aReader.json_->if_contains({ aField.data(), aField.size() });
  if (value == nullptr && aPresence == FieldPresence::Required) {
    ReportField(aReader, ConfigFaultCode::MissingField, aField, "");
  }
  return value;
}

void
ReadString(FieldReader& aReader,
           std::string_view aField,
           FieldPresence aPresence,
           std::string& aOut)
{
  const json::value* value = FindField(aReader, aField, aPresence);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    ReportType(aReader, aField, "a text", *value);
    return;
  }
  const json::string& text = value->get_string();
  if (text.size() > kMaxTextBytes) {
    const std::string reason = std::to_string(text.size()) +
                               " bytes, at most " +
                               std::to_string(kMaxTextBytes);
    ReportField(aReader, ConfigFaultCode::TextTooLong, aField, reason);
    return;
  }
  aOut.assign(text.data(), text.size());
}

void
ReadUint32(FieldReader& aReader,
           std::string_view aField,
           FieldPresence aPresence,
           std::uint32_t& aOut)
{
  const json::value* value = FindField(aReader, aField, aPresence);
  std::uint64_t number = 0;
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint32_t>::max();
  if (value != nullptr && ReadUnsigned(aReader, aField, *value, kMax, number)) {
    aOut = static_cast<std::uint32_t>(number);
  }
}

void
ReadUint64(FieldReader& aReader,
           std::string_view aField,
           FieldPresence aPresence,
           std::uint64_t& aOut)
{
  const json::value* value = FindField(aReader, aField, aPresence);
  constexpr std::uint64_t kMax = std::numeric_limits<std::int64_t>::max();
  if (value != nullptr) {
    ReadUnsigned(aReader, aField, *value, kMax, aOut);
  }
}

void
ReadBool(FieldReader& aReader, std::string_view aField, bool& aOut)
{
  const json::value* value =
    FindField(aReader, aField, FieldPresence::Optional);
  if (value == nullptr) {
    return;
  }
  if (!value->is_bool()) {
    ReportType(aReader, aField, "a truth value", *value);
    return;
  }
  aOut = value->get_bool();
}

void
ReadFraction(FieldReader& aReader, std::string_view aField, double& aOut)
{
  const json::value* value =
    FindField(aReader, aField, FieldPresence::Optional);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number()) {
    ReportType(aReader, aField, "a number", *value);
    return;
  }
  // The parser may be off by the last bit. Without rounding, the encoded form
  // and its digest would change each time that a daemon decodes and encodes it.
  const double number = value->to_number<double>();
  if (!(std::abs(number) <= kFractionSteps)) {
    ReportField(aReader, ConfigFaultCode::NumberRange, aField, "");
    return;
  }
  aOut = std::round(number * kFractionSteps) / kFractionSteps;
}

void
ReadDuration(FieldReader& aReader,
             std::string_view aField,
             FieldPresence aPresence,
             Duration& aOut)
{
  const json::value* value = FindField(aReader, aField, aPresence);
  if (value == nullptr) {
    return;
  }
  if (value->is_string()) {
    const json::string& text = value->get_string();
    const std::string reason =
      Quote({ text.data(), text.size() }) + " instead of a number";
    ReportField(aReader, ConfigFaultCode::WrongUnit, aField, reason);
    return;
  }
  if (!value->is_number()) {
    ReportType(aReader, aField, "a number", *value);
    return;
  }
  const double millis = value->to_number<double>();
  if (!(millis >= 0.0 && millis <= kMaxMillis)) {
    ReportField(aReader,
                ConfigFaultCode::NumberRange,
                aField,
                "0 to 3600000 milliseconds");
    return;
  }
  aOut = Duration(std::llround(millis * 1000.0));
}

void
ReadEnum(FieldReader& aReader,
         std::string_view aField,
         FieldPresence aPresence,
         const std::vector<std::string_view>& aNames,
         std::size_t& aOut)
{
  std::string text;
  const std::size_t before = aReader.faults_->size();
  ReadString(aReader, aField, aPresence, text);
  const bool absent =
    !aReader.json_->contains({ aField.data(), aField.size() });
  if (absent || aReader.faults_->size() != before) {
    return;
  }
  const auto found = std::find(aNames.begin(), aNames.end(), text);
  if (found == aNames.end()) {
    const ConfigFaultCode code = aField == "kind"
                                   ? ConfigFaultCode::UnknownKind
                                   : ConfigFaultCode::UnknownValue;
    ReportField(aReader, code, aField, Quote(text));
    return;
  }
  aOut = static_cast<std::size_t>(found - aNames.begin());
}

const json::array*
FindList(FieldReader& aReader, std::string_view aField, FieldPresence aPresence)
{
  const json::value* value = FindField(aReader, aField, aPresence);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_array()) {
    ReportType(aReader, aField, "a list", *value);
    return nullptr;
  }
  if (value->get_array().size() > kMaxListEntries) {
    const std::string reason = "at most " + std::to_string(kMaxListEntries);
    ReportField(aReader, ConfigFaultCode::TooManyEntries, aField, reason);
    return nullptr;
  }
  return &value->get_array();
}

bool
OpenListEntry(FieldReader& aReader,
              std::string_view aField,
              const json::array& aList,
              std::size_t aIndex,
              FieldReader& aEntry)
{
  const std::string step =
    std::string(aField) + "[" + std::to_string(aIndex) + "]";
  if (!aList[aIndex].is_object()) {
    ReportField(aReader,
                ConfigFaultCode::NotAnObject,
                step,
                "found " + std::string(TypeName(aList[aIndex])));
    return false;
  }
  aEntry.json_ = &aList[aIndex].get_object();
  aEntry.object_ = aReader.object_;
  aEntry.path_ = aReader.path_.empty() ? step : aReader.path_ + "." + step;
  aEntry.faults_ = aReader.faults_;
  return true;
}

void
ReportUnknownFields(FieldReader& aReader)
{
  for (const auto& field : *aReader.json_) {
    const std::string_view name{ field.key().data(), field.key().size() };
    const auto& known = aReader.knownFields_;
    if (std::find(known.begin(), known.end(), name) != known.end()) {
      continue;
    }
    const ConfigFaultCode code = IsOtherUnit(aReader, name)
                                   ? ConfigFaultCode::WrongUnit
                                   : ConfigFaultCode::UnknownField;
    ReportField(aReader, code, Quote(name), "");
  }
}

} // namespace camphorfield
