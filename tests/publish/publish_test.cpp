// Publishing without faults: apply, check, rollback, queries and conflicts.
#include "publish/fleet_fixture.h"

#include "core/result_func.h"

#include <string>
#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace camphorfield;
using namespace camphorfield::test;
using namespace std::chrono_literals;

TEST_GROUP(Publish){};

TEST(Publish, ChangeReachesAllDaemons)
{
  Fleet fleet(6, 3, 1);
  fleet.Start();
  for (const FakeDaemon& daemon : fleet.daemons_) {
    CHECK_TRUE(PublishIsConfirmed(daemon.state_));
    STRCMP_EQUAL(
      "", PublishNotReadyReason(daemon.state_, { fleet.now_, 0 }).c_str());
  }
  const OperatorAnswer answer =
    fleet.ApplyAndWait(3, LimitsDocument("normal", 77, 1), "second");
  CHECK_TRUE(answer.code_ == ResultCode::Ok);
  LONGS_EQUAL(2, NumberOf(answer, "generation"));
  CHECK_TRUE(fleet.RunUntil([&] { return fleet.AllAt(Generation{ 2 }); }, 5s));
  for (const FakeDaemon& daemon : fleet.daemons_) {
    const auto config = PublishCurrent(daemon.state_);
    LONGS_EQUAL(77, config->set_.limits_.at("normal").maxInFlight_);
    STRCMP_EQUAL("second", config->changeId_.c_str());
  }
  fleet.CheckInvariants();
}

TEST(Publish, FaultyChangeIsRejectedAsAWhole)
{
  Fleet fleet(3, 3, 2);
  fleet.Start();
  const std::string document = R"({"based_on":1,"put":[
    {"kind":"limits","name":"normal","max_in_flight":50},
    {"kind":"limits","name":"batch","max_in_flight":0},
    {"kind":"service","name":"desk-0","servers":[]}]})";
  for (const OperatorOp op : { OperatorOp::Check, OperatorOp::Apply }) {
    const OperatorAnswer answer =
      fleet.RequestAndWait(0, { {}, op, document, "faulty", {} });
    CHECK_TRUE(answer.code_ == ResultCode::ConfigRejected);
    STRCMP_CONTAINS("IN_FLIGHT_RANGE", answer.text_.c_str());
    STRCMP_CONTAINS("SERVICE_EMPTY", answer.text_.c_str());
  }
  fleet.Run(10s);
  CHECK_TRUE(fleet.AllAt(Generation{ 1 }));
  LONGS_EQUAL(1, fleet.CountRecords(TimelineKind::ConfigRejected));
}

TEST(Publish, CheckReturnsDiff)
{
  Fleet fleet(1, 1, 3);
  fleet.Start();
  const OperatorAnswer answer = fleet.RequestAndWait(
    0, { {}, OperatorOp::Check, LimitsDocument("normal", 5, 1), "", {} });
  CHECK_TRUE(answer.code_ == ResultCode::Ok);
  STRCMP_CONTAINS("max_in_flight", answer.text_.c_str());
  STRCMP_CONTAINS("changed", answer.text_.c_str());
  CHECK_TRUE(fleet.AllAt(Generation{ 1 }));
}

TEST(Publish, ConcurrentChangesToOneObjectConflict)
{
  for (std::uint64_t seed = 1; seed <= 20; seed++) {
    Fleet fleet(6, 3, seed);
    fleet.Start();
    const auto a = fleet.Apply(1, LimitsDocument("normal", 11, 1), "one");
    fleet.Run(std::chrono::microseconds(seed * 700));
    const auto b = fleet.Apply(4, LimitsDocument("normal", 22, 1), "two");
    fleet.Run(10s);
    const OperatorAnswer* first = fleet.FindAnswer(a);
    const OperatorAnswer* second = fleet.FindAnswer(b);
    const bool firstWon = first->code_ == ResultCode::Ok;
    const OperatorAnswer* loser = firstWon ? second : first;
    CHECK_TRUE((firstWon ? first : second)->code_ == ResultCode::Ok);
    CHECK_TRUE(loser->code_ == ResultCode::ConfigConflict);
    STRCMP_CONTAINS("limits/normal", loser->text_.c_str());
    STRCMP_CONTAINS(firstWon ? "\"one\"" : "\"two\"", loser->text_.c_str());
    CHECK_TRUE(fleet.AllAt(Generation{ 2 }));
    fleet.CheckInvariants();
  }
}

