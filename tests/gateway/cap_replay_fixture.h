/** Simulation of daemons that keep caps together, and of their callers. */
#pragma once

#include "gateway/admission/rate_cap.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace camphorfield {

/** Requests of an organisation are counted over this time. */
constexpr Duration kCapWindow = std::chrono::seconds(5);

/** A daemon that joins knows the others, and they it, after this time: 0.18 s
 * at 66 daemons that all start. */
constexpr Duration kJoinViews = std::chrono::milliseconds(200);

/** What callers got, over the whole replay. */
struct CapReplayResult
{
  double asked_ = 0.0;
  double admitted_ = 0.0;
  /** Requests above what the rule allows, in the worst window; negative: less
   * than allowed. */
  double excess_ = -1e9;
  /** Share of what one bucket for all daemons admits that was refused, by
   * organisation and window. */
  double lossShare_ = 0.0;
  double fixedLossShare_ = 0.0; ///< The same with a fixed share per daemon.
  double messagesPerRequest_ = 0.0;
  /** Share of all caps whose owner was killed or paused. */
  double affected_ = 0.0;
};

/** Prints the figures if the environment asks for them. */
void
ReportCapFigures(const char* aName, const CapReplayResult& aResult);

class CapReplay
{
public:
  CapReplay(std::size_t aDaemons, std::uint64_t aSeed);

  void At(Duration aAfter, std::function<void()> aAction);
  void Run(Duration aTime);
  CapReplayResult Result() const;

  std::size_t BusiestOwner() const;
  std::size_t AnyDaemon() { return rng_() % daemons_.size(); }
  void Kill(std::size_t aDaemon);
  void Pause(std::size_t aDaemon, Duration aTime);
  /** The others, each a bit later or earlier, don't list a daemon for a time.
   */
  void LeaveViews(std::size_t aDaemon, Duration aAfter, Duration aTime);
  /** Cuts off a share of the daemons; views follow. */
  void Split(double aShare);
  void Heal();
  void Join();
  void RestartAll();
  /** The first daemons lose their state and come back at once, as after a kill;
   * the others don't notice. Views are known within kJoinViews. */
  void RestartSome(double aShare);
  void ScaleCaps(double aFactor);
  void LoseMessages(double aShare) { lost_ = aShare; }

private:
  struct Daemon
  {
    RateCaps caps_;
    Rng rng_;
    bool alive_ = true;
    int side_ = 0;
    TimePoint pausedUntil_{};
    std::vector<bool> lists_; ///< By daemon.
    std::size_t largest_ = 0; ///< Members ever listed.
  };
  struct Bucket
  {
    double tokens_ = 0.0;
    TimePoint at_{};
  };
  struct Customer
  {
    Organisation organisation_;
    double demand_ = 1.0; ///< Mean, as a multiple of the cap.
    double phase_ = 0.0;
    std::vector<std::size_t> callers_; ///< Daemon of each.
    Bucket reference_;
    std::vector<Bucket> fixed_;
    std::vector<TimePoint> sent_;
    std::map<std::int64_t, std::array<double, 3>> windows_;
    double allowed_ = 0.0; ///< In a window, from allowedFrom_ on.
    TimePoint allowedFrom_{};
  };
  struct Scheduled
  {
    TimePoint at_;
    std::uint64_t order_;
    std::shared_ptr<std::function<void()>> action_;
    bool operator>(const Scheduled& aOther) const
    {
      return std::tie(at_, order_) > std::tie(aOther.at_, aOther.order_);
    }
  };

  double Chance() { return std::uniform_real_distribution<double>()(rng_); }
  double OwnedShare(std::size_t aDaemon) const;
  Daemon MakeDaemon(std::size_t aIndex, std::uint64_t aSeed);
  void SetView(std::size_t aDaemon);
  void List(std::size_t aAt, std::size_t aOf, bool aListed, Duration aAfter);
  void Apply(std::size_t aDaemon, CapOutput& aOut);
  void Deliver(std::size_t aTo, DaemonId aFrom, const CapMessage& aMessage);
  void Tick(std::size_t aDaemon);
  void Arm(std::size_t aDaemon);
  void Ask(std::size_t aCustomer);
  void ScheduleAsk(std::size_t aCustomer);
  std::size_t PickEntry();
  void SetAllowed(Customer& aCustomer);
  bool TakeReference(const Organisation& aFrom,
                     double aShare,
                     Bucket& aBucket) const;

  TimePoint now_{ std::chrono::seconds(1000) };
  TimePoint begun_ = now_;
  Rng rng_;
  std::deque<Daemon> daemons_;
  std::size_t entries_ = 0; ///< The first daemons serve callers.
  std::vector<Customer> customers_;
  GatewayConfig config_;
  std::map<std::uint64_t, std::size_t> customerOf_; ///< By request.
  std::uint64_t nextRequest_ = 1;
  std::uint64_t order_ = 0;
  std::uint64_t messages_ = 0;
  double asked_ = 0.0;
  double lost_ = 0.0;
  double affected_ = 0.0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>>
    schedule_;
};

} // namespace camphorfield
