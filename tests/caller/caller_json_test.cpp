// Guards the JSON that callers parse against changes of its fields.
#include "caller/caller_json.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

TEST_GROUP(CallerJson){};

namespace {

SharedText
Text(const char* aText)
{
  return std::make_shared<const std::string>(aText);
}

} // namespace

TEST(CallerJson, QueryAnswerListsCoveredAndUncoveredShards)
{
  QueryAnswer answer;
  answer.code_ = ResultCode::Partial;
  answer.version_ = SnapshotVersion{ 7 };
  answer.generation_ = Generation{ 3 };
  answer.covered_ = { { "s0", Text(R"({"a":1})") }, { "s1", Text("no json") } };
  answer.uncovered_ = { { "s2", UncoveredReason::Timeout } };
  const HttpResponse response = RenderQuery(answer);
  LONGS_EQUAL(200, response.status_);
  STRCMP_EQUAL(
    R"({"code":1001,"result":"PARTIAL","run":"ran","complete":false,)"
    R"("version":7,"generation":3,"covered":[{"shard":"s0","body":{"a":1}},)"
    R"({"shard":"s1","body":"no json"}],)"
    R"("uncovered":[{"shard":"s2","reason":"timeout"}]})",
    response.body_.c_str());
}

TEST(CallerJson, RefusalStatesNotRunAndRetryAfter)
{
  QueryAnswer answer;
  answer.code_ = ResultCode::Overloaded;
  answer.retryAfter_ = std::chrono::milliseconds(1200);
  const HttpResponse response = RenderQuery(answer);
  LONGS_EQUAL(503, response.status_);
  STRCMP_CONTAINS(R"("run":"not_run")", response.body_.c_str());
  CHECK_TRUE(FindField(response.fields_, "Retry-After") == "2");
}

TEST(CallerJson, UnknownOrderOutcomeMayHaveRun)
{
  OrderAnswer answer;
  answer.code_ = ResultCode::OutcomeUnknown;
  answer.key_ = "k";
  const HttpResponse response = RenderOrder(answer);
  LONGS_EQUAL(504, response.status_);
  STRCMP_CONTAINS(R"("run":"may_have_run")", response.body_.c_str());
  STRCMP_CONTAINS(R"("body":null)", response.body_.c_str());
}
