// Refusals, faults, cancels, crashes and statistics of the server stand-in.
#include "standin/http_client.h"
#include "standin/json_func.h"
#include "standin/server_base.h"

#include <CppUTest/TestHarness.h>
#include <optional>

using namespace camphorfield::standin;

namespace {

constexpr Millis kLongTime{ 60000 };

boost::json::object
Config(const std::string& aFields)
{
  boost::json::object config;
  CHECK_TRUE(
    ParseObject(R"({"services":[{"name":"s","service_ms":{"dist":"fixed",)"
                R"("mean":0},"reports_load":true,"versions":[7],)" +
                  aFields + R"("servers":[{"name":"s1"}]}]})",
                config));
  return config;
}

struct Fixture
{
  explicit Fixture(const std::string& aFields = {})
    : farm_(context_, Config(aFields))
  {
  }

  boost::asio::io_context context_;
  ServerFarm farm_;

  FarmServer& Server() { return *farm_.servers_.front(); }
  std::string Address() { return Server().listener_->Address(); }

  void Behave(const std::string& aBody)
  {
    const HttpRequest request{ "POST", "/admin/behave", {}, {}, aBody };
    CHECK_EQUAL(200U, ServeFarmAdmin(farm_, request).status_);
  }

  HttpOutcome Send(const HttpRequest& aRequest)
  {
    return HttpRoundTrip(context_, Address(), aRequest);
  }

  void RunUntil(const std::function<bool()>& aIsDone)
  {
    while (!aIsDone()) {
      context_.restart();
      context_.run_one();
    }
  }
};

HttpRequest
Query(const std::string& aId = "11")
{
  return { "POST",
           "/v1/query",
           {},
           { { "X-Request-Id", aId },
             { "X-Service", "s" },
             { "X-Shard", "p3" },
             { "X-Index-Version", "7" } },
           "find" };
}

HttpRequest
Order(const std::string& aKey)
{
  return { "POST",
           "/v1/order",
           {},
           { { "X-Request-Id", "12" },
             { "X-Service", "s" },
             { "Idempotency-Key", aKey } },
           "reorder" };
}

HttpRequest
With(HttpRequest aRequest, const std::string& aName, const std::string& aValue)
{
  aRequest.headers_[aName] = aValue;
  return aRequest;
}

} // namespace

TEST_GROUP(ServerStandin){};

TEST(ServerStandin, AnswersCarryTheLabelsOfTheirRequest)
{
  Fixture fixture;
  const HttpOutcome outcome = fixture.Send(Query());
  CHECK_EQUAL(200U, outcome.reply_.status_);
  const HttpHeaders& headers = outcome.reply_.headers_;
  STRCMP_EQUAL("11", FindHeader(headers, "x-request-id").c_str());
  STRCMP_EQUAL("p3", FindHeader(headers, "x-shard").c_str());
  STRCMP_EQUAL("7", FindHeader(headers, "x-index-version").c_str());
  STRCMP_EQUAL("0.00", FindHeader(headers, "x-load").c_str());
  boost::json::object body;
  CHECK_TRUE(ParseObject(outcome.reply_.body_, body));
  CHECK_EQUAL(7, body.at("version").as_int64());
}

TEST(ServerStandin, RefusedRequestsAreLabelledAndNotRun)
{
  struct Case
  {
    const char* name_;
    const char* set_;
    HttpRequest request_;
    unsigned status_;
  };
  const Case cases[] = {
    { "query while draining", R"({"draining":true})", Query(), 503 },
    { "order while draining", R"({"draining":true})", Order("k"), 503 },
    { "shedding", R"({"shed":true})", Order("k"), 503 },
    { "wrong version", R"({"versions":[8]})", Query(), 409 },
    { "wrong service", "{}", With(Query(), "X-Service", "t"), 421 },
    { "query after its deadline",
      "{}",
      With(Query(), "X-Deadline-Ms", "0"),
      503 },
    { "order after its deadline",
      "{}",
      With(Order("k"), "X-Deadline-Ms", "0"),
      503 },
  };
  for (const Case& row : cases) {
    Fixture fixture;
    fixture.Behave(std::string(R"({"server":"s1","set":)") + row.set_ + "}");
    const HttpOutcome outcome = fixture.Send(row.request_);
    CHECK_EQUAL_TEXT(row.status_, outcome.reply_.status_, row.name_);
    STRCMP_EQUAL_TEXT(
      "1", FindHeader(outcome.reply_.headers_, "x-not-run").c_str(), row.name_);
    const FarmServerStats& truth = fixture.Server().serverStats_;
    CHECK_EQUAL_TEXT(0U, truth.queries_ + truth.orders_, row.name_);
    CHECK_TRUE_TEXT(fixture.farm_.orders_.empty(), row.name_);
  }
}

