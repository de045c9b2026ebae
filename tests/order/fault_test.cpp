/** Scripted faults: for each case the answers to the callers and the number of
 * executions are checked. */
#include "order/order_fixture.h"
#include "order/order_internal.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

namespace {

/** Operation of a step. */
enum class StepOp : std::uint8_t
{
  Send,             ///< Send the order to a daemon.
  SendOther,        ///< The same key with another body.
  Run,              ///< Advance the clock by arg_ milliseconds.
  StoreOut,         ///< No store call is executed or answered.
  LoseCalls,        ///< Store calls are lost.
  LoseReplies,      ///< Store calls take effect; their replies are lost.
  ServerSheds,      ///< The server sheds the order.
  ServerAnswerLost, ///< The server runs the order; its answer is lost.
  ServerCrashes,    ///< The server crashes before it runs the order.
  ServerSlow,       ///< The server takes half a second.
  ClearFaults,      ///< Faults end.
  Kill,
  Restart,
  Pause,
  Resume,
  Cut,    ///< Messages from daemon arg_ to daemon zero are lost.
  Spread, ///< All daemons get the current members.
  Stop,   ///< Begin a graceful shutdown.
  Window, ///< Advance the clock past the key's window.
  End     ///< Number of operations.
};

/** One step; daemon 0 owns the key's range, or issued the token. */
struct FaultStep
{
  StepOp op_;
  int arg_ = 0;
};

/** Steps of a case and the expected results. */
struct FaultCase
{
  const char* name_;
  bool token_;
  std::vector<FaultStep> steps_;
  std::vector<ResultCode> answers_; ///< For each Send; End: no answer.
  int runs_;
};

using R = ResultCode;
using O = StepOp;

// clang-format off
const FaultCase kFaultCases[] = {
  { "resent while it runs", false, { { O::ServerSlow }, { O::Send, 0 }, { O::Run, 100 }, { O::Send, 1 }, { O::Run, 3000 } }, { R::Ok, R::Ok }, 1 },
  { "resent through a third daemon after its own was killed", false, { { O::ServerSlow }, { O::Send, 1 }, { O::Run, 100 }, { O::Kill, 1 }, { O::Send, 2 }, { O::Run, 3000 } }, { R::End, R::Ok }, 1 },
  { "owner killed after the outcome was stored", false, { { O::Send, 0 }, { O::Run, 1000 }, { O::Kill, 0 }, { O::Spread }, { O::Send, 1 }, { O::Run, 3000 } }, { R::Ok, R::Ok }, 1 },
  { "owner killed right after the answer", false, { { O::Send, 0 }, { O::Run, 12 }, { O::Kill, 0 }, { O::Spread }, { O::Send, 1 }, { O::Run, 3000 } }, { R::Ok, R::Ok }, 1 },
  { "owner killed while it runs", false, { { O::ServerSlow }, { O::Send, 0 }, { O::Run, 100 }, { O::Kill, 0 }, { O::Spread }, { O::Send, 1 }, { O::Run, 3000 } }, { R::End, R::OutcomeUnknown }, 1 },
  { "owner paused with its claim under way, successor takes over", false, { { O::Send, 0 }, { O::Pause, 0 }, { O::Run, 1000 }, { O::Spread }, { O::Send, 1 }, { O::Run, 3000 }, { O::Resume, 0 }, { O::Run, 3000 } }, { R::DeadlineTooShort, R::OutcomeUnknown }, 0 },
  { "owner paused while it runs, and wakes", false, { { O::ServerSlow }, { O::Send, 0 }, { O::Run, 100 }, { O::Pause, 0 }, { O::Run, 700 }, { O::Resume, 0 }, { O::Send, 1 }, { O::Run, 3000 } }, { R::Ok, R::Ok }, 1 },
  { "store out before the claim", false, { { O::StoreOut }, { O::Send, 0 }, { O::Run, 3000 }, { O::ClearFaults }, { O::Run, 3000 }, { O::Send, 1 }, { O::Run, 3000 } }, { R::ClaimsUnavailable, R::Ok }, 1 },
  { "claim lost once", false, { { O::LoseCalls }, { O::Send, 0 }, { O::Run, 30 }, { O::ClearFaults }, { O::Run, 3000 } }, { R::Ok }, 1 },
  { "claim stored, its reply lost", false, { { O::LoseReplies }, { O::Send, 0 }, { O::Run, 300 }, { O::ClearFaults }, { O::Run, 3000 }, { O::Send, 1 }, { O::Run, 3000 } }, { R::Ok, R::Ok }, 1 },
  { "claim stored, reply lost until the deadline", false, { { O::LoseReplies }, { O::Send, 0 }, { O::Run, 3000 }, { O::ClearFaults }, { O::Run, 3000 }, { O::Send, 1 }, { O::Run, 3000 } }, { R::ClaimsUnavailable, R::Ok }, 1 },
  { "claim abandoned, owner killed", false, { { O::LoseReplies }, { O::Send, 0 }, { O::Run, 3000 }, { O::Kill, 0 }, { O::ClearFaults }, { O::Spread }, { O::Send, 1 }, { O::Run, 3000 } }, { R::ClaimsUnavailable, R::OutcomeUnknown }, 0 },
  { "store out after the claim", false, { { O::ServerSlow }, { O::Send, 0 }, { O::Run, 100 }, { O::StoreOut }, { O::Run, 1000 }, { O::Send, 1 }, { O::Run, 1000 } }, { R::Ok, R::Ok }, 1 },
  { "server sheds, resent", false, { { O::ServerSheds }, { O::Send, 0 }, { O::Run, 1000 }, { O::ClearFaults }, { O::Send, 1 }, { O::Run, 1000 } }, { R::Overloaded, R::Ok }, 1 },
  { "server's answer lost", false, { { O::ServerAnswerLost }, { O::Send, 0 }, { O::Run, 1000 }, { O::ClearFaults }, { O::Send, 1 }, { O::Run, 1000 } }, { R::OutcomeUnknown, R::OutcomeUnknown }, 1 },
  { "server crashes before it runs", false, { { O::ServerCrashes }, { O::Send, 0 }, { O::Run, 1000 }, { O::ClearFaults }, { O::Send, 1 }, { O::Run, 1000 } }, { R::OutcomeUnknown, R::OutcomeUnknown }, 0 },
  { "shed, then the owner is killed", false, { { O::ServerSheds }, { O::Send, 0 }, { O::Run, 1000 }, { O::ClearFaults }, { O::Kill, 0 }, { O::Spread }, { O::Send, 1 }, { O::Run, 1000 } }, { R::Overloaded, R::Ok }, 1 },
  { "daemon cut off from the owner", false, { { O::Cut, 1 }, { O::Send, 1 }, { O::Run, 3000 }, { O::Send, 2 }, { O::Run, 1000 } }, { R::OutcomeUnknown, R::Ok }, 1 },
  { "owner in graceful shutdown", false, { { O::ServerSlow }, { O::Send, 0 }, { O::Run, 100 }, { O::Stop, 0 }, { O::Spread }, { O::Run, 50 }, { O::Send, 0 }, { O::Run, 3000 }, { O::Kill, 0 }, { O::Spread }, { O::Send, 1 }, { O::Run, 1000 } }, { R::Ok, R::Ok, R::Ok }, 1 },
  { "same key, other body", false, { { O::Send, 0 }, { O::Run, 1000 }, { O::SendOther, 1 }, { O::Run, 1000 } }, { R::Ok, R::KeyReused }, 1 },
  { "key past the window", false, { { O::Send, 0 }, { O::Run, 1000 }, { O::Window }, { O::Send, 1 }, { O::Run, 1000 } }, { R::Ok, R::KeyExpired }, 1 },
  { "token while the store is out", true, { { O::StoreOut }, { O::Send, 0 }, { O::Run, 1000 }, { O::Send, 1 }, { O::Run, 1000 } }, { R::Ok, R::Ok }, 1 },
  { "token, issuer killed after the answer", true, { { O::Send, 0 }, { O::Run, 1000 }, { O::Kill, 0 }, { O::Spread }, { O::Send, 1 }, { O::Run, 3000 } }, { R::Ok, R::Ok }, 1 },
  { "token, issuer killed while it runs", true, { { O::ServerSlow }, { O::Send, 0 }, { O::Run, 100 }, { O::Kill, 0 }, { O::Spread }, { O::Send, 1 }, { O::Run, 3000 } }, { R::End, R::OutcomeUnknown }, 1 },
  { "token, issuer restarted empty", true, { { O::Kill, 0 }, { O::Restart, 0 }, { O::Spread }, { O::Send, 0 }, { O::Run, 1000 }, { O::Send, 1 }, { O::Run, 3000 } }, { R::OutcomeUnknown, R::OutcomeUnknown }, 0 },
  { "token, issuer in graceful shutdown", true, { { O::Stop, 0 }, { O::Spread }, { O::Send, 1 }, { O::Run, 1000 } }, { R::Ok }, 1 },
  { "token, other body", true, { { O::Send, 0 }, { O::Run, 1000 }, { O::SendOther, 1 }, { O::Run, 1000 } }, { R::Ok, R::KeyReused }, 1 },
  { "token past the window", true, { { O::Send, 0 }, { O::Run, 1000 }, { O::Window }, { O::Send, 1 }, { O::Run, 1000 } }, { R::Ok, R::KeyExpired }, 1 },
  { "token, server sheds, resent", true, { { O::ServerSheds }, { O::Send, 0 }, { O::Run, 1000 }, { O::ClearFaults }, { O::Send, 1 }, { O::Run, 1000 } }, { R::Overloaded, R::Ok }, 1 },
};
// clang-format on

/** Key whose range is owned by daemon zero. */
std::string
KeyOwnedByFirst(const Cluster& aCluster)
{
  for (int i = 0;; ++i) {
    std::string key = PlainKey(aCluster, "k" + std::to_string(i));
    if (OwnerOf(aCluster, key) == 0) {
      return key;
    }
  }
}

void
SetFault(Cluster& aCluster, StepOp aOp)
{
  constexpr std::uint32_t kAlways = 1000;
  Faults& faults = aCluster.faults_;
  faults.storeOut_ = faults.storeOut_ || aOp == StepOp::StoreOut;
  faults.storeLost_ = aOp == StepOp::LoseCalls ? kAlways : faults.storeLost_;
  faults.replyLost_ = aOp == StepOp::LoseReplies ? kAlways : faults.replyLost_;
  faults.serverSheds_ =
    aOp == StepOp::ServerSheds ? kAlways : faults.serverSheds_;
  faults.serverAnswerLost_ =
    aOp == StepOp::ServerAnswerLost ? kAlways : faults.serverAnswerLost_;
  faults.serverCrashes_ =
    aOp == StepOp::ServerCrashes ? kAlways : faults.serverCrashes_;
  if (aOp == StepOp::ClearFaults) {
    faults = {};
  }
}

void
HandleDaemon(Cluster& aCluster, const FaultStep& aStep)
{
  const auto daemon = static_cast<std::size_t>(aStep.arg_);
  switch (aStep.op_) {
    case StepOp::Kill:
      Kill(aCluster, daemon);
      break;
    case StepOp::Restart:
      Restart(aCluster, daemon);
      break;
    case StepOp::Pause:
      Pause(aCluster, daemon);
      break;
    case StepOp::Resume:
      Resume(aCluster, daemon);
      break;
    case StepOp::Cut:
      aCluster.cut_.insert({ daemon, 0 });
      break;
    case StepOp::Stop:
      DeliverEvent(aCluster, daemon, StopRequested{});
      break;
    case StepOp::Spread:
      SpreadMembers(aCluster);
      break;
    default:
      SetFault(aCluster, aStep.op_);
      break;
  }
}

/** Run the steps of a case; returns the requests sent. */
std::vector<CallerRequestId>
RunSteps(Cluster& aCluster,
         const std::string& aKey,
         const std::vector<FaultStep>& aSteps)
{
  std::vector<CallerRequestId> sent;
  for (const FaultStep& step : aSteps) {
    const auto daemon = static_cast<std::size_t>(step.arg_);
    switch (step.op_) {
      case StepOp::Send:
        sent.push_back(SendOrder(aCluster, daemon, aKey));
        break;
      case StepOp::SendOther:
        sent.push_back(SendOrder(aCluster, daemon, aKey, "other body"));
        break;
      case StepOp::Run:
        RunFor(aCluster, std::chrono::milliseconds(step.arg_));
        break;
      case StepOp::Window:
        RunFor(aCluster, OrderSettings{}.window_ + std::chrono::seconds(1));
        break;
      case StepOp::ServerSlow:
        aCluster.serverTime_ = std::chrono::milliseconds(500);
        break;
      default:
        HandleDaemon(aCluster, step);
        break;
    }
  }
  return sent;
}

std::string
NameOf(const FaultCase& aCase, std::size_t aRequest, ResultCode aCode)
{
  return std::string(aCase.name_) + ", request " + std::to_string(aRequest) +
         " was answered " + std::to_string(static_cast<int>(aCode));
}

} // namespace

