// Renders answers to callers as JSON, so that a caller can tell a partial,
// refused or unknown outcome from a complete one.
#include "caller/caller_json.h"

#include "core/result_func.h"
#include "table/run_table.h"
#include "table/uncovered_table.h"

#include <boost/json.hpp>

namespace camphorfield {

namespace {

namespace json = boost::json;

/** Adds the fields that every answer starts with. */
void
PutResult(json::object& aObject, ResultCode aCode)
{
  const ResultRow& row = GetResultRow(aCode);
  aObject["code"] = row.number_;
  aObject["result"] = row.name_;
  aObject["run"] = kRunStateNames[static_cast<std::size_t>(row.run_)];
}

/** Embeds a JSON payload as a value and any other payload as a string. */
json::value
PayloadValue(const SharedText& aBody, const json::storage_ptr& aStorage)
{
  if (aBody == nullptr) {
    return json::value(nullptr, aStorage);
  }
  boost::system::error_code error;
  json::value value = json::parse(*aBody, error, aStorage);
  if (error) {
    return json::value(json::string(*aBody, aStorage));
  }
  return value;
}

HttpResponse
Respond(ResultCode aCode, const json::object& aObject)
{
  HttpResponse response;
  response.status_ = GetResultRow(aCode).httpStatus_;
  response.fields_.push_back({ "Content-Type", "application/json" });
  response.body_ = json::serialize(aObject);
  return response;
}

void
PutRetryAfter(Duration aRetryAfter, HttpResponse& aResponse)
{
  if (aRetryAfter.count() <= 0) {
    return;
  }
  const auto seconds =
    std::chrono::ceil<std::chrono::seconds>(aRetryAfter).count();
  aResponse.fields_.push_back({ "Retry-After", std::to_string(seconds) });
}

json::array
CoveredArray(const QueryAnswer& aAnswer, const json::storage_ptr& aStorage)
{
  json::array covered(aStorage);
  covered.reserve(aAnswer.covered_.size());
  for (const ShardAnswer& part : aAnswer.covered_) {
    json::object item(aStorage);
    item["shard"] = part.shard_;
    item["body"] = PayloadValue(part.body_, aStorage);
    covered.push_back(std::move(item));
  }
  return covered;
}

json::array
UncoveredArray(const QueryAnswer& aAnswer, const json::storage_ptr& aStorage)
{
  json::array uncovered(aStorage);
  for (const UncoveredShard& part : aAnswer.uncovered_) {
    json::object item(aStorage);
    item["shard"] = part.shard_;
    item["reason"] =
      kUncoveredReasonNames[static_cast<std::size_t>(part.reason_)];
    uncovered.push_back(std::move(item));
  }
  return uncovered;
}

} // namespace

HttpResponse
RenderQuery(const QueryAnswer& aAnswer)
{
  json::monotonic_resource memory;
  const json::storage_ptr storage(&memory);
  json::object object(storage);
  PutResult(object, aAnswer.code_);
  object["complete"] = aAnswer.complete_;
  object["version"] = aAnswer.version_.value_;
  object["generation"] = aAnswer.generation_.value_;
  object["covered"] = CoveredArray(aAnswer, storage);
  object["uncovered"] = UncoveredArray(aAnswer, storage);
  HttpResponse response = Respond(aAnswer.code_, object);
  PutRetryAfter(aAnswer.retryAfter_, response);
  return response;
}

HttpResponse
RenderOrder(const OrderAnswer& aAnswer)
{
  json::object object;
  PutResult(object, aAnswer.code_);
  object["generation"] = aAnswer.generation_.value_;
  object["key"] = aAnswer.key_;
  object["replayed"] = aAnswer.replayed_;
  object["body"] = PayloadValue(aAnswer.body_, json::storage_ptr());
  return Respond(aAnswer.code_, object);
}

HttpResponse
RenderEntries(const EntriesAnswer& aAnswer)
{
  json::object object;
  PutResult(object, aAnswer.code_);
  json::array entries;
  for (const EntryAddress& entry : aAnswer.entries_) {
    json::object item;
    item["address"] = entry.address_;
    item["failure_domain"] = entry.failureDomain_;
    item["daemon"] = entry.daemon_;
    entries.push_back(std::move(item));
  }
  object["entries"] = std::move(entries);
  object["keep_ms"] =
    std::chrono::duration_cast<std::chrono::milliseconds>(aAnswer.keepFor_)
      .count();
  json::array tokens;
  for (const std::string& token : aAnswer.tokens_) {
    tokens.emplace_back(token);
  }
  object["tokens"] = std::move(tokens);
  return Respond(aAnswer.code_, object);
}

HttpResponse
RenderRefusal(ResultCode aCode, std::string_view aDetail)
{
  json::object object;
  PutResult(object, aCode);
  object["detail"] = json::string_view(aDetail.data(), aDetail.size());
  return Respond(aCode, object);
}

} // namespace camphorfield
