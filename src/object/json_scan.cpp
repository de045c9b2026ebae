// Scans a document before it is parsed, so that an oversized, deeply nested or
// ambiguous one is refused with little memory.
#include "object/json_scan.h"

#include "object/fault_func.h"

#include <boost/json/basic_parser_impl.hpp>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

namespace json = boost::json;

namespace {

using JsonError = boost::system::error_code;
using JsonText = json::string_view;

/** One open object or array. */
struct OpenScope
{
  std::set<std::string> fields_; ///< Fields seen; empty for an array.
};

/**
 * Handler of Boost.JSON's parser that only detects duplicate fields.
 * Boost.JSON's object keeps the last duplicate silently, so an operator's first
 * value would be lost without notice.
 */
struct ScanHandler
{
  // Names and limits that boost::json::basic_parser requires.
  // NOLINTBEGIN(readability-identifier-naming)
  constexpr static std::size_t max_object_size = static_cast<std::size_t>(-1);
  constexpr static std::size_t max_array_size = static_cast<std::size_t>(-1);
  constexpr static std::size_t max_key_size = static_cast<std::size_t>(-1);
  constexpr static std::size_t max_string_size = static_cast<std::size_t>(-1);
  // NOLINTEND(readability-identifier-naming)

  ConfigFaults* faults_ = nullptr; ///< Receives the faults.
  std::vector<OpenScope> open_;    ///< Objects and arrays that are open.
  std::string key_;                ///< Field name read so far.

  bool Open()
  {
    open_.emplace_back();
    return true;
  }
  bool Close()
  {
    open_.pop_back();
    return true;
  }

  bool on_document_begin(JsonError&) { return true; }
  bool on_document_end(JsonError&) { return true; }
  bool on_object_begin(JsonError&) { return Open(); }
  bool on_object_end(std::size_t, JsonError&) { return Close(); }
  bool on_array_begin(JsonError&) { return Open(); }
  bool on_array_end(std::size_t, JsonError&) { return Close(); }
  bool on_key_part(JsonText aPart, std::size_t, JsonError&)
  {
    key_.append(aPart.data(), aPart.size());
    return true;
  }
  bool on_key(JsonText aPart, std::size_t, JsonError&)
  {
    key_.append(aPart.data(), aPart.size());
    if (!open_.back().fields_.insert(key_).second) {
      AddFault(*faults_, ConfigFaultCode::DuplicateField, "change", key_, "");
    }
    key_.clear();
    return true;
  }
  bool on_string_part(JsonText, std::size_t, JsonError&) { return true; }
  bool on_string(JsonText, std::size_t, JsonError&) { return true; }
  bool on_number_part(JsonText, JsonError&) { return true; }
  // NOLINTBEGIN(readability-identifier-naming)
  bool on_int64(std::int64_t, JsonText, JsonError&) { return true; }
  bool on_uint64(std::uint64_t, JsonText, JsonError&) { return true; }
  // NOLINTEND(readability-identifier-naming)
  bool on_double(double, JsonText, JsonError&) { return true; }
  bool on_bool(bool, JsonError&) { return true; }
  bool on_null(JsonError&) { return true; }
  bool on_comment_part(JsonText, JsonError&) { return true; }
  bool on_comment(JsonText, JsonError&) { return true; }
};

/** Number of continuation bytes; npos when aFirst can't begin a character. */
std::size_t
Utf8ContinuationBytes(unsigned char aFirst)
{
  if (aFirst < 0x80) {
    return 0;
  }
  if (aFirst >= 0xC2 && aFirst < 0xE0) {
    return 1;
  }
  if (aFirst >= 0xE0 && aFirst < 0xF0) {
    return 2;
  }
  return aFirst >= 0xF0 && aFirst < 0xF5 ? 3 : std::string_view::npos;
}

/**
 * Position of the first byte that is not valid UTF-8, or npos. The parser
 * refuses such bytes too, but only as a syntax error. Overlong forms and
 * surrogates pass here and are left to the parser.
 */
std::size_t
FindInvalidUtf8(std::string_view aText)
{
  std::size_t at = 0;
  while (at < aText.size()) {
    const std::size_t more =
      Utf8ContinuationBytes(static_cast<unsigned char>(aText[at]));
    if (more == std::string_view::npos || at + more >= aText.size()) {
      return at;
    }
    for (std::size_t i = 1; i <= more; i++) {
      if ((static_cast<unsigned char>(aText[at + i]) & 0xC0U) != 0x80U) {
        return at;
      }
    }
    at += more + 1;
  }
  return std::string_view::npos;
}

} // namespace

bool
ScanJson(std::string_view aText, std::size_t aMaxBytes, ConfigFaults& aFaults)
{
  if (aText.size() > aMaxBytes) {
    const std::string reason = std::to_string(aText.size()) +
                               " bytes, at most " + std::to_string(aMaxBytes);
    AddFault(aFaults, ConfigFaultCode::DocumentTooLarge, "change", "", reason);
    return false;
  }
  const std::size_t bad = FindInvalidUtf8(aText);
  if (bad != std::string_view::npos) {
    const std::string reason = "at byte " + std::to_string(bad);
    AddFault(aFaults, ConfigFaultCode::NotUtf8, "change", "", reason);
    return false;
  }
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  json::basic_parser<ScanHandler> parser(options);
  parser.handler().faults_ = &aFaults;
  const std::size_t before = aFaults.size();
  JsonError error;
  const std::size_t used =
    parser.write_some(false, aText.data(), aText.size(), error);
  if (!error && used != aText.size()) {
    error = json::error::extra_data;
  }
  if (error) {
    const std::string reason =
      error.message() + " at byte " + std::to_string(used);
    const bool deep = error == json::error::too_deep;
    AddFault(aFaults,
             deep ? ConfigFaultCode::TooDeep : ConfigFaultCode::NotJson,
             "change",
             "",
             reason);
  }
  return aFaults.size() == before;
}

} // namespace camphorfield
