// Statuses that promise callers that a request has not run, sent by servers
// that have run it.
#include "gateway/replay_fixture.h"
#include "gateway/shared_fixture.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A server that fails requests after it has run them. */
struct PromiseCase
{
  const char* name_;
  std::uint32_t status_;
  RequestKind kind_;
  std::uint32_t sheds_; ///< Truthful "not run" answers before.
  bool hidesIds_;       ///< Its answers can't be told from copies.
  ProxyCode code_;
};

const std::vector<PromiseCase> kPromiseCases{
  { "503", 503, RequestKind::NonIdempotent, 0, false, ProxyCode::Failed },
  { "429", 429, RequestKind::NonIdempotent, 0, false, ProxyCode::Failed },
  { "408", 408, RequestKind::NonIdempotent, 0, false, ProxyCode::Failed },
  { "421 without ids",
    421,
    RequestKind::NonIdempotent,
    0,
    true,
    ProxyCode::Failed },
  { "503 without ids",
    503,
    RequestKind::NonIdempotent,
    0,
    true,
    ProxyCode::Failed },
  { "503 after a retry",
    503,
    RequestKind::NonIdempotent,
    1,
    false,
    ProxyCode::Failed },
  { "429 after a retry",
    429,
    RequestKind::NonIdempotent,
    1,
    false,
    ProxyCode::Failed },
  { "500", 500, RequestKind::NonIdempotent, 0, false, ProxyCode::Forwarded },
  { "504", 504, RequestKind::NonIdempotent, 0, false, ProxyCode::Forwarded },
  { "404", 404, RequestKind::NonIdempotent, 0, false, ProxyCode::Forwarded },
  { "503, may be repeated",
    503,
    RequestKind::Idempotent,
    0,
    false,
    ProxyCode::Forwarded },
};

/** One server that has answered before on its only connection, where a copy of
 * an answer could come. */
struct PromiseReplay
{
  explicit PromiseReplay(const PromiseCase& aCase)
    : replay_(1, 5)
  {
    replay_.AddServer("shard0", 1.0).hidesIds_ = aCase.hidesIds_;
    replay_.Config().services_["shard0"].maxConnections_ = 1;
    replay_.SetRoute(MakePlainRoute(aCase.kind_, seconds(4)));
    replay_.Publish();
    replay_.SendRequest(0, "/plain/first", seconds(3));
    replay_.Advance(seconds(1));
    ModelServer& server = replay_.Servers().front();
    server.fault_ = ModelFault::Fail;
    server.failStatus_ = aCase.status_;
    server.sheds_ = aCase.sheds_;
  }
  Replay replay_;
};

} // namespace

TEST_GROUP(Promise){};

// REFUSED: a server's 503 without a report that it did not run was forwarded,
// and the caller sent an order again that had run.
TEST(Promise, NoStatusPromisesThatARequestThatRanDidNotRun)
{
  for (const PromiseCase& item : kPromiseCases) {
    PromiseReplay fleet(item);
    const std::uint64_t id =
      fleet.replay_.SendRequest(0, "/plain/x", seconds(3));
    fleet.replay_.Advance(seconds(5));
    const ProxyAnswer* answer = fleet.replay_.AnswerOf(id);
    CHECK_TRUE_TEXT(answer != nullptr, item.name_);
    LONGS_EQUAL_TEXT(item.code_, answer->code_, item.name_);
    LONGS_EQUAL_TEXT(item.code_ == ProxyCode::Forwarded ? item.status_ : 0,
                     answer->status_,
                     item.name_);
    // Neither a stamp of the server nor a time to come back.
    CHECK_TRUE_TEXT(answer->fields_.empty(), item.name_);
    CHECK_TRUE_TEXT(answer->retryAfter_ == Duration::zero(), item.name_);
  }
}

// The answer comes after the deadline: nobody gets it any more.
TEST(Promise, LateAnswersPromiseNothing)
{
  PromiseReplay fleet(kPromiseCases.front());
  ModelServer& server = fleet.replay_.Servers().front();
  server.pauseEvery_ = seconds(1000);
  server.pauseFor_ = seconds(30);
  const std::uint64_t id =
    fleet.replay_.SendRequest(0, "/plain/x", milliseconds(300));
  fleet.replay_.Advance(seconds(60));
  const ProxyAnswer* answer = fleet.replay_.AnswerOf(id);
  CHECK_TRUE(answer != nullptr);
  LONGS_EQUAL(ProxyCode::TimedOut, answer->code_);
}
