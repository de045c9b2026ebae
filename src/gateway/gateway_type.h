/** Configuration, requests and backend messages of the gateway. */
#pragma once

#include "core/crash_evidence.h"
#include "core/id_type.h"
#include "core/time_type.h"
#include "machine/cap_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace camphorfield {

/** Whether a request may be sent to a server more than once. */
enum class RequestKind : std::uint8_t
{
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once per attempt of the caller.
  End            ///< Number of kinds.
};

/** One target of a route that splits its requests by weight. */
struct ServiceShare
{
  std::string service_;
  double weight_ = 1.0; ///< Relative to the other shares.
};

/** Handling of the requests of one host and path prefix. */
struct GatewayRoute
{
  std::string name_;
  std::string host_;
  std::string prefix_; ///< Begins and ends with a slash.
  RequestKind kind_ = RequestKind::Idempotent;
  Duration timeout_{};            ///< Zero: only the caller's timeout applies.
  Duration objective_{};          ///< Latency objective; zero: none.
  std::uint32_t priority_ = 0;    ///< Zero is the most urgent.
  std::uint32_t maxAttempts_ = 1; ///< Different servers tried per shard.
  std::vector<ServiceShare> to_;  ///< Plain routes: weighted targets.
  std::vector<std::string> shards_; ///< Queries: one service per shard.
  std::uint32_t topRecords_ = 0;    ///< Queries: records in the answer.
  double minCoverage_ = 0.0;        ///< Queries: least share of shards.
  bool public_ = false;             ///< Requests need no key.
  /** Regions whose servers may get its requests; empty: all. */
  std::set<std::string> allowedRegions_;

  bool IsQuery() const { return !shards_.empty(); }
};

/** Configuration of one service. */
struct GatewayService
{
  std::string name_;
  std::uint32_t maxConnections_ = 1; ///< Per server, over all daemons.
  Duration warmup_{}; ///< Length of a server's cold phase after its start.
  /** Requests a second that a cold server takes from all daemons together;
   * zero: no limit. */
  double warmupPerSecond_ = 0.0;
};

/** A customer whose callers share keys, a priority and a rate. */
struct Organisation
{
  std::string name_;
  std::vector<std::string> keys_;
  std::optional<std::uint32_t> priority_; ///< None: that of the route.
  double perSecond_ = 0.0;                ///< Over all daemons; zero: no limit.
  double burst_ = 0.0;                    ///< Requests beyond the rate.
};

/** Limits on the requests and connections of callers. */
struct GatewayLimits
{
  std::uint32_t headerBytes_ = 16U * 1024;
  std::uint64_t bodyBytes_ = 1024ULL * 1024;
  Duration headerTimeout_ = std::chrono::seconds(10);
  Duration idleTimeout_ = std::chrono::seconds(60);
};

/** One complete version of the configuration. */
struct GatewayConfig
{
  std::uint64_t version_ = 0; ///< Rises with each accepted change.
  std::vector<GatewayRoute> routes_;
  std::map<std::string, GatewayService> services_;
  GatewayLimits limits_;
  /** None: requests need no keys. An empty list admits public routes alone. */
  std::optional<std::vector<Organisation>> organisations_;
};

using SharedGatewayConfig = std::shared_ptr<const GatewayConfig>;

/** Registration of one backend server, as the server wrote it. */
struct BackendEntry
{
  std::string id_;                 ///< A later incarnation may reuse it.
  std::int64_t startedMillis_ = 0; ///< Start of this incarnation, Unix ms.
  std::string service_;
  std::string address_; ///< "IP:port".
  std::string failureDomain_;
  std::uint32_t slots_ = 1;    ///< Requests that it runs in parallel.
  bool draining_ = false;      ///< It accepts no new requests.
  Duration warmupLeft_{};      ///< Rest of the slow phase after its start.
  std::uint64_t sequence_ = 0; ///< Rises with each write of this incarnation.
};

/** One header field that is forwarded unchanged. */
struct MessageField
{
  std::string name_;
  std::string value_;
};

