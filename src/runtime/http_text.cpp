// Parsing of request targets and header fields. Malformed escapes and numbers
// in requests never fail: they are kept as text or replaced by a default.
#include "runtime/http_type.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <charconv>

namespace camphorfield {

namespace {

absl::string_view
View(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

int
HexDigit(char aChar)
{
  if (aChar >= '0' && aChar <= '9') {
    return aChar - '0';
  }
  const char lower = absl::ascii_tolower(static_cast<unsigned char>(aChar));
  if (lower >= 'a' && lower <= 'f') {
    return lower - 'a' + 10;
  }
  return -1;
}

std::string
Decode(std::string_view aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool escape = aText[i] == '%' && i + 2 < aText.size();
    const int high = escape ? HexDigit(aText[i + 1]) : -1;
    const int low = escape ? HexDigit(aText[i + 2]) : -1;
    if (high < 0 || low < 0) {
      out += aText[i];
      continue;
    }
    out += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return out;
}

void
ParseParams(std::string_view aText, std::vector<HttpField>& aParams)
{
  while (!aText.empty()) {
    const std::size_t end = aText.find('&');
    const std::string_view pair = aText.substr(0, end);
    const std::size_t equals = pair.find('=');
    HttpField param;
    param.name_ = Decode(pair.substr(0, equals));
    if (equals != std::string_view::npos) {
      param.value_ = Decode(pair.substr(equals + 1));
    }
    aParams.push_back(std::move(param));
    if (end == std::string_view::npos) {
      return;
    }
    aText.remove_prefix(end + 1);
  }
}

} // namespace

std::string_view
FindField(const std::vector<HttpField>& aFields, std::string_view aName)
{
  for (const HttpField& field : aFields) {
    if (absl::EqualsIgnoreCase(View(field.name_), View(aName))) {
      return field.value_;
    }
  }
  return {};
}

HttpTarget
ParseTarget(std::string_view aTarget)
{
  HttpTarget target;
  const std::size_t mark = aTarget.find('?');
  target.path_ = Decode(aTarget.substr(0, mark));
  if (mark != std::string_view::npos) {
    ParseParams(aTarget.substr(mark + 1), target.params_);
  }
  return target;
}

std::string
EncodeSegment(std::string_view aText)
{
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string out;
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    if (absl::ascii_isalnum(byte) || c == '-' || c == '.' || c == '_' ||
        c == '~') {
      out += c;
      continue;
    }
    out += '%';
    out += kHex[byte >> 4U];
    out += kHex[byte & 15U];
  }
  return out;
}

std::uint64_t
FieldNumber(const std::vector<HttpField>& aFields,
            std::string_view aName,
            std::uint64_t aDefault)
{
  const std::string_view text = FindField(aFields, aName);
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return aDefault;
  }
  return number;
}

} // namespace camphorfield