TEST_GROUP(OrderFaults){};

TEST(OrderFaults, AnswersAndRunCountsAreRight)
{
  for (const FaultCase& row : kFaultCases) {
    Cluster cluster = MakeCluster(3, 1);
    RunFor(cluster, std::chrono::seconds(2));
    const std::string key =
      row.token_ ? OrderIssueTokens(
                     cluster.daemons_[0].state_, 1, cluster.now_, cluster.rng_)
                     .front()
                 : KeyOwnedByFirst(cluster);
    const std::vector<CallerRequestId> sent =
      RunSteps(cluster, key, row.steps_);
    for (std::size_t i = 0; i < row.answers_.size(); ++i) {
      const ResultCode code = CodeOf(cluster, sent[i]);
      CHECK_TEXT(code == row.answers_[i], NameOf(row, i, code).c_str());
    }
    CHECK_EQUAL_TEXT(row.runs_, RunCount(cluster, key), row.name_);
  }
}

TEST(OrderFaults, CallersDoNotShareKeys)
{
  Cluster cluster = MakeCluster(3, 1);
  const std::string key = PlainKey(cluster, "same");
  for (std::uint64_t i = 1; i <= 2; ++i) {
    DeliverEvent(
      cluster,
      0,
      CallerRequest{ .id_ = { i },
                     .caller_ = "desk-" + std::to_string(i),
                     .route_ = "reorder",
                     .idempotencyKey_ = key,
                     .body_ = std::make_shared<const std::string>("body") });
  }
  RunFor(cluster, std::chrono::seconds(3));
  for (std::uint64_t i = 1; i <= 2; ++i) {
    CHECK_TRUE(CodeOf(cluster, { i }) == ResultCode::Ok);
    CHECK_EQUAL(1, cluster.runs_["desk-" + std::to_string(i) + '/' + key]);
  }
}

