// Encoding and decoding of the store's object of crash evidence.
#include "evidence_codec.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace camphorfield;
using namespace camphorfield::platform;

namespace {

EvidenceCall
MakeCall(EvidenceOp aOp)
{
  EvidenceCall call;
  call.op_ = aOp;
  call.revision_ = 41;
  call.items_[0xfedcba9876543210U] = { { 2,
                                         { 1, 0xffffffffffffffffU },
                                         { 3 },
                                         { kExactMoment | 9U },
                                         kExactMoment | 8U,
                                         kExactMoment | 12U },
                                       1700000000123000 };
  return call;
}

EvidenceReply
Decode(EvidenceOp aOp, std::uint32_t aStatus, const std::string& aBody)
{
  HttpExchange exchange;
  exchange.end_ = HttpEnd::Ok;
  exchange.response_.status_ = aStatus;
  exchange.response_.body_ = aBody;
  return DecodeEvidenceReply(MakeCall(aOp), exchange);
}

/** A reply and what is to be read from it. */
struct ReplyCase
{
  const char* name_;
  EvidenceOp op_;
  std::uint32_t status_;
  std::string body_;
  EvidenceStatus expected_;
  std::uint64_t revision_;
  std::size_t items_;
};

} // namespace

TEST_GROUP(EvidenceCodec){};

// Hashes use all 64 bits, which JSON numbers may lose.
TEST(EvidenceCodec, WrittenObjectIsReadDifferently)
{
  const EvidenceCall call = MakeCall(EvidenceOp::Replace);
  const HttpRequest request = EncodeEvidenceCall(call);
  CHECK_TRUE(request.method_ == HttpMethod::Put);
  STRCMP_EQUAL("/objects/crash-evidence/gateways?revision=41",
               request.target_.c_str());
  const EvidenceReply reply = Decode(
    EvidenceOp::Read, 200, R"({"as-of":50,"items":[)" + request.body_ + "]}");
  CHECK_TRUE(reply.status_ == EvidenceStatus::Ok);
  LONGS_EQUAL(41, reply.revision_);
  LONGS_EQUAL(1, reply.items_.size());
  const StoredEvidence& item = reply.items_.begin()->second;
  CHECK_TRUE(reply.items_.begin()->first == 0xfedcba9876543210U);
  CHECK_TRUE(item.evidence_ == call.items_.begin()->second.evidence_);
  CHECK_TRUE(item.untilUnixMicros_ == 1700000000123000);
}

// Replies of a store that refuses, or whose object others have written.
TEST(EvidenceCodec, RepliesAreMisread)
{
  const std::string entry = R"({"content":"a","epoch":0,"servers":["1"],)"
                            R"("requests":["2"],"moments":[],"until-ms":5})";
  const auto object = [](const std::string& aContents) {
    return R"({"meta":{"name":"gateways","revision":42},"spec":{"contents":)" +
           aContents + "}}";
  };
  const auto list = [](const std::string& aItem) {
    return R"({"as-of":50,"items":[)" + aItem + "]}";
  };
  using Op = EvidenceOp;
  using Status = EvidenceStatus;
  const std::vector<ReplyCase> cases{
    { "no object", Op::Read, 200, list(""), Status::Ok, 0, 0 },
    { "object",
      Op::Read,
      200,
      list(object("[" + entry + "]")),
      Status::Ok,
      42,
      1 },
    { "bad entry",
      Op::Read,
      200,
      list(object(R"([{"content":7},)" + entry + "]")),
      Status::Ok,
      42,
      1 },
    { "other content", Op::Read, 200, list(object("3")), Status::Ok, 42, 0 },
    { "other object",
      Op::Read,
      200,
      list(R"({"meta":{"name":"x","revision":1}})"),
      Status::Ok,
      0,
      0 },
    { "no JSON", Op::Read, 200, "{", Status::Lost, 0, 0 },
    { "created", Op::Create, 201, object("[]"), Status::Ok, 42, 0 },
    { "created, no body", Op::Create, 201, "", Status::Ok, 0, 0 },
    { "conflict",
      Op::Replace,
      409,
      object("[" + entry + "]"),
      Status::Conflict,
      42,
      1 },
    { "gone", Op::Replace, 404, "", Status::Missing, 0, 0 },
    { "refused", Op::Create, 503, "", Status::Refused, 0, 0 },
  };
  for (const ReplyCase& item : cases) {
    const EvidenceReply reply = Decode(item.op_, item.status_, item.body_);
    CHECK_TEXT(reply.status_ == item.expected_, item.name_);
    LONGS_EQUAL_TEXT(item.revision_, reply.revision_, item.name_);
    LONGS_EQUAL_TEXT(item.items_, reply.items_.size(), item.name_);
  }
}
