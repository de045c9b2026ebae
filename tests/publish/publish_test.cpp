#include "publish/fleet_fixture.h"

#include "core/result_func.h"

#include <cstdio>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace camphorfield;
using namespace camphorfield::test;
using namespace std::chrono_literals;

namespace {

/** Start a fleet and publish the base document. */
void
StartFleet(Fleet& aFleet)
{
  aFleet.Run(2s);
  const OperatorAnswer answer = aFleet.ApplyNow(0, BaseDocument(), "base");
  CHECK_TRUE(answer.code_ == ResultCode::Ok);
  CHECK_TRUE(
    aFleet.RunUntil([&] { return aFleet.AllAt(Generation{ 1 }); }, 5s));
  aFleet.Run(2s);
}

void
CheckSound(const Fleet& aFleet)
{
  LONGS_EQUAL(0, aFleet.reversals_);
  LONGS_EQUAL(0, aFleet.forks_);
}

} // namespace

TEST_GROUP(Publish){};

TEST(Publish, AChangeIsInForceEverywhere)
{
  Fleet fleet(6, 3, 1);
  StartFleet(fleet);
  for (const FakeDaemon& daemon : fleet.daemons_) {
    CHECK_TRUE(PublishIsConfirmed(daemon.state_));
    STRCMP_EQUAL(
      "", PublishNotReadyReason(daemon.state_, { fleet.now_, 0 }).c_str());
  }
  const OperatorAnswer answer =
    fleet.ApplyNow(3, LimitsDocument("normal", 77, 1), "second");
  CHECK_TRUE(answer.code_ == ResultCode::Ok);
  LONGS_EQUAL(2, NumberOf(answer, "generation"));
  CHECK_TRUE(fleet.RunUntil([&] { return fleet.AllAt(Generation{ 2 }); }, 5s));
  for (const FakeDaemon& daemon : fleet.daemons_) {
    const auto config = PublishCurrent(daemon.state_);
    LONGS_EQUAL(77, config->set_.limits_.at("normal").maxInFlight_);
    STRCMP_EQUAL("second", config->changeId_.c_str());
  }
  CheckSound(fleet);
}
