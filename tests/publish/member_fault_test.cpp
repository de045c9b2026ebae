// Faults of daemons: restarts, pauses, crashes, and cuts from the store or from
// peers.
#include "publish/fleet_fixture.h"

#include "core/result_func.h"

#include <string>
#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace camphorfield;
using namespace camphorfield::test;
using namespace std::chrono_literals;

TEST_GROUP(MemberFault){};

TEST(MemberFault, StartDuringStoreOutageLoadsFromPeers)
{
  Fleet fleet(6, 3, 21);
  fleet.Start();
  fleet.ApplyAndWait(0, LimitsDocument("normal", 11, 1), "two");
  fleet.Run(2s);
  fleet.store_.down_ = true;
  fleet.Restart(4);
  fleet.Run(5s);
  CHECK_TRUE(fleet.AllAt(Generation{ 2 }));
  CHECK_TRUE(PublishIsConfirmed(fleet.daemons_[4].state_));
  fleet.CheckInvariants();
}

TEST(MemberFault, NotReadyReasonWithoutStoreAndPeers)
{
  Fleet fleet(3, 3, 22);
  fleet.Start();
  fleet.store_.down_ = true;
  fleet.daemons_[1].cutFromPeers_ = true;
  fleet.Restart(1);
  fleet.Run(12s);
  const PublishState& state = fleet.daemons_[1].state_;
  CHECK_TRUE(PublishCurrent(state) == nullptr);
  CHECK_FALSE(PublishIsConfirmed(state));
  STRCMP_EQUAL("the store has not answered for 12 s; no peer was heard of",
               PublishNotReadyReason(state, { fleet.now_, 0 }).c_str());
  fleet.daemons_[1].cutFromPeers_ = false;
  fleet.Run(10s);
  CHECK_TRUE(PublishIsConfirmed(state));
}

TEST(MemberFault, NotReadyBeforeFirstConfiguration)
{
  Fleet fleet(3, 3, 23);
  fleet.Run(10s);
  for (const FakeDaemon& daemon : fleet.daemons_) {
    CHECK_FALSE(PublishIsConfirmed(daemon.state_));
    STRCMP_EQUAL(
      "no configuration has been published",
      PublishNotReadyReason(daemon.state_, { fleet.now_, 0 }).c_str());
  }
}

TEST(MemberFault, LaggingPeerDoesNotRevertOthers)
{
  Fleet fleet(6, 3, 24);
  fleet.Start();
  fleet.daemons_[2].cutFromPeers_ = true;
  fleet.daemons_[2].cutFromStore_ = true;
  fleet.ApplyAndWait(0, LimitsDocument("normal", 11, 1), "two");
  fleet.ApplyAndWait(0, LimitsDocument("normal", 12, 2), "three");
  fleet.Run(5s);
  LONGS_EQUAL(1, PublishCurrent(fleet.daemons_[2].state_)->generation_.value_);
  fleet.daemons_[2].cutFromPeers_ = false;
  fleet.Run(5s);
  CHECK_TRUE(fleet.AllAt(Generation{ 3 }));
  fleet.CheckInvariants();
}

TEST(MemberFault, PausedPublisherIsFenced)
{
  // The pauses begin while it reads, writes chunks, writes the manifest, and
  // before the swap.
  for (int pauseMs = 0; pauseMs <= 40; pauseMs += 2) {
    for (const bool sameObject : { true, false }) {
      Fleet fleet(6, 3, 25);
      fleet.Start();
      const auto paused =
        fleet.Apply(1, LimitsDocument("normal", 11, 1), "paused");
      fleet.Run(std::chrono::milliseconds(pauseMs));
      fleet.Pause(1, true);
      const std::string name = sameObject ? "normal" : "batch";
      const OperatorAnswer other =
        fleet.ApplyAndWait(4, LimitsDocument(name, 22, 1), "other");
      fleet.Run(10s);
      fleet.Pause(1, false);
      fleet.Run(10s);
      const OperatorAnswer* answer = fleet.FindAnswer(paused);
      if (answer == nullptr) {
        FAIL("no answer to the paused change");
        return;
      }
      const bool first = answer->code_ == ResultCode::Ok;
      const bool second = other.code_ == ResultCode::Ok;
      // Exactly one of two changes to the same object is accepted.
      CHECK_TRUE(sameObject ? first != second : second);
      const ConfigSet& set = PublishCurrent(fleet.daemons_[1].state_)->set_;
      const std::uint32_t now = set.limits_.at("normal").maxInFlight_;
      LONGS_EQUAL(first ? 11 : sameObject ? 22 : 1000, now);
      const std::uint64_t expected = 1 + (first ? 1 : 0) + (second ? 1 : 0);
      CHECK_TRUE(fleet.AllAt(Generation{ expected }));
      fleet.CheckInvariants();
    }
  }
}

