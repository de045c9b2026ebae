/** Simulation of daemons, backend servers and callers on a simulated clock. */
#pragma once

#include "gateway/gateway_func.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

/** Fault of a model server. */
enum class ModelFault : std::uint8_t
{
  None,
  Shed,   ///< Answers "not run" to every request.
  Fail,   ///< Answers with failStatus_ after the work.
  Reset,  ///< Resets the connection after the work.
  Garble, ///< Answers without a proof.
  Twice,  ///< First sends an answer with the previous id.
  Bare,   ///< First sends the previous answer without an id.
  Silent, ///< Neither answers nor accepts connections.
  Down,   ///< Refuses connections; open ones stay.
  Moved,  ///< Another server has its address: it answers 421, says that it
          ///< leaves, asks for a pause and names a limit.
  End     ///< Number of faults.
};

/** What a model server has told one daemon of itself. */
struct ModelGuidance
{
  TimePoint leavingSince_ = kNever;
  TimePoint pausedSince_ = kNever;
  TimePoint pausedUntil_{};
};

/** One model server. */
struct ModelServer
{
  std::string id_;
  std::string service_;
  std::string domain_;
  std::uint32_t slots_ = 2;
  std::uint32_t queue_ = 12;
  double speed_ = 1.0; ///< Factor on the time of work.
  Duration pauseEvery_{};
  Duration pauseFor_{};
  Duration pauseAt_{}; ///< Offset of the first pause.
  ModelFault fault_ = ModelFault::None;
  std::uint32_t failStatus_ = 500; ///< See ModelFault::Fail.
  /** Connections that were idle for longer are dropped silently: the next
   * request on them is reset. Zero: never. */
  Duration dropsIdle_{};
  std::optional<double> limit_; ///< Requests a second, named in answers.
  std::vector<TimePoint> arrivalTimes_;
  bool leaving_ = false;           ///< Said in all its answers.
  bool malformedGuidance_ = false; ///< What it says can't be read.
  Duration retryAfter_{};          ///< Said in answers that it sheds.
  std::uint32_t sheds_ = 0;        ///< It sheds so many further requests.
  /** Sends each answer again once the next request has come on the connection.
   */
  bool lateCopies_ = false;
  bool hidesIds_ = false;        ///< Its answers have no id.
  bool breaksInAnswers_ = false; ///< Part of an answer comes before a reset.
  /** Changes the load that it reports; empty: the true one. */
  std::function<void(ReportedLoad&)> report_;
  std::int64_t incarnation_ = 1; ///< Start, in its entry.
  bool listed_ = true;
  std::map<std::size_t, ModelGuidance> told_; ///< By daemon.
  /** Requests of daemons that knew better for 100 ms. */
  std::uint32_t unwantedWhileLeaving_ = 0;
  std::uint32_t unwantedWhilePaused_ = 0;
  bool draining_ = false;
  Duration warmupLeft_{};  ///< Stated in its entry.
  bool crashesOn_ = false; ///< Crashes on paths with "poison".
  std::uint32_t connections_ = 0;
  std::uint32_t peakConnections_ = 0; ///< Largest number of connections.
  std::uint32_t accepts_ = 1000; ///< Connection limit; further ones are reset.
  std::uint32_t rejectedConnections_ = 0; ///< Connections above accepts_.
  std::uint32_t closedByDaemons_ = 0;     ///< Connections that daemons closed.
  std::uint64_t arrivals_ = 0;
  std::uint64_t ran_ = 0;
  std::deque<std::uint64_t> waiting_;
  std::vector<std::uint64_t> running_;
};

/** A run of a request that crashed its server. */
struct ModelCrash
{
  TimePoint at_;
  std::size_t server_ = 0;
  std::string requestId_;
};

/** Results of one load, as callers saw them. */
struct ReplayResult
{
  std::uint32_t asked_ = 0;
  std::uint32_t onTime_ = 0;
  std::uint32_t late_ = 0;
  std::uint32_t rejected_ = 0; ///< Rejected after all retries.
  std::uint32_t failed_ = 0;
  double quality_ = 0.0; ///< Sum of squared coverage of answers on time.
  std::vector<Duration> took_;
  std::vector<Duration> rejectedAfter_;

  double OnTimeShare() const;
  double MeanQuality() const;
};

/** Load on one target. */
struct ReplayLoad
{
  std::string target_;
  double perSecond_ = 0.0; ///< Over all daemons.
  Duration work_{};        ///< Mean work of one part.
  Duration callerTimeout_ = std::chrono::seconds(2);
  std::uint32_t retries_ = 1; ///< Of a caller after a rejection.
};

/** Route "query" under /query/ over services shard0, shard1, ... */
GatewayRoute
MakeQueryRoute(std::size_t aShards,
               double aMinCoverage,
               std::uint32_t aTopRecords);

/** The simulation. Its random numbers depend on the seed alone. */
class Replay
{
public:
  Replay(std::size_t aDaemons, std::uint64_t aSeed);

  ModelServer& AddServer(const std::string& aService, double aSpeed);
  /** Adds services shard0, shard1, ... with two servers each. */
  void AddShards(std::size_t aShards);
  void SetRoute(GatewayRoute aRoute);
  void SetPolicy(const GatewayPolicy& aPolicy);
  /** Takes effect with the next Announce. */
  GatewayConfig& Config() { return config_; }
  /** Factor on the work of a request that any server needs for it. */
  void SetWorkFactor(std::function<double(const BackendSend&)> aFactor)
  {
    workFactor_ = std::move(aFactor);
  }
  /** Sends routes and servers to the daemons and lets them connect. */
  void Publish();
  /** Offers loads for the given time; returns results by target. */
  std::map<std::string, ReplayResult> Run(const std::vector<ReplayLoad>& aLoads,
                                          Duration aTime);
  /** Sends one request to a daemon; returns its id. */
  std::uint64_t SendRequest(std::size_t aDaemon,
                            const std::string& aTarget,
                            Duration aCallerTimeout,
                            const std::string& aCaller = "caller",
                            const std::string& aKey = "");
  void CancelRequest(std::size_t aDaemon, std::uint64_t aRequest);
  void Advance(Duration aTime);
  void At(Duration aAfter, std::function<void()> aAction);

