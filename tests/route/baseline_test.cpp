// Compares tail latency and extra load with a baseline tier, without faults and
// with slow servers.
#include "route/plain_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace camphorfield;

namespace {

constexpr std::size_t kQueries = 1000;
constexpr std::size_t kWarmUp = 100;

/** Results of one tier under a fault. */
struct Outcome
{
  Duration p99_{};
  std::uint64_t incomplete_ = 0;
  double extra_ = 0.0; ///< Attempts beyond the first, as a share.
};

using Fault = std::function<void(RouteWorld&)>;

WorldShape
HalfLoadShape()
{
  // Ten services with two servers of two slots; each service has two shards of
  // 4 ms. With a query every 4 ms, half of the slots are in use.
  return { .services_ = 10,
           .shardsPerService_ = 2,
           .connections_ = 25,
           .maxDaemons_ = 3,
           .work_ = milliseconds(4),
           .jitter_ = 0.0 };
}

constexpr Duration kHalfLoadInterval = milliseconds(4);

Outcome
RunRouteTier(const Fault& aFault)
{
  RouteWorld world = MakeWorld(HalfLoadShape());
  AdoptWorldConfig(world);
  RunFor(world, milliseconds(300));
  for (std::size_t i = 0; i < kWarmUp; ++i) {
    SendQuery(world);
    RunFor(world, kHalfLoadInterval);
  }
  aFault(world);
  const RouteStats before = RouteStatistics(world.daemons_[0]->state_);
  world.answers_.clear();
  for (std::size_t i = 0; i < kQueries; ++i) {
    SendQuery(world);
    RunFor(world, kHalfLoadInterval);
  }
  RunFor(world, seconds(2));
  const RouteStats after = RouteStatistics(world.daemons_[0]->state_);
  Outcome outcome;
  outcome.p99_ = AnswerQuantile(world, 0.99);
  for (const auto& [id, answer] : world.answers_) {
    outcome.incomplete_ += answer.answer_.complete_ ? 0 : 1;
  }
  const std::uint64_t extra =
    after.hedges_ - before.hedges_ + after.retries_ - before.retries_;
  outcome.extra_ = static_cast<double>(extra) /
                   static_cast<double>(after.primaries_ - before.primaries_);
  return outcome;
}

Outcome
RunPlainTier(const Fault& aFault)
{
  RouteWorld world = MakeWorld(HalfLoadShape());
  PlainTier tier;
  aFault(world);
  for (std::size_t i = 0; i < kQueries; ++i) {
    SendPlainQuery(world, tier);
    RunFor(world, kHalfLoadInterval);
  }
  RunFor(world, seconds(2));
  return { PlainQuantile(tier, 0.99), tier.incomplete_, 0.0 };
}

} // namespace

TEST_GROUP(Baseline){};

TEST(Baseline, TailLatencyAgainstBaselineTierAtHalfLoad)
{
  struct Case
  {
    const char* name_;
    Fault fault_;
    double p99Share_; ///< Of the plain tier's p99, at most.
    double extra_;    ///< Extra load, at most.
  };
  const Case cases[] = {
    { "no fault", [](RouteWorld&) {}, 1.0, 0.02 },
    { "one straggler in ten servers",
      [](RouteWorld& aWorld) {
        GetServer(aWorld, "s0-0").work_ = milliseconds(40);
        GetServer(aWorld, "s5-1").work_ = milliseconds(40);
      },
      0.5,
      0.05 },
  };
  for (const Case& row : cases) {
    const Outcome ours = RunRouteTier(row.fault_);
    const Outcome plain = RunPlainTier(row.fault_);
    const std::string text =
      std::string(row.name_) + ": p99 " + std::to_string(ours.p99_.count()) +
      " us against " + std::to_string(plain.p99_.count()) + " us, extra " +
      std::to_string(ours.extra_) + ", incomplete " +
      std::to_string(ours.incomplete_);
    CHECK_TRUE_TEXT(static_cast<double>(ours.p99_.count()) <=
                      row.p99Share_ * static_cast<double>(plain.p99_.count()),
                    text.c_str());
    CHECK_TRUE_TEXT(ours.extra_ <= row.extra_, text.c_str());
    LONGS_EQUAL_TEXT(0, ours.incomplete_, text.c_str());
  }
}
