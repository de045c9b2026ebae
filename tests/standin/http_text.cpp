// Encodes HTTP messages and parses request targets.
#include "standin/http_type.h"

#include <cctype>
#include <string_view>

namespace camphorfield::standin {

namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";

bool
IsUnreserved(char aChar)
{
  return std::isalnum(static_cast<unsigned char>(aChar)) != 0 ||
         std::string_view("-._~/").find(aChar) != std::string_view::npos;
}

void
AppendHeaders(const HttpHeaders& aHeaders, std::string& aOut)
{
  for (const auto& [name, value] : aHeaders) {
    aOut.append(name).append(": ").append(value).append("\r\n");
  }
}

void
SplitQuery(std::string_view aText, HttpRequest& aRequest)
{
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find('&'), aText.size());
    const std::string_view pair = aText.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const std::string value(pair.substr(std::min(equals + 1, pair.size())));
    aRequest.query_[PercentDecode(std::string(pair.substr(0, equals)))] =
      PercentDecode(value);
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
}

} // namespace

std::string
FindHeader(const HttpHeaders& aHeaders, const std::string& aName)
{
  const auto found = aHeaders.find(aName);
  return found == aHeaders.end() ? std::string() : found->second;
}

std::string
PercentDecode(const std::string& aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool isEscape = aText[i] == '%' && i + 2 < aText.size() &&
                          std::isxdigit(aText[i + 1]) != 0 &&
                          std::isxdigit(aText[i + 2]) != 0;
    if (!isEscape) {
      out += aText[i];
      continue;
    }
    out += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
    i += 2;
  }
  return out;
}

std::string
PercentEncode(const std::string& aText)
{
  std::string out;
  for (const char c : aText) {
    if (IsUnreserved(c)) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += kHexDigits[byte >> 4U];
    out += kHexDigits[byte & 15U];
  }
  return out;
}

void
SplitTarget(const std::string& aTarget, HttpRequest& aRequest)
{
  const std::size_t mark = std::min(aTarget.find('?'), aTarget.size());
  aRequest.path_ = PercentDecode(aTarget.substr(0, mark));
  if (mark < aTarget.size()) {
    SplitQuery(std::string_view(aTarget).substr(mark + 1), aRequest);
  }
}

std::string
EncodeReply(const HttpReply& aReply)
{
  std::string out = "HTTP/1.1 " + std::to_string(aReply.status_) + " -\r\n";
  AppendHeaders(aReply.headers_, out);
  if (aReply.replyDelivery_ == ReplyDelivery::Close) {
    out += "Connection: close\r\n";
  }
  // A 304 has no body, whatever its length field says.
  if (aReply.status_ != 304) {
    out += "Content-Length: " + std::to_string(aReply.body_.size()) + "\r\n";
  }
  out += "\r\n";
  if (aReply.replyDelivery_ == ReplyDelivery::Truncated) {
    return out + aReply.body_.substr(0, aReply.body_.size() / 2);
  }
  return out + aReply.body_;
}

std::string
EncodeRequest(const HttpRequest& aRequest)
{
  std::string out = aRequest.method_ + " " + PercentEncode(aRequest.path_);
  char separator = '?';
  for (const auto& [name, value] : aRequest.query_) {
    out += separator;
    out.append(PercentEncode(name)).append("=").append(PercentEncode(value));
    separator = '&';
  }
  out += " HTTP/1.1\r\nHost: standin\r\n";
  AppendHeaders(aRequest.headers_, out);
  out += "Content-Length: " + std::to_string(aRequest.body_.size()) +
         "\r\n\r\n" + aRequest.body_;
  return out;
}

} // namespace camphorfield::standin
