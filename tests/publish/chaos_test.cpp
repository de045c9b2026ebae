// Random faults of the store, of the network and of daemons: accepted changes
// must not be lost, and rejected ones must not be in force.
#include "publish/fleet_fixture.h"

#include "core/result_func.h"

#include <map>
#include <string>
#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace camphorfield;
using namespace camphorfield::test;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeeds = 15;
constexpr std::size_t kDaemons = 7;
constexpr int kRounds = 60;

/** One change that was sent, and the value that it sets. */
struct SentChange
{
  std::string id_;
  OperatorRequestId request_;
  std::string object_;
  std::uint32_t value_ = 0;
};

/** Switch one random fault on or off. */
void
ToggleRandomFault(Fleet& aFleet, Rng& aRng)
{
  FakeDaemon& daemon = aFleet.daemons_[aRng() % kDaemons];
  const std::size_t index =
    static_cast<std::size_t>(&daemon - aFleet.daemons_.data());
  switch (aRng() % 9) {
    case 0:
      aFleet.store_.down_ = !aFleet.store_.down_;
      return;
    case 1:
      aFleet.store_.loseReplies_ = 2;
      return;
    case 2:
      aFleet.store_.loseRequests_ = 2;
      aFleet.store_.lateEffect_ = std::chrono::milliseconds(aRng() % 5000);
      return;
    case 3:
      daemon.cutFromStore_ = !daemon.cutFromStore_;
      return;
    case 4:
      daemon.cutFromPeers_ = !daemon.cutFromPeers_;
      return;
    case 5:
      aFleet.Pause(index, !daemon.paused_);
      return;
    case 6:
      aFleet.Restart(index);
      return;
    case 7:
      aFleet.store_.throttle_ = 5;
      return;
    default:
      if (aFleet.store_.stale_) {
        aFleet.store_.stale_.reset();
      } else {
        aFleet.store_.stale_ = aFleet.store_.objects_;
      }
      return;
  }
}

void
ClearFaults(Fleet& aFleet)
{
  aFleet.store_.down_ = false;
  aFleet.store_.stale_.reset();
  aFleet.store_.loseReplies_ = 0;
  aFleet.store_.loseRequests_ = 0;
  for (std::size_t i = 0; i < kDaemons; i++) {
    aFleet.daemons_[i].cutFromStore_ = false;
    aFleet.daemons_[i].cutFromPeers_ = false;
    if (aFleet.daemons_[i].paused_) {
      aFleet.Pause(i, false);
    }
  }
  aFleet.Run(200s);
}

SentChange
SendChange(Fleet& aFleet, Rng& aRng, int aRound)
{
  const std::size_t daemon = aRng() % kDaemons;
  const auto current = PublishCurrent(aFleet.daemons_[daemon].state_);
  const std::uint64_t basedOn =
    current == nullptr ? 1 : current->generation_.value_;
  SentChange change;
  change.id_ = "c" + std::to_string(aRound);
  change.object_ = "l" + std::to_string(aRng() % 4);
  change.value_ = static_cast<std::uint32_t>(aRound + 10);
  change.request_ = aFleet.Apply(
    daemon, LimitsDocument(change.object_, change.value_, basedOn), change.id_);
  return change;
}

/** Check all answers to operators against the final state of the store. */
void
CheckAnswers(Fleet& aFleet, const std::vector<SentChange>& aChanges)
{
  std::map<std::string, std::pair<std::uint64_t, std::uint32_t>> newest;
  for (const SentChange& change : aChanges) {
    const OperatorAnswer queried =
      aFleet.RequestAndWait(0, { {}, OperatorOp::Change, "", change.id_, {} });
    const bool published = queried.code_ == ResultCode::Ok;
    CHECK_TRUE(published || queried.code_ == ResultCode::NotFound);
    const OperatorAnswer* answer = aFleet.FindAnswer(change.request_);
    if (answer != nullptr && answer->code_ != ResultCode::ConfigUnknown) {
      CHECK_TRUE(published == (answer->code_ == ResultCode::Ok));
    }
    const std::uint64_t generation = NumberOf(queried, "generation");
    if (published && generation > newest[change.object_].first) {
      newest[change.object_] = { generation, change.value_ };
    }
  }
  const ConfigSet& set = PublishCurrent(aFleet.daemons_[0].state_)->set_;
  for (const auto& [object, last] : newest) {
    if (last.first != 0) {
      LONGS_EQUAL(last.second, set.limits_.at(object).maxInFlight_);
    }
  }
}

} // namespace

TEST_GROUP(Chaos){};

TEST(Chaos, AcceptedChangesSurviveFaultsAndRejectedOnesNeverApply)
{
  std::size_t accepted = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; seed++) {
    Rng rng{ seed };
    Fleet fleet(kDaemons, 3, seed);
    fleet.Start();
    std::vector<SentChange> changes;
    for (int round = 0; round < kRounds; round++) {
      ToggleRandomFault(fleet, rng);
      changes.push_back(SendChange(fleet, rng, round));
      fleet.Run(std::chrono::milliseconds(rng() % 4000));
    }
    ClearFaults(fleet);
    const Generation last =
      PublishCurrent(fleet.daemons_[0].state_)->generation_;
    CHECK_TRUE(fleet.AllAt(last));
    fleet.CheckInvariants();
    CheckAnswers(fleet, changes);
    accepted += last.value_;
  }
  CHECK_TRUE(accepted > kSeeds * 10);
}
