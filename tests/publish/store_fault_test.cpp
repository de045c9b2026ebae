// Faults of the store: lost replies, late swaps, outages, restored, emptied and
// corrupted objects.
#include "publish/fleet_fixture.h"

#include "core/result_func.h"

#include <string>
#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace camphorfield;
using namespace camphorfield::test;
using namespace std::chrono_literals;

namespace {

/** Faults while a change is published, and the expected answer. */
struct SwapCase
{
  const char* name_;
  int loseReplies_;
  int loseRequests_;
  Duration lateEffect_;
  int throttle_;
  bool downAfterSwap_;
  Duration outage_; ///< Zero: the store stays up.
  ResultCode code_;
};

const std::vector<SwapCase> kSwapCases{
  { "reply lost", 1, 0, 0s, 0, false, 0s, ResultCode::Ok },
  { "three replies lost", 3, 0, 0s, 0, false, 0s, ResultCode::Ok },
  { "request lost", 0, 1, 0s, 0, false, 0s, ResultCode::Ok },
  { "three requests lost", 0, 3, 0s, 0, false, 0s, ResultCode::Ok },
  { "request late by 1 s", 0, 1, 1s, 0, false, 0s, ResultCode::Ok },
  { "request late by 2.1 s", 0, 1, 2100ms, 0, false, 0s, ResultCode::Ok },
  { "request late by 9 s", 0, 2, 9s, 0, false, 0s, ResultCode::Ok },
  { "throttled", 0, 0, 0s, 6, false, 0s, ResultCode::Ok },
  { "reply lost, then down 60 s", 1, 0, 0s, 0, true, 60s, ResultCode::Ok },
  { "request lost, then down 60 s", 0, 1, 0s, 0, false, 60s, ResultCode::Ok },
  { "reply lost, then down 10 min",
    1,
    0,
    0s,
    0,
    true,
    600s,
    ResultCode::ConfigUnknown },
};

} // namespace

TEST_GROUP(StoreFault){};

TEST(StoreFault, OperatorAnswerMatchesSwapOutcome)
{
  for (const SwapCase& test : kSwapCases) {
    Fleet fleet(6, 3, 11);
    fleet.Start();
    fleet.store_.loseReplies_ = test.loseReplies_;
    fleet.store_.loseRequests_ = test.loseRequests_;
    fleet.store_.lateEffect_ = test.lateEffect_;
    fleet.store_.throttle_ = test.throttle_;
    fleet.store_.downAfterSwap_ = test.downAfterSwap_;
    const std::string document = LimitsDocument("normal", 5, 1);
    const auto id = fleet.Apply(2, document, "change");
    if (test.outage_.count() > 0) {
      fleet.Run(1s);
      fleet.store_.down_ = true;
      fleet.Run(test.outage_);
      fleet.store_.down_ = false;
    }
    CHECK_TRUE_TEXT(
      fleet.RunUntil([&] { return fleet.FindAnswer(id) != nullptr; }, 60s),
      test.name_);
    CHECK_TRUE_TEXT(fleet.FindAnswer(id)->code_ == test.code_, test.name_);
    fleet.Run(20s);
    CHECK_TRUE_TEXT(fleet.AllAt(Generation{ 2 }), test.name_);
    // A query by change id and a repeat to another daemon get the same answer.
    const OperatorAnswer queried =
      fleet.RequestAndWait(4, { {}, OperatorOp::Change, "", "change", {} });
    CHECK_TRUE_TEXT(queried.code_ == ResultCode::Ok, test.name_);
    LONGS_EQUAL(2, NumberOf(queried, "generation"));
    const OperatorAnswer again = fleet.ApplyAndWait(5, document, "change");
    STRCMP_EQUAL(queried.text_.c_str(), again.text_.c_str());
    fleet.CheckInvariants();
  }
}

