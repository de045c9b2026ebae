/**
 * Measures cost and propagation time of membership for several fleet sizes, on
 * the tests' simulated network and clock. Bytes are those of the
 * real codec, without TCP and IP headers.
 * Usage: membership_bench [SIZE...]
 */
#include "membership/fleet_fixture.h"
#include "peer/peer_codec.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

constexpr std::size_t kDomains = 22;
constexpr std::uint64_t kSeed = 20261204;
constexpr Duration kRunLimit = 600s;

/** Larger fleets get complete views without gossip, to save time. */
constexpr std::size_t kMaxGossipJoinSize = 600;

/** TCP and IP headers of a message and its acknowledgement, in bytes. */
constexpr double kTcpIpHeaderBytes = 80.0;

/** CPU time of this process in seconds. */
double
CpuSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** Resident memory of this process in bytes. */
double
ResidentBytes()
{
  constexpr double kPageBytes = 4096.0;
  std::ifstream file("/proc/self/statm");
  double total = 0.0;
  double resident = 0.0;
  file >> total >> resident;
  return resident * kPageBytes;
}

double
Seconds(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1e6;
}

/** Sums over all daemons. */
struct Totals
{
  double messages_ = 0;
  double bytes_ = 0;
  double worstBytes_ = 0; ///< Maximum of one daemon.
  double vmLists_ = 0;
};

Totals
Sum(const Fleet& aFleet)
{
  Totals sum;
  for (const FleetNode& node : aFleet.nodes_) {
    const auto bytes = static_cast<double>(node.counters_.sentBytes_ +
                                           node.counters_.receivedBytes_);
    sum.messages_ += static_cast<double>(node.counters_.sent_);
    sum.bytes_ += bytes;
    sum.worstBytes_ = std::max(sum.worstBytes_, bytes);
    sum.vmLists_ += static_cast<double>(node.counters_.vmLists_);
  }
  return sum;
}

void
ResetCounters(Fleet& aFleet)
{
  for (FleetNode& node : aFleet.nodes_) {
    node.counters_ = FleetCounters{};
  }
}

/** Runs for aTime and prints costs per daemon and second. */
void
PrintCosts(Fleet& aFleet, const char* aName, Duration aTime)
{
  ResetCounters(aFleet);
  const double cpu = CpuSeconds();
  aFleet.Run(aTime);
  const double cpuTaken = CpuSeconds() - cpu;
  const Totals sum = Sum(aFleet);
  const double daemonSeconds =
    static_cast<double>(aFleet.nodes_.size()) * Seconds(aTime);
  const double messages = sum.messages_ / daemonSeconds;
  const double payload = sum.bytes_ / daemonSeconds;
  std::printf("  %-26s %6.1f msg/s sent  %7.0f B/s payload in+out  %7.0f B/s "
              "with TCP/IP  %6.3f %% of a core  %6.3f VM lists/s in total\n",
              aName,
              messages,
              payload,
              payload + 2 * messages * kTcpIpHeaderBytes,
              100.0 * cpuTaken / daemonSeconds,
              sum.vmLists_ / Seconds(aTime));
}

/** Encodes and decodes as real daemons do; returns the size in bytes. */
std::size_t
CodecSize(const PeerMessage& aMessage)
{
  const std::string payload = EncodePeerMessage(aMessage);
  if (!DecodePeerMessage(payload).ok()) {
    std::abort();
  }
  return payload.size();
}

/** Runs until every running daemon satisfies aCondition; returns the time. */
template<typename Condition>
Duration
UntilAll(Fleet& aFleet, const Condition& aCondition)
{
  std::size_t done = 0;
  return aFleet.RunUntil(
    [&] {
      while (done < aFleet.nodes_.size() &&
             (!aFleet.nodes_[done].running_ || aCondition(done))) {
        ++done;
      }
      return done == aFleet.nodes_.size();
    },
    kRunLimit);
}

/** Gives each daemon the list of all members, as in a long-running fleet. */
void
InstallViews(Fleet& aFleet)
{
  GossipAck all;
  for (const FleetNode& node : aFleet.nodes_) {
    all.members_.push_back(MembershipSelf(node.state_));
  }
  PeerMessage message;
  message.from_ = DaemonId{ 1 };
  message.body_ = std::move(all);
  for (std::size_t i = 0; i < aFleet.nodes_.size(); ++i) {
    aFleet.InjectEvent(i, message);
  }
}

