/** State of the gateway. */
#pragma once

#include "core/latency_hist.h"
#include "core/pool.h"
#include "core/rng_type.h"
#include "core/timer_heap.h"
#include "gateway/admission/fair_admission.h"
#include "gateway/admission/organisation.h"
#include "gateway/admission/organisation_stats.h"
#include "gateway/admission/rate_cap.h"
#include "gateway/backend/backend_work.h"
#include "gateway/backend/carried_ids.h"
#include "gateway/backend/cost_model.h"
#include "gateway/crash/crash_type.h"
#include "gateway/gateway_const.h"
#include "gateway/gateway_type.h"
#include "gateway/guidance/cold_server.h"
#include "gateway/guidance/evacuation.h"
#include "gateway/guidance/rate_limit.h"
#include "gateway/request/retry_budget.h"

#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace camphorfield {

using ServiceNumber = std::uint32_t;

/** Kinds of timers; key_ of the timer identifies the subject. */
enum class GatewayTimer : std::uint8_t
{
  RequestDeadline,     ///< key_: request.
  RequestSoftDeadline, ///< key_: request.
  Hedge,               ///< key_: attempt.
  Silence,             ///< key_: attempt.
  QueueWake,           ///< key_: number of the service.
  Maintenance,         ///< key_: unused.
  End                  ///< Number of kinds.
};

/** Mechanisms that can be switched off to measure the effect of each. */
struct GatewayPolicy
{
  bool hedge_ = true;     ///< Send to a second server if the first is slow.
  bool partial_ = true;   ///< Partial answers just before the objective.
  bool admission_ = true; ///< Reject requests beyond the window.
  bool placement_ = true; ///< Choose by estimated latency; off: ignore it.
  PlacementMode mode_ = PlacementMode::Count;
  bool fair_ = true; ///< Divide full windows among organisations.
};

/** Settings of this daemon and limits of the platform. */
struct GatewaySettings
{
  std::string failureDomain_;
  std::map<std::string, std::string> regionOf_; ///< By failure domain.
  double cpuShare_ = 1.0; ///< Processor share of this daemon, in cores.
  BudgetLimits budget_;
  GatewayPolicy policy_;
  KeySeed keySeed_{}; ///< Secret of this process.
  /** Time after which each reachable daemon has a new configuration in force;
   * zero: unknown. */
  Duration configApply_{};
  /** Time after which the platform has dropped the entry of a silent server;
   * zero: unknown. */
  Duration entryLapse_{};
  DaemonId self_;
  CapTolerance capTolerance_; ///< Rates of organisations.
  /** Bound on the requests that reach a cold server in a second; both zero: no
   * limit, whatever the configuration says. See MakeColdRate. */
  double warmupOverage_ = 0.0;
  double warmupSlack_ = 0.0;
  std::uint32_t maxConnections_ = 0; ///< To all servers; 0: no bound.
};

/** State of a connection to a backend server. */
enum class BackendConnState : std::uint8_t
{
  Opening,
  Idle,
  Busy,
  End ///< Number of states.
};

/** One connection to a backend server. */
struct BackendConn
{
  std::uint64_t key_ = 0; ///< Value of its ConnectionId.
  std::uint64_t backend_ = 0;
  BackendConnState state_ = BackendConnState::Opening;
  bool used_ = false; ///< It has carried at least one answer.
  TimePoint openedAt_{};
  TimePoint usedAt_{};
  TimePoint expiresAt_ = kNever;  ///< When to close it if still idle.
  std::uint64_t attempt_ = 0;     ///< Busy: the attempt in flight.
  std::uint64_t requestHash_ = 0; ///< Of the id sent last; zero: no id.
  CarriedIds carried_;
};

