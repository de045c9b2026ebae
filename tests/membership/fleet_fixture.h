/** Simulated fleet: membership states on a network with delay, loss and
 * partitions. */
#pragma once

#include "membership/membership_func.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace camphorfield {

/** Counters of one daemon. */
struct FleetCounters
{
  std::uint64_t sent_ = 0;      ///< Messages.
  std::uint64_t sentBytes_ = 0; ///< As given by sizer_; zero without it.
  std::uint64_t receivedBytes_ = 0;
  std::uint64_t vmLists_ = 0;        ///< Calls to the platform.
  std::uint64_t membersChanged_ = 0; ///< MembersChanged emitted.
};

/** One daemon of the fleet. */
struct FleetNode
{
  MembershipSettings settings_;
  MembershipState state_;
  Rng rng_;
  bool running_ = false;
  bool refuses_ = true; ///< When stopped: refuses connections; else is silent.
  bool paused_ = false;
  std::vector<PeerMessage> unread_;        ///< Received while it was paused.
  std::map<std::string, int> rumorsHeard_; ///< Leaving rumors by server.
  std::vector<TimelineRecord> timeline_;   ///< All events but joins.
  FleetCounters counters_;
};

/** A message, reply or Tick to be delivered; a Tick has no event_. */
struct FleetEvent
{
  TimePoint at_;
  std::uint64_t order_ = 0;
  std::size_t to_ = 0;
  std::uint64_t incarnation_ = 0; ///< Only for this one; zero: any.
  std::shared_ptr<Event> event_;
};

/** Daemons, their network and a simulated clock. */
class Fleet
{
public:
  Fleet(std::size_t aSize, std::size_t aDomains, std::uint64_t aSeed);

  /** Starts a daemon with a new incarnation, or with a given one, as from a
   * wrong clock. */
  void Start(std::size_t aNode);
  void StartAs(std::size_t aNode, std::uint64_t aIncarnation);
  void StartAll();
  /** Stops a daemon without notice. */
  void Crash(std::size_t aNode, bool aRefuses);
  void Pause(std::size_t aNode);
  void Resume(std::size_t aNode);
  /** Drops messages in one direction. */
  void Cut(std::size_t aFrom, std::size_t aTo);
  void CutBothWays(const std::set<std::size_t>& aPart);
  void Heal();

  /** Hands an event to a daemon now. */
  void InjectEvent(std::size_t aNode, const Event& aEvent);
  void Spread(std::size_t aNode, const Rumor& aRumor);
  void Adopt(std::size_t aNode, std::uint64_t aGeneration);
  EntriesAnswer RequestEntries(std::size_t aNode, const std::string& aDomain);
  void SetReadyAll();

  void Run(Duration aTime);
  /** Runs until the condition holds. @return The time taken, or aMost. */
  Duration RunUntil(const std::function<bool()>& aCondition, Duration aMost);

  /** State of another daemon in a daemon's list; Dead if it is not listed. */
  MemberState StateOf(std::size_t aNode, std::size_t aOther) const;
  /** Record of another daemon in a daemon's list, or null. */
  const MemberRecord* RecordOf(std::size_t aNode, std::size_t aOther) const;
  /** Whether all running daemons list exactly the running ones as alive. */
  bool Converged() const;
  /** Whether every other running daemon lists it in that state. */
  bool AllSee(std::size_t aOther, MemberState aState) const;
  std::size_t CountTimeline(TimelineKind aKind) const;
  std::uint64_t DecisionsHash() const { return decisionsHash_; }
  Now GetNow() const;

  std::vector<FleetNode> nodes_;
  double loss_ = 0.0; ///< Share of messages that are dropped.
  Duration minDelay_ = Duration(500);
  Duration maxDelay_ = Duration(2000);
  std::vector<VmRecord> vms_; ///< The platform's VM list.
  bool platformDown_ = false;
  /** Encoded size of a message in bytes; may be empty. */
  std::function<std::size_t(const PeerMessage&)> sizer_;

private:
  void ApplyDecisions(std::size_t aNode, const Decisions& aDecisions);
  void ApplySend(std::size_t aNode, const SendPeer& aSend);
  void AnswerCall(std::size_t aNode, const PlatformCall& aCall);
  void Schedule(Duration aAfter,
                std::size_t aTo,
                std::uint64_t aIncarnation,
                const Event& aEvent);
  void ScheduleTick(std::size_t aNode);
  void Deliver(const FleetEvent& aEvent);

  struct IsLater
  {
    bool operator()(const FleetEvent& aLeft, const FleetEvent& aRight) const
    {
      return std::tie(aLeft.at_, aLeft.order_) >
             std::tie(aRight.at_, aRight.order_);
    }
  };

  TimePoint now_{ Duration(std::chrono::hours(1)) };
  Rng rng_;
  std::uint64_t nextOrder_ = 1;
  std::uint64_t decisionsHash_ = 1;
  std::uint64_t nextIncarnation_ = 1'764'800'000'000'000ULL;
  std::map<std::string, std::size_t> byAddress_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::priority_queue<FleetEvent, std::vector<FleetEvent>, IsLater> queue_;
  std::vector<TimePoint> nextTicks_; ///< Next scheduled Tick of each daemon.
  EntriesAnswer answer_;
};

} // namespace camphorfield
