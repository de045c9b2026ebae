// Encoding of platform calls and decoding of responses, malformed ones
// included.
#include "platform/platform_client.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

TEST_GROUP(PlatformCodec){};

namespace {

struct CallCase
{
  PlatformOp op_;
  HttpMethod method_;
  const char* target_;
  const char* field_; ///< Name of the condition's header; empty: none.
  const char* value_;
};

constexpr CallCase kCallCases[] = {
  { PlatformOp::Get, HttpMethod::Get, "/v1/objects/a/b%20c", "", "" },
  { PlatformOp::Create,
    HttpMethod::Put,
    "/v1/objects/a/b%20c",
    "If-None-Match",
    "*" },
  { PlatformOp::Update,
    HttpMethod::Put,
    "/v1/objects/a/b%20c",
    "If-Match",
    "5" },
  { PlatformOp::Delete,
    HttpMethod::Delete,
    "/v1/objects/a/b%20c",
    "If-Match",
    "5" },
  { PlatformOp::List, HttpMethod::Get, "/v1/list?prefix=a%2Fb%20c", "", "" },
  { PlatformOp::Watch,
    HttpMethod::Get,
    "/v1/objects/a/b%20c?watch=5&wait_ms=9000",
    "",
    "" },
  { PlatformOp::VmList, HttpMethod::Get, "/v1/vms", "", "" },
};

struct StatusCase
{
  std::uint32_t http_;
  PlatformStatus status_;
};

constexpr StatusCase kStatusCases[] = {
  { 200, PlatformStatus::Ok },          { 201, PlatformStatus::Ok },
  { 304, PlatformStatus::Unchanged },   { 404, PlatformStatus::NotFound },
  { 412, PlatformStatus::Conflict },    { 429, PlatformStatus::Throttled },
  { 500, PlatformStatus::Unreachable }, { 0, PlatformStatus::Unreachable },
  { 204, PlatformStatus::Unreachable }, { 403, PlatformStatus::Unreachable },
};

PlatformCall
MakeCall(PlatformOp aOp)
{
  PlatformCall call;
  call.id_ = PlatformCallId{ 1 };
  call.op_ = aOp;
  call.key_ = "a/b c";
  call.expectedVersion_ = 5;
  call.timeout_ = std::chrono::seconds(10);
  return call;
}

} // namespace

TEST(PlatformCodec, CallsFollowTheProtocol)
{
  for (const CallCase& test : kCallCases) {
    const HttpRequest request = EncodePlatformCall(MakeCall(test.op_));
    STRCMP_EQUAL(test.target_, request.target_.c_str());
    CHECK_TRUE(request.method_ == test.method_);
    CHECK_TRUE(FindField(request.fields_, test.field_) == test.value_);
  }
}

TEST(PlatformCodec, StatusesAreMapped)
{
  for (const StatusCase& test : kStatusCases) {
    HttpResponse response;
    response.status_ = test.http_;
    response.fields_ = { { "X-Version", "6" } };
    const PlatformReply reply =
      DecodePlatformReply(MakeCall(PlatformOp::Update), response);
    CHECK_TRUE(reply.status_ == test.status_);
  }
}

TEST(PlatformCodec, WriteReplyWithoutVersionIsUnreachable)
{
  const PlatformReply reply =
    DecodePlatformReply(MakeCall(PlatformOp::Update), HttpResponse{});
  CHECK_TRUE(reply.status_ == PlatformStatus::Unreachable);
}

TEST(PlatformCodec, DecodesListsAndRejectsMalformedOnes)
{
  HttpResponse response;
  response.body_ = R"([{"key":"k","version":3,"value":"v"},7])";
  PlatformReply reply =
    DecodePlatformReply(MakeCall(PlatformOp::List), response);
  LONGS_EQUAL(1, reply.objects_.size());
  LONGS_EQUAL(3, reply.objects_[0].version_);
  response.body_ = R"([{"name":"vm1","address":"10.0.0.1:1","leaving":true}])";
  reply = DecodePlatformReply(MakeCall(PlatformOp::VmList), response);
  LONGS_EQUAL(1, reply.vms_.size());
  CHECK_TRUE(reply.vms_[0].leaving_);
  CHECK_TRUE(reply.vms_[0].entry_);
  response.body_ = R"({"key":)";
  reply = DecodePlatformReply(MakeCall(PlatformOp::List), response);
  CHECK_TRUE(reply.status_ == PlatformStatus::Unreachable);
}
