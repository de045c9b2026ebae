// Conditional writes, watches, faults and counters of the platform stand-in.
#include "standin/http_client.h"
#include "standin/platform_base.h"

#include <CppUTest/TestHarness.h>
#include <optional>

using namespace camphorfield::standin;

namespace {

constexpr Millis kLongTime{ 60000 };

struct Fixture
{
  boost::asio::io_context context_;
  PlatformStandin platform_{ context_, "127.0.0.1:0", 1 };

  HttpOutcome Call(const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aBody = {},
                   const HttpHeaders& aHeaders = {})
  {
    HttpRequest request{ aMethod, {}, {}, aHeaders, aBody };
    SplitTarget(aPath, request);
    return HttpRoundTrip(context_, platform_.listener_.Address(), request);
  }

  unsigned Create(const std::string& aKey, const std::string& aValue)
  {
    const HttpOutcome outcome =
      Call("PUT", "/v1/objects/" + aKey, aValue, { { "If-None-Match", "*" } });
    return outcome.reply_.status_;
  }

  std::string VersionOf(const std::string& aKey)
  {
    const HttpOutcome outcome = Call("GET", "/v1/objects/" + aKey);
    return FindHeader(outcome.reply_.headers_, "x-version");
  }

  void Fault(const std::string& aFields)
  {
    CHECK_EQUAL(200U, Call("POST", "/admin/fault", aFields).reply_.status_);
  }

  void RunUntil(const std::function<bool()>& aIsDone)
  {
    while (!aIsDone()) {
      context_.restart();
      context_.run_one();
    }
  }
};

} // namespace

TEST_GROUP(PlatformStandin){};

TEST(PlatformStandin, WritesAreConditional)
{
  struct Case
  {
    const char* name_;
    const char* method_;
    const char* key_;
    HttpHeaders headers_;
    unsigned status_;
  };
  Fixture fixture;
  CHECK_EQUAL(201U, fixture.Create("a/b", "one"));
  const std::string version = fixture.VersionOf("a/b");
  const Case cases[] = {
    { "create existing object",
      "PUT",
      "a/b",
      { { "If-None-Match", "*" } },
      412 },
    { "update missing object", "PUT", "a/c", { { "If-Match", version } }, 412 },
    { "update other version", "PUT", "a/b", { { "If-Match", "99" } }, 412 },
    { "no condition", "PUT", "a/b", {}, 412 },
    { "delete other version", "DELETE", "a/b", { { "If-Match", "99" } }, 412 },
    { "update", "PUT", "a/b", { { "If-Match", version } }, 200 },
    { "update old version", "PUT", "a/b", { { "If-Match", version } }, 412 },
    { "delete old version", "DELETE", "a/b", { { "If-Match", version } }, 412 },
    { "create", "PUT", "a%2Fd", { { "If-None-Match", "*" } }, 201 },
    { "create existing decoded key",
      "PUT",
      "a/d",
      { { "If-None-Match", "*" } },
      412 },
  };
  for (const Case& row : cases) {
    const HttpOutcome outcome = fixture.Call(
      row.method_, std::string("/v1/objects/") + row.key_, "two", row.headers_);
    CHECK_EQUAL_TEXT(row.status_, outcome.reply_.status_, row.name_);
  }
}

TEST(PlatformStandin, ValuesUpToOneMegabyte)
{
  Fixture fixture;
  const std::string largest(1U << 20U, 'v');
  CHECK_EQUAL(201U, fixture.Create("big", largest));
  CHECK_TRUE(largest == fixture.Call("GET", "/v1/objects/big").reply_.body_);
  CHECK_EQUAL(413U, fixture.Create("bigger", largest + "v"));
  CHECK_EQUAL(404U, fixture.Call("GET", "/v1/objects/bigger").reply_.status_);
}

TEST(PlatformStandin, ListReadsAPrefix)
{
  Fixture fixture;
  fixture.Create("a/1", "x");
  fixture.Create("a/2", "y");
  fixture.Create("b/1", "z");
  STRCMP_EQUAL("[{\"key\":\"a/1\",\"version\":1,\"value\":\"x\"},"
               "{\"key\":\"a/2\",\"version\":2,\"value\":\"y\"}]",
               fixture.Call("GET", "/v1/list?prefix=a/").reply_.body_.c_str());
}

TEST(PlatformStandin, WatchWakesOnEachKindOfChange)
{
  struct Case
  {
    const char* name_;
    bool existsBefore_;
    const char* method_;
    HttpHeaders headers_;
    unsigned status_;
  };
  const Case cases[] = {
    { "create", false, "PUT", { { "If-None-Match", "*" } }, 200 },
    { "update", true, "PUT", { { "If-Match", "1" } }, 200 },
    { "delete", true, "DELETE", { { "If-Match", "1" } }, 404 },
  };
  for (const Case& row : cases) {
    Fixture fixture;
    HttpRequest watch;
    watch.path_ = "/v1/objects/k";
    watch.query_ = { { "watch", row.existsBefore_ ? "1" : "0" },
                     { "wait_ms", "60000" } };
    if (row.existsBefore_) {
      fixture.Create("k", "old");
    }
    HttpClient client(fixture.context_, fixture.platform_.listener_.Address());
    std::optional<HttpOutcome> seen;
    client.Send(watch, kLongTime, [&](HttpOutcome aOutcome) {
      seen = std::move(aOutcome);
    });
    fixture.RunUntil([&] { return !fixture.platform_.watches_.empty(); });
    CHECK_FALSE(seen.has_value());
    fixture.Call(row.method_, "/v1/objects/k", "new", row.headers_);
    fixture.RunUntil([&] { return seen.has_value(); });
    CHECK_EQUAL_TEXT(row.status_, seen->reply_.status_, row.name_);
    CHECK_TRUE(row.status_ != 200 || seen->reply_.body_ == "new");
  }
}