/** Content of a caller's request, as it is forwarded. */
struct ProxyMessage
{
  std::string method_;
  std::string target_; ///< Path with query string.
  std::string path_;   ///< Target without the query string.
  std::string host_;
  std::string requestId_; ///< Set by the caller; empty if it sent none.
  std::vector<MessageField> fields_; ///< End-to-end fields only.
  /** Fields that hold the caller's key or name its organisation, as they came;
   * forwarded only where the configuration has no organisations. */
  std::vector<MessageField> identity_;
  std::string body_;
};

using SharedMessage = std::shared_ptr<const ProxyMessage>;

/** Event: a caller's request has arrived. */
struct ProxyRequest
{
  CallerRequestId id_; ///< Issued by the host.
  std::string caller_; ///< Name of the caller; part of the fingerprint.
  SharedMessage message_;
  Duration callerTimeout_{}; ///< How long it waits; zero: not stated.
  std::string key_;          ///< Of its organisation; empty: none, or several.
};

/** Outcome of a caller's request. */
enum class ProxyCode : std::uint8_t
{
  Forwarded,    ///< Answer of a server, unchanged.
  Merged,       ///< Answer of a query, merged from its shards.
  NoRoute,      ///< No route matches.
  NotReady,     ///< No configuration has been loaded yet.
  Overloaded,   ///< Rejected by admission; it did not run.
  NoServer,     ///< No server is available; it did not run.
  NotRun,       ///< Every server tried reports that it did not run.
  Stopping,     ///< This daemon is about to end; it did not run.
  Quarantined,  ///< Rejected: its content has crashed servers.
  Unauthorized, ///< Its key is unknown; it did not run.
  RateCapped,   ///< Its organisation is above its rate; it did not run.
  Failed,       ///< Broken or invalid answer; it may have run.
  TimedOut,     ///< No answer in time; it may have run.
  LowCoverage,  ///< Too few shards answered; it may have run.
  End           ///< Number of codes.
};

/** Answer to a caller. */
struct ProxyAnswer
{
  CallerRequestId id_;
  ProxyCode code_ = ProxyCode::Failed;
  std::uint32_t status_ = 0;         ///< Forwarded only.
  std::vector<MessageField> fields_; ///< Forwarded only.
  std::string body_;
  std::vector<std::string> proofs_; ///< Merged: one per shard in the answer.
  std::uint32_t missing_ = 0;       ///< Merged: shards left out.
  Duration retryAfter_{}; ///< When to retry; set only if it did not run.
};

/** Command: send a request on an open connection. */
struct BackendSend
{
  SubRequestId id_;
  ConnectionId connection_;
  SharedMessage message_;
  Duration remaining_{};       ///< Time left until the deadline.
  std::string expectedServer_; ///< A server with another id must refuse it.
  /** Name of the caller's organisation; empty: unknown, on a public route.
   * None: the configuration has no organisations. */
  std::optional<std::string> organisation_;
};

/** Load that a server reports in an answer. */
struct ReportedLoad
{
  bool known_ = false;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t slots_ = 0;
  std::uint32_t slowness_ = 100; ///< Service time, % of normal.
};

/** Event: a complete answer of a backend server. */
struct BackendAnswer
{
  ConnectionId connection_;
  std::uint32_t status_ = 0;
  std::string requestId_; ///< Echo of the request's id; empty: none.
  std::string proof_;     ///< Stamp of the server that ran it; empty: none.
  bool notRun_ = false;   ///< The server reports that it did not run it.
  bool encoded_ = false;  ///< The body has a content encoding.
  bool closing_ = false;  ///< The server closes the connection.
  Duration keepAlive_{};  ///< Idle timeout of the server; zero: not stated.
  ReportedLoad load_;
  /** Requests a second that the server takes from all daemons together; none:
   * as many as come. */
  std::optional<double> requestLimit_;
  bool leaving_ = false; ///< The server is about to end.
  /** Some of what it says of itself can't be read, and isn't included here. */
  bool malformedGuidance_ = false;
  Duration retryAfter_{}; ///< It wants nothing from this daemon for so long.
  std::vector<MessageField> fields_; ///< End-to-end fields.
  std::string body_;
};

