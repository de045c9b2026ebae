/** Many publish packages over one fake store, on a paused clock. */
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

/** Store of the platform, with its faults. */
struct FakeStore
{
  std::map<std::string, PlatformObject> objects_;
  std::uint64_t lastVersion_ = 0;
  bool down_ = false;
  Duration latency_ = std::chrono::milliseconds(3);
  int loseReplies_ = 0;   ///< Replies to swaps lost after their effect.
  int loseRequests_ = 0;  ///< Swaps lost before their effect.
  Duration lateEffect_{}; ///< A lost swap still takes effect so much later.
  int throttle_ = 0;      ///< Calls refused by the rate limit.
  bool downAfterSwap_ = false; ///< The next swap is the last call answered.
  std::optional<std::map<std::string, PlatformObject>>
    stale_; ///< Reads see it.
  std::array<std::uint64_t, static_cast<std::size_t>(PlatformOp::End)> calls_{};
  std::map<std::int64_t, std::uint64_t> callsInSecond_;
  std::uint64_t bytesWritten_ = 0;
};

/** One daemon of the fleet. */
struct FakeDaemon
{
  std::string name_;
  PublishSettings settings_;
  PublishState state_;
  Rng rng_;
  TimePoint wake_; ///< When it wants a Tick.
  bool alive_ = true;
  bool paused_ = false;
  bool cutFromStore_ = false;
  bool cutFromPeers_ = false;
  std::uint64_t restarts_ = 0;                    ///< Raised by each restart.
  std::vector<std::function<void()>> heldEvents_; ///< Events during a pause.
  std::vector<TimelineRecord> timeline_;
  std::vector<Generation> adopted_;
  std::map<Generation, TimePoint> adoptedAt_;
  std::uint64_t peerMessages_ = 0;
  std::uint64_t peerBytes_ = 0;
};

/** The fleet, its store and its clock. */
class Fleet
{
public:
  Fleet(std::size_t aDaemons, std::size_t aDomains, std::uint64_t aSeed);

  void Run(Duration aTime); ///< Let time pass.
  /** Let time pass until something holds; false when it doesn't in time. */
  bool RunUntil(const std::function<bool()>& aDone, Duration aLimit);

  OperatorRequestId SendRequest(std::size_t aDaemon, OperatorRequest aRequest);
  OperatorRequestId Apply(std::size_t aDaemon,
                          const std::string& aText,
                          const std::string& aId);
  /** Ask and wait; fails the test when no answer comes in time. */
  OperatorAnswer RequestAndWait(std::size_t aDaemon,
                                OperatorRequest aRequest,
                                Duration aLimit = std::chrono::seconds(30));
  OperatorAnswer ApplyAndWait(std::size_t aDaemon,
                              const std::string& aText,
                              const std::string& aId,
                              Duration aLimit = std::chrono::seconds(30));
  const OperatorAnswer* FindAnswer(OperatorRequestId aId) const;

  /** Let all start and publish the base document. */
  void Start();
  /** No daemon went back, and no generation has two contents. */
  void CheckInvariants() const;
  void Stop(std::size_t aDaemon); ///< Ask for a graceful shutdown.
  /** A daemon hears directly that another one has a generation. */
  void SendNotice(std::size_t aTo, std::size_t aFrom, Generation aGeneration);
  void Restart(std::size_t aDaemon); ///< A new restarts, with nothing kept.
  void Kill(std::size_t aDaemon);
  void Pause(std::size_t aDaemon, bool aPaused);
  bool AllAt(Generation aGeneration) const; ///< All that live and run.
  std::size_t CountRecords(TimelineKind aKind) const;
  std::uint64_t StoreCalls() const;
  void ResetCounts();

  FakeStore store_;
  std::vector<FakeDaemon> daemons_;
  TimePoint now_;
  /// What each daemon answers to those that ask it for content.
  std::optional<GenerationContent> cannedContent_;
  bool gossip_ = true;        ///< Members tell their generations.
  std::size_t reversals_ = 0; ///< Generations adopted that did not rise.
  std::map<Generation, std::string> contents_; ///< Content in force anywhere.
  std::size_t forks_ = 0; ///< One generation with two contents.

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
