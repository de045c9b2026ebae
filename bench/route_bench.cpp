/** Measures CPU time of the routing core at 430 shards, without network. */
#include "route/route_func.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

constexpr std::size_t kServices = 54;
constexpr std::size_t kShards = 430;
constexpr std::size_t kServersPerService = 2;
constexpr std::uint32_t kConnectionCap = 100;
constexpr int kQueriesPerRound = 2000;
constexpr int kRounds = 7;
constexpr Duration kAnswerTime = milliseconds(3);

/** Routing state of one daemon, with its clock and collected decisions. */
struct Bench
{
  RouteState state_;
  Rng rng_{ 1 };
  Now now_{ TimePoint(seconds(100)), 0 };
  Decisions out_;
  std::vector<SubRequest> sent_;
  std::uint64_t subs_ = 0;
  std::uint64_t answered_ = 0;
};

std::shared_ptr<const PublishedConfig>
MakeConfig()
{
  auto config = std::make_shared<PublishedConfig>();
  config->generation_ = { 1 };
  ConfigSet& set = config->set_;
  IndexSpec index;
  index.name_ = "index";
  index.versions_.push_back({ { 1 }, {} });
  for (std::size_t i = 0; i < kServices; ++i) {
    ServiceSpec service;
    service.name_ = "service" + std::to_string(i);
    for (std::size_t k = 0; k < kServersPerService; ++k) {
      ServerSpec server;
      server.name_ = service.name_ + "-" + std::to_string(k);
      server.address_ = server.name_ + ":80";
      server.connections_ = kConnectionCap;
      service.servers_.push_back(server);
    }
    set.services_[service.name_] = service;
  }
  for (std::size_t i = 0; i < kShards; ++i) {
    index.versions_[0].shards_.push_back(
      { "shard" + std::to_string(i),
        "service" + std::to_string(i % kServices) });
  }
  set.indexes_["index"] = index;
  RouteSpec route;
  route.name_ = "find";
  route.index_ = "index";
  route.limits_ = "limits";
  route.deadline_ = seconds(1);
  set.routes_["find"] = route;
  set.limits_["limits"].name_ = "limits";
  set.fleets_["fleet"].maxDaemons_ = 6;
  return config;
}

template<typename EventType>
void
Deliver(Bench& aBench, const EventType& aEvent)
{
  RouteOnEvent(aBench.state_, aEvent, aBench.now_, aBench.rng_, aBench.out_);
}

SubAnswer
MakeAnswer(const SubRequest& aRequest)
{
  SubAnswer answer;
  answer.id_ = aRequest.id_;
  answer.connection_ = aRequest.connection_;
  answer.statedId_ = aRequest.id_;
  answer.statedShard_ = aRequest.shard_;
  answer.statedVersion_ = aRequest.version_;
  answer.load_ = 0.5;
  return answer;
}

/** Moves sub-requests to sent_, counts answers, opens connections. */
void
Collect(Bench& aBench)
{
  Decisions decisions;
  decisions.swap(aBench.out_);
  for (Decision& decision : decisions) {
    if (auto* sub = std::get_if<SubRequest>(&decision)) {
      aBench.sent_.push_back(std::move(*sub));
    } else if (const auto* open = std::get_if<OpenConnection>(&decision)) {
      Deliver(aBench, ConnectionOpened{ open->id_ });
    } else if (std::holds_alternative<QueryAnswer>(decision)) {
      ++aBench.answered_;
    }
  }
  // Reuse the vector's memory in the next step.
  if (aBench.out_.empty()) {
    decisions.clear();
    aBench.out_.swap(decisions);
  }
}

/** Runs a query with all sub-answers; returns the time spent in the core. */
std::chrono::nanoseconds
RunQuery(Bench& aBench, std::uint64_t aId, const SharedText& aBody)
{
  using Clock = std::chrono::steady_clock;
  std::chrono::nanoseconds spent{};
  CallerRequest request;
  request.id_ = { aId };
  request.caller_ = "till";
  request.route_ = "find";
  request.body_ = aBody;
  const auto timed = [&](const auto& aEvent) {
    const Clock::time_point start = Clock::now();
    Deliver(aBench, aEvent);
    spent += Clock::now() - start;
    Collect(aBench);
  };
  timed(request);
  while (!aBench.sent_.empty()) {
    std::vector<SubRequest> batch;
    batch.swap(aBench.sent_);
    aBench.now_.mono_ += kAnswerTime;
    aBench.now_.unixMicros_ += kAnswerTime.count();
    timed(Tick{});
    for (const SubRequest& sub : batch) {
      aBench.subs_ += sub.kind_ == SubKind::Query ? 1 : 0;
      timed(MakeAnswer(sub));
    }
  }
  return spent;
}

double
RunRound(Bench& aBench, std::uint64_t& aId)
{
  const auto body = std::make_shared<const std::string>("tape of choir 12");
  const std::uint64_t before = aBench.subs_;
  std::chrono::nanoseconds spent{};
  for (int i = 0; i < kQueriesPerRound; ++i) {
    spent += RunQuery(aBench, ++aId, body);
  }
  return static_cast<double>(spent.count()) /
         static_cast<double>(aBench.subs_ - before);
}

} // namespace

int
main()
{
  Bench bench;
  bench.state_ = MakeRouteState({});
  Deliver(bench, ConfigAdopted{ MakeConfig() });
  Deliver(bench, Tick{});
  Collect(bench);
  Collect(bench);
  std::uint64_t id = 0;
  RunRound(bench, id);
  std::vector<double> rounds;
  for (int i = 0; i < kRounds; ++i) {
    rounds.push_back(RunRound(bench, id));
    std::printf("round %d: %.0f ns per sub-query\n", i + 1, rounds.back());
  }
  std::sort(rounds.begin(), rounds.end());
  std::printf("median %.0f ns, min %.0f, max %.0f (%zu shards, %llu queries "
              "answered, per sub-query: choice, sending, answer, timers, "
              "clock reads)\n",
              rounds[rounds.size() / 2],
              rounds.front(),
              rounds.back(),
              kShards,
              static_cast<unsigned long long>(bench.answered_));
  return bench.answered_ == id ? EXIT_SUCCESS : EXIT_FAILURE;
}
