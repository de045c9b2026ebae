/** Simulated daemons, backend servers and network with a simulated clock. */
#pragma once

#include "route/route_func.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

/** Behaviour of one fake server. */
struct FakeServer
{
  std::string name_;
  std::string address_;
  std::uint32_t slots_ = 2;
  std::uint32_t cap_ = 25;
  Duration work_ = milliseconds(2); ///< Time that a request takes on a slot.
  double jitter_ = 0.0;             ///< Work takes up to this share longer.
  bool up_ = true;
  bool draining_ = false;
  bool refuses_ = false;      ///< Sheds every request.
  bool fails_ = false;        ///< Answers 5xx.
  bool mislabels_ = false;    ///< Answers name another version.
  std::string mislabelShard_; ///< Shard named by answers; empty: the right one.
  double load_ = -1.0;        ///< Reported load; negative: none.
  std::set<std::uint64_t> versions_;
  bool reportsVersions_ = true;
  std::string poison_; ///< Crashes the server if in a body; empty: none.
  Duration restart_ = milliseconds(500); ///< Down time after a crash.

  // Counters.
  std::uint32_t connections_ = 0;
  std::uint32_t peakConnections_ = 0;
  std::uint32_t overCap_ = 0;
  std::uint64_t queries_ = 0;
  std::uint64_t orders_ = 0;
  std::uint64_t cancels_ = 0;
  std::uint32_t crashes_ = 0;
  std::uint32_t running_ = 0;
  std::uint64_t incarnation_ = 0; ///< Incremented by each stop or crash.
  std::deque<std::function<void()>> waiting_;
};

/** Route package of one daemon. */
struct FakeDaemon
{
  RouteState state_;
  Rng rng_;
  bool up_ = true;
  std::size_t domain_ = 0;
};

/** Connection between a daemon and a server. */
struct FakeConnection
{
  std::size_t daemon_ = 0;
  std::string address_;
  bool open_ = false;
  bool silent_ = false;       ///< Requests and answers are lost.
  std::uint64_t request_ = 0; ///< Sub-request in flight on it; zero: none.
};

/** Answer with the time it took. */
struct TimedAnswer
{
  QueryAnswer answer_;
  Duration took_{};
};

/** Daemons, servers, network and all results. */
struct RouteWorld
{
  std::vector<std::unique_ptr<FakeDaemon>> daemons_;
  std::map<std::string, FakeServer> servers_; ///< By address.
  std::shared_ptr<PublishedConfig> config_;
  TimePoint now_ = TimePoint(seconds(100));
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<std::pair<std::size_t, std::uint64_t>, FakeConnection> network_;
  std::map<std::uint64_t, TimedAnswer> answers_; ///< By caller request.
  std::map<std::uint64_t, TimePoint> startedAt_;
  std::map<std::uint64_t, std::uint32_t> answerCounts_;
  std::map<std::uint64_t, OrderDispatched> dispatched_;
  std::map<std::uint64_t, std::uint32_t> dispatchCounts_;
  std::map<std::string, std::uint32_t> orderRuns_; ///< By body.
  std::vector<Rumor> rumors_;
  std::vector<SubRequest> sent_; ///< Queries and orders sent, of all daemons.
  std::set<std::size_t> pausedPeers_; ///< Daemons that ignore peer messages.
  std::set<std::size_t> cutPeers_; ///< Daemons that are unreachable for peers.
  Duration gossipDelay_ = milliseconds(100);
  std::uint64_t nextRequest_ = 0;
  Rng rng_{ 7 };
  bool keepSent_ = true;
};

/** Parameters of a generated configuration. */
struct WorldShape
{
  std::size_t services_ = 2;
  std::size_t serversPerService_ = 2;
  std::size_t shardsPerService_ = 2;
  std::uint32_t slots_ = 2;
  std::uint32_t connections_ = 25;
  std::size_t daemons_ = 1;
  std::uint32_t maxDaemons_ = 6;
  std::uint32_t homesPerServer_ = 0;
  std::vector<std::uint64_t> versions_{ 1 };
  Duration deadline_ = seconds(1);
  Duration softAnswer_{};
  double minCoverage_ = 0.0;
  double hedgeBudget_ = 0.02;
  Duration work_ = milliseconds(2);
  double jitter_ = 0.0;
};

/** Build a world: routes "find" (interactive), "archive" (batch), "buy". */
RouteWorld
MakeWorld(const WorldShape& aShape);

/** Apply the configuration of the world to all daemons as a new generation. */
void
AdoptWorldConfig(RouteWorld& aWorld);

/** Send every daemon the member list of all daemons. */
void
ShareMembers(RouteWorld& aWorld);

/** Advance the clock and run all events that become due. */
void
RunFor(RouteWorld& aWorld, Duration aTime);

/** Send a query; its answer appears in answers_. */
std::uint64_t
SendQuery(RouteWorld& aWorld,
          const std::string& aRoute = "find",
          const std::string& aBody = "x",
          std::size_t aDaemon = 0,
          const std::string& aCaller = "till",
          Duration aTimeout = {});

/** Send a query and run until it is answered. */
const QueryAnswer&
QueryAndWait(RouteWorld& aWorld,
             const std::string& aRoute = "find",
             const std::string& aBody = "x",
             std::size_t aDaemon = 0);

/** Dispatch an order; the outcome appears in dispatched_. */
std::uint64_t
SendOrder(RouteWorld& aWorld,
          const std::string& aBody = "x",
          Duration aTime = seconds(1),
          std::size_t aDaemon = 0);

/** Crash a server; it comes back after its restart_. */
void
CrashServer(RouteWorld& aWorld, FakeServer& aServer);

/** Stop a server: connections break, new ones are refused. */
void
StopServer(RouteWorld& aWorld, FakeServer& aServer);

/** Find a server by name. */
FakeServer&
GetServer(RouteWorld& aWorld, const std::string& aName);

/** Status of a server as the first daemon sees it. */
ServerStatus
GetStatus(const RouteWorld& aWorld, const std::string& aName);

/** Deliver an event to a daemon and apply its decisions. */
template<typename EventType>
void
Deliver(RouteWorld& aWorld, std::size_t aDaemon, const EventType& aEvent);

/** Apply the decisions of a daemon. */
void
ApplyDecisions(RouteWorld& aWorld, std::size_t aDaemon, Decisions& aDecisions);

template<typename EventType>
void
Deliver(RouteWorld& aWorld, std::size_t aDaemon, const EventType& aEvent)
{
  FakeDaemon& daemon = *aWorld.daemons_[aDaemon];
  if (!daemon.up_) {
    return;
  }
  const Now now{ aWorld.now_, aWorld.now_.time_since_epoch().count() };
  Decisions out;
  RouteOnEvent(daemon.state_, aEvent, now, daemon.rng_, out);
  ApplyDecisions(aWorld, aDaemon, out);
}

/** Quantile of the times of all answers so far. */
Duration
AnswerQuantile(const RouteWorld& aWorld, double aQuantile);

} // namespace camphorfield