TEST(Publish, ConcurrentChangesToDifferentObjectsAreAccepted)
{
  for (std::uint64_t seed = 1; seed <= 20; seed++) {
    Fleet fleet(6, 3, seed);
    fleet.Start();
    const auto a = fleet.Apply(1, LimitsDocument("normal", 11, 1), "one");
    fleet.Run(std::chrono::microseconds(seed * 700));
    const auto b = fleet.Apply(4, LimitsDocument("batch", 22, 1), "two");
    fleet.Run(10s);
    CHECK_TRUE(fleet.FindAnswer(a)->code_ == ResultCode::Ok);
    CHECK_TRUE(fleet.FindAnswer(b)->code_ == ResultCode::Ok);
    CHECK_TRUE(fleet.AllAt(Generation{ 3 }));
    const ConfigSet& set = PublishCurrent(fleet.daemons_[0].state_)->set_;
    LONGS_EQUAL(11, set.limits_.at("normal").maxInFlight_);
    LONGS_EQUAL(22, set.limits_.at("batch").maxInFlight_);
    fleet.CheckInvariants();
  }
}

TEST(Publish, RepeatedChangeIdReturnsSameAnswer)
{
  Fleet fleet(3, 3, 4);
  fleet.Start();
  const std::string document = LimitsDocument("normal", 11, 1);
  const OperatorAnswer first = fleet.ApplyAndWait(0, document, "once");
  for (std::size_t daemon = 0; daemon < 3; daemon++) {
    const OperatorAnswer again = fleet.ApplyAndWait(daemon, document, "once");
    STRCMP_EQUAL(first.text_.c_str(), again.text_.c_str());
  }
  CHECK_TRUE(
    fleet.ApplyAndWait(1, LimitsDocument("normal", 12, 2), "next").code_ ==
    ResultCode::Ok);
  STRCMP_EQUAL(first.text_.c_str(),
               fleet.ApplyAndWait(2, document, "once").text_.c_str());
  const OperatorAnswer other =
    fleet.ApplyAndWait(1, LimitsDocument("normal", 13, 3), "once");
  CHECK_TRUE(other.code_ == ResultCode::ConfigRejected);
  STRCMP_CONTAINS("CHANGE_ID_REUSED", other.text_.c_str());
  const OperatorAnswer bad = fleet.ApplyAndWait(1, document, "no id");
  STRCMP_CONTAINS("CHANGE_ID_MALFORMED", bad.text_.c_str());
  fleet.Run(5s);
  CHECK_TRUE(fleet.AllAt(Generation{ 3 }));
}

TEST(Publish, RepeatedChangeOlderThanHistoryIsRejected)
{
  Fleet fleet(1, 1, 5);
  fleet.Start();
  const std::string document = LimitsDocument("batch", 11, 1);
  CHECK_TRUE(fleet.ApplyAndWait(0, document, "old").code_ == ResultCode::Ok);
  for (std::uint64_t i = 2; i < 600; i++) {
    const std::string id = "c" + std::to_string(i);
    const OperatorAnswer answer =
      fleet.ApplyAndWait(0, LimitsDocument("normal", 10, i), id);
    CHECK_TRUE(answer.code_ == ResultCode::Ok);
  }
  const OperatorAnswer again = fleet.ApplyAndWait(0, document, "old");
  CHECK_TRUE(again.code_ == ResultCode::ConfigConflict);
  STRCMP_CONTAINS("older than the history", again.text_.c_str());
  CHECK_TRUE(fleet.AllAt(Generation{ 600 }));
  fleet.Run(20s);
  // The store holds little more than the retained generations.
  CHECK_TRUE(fleet.store_.objects_.size() < 3 * kRetainedGenerations);
  CHECK_TRUE(
    fleet.store_.objects_.at("camphorfield/config/pointer").value_.size() <=
    kMaxPointerBytes);
}