void
PrintJoin(Fleet& aFleet)
{
  const std::size_t size = aFleet.nodes_.size();
  aFleet.StartAll();
  if (size > kMaxGossipJoinSize) {
    InstallViews(aFleet);
    aFleet.SetReadyAll();
    std::printf("  complete views installed without gossip\n");
    aFleet.Run(20s);
    return;
  }
  const Duration taken = UntilAll(aFleet, [&](std::size_t aNode) {
    return MembershipMembers(aFleet.nodes_[aNode].state_)->size() == size;
  });
  aFleet.SetReadyAll();
  std::printf("  all start at once: complete views after %.2f s\n",
              Seconds(taken));
  aFleet.Run(60s);
}

void
PrintRumor(Fleet& aFleet)
{
  const Rumor rumor =
    LeavingRumor{ "server", true, aFleet.GetNow().unixMicros_ };
  aFleet.Spread(0, rumor);
  const Duration taken = UntilAll(aFleet, [&](std::size_t aNode) {
    return aNode == 0 || !aFleet.nodes_[aNode].rumorsHeard_.empty();
  });
  std::printf("  leaving server known everywhere after %.2f s\n",
              Seconds(taken));
}

/** Models publishing: a daemon adopts a generation once gossip reports it. */
void
PrintGeneration(Fleet& aFleet, std::uint64_t aGeneration)
{
  const std::size_t size = aFleet.nodes_.size();
  aFleet.Adopt(1, aGeneration);
  std::vector<bool> adopted(size, false);
  adopted[1] = true;
  std::size_t left = size - 1;
  const Duration learned = aFleet.RunUntil(
    [&] {
      for (std::size_t i = 0; i < size; ++i) {
        if (!adopted[i] &&
            aFleet.nodes_[i].state_.newestGeneration_.value_ >= aGeneration) {
          adopted[i] = true;
          --left;
          aFleet.Adopt(i, aGeneration);
        }
      }
      return left == 0;
    },
    kRunLimit);
  const Duration all = UntilAll(aFleet, [&](std::size_t aNode) {
    const auto members = MembershipMembers(aFleet.nodes_[aNode].state_);
    return std::all_of(
      members->begin(), members->end(), [&](const MemberRecord& aRecord) {
        return aRecord.generation_.value_ >= aGeneration;
      });
  });
  std::printf("  new generation known everywhere after %.2f s; every "
              "daemon knows that all have it after %.2f s\n",
              Seconds(learned),
              Seconds(learned + all));
}

void
PrintLeave(Fleet& aFleet)
{
  aFleet.InjectEvent(2, StopRequested{ "bench" });
  const Duration taken = UntilAll(aFleet, [&](std::size_t aNode) {
    return aNode == 2 || aFleet.StateOf(aNode, 2) != MemberState::Alive;
  });
  std::printf("  leaving daemon known everywhere after %.2f s\n",
              Seconds(taken));
  aFleet.Run(10s);
  aFleet.Crash(2, true);
  aFleet.Run(20s);
}

void
PrintCrashes(Fleet& aFleet)
{
  constexpr std::size_t kTrials = 5;
  std::vector<double> removed;
  std::vector<double> dead;
  for (std::size_t trial = 0; trial < kTrials; ++trial) {
    const std::size_t victim =
      (aFleet.nodes_.size() / 2 + trial) % aFleet.nodes_.size();
    aFleet.Crash(victim, false);
    const Duration first = UntilAll(aFleet, [&](std::size_t aNode) {
      return aFleet.StateOf(aNode, victim) != MemberState::Alive;
    });
    const Duration second = UntilAll(aFleet, [&](std::size_t aNode) {
      return aFleet.StateOf(aNode, victim) == MemberState::Dead;
    });
    removed.push_back(Seconds(first));
    dead.push_back(Seconds(first + second));
    aFleet.Start(victim);
    MembershipSetReady(aFleet.nodes_[victim].state_, true);
    aFleet.Run(20s);
  }
  std::sort(removed.begin(), removed.end());
  std::sort(dead.begin(), dead.end());
  std::printf(
    "  silent crash, %zu trials: removed from all entries after %.2f s "
    "(median) %.2f s (max), dead everywhere after %.2f s (max)\n",
    kTrials,
    removed[kTrials / 2],
    removed.back(),
    dead.back());
}

