/** Compares placement by cost with placement by count: replays of load patterns
 * on a simulated clock, and the processor time of a decision. */
#include "gateway/placement_fixture.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

using namespace camphorfield;

namespace {

constexpr std::size_t kShards = 135;
constexpr std::size_t kServersPerShard = 3;
constexpr int kWarmQueries = 200;
constexpr int kQueries = 1000;

void
PrintReplays(const std::string& aOnly, std::size_t aDaemons, std::size_t aSeeds)
{
  std::printf("%-8s %4s %-6s %-13s %7s %7s %7s %8s %8s | %7s %6s %6s %5s %6s\n",
              "pattern",
              "fleet",
              "mode",
              "kind",
              "p50 ms",
              "p99 ms",
              "ontime",
              "quality",
              "goodput",
              "connect",
              "sends",
              "hedges",
              "won",
              "kept");
  for (const PlacementPattern& pattern : GetPlacementPatterns()) {
    if (aOnly != "all" && aOnly != pattern.name_) {
      continue;
    }
    for (const PlacementMode mode :
         { PlacementMode::Count, PlacementMode::Cost }) {
      const PlacementRun run = RunPlacement(pattern, aDaemons, mode, aSeeds);
      for (const PlacementFigures& kind : run.kinds_) {
        std::printf("%-8s %4zu  %-6s %-13s %7.1f %7.1f %7.3f %8.3f %8.1f | "
                    "%7.2f %6.2f %6.2f %5.2f %6.3f\n",
                    pattern.name_,
                    aDaemons,
                    mode == PlacementMode::Cost ? "cost" : "count",
                    kind.target_.c_str(),
                    kind.p50_,
                    kind.p99_,
                    kind.onTime_,
                    kind.quality_,
                    kind.goodput_,
                    run.connectsPerRequest_,
                    run.sendsPerRequest_,
                    run.hedgesPerRequest_,
                    run.hedgesWon_,
                    run.abandoned_);
      }
    }
  }
}

/** Processor time of arrivals, answers and ticks per part, in microseconds. */
double
MeasureParts(PlacementMode aMode)
{
  using Clock = std::chrono::steady_clock;
  GatewaySettings settings;
  settings.failureDomain_ = "a";
  settings.policy_.mode_ = aMode;
  GatewayState state = MakeGatewayState(settings);
  Rng rng(7);
  Now now{ TimePoint(seconds(100)), 0 };
  auto config = std::make_shared<GatewayConfig>();
  config->version_ = 1;
  GatewayRoute route = MakeQueryRoute(kShards, 0.85, 5);
  route.host_ = "host";
  config->routes_.push_back(route);
  std::vector<BackendEntry> entries;
  for (std::size_t i = 0; i < kShards * kServersPerShard; ++i) {
    BackendEntry entry;
    entry.id_ = "i-" + std::to_string(i);
    entry.startedMillis_ = 1;
    entry.service_ = route.shards_[i / kServersPerShard];
    entry.address_ = entry.id_;
    entry.failureDomain_ = std::string(1, "abc"[i % kServersPerShard]);
    entry.slots_ = 2;
    entries.push_back(entry);
    config->services_[entry.service_] = GatewayService{ entry.service_, 55 };
  }
  GatewayDecisions out;
  GatewayAdoptConfig(state, config, now, rng, out);
  GatewayAdoptServers(state, entries, now, rng, out);
  Clock::duration spent{};
  std::uint64_t parts = 0;
  std::vector<BackendSend> sent;
  const auto collect = [&]() {
    GatewayDecisions decisions;
    decisions.swap(out);
    for (GatewayDecision& decision : decisions) {
      if (auto* send = std::get_if<BackendSend>(&decision)) {
        sent.push_back(std::move(*send));
      } else if (const auto* open = std::get_if<BackendConnect>(&decision)) {
        GatewayOnEvent(
          state, BackendOpened{ open->connection_ }, now, rng, out);
      }
    }
  };
  for (int i = 0; i < kWarmQueries + kQueries; ++i) {
    const bool counted = i >= kWarmQueries;
    now.mono_ += milliseconds(10);
    GatewayOnEvent(state, Tick{}, now, rng, out);
    while (!out.empty()) {
      collect();
    }
    ProxyRequest request;
    request.id_ = CallerRequestId{ static_cast<std::uint64_t>(i) + 1 };
    auto message = std::make_shared<ProxyMessage>();
    message->path_ = "/query/q" + std::to_string(i % 50);
    message->target_ = message->path_;
    message->host_ = "host";
    message->requestId_ = "r" + std::to_string(i);
    request.message_ = message;
    sent.clear();
    const Clock::time_point begun = Clock::now();
    GatewayOnEvent(state, request, now, rng, out);
    spent += counted ? Clock::now() - begun : Clock::duration{};
    while (!out.empty()) {
      collect();
    }
    parts += counted ? sent.size() : 0;
    now.mono_ += milliseconds(5);
    const std::vector<BackendSend> batch = sent;
    for (const BackendSend& send : batch) {
      BackendAnswer answer;
      answer.connection_ = send.connection_;
      answer.status_ = 200;
      answer.requestId_ = send.message_->requestId_;
      answer.proof_ = "p";
      answer.load_ = ReportedLoad{ true, 1, 0, 2, 110 };
      const Clock::time_point start = Clock::now();
      GatewayOnEvent(state, std::move(answer), now, rng, out);
      spent += counted ? Clock::now() - start : Clock::duration{};
    }
    while (!out.empty()) {
      collect();
    }
  }
  return std::chrono::duration<double, std::micro>(spent).count() /
         static_cast<double>(std::max<std::uint64_t>(parts, 1));
}

} // namespace

/** Arguments: number of daemons, pattern (all: every), number of seeds. */
int
main(int aCount, char** aArguments)
{
  if (aCount > 1) {
    PrintReplays(aCount > 2 ? aArguments[2] : "all",
                 std::strtoul(aArguments[1], nullptr, 10),
                 aCount > 3 ? std::strtoul(aArguments[3], nullptr, 10) : 5);
    return EXIT_SUCCESS;
  }
  for (int round = 0; round < 3; ++round) {
    std::printf(
      "%zu shards of %zu servers, us per part (choice, send, answer): "
      "count %.2f, cost %.2f\n",
      kShards,
      kServersPerShard,
      MeasureParts(PlacementMode::Count),
      MeasureParts(PlacementMode::Cost));
  }
  return EXIT_SUCCESS;
}
