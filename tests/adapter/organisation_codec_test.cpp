// Keys and names of organisations in configurations and header fields, oddly
// spelled and forged ones included.
#include "config_codec.h"
#include "http_codec.h"
#include "settings_file.h"

#include <CppUTest/TestHarness.h>
#include <optional>
#include <string>
#include <vector>

using namespace camphorfield;
using namespace camphorfield::platform;

TEST_GROUP(OrganisationCodec){};

TEST(OrganisationCodec, DecodesOrganisations)
{
  const auto config = DecodeConfig(
    R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/p/",)"
    R"("type":"idempotent","service":"s","public":true}],)"
    R"("tenants":[{"name":"a1","api-keys":["x","y"],"priority":1,)"
    R"("rate-per-s":17.5,"burst":18},{"name":"b2"}]})");
  CHECK_TRUE(config.ok());
  CHECK_TRUE((*config)->routes_[0].public_);
  const auto& organisations = *(*config)->organisations_;
  LONGS_EQUAL(2, organisations.size());
  STRCMP_EQUAL("a1", organisations[0].name_.c_str());
  LONGS_EQUAL(2, organisations[0].keys_.size());
  LONGS_EQUAL(1, *organisations[0].priority_);
  DOUBLES_EQUAL(17.5, organisations[0].perSecond_, 1e-9);
  DOUBLES_EQUAL(18.0, organisations[0].burst_, 1e-9);
  CHECK_FALSE(organisations[1].priority_.has_value());
  DOUBLES_EQUAL(0.0, organisations[1].perSecond_, 1e-9);
}

// A configuration that can't be read in full must not admit anybody, and its
// fault must not name a key.
TEST(OrganisationCodec, MalformedOrganisationsAreRefused)
{
  struct Case
  {
    const char* tenants_;
    bool ok_;
    bool configured_;
  };
  const std::vector<Case> cases{
    { R"("x":1)", true, false },
    { R"("tenants":[])", true, true },
    { R"("tenants":{})", false, false },
    { R"("tenants":null)", false, false },
    { R"("tenants":[7])", false, false },
    { R"("tenants":[{"api-keys":["secret"]}])", false, false },
    { R"("tenants":[{"name":"","api-keys":["secret"]}])", false, false },
    { R"("tenants":[{"name":"a\r\nX: y","api-keys":["secret"]}])",
      false,
      false },
    { R"("tenants":[{"name":"a","api-keys":["secret",7]}])", false, false },
    { R"("tenants":[{"name":"a","api-keys":"secret"}])", false, false },
    { R"("tenants":[{"name":"a","rate-per-s":-1}])", false, false },
    { R"("tenants":[{"name":"a","rate-per-s":1e999}])", false, false },
    { R"("tenants":[{"name":"a","priority":-1}])", false, false },
  };
  for (const Case& item : cases) {
    const auto config =
      DecodeConfig(std::string(R"({"version":7,)") + item.tenants_ + "}");
    CHECK_EQUAL_TEXT(item.ok_, config.ok(), item.tenants_);
    if (config.ok()) {
      CHECK_EQUAL_TEXT(
        item.configured_, (*config)->organisations_.has_value(), item.tenants_);
    }
    CHECK_TEXT(config.status().message().find("secret") ==
                 absl::string_view::npos,
               item.tenants_);
  }
}

// Guards against a key that reaches a server, a forged name, and fields lost
// where the configuration has no organisations.
TEST(OrganisationCodec, HeaderFields)
{
  struct Case
  {
    const char* name_;
    std::vector<HttpField> fields_;
    std::optional<std::string> organisation_;
    const char* key_;
    const char* sent_; ///< Fields of the request to the server.
  };
  const std::string end = "Expect-Instance: i\r\n";
  const std::vector<Case> cases{
    { "no organisations",
      { { "Api-Key", "k" }, { "Tenant", "t" }, { "X", "1" } },
      std::nullopt,
      "k",
      "X: 1\r\nApi-Key: k\r\nTenant: t\r\n" },
    { "known",
      { { "Api-Key", "k" }, { "X", "1" } },
      "a",
      "k",
      "X: 1\r\nTenant: a\r\n" },
    { "forged name",
      { { "Api-Key", "k" }, { "tenant", "b" }, { "TENANT", "c" } },
      "a",
      "k",
      "Tenant: a\r\n" },
    { "public, unknown",
      { { "Api-Key", "k" }, { "Tenant", "b" } },
      "",
      "k",
      "" },
    { "lower case", { { "api-key", "k" } }, "a", "k", "Tenant: a\r\n" },
    { "space around", { { "Api-Key", " \tk " } }, "a", "k", "Tenant: a\r\n" },
    { "repeated", { { "Api-Key", "k" }, { "API-KEY", "j" } }, "", "", "" },
    { "repeated, empty",
      { { "Api-Key", "" }, { "Api-Key", "k" } },
      "",
      "",
      "" },
    { "name listed as an option of the connection",
      { { "Connection", "Tenant, Api-Key" },
        { "Api-Key", "k" },
        { "Tenant", "b" } },
      "a",
      "k",
      "Tenant: a\r\n" },
  };
  for (const Case& item : cases) {
    HttpRequest request;
    request.methodText_ = "GET";
    request.target_ = "/p";
    request.fields_ = item.fields_;
    const ProxyRequest decoded =
      GetGatewayCodec().decodeRequest_(std::move(request));
    STRCMP_EQUAL_TEXT(item.key_, decoded.key_.c_str(), item.name_);
    BackendSend send;
    send.message_ = decoded.message_;
    send.expectedServer_ = "i";
    send.organisation_ = item.organisation_;
    const std::string text = GetGatewayCodec().encodeSend_(send);
    const std::size_t from = text.find(end) + end.size();
    STRCMP_EQUAL_TEXT((std::string(item.sent_) + "\r\n").c_str(),
                      text.substr(from).c_str(),
                      item.name_);
  }
}

// 401 isn't to be tried again; 429 says when.
TEST(OrganisationCodec, Rejections)
{
  ProxyAnswer answer;
  answer.retryAfter_ = std::chrono::milliseconds(250);
  answer.code_ = ProxyCode::Unauthorized;
  const HttpResponse refused =
    GetGatewayCodec().encodeAnswer_(ProxyAnswer(answer));
  LONGS_EQUAL(401, refused.status_);
  CHECK_TRUE(FindField(refused.fields_, "Retry-After").empty());
  answer.code_ = ProxyCode::RateCapped;
  const HttpResponse capped =
    GetGatewayCodec().encodeAnswer_(ProxyAnswer(answer));
  LONGS_EQUAL(429, capped.status_);
  STRCMP_EQUAL("0.25",
               std::string(FindField(capped.fields_, "Retry-After")).c_str());
}