TEST(OrderFaults, KeyFloodIsBoundedAndRefused)
{
  constexpr int kFlood = 3000;
  constexpr std::size_t kBound = 64;
  Cluster cluster = MakeCluster(1, 1);
  OrderSettings& settings = cluster.daemons_[0].state_.settings_;
  settings.rangeEntries_ = kBound;
  settings.rangeQueueEntries_ = kBound;
  std::vector<CallerRequestId> sent;
  sent.reserve(kFlood);
  for (int i = 0; i < kFlood; ++i) {
    sent.push_back(SendOrder(cluster, 0, PlainKey(cluster, std::to_string(i))));
  }
  RunFor(cluster, std::chrono::seconds(5));
  int ran = 0;
  int refused = 0;
  for (const CallerRequestId request : sent) {
    ran += CodeOf(cluster, request) == ResultCode::Ok ? 1 : 0;
    refused += CodeOf(cluster, request) == ResultCode::OrderNotAccepted ? 1 : 0;
  }
  const OrderStats stats = OrderStatistics(cluster.daemons_[0].state_);
  CHECK_EQUAL(kFlood, ran + refused);
  CHECK_EQUAL(static_cast<std::size_t>(ran), cluster.runs_.size());
  CHECK_TRUE(refused > 0);
  CHECK_TRUE(stats.entries_ <= kBound * settings.ranges_);
}