/** Why a connection to a backend server ended. */
enum class BackendEnd : std::uint8_t
{
  Refused,   ///< Connection refused.
  TimedOut,  ///< It could not be opened in time.
  Closed,    ///< Closed by the server.
  Reset,     ///< Connection reset.
  Malformed, ///< Invalid or unrequested bytes.
  NoMemory,  ///< Ended by this daemon, which has no memory for the answer.
  End        ///< Number of reasons.
};

/** Event: a connection is open. */
struct BackendOpened
{
  ConnectionId connection_;
};

/** Event: a connection failed to open or has ended. Not sent for connections
 * that the gateway closed itself. */
struct BackendClosed
{
  ConnectionId connection_;
  BackendEnd end_ = BackendEnd::Closed;
  bool answerBegun_ = false; ///< Part of an answer had arrived.
};

/** Command: open a connection to a backend server. */
struct BackendConnect
{
  ConnectionId connection_;
  std::string address_; ///< "IP:port".
  Duration timeout_{};
};

/** Command: close a connection; no further events are sent for it, but an
 * answer that has arrived is reported as UnreadAnswer. */
struct BackendDisconnect
{
  ConnectionId connection_;
  std::uint64_t backend_ = 0; ///< Key of its server.
  /** Hash of the id of the request sent last on it; zero: it had none. */
  std::uint64_t requestHash_ = 0;
};

/** Event: answer to a request that was cancelled. */
struct UnreadAnswer
{
  std::uint64_t backend_ = 0; ///< Key of the server.
  BackendAnswer answer_;
  std::uint64_t requestHash_ = 0; ///< As in BackendDisconnect.
};

/** Log record of a finished request. */
struct RequestRecord
{
  std::string requestId_;
  std::string route_;
  std::string organisation_;  ///< Name; empty: none.
  std::uint64_t version_ = 0; ///< Of the configuration in use.
  ProxyCode code_ = ProxyCode::Failed;
  std::uint32_t status_ = 0; ///< Forwarded only.
  Duration took_{};
  std::uint32_t shards_ = 0;
  std::uint32_t covered_ = 0;
  std::uint32_t sends_ = 0;  ///< Requests sent to servers for it.
  std::uint32_t hedges_ = 0; ///< Of these, sent as hedges.
  bool late_ = false;        ///< Answered after its latency objective.
  Duration waitedBefore_{};  ///< Since the caller's first attempt.
  /** Parts that their first server did not answer: service, state, number of
   * sends and servers tried. For a rejection: its cause. */
  std::string reason_;
};

/** Log record of a change in the state of a server. */
struct BackendRecord
{
  std::string server_;
  std::string service_;
  std::string
    change_; ///< "listed", "removed", "draining", "ejected", "restored".
  std::string reason_;
};

/** What has happened to the server of a suspected request. */
enum class SuspicionEvent : std::uint8_t
{
  Broke,       ///< Its connection broke with the request in flight.
  Crashed,     ///< It turned out to have crashed.
  Quarantined, ///< The content is rejected from now on.
  Refuted,     ///< It has not crashed: the same incarnation still runs.
  End          ///< Number of events.
};

/** Log record of a request that may have crashed its server. */
struct SuspicionRecord
{
  SuspicionEvent event_ = SuspicionEvent::Broke;
  std::string server_;
  std::string requestId_;
  std::string caller_;
  std::string target_; ///< Host, path and query.
  std::uint64_t fingerprint_ = 0;
  std::string reason_;
};

/** Command: report evidence on content to all daemons. */
struct SuspectFound
{
  std::uint64_t fingerprint_ = 0;
  CrashEvidence evidence_;
};

using GatewayDecision = std::variant<ProxyAnswer,
                                     BackendConnect,
                                     BackendSend,
                                     BackendDisconnect,
                                     SuspectFound,
                                     RequestRecord,
                                     BackendRecord,
                                     SuspicionRecord,
                                     CapSend>;

using GatewayDecisions = std::vector<GatewayDecision>;

} // namespace camphorfield
