/** Resends without faults: an order runs once, and its outcome is replayed on
 * every daemon. */
#include "order/order_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

namespace {

constexpr Duration kSettleTime = std::chrono::seconds(3);

/** Order and its resend, to the same or another daemon. */
struct ResendCase
{
  const char* name_;
  bool token_;
  std::size_t first_;  ///< Daemon that gets the order.
  std::size_t second_; ///< Daemon that gets the resend.
};

constexpr ResendCase kResendCases[] = {
  { "plain key, same daemon", false, 0, 0 },
  { "plain key, other daemon", false, 0, 1 },
  { "plain key, third daemon", false, 2, 1 },
  { "token at its issuer", true, 0, 0 },
  { "token, resent elsewhere", true, 0, 2 },
  { "token, first sent elsewhere", true, 1, 0 },
};

} // namespace

TEST_GROUP(Order){};

TEST(Order, RunsOnceAndReplaysItsOutcome)
{
  for (const ResendCase& row : kResendCases) {
    Cluster cluster = MakeCluster(3, 1);
    std::string key = PlainKey(cluster, "a");
    if (row.token_) {
      key = OrderIssueTokens(
        cluster.daemons_[0].state_, 1, cluster.now_, cluster.rng_)[0];
    }
    const CallerRequestId first = SendOrder(cluster, row.first_, key);
    RunFor(cluster, kSettleTime);
    const CallerRequestId second = SendOrder(cluster, row.second_, key);
    RunFor(cluster, kSettleTime);
    CHECK_TEXT(CodeOf(cluster, first) == ResultCode::Ok, row.name_);
    CHECK_TEXT(CodeOf(cluster, second) == ResultCode::Ok, row.name_);
    CHECK_TEXT(cluster.answers_[second].answer_.replayed_, row.name_);
    STRCMP_EQUAL_TEXT(cluster.answers_[first].answer_.body_->c_str(),
                      cluster.answers_[second].answer_.body_->c_str(),
                      row.name_);
    CHECK_EQUAL_TEXT(1, RunCount(cluster, key), row.name_);
  }
}
