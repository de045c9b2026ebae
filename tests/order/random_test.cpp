/** Random faults: callers resend orders to several daemons while store,
 * servers, peers and daemons fail; no order may run twice or be answered
 * falsely. */
#include "core/result_func.h"
#include "order/order_fixture.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>

using namespace camphorfield;

namespace {

constexpr int kOrders = 1500;
constexpr int kMaxTries = 4;
constexpr int kTokenShare = 3; ///< One order in three uses a token.
constexpr Duration kOrderInterval = std::chrono::milliseconds(4);
constexpr Duration kTimeout = std::chrono::milliseconds(1500);
/** Time without faults at the end, in which all orders must be answered. */
constexpr Duration kDrain = std::chrono::seconds(30);
constexpr std::size_t kDaemons = 5;

/** Faults of one run. */
struct RandomCase
{
  const char* name_;
  std::uint64_t seed_;
  Faults faults_;
  bool kills_;
  bool pauses_;
  bool outages_;
};

const RandomCase kRandomCases[] = {
  { "no faults", 1, {}, false, false, false },
  { "store", 2, { .storeLost_ = 50, .replyLost_ = 50 }, false, false, true },
  { "peers", 3, { .peerLost_ = 50, .peerTwice_ = 50 }, false, false, false },
  { "servers",
    4,
    { .serverSheds_ = 100, .serverAnswerLost_ = 20, .serverCrashes_ = 20 },
    false,
    false,
    false },
  { "kills", 5, {}, true, false, false },
  { "pauses", 6, {}, false, true, false },
  { "all",
    7,
    { .storeLost_ = 20,
      .replyLost_ = 20,
      .peerLost_ = 20,
      .peerTwice_ = 20,
      .serverSheds_ = 50,
      .serverAnswerLost_ = 10,
      .serverCrashes_ = 10 },
    true,
    true,
    true },
  { "all, other seed",
    8,
    { .storeLost_ = 20,
      .replyLost_ = 20,
      .peerLost_ = 20,
      .peerTwice_ = 20,
      .serverSheds_ = 50,
      .serverAnswerLost_ = 10,
      .serverCrashes_ = 10 },
    true,
    true,
    true },
};

/** Order whose caller resends it until the outcome is known. */
struct CallerOrder
{
  std::string key_;
  CallerRequestId request_;
  TimePoint giveUpAt_ = kNever; ///< End of the caller's wait for an answer.
  int tries_ = 0;
  bool ended_ = false;
  ResultCode code_ = ResultCode::End;
};

/** Results of a run. */
struct Tally
{
  int ok_ = 0;
  int unknown_ = 0;
  int notRun_ = 0;
  int falseNotRun_ = 0;   ///< Answered "not run" though it ran.
  int falseOutcomes_ = 0; ///< Answered with another outcome.
  int doubles_ = 0;       ///< Ran more than once.
  int silent_ = 0;        ///< Never answered.
};

bool
FindLiveDaemon(const Cluster& aCluster, std::size_t& aDaemon)
{
  for (std::size_t i = 0; i < aCluster.daemons_.size(); ++i) {
    aDaemon = (aDaemon + 1) % aCluster.daemons_.size();
    if (aCluster.daemons_[aDaemon].up_) {
      return true;
    }
  }
  return false;
}

void
SendNext(Cluster& aCluster, CallerOrder& aOrder)
{
  std::size_t daemon = aCluster.rng_() % kDaemons;
  aOrder.giveUpAt_ = aCluster.now_.mono_ + kTimeout * 2;
  if (!FindLiveDaemon(aCluster, daemon)) {
    return; // No daemon is up; tried again later.
  }
  ++aOrder.tries_;
  aOrder.request_ = SendOrder(aCluster, daemon, aOrder.key_, "body", kTimeout);
}

/** Check an answer; resend the order unless its outcome is known. */
void
Follow(Cluster& aCluster, CallerOrder& aOrder, Tally& aTally)
{
  ResultCode code = CodeOf(aCluster, aOrder.request_);
  if (aOrder.ended_) {
    return;
  }
  if (code == ResultCode::End) {
    if (aCluster.now_.mono_ < aOrder.giveUpAt_) {
      return;
    }
    // The daemon crashed or is paused: the caller tries another one.
    code = ResultCode::OutcomeUnknown;
  }
  const int runs = RunCount(aCluster, aOrder.key_);
  const bool notRun = GetResultRow(code).run_ == RunState::NotRun;
  aTally.falseNotRun_ += notRun && runs > 0 ? 1 : 0;
  if (code == ResultCode::Ok) {
    const std::string truth = "run 1 of " + aOrder.key_;
    const OrderAnswer& answer = aCluster.answers_[aOrder.request_].answer_;
    const bool same = answer.body_ != nullptr && *answer.body_ == truth;
    aTally.falseOutcomes_ += same && runs == 1 ? 0 : 1;
  }
  aOrder.code_ = code;
  aOrder.ended_ = code == ResultCode::Ok || aOrder.tries_ >= kMaxTries;
  if (!aOrder.ended_) {
    SendNext(aCluster, aOrder);
  }
}

void
InjectFault(Cluster& aCluster, const RandomCase& aCase)
{
  constexpr std::uint64_t kOneIn = 40;
  const std::size_t daemon = aCluster.rng_() % kDaemons;
  TestDaemon& target = aCluster.daemons_[daemon];
  const std::uint64_t dice = aCluster.rng_() % kOneIn;
  if (aCase.kills_ && dice == 0) {
    if (target.up_) {
      Kill(aCluster, daemon);
    } else {
      Restart(aCluster, daemon);
    }
  } else if (aCase.pauses_ && dice == 1 && target.up_) {
    if (target.paused_) {
      Resume(aCluster, daemon);
    } else {
      Pause(aCluster, daemon);
    }
  } else if (aCase.outages_ && dice == 2) {
    aCluster.faults_.storeOut_ = !aCluster.faults_.storeOut_;
  } else if (dice == 3) {
    SpreadMembers(aCluster); // Members change late, as with gossip.
  }
}

std::string
NewKey(Cluster& aCluster, int aNumber)
{
  const std::size_t daemon = aCluster.rng_() % kDaemons;
  if (aNumber % kTokenShare == 0 && aCluster.daemons_[daemon].up_) {
    return OrderIssueTokens(
      aCluster.daemons_[daemon].state_, 1, aCluster.now_, aCluster.rng_)[0];
  }
  return PlainKey(aCluster, "order-" + std::to_string(aNumber));
}

void
ClearFaults(Cluster& aCluster)
{
  aCluster.faults_ = {};
  for (std::size_t i = 0; i < kDaemons; ++i) {
    if (!aCluster.daemons_[i].up_) {
      Restart(aCluster, i);
    } else if (aCluster.daemons_[i].paused_) {
      Resume(aCluster, i);
    }
  }
  SpreadMembers(aCluster);
}

Tally
RunCase(const RandomCase& aCase)
{
  Tally tally;
  Cluster cluster = MakeCluster(kDaemons, aCase.seed_);
  cluster.faults_ = aCase.faults_;
  std::vector<CallerOrder> orders(kOrders);
  std::size_t first = 0; // All orders before it have ended.
  for (int n = 0; n < kOrders; ++n) {
    orders[n].key_ = NewKey(cluster, n);
    SendNext(cluster, orders[n]);
    RunFor(cluster, kOrderInterval);
    InjectFault(cluster, aCase);
    for (std::size_t i = first; i <= static_cast<std::size_t>(n); ++i) {
      Follow(cluster, orders[i], tally);
    }
    while (first < orders.size() && orders[first].ended_) {
      ++first;
    }
  }
  ClearFaults(cluster);
  for (Duration passed{}; passed < kDrain; passed += kOrderInterval) {
    RunFor(cluster, kOrderInterval);
    for (std::size_t i = first; i < orders.size(); ++i) {
      Follow(cluster, orders[i], tally);
    }
  }
  for (const CallerOrder& order : orders) {
    tally.ok_ += order.code_ == ResultCode::Ok ? 1 : 0;
    tally.unknown_ += order.code_ == ResultCode::OutcomeUnknown ? 1 : 0;
    const bool notRun = order.code_ != ResultCode::End &&
                        GetResultRow(order.code_).run_ == RunState::NotRun;
    tally.notRun_ += notRun ? 1 : 0;
    tally.silent_ += order.code_ == ResultCode::End ? 1 : 0;
    tally.doubles_ += RunCount(cluster, order.key_) > 1 ? 1 : 0;
  }
  return tally;
}

} // namespace

TEST_GROUP(OrderRandom){};

TEST(OrderRandom, NoDoubleRunNoFalseNotRun)
{
  for (const RandomCase& row : kRandomCases) {
    const Tally tally = RunCase(row);
    std::printf("\n  %s: %d orders, ok %d, unknown %d, not run %d, "
                "double %d, false not run %d, false outcome %d, silent %d",
                row.name_,
                kOrders,
                tally.ok_,
                tally.unknown_,
                tally.notRun_,
                tally.doubles_,
                tally.falseNotRun_,
                tally.falseOutcomes_,
                tally.silent_);
    CHECK_EQUAL_TEXT(0, tally.doubles_, row.name_);
    CHECK_EQUAL_TEXT(0, tally.falseNotRun_, row.name_);
    CHECK_EQUAL_TEXT(0, tally.falseOutcomes_, row.name_);
    CHECK_EQUAL_TEXT(0, tally.silent_, row.name_);
  }
}
