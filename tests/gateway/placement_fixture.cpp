// Load patterns whose requests differ in cost, or whose servers differ in speed
// or report wrongly.
#include "gateway/placement_fixture.h"

#include "core/hash_func.h"

#include <algorithm>
#include <numeric>

namespace camphorfield {

namespace {

constexpr const char* kCheap = "/plain/cheap";
constexpr const char* kDear = "/plain/dear";
constexpr const char* kQuery = "/query/q";
constexpr std::size_t kShards = 20;
constexpr std::size_t kServersPerShard = 3;
constexpr double kTailShare = 0.01;
constexpr double kTailFactor = 5.0;

void
PreparePlain(Replay& aReplay)
{
  constexpr std::array kSpeeds{ 0.8, 1.0, 1.3 };
  for (std::size_t i = 0; i < 9; ++i) {
    aReplay.AddServer("plain", kSpeeds[i % kSpeeds.size()]);
  }
  GatewayRoute route;
  route.name_ = "plain";
  route.prefix_ = "/plain/";
  route.timeout_ = seconds(2);
  route.objective_ = milliseconds(150);
  route.maxAttempts_ = 2;
  route.to_.push_back({ "plain", 1.0 });
  aReplay.SetRoute(route);
}

void
PrepareShards(Replay& aReplay)
{
  constexpr std::array kSpeeds{ 0.8, 1.0, 1.3 };
  for (std::size_t i = 0; i < kShards; ++i) {
    for (std::size_t k = 0; k < kServersPerShard; ++k) {
      aReplay.AddServer("shard" + std::to_string(i),
                        kSpeeds[(i + k) % kSpeeds.size()]);
    }
  }
  aReplay.SetRoute(MakeQueryRoute(kShards, 0.85, 5));
}

void
PauseServers(Replay& aReplay)
{
  int offset = 0;
  for (ModelServer& server : aReplay.Servers()) {
    server.pauseEvery_ = seconds(5);
    server.pauseFor_ = milliseconds(200);
    server.pauseAt_ = milliseconds(137 * ++offset);
  }
}

void
PreparePausingShards(Replay& aReplay)
{
  PrepareShards(aReplay);
  PauseServers(aReplay);
}

/** One request in a hundred is expensive on every server. */
void
PrepareTail(Replay& aReplay)
{
  PreparePausingShards(aReplay);
  aReplay.SetWorkFactor([](const BackendSend& aSend) {
    const std::uint64_t hash = HashText(aSend.message_->requestId_);
    return hash % 1000 < kTailShare * 1000 ? kTailFactor : 1.0;
  });
}

/** The speed of each server's VM flips several times a second. */
void
PrepareFlips(Replay& aReplay)
{
  PreparePlain(aReplay);
  for (std::size_t i = 0; i < aReplay.Servers().size(); ++i) {
    ModelServer& server = aReplay.Servers()[i];
    server.report_ = [&server](ReportedLoad& aLoad) {
      aLoad.slowness_ = static_cast<std::uint32_t>(server.speed_ * 100.0);
    };
    for (int at = 0; at < 140; ++at) {
      aReplay.At(milliseconds(100 * at + 37 * static_cast<int>(i)),
                 [&server, &aReplay, at]() {
                   server.speed_ =
                     (at + server.id_.back()) % 3 == 0 ? 3.0 : 0.9;
                   (void)aReplay;
                 });
    }
  }
}

/** A third of the servers reports no load, a third far too much. */
void
PrepareFalseReports(Replay& aReplay)
{
  PreparePlain(aReplay);
  for (std::size_t i = 0; i < aReplay.Servers().size(); ++i) {
    if (i % 3 == 0) {
      aReplay.Servers()[i].report_ = [](ReportedLoad& aLoad) {
        aLoad = ReportedLoad{ true, 0, 0, 64, 20 };
      };
    } else if (i % 3 == 1) {
      aReplay.Servers()[i].report_ = [](ReportedLoad& aLoad) {
        aLoad.waiting_ += 40;
      };
    }
  }
}

/** Servers report the load of half a second ago. */
void
PrepareStaleReports(Replay& aReplay)
{
  PreparePlain(aReplay);
  for (ModelServer& server : aReplay.Servers()) {
    auto past =
      std::make_shared<std::deque<std::pair<TimePoint, ReportedLoad>>>();
    server.report_ = [past, &aReplay](ReportedLoad& aLoad) {
      past->emplace_back(aReplay.Clock(), aLoad);
      while (past->size() > 1 &&
             (*past)[1].first < aReplay.Clock() - milliseconds(500)) {
        past->pop_front();
      }
      aLoad = past->front().second;
    };
  }
}

ReplayLoad
Load(const char* aTarget, double aPerSecond, Duration aWork)
{
  ReplayLoad load;
  load.target_ = aTarget;
  load.perSecond_ = aPerSecond;
  load.work_ = aWork;
  return load;
}

double
Quantile(std::vector<Duration>& aTimes, double aQuantile)
{
  if (aTimes.empty()) {
    return 0.0;
  }
  const auto at =
    aTimes.begin() + static_cast<std::ptrdiff_t>(
                       static_cast<double>(aTimes.size() - 1) * aQuantile);
  std::nth_element(aTimes.begin(), at, aTimes.end());
  return static_cast<double>(at->count()) / 1000.0;
}

} // namespace

const std::vector<PlacementPattern>&
GetPlacementPatterns()
{
  static const std::vector<PlacementPattern> kPatterns{
    { "bimodal",
      PreparePlain,
      { Load(kCheap, 400, milliseconds(8)),
        Load(kDear, 100, milliseconds(70)) },
      {} },
    { "tail", PrepareTail, { Load(kQuery, 100, milliseconds(28)) }, {} },
    { "pauses",
      PreparePausingShards,
      { Load(kQuery, 60, milliseconds(28)) },
      {} },
    // The servers of a shard can run 207 queries a second.
    { "twice", PrepareShards, { Load(kQuery, 415, milliseconds(28)) }, {} },
    { "flips",
      PrepareFlips,
      { Load(kCheap, 200, milliseconds(8)), Load(kDear, 60, milliseconds(60)) },
      {} },
    { "surge",
      PreparePlain,
      { Load(kCheap, 200, milliseconds(8)), Load(kDear, 60, milliseconds(70)) },
      { Load(kCheap, 800, milliseconds(8)),
        Load(kDear, 240, milliseconds(70)) } },
    { "false",
      PrepareFalseReports,
      { Load(kCheap, 300, milliseconds(8)), Load(kDear, 80, milliseconds(60)) },
      {} },
    { "stale",
      PrepareStaleReports,
      { Load(kCheap, 400, milliseconds(8)),
        Load(kDear, 100, milliseconds(70)) },
      {} },
    { "tenfold",
      PreparePlain,
      { Load(kCheap, 250, milliseconds(4)) },
      { Load(kCheap, 250, milliseconds(40)) } },
  };
  return kPatterns;
}

const PlacementPattern&
GetPlacementPattern(const std::string& aName)
{
  const auto& all = GetPlacementPatterns();
  return *std::find_if(
    all.begin(), all.end(), [&aName](const PlacementPattern& aPattern) {
      return aPattern.name_ == aName;
    });
}

namespace {

PlacementRun
RunSeed(const PlacementPattern& aPattern,
        std::size_t aDaemons,
        PlacementMode aMode,
        std::uint64_t aSeed)
{
  Replay replay(aDaemons, aSeed);
  GatewayPolicy policy;
  policy.mode_ = aMode;
  aPattern.prepare_(replay);
  replay.SetPolicy(policy);
  replay.Publish();
  auto results = replay.Run(aPattern.loads_, seconds(kPatternSeconds));
  if (!aPattern.later_.empty()) {
    results = replay.Run(aPattern.later_, seconds(kPatternSeconds));
  }
  PlacementRun run;
  for (auto& [target, result] : results) {
    run.kinds_.push_back(
      { target,
        Quantile(result.took_, 0.5),
        Quantile(result.took_, 0.99),
        result.OnTimeShare(),
        result.MeanQuality(),
        result.quality_ / static_cast<double>(kPatternSeconds) });
  }
  GatewayStats sum;
  std::uint64_t requests = 0;
  for (std::size_t i = 0; i < aDaemons; ++i) {
    const GatewayStats& stats = replay.Daemon(i).stats_;
    requests += std::accumulate(
      stats.byCode_.begin(), stats.byCode_.end(), std::uint64_t{ 0 });
    sum.connects_ += stats.connects_;
    sum.firstSends_ += stats.firstSends_ + stats.retries_ + stats.hedges_;
    sum.hedges_ += stats.hedges_;
    sum.hedgesWon_ += stats.hedgesWon_;
    sum.abandoned_ += stats.abandoned_;
  }
  const auto all = static_cast<double>(std::max<std::uint64_t>(requests, 1));
  run.connectsPerRequest_ = static_cast<double>(sum.connects_) / all;
  run.sendsPerRequest_ = static_cast<double>(sum.firstSends_) / all;
  run.hedgesPerRequest_ = static_cast<double>(sum.hedges_) / all;
  run.hedgesWon_ = static_cast<double>(sum.hedgesWon_) /
                   static_cast<double>(std::max<std::uint64_t>(sum.hedges_, 1));
  run.abandoned_ = static_cast<double>(sum.abandoned_) / all;
  return run;
}

void
AddShare(double& aTo, double aValue, std::size_t aSeeds)
{
  aTo += aValue / static_cast<double>(aSeeds);
}

} // namespace

PlacementRun
RunPlacement(const PlacementPattern& aPattern,
             std::size_t aDaemons,
             PlacementMode aMode,
             std::size_t aSeeds)
{
  PlacementRun mean;
  for (std::size_t seed = 0; seed < aSeeds; ++seed) {
    const PlacementRun run = RunSeed(aPattern, aDaemons, aMode, 42 + seed);
    mean.kinds_.resize(run.kinds_.size());
    for (std::size_t i = 0; i < run.kinds_.size(); ++i) {
      mean.kinds_[i].target_ = run.kinds_[i].target_;
      for (double PlacementFigures::*value : { &PlacementFigures::p50_,
                                               &PlacementFigures::p99_,
                                               &PlacementFigures::onTime_,
                                               &PlacementFigures::quality_,
                                               &PlacementFigures::goodput_ }) {
        AddShare(mean.kinds_[i].*value, run.kinds_[i].*value, aSeeds);
      }
    }
    for (double PlacementRun::*value : { &PlacementRun::connectsPerRequest_,
                                         &PlacementRun::sendsPerRequest_,
                                         &PlacementRun::hedgesPerRequest_,
                                         &PlacementRun::hedgesWon_,
                                         &PlacementRun::abandoned_ }) {
      AddShare(mean.*value, run.*value, aSeeds);
    }
  }
  return mean;
}

} // namespace camphorfield
