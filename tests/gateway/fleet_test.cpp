// Roles and budget shares of hundreds of daemons whose views of the fleet
// differ: late, partitioned, or during starts, kills and joins.
#include "core/rng_type.h"
#include "gateway/fleet/fleet_role.h"
#include "gateway/guidance/cold_server.h"
#include "gateway/request/retry_budget.h"
#include "gateway/shared_fixture.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <numeric>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(250);
constexpr std::size_t kStepsPerSecond = 4;
constexpr std::size_t kSeconds = 45;
constexpr std::size_t kWindowSeconds = 10;
constexpr std::size_t kDomains = 7;
constexpr std::size_t kStrongPerDomain = 3;
constexpr std::array kColdRates{ 10.0, 100.0 };
constexpr double kColdOverage = 1.5;
constexpr double kColdSlack = 5.0;
constexpr std::size_t kColdSeconds = 32;
constexpr std::size_t kMaxLagSteps = 6; ///< Age of the oldest view: 1.5 s.

/** Truth about one daemon, step by step. */
struct Truth
{
  MemberRecord member_;
  bool up_ = true;
  std::size_t partition_ = 0; ///< Daemons see only their own partition.
};

/** One daemon with its view, which lags behind the truth. */
struct FleetDaemon
{
  FleetRole role_;
  RetryBudget budget_;
  std::size_t lag_ = 0; ///< In steps.
  ColdPlan plan_;
  std::map<double, ColdPhase> phases_; ///< One cold server for each rate.
};

/** A fleet whose daemons spend all extra requests that their budget allows. */
class Fleet
{
public:
  explicit Fleet(std::size_t aDaemons)
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      Add();
    }
  }

  void Add();
  void Restart(std::size_t aDaemon);
  void Step();
  std::vector<Truth>& Members() { return truth_; }
  std::size_t Seconds() const { return step_ / kStepsPerSecond; }
  bool AtSecond(std::size_t aSecond) const
  {
    return step_ == aSecond * kStepsPerSecond;
  }

  /** Most extra requests in a window, less what its first requests allow. */
  double LargestOverdraft() const;
  double TotalExtras() const
  {
    return std::accumulate(extras_.begin(), extras_.end(), 0.0);
  }

  /** Most requests that a cold server of a rate got in any one second. */
  std::size_t LargestColdSecond(double aPerSecond) const;
  /** Share of its rate that it got in an interval. */
  double ColdUse(double aPerSecond, std::size_t aFrom, std::size_t aTo) const;

  BudgetLimits limits_{ 0.2, 630.0, seconds(kWindowSeconds) };

private:
  void Observe(std::size_t aDaemon, TimePoint aNow);
  void SendCold(FleetDaemon& aDaemon, DaemonId aId, TimePoint aNow);

  Rng rng_{ 7 };
  std::vector<Truth> truth_;
  std::vector<FleetDaemon> daemons_;
  std::deque<std::vector<Truth>> history_; ///< Newest first.
  std::vector<double> firsts_;
  std::vector<double> extras_;
  std::map<double, std::vector<TimePoint>> coldSends_; ///< By rate.
  std::size_t step_ = 0;
};

TimePoint
TimeOf(std::size_t aStep)
{
  return TimePoint{ seconds(1000) + kStep * static_cast<int>(aStep) };
}

void
Fleet::Add()
{
  const std::size_t index = truth_.size();
  Truth truth;
  truth.member_.id_ = DaemonId{ index + 1 };
  truth.member_.name_ = "d" + std::to_string(index);
  truth.member_.state_ = MemberState::Alive;
  truth.member_.ready_ = true;
  truth.member_.callerAddress_ = "10.0.0.1:" + std::to_string(index);
  truth.member_.failureDomain_ = "zone" + std::to_string(index % kDomains);
  truth.member_.capacity_ = index < kDomains * kStrongPerDomain ? 500 : 120;
  truth_.push_back(truth);
  daemons_.push_back({ MakeFleetRole(TimeOf(step_)), {}, 0 });
  daemons_.back().lag_ = rng_() % (kMaxLagSteps + 1);
}

void
Fleet::Restart(std::size_t aDaemon)
{
  daemons_[aDaemon].role_ = MakeFleetRole(TimeOf(step_));
  daemons_[aDaemon].budget_ = RetryBudget{};
  daemons_[aDaemon].plan_ = ColdPlan{};
  daemons_[aDaemon].phases_.clear();
  truth_[aDaemon].up_ = true;
}

