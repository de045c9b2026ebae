// Load on the store and on peers, and the time to publish, in large fleets.
#include "publish/fleet_fixture.h"

#include "core/result_func.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace camphorfield;
using namespace camphorfield::test;
using namespace std::chrono_literals;

namespace {

/** Time from acceptance, the first adoption, to the last daemon's adoption. */
Duration
AdoptionSpread(const Fleet& aFleet, Generation aGeneration)
{
  TimePoint first = kNever;
  TimePoint last;
  for (const FakeDaemon& daemon : aFleet.daemons_) {
    const TimePoint at = daemon.adoptedAt_.at(aGeneration);
    first = std::min(first, at);
    last = std::max(last, at);
  }
  return last - first;
}

double
Millis(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1000.0;
}

/** Store calls of a fleet in ten minutes with 20 changes. */
std::uint64_t
CountCallsInTenMinutes(std::size_t aDaemons)
{
  Fleet fleet(aDaemons, 3, 31);
  fleet.Start();
  fleet.ResetCounts();
  for (std::uint64_t i = 1; i <= 20; i++) {
    const std::string id = "c" + std::to_string(i);
    fleet.ApplyAndWait(i % aDaemons, LimitsDocument("normal", 10 + i, i), id);
    fleet.Run(30s);
  }
  CHECK_TRUE(fleet.AllAt(Generation{ 21 }));
  const auto count = [&](PlatformOp aOp) {
    return static_cast<unsigned long long>(
      fleet.store_.calls_[static_cast<std::size_t>(aOp)]);
  };
  std::printf("\n%2zu daemons, 10 min, 20 changes: get %llu create %llu update "
              "%llu watch %llu list %llu delete %llu, all %llu",
              aDaemons,
              count(PlatformOp::Get),
              count(PlatformOp::Create),
              count(PlatformOp::Update),
              count(PlatformOp::Watch),
              count(PlatformOp::List),
              count(PlatformOp::Delete),
              static_cast<unsigned long long>(fleet.StoreCalls()));
  fleet.CheckInvariants();
  return fleet.StoreCalls();
}

} // namespace

TEST_GROUP(Scale){};

TEST(Scale, PlatformCallsDoNotScaleWithFleetSize)
{
  const std::uint64_t six = CountCallsInTenMinutes(6);
  CountCallsInTenMinutes(3);
  CountCallsInTenMinutes(20);
  const std::uint64_t sixty = CountCallsInTenMinutes(60);
  std::printf("\n");
  // Ten times the daemons make less than a quarter more calls.
  CHECK_TRUE(sixty * 4 < six * 5);
}

TEST(Scale, ChangesReachAllDaemonsWithinOneSecond)
{
  for (const std::size_t daemons : { 6UL, 60UL }) {
    Fleet fleet(daemons, 3, 32);
    fleet.Start();
    std::vector<Duration> spreads;
    for (std::uint64_t i = 1; i <= 200; i++) {
      const std::string id = "c" + std::to_string(i);
      fleet.ApplyAndWait(i % daemons, LimitsDocument("normal", 10 + i, i), id);
      const Generation generation{ i + 1 };
      CHECK_TRUE(fleet.RunUntil([&] { return fleet.AllAt(generation); }, 5s));
      spreads.push_back(AdoptionSpread(fleet, generation));
    }
    std::sort(spreads.begin(), spreads.end());
    std::printf(
      "\n%zu daemons, 200 changes, simulated time to all: p50 %.0f ms, "
      "p99 %.0f ms, max %.0f ms\n",
      daemons,
      Millis(spreads[100]),
      Millis(spreads[198]),
      Millis(spreads.back()));
    CHECK_TRUE(spreads.back() < 1s);
    fleet.CheckInvariants();
  }
}

TEST(Scale, RecoveredStoreIsNotOverloaded)
{
  Fleet fleet(60, 3, 33);
  fleet.Start();
  fleet.store_.down_ = true;
  fleet.Run(120s);
  fleet.ResetCounts();
  fleet.store_.down_ = false;
  fleet.Run(30s);
  std::uint64_t peak = 0;
  for (const auto& [second, calls] : fleet.store_.callsInSecond_) {
    peak = std::max(peak, calls);
  }
  std::printf("\n60 daemons, store back after 2 min: at most %llu calls in a "
              "second, %llu in 30 s\n",
              static_cast<unsigned long long>(peak),
              static_cast<unsigned long long>(fleet.StoreCalls()));
  CHECK_TRUE(peak <= 20);
}

TEST(Scale, RestartedDaemonsLoadContentFromPeers)
{
  Fleet fleet(60, 3, 34);
  fleet.Start();
  for (std::size_t i = 0; i < 60; i++) {
    if (i % 10 != 0) {
      fleet.Restart(i);
    }
  }
  fleet.ResetCounts();
  fleet.Run(5s);
  CHECK_TRUE(fleet.AllAt(Generation{ 1 }));
  // One read of the pointer each; the content comes from running peers.
  std::printf("\n54 of 60 daemons restarted: %llu platform calls in 5 s\n",
              static_cast<unsigned long long>(fleet.StoreCalls()));
  CHECK_TRUE(fleet.StoreCalls() <= 54 + 40);
}

TEST(Scale, PeerSendsOnlyChangedChunks)
{
  Fleet fleet(6, 3, 35);
  fleet.Start();
  std::string document = R"({"based_on":1,"put":[)";
  for (int i = 0; i < 3000; i++) {
    document += std::string(i == 0 ? "" : ",") +
                R"({"kind":"limits","name":"l)" + std::to_string(i) + "\"}";
  }
  CHECK_TRUE(fleet.ApplyAndWait(0, document + "]}", "many").code_ ==
             ResultCode::Ok);
  fleet.Run(5s);
  const std::size_t whole =
    EncodeBundle(*fleet.daemons_[0].state_.content_, nullptr, {}).size();
  fleet.ResetCounts();
  fleet.ApplyAndWait(0, LimitsDocument("l7", 5, 2), "one");
  fleet.Run(5s);
  CHECK_TRUE(fleet.AllAt(Generation{ 3 }));
  std::uint64_t bytes = 0;
  for (const FakeDaemon& daemon : fleet.daemons_) {
    bytes += daemon.peerBytes_;
  }
  std::printf(
    "\nset of %zu bytes, one object changed: %llu bytes to each peer\n",
    whole,
    static_cast<unsigned long long>(bytes / 5));
  CHECK_TRUE(bytes / 5 < whole / 5);
}