/** One incarnation of a backend server. */
struct Backend
{
  std::uint64_t key_ = 0;
  BackendEntry entry_;
  ServiceNumber service_ = 0;
  bool listed_ = true;    ///< The newest server list contains it.
  TimePoint warmUntil_{}; ///< End of its slow phase.
  std::vector<std::uint64_t> connections_;
  std::uint32_t inFlight_ = 0;
  std::uint32_t opening_ = 0;
  double limit_ = kLimitStart; ///< Concurrent requests of this daemon.
  TimePoint limitCutAt_{};     ///< Time of the latest decrease.
  double latencyRatio_ = 1.0;  ///< Latency relative to the route's median.
  TimePoint latencyRatioAt_{};
  double failures_ = 0.0; ///< Moving average of the failure rate.
  TimePoint failuresAt_{};
  std::uint32_t failedInRow_ = 0;
  Duration ejection_{}; ///< Length of the latest ejection.
  TimePoint ejectedUntil_{};
  std::uint32_t connectionLimit_ = 0; ///< Learned when it ended one more.
  TimePoint connectionLimitUntil_{};  ///< connectionLimit_ applies until then.
  Duration reconnect_{};              ///< Backoff after failed connects.
  TimePoint connectAfter_{};
  ReportedLoad load_;
  TimePoint loadAt_{};
  RateLimit rateLimit_;
  bool echoesIds_ = false; ///< An answer had its request's id.
  bool leaving_ = false;   ///< It said so in an answer.
  bool crashed_ = false;   ///< Cleared when a connection opens again.
  LifeSign lifeSign_;
  /** Ends after which it accepted connections again, before its next entry was
   * known. */
  std::uint64_t restarts_ = 0;
  std::uint64_t incarnation_ = 0; ///< Hash of id, start and restarts_.
  TimePoint pausedUntil_{};       ///< It wants no requests before.
  bool evacuated_ = false;        ///< Its failure domain is.
  ColdPhase cold_;
  BackendWork work_; ///< PlacementMode::Cost only.
};

/** What an incarnation said of itself, while no entry lists it. */
struct KeptGuidance
{
  TimePoint pausedUntil_{};
  RateLimit rateLimit_;
  TimePoint keptUntil_{};
};

/** Order of waiting parts: late requests last, then by priority, then by time;
 * the key of the run and the index of the part follow. */
using QueueKey =
  std::tuple<bool, std::uint32_t, TimePoint, std::uint64_t, std::uint32_t>;

/** One service with its servers and its queue. */
struct GatewayServiceState
{
  std::string name_;
  std::uint32_t maxConnections_ = 1;
  Duration warmup_{};            ///< See GatewayService.
  double warmupPerSecond_ = 0.0; ///< Limit in force; zero: none.
  bool configured_ = false;      ///< Used by a route of the configuration.
  std::vector<std::uint64_t> backends_; ///< Listed incarnations.
  std::set<QueueKey> queue_;
  RetryBudget budget_;
  /** When rejected callers return that were told a slot of cold servers. */
  std::multiset<TimePoint> coldPromises_;
  TimePoint wakeAt_{};  ///< Time of the latest QueueWake timer.
  bool marked_ = false; ///< Its queue is dispatched at the end of the step.
};

/** Upper bounds of the answer time histogram. The usual objectives of routes
 * are among them. */
constexpr std::array<Duration, 11> kAnswerTimeBounds{
  std::chrono::milliseconds(5),   std::chrono::milliseconds(10),
  std::chrono::milliseconds(25),  std::chrono::milliseconds(50),
  std::chrono::milliseconds(80),  std::chrono::milliseconds(100),
  std::chrono::milliseconds(200), std::chrono::milliseconds(400),
  std::chrono::milliseconds(800), std::chrono::seconds(2),
  std::chrono::seconds(8)
};

/** Statistics and admission state of a route, kept by name over configuration
 * versions. */