TEST(OrderFaults, ClaimsAreBatched)
{
  constexpr int kBurst = 2000;
  Cluster cluster = MakeCluster(1, 1);
  RunFor(cluster, std::chrono::seconds(2));
  const std::uint64_t before = cluster.store_.writes_;
  for (int i = 0; i < kBurst; ++i) {
    SendOrder(cluster, 0, PlainKey(cluster, std::to_string(i)));
    RunFor(cluster, std::chrono::microseconds(500));
  }
  RunFor(cluster, std::chrono::seconds(3));
  const OrderStats stats = OrderStatistics(cluster.daemons_[0].state_);
  CHECK_EQUAL(static_cast<std::size_t>(kBurst), cluster.runs_.size());
  CHECK_EQUAL(static_cast<std::uint64_t>(kBurst), stats.claims_);
  CHECK_TRUE((cluster.store_.writes_ - before) * 4 < kBurst);
}

TEST(OrderFaults, StoppedDaemonHandsItsRangesOver)
{
  Cluster cluster = MakeCluster(3, 1);
  RunFor(cluster, std::chrono::seconds(2));
  CHECK_TRUE(OrderStatistics(cluster.daemons_[0].state_).rangesHeld_ > 0);
  DeliverEvent(cluster, 0, StopRequested{});
  SpreadMembers(cluster);
  RunFor(cluster, std::chrono::seconds(2));
  CHECK_TRUE(OrderIsIdle(cluster.daemons_[0].state_));
  CHECK_EQUAL(0U, OrderStatistics(cluster.daemons_[0].state_).rangesHeld_);
  std::size_t held = 0;
  for (const TestDaemon& daemon : cluster.daemons_) {
    held += OrderStatistics(daemon.state_).rangesHeld_;
  }
  CHECK_EQUAL(OrderSettings{}.ranges_, held);
}