void
Fleet::Observe(std::size_t aDaemon, TimePoint aNow)
{
  FleetDaemon& daemon = daemons_[aDaemon];
  const auto& seen = history_[std::min(daemon.lag_, history_.size() - 1)];
  std::vector<MemberRecord> members;
  for (std::size_t i = 0; i < seen.size(); ++i) {
    const bool reachable = seen[i].partition_ == truth_[aDaemon].partition_;
    if (i == aDaemon || (seen[i].up_ && reachable)) {
      members.push_back(seen[i].member_);
    }
  }
  if (aDaemon >= seen.size()) {
    members.push_back(truth_[aDaemon].member_);
  }
  RecordFleetSize(daemon.role_, members.size(), aNow);
  UpdateFleetRole(daemon.role_,
                  truth_[aDaemon].member_.id_,
                  members,
                  kMaxDirectoryEntries,
                  limits_.window_,
                  aNow);
}

// A daemon sends as often as its slots allow, for one step.
void
Fleet::SendCold(FleetDaemon& aDaemon, DaemonId aId, TimePoint aNow)
{
  for (const double perSecond : kColdRates) {
    aDaemon.plan_.slots_[perSecond].rate_ =
      MakeColdRate(perSecond, kColdOverage, kColdSlack);
  }
  SetColdOwners(aDaemon.plan_, aId, aDaemon.role_.coldOwners_);
  ExtendColdPlan(aDaemon.plan_, { aNow, aNow.time_since_epoch().count() });
  for (const double perSecond : kColdRates) {
    ColdPhase& phase = aDaemon.phases_[perSecond];
    for (TimePoint at = aNow; at < aNow + kStep; at += milliseconds(10)) {
      while (TimeUntilColdSlot(aDaemon.plan_, phase, perSecond, 0, at) ==
             Duration::zero()) {
        UseColdSlot(aDaemon.plan_, phase, perSecond, at);
        coldSends_[perSecond].push_back(at);
      }
    }
  }
}

std::size_t
Fleet::LargestColdSecond(double aPerSecond) const
{
  const auto found = coldSends_.find(aPerSecond);
  std::vector<TimePoint> times =
    found == coldSends_.end() ? std::vector<TimePoint>{} : found->second;
  std::sort(times.begin(), times.end());
  return CountLargestWindow(times, seconds(1));
}

double
Fleet::ColdUse(double aPerSecond, std::size_t aFrom, std::size_t aTo) const
{
  const std::vector<TimePoint>& times = coldSends_.at(aPerSecond);
  const auto count =
    std::count_if(times.begin(), times.end(), [&](TimePoint aAt) {
      return aAt >= TimeOf(aFrom * kStepsPerSecond) &&
             aAt < TimeOf(aTo * kStepsPerSecond);
    });
  return static_cast<double>(count) / aPerSecond /
         static_cast<double>(aTo - aFrom);
}

void
Fleet::Step()
{
  const TimePoint now = TimeOf(step_);
  history_.push_front(truth_);
  history_.resize(std::min<std::size_t>(history_.size(), kMaxLagSteps + 1));
  firsts_.push_back(0.0);
  extras_.push_back(0.0);
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (!truth_[i].up_) {
      continue;
    }
    Observe(i, now);
    SendCold(daemons_[i], truth_[i].member_.id_, now);
    // Callers may reach any daemon: a few keep using old addresses.
    if (daemons_[i].role_.isEntryDaemon_ || rng_() % 40 == 0) {
      CountFirst(daemons_[i].budget_, limits_, now);
      firsts_.back() += 1.0;
    }
    while (TakeExtra(
      daemons_[i].budget_, limits_, daemons_[i].role_.slackFraction_, now)) {
      extras_.back() += 1.0;
    }
  }
  ++step_;
}

double
Fleet::LargestOverdraft() const
{
  constexpr std::size_t kWindow = kWindowSeconds * kStepsPerSecond;
  double largest = 0.0;
  for (std::size_t end = kWindow; end <= extras_.size(); ++end) {
    const auto from = static_cast<std::ptrdiff_t>(end - kWindow);
    const auto to = static_cast<std::ptrdiff_t>(end);
    const double extras =
      std::accumulate(extras_.begin() + from, extras_.begin() + to, 0.0);
    const double firsts =
      std::accumulate(firsts_.begin() + from, firsts_.begin() + to, 0.0);
    largest = std::max(largest, extras - limits_.ratio_ * firsts);
  }
  return largest;
}

using Disturb = void (*)(Fleet& aFleet);

void
NoChange(Fleet&)
{
}

/** The strongest daemons, which serve callers, are killed and restarted. */
void
KillEntryDaemons(Fleet& aFleet)
{
  for (std::size_t i = 0; i < kDomains * kStrongPerDomain; ++i) {
    if (aFleet.AtSecond(20)) {
      aFleet.Members()[i].up_ = false;
    } else if (aFleet.AtSecond(22)) {
      aFleet.Restart(i);
    }
  }
}

