/** Many publish packages over one fake store, in simulated time. */
#pragma once

#include "publish/content_func.h"
#include "publish/publish_func.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorfield::test {

/** Fake store of the platform, with faults to inject. */
struct FakeStore
{
  std::map<std::string, PlatformObject> objects_;
  std::uint64_t lastVersion_ = 0;
  bool down_ = false;
  Duration latency_ = std::chrono::milliseconds(3);
  int loseReplies_ = 0;  ///< Swaps to apply whose reply is lost.
  int loseRequests_ = 0; ///< Swaps to lose before they are applied.
  /// Delay after which a lost request is applied after all; zero: never.
  Duration lateEffect_{};
  int throttle_ = 0;           ///< Calls to reject as throttled.
  bool downAfterSwap_ = false; ///< Take the store down after the next swap.
  /// If set, reads return these objects.
  std::optional<std::map<std::string, PlatformObject>> stale_;
  std::array<std::uint64_t, static_cast<std::size_t>(PlatformOp::End)> calls_{};
  std::map<std::int64_t, std::uint64_t> callsInSecond_;
  std::uint64_t bytesWritten_ = 0;
};

/** One simulated daemon. */
struct FakeDaemon
{
  std::string name_;
  PublishSettings settings_;
  PublishState state_;
  Rng rng_;
  TimePoint wake_; ///< When it needs a Tick.
  bool alive_ = true;
  bool paused_ = false;
  bool cutFromStore_ = false;
  bool cutFromPeers_ = false;
  /// Number of starts. Replies to calls of earlier runs are dropped.
  std::uint64_t restarts_ = 0;
  std::vector<std::function<void()>> heldEvents_; ///< Received while paused.
  std::vector<TimelineRecord> timeline_;
  std::vector<Generation> adopted_;
  std::map<Generation, TimePoint> adoptedAt_;
  std::uint64_t peerMessages_ = 0;
  std::uint64_t peerBytes_ = 0;
};

/** Simulation of a fleet, its store and its clock. */
class Fleet
{
public:
  Fleet(std::size_t aDaemons, std::size_t aDomains, std::uint64_t aSeed);

  void Run(Duration aTime); ///< Advance the time.
  /** Advance the time until aDone holds; false when it doesn't in time. */
  bool RunUntil(const std::function<bool()>& aDone, Duration aLimit);

  OperatorRequestId SendRequest(std::size_t aDaemon, OperatorRequest aRequest);
  OperatorRequestId Apply(std::size_t aDaemon,
                          const std::string& aText,
                          const std::string& aId);
  /** Send a request and wait; fails the test without an answer in time. */
  OperatorAnswer RequestAndWait(std::size_t aDaemon,
                                OperatorRequest aRequest,
                                Duration aLimit = std::chrono::seconds(30));
  OperatorAnswer ApplyAndWait(std::size_t aDaemon,
                              const std::string& aText,
                              const std::string& aId,
                              Duration aLimit = std::chrono::seconds(30));
  const OperatorAnswer* FindAnswer(OperatorRequestId aId) const;

  /** Start all daemons and publish the base document. */
  void Start();
  /** Check that no generation decreased or has two contents. */
  void CheckInvariants() const;
  void Stop(std::size_t aDaemon); ///< Begin a graceful stop.
  /** Deliver a notice that a daemon has a generation. */
  void SendNotice(std::size_t aTo, std::size_t aFrom, Generation aGeneration);
  void Restart(std::size_t aDaemon); ///< All state is lost.
  void Kill(std::size_t aDaemon);
  void Pause(std::size_t aDaemon, bool aPaused);
  bool AllAt(Generation aGeneration) const; ///< Live, unpaused ones.
  std::size_t CountRecords(TimelineKind aKind) const;
  std::uint64_t StoreCalls() const;
  void ResetCounts();

  FakeStore store_;
  std::vector<FakeDaemon> daemons_;
  TimePoint now_;
  /// If set, the answer to all content requests among daemons.
  std::optional<GenerationContent> cannedContent_;
  bool gossip_ = true;        ///< Send member lists with generations.
  std::size_t reversals_ = 0; ///< Adoptions of a generation not higher.
  std::map<Generation, std::string> contents_; ///< Digest of each generation.
  std::size_t forks_ = 0; ///< Generations adopted with two contents.

private:
  void Post(Duration aDelay, std::function<void()> aWork);
  void RunOn(std::size_t aDaemon, std::function<void(FakeDaemon&)> aWork);
  template<typename Event>
  void Deliver(std::size_t aDaemon, const Event& aEvent);
  void Perform(std::size_t aDaemon, Decisions aDecisions);
  void StartPlatformCall(std::size_t aDaemon, const PlatformCall& aCall);
  void SendToPeer(std::size_t aDaemon, const SendPeer& aSend);
  void RecordAdoption(FakeDaemon& aDaemon, const ConfigAdopted& aAdopted);
  PlatformReply Execute(const PlatformCall& aCall);
  void Reply(std::size_t aDaemon,
             std::uint64_t aRestarts,
             const PlatformReply& aReply);
  void PollWatch(std::size_t aDaemon,
                 std::uint64_t aRestarts,
                 const PlatformCall& aCall,
                 TimePoint aUntil);
  void Gossip();
  bool Step(TimePoint aLimit);
  std::size_t IndexOf(DaemonId aId) const;
  Now NowOf() const;

  std::multimap<TimePoint, std::function<void()>> queue_;
  std::map<OperatorRequestId, OperatorAnswer> answers_;
  std::uint64_t lastRequest_ = 0;
  Rng rng_;
};

/** Change document of a small deployment, based on nothing. */
std::string
BaseDocument();

/** Change document that sets the budget of one limits object. */
std::string
LimitsDocument(const std::string& aName,
               std::uint32_t aInFlight,
               std::uint64_t aBasedOn);

/** Value of a number field of an operator's answer; zero when it is absent. */
std::uint64_t
NumberOf(const OperatorAnswer& aAnswer, const std::string& aField);

} // namespace camphorfield::test
