// Finds the log lines of a failed or late request and the server, store and
// configuration events on the same daemon that may have caused its outcome.
#include "ops/request_explanation.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdint>
#include <set>
#include <tuple>

namespace camphorfield {

namespace json = boost::json;

namespace {

/** Events up to this long before a request may have caused its outcome. */
constexpr std::int64_t kCauseWindowBeforeMicros = 30'000'000;
/** Events up to this long after the answer may belong to its cause. */
constexpr std::int64_t kCauseWindowAfterMicros = 200'000;

/** Parsed log line. */
struct ParsedLogLine
{
  std::int64_t time_ = 0; ///< Microseconds of the daemon's own clock.
  std::size_t index_ = 0; ///< In the input; orders lines of equal time.
  std::string daemon_;
  std::string message_;
  json::object fields_;

  std::string Text(const char* aName) const
  {
    const json::value* value = fields_.if_contains(aName);
    return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : std::string();
  }
  std::int64_t Number(const char* aName) const
  {
    std::int64_t number = 0;
    return absl::SimpleAtoi(Text(aName), &number) ? number : 0;
  }
};

/** Description of an outcome for the explanation. */
struct OutcomeRow
{
  const char* name_;
  const char* text_;
};

// clang-format off
constexpr std::array kOutcomes{
  OutcomeRow{ "forwarded",    "a server's answer was forwarded" },
  OutcomeRow{ "merged",       "the shards' answers were merged" },
  OutcomeRow{ "no_route",     "no route of the configuration matches it" },
  OutcomeRow{ "not_ready",    "the gateway had no configuration yet; it did not run" },
  OutcomeRow{ "overloaded",   "it was refused at once, because the gateway had as many requests of the route in flight as the servers can answer in time; it did not run" },
  OutcomeRow{ "no_server",    "too few servers were available for it; it did not run" },
  OutcomeRow{ "not_run",      "it was sent, but no server ran it" },
  OutcomeRow{ "quarantined",  "requests with the same content had crashed servers; it did not run" },
  OutcomeRow{ "unauthorized", "its key was missing, repeated, unknown or withdrawn; it did not run" },
  OutcomeRow{ "rate_capped",  "its organisation was above its rate over all gateways; it did not run" },
  OutcomeRow{ "failed",       "a server closed the connection early or sent an invalid answer; it may have run" },
  OutcomeRow{ "timed_out",    "no answer came in time; it may have run" },
  OutcomeRow{ "low_coverage", "too few shards answered; it may have run" },
};
// clang-format on

std::vector<ParsedLogLine>
ParseLines(const std::vector<std::string>& aLines)
{
  std::vector<ParsedLogLine> lines;
  for (const std::string& text : aLines) {
    // Log collectors put a prefix before the JSON object.
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos) {
      continue;
    }
    boost::system::error_code error;
    const json::value document = json::parse(text.substr(begin), error);
    const json::object* object = error ? nullptr : document.if_object();
    const json::value* time =
      object == nullptr ? nullptr : object->if_contains("time_us");
    if (time == nullptr || !time->is_int64()) {
      continue;
    }
    ParsedLogLine line;
    line.time_ = time->as_int64();
    line.index_ = lines.size();
    line.fields_ = *object;
    line.daemon_ = line.Text("daemon");
    line.message_ = line.Text("message");
    lines.push_back(std::move(line));
  }
  return lines;
}

std::string
Millis(std::int64_t aMicros)
{
  return absl::StrFormat("%.1f ms", static_cast<double>(aMicros) / 1000.0);
}

/** Servers that a request's log line names after " at ". */
std::set<std::string>
ParseServers(const ParsedLogLine& aLine)
{
  std::set<std::string> servers;
  const std::string reason = aLine.Text("reason");
  for (const absl::string_view part : absl::StrSplit(reason, ';')) {
    const std::size_t position = part.find(" at ");
    if (position == absl::string_view::npos) {
      continue;
    }
    for (const absl::string_view server :
         absl::StrSplit(part.substr(position + 4), ' ', absl::SkipEmpty())) {
      servers.emplace(server);
    }
  }
  return servers;
}

/** Whether a line is an event that may have caused a request's outcome. */
bool
IsCause(const ParsedLogLine& aLine,
        const ParsedLogLine& aRequest,
        const std::set<std::string>& aServers)
{
  const std::int64_t startTime = aRequest.time_ - aRequest.Number("took_us");
  if (aLine.daemon_ != aRequest.daemon_ ||
      aLine.time_ < startTime - kCauseWindowBeforeMicros ||
      aLine.time_ > aRequest.time_ + kCauseWindowAfterMicros) {
    return false;
  }
  if (aLine.message_ == "server") {
    return aServers.count(aLine.Text("server")) > 0;
  }
  return aLine.message_ == "store unavailable" ||
         aLine.message_ == "store available again" ||
         aLine.message_ == "VM was suspended" ||
         aLine.message_ == "gateway started" ||
         aLine.message_ == "graceful shutdown begins" ||
         aLine.message_ == "configuration in force";
}

std::string
DescribeCause(const ParsedLogLine& aLine)
{
  if (aLine.message_ == "server") {
    return absl::StrCat("server ",
                        aLine.Text("server"),
                        " of ",
                        aLine.Text("service"),
                        ": ",
                        aLine.Text("change"),
                        " (",
                        aLine.Text("reason"),
                        ")");
  }
  if (aLine.message_ == "configuration in force") {
    return absl::StrCat(
      "configuration version ", aLine.Text("version"), " comes into force");
  }
  const std::string kind = aLine.Text("kind");
  return kind.empty() ? aLine.message_
                      : absl::StrCat(aLine.message_, " (", kind, ")");
}

std::string
DescribeOutcome(const std::string& aOutcome)
{
  for (const OutcomeRow& row : kOutcomes) {
    if (aOutcome == row.name_) {
      return row.text_;
    }
  }
  return absl::StrCat("outcome ", aOutcome);
}

/** Describes the request's log line. */
std::string
DescribeRequest(const ParsedLogLine& aLine)
{
  std::string text = absl::StrCat("request on route ",
                                  aLine.Text("route"),
                                  ", configuration version ",
                                  aLine.Text("version"),
                                  ": ",
                                  DescribeOutcome(aLine.Text("outcome")));
  if (aLine.Number("status") > 0) {
    absl::StrAppend(&text, ", status ", aLine.Number("status"));
  }
  absl::StrAppend(&text, ", after ", Millis(aLine.Number("took_us")));
  if (aLine.Number("waited_before_us") > 0) {
    absl::StrAppend(&text,
                    " here and ",
                    Millis(aLine.Number("waited_before_us")),
                    " in earlier attempts");
  }
  if (aLine.Text("late") == "true") {
    absl::StrAppend(&text, "; late for its objective");
  }
  if (aLine.Number("shards") > aLine.Number("covered")) {
    absl::StrAppend(&text,
                    "; ",
                    aLine.Number("covered"),
                    " of ",
                    aLine.Number("shards"),
                    " parts");
  }
  absl::StrAppend(&text,
                  "; sends ",
                  aLine.Number("sends"),
                  ", hedges ",
                  aLine.Number("hedges"));
  return text;
}

void
AppendLine(std::string& aText,
           std::int64_t aFrom,
           const ParsedLogLine& aLine,
           const std::string& aDescription)
{
  absl::StrAppend(
    &aText,
    absl::StrFormat("%+11.1f ms  ",
                    static_cast<double>(aLine.time_ - aFrom) / 1000.0),
    aLine.daemon_,
    "  ",
    aDescription,
    "\n");
}

} // namespace

