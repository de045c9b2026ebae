// Fair admission: 75 organisations, a few of them large, one of which sends
// seven times its usual rate.
#include "gateway/admission/organisation_stats.h"
#include "gateway/replay_fixture.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kObjective = milliseconds(150);
constexpr Duration kWork = milliseconds(15);

struct Outcome
{
  std::uint32_t asked_ = 0;
  std::uint32_t onTime_ = 0;

  double Share() const
  {
    return asked_ == 0 ? 1.0 : static_cast<double>(onTime_) / asked_;
  }
};

/** Organisations that send to one plain route, over two daemons. */
class FairReplay
{
public:
  FairReplay(bool aFair, std::uint64_t aSeed)
    : replay_(2, aSeed)
    , rng_(aSeed + 1)
  {
    for (int i = 0; i < 3; ++i) {
      replay_.AddServer("s", 1.0);
    }
    GatewayRoute route;
    route.name_ = "plain";
    route.prefix_ = "/plain/";
    route.timeout_ = seconds(1);
    route.objective_ = kObjective;
    route.maxAttempts_ = 2;
    route.to_.push_back({ "s", 1.0 });
    replay_.SetRoute(route);
    replay_.Config().organisations_.emplace();
    for (int i = 0; i < 75; ++i) {
      const std::string number = std::to_string(i);
      replay_.Config().organisations_->push_back(
        { "name" + number, { "key" + number }, std::nullopt, Rate(i), 0.0 });
    }
    GatewayPolicy policy;
    policy.fair_ = aFair;
    replay_.SetPolicy(policy);
    replay_.Publish();
  }
  static double Rate(int aNumber) { return aNumber < 5 ? 40.0 : 3.0; }
  /** Sends until aEnd; the surge multiplies the rate of the first one. */
  void Send(int aNumber, TimePoint aEnd, double aFactor)
  {
    std::exponential_distribution<double> gap(Rate(aNumber) * aFactor);
    replay_.At(Duration(static_cast<std::int64_t>(gap(rng_) * 1e6)),
               [this, aNumber, aEnd, aFactor]() {
                 if (replay_.Clock() < aEnd) {
                   Ask(aNumber, replay_.Clock(), 1);
                   Send(aNumber, aEnd, aFactor);
                 }
               });
  }
  void Run()
  {
    const TimePoint begin = replay_.Clock();
    for (int i = 0; i < 75; ++i) {
      Send(i, begin + seconds(12), 0.8);
    }
    replay_.At(seconds(3),
               [this, begin]() { Send(0, begin + seconds(9), 0.8 * 6); });
    replay_.Run({ { "/plain/x", 0.0, kWork } }, seconds(13));
  }
  Outcome Surging() { return outcomes_[0]; }
  Outcome Others()
  {
    Outcome sum;
    for (const auto& [number, outcome] : outcomes_) {
      sum.asked_ += number == 0 ? 0 : outcome.asked_;
      sum.onTime_ += number == 0 ? 0 : outcome.onTime_;
    }
    return sum;
  }
  double All()
  {
    const Outcome others = Others();
    const Outcome first = Surging();
    return static_cast<double>(others.onTime_ + first.onTime_) /
           (others.asked_ + first.asked_);
  }
  double Worst()
  {
    double worst = 1.0;
    for (const auto& [number, outcome] : outcomes_) {
      worst = std::min(worst, outcome.Share());
    }
    return worst;
  }
  std::uint64_t Ran()
  {
    std::uint64_t ran = 0;
    for (const ModelServer& server : replay_.Servers()) {
      ran += server.ran_;
    }
    return ran;
  }

private:
  void Ask(int aNumber, TimePoint aBegun, int aRetries)
  {
    outcomes_[aNumber].asked_ += aRetries == 1 ? 1 : 0;
    const std::uint64_t id =
      replay_.SendRequest(rng_() % 2,
                          "/plain/x",
                          seconds(1),
                          "caller",
                          "key" + std::to_string(aNumber));
    const ProxyAnswer* answer = replay_.AnswerOf(id);
    if (answer != nullptr && answer->retryAfter_.count() > 0 && aRetries > 0) {
      replay_.At(answer->retryAfter_,
                 [this, aNumber, aBegun]() { Ask(aNumber, aBegun, 0); });
      return;
    }
    const Duration left = aBegun + kObjective - replay_.Clock();
    replay_.At(std::max(left, Duration::zero()), [this, aNumber, id]() {
      const ProxyAnswer* late = replay_.AnswerOf(id);
      outcomes_[aNumber].onTime_ +=
        late != nullptr && late->code_ == ProxyCode::Forwarded ? 1 : 0;
    });
  }

