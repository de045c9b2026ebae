/** Orders under faults: what each caller is told, and how often it ran. */
#include "order/order_fixture.h"
#include "order/order_internal.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

namespace {

/** What a case does, step by step. */
enum class StepOp : std::uint8_t
{
  Send,        ///< Send the order to a daemon.
  SendOther,   ///< The same key with another body.
  Run,         ///< Let arg_ milliseconds pass.
  StoreOut,    ///< The store does nothing and answers nothing.
  LoseCalls,   ///< Store calls are lost on the way.
  LoseReplies, ///< Store calls take effect, their replies are lost.
  ServerSheds, ///< The server refuses, and says so.
  ServerMute,  ///< The server runs it, its answer is lost.
  ServerDies,  ///< The server crashes before it runs.
  ServerSlow,  ///< The server takes half a second.
  Calm,        ///< No more faults.
  Kill,
  Restart,
  Pause,
  Wake,
  Cut,    ///< Daemon arg_ no longer reaches the first one.
  Spread, ///< Members learn who is alive.
  Stop,   ///< Graceful shutdown begins.
  Window, ///< The window of the key passes.
  End     ///< Number of operations.
};

/** One step; daemon 0 owns the key's range, or issued the token. */
struct FaultStep
{
  StepOp op_;
  int arg_ = 0;
};

/** A case and what must come of it. */
struct FaultCase
{
  const char* name_;
  bool token_;
  std::vector<FaultStep> steps_;
  std::vector<ResultCode> told_; ///< For each Send; End: nobody answers.
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
  { "owner paused with its claim under way, successor takes over", false, { { O::Send, 0 }, { O::Pause, 0 }, { O::Run, 1000 }, { O::Spread }, { O::Send, 1 }, { O::Run, 3000 }, { O::Wake, 0 }, { O::Run, 3000 } }, { R::DeadlineTooShort, R::OutcomeUnknown }, 0 },
  { "owner paused while it runs, and wakes", false, { { O::ServerSlow }, { O::Send, 0 }, { O::Run, 100 }, { O::Pause, 0 }, { O::Run, 700 }, { O::Wake, 0 }, { O::Send, 1 }, { O::Run, 3000 } }, { R::Ok, R::Ok }, 1 },
  { "store out before the claim", false, { { O::StoreOut }, { O::Send, 0 }, { O::Run, 3000 }, { O::Calm }, { O::Run, 3000 }, { O::Send, 1 }, { O::Run, 3000 } }, { R::ClaimsUnavailable, R::Ok }, 1 },
  { "claim lost once", false, { { O::LoseCalls }, { O::Send, 0 }, { O::Run, 30 }, { O::Calm }, { O::Run, 3000 } }, { R::Ok }, 1 },
  { "claim stored, its reply lost", false, { { O::LoseReplies }, { O::Send, 0 }, { O::Run, 300 }, { O::Calm }, { O::Run, 3000 }, { O::Send, 1 }, { O::Run, 3000 } }, { R::Ok, R::Ok }, 1 },
  { "claim stored, reply lost until the deadline", false, { { O::LoseReplies }, { O::Send, 0 }, { O::Run, 3000 }, { O::Calm }, { O::Run, 3000 }, { O::Send, 1 }, { O::Run, 3000 } }, { R::ClaimsUnavailable, R::Ok }, 1 },
  { "claim abandoned, owner killed", false, { { O::LoseReplies }, { O::Send, 0 }, { O::Run, 3000 }, { O::Kill, 0 }, { O::Calm }, { O::Spread }, { O::Send, 1 }, { O::Run, 3000 } }, { R::ClaimsUnavailable, R::OutcomeUnknown }, 0 },
  { "store out after the claim", false, { { O::ServerSlow }, { O::Send, 0 }, { O::Run, 100 }, { O::StoreOut }, { O::Run, 1000 }, { O::Send, 1 }, { O::Run, 1000 } }, { R::Ok, R::Ok }, 1 },
  { "server sheds, resent", false, { { O::ServerSheds }, { O::Send, 0 }, { O::Run, 1000 }, { O::Calm }, { O::Send, 1 }, { O::Run, 1000 } }, { R::Overloaded, R::Ok }, 1 },
  { "server's answer lost", false, { { O::ServerMute }, { O::Send, 0 }, { O::Run, 1000 }, { O::Calm }, { O::Send, 1 }, { O::Run, 1000 } }, { R::OutcomeUnknown, R::OutcomeUnknown }, 1 },
  { "server crashes before it runs", false, { { O::ServerDies }, { O::Send, 0 }, { O::Run, 1000 }, { O::Calm }, { O::Send, 1 }, { O::Run, 1000 } }, { R::OutcomeUnknown, R::OutcomeUnknown }, 0 },
  { "shed, then the owner is killed", false, { { O::ServerSheds }, { O::Send, 0 }, { O::Run, 1000 }, { O::Calm }, { O::Kill, 0 }, { O::Spread }, { O::Send, 1 }, { O::Run, 1000 } }, { R::Overloaded, R::Ok }, 1 },
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
  { "token, server sheds, resent", true, { { O::ServerSheds }, { O::Send, 0 }, { O::Run, 1000 }, { O::Calm }, { O::Send, 1 }, { O::Run, 1000 } }, { R::Overloaded, R::Ok }, 1 },
};
// clang-format on

/** A key whose range is owned by daemon zero. */
std::string
KeyOfFirst(const Cluster& aCluster)
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
  faults.serverMute_ = aOp == StepOp::ServerMute ? kAlways : faults.serverMute_;
  faults.serverDies_ = aOp == StepOp::ServerDies ? kAlways : faults.serverDies_;
  if (aOp == StepOp::Calm) {
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
    case StepOp::Wake:
      Wake(aCluster, daemon);
      break;
    case StepOp::Cut:
      aCluster.cut_.insert({ daemon, 0 });
      break;
    case StepOp::Stop:
      Give(aCluster, daemon, StopRequested{});
      break;
    case StepOp::Spread:
      SpreadMembers(aCluster);
      break;
    default:
      SetFault(aCluster, aStep.op_);
      break;
  }
}