  /** Sends routes and servers to the daemons. */
  void Announce();
  /** Rate that cold servers of all services take, with the usual bounds. */
  void LimitCold(double aPerSecond, Duration aWarmup);
  /** Makes the first aOwners daemons share the slots of cold servers. */
  void SetColdOwners(std::size_t aOwners);
  /** Replaces the evacuated domains at the daemons from aFirst on. */
  void Evacuate(const std::set<std::string>& aDomains, std::size_t aFirst = 0);
  /** Resets a server's connections; from then on it has the given fault. */
  void Crash(std::size_t aServer, ModelFault aAfter = ModelFault::Down);
  /** Makes a server silent; its connections stay open. */
  void GoDark(std::size_t aServer)
  {
    servers_[aServer].fault_ = ModelFault::Silent;
  }
  /** Starts a server again: its connections are reset, its work is lost. */
  void Restart(std::size_t aServer);
  /** Called after each crash by a request, instead of leaving it down. */
  void OnCrash(std::function<void(std::size_t aServer)> aAction);
  const std::vector<ModelCrash>& Crashes() const { return crashes_; }
  /** Share of the reports between daemons that is lost; others arrive late,
   * and some twice. */
  void LoseReports(double aShare) { lostReports_ = aShare; }
  ModelServer& Server(const std::string& aId);
  std::deque<ModelServer>& Servers() { return servers_; }
  const ProxyAnswer* AnswerOf(std::uint64_t aRequest) const;
  GatewayState& Daemon(std::size_t aDaemon) { return daemons_[aDaemon].state_; }
  Duration Work(Duration aMean);
  std::uint64_t Sends() const;
  /** Number of times that servers ran a request, by its id. */
  const std::map<std::string, std::uint32_t>& RunsById() const
  {
    return runsById_;
  }
  const std::vector<BackendSend>& SendsSeen() const { return sendsSeen_; }
  /** Number of log records of a change in the state of a server. */
  std::uint64_t RecordsSeen(const std::string& aChange)
  {
    return recordsSeen_[aChange];
  }
  TimePoint Clock() const { return now_; }

private:
  struct ModelDaemon
  {
    GatewayState state_;
    Rng rng_;
    TimePoint armed_ = kNever;
  };
  struct ModelConnection
  {
    std::size_t daemon_ = 0;
    std::uint64_t key_ = 0;
    std::size_t server_ = 0;
    std::uint64_t job_ = 0;
    std::string lastId_; ///< Id of the request before.
    TimePoint idleSince_{};
    std::optional<BackendAnswer> copy_; ///< To be sent again.
  };
  struct ModelJob
  {
    std::size_t server_ = 0;
    std::uint64_t connection_ = 0;
    BackendSend send_;
    Duration work_{};
    bool running_ = false;
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
  using Waiter = std::function<void(const ProxyAnswer&)>;

  template<typename Item>
  void HandleEvent(std::size_t aDaemon, Item&& aItem);
  void ApplyDecisions(std::size_t aDaemon, GatewayDecisions& aDecisions);
  void Connect(std::size_t aDaemon, const BackendConnect& aConnect);
  void Report(std::size_t aDaemon, const SuspectFound& aFound);
  void CountUnwanted(std::size_t aDaemon, ModelServer& aServer);
  void Deliver(std::uint64_t aConnection, const BackendSend& aSend);
  void Drop(std::uint64_t aConnection);
  void StartJobs(std::size_t aServer);
  void EndJob(std::uint64_t aJob);
  void Reply(std::uint64_t aConnection, BackendAnswer aAnswer);
  void Send(std::uint64_t aConnection, BackendAnswer aAnswer);
  void Break(std::uint64_t aConnection, BackendEnd aEnd);
  void Arm(std::size_t aDaemon);
  Now NowOf() const { return Now{ now_, now_.time_since_epoch().count() }; }
  Duration PauseLeft(const ModelServer& aServer) const;
  void Offer(const ReplayLoad& aLoad,
             ReplayResult& aResult,
             TimePoint aBegun,
             std::uint32_t aRetriesLeft);

  TimePoint now_{ std::chrono::seconds(1000) };
  Rng rng_;
  std::deque<ModelDaemon> daemons_;
  std::deque<ModelServer> servers_;
  GatewayConfig config_;
  std::map<std::uint64_t, ModelConnection> connections_; ///< By serial.
  std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> serialOf_;
  std::map<std::uint64_t, ModelJob> jobs_;
  std::uint64_t nextSerial_ = 1;
  std::uint64_t nextRequest_ = 1;
  std::uint64_t order_ = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>>
    schedule_;
  std::map<std::uint64_t, Waiter> waiters_; ///< By request.
  std::map<std::uint64_t, ProxyAnswer> answers_;
  std::map<std::string, Duration> workOf_; ///< By target.
  std::vector<BackendSend> sendsSeen_;
  std::map<std::string, std::uint64_t> recordsSeen_; ///< By change.
  std::vector<ModelCrash> crashes_;
  std::function<void(std::size_t)> onCrash_;
  std::function<double(const BackendSend&)> workFactor_;
  double lostReports_ = 0.0;
  std::map<std::string, std::uint32_t> runsById_;
};

} // namespace camphorfield