  Replay replay_;
  Rng rng_;
  std::map<int, Outcome> outcomes_;
};

} // namespace

TEST_GROUP(Fair){};

// Guards against one organisation's surge that is paid for by all others, and
// against room that is left unused for them.
TEST(Fair, SurgeOfOneOrganisation)
{
  for (std::uint64_t seed = 10; seed < 16; ++seed) {
    FairReplay before(false, seed);
    before.Run();
    FairReplay after(true, seed);
    after.Run();
    if (std::getenv("CAMPHORFIELD_FIGURES") != nullptr) {
      for (FairReplay* replay : { &before, &after }) {
        std::printf("others on time %.3f, worst %.3f, surging %.3f, all %.3f, "
                    "ran %lu\n",
                    replay->Others().Share(),
                    replay->Worst(),
                    replay->Surging().Share(),
                    replay->All(),
                    static_cast<unsigned long>(replay->Ran()));
      }
    }
    CHECK_TRUE(after.Others().Share() > before.Others().Share());
    CHECK_TRUE(after.Others().Share() > 0.95);
    CHECK_TRUE(after.Worst() > 0.5 * after.All());
    CHECK_TRUE(static_cast<double>(after.Ran()) >
               0.97 * static_cast<double>(before.Ran()));
  }
}

// Guards against wrong decisions in single situations of a full window.
TEST(Fair, WhoIsAdmitted)
{
  struct Case
  {
    const char* name_;
    double inFlight_;
    std::uint64_t sender_; ///< 1 has used much, 2 little.
    std::uint32_t priority_;
    bool needBefore_; ///< Sender 2 has asked before, at 10 in flight.
    bool admitted_;
  };
  const std::vector<Case> cases{
    { "room, heavy", 9, 1, 1, false, true },
    { "room, light", 9, 2, 1, false, true },
    { "full, heavy", 10, 1, 1, false, false },
    { "full, light", 10, 2, 1, false, true },
    { "far above, light", 11, 2, 1, false, false },
    { "room, heavy, others in need", 9, 1, 1, true, false },
    { "half full, heavy, others in need", 7, 1, 1, true, true },
    { "full, heavy, more urgent", 10, 1, 0, false, true },
    { "full, light, less urgent", 10, 2, 2, false, false },
    { "room, light, less urgent, others in need", 9, 3, 2, true, false },
  };
  const TimePoint now{ seconds(100) };
  for (const Case& item : cases) {
    FairAdmission fair;
    fair.inFlight_[1] = 10;
    for (int i = 0; i < 20; ++i) {
      CountFairUse(fair, { 1, 5.0, 1 }, now);
    }
    CountFairUse(fair, { 2, 5.0, 1 }, now);
    if (item.needBefore_) {
      IsFairlyAdmitted(fair, { 2, 5.0, 1 }, 10, 10, now);
    }
    const FairVerdict verdict = IsFairlyAdmitted(
      fair, { item.sender_, 5.0, item.priority_ }, item.inFlight_, 10, now);
    CHECK_EQUAL_TEXT(item.admitted_, verdict.admitted_, item.name_);
  }
}

// Guards against as many time series as there are organisations.
TEST(Fair, MetricsHaveABoundOfLabels)
{
  std::map<std::string, OrganisationStats> all;
  for (int i = 0; i < 1000; ++i) {
    CountOutcome(all["name" + std::to_string(i)], ProxyCode::Forwarded);
  }
  CountOutcome(all["name500"], ProxyCode::RateCapped);
  const auto few = SummariseOrganisations(all, 50);
  LONGS_EQUAL(51, few.size());
  STRCMP_EQUAL("name500", few[0].first.c_str());
  STRCMP_EQUAL("other", few[50].first.c_str());
  LONGS_EQUAL(950, few[50].second.served_);
}