TEST(ServerStandin, DrainingIsLabelled)
{
  Fixture fixture;
  fixture.Behave(R"({"set":{"drain_hint":true}})");
  const HttpOutcome outcome = fixture.Send(Query());
  CHECK_EQUAL(200U, outcome.reply_.status_);
  STRCMP_EQUAL("1", FindHeader(outcome.reply_.headers_, "x-draining").c_str());
}

TEST(ServerStandin, ConnectionsOverTheCapAreRefused)
{
  Fixture fixture(R"("connections":1,)");
  HttpClient first(fixture.context_, fixture.Address());
  std::optional<HttpOutcome> seen;
  first.Send(Query(), kLongTime, [&](HttpOutcome aOutcome) {
    seen = std::move(aOutcome);
  });
  fixture.RunUntil([&] { return seen.has_value(); });
  CHECK_TRUE(first.IsOpen());

  const HttpOutcome second = fixture.Send(Query());
  CHECK_EQUAL(503U, second.reply_.status_);
  STRCMP_EQUAL("1", FindHeader(second.reply_.headers_, "x-over-cap").c_str());
  STRCMP_EQUAL("1", FindHeader(second.reply_.headers_, "x-not-run").c_str());
  CHECK_FALSE(second.keepAlive_);
  CHECK_EQUAL(1U, fixture.Server().serverStats_.peak_);
  CHECK_EQUAL(1U, fixture.Server().serverStats_.overCap_);
}

TEST(ServerStandin, FullQueueIsRefused)
{
  Fixture fixture(R"("slots":1,"queue":0,)");
  fixture.Behave(R"({"set":{"service_ms":{"dist":"fixed","mean":3600000}}})");
  HttpClient first(fixture.context_, fixture.Address());
  first.Send(Query(), kLongTime, [](const HttpOutcome&) {});
  fixture.RunUntil([&] { return !fixture.Server().running_.empty(); });
  const HttpOutcome second = fixture.Send(Query("99"));
  CHECK_EQUAL(503U, second.reply_.status_);
  STRCMP_EQUAL("1", FindHeader(second.reply_.headers_, "x-not-run").c_str());
}

TEST(ServerStandin, CancelStopsAQueryAndNeverAnOrder)
{
  struct Case
  {
    const char* name_;
    HttpRequest request_;
    std::size_t runningAfter_;
  };
  const Case cases[] = { { "query", Query("12"), 0 },
                         { "order", Order("k"), 1 } };
  for (const Case& row : cases) {
    Fixture fixture;
    fixture.Behave(R"({"set":{"service_ms":{"dist":"fixed","mean":3600000}}})");
    HttpClient client(fixture.context_, fixture.Address());
    client.Send(row.request_, kLongTime, [](const HttpOutcome&) {});
    fixture.RunUntil([&] { return !fixture.Server().running_.empty(); });
    HttpRequest cancel{ "POST", "/v1/cancel", {}, {}, {} };
    cancel.headers_ = { { "X-Request-Id", "13" }, { "X-Cancels", "12" } };
    CHECK_EQUAL(200U, fixture.Send(cancel).reply_.status_);
    CHECK_EQUAL_TEXT(
      row.runningAfter_, fixture.Server().running_.size(), row.name_);
  }
}

TEST(ServerStandin, CrashMarkerTakesTheServerDown)
{
  Fixture fixture;
  fixture.Behave(R"({"set":{"crash_ms":3600000}})");
  HttpRequest crash = Query();
  crash.body_ = "x CRASH-ME x";
  CHECK_FALSE(fixture.Send(crash).answered_);
  CHECK_EQUAL(1U, fixture.Server().serverStats_.crashes_);
  const HttpOutcome refused = fixture.Send(Query());
  CHECK_FALSE(refused.sent_);
  StartServer(fixture.Server());
  CHECK_EQUAL(200U, fixture.Send(Query()).reply_.status_);
}

TEST(ServerStandin, StatsCountEachRunOfAnOrder)
{
  Fixture fixture;
  fixture.Behave(R"({"set":{"lose_order_answers":1}})");
  CHECK_FALSE(fixture.Send(Order("k")).answered_);
  CHECK_EQUAL(200U, fixture.Send(Order("k")).reply_.status_);
  CHECK_EQUAL(2U, fixture.farm_.orders_["k"].size());
  boost::json::object truth;
  CHECK_TRUE(ParseObject(
    ServeFarmAdmin(fixture.farm_, { "GET", "/admin/truth", {}, {}, {} }).body_,
    truth));
  CHECK_EQUAL(2U, truth.at("orders").at("k").as_array().size());
}

