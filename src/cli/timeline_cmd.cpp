// Merges the timelines of all daemons in causal order, for the analysis of
// failures that involve several daemons.
#include "cli/operator_cmd.h"

#include "cli/ops_client.h"

#include <algorithm>
#include <boost/json.hpp>
#include <iostream>
#include <sstream>
#include <vector>

namespace camphorfield {

namespace {

namespace json = boost::json;

/** Event of a daemon with its hybrid time, which orders events causally. */
struct TimelineLine
{
  std::int64_t unixMicros_ = 0;
  std::int64_t logical_ = 0;
  json::object event_;
};

bool
IsEarlier(const TimelineLine& aLeft, const TimelineLine& aRight)
{
  if (aLeft.unixMicros_ != aRight.unixMicros_) {
    return aLeft.unixMicros_ < aRight.unixMicros_;
  }
  return aLeft.logical_ < aRight.logical_;
}

std::string
Fetch(const std::string& aAddress, const char* aTarget, Duration aTimeout)
{
  HttpRequest request;
  request.target_ = aTarget;
  const auto response = CallDaemon(aAddress, request, aTimeout);
  if (!response.ok()) {
    std::cerr << response.status().message() << "\n";
    return {};
  }
  return response->body_;
}

std::string
TextOf(const json::object& aObject, const char* aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return std::string(value->get_string());
}

/** Operator addresses of all members that a daemon does not believe dead. */
std::vector<std::string>
MemberAddresses(const OperatorFlags& aFlags)
{
  std::vector<std::string> addresses;
  boost::system::error_code error;
  const json::value value =
    json::parse(Fetch(aFlags.address_, "/v1/status", TimeoutOf(aFlags)), error);
  const json::object* status = error ? nullptr : value.if_object();
  const json::value* members =
    status == nullptr ? nullptr : status->if_contains("members");
  if (members == nullptr || !members->is_array()) {
    return { aFlags.address_ };
  }
  for (const json::value& member : members->get_array()) {
    const bool alive =
      member.is_object() && TextOf(member.get_object(), "state") != "dead";
    if (alive) {
      addresses.push_back(TextOf(member.get_object(), "operator_address"));
    }
  }
  return addresses;
}

std::int64_t
NumberOf(const json::object& aObject, const char* aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

void
ParseEvents(const std::string& aText,
            const std::string& aFilter,
            std::vector<TimelineLine>& aLines)
{
  std::istringstream text(aText);
  std::string line;
  while (std::getline(text, line)) {
    if (line.find(aFilter) == std::string::npos) {
      continue;
    }
    boost::system::error_code error;
    json::value value = json::parse(line, error);
    if (error || !value.is_object()) {
      continue;
    }
    TimelineLine event;
    event.event_ = std::move(value.get_object());
    event.unixMicros_ = NumberOf(event.event_, "time_us");
    event.logical_ = NumberOf(event.event_, "logical");
    aLines.push_back(std::move(event));
  }
}

void
PrintText(const TimelineLine& aLine)
{
  std::cout << aLine.unixMicros_ << "+" << aLine.logical_ << " "
            << TextOf(aLine.event_, "daemon") << " "
            << TextOf(aLine.event_, "event");
  for (const char* name : { "request", "object", "number", "text" }) {
    if (const json::value* value = aLine.event_.if_contains(name)) {
      std::cout << " " << name << "=" << json::serialize(*value);
    }
  }
  std::cout << "\n";
}

/** Prints instant events in the Chrome trace event format. */
void
PrintTrace(const std::vector<TimelineLine>& aLines)
{
  json::array events;
  for (const TimelineLine& line : aLines) {
    json::object event;
    event["name"] = TextOf(line.event_, "event");
    event["ph"] = "i";
    event["s"] = "t";
    event["ts"] = line.unixMicros_;
    event["pid"] = TextOf(line.event_, "daemon");
    event["tid"] = TextOf(line.event_, "object");
    event["args"] = line.event_;
    events.push_back(std::move(event));
  }
  std::cout << json::serialize(json::object{ { "traceEvents", events } })
            << "\n";
}

} // namespace

int
RunTimeline(const OperatorFlags& aFlags)
{
  std::vector<TimelineLine> lines;
  for (const std::string& address : MemberAddresses(aFlags)) {
    ParseEvents(
      Fetch(address, "/v1/timeline", TimeoutOf(aFlags)), aFlags.filter_, lines);
  }
  std::stable_sort(lines.begin(), lines.end(), IsEarlier);
  if (aFlags.format_ == "trace") {
    PrintTrace(lines);
    return 0;
  }
  for (const TimelineLine& line : lines) {
    if (aFlags.format_ == "json") {
      std::cout << json::serialize(line.event_) << "\n";
    } else {
      PrintText(line);
    }
  }
  return 0;
}

} // namespace camphorfield