struct RouteLoad
{
  LatencyHist answers_; ///< Latency of single attempts.
  Duration median_{};   ///< Of answers_; zero: unknown.
  Duration hedgeDelay_{};
  Duration silence_{};
  std::uint32_t samplesSinceRefresh_ = 0;
  double window_ = kWindowStart; ///< Most requests in flight.
  std::uint32_t inFlight_ = 0;
  TimePoint windowCutAt_{};
  std::vector<double> splitCredit_; ///< Round robin state, per share of to_.
  /** Answers per bound; the last counter is for times beyond all bounds. */
  std::array<std::uint64_t, kAnswerTimeBounds.size() + 1> answerTimeCounts_{};
  double answerTimeSum_ = 0.0; ///< Sum of all answer times, seconds.
  Duration callerTimeout_{};   ///< Longest recent timeout of a caller.
  TimePoint callerTimeoutAt_{};
  FairAdmission fair_;
};

/** State of one shard of a query, or of a plain request. */
enum class PartPhase : std::uint8_t
{
  Waiting, ///< In a queue.
  Held,    ///< Not sent until another part is answered, see query_probe.cpp.
  Running, ///< One or two attempts are in flight.
  Done,
  Failed,
  End ///< Number of phases.
};

/** One shard of a query; a plain request has one part. */
struct RequestPart
{
  ServiceNumber service_ = 0;
  PartPhase phase_ = PartPhase::Waiting;
  QueueKey queueKey_{};
  std::uint8_t sends_ = 0;
  std::uint8_t mayHaveRun_ = 0; ///< Sends that may have been executed.
  bool counted_ = false;        ///< Counted as a first send in the budget.
  std::array<std::uint64_t, 2> attempts_{}; ///< In flight; zero: none.
  std::vector<std::uint64_t> tried_; ///< Servers, in the order of the sends.
  std::string proof_;
  std::string body_;
  PlacementNote note_; ///< Of its latest send; PlacementMode::Cost only.
};

/** One request of a caller while it is being served. */
struct GatewayRun
{
  std::uint64_t key_ = 0;
  CallerRequestId id_;
  SharedGatewayConfig config_;          ///< Configuration in use for it.
  const GatewayRoute* route_ = nullptr; ///< In config_.
  RouteLoad* load_ = nullptr;
  SharedMessage message_;
  std::string caller_;
  KeyDigest keyDigest_;
  std::uint32_t organisation_ = kNoOrganisation; ///< In config_.
  std::uint32_t priority_ = 0; ///< Of the organisation or the route.
  std::uint64_t cap_ = 0;      ///< Whose token it has; zero: none.
  bool revoked_ = false; ///< Its key is no longer valid: nothing more is sent.
  ContentKeys content_{};
  std::uint64_t requestHash_ = 0; ///< Of its id; zero: it has none.
  TimePoint arrivedAt_{};
  Duration waitedBefore_{}; ///< Since the caller's first attempt.
  TimePoint deadline_{};
  TimePoint softAt_ = kNever; ///< Soft deadline: partial answers from then on.
  std::uint32_t needed_ = 1;  ///< Parts required for a success.
  std::uint32_t done_ = 0;
  std::uint32_t failed_ = 0;
  std::uint32_t sends_ = 0;
  std::uint32_t hedges_ = 0;
  std::uint32_t broken_ = 0; ///< Attempts whose connection broke.
  std::uint32_t probes_ = 0; ///< Parts sent while the others were held.
  bool mayHaveRun_ = false;
  bool late_ = false; ///< Past softAt_ without enough parts.
  std::vector<RequestPart> parts_;
  BackendAnswer failure_;       ///< Latest complete answer that was a failure.
  std::uint64_t heldBytes_ = 0; ///< Of parts_ and failure_, see HoldAnswer.
  std::shared_ptr<const CostEstimate> cost_; ///< PlacementMode::Cost only.
};

/** A request that waits for a token of its organisation's rate. */
struct AwaitingToken
{
  ProxyRequest request_;
  std::uint64_t cap_ = 0; ///< Hash of the organisation's name.
  TimePoint since_{};
};

