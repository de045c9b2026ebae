// Requests and answers of callers and servers.
#include "http_codec.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace camphorfield;
using namespace camphorfield::platform;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

HttpResponse
ServerResponse(std::vector<HttpField> aFields)
{
  HttpResponse response;
  response.fields_ = std::move(aFields);
  response.body_ = "body";
  return response;
}

} // namespace

TEST_GROUP(HttpCodec){};

TEST(HttpCodec, RequestsAreForwardedUnchanged)
{
  HttpRequest request;
  request.methodText_ = "POST";
  request.target_ = "/a/b?c=d";
  request.body_ = "payload";
  request.fields_ = { { "Host", "h.example" },
                      { "Request-Id", "r1" },
                      { "Deadline-Ms", "500" },
                      { "X-Own", "1" },
                      { "Connection", "keep-alive, X-Hop" },
                      { "X-Hop", "2" },
                      { "Transfer-Encoding", "chunked" },
                      { "Expect-Instance", "i-forged" } };
  const GatewayCodec& codec = GetGatewayCodec();
  const ProxyRequest decoded = codec.decodeRequest_(std::move(request));
  CHECK_TRUE(decoded.callerTimeout_ == milliseconds(500));
  STRCMP_EQUAL("/a/b", decoded.message_->path_.c_str());
  BackendSend send;
  send.message_ = decoded.message_;
  send.remaining_ = milliseconds(420);
  send.expectedServer_ = "i-1";
  STRCMP_EQUAL("POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\n"
               "Request-Id: r1\r\nDeadline-Ms: 420\r\n"
               "Expect-Instance: i-1\r\nX-Own: 1\r\n"
               "Content-Length: 7\r\n\r\npayload",
               codec.encodeSend_(send).c_str());
}

TEST(HttpCodec, DecodesCallerDeadlines)
{
  struct Case
  {
    const char* text_;
    std::int64_t millis_;
  };
  const std::vector<Case> cases{
    { "500", 500 }, { "0", 0 }, { "-5", 0 }, { "soon", 0 }, { "", 0 },
  };
  for (const Case& item : cases) {
    HttpRequest request;
    request.fields_ = { { "Deadline-Ms", item.text_ } };
    CHECK_TEXT(
      GetGatewayCodec().decodeRequest_(std::move(request)).callerTimeout_ ==
        milliseconds(item.millis_),
      item.text_);
  }
}

TEST(HttpCodec, AnswersOfServers)
{
  const BackendAnswer answer = GetGatewayCodec().decodeAnswer_(
    ServerResponse({ { "Request-Id", "r1" },
                     { "Server-Stamp", "stamp" },
                     { "Server-Load", "3,1,8,250" },
                     { "Keep-Alive", "timeout=5, max=100" },
                     { "Content-Type", "x/y" } }));
  STRCMP_EQUAL("r1", answer.requestId_.c_str());
  STRCMP_EQUAL("stamp", answer.proof_.c_str());
  CHECK_TRUE(answer.load_.known_);
  LONGS_EQUAL(1, answer.load_.waiting_);
  LONGS_EQUAL(250, answer.load_.slowness_);
  CHECK_TRUE(answer.keepAlive_ == seconds(5));
  // Id, proof, load and type go through to the caller.
  LONGS_EQUAL(4, answer.fields_.size());
}

