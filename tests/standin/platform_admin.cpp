// Admin calls of the platform stand-in: faults, copies, VM list and counters.
#include "standin/json_func.h"
#include "standin/platform_base.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace camphorfield::standin {

namespace json = boost::json;

namespace {

bool
SetOutage(PlatformFaults& aFaults, const json::object& aBody)
{
  const json::value* field = aBody.if_contains("outage");
  if (field == nullptr) {
    return true;
  }
  const std::string name = json::value_to<std::string>(*field);
  for (std::size_t i = 0; i < kOutageNames.size(); ++i) {
    if (name == kOutageNames[i]) {
      aFaults.outage_ = static_cast<Outage>(i);
      return true;
    }
  }
  return false;
}

/** Set faults; {"clear":true} first resets all but the rate limits. */
HttpReply
SetFaults(PlatformStandin& aPlatform, const json::object& aBody)
{
  PlatformFaults faults = aPlatform.faults_;
  if (aBody.contains("clear")) {
    const PlatformFaults& old = aPlatform.faults_;
    faults = PlatformFaults();
    faults.writesPerS_ = old.writesPerS_;
    faults.readsPerS_ = old.readsPerS_;
  }
  if (!SetOutage(faults, aBody)) {
    return { 400, {}, "unknown outage" };
  }
  ReadField(aBody, "slow_ms", faults.slow_);
  ReadField(aBody, "late_ms", faults.late_);
  ReadField(aBody, "lost_reply_share", faults.lostReplyShare_);
  ReadField(aBody, "lost_replies", faults.lostReplies_);
  ReadField(aBody, "lost_requests", faults.lostRequests_);
  ReadField(aBody, "stale_ms", faults.stale_);
  ReadField(aBody, "stale_copy", faults.staleCopy_);
  ReadField(aBody, "writes_per_s", faults.writesPerS_);
  ReadField(aBody, "reads_per_s", faults.readsPerS_);
  aPlatform.faults_ = faults;
  WakeWatches(aPlatform);
  return {};
}

// Versions go back with the content, as they do when a store is restored from
// a backup: a version seen before may come again with other content.
HttpReply
Restore(PlatformStandin& aPlatform, const std::string& aName)
{
  const auto found = aPlatform.named_.find(aName);
  if (found == aPlatform.named_.end()) {
    return { 404 };
  }
  aPlatform.store_ = found->second;
  WakeWatches(aPlatform);
  return {};
}

HttpReply
SetVms(PlatformStandin& aPlatform, const json::object& aBody)
{
  Millis lag{};
  ReadField(aBody, "lag_ms", lag);
  aPlatform.vms_.push_back(
    { Clock::now() + lag, serialize(aBody.at("vms").as_array()) });
  return {};
}

HttpReply
Counts(const PlatformStandin& aPlatform)
{
  json::object out;
  for (std::size_t i = 0; i < kCallKindNames.size(); ++i) {
    out[kCallKindNames[i]] = aPlatform.counts_[i];
  }
  out["waiting_watches"] = aPlatform.watches_.size();
  out["peak_reads_per_s"] = aPlatform.reads_.peak_;
  out["peak_writes_per_s"] = aPlatform.writes_.peak_;
  out["objects"] = aPlatform.store_.objects_.size();
  std::uint64_t bytes = 0;
  std::uint64_t largest = 0;
  for (const auto& [key, object] : aPlatform.store_.objects_) {
    bytes += object.value_->size();
    largest = std::max<std::uint64_t>(largest, object.value_->size());
  }
  out["bytes"] = bytes;
  out["largest_value"] = largest;
  return { 200, { { "Content-Type", "application/json" } }, serialize(out) };
}

HttpReply
ResetCounts(PlatformStandin& aPlatform)
{
  aPlatform.counts_.fill(0);
  aPlatform.reads_ = CallRate();
  aPlatform.writes_ = CallRate();
  return {};
}

} // namespace

HttpReply
ServePlatformAdmin(PlatformStandin& aPlatform, const HttpRequest& aRequest)
{
  if (aRequest.path_ == "/admin/counts") {
    return Counts(aPlatform);
  }
  if (aRequest.path_ == "/admin/reset") {
    return ResetCounts(aPlatform);
  }
  json::object body;
  if (!ParseObject(aRequest.body_, body)) {
    return { 400, {}, "not a JSON object" };
  }
  std::string name = "default";
  ReadField(body, "name", name);
  if (aRequest.path_ == "/admin/fault") {
    return SetFaults(aPlatform, body);
  }
  if (aRequest.path_ == "/admin/snapshot") {
    aPlatform.named_[name] = aPlatform.store_;
    return {};
  }
  if (aRequest.path_ == "/admin/restore") {
    return Restore(aPlatform, name);
  }
  if (aRequest.path_ == "/admin/vms") {
    return SetVms(aPlatform, body);
  }
  return { 404 };
}

} // namespace camphorfield::standin