/** Carry out a case; the requests sent are returned. */
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
NameOf(const FaultCase& aCase, std::size_t aRequest, ResultCode aTold)
{
  return std::string(aCase.name_) + ", request " + std::to_string(aRequest) +
         " was told " + std::to_string(static_cast<int>(aTold));
}

} // namespace

TEST_GROUP(OrderFaults){};

TEST(OrderFaults, CallersAreToldTheTruth)
{
  for (const FaultCase& row : kFaultCases) {
    Cluster cluster = MakeCluster(3, 1);
    RunFor(cluster, std::chrono::seconds(2));
    const std::string key =
      row.token_ ? OrderIssueTokens(
                     cluster.daemons_[0].state_, 1, cluster.now_, cluster.rng_)
                     .front()
                 : KeyOfFirst(cluster);
    const std::vector<CallerRequestId> sent =
      RunSteps(cluster, key, row.steps_);
    for (std::size_t i = 0; i < row.told_.size(); ++i) {
      const ResultCode told = CodeOf(cluster, sent[i]);
      CHECK_TEXT(told == row.told_[i], NameOf(row, i, told).c_str());
    }
    CHECK_EQUAL_TEXT(row.runs_, RunsOf(cluster, key), row.name_);
  }
}

TEST(OrderFaults, CallersDoNotShareKeys)
{
  Cluster cluster = MakeCluster(3, 1);
  const std::string key = PlainKey(cluster, "same");
  for (std::uint64_t i = 1; i <= 2; ++i) {
    Give(cluster,
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

TEST(OrderFaults, FloodOfKeysIsBoundedAndRefusedTruly)
{
  constexpr int kFlood = 3000;
  constexpr std::size_t kBound = 64;
  Cluster cluster = MakeCluster(1, 1);
  OrderSettings& settings = cluster.daemons_[0].state_.settings_;
  settings.rangeEntries_ = kBound;
  settings.rangeAsks_ = kBound;
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
  Give(cluster, 0, StopRequested{});
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

TEST(OrderFaults, LogOfManyOrdersStaysSmallAndIsRead)
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
    CHECK_EQUAL(1, RunsOf(cluster, keys[i]));
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
  CHECK_EQUAL(0, RunsOf(cluster, key));
}