/** One request sent to one server. */
struct Attempt
{
  std::uint64_t key_ = 0; ///< Value of its SubRequestId.
  std::uint64_t run_ = 0;
  std::uint32_t part_ = 0;
  std::uint64_t backend_ = 0;
  std::uint64_t connection_ = 0;
  TimePoint sentAt_{};
  Duration expected_{}; ///< Median latency of the route when it was sent.
  bool hedge_ = false;
  TimePoint aliveAt_{}; ///< Latest answer of the server before it was sent.
  bool isLost_ = false; ///< It is among the lost attempts already.
  std::shared_ptr<const CostEstimate> cost_{}; ///< PlacementMode::Cost only.
  PlacementEstimate estimate_{};               ///< When it was sent.
  /** Of a hedge: time in thousandths of the expected one, if the delay on the
   * first server is due to the request alone; zero: unknown. */
  double repeatedError_ = 0.0;
  bool abandoned_ = false; ///< Unneeded, left to finish; it has no run.
};

/** Planned end of the process. */
struct PlannedStop
{
  /** Until then requests that may not be repeated are taken. */
  TimePoint unrepeatableUntil_ = kNever;
  TimePoint answeredBy_ = kNever; ///< All requests are answered; kNever: none.
};

/** Counters since the start of the daemon. */
struct GatewayStats
{
  std::array<std::uint64_t, static_cast<std::size_t>(ProxyCode::End)> byCode_{};
  std::uint64_t late_ = 0;        ///< Successes later than their objective.
  std::uint64_t partial_ = 0;     ///< Successes with shards left out.
  std::uint64_t shardsAsked_ = 0; ///< Shards of answered queries.
  std::uint64_t shardsMissing_ = 0;
  std::uint64_t callersGone_ = 0;
  std::uint64_t firstSends_ = 0;
  std::uint64_t hedges_ = 0;
  std::uint64_t hedgesWon_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t crossDomainSends_ = 0; ///< To servers of other failure domains.
  std::uint64_t budgetDenied_ = 0;
  std::uint64_t connects_ = 0;
  /** Idle connections closed because all of maxConnections_ were open. */
  std::uint64_t connectionsClosed_ = 0;
  std::uint64_t connectionsDelayed_ = 0; ///< Found all of them in use.
  std::uint64_t abandoned_ = 0;          ///< Unneeded attempts left to finish.
  std::uint64_t shed_ = 0;               ///< Answers that report "not run".
  std::uint64_t ejections_ = 0;
  std::uint64_t garbled_ = 0; ///< Invalid or unrequested answers.
  std::uint64_t leavings_ =
    0;                       ///< Servers that said in answers that they leave.
  std::uint64_t pauses_ = 0; ///< Answers that asked for a pause.
  /** Answers in which a server says something of itself that can't be read. */
  std::uint64_t malformedGuidance_ = 0;
  std::uint64_t limits_ = 0; ///< Times that a server began to name a limit.
  /** Requests rejected because servers' limits left no room in time. */
  std::uint64_t limitRejections_ = 0;
  std::uint64_t crashesSuspected_ = 0; ///< Requests in flight at a crash.
  /** Attempts without an answer whose server has been silent since. */
  std::uint64_t silentAttempts_ = 0;
  std::uint64_t silencesReported_ = 0; ///< To other daemons.
  std::uint64_t crashesRefuted_ = 0;   ///< Of crashesSuspected_: it still runs.
  /** Unknown keys rejected as not ready, because the tables were stale. */
  std::uint64_t staleKeyRejections_ = 0;
  std::uint64_t revokedRuns_ = 0; ///< Requests whose key was withdrawn.
  std::uint64_t evacuations_ = 0; ///< Evacuations that have begun.
  /** Waiting parts that failed because all their servers are evacuated. */
  std::uint64_t evacuatedParts_ = 0;
  std::uint64_t coldPhases_ = 0; ///< Times that a server became cold.
  std::uint64_t coldSends_ = 0;  ///< Requests sent to cold servers.
};

/** Upper bounds of the histogram of observed by expected answer times. */
constexpr std::array<double, 9> kCostErrorBounds{ 0.25, 0.5, 0.75, 1.0, 1.5,
                                                  2.0,  3.0, 5.0,  10.0 };

