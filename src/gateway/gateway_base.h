/** State of the gateway. */
#pragma once

#include "core/latency_hist.h"
#include "core/pool.h"
#include "core/rng_type.h"
#include "core/timer_heap.h"
#include "gateway/gateway_const.h"
#include "gateway/gateway_type.h"
#include "gateway/retry_budget.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace camphorfield {

using ServiceNumber = std::uint32_t;

/** What a timer of the gateway is for; key_ names the subject. */
enum class GatewayTimer : std::uint8_t
{
  RequestDeadline, ///< key_: request.
  RequestSoft,     ///< key_: request.
  Hedge,           ///< key_: attempt.
  Silence,         ///< key_: attempt.
  Care,            ///< key_: unused.
  End              ///< Number of kinds.
};

/** Decisions that can be switched off, to measure what each is worth. */
struct GatewayPolicy
{
  bool hedge_ = true;     ///< Ask a second server when the first is slow.
  bool partial_ = true;   ///< Answer in part just before the objective.
  bool admission_ = true; ///< Reject what can't be in time.
  bool placement_ = true; ///< Expected answer time; off: any server in turn.
};

/** What the gateway must know of its own daemon and the platform's bounds. */
struct GatewaySettings
{
  std::string failureDomain_;
  double cpuShare_ = 1.0; ///< Of a core, that this daemon may use.
  BudgetLimits budget_;
  GatewayPolicy policy_;
};

/** Life of a connection to a backend server. */
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
  bool used_ = false; ///< It has brought an answer.
  TimePoint usedAt_{};
  TimePoint expiresAt_ = kNever; ///< Idle: to be closed then.
  std::uint64_t attempt_ = 0;    ///< Busy: what it carries.
};

/** One life of one backend server. */
struct Backend
{
  std::uint64_t key_ = 0;
  BackendEntry entry_;
  ServiceNumber service_ = 0;
  bool listed_ = true;    ///< The newest list holds this life.
  TimePoint warmUntil_{}; ///< It is slow until then.
  std::vector<std::uint64_t> connections_;
  std::uint32_t inFlight_ = 0;
  std::uint32_t opening_ = 0;
  double limit_ = kLimitStart; ///< Requests of this daemon at a time.
  TimePoint limitCutAt_{};     ///< Time of the latest decrease.
  double speed_ = 1.0;         ///< Time of answers against the route's usual.
  TimePoint speedAt_{};
  double failures_ = 0.0; ///< Moving share of failed attempts.
  TimePoint failuresAt_{};
  std::uint32_t failedInRow_ = 0;
  Duration ejection_{}; ///< Length of the latest ejection.
  TimePoint ejectedUntil_{};
  std::uint32_t accepted_ = 0; ///< Connections that it has left open.
  TimePoint acceptedUntil_{};  ///< No more are asked for until then.
  Duration reconnect_{};       ///< Pause after the latest failed connect.
  TimePoint connectAfter_{};
  ReportedLoad load_;
  TimePoint loadAt_{};
};

/** Place of a waiting part: late requests last, then rank, then time left. */
using QueueKey =
  std::tuple<bool, std::uint32_t, TimePoint, std::uint64_t, std::uint32_t>;

/** One service and what waits for it. */
struct GatewayServiceState
{
  std::string name_;
  std::uint32_t maxConnections_ = 1;
  bool configured_ = false; ///< A route of the newest configuration leads here.
  std::vector<std::uint64_t> backends_; ///< Listed lives.
  std::set<QueueKey> queue_;
  RetryBudget budget_;
  bool marked_ = false; ///< To be looked at before the step ends.
};

/** Upper bounds of the histogram of answer times; the objectives of routes
 * are usually among them. */
constexpr std::array<Duration, 11> kTookBounds{
  std::chrono::milliseconds(5),   std::chrono::milliseconds(10),
  std::chrono::milliseconds(25),  std::chrono::milliseconds(50),
  std::chrono::milliseconds(80),  std::chrono::milliseconds(100),
  std::chrono::milliseconds(200), std::chrono::milliseconds(400),
  std::chrono::milliseconds(800), std::chrono::seconds(2),
  std::chrono::seconds(8)
};

/** What is learned of a route, kept over versions by its name. */
struct RouteLoad
{
  LatencyHist answers_; ///< Times of single attempts.
  Duration median_{};   ///< Of these; zero: unknown.
  Duration hedgeDelay_{};
  Duration silence_{};
  std::uint32_t samplesSinceRefresh_ = 0;
  double window_ = kWindowStart; ///< Requests in flight that are admitted.
  std::uint32_t inFlight_ = 0;
  TimePoint windowCutAt_{};
  std::vector<double> splitCredit_; ///< Of each share of a divided route.
  /** Answers by time; the last one is for those beyond all bounds. */
  std::array<std::uint64_t, kTookBounds.size() + 1> tookCounts_{};
  double tookSum_ = 0.0; ///< Seconds of these.
  Duration patience_{};  ///< Longest that callers have said they wait.
  TimePoint patienceAt_{};
};