TEST(MemberFault, PublisherCrashLeavesNoPartialPublish)
{
  for (int killMs = 0; killMs <= 40; killMs++) {
    Fleet fleet(6, 3, 26);
    fleet.Start();
    fleet.Apply(1, LimitsDocument("normal", 11, 1), "lost");
    fleet.Run(std::chrono::milliseconds(killMs));
    fleet.Kill(1);
    fleet.Run(5s);
    const OperatorAnswer queried =
      fleet.RequestAndWait(2, { {}, OperatorOp::Change, "", "lost", {} });
    const bool published = queried.code_ == ResultCode::Ok;
    CHECK_TRUE(published || queried.code_ == ResultCode::NotFound);
    CHECK_TRUE(fleet.AllAt(Generation{ published ? 2UL : 1UL }));
    // A repeat under the same id is applied only once.
    const OperatorAnswer again =
      fleet.ApplyAndWait(3, LimitsDocument("normal", 11, 1), "lost");
    LONGS_EQUAL(2, NumberOf(again, "generation"));
    fleet.Run(5s);
    CHECK_TRUE(fleet.AllAt(Generation{ 2 }));
    fleet.CheckInvariants();
  }
}

TEST(MemberFault, DaemonsCutOffFromStoreFollowPeers)
{
  Fleet fleet(60, 4, 27);
  fleet.Start();
  for (std::size_t i = 0; i < 20; i++) {
    fleet.daemons_[i].cutFromStore_ = true;
  }
  fleet.ApplyAndWait(30, LimitsDocument("normal", 11, 1), "two");
  CHECK_TRUE(fleet.RunUntil([&] { return fleet.AllAt(Generation{ 2 }); }, 1s));
  // All watchers of a failure domain may be cut off: other domains send it.
  for (std::size_t i = 0; i < 60; i++) {
    fleet.daemons_[i].cutFromStore_ = i % 4 != 0;
  }
  fleet.ApplyAndWait(40, LimitsDocument("normal", 12, 2), "three");
  CHECK_TRUE(fleet.RunUntil([&] { return fleet.AllAt(Generation{ 3 }); }, 1s));
  fleet.CheckInvariants();
}

TEST(MemberFault, StoreOutageAfterSwapDoesNotStopPropagation)
{
  for (const std::size_t daemons : { 6UL, 60UL }) {
    Fleet fleet(daemons, 3, 28);
    fleet.Start();
    fleet.store_.downAfterSwap_ = true;
    const auto id = fleet.Apply(2, LimitsDocument("normal", 11, 1), "two");
    CHECK_TRUE(
      fleet.RunUntil([&] { return fleet.AllAt(Generation{ 2 }); }, 5s));
    CHECK_TRUE(fleet.FindAnswer(id)->code_ == ResultCode::Ok);
    fleet.CheckInvariants();
  }
}

TEST(MemberFault, NoticesPropagateWithoutGossip)
{
  Fleet fleet(20, 4, 29);
  fleet.Start();
  fleet.gossip_ = false;
  fleet.ApplyAndWait(2, LimitsDocument("normal", 11, 1), "two");
  fleet.Run(2s);
  std::size_t follow = 0;
  for (const FakeDaemon& daemon : fleet.daemons_) {
    follow += PublishCurrent(daemon.state_)->generation_.value_ == 2 ? 1 : 0;
  }
  CHECK_TRUE(follow >= 15);
  fleet.gossip_ = true;
  fleet.Run(1s);
  CHECK_TRUE(fleet.AllAt(Generation{ 2 }));
}

TEST(MemberFault, PeerContentWithWrongGenerationIsRejected)
{
  Fleet fleet(2, 1, 30);
  fleet.Start();
  const PublishState& source = fleet.daemons_[0].state_;
  GenerationContent fake;
  fake.generation_ = Generation{ 9 };
  fake.changeId_ = "fake";
  fake.digest_ = NewestEntry(source.content_->pointer_).digest_;
  fake.content_ = EncodeBundle(*source.content_, nullptr, {});
  fleet.cannedContent_ = fake;
  fleet.SendNotice(1, 0, Generation{ 9 });
  fleet.Run(10s);
  CHECK_TRUE(fleet.AllAt(Generation{ 1 }));
  CHECK_TRUE(fleet.CountRecords(TimelineKind::GenerationRefused) > 0);
  // Generation 9 was announced: the next change must be higher.
  fleet.cannedContent_.reset();
  const OperatorAnswer next =
    fleet.ApplyAndWait(1, LimitsDocument("normal", 11, 1), "two");
  LONGS_EQUAL(10, NumberOf(next, "generation"));
}
