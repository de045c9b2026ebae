/** Several membership states on a network that delays, drops and cuts. */
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
  std::uint64_t sentBytes_ = 0; ///< As the sizer tells; zero without one.
  std::uint64_t receivedBytes_ = 0;
  std::uint64_t vmLists_ = 0;        ///< Calls to the platform.
  std::uint64_t membersChanged_ = 0; ///< Lists told to other packages.
};

/** One daemon on the network. */
struct FleetNode
{
  MembershipSettings settings_;
  MembershipState state_;
  Rng rng_;
  bool running_ = false;
  bool refuses_ = true; ///< Stopped: the VM says so; else it is silent.
  bool paused_ = false;
  std::vector<PeerMessage> unread_; ///< Arrived while it was paused.
  std::map<std::string, int>
    rumorsHeard_;                        ///< Servers of rumors, and how often.
  std::vector<TimelineRecord> timeline_; ///< All but joins.
  FleetCounters counters_;
};

/** Something that will happen on the network. */
struct FleetEvent
{
  TimePoint at_;
  std::uint64_t order_ = 0;
  std::size_t to_ = 0;
  std::uint64_t incarnation_ = 0; ///< Incarnation that it is for; zero: any.
  std::shared_ptr<Event> event_;
};

/** Daemons, their network and the paused clock. */
class Fleet
{
public:
  Fleet(std::size_t aSize, std::size_t aDomains, std::uint64_t aSeed);

  /** Starts a daemon as a new life, by its clock or by a wrong one. */
  void Start(std::size_t aNode);
  void StartAs(std::size_t aNode, std::uint64_t aIncarnation);
  void StartAll();
  /** Ends it without a word. */
  void Crash(std::size_t aNode, bool aRefuses);
  void Pause(std::size_t aNode);
  void Resume(std::size_t aNode);
  /** Drops messages from one to the other. */
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

  /** What one daemon thinks of another; Dead when it isn't in its list. */
  MemberState StateOf(std::size_t aNode, std::size_t aOther) const;
  /** What it knows of another, or null. */
  const MemberRecord* RecordOf(std::size_t aNode, std::size_t aOther) const;
  /** Whether all running daemons see exactly the running ones as alive. */
  bool Converged() const;
  /** Whether every running daemon but the others sees it in that state. */
  bool AllSee(std::size_t aOther, MemberState aState) const;
  std::size_t CountTimeline(TimelineKind aKind) const;
  std::uint64_t DecisionsHash() const { return decisionsHash_; }
  Now GetNow() const;

  std::vector<FleetNode> nodes_;
  double loss_ = 0.0; ///< Share of messages that are dropped.
  Duration minDelay_ = Duration(500);
  Duration maxDelay_ = Duration(2000);
  std::vector<VmRecord> vms_; ///< The platform's list.
  bool platformDown_ = false;
  /** Encoded size of a message, for measurements. */
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
  std::vector<TimePoint> nextTicks_; ///< Tick under way for each daemon.
  EntriesAnswer answer_;
};

} // namespace camphorfield
