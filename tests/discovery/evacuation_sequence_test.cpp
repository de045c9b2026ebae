// Evacuations in a fleet, from the store to each daemon, over outages, restores
// and releases. Guards against daemons that use an evacuated domain because
// they started when the table could not be read, and against evacuations that
// go on after their end.
#include "discovery/stale_evacuations.h"
#include "discovery/store_fixture.h"
#include "gateway/guidance/evacuation.h"

#include <CppUTest/TestHarness.h>
#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kKind = "evacuations";
constexpr const char* kDomain = "a";
constexpr Duration kTick = milliseconds(200);
constexpr Duration kEvacuateWithin = seconds(5); ///< bounds.evacuate-ms
/** An object that a restored store has lost ends by then. */
constexpr Duration kEndWithin = seconds(8);
constexpr std::size_t kWatchers = 3;

enum class Step : std::uint8_t
{
  Evacuate,
  Return,
  Save,    ///< The store makes a copy.
  Restore, ///< It comes back from it.
  Refuse,  ///< It refuses the kind.
  Answer,  ///< It answers again.
  Start,   ///< A daemon that is no watcher starts again.
  Release, ///< All daemons start again, one after another, within 4 s.
  End      ///< Number of steps.
};

struct SequenceCase
{
  const char* name_;
  std::vector<std::pair<Duration, Step>> steps_;
  /** The domain is evacuated at all daemons in these intervals, ... */
  std::vector<std::pair<Duration, Duration>> held_;
  /** ... and at none in these. */
  std::vector<std::pair<Duration, Duration>> free_;
};

struct FleetDaemon
{
  Reader reader_;
  std::optional<std::set<std::string>> stated_;
  Evacuations inForce_;
  TimePoint startedAt_{};

  /** Until then it sends no request; afterwards it must know. */
  bool UsesServers() const
  {
    return reader_.table_.complete_ || stated_.has_value() ||
           reader_.now_ - startedAt_ >= kEvacuateWithin;
  }
};

class Fleet
{
public:
  explicit Fleet(std::size_t aDaemons)
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      daemons_.push_back(Make(i));
    }
  }
  void Apply(Step aStep)
  {
    switch (aStep) {
      case Step::Evacuate:
        store_.Put(kDomain, "{}");
        break;
      case Step::Return:
        store_.Remove(kDomain);
        break;
      case Step::Save:
        store_.Save();
        break;
      case Step::Restore:
        store_.Restore();
        break;
      case Step::Refuse:
      case Step::Answer:
        store_.Refuse(aStep == Step::Refuse);
        break;
      case Step::Start:
        daemons_.back() = Make(daemons_.size() - 1);
        break;
      default:
        released_ = 0;
        break;
    }
  }
  void Tick()
  {
    // A release takes 20 ticks.
    const std::size_t releasedTo =
      std::min(daemons_.size(), released_ + (daemons_.size() + 19) / 20);
    for (; released_ < releasedTo; ++released_) {
      daemons_[released_] = Make(released_);
    }
    now_ += kTick;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      FleetDaemon& daemon = daemons_[i];
      daemon.reader_.Run(store_, now_ - daemon.reader_.now_);
      const std::size_t other = rng_() % daemons_.size();
      if (i >= kWatchers) {
        Ask(daemon, daemons_[i % kWatchers]);
      }
      if (!daemon.reader_.table_.complete_ && other != i) {
        Ask(daemon, daemons_[other]);
      }
      UpdateEvacuations(
        daemon.inForce_,
        EvacuationsInForce(daemon.reader_.table_, daemon.stated_),
        now_);
    }
  }
  std::size_t CountUsing(bool aEvacuated) const
  {
    return static_cast<std::size_t>(std::count_if(
      daemons_.begin(), daemons_.end(), [aEvacuated](const FleetDaemon& aOne) {
        return aOne.UsesServers() &&
               IsEvacuated(aOne.inForce_, kDomain) == aEvacuated;
      }));
  }

private:
  FleetDaemon Make(std::size_t aNumber)
  {
    FleetDaemon daemon{ Reader(++lastId_, kKind), {}, {}, now_ };
    daemon.reader_.now_ = now_;
    daemon.reader_.table_.passive_ = aNumber >= kWatchers;
    return daemon;
  }
  /** Sends what GatewayHost sends to a daemon that requests a feed; its other
   * tables are up to date, as the store refuses this kind alone. */
  void Ask(FleetDaemon& aDaemon, const FleetDaemon& aSource)
  {
    const TableSync& table = aSource.reader_.table_;
    FeedMessage message;
    if (table.complete_) {
      if (now_ - table.upToDateAt_ <= kMaxFeedAge) {
        aDaemon.reader_.Follow(aSource.reader_);
        return;
      }
      message.storeUnavailable_ = true;
      AddEvacuations(message, kKind, { &table });
    } else {
      message.statedEvacuations_ = aSource.stated_;
    }
    const auto known = FindEvacuations(*DecodeFeed(EncodeFeed(message)), kKind);
    if (known && !aDaemon.reader_.table_.complete_) {
      aDaemon.stated_ = aDaemon.stated_.value_or(std::set<std::string>{});
      aDaemon.stated_->insert(known->begin(), known->end());
    }
  }

  ModelStore store_;
  std::vector<FleetDaemon> daemons_;
  TimePoint now_{ seconds(100) };
  Rng rng_{ 7 };
  std::uint64_t lastId_ = 0;
  std::size_t released_ = SIZE_MAX / 2;
};