/** Progress of one shard, or of a plain request. */
enum class PartPhase : std::uint8_t
{
  Waiting, ///< In a queue.
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
  QueueKey place_{};
  std::uint8_t sends_ = 0;
  std::uint8_t mayHaveRun_ = 0; ///< Sends that servers may have run.
  bool counted_ = false;        ///< Its first send has been counted.
  std::array<std::uint64_t, 2> attempts_{}; ///< In flight; zero: none.
  std::vector<std::uint64_t> tried_;        ///< Servers, in order.
  std::string proof_;
  std::string body_;
};

/** One request of a caller. */
struct GatewayRun
{
  std::uint64_t key_ = 0;
  CallerRequestId id_;
  SharedGatewayConfig config_;          ///< Version that it runs under.
  const GatewayRoute* route_ = nullptr; ///< In config_.
  RouteLoad* load_ = nullptr;
  SharedMessage message_;
  std::uint64_t fingerprint_ = 0;
  TimePoint arrivedAt_{};
  Duration waitedBefore_{}; ///< Since the caller's first attempt.
  TimePoint deadline_{};
  TimePoint softAt_ = kNever; ///< Partial answers from here on.
  std::uint32_t needed_ = 1;  ///< Parts without which it fails.
  std::uint32_t done_ = 0;
  std::uint32_t failed_ = 0;
  std::uint32_t sends_ = 0;
  std::uint32_t hedges_ = 0;
  bool mayHaveRun_ = false;
  bool late_ = false; ///< Past softAt_.
  std::vector<RequestPart> parts_;
  BackendAnswer failure_; ///< Latest whole answer that was no success.
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
  Duration expected_{}; ///< Usual time of an answer when it was sent.
  bool hedge_ = false;
};

/** Content that was in flight on servers when they crashed. */
struct SuspectContent
{
  std::uint32_t crashes_ = 0;
  TimePoint until_{};
};

/** A connection broke with a request on it; a crash if others do, too. */
struct BrokenConnection
{
  TimePoint at_{};
  std::uint64_t backend_ = 0;
  std::uint64_t fingerprint_ = 0;
};

/** Counters since the start of the daemon. */
struct GatewayStats
{
  std::array<std::uint64_t, static_cast<std::size_t>(ProxyCode::End)> byCode_{};
  std::uint64_t late_ = 0;        ///< Successes after their objective.
  std::uint64_t partial_ = 0;     ///< Successes with shards left out.
  std::uint64_t shardsAsked_ = 0; ///< Shards of answered queries.
  std::uint64_t shardsMissing_ = 0;
  std::uint64_t callersGone_ = 0;
  std::uint64_t firstSends_ = 0;
  std::uint64_t hedges_ = 0;
  std::uint64_t hedgesWon_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t farSends_ = 0; ///< To servers of other failure domains.
  std::uint64_t budgetDenied_ = 0;
  std::uint64_t connects_ = 0;
  std::uint64_t shed_ = 0; ///< Answers that say "not run".
  std::uint64_t ejections_ = 0;
  std::uint64_t garbled_ = 0; ///< Answers that belong to no request.
};

/** State of the gateway. */
struct GatewayState
{
  GatewaySettings settings_;
  SharedGatewayConfig config_;
  std::vector<GatewayServiceState> services_;
  std::unordered_map<std::string, ServiceNumber> serviceNumber_;
  std::map<std::string, RouteLoad> loads_; ///< By name of the route.
  Pool<Backend> backends_;
  std::map<std::pair<std::string, std::int64_t>, std::uint64_t> backendOf_;
  /** Start and number of the latest write of each listed server. */
  std::map<std::string, std::pair<std::int64_t, std::uint64_t>> newestWrite_;
  Pool<BackendConn> connections_;
  Pool<Attempt> attempts_;
  Pool<GatewayRun> runs_;
  std::unordered_map<CallerRequestId, std::uint64_t> runOf_;
  std::vector<ServiceNumber> marked_;
  BasicTimerHeap<GatewayTimer> timers_;
  std::map<std::uint64_t, SuspectContent> suspects_; ///< By fingerprint.
  std::vector<BrokenConnection> broken_;
  std::uint32_t daemons_ = 1; ///< That share the budgets and connections.
  double busy_ = 0.0;         ///< Share of the own processor that sends take.
  TimePoint busyAt_{};
  std::uint64_t sendsAtBusy_ = 0; ///< Sends up to then.
  bool warm_ = true; ///< Connections are opened before requests need them.
  GatewayStats stats_;
};

} // namespace camphorfield