/** Learned state of PlacementMode::Cost. */
struct PlacementState
{
  CostModel costs_;
  PlacementEstimate chosen_; ///< Of the latest choice, until it is sent.
  PlacementNote note_;       ///< Of the latest choice, until it is sent.
  /** Answers per bound; the last counter is beyond all bounds. */
  std::array<std::uint64_t, kCostErrorBounds.size() + 1> errorCounts_{};
  double errorSum_ = 0.0;
};

/** State of the gateway. */
struct GatewayState
{
  GatewaySettings settings_;
  SharedGatewayConfig config_;
  OrganisationTable organisations_; ///< Of config_.
  /** When the tables were known to be up to date with the store. */
  TimePoint tablesAsOf_ = kNever;
  /** A newer configuration is known to exist, and may still arrive in time. */
  bool newerConfigExpected_ = false;
  std::vector<GatewayServiceState> services_;
  /** When servers said that they leave, by id and start. The store may list
   * them as ready again. */
  std::map<std::pair<std::string, std::int64_t>, TimePoint> leavingSince_;
  /** By id and start, of servers whose entries are missing. */
  std::map<std::pair<std::string, std::int64_t>, KeptGuidance> keptGuidance_;
  TimePoint malformedGuidanceLogAt_{}; ///< Earliest time of the next line.
  std::unordered_map<std::string, ServiceNumber> serviceNumber_;
  /** Services of each route of config_: its targets, or its shards. */
  std::vector<std::vector<ServiceNumber>> routeServices_;
  std::map<std::string, RouteLoad> loads_; ///< By name of the route.
  Pool<Backend> backends_;
  std::map<std::pair<std::string, std::int64_t>, std::uint64_t> backendOf_;
  /** Start and sequence of the newest entry of each listed server, by id. */
  std::map<std::string, std::pair<std::int64_t, std::uint64_t>> newestWrite_;
  Pool<BackendConn> connections_;
  Pool<Attempt> attempts_;
  Pool<GatewayRun> runs_;
  std::uint64_t heldBytes_ = 0; ///< Of answers that wait for their request.
  RateCaps caps_;
  std::map<std::uint64_t, AwaitingToken> awaiting_; ///< By request id.
  std::unordered_map<CallerRequestId, std::uint64_t> runOf_;
  std::vector<ServiceNumber> marked_;
  BasicTimerHeap<GatewayTimer> timers_;
  std::map<std::uint64_t, SuspectContent> suspects_; ///< By fingerprint.
  std::deque<LostAttempt> lost_;                     ///< In the order of at_.
  /** When content was found last that crashes servers, Unix microseconds. */
  std::int64_t culpritUnixMicros_ = 0;
  /** What daemons report, by Backend::incarnation_. */
  std::map<std::uint64_t, std::vector<SilenceReport>> silences_;
  TimePoint silenceReportsFrom_{};   ///< Begin of the second that is counted.
  std::uint32_t silenceReports_ = 0; ///< Sent in that second.
  /** Until then each query runs on one shard first, see query_probe.cpp. */
  TimePoint crashWaveUntil_{};
  std::uint32_t daemons_ = 1;  ///< Daemons sharing servers' connections.
  double slackFraction_ = 0.0; ///< Own part of the retry budget's slack.
  double limitShare_ = 1.0;    ///< Own part of servers' request limits.
  double cpuLoad_ = 0.0;       ///< Estimated processor use, as a share.
  TimePoint cpuLoadAt_{};
  std::uint64_t sendsAtCpuLoad_ = 0; ///< Sends counted at cpuLoadAt_.
  PlannedStop stop_;
  bool preconnect_ = true; ///< Open connections ahead of requests.
  Evacuations evacuations_;
  ColdPlan coldPlan_;
  /** Cold phases of servers that are not listed at the moment, by id and start:
   * an entry may be malformed for a while. */
  std::map<std::pair<std::string, std::int64_t>, ColdPhase> unlistedCold_;
  GatewayStats stats_;
  PlacementState placement_;
  std::map<std::string, OrganisationStats> organisationStats_; ///< By name.
};

} // namespace camphorfield