bool
IsWithin(const std::vector<std::pair<Duration, Duration>>& aIntervals,
         Duration aAt)
{
  return std::any_of(
    aIntervals.begin(), aIntervals.end(), [aAt](const auto& aInterval) {
      return aAt >= aInterval.first && aAt < aInterval.second;
    });
}

} // namespace

TEST_GROUP(EvacuationSequence){};

TEST(EvacuationSequence, DaemonsDifferFromWhatTheStoreAcknowledged)
{
  const Duration at2 = seconds(2);
  const Duration at4 = seconds(4);
  const Duration at8 = seconds(8);
  const Duration at10 = seconds(10);
  const Duration at14 = seconds(14);
  const Duration at20 = seconds(20);
  const Duration end = seconds(30);
  const Duration evacuated = at2 + kEvacuateWithin;
  const std::vector<SequenceCase> cases{
    { "begun and ended",
      { { at2, Step::Evacuate }, { at14, Step::Return } },
      { { evacuated, at14 } },
      { { {}, at2 }, { at14 + kEndWithin, end } } },
    { "ended twice",
      { { at2, Step::Evacuate },
        { at8, Step::Return },
        { at8, Step::Return },
        { at10, Step::Evacuate },
        { at20, Step::Return } },
      { { evacuated, at8 }, { at10 + kEvacuateWithin, at20 } },
      { { at20 + kEndWithin, end } } },
    { "in an outage",
      { { at2, Step::Evacuate },
        { at8, Step::Refuse },
        { at10, Step::Start },
        { at20, Step::Answer } },
      { { evacuated, end } },
      { { {}, at2 } } },
    { "ended in an outage",
      { { at2, Step::Evacuate },
        { at8, Step::Refuse },
        { at10, Step::Return },
        { at20, Step::Answer } },
      { { evacuated, at20 } },
      { { at20 + kEndWithin, end } } },
    { "written in an outage",
      { { at2, Step::Refuse }, { at4, Step::Evacuate }, { at8, Step::Answer } },
      { { at8 + kEvacuateWithin, end } },
      { { {}, at8 } } },
    { "rolling release",
      { { at2, Step::Evacuate }, { at8, Step::Release } },
      { { evacuated, end } },
      { { {}, at2 } } },
    { "rolling release while the kind is refused",
      { { at2, Step::Evacuate },
        { at8, Step::Refuse },
        { at10, Step::Release },
        { at20, Step::Answer } },
      { { evacuated, end } },
      { { {}, at2 } } },
    { "two of them, and it ends meanwhile",
      { { at2, Step::Evacuate },
        { at8, Step::Refuse },
        { at10, Step::Release },
        { at14, Step::Return },
        { at14 + seconds(1), Step::Release },
        { at20, Step::Answer } },
      { { evacuated, at20 } },
      { { at20 + kEndWithin, end } } },
    { "restored without it",
      { { {}, Step::Save }, { at2, Step::Evacuate }, { at8, Step::Restore } },
      { { evacuated, at8 } },
      { { at8 + kEndWithin, end } } },
    { "restored without it, and written again",
      { { {}, Step::Save },
        { at2, Step::Evacuate },
        { at8, Step::Restore },
        { at8 + seconds(1), Step::Evacuate } },
      { { evacuated, end } },
      { { {}, at2 } } },
    { "ended, and restored with it",
      { { at2, Step::Evacuate },
        { at4, Step::Save },
        { at8, Step::Return },
        { at14, Step::Restore } },
      { { evacuated, at8 }, { at14 + kEvacuateWithin, end } },
      {} },
    { "restored in an outage with a release",
      { { at2, Step::Evacuate },
        { at4, Step::Save },
        { at8, Step::Refuse },
        { at10, Step::Restore },
        { at10, Step::Release },
        { at14, Step::Answer } },
      { { evacuated, end } },
      { { {}, at2 } } },
  };
  // Beyond 83, the number matters only for what daemons pass on to each other.
  for (const std::size_t daemons : { 6, 83, 295 }) {
    for (const SequenceCase& item : cases) {
      const bool isReleased = std::any_of(
        item.steps_.begin(), item.steps_.end(), [](const auto& aStep) {
          return aStep.second == Step::Release;
        });
      if (daemons > 83 && !isReleased) {
        continue;
      }
      Fleet fleet(daemons);
      std::size_t next = 0;
      for (Duration at{}; at < end; at += kTick) {
        while (next < item.steps_.size() && item.steps_[next].first <= at) {
          fleet.Apply(item.steps_[next++].second);
        }
        fleet.Tick();
        const std::string text = std::string(item.name_) + ", " +
                                 std::to_string(daemons) + " daemons, at " +
                                 std::to_string(at / milliseconds(1)) + " ms";
        if (IsWithin(item.held_, at)) {
          LONGS_EQUAL_TEXT(0, fleet.CountUsing(false), text.c_str());
        }
        if (IsWithin(item.free_, at)) {
          LONGS_EQUAL_TEXT(0, fleet.CountUsing(true), text.c_str());
        }
      }
      LONGS_EQUAL(item.steps_.size(), next);
    }
  }
}