TEST(ServerStandin, FaultyAnswers)
{
  struct Case
  {
    const char* set_;
    bool answered_;
    unsigned status_;
  };
  const Case cases[] = {
    { R"({"fail_share":1.0})", true, 500 },
    { R"({"truncate_share":1.0})", false, 200 },
    { R"({"lose_answer_share":1.0})", false, 200 },
    { R"({"corrupt_share":1.0})", true, 200 },
  };
  for (const Case& row : cases) {
    Fixture fixture;
    fixture.Behave(std::string(R"({"set":)") + row.set_ + "}");
    const HttpOutcome outcome = fixture.Send(Query());
    CHECK_EQUAL_TEXT(row.answered_, outcome.answered_, row.set_);
    CHECK_EQUAL_TEXT(row.status_, outcome.reply_.status_, row.set_);
    CHECK_EQUAL_TEXT(1U, fixture.Server().serverStats_.queries_, row.set_);
  }
}

TEST(ServerStandin, CorruptAnswersDifferInALabel)
{
  Fixture fixture;
  fixture.Behave(R"({"set":{"corrupt_share":1.0}})");
  const HttpHeaders headers = fixture.Send(Query()).reply_.headers_;
  const bool isSame = FindHeader(headers, "x-request-id") == "11" &&
                      FindHeader(headers, "x-shard") == "p3" &&
                      FindHeader(headers, "x-index-version") == "7";
  CHECK_FALSE(isSame);
}

TEST(ServerStandin, SilentConnectionsStaySilentAndNewOnesWork)
{
  Fixture fixture;
  HttpClient old(fixture.context_, fixture.Address());
  std::optional<HttpOutcome> seen;
  const auto record = [&](HttpOutcome aOutcome) { seen = std::move(aOutcome); };
  old.Send(Query(), kLongTime, record);
  fixture.RunUntil([&] { return seen.has_value(); });
  fixture.Behave(R"({"silence":1.0})");
  seen.reset();
  old.Send(Query(), kLongTime, record);
  CHECK_EQUAL(200U, fixture.Send(Query()).reply_.status_);
  CHECK_FALSE(seen.has_value());
  CHECK_EQUAL(2U, fixture.Server().serverStats_.queries_);
}

TEST(ServerStandin, HealthReportsTrueOrConfiguredState)
{
  struct Case
  {
    const char* set_;
    const char* body_;
  };
  const Case cases[] = {
    { "{}", R"({"ready":true,"draining":false,"versions":[7],"load":0E0})" },
    { R"({"lie_load":0.5,"lie_ready":0})",
      R"({"ready":false,"draining":false,"versions":[7],"load":5E-1})" },
  };
  for (const Case& row : cases) {
    Fixture fixture;
    fixture.Behave(std::string(R"({"set":)") + row.set_ + "}");
    HttpRequest request;
    request.path_ = "/v1/health";
    STRCMP_EQUAL(row.body_, fixture.Send(request).reply_.body_.c_str());
  }
}

TEST(ServerStandin, CrashEndsRequestsWithFiredTimers)
{
  Fixture fixture(R"("slots":2,)");
  fixture.Behave(R"({"set":{"crash_ms":3600000}})");
  const HttpRequest query{ "POST",
                           "/v1/query",
                           {},
                           { { "x-service", "s" }, { "x-index-version", "7" } },
                           "find" };
  HttpRequest crash = query;
  crash.body_ = "CRASH-ME";
  int answers = 0;
  const HttpRespond count = [&answers](const HttpReply&) { ++answers; };
  ServeFarmRequest(fixture.Server(), query, count);
  ServeFarmRequest(fixture.Server(), query, count);
  ServeFarmRequest(fixture.Server(), crash, count);
  CHECK_EQUAL(2U, fixture.Server().running_.size());
  CHECK_EQUAL(1U, fixture.Server().waiting_.size());
  // The first query to end frees a slot for the request that crashes the
  // server. The timer of the second may have fired by then; its request is
  // gone.
  fixture.RunUntil([&] { return fixture.Server().serverStats_.crashes_ == 1; });
  fixture.context_.poll();
  CHECK_EQUAL(1, answers);
  CHECK_TRUE(fixture.Server().running_.empty());
}
