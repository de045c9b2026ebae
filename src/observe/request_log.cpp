// Log lines from which `camphorfield explain` finds the cause of a failed
// request. Successful requests are routine lines, which are dropped first under
// load.
#include "observe/request_log.h"

#include "observe/log.h"
#include "table/proxy_table.h"
#include "table/suspicion_table.h"
#include "table/timeline_table.h"

#include <absl/strings/str_cat.h>
#include <string>

namespace camphorfield {

void
LogRequest(const RequestRecord& aRecord)
{
  const bool succeeded = aRecord.code_ <= ProxyCode::Merged && !aRecord.late_ &&
                         aRecord.covered_ == aRecord.shards_;
  WriteLog(
    LogLevel::Info,
    "request",
    { { "request", aRecord.requestId_ },
      { "route", aRecord.route_ },
      { "organisation", aRecord.organisation_ },
      { "outcome", GetProxyRow(aRecord.code_).name_ },
      { "status", std::to_string(aRecord.status_) },
      { "version", std::to_string(aRecord.version_) },
      { "took_us", std::to_string(aRecord.took_.count()) },
      { "late", aRecord.late_ ? "true" : "false" },
      { "shards", std::to_string(aRecord.shards_) },
      { "covered", std::to_string(aRecord.covered_) },
      { "sends", std::to_string(aRecord.sends_) },
      { "hedges", std::to_string(aRecord.hedges_) },
      { "waited_before_us", std::to_string(aRecord.waitedBefore_.count()) },
      { "reason", aRecord.reason_ } },
    succeeded ? LogPriority::Routine : LogPriority::Important);
}

void
LogBackendChange(const BackendRecord& aRecord)
{
  WriteLog(LogLevel::Info,
           "server",
           { { "server", aRecord.server_ },
             { "service", aRecord.service_ },
             { "change", aRecord.change_ },
             { "reason", aRecord.reason_ } });
}

void
LogSuspicion(const SuspicionRecord& aRecord)
{
  WriteLog(LogLevel::Warning,
           kSuspicionMessages[static_cast<std::size_t>(aRecord.event_)],
           { { "server", aRecord.server_ },
             { "request", aRecord.requestId_ },
             { "content", absl::StrCat(absl::Hex(aRecord.fingerprint_)) },
             { "caller", aRecord.caller_ },
             { "target", aRecord.target_ },
             { "reason", aRecord.reason_ } });
}

void
LogMembershipChange(const TimelineRecord& aRecord)
{
  WriteLog(
    LogLevel::Info,
    "member",
    { { "event", kTimelineKindNames[static_cast<std::size_t>(aRecord.kind_)] },
      { "daemon_concerned", aRecord.object_ },
      { "reason", aRecord.text_ } });
}

} // namespace camphorfield