TEST(StoreFault, LateSwapIsNeverReportedAsFailed)
{
  // The swap takes effect 20 s late. The store goes down at some point of the
  // read-back, before or after that has returned the old version.
  std::size_t published = 0;
  for (int downMs = 2000; downMs < 2200; downMs += 4) {
    Fleet fleet(2, 1, 18);
    fleet.Start();
    fleet.store_.loseRequests_ = 1;
    fleet.store_.lateEffect_ = 20s;
    const auto id = fleet.Apply(0, LimitsDocument("normal", 5, 1), "late");
    fleet.Run(std::chrono::milliseconds(downMs));
    fleet.store_.down_ = true;
    fleet.Run(300s);
    fleet.store_.down_ = false;
    fleet.Run(10s);
    const OperatorAnswer queried =
      fleet.RequestAndWait(1, { {}, OperatorOp::Change, "", "late", {} });
    CHECK_TRUE(queried.code_ == ResultCode::Ok);
    published += NumberOf(queried, "generation") == 2 ? 1 : 0;
    const ResultCode reported = fleet.FindAnswer(id)->code_;
    CHECK_TRUE(reported == ResultCode::Ok ||
               reported == ResultCode::ConfigUnknown);
    fleet.CheckInvariants();
  }
  LONGS_EQUAL(50, published);
}

TEST(StoreFault, ApplyFailsWhileStoreIsDown)
{
  Fleet fleet(3, 3, 12);
  fleet.Start();
  fleet.store_.down_ = true;
  const OperatorAnswer answer =
    fleet.ApplyAndWait(0, LimitsDocument("normal", 5, 1), "change", 60s);
  CHECK_TRUE(answer.code_ == ResultCode::StoreUnavailable);
  CHECK_TRUE(fleet.CountRecords(TimelineKind::StoreLost) > 0);
  fleet.store_.down_ = false;
  fleet.Run(60s);
  CHECK_TRUE(fleet.AllAt(Generation{ 1 }));
  const OperatorAnswer queried =
    fleet.RequestAndWait(1, { {}, OperatorOp::Change, "", "change", {} });
  CHECK_TRUE(queried.code_ == ResultCode::NotFound);
  LONGS_EQUAL(fleet.CountRecords(TimelineKind::StoreLost),
              fleet.CountRecords(TimelineKind::StoreFound));
}

TEST(StoreFault, StoreRestoredFromOldCopyIsRepaired)
{
  Fleet fleet(6, 3, 13);
  fleet.Start();
  const auto copy = fleet.store_.objects_;
  fleet.ApplyAndWait(0, LimitsDocument("normal", 11, 1), "two");
  fleet.ApplyAndWait(1, LimitsDocument("normal", 12, 2), "three");
  fleet.Run(2s);
  fleet.store_.objects_ = copy;
  fleet.Run(30s);
  CHECK_TRUE(fleet.CountRecords(TimelineKind::GenerationRefused) > 0);
  CHECK_TRUE(fleet.AllAt(Generation{ 4 }));
  CHECK_TRUE(fleet.contents_.at(Generation{ 3 }) ==
             fleet.contents_.at(Generation{ 4 }));
  // The next change gets a higher generation, and the history is complete.
  const OperatorAnswer next =
    fleet.ApplyAndWait(2, LimitsDocument("batch", 13, 4), "next");
  LONGS_EQUAL(5, NumberOf(next, "generation"));
  const OperatorAnswer old =
    fleet.ApplyAndWait(5, LimitsDocument("normal", 12, 2), "three");
  LONGS_EQUAL(3, NumberOf(old, "generation"));
  // A fleet that restarts from the store alone gets the same.
  for (std::size_t i = 0; i < 6; i++) {
    fleet.Restart(i);
  }
  fleet.Run(5s);
  CHECK_TRUE(fleet.AllAt(Generation{ 5 }));
  fleet.CheckInvariants();
}