absl::StatusOr<std::string>
ExplainRequest(const std::vector<std::string>& aLines,
               const std::string& aRequest)
{
  std::vector<ParsedLogLine> lines = ParseLines(aLines);
  std::stable_sort(lines.begin(),
                   lines.end(),
                   [](const ParsedLogLine& aLeft, const ParsedLogLine& aRight) {
                     return std::tie(aLeft.time_, aLeft.index_) <
                            std::tie(aRight.time_, aRight.index_);
                   });
  const auto first =
    std::find_if(lines.begin(), lines.end(), [&](const ParsedLogLine& aLine) {
      return aLine.message_ == "request" && aLine.Text("request") == aRequest;
    });
  if (first == lines.end()) {
    return absl::NotFoundError(
      absl::StrCat("no log line mentions request ",
                   aRequest,
                   "; successful requests are logged by sample"));
  }
  std::string text =
    absl::StrCat("Request ", aRequest, "; times are relative to its answer.\n");
  const std::set<std::string> servers = ParseServers(*first);
  for (const ParsedLogLine& line : lines) {
    if (line.message_ == "request" && line.Text("request") == aRequest) {
      AppendLine(text, first->time_, line, DescribeRequest(line));
      const std::string reason = line.Text("reason");
      for (const absl::string_view part :
           absl::StrSplit(reason, ';', absl::SkipWhitespace())) {
        absl::StrAppend(
          &text, "                 - ", absl::StripAsciiWhitespace(part), "\n");
      }
    } else if (IsCause(line, *first, servers)) {
      AppendLine(text, first->time_, line, DescribeCause(line));
    }
  }
  return text;
}

} // namespace camphorfield