TEST(PlatformStandin, WatchAnswersAtOnceOrRunsOut)
{
  struct Case
  {
    const char* target_;
    unsigned status_;
  };
  Fixture fixture;
  fixture.Create("k", "v");
  const Case cases[] = {
    { "/v1/objects/k?watch=0&wait_ms=60000", 200 },
    { "/v1/objects/k?watch=9&wait_ms=60000", 200 },
    { "/v1/objects/k?watch=1&wait_ms=0", 304 },
    { "/v1/objects/none?watch=1&wait_ms=60000", 404 },
    { "/v1/objects/none?watch=0&wait_ms=0", 304 },
  };
  for (const Case& row : cases) {
    CHECK_EQUAL_TEXT(row.status_,
                     fixture.Call("GET", row.target_).reply_.status_,
                     row.target_);
  }
}

TEST(PlatformStandin, LostRepliesAndRequests)
{
  struct Case
  {
    const char* fault_;
    unsigned statusAfter_;
  };
  const Case cases[] = {
    { R"({"lost_replies":1})", 200 },
    { R"({"lost_reply_share":1.0})", 200 },
    { R"({"lost_requests":1})", 404 },
    { R"({"outage":"drop"})", 404 },
  };
  for (const Case& row : cases) {
    Fixture fixture;
    fixture.Fault(row.fault_);
    const HttpOutcome outcome =
      fixture.Call("PUT", "/v1/objects/k", "v", { { "If-None-Match", "*" } });
    CHECK_FALSE_TEXT(outcome.answered_, row.fault_);
    fixture.Fault(R"({"clear":true})");
    CHECK_EQUAL_TEXT(row.statusAfter_,
                     fixture.Call("GET", "/v1/objects/k").reply_.status_,
                     row.fault_);
  }
}

TEST(PlatformStandin, StaleReadThenRestore)
{
  Fixture fixture;
  fixture.Create("k", "old");
  fixture.Call("POST", "/admin/snapshot", R"({"name":"s"})");
  fixture.Call("PUT", "/v1/objects/k", "new", { { "If-Match", "1" } });

  fixture.Fault(R"({"stale_copy":"s"})");
  STRCMP_EQUAL("old",
               fixture.Call("GET", "/v1/objects/k").reply_.body_.c_str());
  fixture.Fault(R"({"clear":true})");
  STRCMP_EQUAL("new",
               fixture.Call("GET", "/v1/objects/k").reply_.body_.c_str());

  fixture.Call("POST", "/admin/restore", R"({"name":"s"})");
  STRCMP_EQUAL("1", fixture.VersionOf("k").c_str());
  STRCMP_EQUAL("old",
               fixture.Call("GET", "/v1/objects/k").reply_.body_.c_str());
}

TEST(PlatformStandin, CallsAreCountedByKind)
{
  Fixture fixture;
  fixture.Create("k", "v");
  fixture.Call("GET", "/v1/objects/k?watch=1&wait_ms=0");
  fixture.Call("GET", "/v1/vms");
  const auto count = [&](CallKind aKind) {
    return fixture.platform_.counts_[static_cast<std::size_t>(aKind)];
  };
  CHECK_EQUAL(1U, count(CallKind::Create));
  CHECK_EQUAL(1U, count(CallKind::Watch));
  CHECK_EQUAL(1U, count(CallKind::Vms));
}

TEST(PlatformStandin, ThrottledWritesAreNotDone)
{
  Fixture fixture;
  fixture.Fault(R"({"writes_per_s":1})");
  std::string key = "k";
  while (fixture.Create(key, "v") != 429) {
    key += "k";
  }
  fixture.Fault(R"({"clear":true,"writes_per_s":0})");
  CHECK_EQUAL(404U, fixture.Call("GET", "/v1/objects/" + key).reply_.status_);
  CHECK_EQUAL(
    1U,
    fixture.platform_.counts_[static_cast<std::size_t>(CallKind::Throttled)]);
}

TEST(PlatformStandin, RatesAreCountedBySecond)
{
  struct Case
  {
    std::int64_t second_;
    bool admitted_;
    std::uint64_t peak_;
  };
  const Case cases[] = {
    { 1, true, 1 }, { 1, true, 2 },  { 1, false, 2 }, { 2, true, 2 },
    { 2, true, 2 }, { 2, false, 2 }, { 9, true, 2 },
  };
  CallRate rate;
  for (const Case& row : cases) {
    CHECK_EQUAL(row.admitted_, CountRate(rate, 2, row.second_));
    CHECK_EQUAL(row.peak_, rate.peak_);
  }
}

TEST(PlatformStandin, VmListShowsWhenTheLagIsOver)
{
  Fixture fixture;
  STRCMP_EQUAL("[]", fixture.Call("GET", "/v1/vms").reply_.body_.c_str());
  fixture.Call("POST", "/admin/vms", R"({"vms":[{"name":"a"}],"lag_ms":0})");
  fixture.Call(
    "POST", "/admin/vms", R"({"vms":[{"name":"b"}],"lag_ms":3600000})");
  STRCMP_EQUAL("[{\"name\":\"a\"}]",
               fixture.Call("GET", "/v1/vms").reply_.body_.c_str());
}

TEST(PlatformStandin, BadAdminCallsAreRefused)
{
  Fixture fixture;
  for (const char* body :
       { "", "[]", R"({"outage":"x"})", R"({"slow_ms":"x"})" }) {
    CHECK_EQUAL_TEXT(
      400U, fixture.Call("POST", "/admin/fault", body).reply_.status_, body);
  }
}