TEST(Publish, RollbackCreatesNewGeneration)
{
  Fleet fleet(3, 3, 6);
  fleet.Start();
  const std::uint64_t before = PublishCurrent(fleet.daemons_[0].state_)
                                 ->set_.limits_.at("normal")
                                 .maxInFlight_;
  fleet.ApplyAndWait(0, LimitsDocument("normal", 11, 1), "two");
  fleet.ApplyAndWait(1, LimitsDocument("extra", 12, 2), "three");
  const OperatorAnswer answer = fleet.RequestAndWait(
    2, { {}, OperatorOp::Rollback, "", "back", Generation{ 1 } });
  CHECK_TRUE(answer.code_ == ResultCode::Ok);
  LONGS_EQUAL(4, NumberOf(answer, "generation"));
  fleet.Run(5s);
  CHECK_TRUE(fleet.AllAt(Generation{ 4 }));
  CHECK_TRUE(fleet.contents_.at(Generation{ 1 }) ==
             fleet.contents_.at(Generation{ 4 }));
  LONGS_EQUAL(before,
              PublishCurrent(fleet.daemons_[1].state_)
                ->set_.limits_.at("normal")
                .maxInFlight_);
  const OperatorAnswer none = fleet.RequestAndWait(
    2, { {}, OperatorOp::Rollback, "", "back-2", Generation{ 99 } });
  CHECK_TRUE(none.code_ == ResultCode::NotFound);
  const OperatorAnswer history =
    fleet.RequestAndWait(1, { {}, OperatorOp::History, "", "", {} });
  STRCMP_CONTAINS("\"back\"", history.text_.c_str());
  fleet.CheckInvariants();
}

TEST(Publish, AnyRetainedGenerationCanBeRolledBackTo)
{
  Fleet fleet(2, 1, 7);
  fleet.Start();
  for (std::uint64_t i = 1; i < 100; i++) {
    const std::string id = "c" + std::to_string(i);
    fleet.ApplyAndWait(i % 2, LimitsDocument("normal", 100 + i, i), id);
  }
  fleet.Run(5s);
  // Each rollback publishes a generation, so that the window of retained ones
  // moves by one; the target moves by two.
  for (std::uint64_t i = 0; i < 10; i++) {
    const Generation oldest{ 100 - kRetainedGenerations + 1 + 2 * i };
    const OperatorAnswer answer = fleet.RequestAndWait(
      0, { {}, OperatorOp::Rollback, "", "r" + std::to_string(i), oldest });
    CHECK_TRUE(answer.code_ == ResultCode::Ok);
    fleet.Run(2s);
    CHECK_TRUE(fleet.contents_.at(oldest) ==
               fleet.contents_.at(Generation{ 101 + i }));
  }
  fleet.CheckInvariants();
}

TEST(Publish, GetReturnsConfigInForce)
{
  Fleet fleet(2, 1, 8);
  fleet.Start();
  const OperatorAnswer answer =
    fleet.RequestAndWait(1, { {}, OperatorOp::Get, "", "", {} });
  LONGS_EQUAL(1, NumberOf(answer, "generation"));
  STRCMP_CONTAINS("\"desk-1b\"", answer.text_.c_str());
}

TEST(Publish, StoppingDaemonRejectsChanges)
{
  Fleet fleet(2, 1, 9);
  fleet.Start();
  fleet.Stop(0);
  const OperatorAnswer answer =
    fleet.ApplyAndWait(0, LimitsDocument("normal", 5, 1), "late");
  CHECK_TRUE(answer.code_ == ResultCode::Stopping);
  CHECK_FALSE(PublishIsWatcher(fleet.daemons_[0].state_));
  CHECK_TRUE(PublishIsIdle(fleet.daemons_[0].state_));
}
