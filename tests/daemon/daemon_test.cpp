// Lifecycle of a daemon: refusals before readiness, graceful shutdown and
// Ticks.

#include "daemon/daemon_func.h"

#include <CppUTest/TestHarness.h>
#include <optional>

using namespace camphorfield;

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);

DaemonSettings
MakeSettings()
{
  DaemonSettings settings;
  settings.name_ = "d1";
  settings.failureDomain_ = "fd-a";
  settings.callerAddress_ = "127.0.0.1:1";
  settings.peerAddress_ = "127.0.0.1:2";
  settings.operatorAddress_ = "127.0.0.1:3";
  settings.platformAddress_ = "127.0.0.1:4";
  settings.incarnation_ = Incarnation{ 7 };
  settings.entriesKeepFor_ = std::chrono::seconds(5);
  return settings;
}

/** Last decision of a type, if there is one. */
template<typename Item>
std::optional<Item>
Find(const Decisions& aDecisions)
{
  std::optional<Item> found;
  for (const Decision& decision : aDecisions) {
    if (const Item* item = std::get_if<Item>(&decision)) {
      found = *item;
    }
  }
  return found;
}

struct RefusalCase
{
  const char* name_;
  RouteMode mode_;
  const char* key_;
  ResultCode code_;
};

} // namespace

TEST_GROUP(Daemon)
{
  Rng rng_{ 1 };
  Now now_{ TimePoint(std::chrono::seconds(1000)), 1'700'000'000'000'000 };
  DaemonState state_;

  void setup() override
  {
    state_ = MakeDaemonState(MakeSettings(), now_, rng_);
  }

  Decisions Send(const Event& aEvent)
  {
    Decisions out;
    DaemonOnEvent(state_, aEvent, now_, rng_, out);
    return out;
  }

  void Advance(Duration aTime)
  {
    now_.mono_ += aTime;
    now_.unixMicros_ += aTime.count();
  }

  /** Time until ExitProcess, or nothing if the limit passes first. */
  std::optional<Duration> RunUntilExit(Duration aLimit)
  {
    for (Duration passed{}; passed < aLimit; passed += kStep) {
      if (Find<ExitProcess>(Send(Tick{}))) {
        return passed;
      }
      Advance(kStep);
    }
    return std::nullopt;
  }
};

// A daemon that is not ready refuses queries and orders without a key as not
// run. An order with a key may already have run through another daemon, and a
// daemon that cannot look up its outcome must not answer "not run".
TEST(Daemon, RefusalBeforeReadyDependsOnModeAndKey)
{
  constexpr RefusalCase kCases[] = {
    { "query", RouteMode::Query, "", ResultCode::NotReady },
    { "order without key", RouteMode::Order, "", ResultCode::NotReady },
    { "order", RouteMode::Order, "k", ResultCode::OrderNotAccepted },
  };
  for (const RefusalCase& test : kCases) {
    CallerRequest request;
    request.id_ = CallerRequestId{ 5 };
    request.mode_ = test.mode_;
    request.caller_ = "c";
    request.route_ = "r";
    request.idempotencyKey_ = test.key_;
    const Decisions out = Send(request);
    const auto query = Find<QueryAnswer>(out);
    const auto order = Find<OrderAnswer>(out);
    CHECK_TRUE_TEXT(query.has_value() != order.has_value(), test.name_);
    const ResultCode code = query ? query->code_ : order->code_;
    CHECK_TRUE_TEXT(code == test.code_, test.name_);
    LONGS_EQUAL(0, GetInFlight(state_).queries_ + GetInFlight(state_).orders_);
  }
}

TEST(Daemon, GracefulStopWaitsForCachedEntriesAndExitsOnce)
{
  Send(Tick{});
  Send(StopRequested{ "test" });
  Send(StopRequested{ "again" });
  const auto passed = RunUntilExit(std::chrono::seconds(30));
  CHECK_TRUE(passed.has_value());
  CHECK_TRUE(*passed >= state_.settings_.entriesKeepFor_);
  CHECK_FALSE(RunUntilExit(std::chrono::seconds(1)).has_value());
}

// A package may be due again at once, but after a few Ticks the next one must
// be in the future, or the daemon spins.
TEST(Daemon, LateTicksDoNotMakeTheDaemonSpin)
{
  constexpr int kSteps = 3;
  for (int i = 0; i < 2000; ++i) {
    for (int j = 0; j < kSteps; ++j) {
      Send(Tick{});
    }
    CHECK_TRUE(DaemonNextWake(state_) > now_.mono_);
    Advance(i % 7 == 0 ? std::chrono::seconds(2) : kStep);
  }
}

TEST(Daemon, StatusReportsWhyNotReady)
{
  OperatorRequest request;
  request.id_ = OperatorRequestId{ 3 };
  request.op_ = OperatorOp::Status;
  const auto answer = Find<OperatorAnswer>(Send(request));
  CHECK_TRUE(answer.has_value());
  STRCMP_CONTAINS("\"ready\":false", answer->text_.c_str());
  STRCMP_CONTAINS("why_not_ready", answer->text_.c_str());
}

TEST(Daemon, NoEntriesBeforeReadiness)
{
  EntriesRequest request;
  request.id_ = CallerRequestId{ 4 };
  request.tokens_ = 2;
  const auto answer = Find<EntriesAnswer>(Send(request));
  CHECK_TRUE(answer.has_value());
  CHECK_TRUE(answer->code_ == ResultCode::NotReady);
}
