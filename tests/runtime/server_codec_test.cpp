// Encoding of sub-requests and decoding of responses: responses with labels of
// another request, shard, version or incarnation must not be accepted.
#include "runtime/server_link.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

TEST_GROUP(ServerCodec){};

namespace {

constexpr std::uint64_t kId = 42;
constexpr const char* kIdPrefix = "d1.7";

SubRequest
MakeRequest(SubKind aKind)
{
  SubRequest request;
  request.id_ = SubRequestId{ kId };
  request.connection_ = ConnectionId{ 3 };
  request.kind_ = aKind;
  request.shard_ = "s1";
  request.version_ = SnapshotVersion{ 9 };
  request.key_ = aKind == SubKind::Order ? "key" : "";
  request.body_ = std::make_shared<const std::string>("{}");
  return request;
}

struct AnswerCase
{
  const char* name_;
  SubKind kind_;
  std::uint32_t http_;
  const char* id_;
  const char* shard_;
  const char* version_;
  const char* notRun_;
  bool truncated_;
  SubStatus status_;
};

constexpr AnswerCase kAnswerCases[] = {
  { "whole",
    SubKind::Query,
    200,
    "d1.7-42",
    "s1",
    "9",
    "",
    false,
    SubStatus::Ok },
  { "other shard",
    SubKind::Query,
    200,
    "d1.7-42",
    "s2",
    "9",
    "",
    false,
    SubStatus::Corrupt },
  { "other version",
    SubKind::Query,
    200,
    "d1.7-42",
    "s1",
    "8",
    "",
    false,
    SubStatus::Corrupt },
  { "no version",
    SubKind::Query,
    200,
    "d1.7-42",
    "s1",
    "",
    "",
    false,
    SubStatus::Corrupt },
  { "other request",
    SubKind::Query,
    200,
    "d1.7-41",
    "s1",
    "9",
    "",
    false,
    SubStatus::Corrupt },
  { "other daemon's",
    SubKind::Query,
    200,
    "d2.7-42",
    "s1",
    "9",
    "",
    false,
    SubStatus::Corrupt },
  { "other incarnation's",
    SubKind::Query,
    200,
    "d1.6-42",
    "s1",
    "9",
    "",
    false,
    SubStatus::Corrupt },
  { "truncated",
    SubKind::Query,
    200,
    "d1.7-42",
    "s1",
    "9",
    "",
    true,
    SubStatus::Corrupt },
  { "shed", SubKind::Query, 503, "", "", "", "1", false, SubStatus::Refused },
  { "unmarked 503",
    SubKind::Query,
    503,
    "",
    "",
    "",
    "",
    false,
    SubStatus::Failed },
  { "no version held",
    SubKind::Query,
    409,
    "",
    "",
    "",
    "1",
    false,
    SubStatus::WrongVersion },
  { "unmarked 409",
    SubKind::Order,
    409,
    "d1.7-42",
    "",
    "",
    "",
    false,
    SubStatus::Rejected },
  { "unmarked 408",
    SubKind::Order,
    408,
    "d1.7-42",
    "",
    "",
    "",
    false,
    SubStatus::Failed },
  { "unmarked 421",
    SubKind::Order,
    421,
    "d1.7-42",
    "",
    "",
    "",
    false,
    SubStatus::Failed },
  { "unmarked 429",
    SubKind::Order,
    429,
    "d1.7-42",
    "",
    "",
    "",
    false,
    SubStatus::Failed },
  { "not run", SubKind::Order, 429, "", "", "", "1", false, SubStatus::NotRun },
  { "refused content",
    SubKind::Order,
    422,
    "d1.7-42",
    "",
    "",
    "",
    false,
    SubStatus::Rejected },
  { "order ran",
    SubKind::Order,
    200,
    "d1.7-42",
    "",
    "",
    "",
    false,
    SubStatus::Ok },
  { "other order",
    SubKind::Order,
    200,
    "d1.7-43",
    "",
    "",
    "",
    false,
    SubStatus::Corrupt },
  { "crash", SubKind::Order, 500, "", "", "", "", false, SubStatus::Failed },
  { "redirect", SubKind::Query, 302, "", "", "", "", false, SubStatus::Failed },
};

} // namespace

TEST(ServerCodec, StatusFollowsEchoedLabelsAndHeaders)
{
  for (const AnswerCase& test : kAnswerCases) {
    HttpResponse response;
    response.status_ = test.http_;
    response.fields_ = { { "X-Request-Id", test.id_ },
                         { "X-Shard", test.shard_ },
                         { "X-Index-Version", test.version_ },
                         { "X-Not-Run", test.notRun_ } };
    const SubAnswer answer = DecodeSubAnswer(
      MakeRequest(test.kind_), kIdPrefix, response, test.truncated_);
    CHECK_TRUE_TEXT(answer.status_ == test.status_, test.name_);
  }
}

TEST(ServerCodec, TruncatedRefusalStaysARefusal)
{
  HttpResponse response;
  response.status_ = 503;
  response.fields_ = { { "X-Not-Run", "1" } };
  const SubAnswer answer =
    DecodeSubAnswer(MakeRequest(SubKind::Order), kIdPrefix, response, true);
  CHECK_TRUE(answer.status_ == SubStatus::Refused);
}

TEST(ServerCodec, RequestCarriesLabelsAndTimeLeft)
{
  SubRequest sub = MakeRequest(SubKind::Query);
  sub.deadline_ = TimePoint(Duration(15250));
  const HttpRequest request =
    EncodeSubRequest(sub, kIdPrefix, TimePoint(Duration(10000)));
  STRCMP_EQUAL("/v1/query", request.target_.c_str());
  CHECK_TRUE(FindField(request.fields_, "X-Request-Id") == "d1.7-42");
  CHECK_TRUE(FindField(request.fields_, "X-Shard") == "s1");
  CHECK_TRUE(FindField(request.fields_, "X-Index-Version") == "9");
  CHECK_TRUE(FindField(request.fields_, "X-Deadline-Ms") == "5.250");
}

TEST(ServerCodec, HealthIsParsedAndMalformedHealthIsCorrupt)
{
  HttpResponse response;
  response.body_ =
    R"({"ready":true,"draining":true,"load":0.5,"versions":[7,8]})";
  SubAnswer answer =
    DecodeSubAnswer(MakeRequest(SubKind::Health), kIdPrefix, response, false);
  CHECK_TRUE(answer.status_ == SubStatus::Ok);
  CHECK_TRUE(answer.draining_);
  LONGS_EQUAL(2, answer.versions_.size());
  DOUBLES_EQUAL(0.5, answer.load_, 1e-9);
  response.body_ = R"({"ready":false})";
  answer =
    DecodeSubAnswer(MakeRequest(SubKind::Health), kIdPrefix, response, false);
  CHECK_TRUE(answer.status_ == SubStatus::Refused);
  response.body_ = "[";
  answer =
    DecodeSubAnswer(MakeRequest(SubKind::Health), kIdPrefix, response, false);
  CHECK_TRUE(answer.status_ == SubStatus::Corrupt);
}