void
KillAll(Fleet& aFleet)
{
  for (std::size_t i = 0; aFleet.AtSecond(20) && i < aFleet.Members().size();
       ++i) {
    aFleet.Restart(i);
  }
}

/** Each failure domain is cut off from the others. */
void
SeparateDomains(Fleet& aFleet)
{
  std::vector<Truth>& members = aFleet.Members();
  for (std::size_t i = 0; i < members.size(); ++i) {
    members[i].partition_ =
      aFleet.Seconds() >= 20 && aFleet.Seconds() < 38 ? i % kDomains : 0;
  }
}

/** Each daemon in turn sees nobody but itself for some seconds. */
void
IsolateInTurn(Fleet& aFleet)
{
  std::vector<Truth>& members = aFleet.Members();
  for (std::size_t i = 0; i < members.size(); ++i) {
    members[i].partition_ =
      aFleet.Seconds() > 14 && aFleet.Seconds() % 5 == i % 5 ? i + 1 : 0;
  }
}

/** Weak daemons join; then the strong ones are lost for good. */
void
JoinAndLoseStrong(Fleet& aFleet)
{
  for (int i = 0; aFleet.AtSecond(20) && i < 60; ++i) {
    aFleet.Add();
  }
  for (std::size_t i = 0;
       aFleet.AtSecond(23) && i < kDomains * kStrongPerDomain;
       ++i) {
    aFleet.Members()[i].up_ = false;
  }
}

/** A fleet that sends all requests that cold servers may get. */
struct ColdFleetCase
{
  const char* name_;
  std::size_t daemons_;
  Disturb disturb_;
  double used_; ///< Least use of the rate from second 20 to 30.
};

struct FleetCase
{
  const char* name_;
  std::size_t daemons_;
  Disturb disturb_;
};

} // namespace

TEST_GROUP(FleetRole){};

// Bound of the platform: in any window, over all daemons, extra requests stay
// below the ratio of the first requests plus the slack, whatever views say.
TEST(FleetRole, NoViewOverdrawsTheRetryBudget)
{
  const std::vector<FleetCase> cases{
    { "steady", 295, NoChange },
    { "entry daemons restart", 60, KillEntryDaemons },
    { "all restart", 60, KillAll },
    { "domains cut off from each other", 60, SeparateDomains },
    { "each isolated in turn", 60, IsolateInTurn },
    { "many join, the strong are lost", 60, JoinAndLoseStrong },
  };
  for (const FleetCase& item : cases) {
    Fleet fleet(item.daemons_);
    while (fleet.Seconds() < kSeconds) {
      item.disturb_(fleet);
      fleet.Step();
    }
    CHECK_TEXT(fleet.LargestOverdraft() <= fleet.limits_.slack_, item.name_);
  }
}

// In any one second, over all daemons, a cold server gets at most its rate
// times the overage plus the slack.
TEST(FleetRole, NoViewOverdrawsAColdServersRate)
{
  const std::vector<ColdFleetCase> cases{
    { "small", 6, NoChange, 0.95 },
    { "steady", 83, NoChange, 0.95 },
    { "entry daemons restart", 83, KillEntryDaemons, 0.5 },
    { "all restart", 83, KillAll, 0.5 },
    { "all of a large fleet restart", 295, KillAll, 0.5 },
    { "domains cut off from each other", 83, SeparateDomains, 0.0 },
    { "each isolated in turn", 83, IsolateInTurn, 0.0 },
    { "many join, the strong are lost", 83, JoinAndLoseStrong, 0.4 },
  };
  for (const ColdFleetCase& item : cases) {
    Fleet fleet(item.daemons_);
    while (fleet.Seconds() < kColdSeconds) {
      item.disturb_(fleet);
      fleet.Step();
    }
    for (const double perSecond : kColdRates) {
      const double largest =
        static_cast<double>(fleet.LargestColdSecond(perSecond));
      const double use = fleet.ColdUse(perSecond, 20, 30);
      const std::string text = std::string(item.name_) + " at " +
                               std::to_string(perSecond) +
                               "/s: " + std::to_string(largest) +
                               " in 1 s, use " + std::to_string(use);
      CHECK_TEXT(largest <= kColdOverage * perSecond + kColdSlack,
                 text.c_str());
      CHECK_TEXT(use >= item.used_, text.c_str());
    }
  }
}

// A budget that nobody may use would keep the bound, too.
TEST(FleetRole, EntryDaemonsUseMostOfTheSlack)
{
  Fleet fleet(60);
  while (fleet.Seconds() < kSeconds) {
    fleet.Step();
  }
  const double windows = static_cast<double>(kSeconds) / kWindowSeconds - 1.0;
  CHECK_TRUE(fleet.TotalExtras() > 0.6 * windows * fleet.limits_.slack_);
}
