/** Order machines with in-memory fakes of the store, servers and network. */
#pragma once

#include "order/order_func.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

/** The platform's object API in memory. */
struct FakeStore
{
  std::map<std::string, PlatformObject> objects_;
  std::uint64_t writes_ = 0;
};

/** Carry out a call; the status is the store's own. */
PlatformReply
StoreCall(FakeStore& aStore, const PlatformCall& aCall);

/** What a caller was told. */
struct ReceivedAnswer
{
  OrderAnswer answer_;
  TimePoint at_;
};

/** Faults of the fakes. Shares are per mille. */
struct Faults
{
  std::uint32_t storeLost_ = 0;        ///< Call not done, reported unreachable.
  std::uint32_t replyLost_ = 0;        ///< Call done, reported unreachable.
  std::uint32_t peerLost_ = 0;         ///< Message lost.
  std::uint32_t peerTwice_ = 0;        ///< Message delivered twice.
  std::uint32_t serverSheds_ = 0;      ///< Order not run, and said so.
  std::uint32_t serverAnswerLost_ = 0; ///< Order run, answer lost.
  std::uint32_t serverCrashes_ = 0;    ///< Order not run, answer lost.
  bool storeOut_ = false;
};

/** One thing on its way to a daemon, or to a fake. */
struct Delivery
{
  std::size_t to_ = 0; ///< Daemon.
  Incarnation incarnation_;
  Event event_;
  std::optional<PlatformCall> call_;      ///< To the store instead.
  std::optional<DispatchOrder> dispatch_; ///< To a server instead.
};

/** One daemon of the test. */
struct TestDaemon
{
  OrderState state_;
  bool up_ = true;
  bool paused_ = false;
  std::vector<Delivery> held_; ///< Arrived while paused.
};

/** Some daemons with their surroundings, on a paused clock. */
struct Cluster
{
  Rng rng_;
  Now now_;
  FakeStore store_;
  Faults faults_;
  std::vector<TestDaemon> daemons_;
  std::multimap<TimePoint, Delivery> queue_;
  std::map<std::string, int> runs_;   ///< By caller and key.
  std::map<std::string, int> bodies_; ///< Number of the run, told back.
  std::map<CallerRequestId, ReceivedAnswer> answers_;
  std::uint64_t nextRequest_ = 0;
  std::set<std::pair<std::size_t, std::size_t>> cut_; ///< Links that drop.
  Duration serverTime_ = std::chrono::milliseconds(5);
};

/** Settings of daemon aIndex. */
OrderSettings
ClusterSettings(std::size_t aIndex, std::uint64_t aLife = 1);

/** Start daemons that know each other. */
Cluster
MakeCluster(std::size_t aDaemons, std::uint64_t aSeed);

/** Tell all daemons who is alive. */
void
SpreadMembers(Cluster& aCluster);

/** Send an order to a daemon; its answer turns up in answers_. */
CallerRequestId
SendOrder(Cluster& aCluster,
          std::size_t aDaemon,
          const std::string& aKey,
          const std::string& aBody = "body",
          Duration aTimeout = std::chrono::seconds(2));

/** Give a daemon an event at once. */
void
Give(Cluster& aCluster, std::size_t aDaemon, const Event& aEvent);

/** Let time pass. */
void
RunFor(Cluster& aCluster, Duration aTime);

/** End a daemon without notice. */
void
Kill(Cluster& aCluster, std::size_t aDaemon);

/** Start a daemon again, as a new incarnation with no memory. */
void
Restart(Cluster& aCluster, std::size_t aDaemon);

/** Suspend a daemon; what arrives is kept. */
void
Pause(Cluster& aCluster, std::size_t aDaemon);

/** Resume a daemon. */
void
Resume(Cluster& aCluster, std::size_t aDaemon);

/** A plain key with the cluster's time. */
std::string
PlainKey(const Cluster& aCluster, const std::string& aName);

/** Code told for a request; End when nothing was told. */
ResultCode
CodeOf(const Cluster& aCluster, CallerRequestId aRequest);

/** How often a key of the test's caller was run. */
int
RunCount(const Cluster& aCluster, const std::string& aKey);

/** Daemon that owns the key's range by the members known to daemon zero. */
std::size_t
OwnerOf(const Cluster& aCluster, const std::string& aKey);

} // namespace camphorfield