std::size_t
CountRefutations(const Fleet& aFleet)
{
  std::size_t count = 0;
  for (const FleetNode& node : aFleet.nodes_) {
    count += node.state_.stats_.refutations_;
  }
  return count;
}

void
PrintLoss(Fleet& aFleet, double aLoss)
{
  const std::size_t before = aFleet.CountTimeline(TimelineKind::MemberDead);
  const std::size_t refuted = CountRefutations(aFleet);
  aFleet.loss_ = aLoss;
  const std::string name =
    std::to_string(static_cast<int>(aLoss * 100)) + " % loss";
  PrintCosts(aFleet, name.c_str(), 60s);
  aFleet.loss_ = 0.0;
  std::printf("    in 60 s: %zu suspicions refuted, %zu members wrongly "
              "declared dead\n",
              CountRefutations(aFleet) - refuted,
              aFleet.CountTimeline(TimelineKind::MemberDead) - before);
  aFleet.Run(20s);
}

/**
 * Changes, loads and rumors at the rates of a fleet of 2,400 daemons: each step
 * has a new generation, a rumor and a new load of each daemon.
 */
void
PrintChurn(Fleet& aFleet, std::uint64_t& aGeneration)
{
  constexpr Duration kStep = 5400ms; // 16,000 changes a day
  constexpr int kSteps = 20;
  ResetCounters(aFleet);
  const double cpu = CpuSeconds();
  for (int step = 0; step < kSteps; ++step) {
    ++aGeneration;
    for (std::size_t i = 0; i < aFleet.nodes_.size(); ++i) {
      if (aFleet.nodes_[i].running_) {
        aFleet.Adopt(i, aGeneration);
        MembershipSetLoad(
          aFleet.nodes_[i].state_,
          static_cast<std::uint32_t>((i * 37 + aGeneration * 91) % 1000));
      }
    }
    aFleet.Spread(0,
                  LeavingRumor{ "s" + std::to_string(aGeneration),
                                true,
                                aFleet.GetNow().unixMicros_ });
    aFleet.Run(kStep);
  }
  const Totals sum = Sum(aFleet);
  const double daemonSeconds =
    static_cast<double>(aFleet.nodes_.size()) * Seconds(kStep) * kSteps;
  const double payload = sum.bytes_ / daemonSeconds;
  const double messages = sum.messages_ / daemonSeconds;
  std::printf(
    "  changes, loads, rumors     %6.1f msg/s sent  %7.0f B/s payload "
    "in+out  %7.0f B/s with TCP/IP  %6.3f %% of a core  worst daemon "
    "%.0f B/s payload\n",
    messages,
    payload,
    payload + 2 * messages * kTcpIpHeaderBytes,
    100.0 * (CpuSeconds() - cpu) / daemonSeconds,
    sum.worstBytes_ / (Seconds(kStep) * kSteps));
}

void
Measure(std::size_t aSize)
{
  const double before = ResidentBytes();
  Fleet fleet(aSize, std::min(kDomains, aSize / 2), kSeed);
  std::printf("%zu daemons\n", aSize);
  PrintJoin(fleet);
  fleet.sizer_ = CodecSize;
  const double size = static_cast<double>(aSize);
  std::printf("  memory %.0f B per daemon and member, with the list emitted "
              "to other packages\n",
              (ResidentBytes() - before) / size / size);
  PrintCosts(fleet, "idle", 30s);
  std::uint64_t generation = 1;
  PrintRumor(fleet);
  PrintGeneration(fleet, ++generation);
  PrintChurn(fleet, generation);
  fleet.Run(30s);
  PrintLeave(fleet);
  PrintCrashes(fleet);
  PrintLoss(fleet, 0.02);
  PrintLoss(fleet, 0.10);
}

} // namespace

int
main(int argc, char** argv)
{
  std::vector<std::size_t> sizes;
  for (int i = 1; i < argc; ++i) {
    sizes.push_back(std::strtoul(argv[i], nullptr, 10));
  }
  if (sizes.empty()) {
    sizes = { 6, 20, 60 };
  }
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  for (const std::size_t size : sizes) {
    Measure(size);
  }
  return 0;
}
