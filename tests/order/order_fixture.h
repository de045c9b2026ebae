/** Test cluster: order packages with in-memory fakes of store, servers and
 * network. */
#pragma once

#include "order/order_func.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

/** In-memory object store of the platform. */
struct FakeStore
{
  std::map<std::string, PlatformObject> objects_;
  std::uint64_t writes_ = 0;
};

/** Execute a call, without faults. */
PlatformReply
StoreCall(FakeStore& aStore, const PlatformCall& aCall);

/** Answer that a caller received. */
struct ReceivedAnswer
{
  OrderAnswer answer_;
  TimePoint at_;
};

/** Fault rates of the fakes, per mille of all operations. */
struct Faults
{
  std::uint32_t storeLost_ = 0;   ///< Call not executed; reported unreachable.
  std::uint32_t replyLost_ = 0;   ///< Call executed; reported unreachable.
  std::uint32_t peerLost_ = 0;    ///< Message lost.
  std::uint32_t peerTwice_ = 0;   ///< Message delivered twice.
  std::uint32_t serverSheds_ = 0; ///< Order not run; reported as such.
  std::uint32_t serverAnswerLost_ = 0; ///< Order run; answer lost.
  std::uint32_t serverCrashes_ = 0;    ///< Order not run; answer lost.
  bool storeOut_ = false;              ///< No call is executed.
};

/** Event on its way to a daemon, or a request on its way to a fake. */
struct Delivery
{
  std::size_t to_ = 0; ///< Receiving daemon, or the one that sent the request.
  Incarnation incarnation_;
  Event event_;
  std::optional<PlatformCall> call_;      ///< Store call, instead of event_.
  std::optional<DispatchOrder> dispatch_; ///< Dispatch, instead of event_.
};

/** Daemon of a test cluster. */
struct TestDaemon
{
  OrderState state_;
  bool up_ = true;
  bool paused_ = false;
  std::vector<Delivery> held_; ///< Events that arrived while paused.
};

/** Daemons and fakes on a simulated clock. */
struct Cluster
{
  Rng rng_;
  Now now_;
  FakeStore store_;
  Faults faults_;
  std::vector<TestDaemon> daemons_;
  std::multimap<TimePoint, Delivery> queue_;
  std::map<std::string, int> runs_;   ///< Executions, by caller and key.
  std::map<std::string, int> bodies_; ///< Not used.
  std::map<CallerRequestId, ReceivedAnswer> answers_;
  std::uint64_t nextRequest_ = 0;
  /** Links that lose all messages, as pairs of sender and receiver. */
  std::set<std::pair<std::size_t, std::size_t>> cut_;
  Duration serverTime_ = std::chrono::milliseconds(5);
};

/** Settings of daemon aIndex. */
OrderSettings
ClusterSettings(std::size_t aIndex, std::uint64_t aIncarnation = 1);

/** Create daemons that know each other. */
Cluster
MakeCluster(std::size_t aDaemons, std::uint64_t aSeed);

/** Give all running daemons the current members. */
void
SpreadMembers(Cluster& aCluster);

/** Send an order to a daemon; the answer is stored in answers_. */
CallerRequestId
SendOrder(Cluster& aCluster,
          std::size_t aDaemon,
          const std::string& aKey,
          const std::string& aBody = "body",
          Duration aTimeout = std::chrono::seconds(2));

/** Handle an event in a daemon immediately. */
void
DeliverEvent(Cluster& aCluster, std::size_t aDaemon, const Event& aEvent);

/** Advance the simulated clock, with all that happens meanwhile. */
void
RunFor(Cluster& aCluster, Duration aTime);

/** Crash a daemon. */
void
Kill(Cluster& aCluster, std::size_t aDaemon);

/** Restart a daemon as a new incarnation with empty state. */
void
Restart(Cluster& aCluster, std::size_t aDaemon);

/** Pause a daemon; events are kept until it resumes. */
void
Pause(Cluster& aCluster, std::size_t aDaemon);

/** Resume a paused daemon. */
void
Resume(Cluster& aCluster, std::size_t aDaemon);

/** Plain key with the current time of the cluster. */
std::string
PlainKey(const Cluster& aCluster, const std::string& aName);

/** Code of the answer to a request; End if there is none. */
ResultCode
CodeOf(const Cluster& aCluster, CallerRequestId aRequest);

/** How often an order of the test's caller was executed. */
int
RunCount(const Cluster& aCluster, const std::string& aKey);

/** Preferred owner of the key's range, by the members known to daemon zero. */
std::size_t
OwnerOf(const Cluster& aCluster, const std::string& aKey);

} // namespace camphorfield