TEST(OrderFaults, ManyOrdersAreSplitIntoSegmentsAndReloaded)
{
  constexpr int kOrders = 4000;
  constexpr std::size_t kLargestObject = 65536;
  constexpr std::size_t kSealBytes = 8192;
  Cluster cluster = MakeCluster(2, 1);
  for (TestDaemon& daemon : cluster.daemons_) {
    daemon.state_.settings_.sealBytes_ = kSealBytes;
  }
  RunFor(cluster, std::chrono::seconds(2));
  std::vector<std::string> keys;
  for (int i = 0; i < kOrders; ++i) {
    keys.push_back(PlainKey(cluster, std::to_string(i)));
    SendOrder(cluster, 0, keys.back());
    RunFor(cluster, std::chrono::milliseconds(2));
  }
  RunFor(cluster, std::chrono::seconds(3));
  std::size_t segments = 0;
  for (const auto& [key, object] : cluster.store_.objects_) {
    segments += key.find("/seg-") == std::string::npos ? 0 : 1;
    CHECK_TRUE(object.value_.size() < kLargestObject);
  }
  CHECK_TRUE(segments > 0);
  Kill(cluster, 0);
  Restart(cluster, 0);
  SpreadMembers(cluster);
  RunFor(cluster, std::chrono::seconds(2));
  for (int i = 0; i < kOrders; i += 100) {
    const CallerRequestId again = SendOrder(cluster, 1, keys[i]);
    RunFor(cluster, std::chrono::milliseconds(50));
    CHECK_TRUE(CodeOf(cluster, again) == ResultCode::Ok);
    CHECK_EQUAL(1, RunCount(cluster, keys[i]));
  }
}

TEST(OrderFaults, CorruptLogIsRefused)
{
  Cluster cluster = MakeCluster(1, 1);
  const std::string key = PlainKey(cluster, "a");
  for (std::uint32_t n = 0; n < OrderSettings{}.ranges_; ++n) {
    const std::string head = HeadKey(OrderSettings{}, n);
    cluster.store_.objects_[head] = { head, 1, "{\"format\":1,\"rang" };
  }
  const CallerRequestId sent = SendOrder(cluster, 0, key);
  RunFor(cluster, std::chrono::seconds(3));
  CHECK_TRUE(CodeOf(cluster, sent) == ResultCode::ClaimsUnavailable);
  CHECK_EQUAL(0, RunCount(cluster, key));
}