// What can't be read says nothing.
TEST(HttpCodec, GuidanceOfServers)
{
  struct Case
  {
    const char* field_;
    const char* text_;
    std::uint32_t status_;
    double limit_; ///< Requests a second; below 0: none.
    bool leaving_;
    Duration retryAfter_;
    bool malformed_ = false;
  };
  const Duration none = Duration::zero();
  const std::vector<Case> cases{
    { "Server-Limit", "21.5", 200, 21.5, false, none },
    { "Server-Limit", "0", 503, 0.0, false, none },
    { "Server-Limit", "-1", 200, -1.0, false, none, true },
    { "Server-Limit", "nan", 200, -1.0, false, none, true },
    { "Server-Limit", "inf", 200, -1.0, false, none, true },
    { "Server-Limit", "", 200, -1.0, false, none, true },
    { "Server-Limit", "12 a second", 200, -1.0, false, none, true },
    { "Server-Leaving", "1", 200, -1.0, true, none },
    { "server-leaving", "1", 500, -1.0, true, none },
    { "Server-Leaving", "0", 200, -1.0, false, none },
    { "Retry-After", "1.5", 503, -1.0, false, milliseconds(1500) },
    { "Retry-After", "1.5", 200, -1.0, false, none },
    { "Retry-After", "-3", 503, -1.0, false, none, true },
    { "Retry-After", "1e9", 503, -1.0, false, none, true },
    { "Retry-After",
      "Fri, 04 Dec 2026 20:00:00 GMT",
      503,
      -1.0,
      false,
      none,
      true },
  };
  for (const Case& item : cases) {
    HttpResponse response = ServerResponse({ { item.field_, item.text_ } });
    response.status_ = item.status_;
    const BackendAnswer answer =
      GetGatewayCodec().decodeAnswer_(std::move(response));
    DOUBLES_EQUAL_TEXT(
      item.limit_, answer.requestLimit_.value_or(-1.0), 1e-9, item.text_);
    CHECK_TEXT(answer.leaving_ == item.leaving_, item.text_);
    CHECK_TEXT(answer.retryAfter_ == item.retryAfter_, item.text_);
    CHECK_TEXT(answer.malformedGuidance_ == item.malformed_, item.text_);
  }
  // A field that is there twice says nothing.
  for (const char* field :
       { "Server-Limit", "Server-Leaving", "Retry-After" }) {
    HttpResponse response = ServerResponse({ { field, "1" }, { field, "1" } });
    response.status_ = 503;
    const BackendAnswer answer =
      GetGatewayCodec().decodeAnswer_(std::move(response));
    CHECK_TEXT(answer.malformedGuidance_, field);
    CHECK_TEXT(!answer.requestLimit_ && !answer.leaving_, field);
    CHECK_TEXT(answer.retryAfter_ == none, field);
  }
}

TEST(HttpCodec, AnswersToCallers)
{
  struct Case
  {
    const char* name_;
    ProxyCode code_;
    std::uint32_t status_;
    bool hasRetryAfter_;
  };
  const std::vector<Case> cases{
    { "no route", ProxyCode::NoRoute, 404, false },
    { "no configuration", ProxyCode::NotReady, 503, true },
    { "overloaded", ProxyCode::Overloaded, 503, true },
    { "no server", ProxyCode::NoServer, 503, true },
    { "not run", ProxyCode::NotRun, 503, true },
    { "crashes servers", ProxyCode::Quarantined, 503, true },
    { "failed", ProxyCode::Failed, 502, false },
    { "too late", ProxyCode::TimedOut, 504, false },
    { "too few shards", ProxyCode::LowCoverage, 502, false },
  };
  for (const Case& item : cases) {
    ProxyAnswer answer;
    answer.code_ = item.code_;
    answer.retryAfter_ = milliseconds(250);
    const HttpResponse response =
      GetGatewayCodec().encodeAnswer_(std::move(answer));
    LONGS_EQUAL_TEXT(item.status_, response.status_, item.name_);
    const std::string after(FindField(response.fields_, "Retry-After"));
    STRCMP_EQUAL_TEXT(
      item.hasRetryAfter_ ? "0.25" : "", after.c_str(), item.name_);
  }
  ProxyAnswer merged;
  merged.code_ = ProxyCode::Merged;
  merged.proofs_ = { "p1", "p2" };
  merged.missing_ = 1;
  const HttpResponse response =
    GetGatewayCodec().encodeAnswer_(std::move(merged));
  LONGS_EQUAL(200, response.status_);
  STRCMP_EQUAL("p1, p2",
               std::string(FindField(response.fields_, "Part-Stamps")).c_str());
  STRCMP_EQUAL(
    "1", std::string(FindField(response.fields_, "Missing-Parts")).c_str());
}

TEST(HttpCodec, DirectoryAndReadiness)
{
  EntriesAnswer answer;
  LONGS_EQUAL(503, EncodeResolve(answer).status_);
  answer.entries_.push_back({ "10.1.0.9:8104", "z1", "edge-1" });
  answer.keepFor_ = seconds(2);
  STRCMP_EQUAL(R"({"addrs":["10.1.0.9:8104"],"ttl_s":2})",
               EncodeResolve(answer).body_.c_str());
  HttpRequest request;
  request.target_ = "/resolve?name=h.example&region=r&zone=z1";
  CHECK_TRUE(IsResolve(request));
  STRCMP_EQUAL("z1", DecodeResolve(request).c_str());
  request.target_ = "/ready";
  LONGS_EQUAL(200, EncodeReady(request, true).status_);
  LONGS_EQUAL(503, EncodeReady(request, false).status_);
}