TEST(StoreFault, ApplyAfterStoreRestoreKeepsAcceptedChanges)
{
  for (std::uint64_t seed = 1; seed <= 10; seed++) {
    Fleet fleet(6, 3, seed);
    fleet.Start();
    const auto copy = fleet.store_.objects_;
    fleet.ApplyAndWait(0, LimitsDocument("normal", 11, 1), "two");
    fleet.Run(2s);
    fleet.store_.objects_ = copy;
    fleet.Run(std::chrono::milliseconds(seed * 3));
    const OperatorAnswer next =
      fleet.ApplyAndWait(3, LimitsDocument("batch", 13, 2), "next");
    CHECK_TRUE(next.code_ == ResultCode::Ok);
    CHECK_TRUE(NumberOf(next, "generation") > 2);
    fleet.Run(30s);
    const ConfigSet& set = PublishCurrent(fleet.daemons_[5].state_)->set_;
    LONGS_EQUAL(11, set.limits_.at("normal").maxInFlight_);
    LONGS_EQUAL(13, set.limits_.at("batch").maxInFlight_);
    fleet.CheckInvariants();
  }
}

TEST(StoreFault, EmptiedStoreIsRepaired)
{
  Fleet fleet(3, 3, 14);
  fleet.Start();
  fleet.store_.objects_.clear();
  fleet.Run(30s);
  CHECK_TRUE(fleet.AllAt(Generation{ 2 }));
  CHECK_TRUE(fleet.contents_.at(Generation{ 1 }) ==
             fleet.contents_.at(Generation{ 2 }));
  fleet.CheckInvariants();
}

TEST(StoreFault, StaleReadsDoNotRevertGeneration)
{
  Fleet fleet(6, 3, 15);
  fleet.Start();
  const auto copy = fleet.store_.objects_;
  fleet.ApplyAndWait(0, LimitsDocument("normal", 11, 1), "two");
  fleet.Run(2s);
  fleet.store_.stale_ = copy;
  fleet.ResetCounts();
  fleet.Run(60s);
  CHECK_TRUE(fleet.AllAt(Generation{ 2 }));
  // Watches that end at once don't cause a flood of calls.
  CHECK_TRUE(fleet.StoreCalls() < 3600);
  // A daemon that starts now must still catch up with its peers.
  fleet.Restart(5);
  fleet.Run(10s);
  CHECK_TRUE(fleet.AllAt(Generation{ 2 }));
  fleet.store_.stale_.reset();
  fleet.Run(10s);
  CHECK_TRUE(
    fleet.ApplyAndWait(1, LimitsDocument("normal", 12, 2), "three").code_ ==
    ResultCode::Ok);
  fleet.Run(10s);
  LONGS_EQUAL(12,
              PublishCurrent(fleet.daemons_[5].state_)
                ->set_.limits_.at("normal")
                .maxInFlight_);
  fleet.CheckInvariants();
}

TEST(StoreFault, UnreadablePointerIsIgnored)
{
  Fleet fleet(3, 3, 16);
  fleet.Start();
  PlatformObject& pointer =
    fleet.store_.objects_.at("camphorfield/config/pointer");
  const std::string good = pointer.value_;
  pointer.value_ = "{\"format\":1";
  pointer.version_ = ++fleet.store_.lastVersion_;
  fleet.Run(5s);
  CHECK_TRUE(fleet.AllAt(Generation{ 1 }));
  CHECK_TRUE(fleet.CountRecords(TimelineKind::GenerationRefused) > 0);
  CHECK_TRUE(
    fleet.ApplyAndWait(0, LimitsDocument("normal", 2, 1), "x", 60s).code_ ==
    ResultCode::StoreUnavailable);
}

TEST(StoreFault, ChunkWithWrongDigestIsRejected)
{
  Fleet fleet(3, 3, 17);
  fleet.Start();
  fleet.store_.objects_.at("camphorfield/config/pointer");
  for (auto& [key, object] : fleet.store_.objects_) {
    if (key.find("/chunk/") != std::string::npos) {
      object.value_ += " ";
    }
  }
  for (std::size_t i = 0; i < 3; i++) {
    fleet.Restart(i);
  }
  fleet.Run(20s);
  for (const FakeDaemon& daemon : fleet.daemons_) {
    CHECK_TRUE(PublishCurrent(daemon.state_) == nullptr);
    CHECK_FALSE(PublishIsConfirmed(daemon.state_));
  }
  CHECK_TRUE(fleet.CountRecords(TimelineKind::GenerationRefused) > 0);
}
