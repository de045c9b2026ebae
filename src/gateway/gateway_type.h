/** Configuration, requests and backend traffic of the gateway. */
#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace camphorfield {

/** What may be repeated. */
enum class RequestKind : std::uint8_t
{
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once for each attempt of the caller.
  End            ///< Number of kinds.
};

/** One of the services that a route divides its requests among. */
struct ServiceShare
{
  std::string service_;
  double weight_ = 1.0; ///< Relative to the other shares.
};

/** Requests of one host and path prefix. */
struct GatewayRoute
{
  std::string name_;
  std::string host_;
  std::string prefix_; ///< Begins and ends with a slash.
  RequestKind kind_ = RequestKind::Idempotent;
  Duration timeout_{};              ///< Longest wait; zero: the caller's.
  Duration objective_{};            ///< Latency objective; zero: none.
  std::uint32_t priority_ = 0;      ///< Zero is the most urgent.
  std::uint32_t maxAttempts_ = 1;   ///< Servers that may run one shard.
  std::vector<ServiceShare> to_;    ///< Plain routes: where requests go.
  std::vector<std::string> shards_; ///< Queries: one service for each shard.
  std::uint32_t topRecords_ = 0;    ///< Queries: records in the answer.
  double minCoverage_ = 0.0;        ///< Queries: share of shards needed.

  bool IsQuery() const { return !shards_.empty(); }
};

/** What is configured for a service. */
struct GatewayService
{
  std::string name_;
  std::uint32_t maxConnections_ = 1; ///< One server accepts, from all callers.
};

/** Bounds on what a caller may send. */
struct GatewayLimits
{
  std::uint32_t headerBytes_ = 16U * 1024;
  std::uint64_t bodyBytes_ = 1024ULL * 1024;
  Duration headerTimeout_ = std::chrono::seconds(10);
  Duration idleTimeout_ = std::chrono::seconds(60);
};

/** One whole version of the configuration. */
struct GatewayConfig
{
  std::uint64_t version_ = 0; ///< Rises with each accepted change.
  std::vector<GatewayRoute> routes_;
  std::map<std::string, GatewayService> services_;
  GatewayLimits limits_;
};

using SharedGatewayConfig = std::shared_ptr<const GatewayConfig>;

/** One backend server as it announces itself. */
struct BackendEntry
{
  std::string id_;                 ///< Names the server; one life may reuse it.
  std::int64_t startedMillis_ = 0; ///< Start of this life in Unix milliseconds.
  std::string service_;
  std::string address_; ///< "IP:port".
  std::string failureDomain_;
  std::uint32_t slots_ = 1;    ///< Requests that it runs at a time.
  bool draining_ = false;      ///< It takes no new work.
  Duration warmupLeft_{};      ///< It is slow for this long after its start.
  std::uint64_t sequence_ = 0; ///< Rises with each write of this life.
};

/** One header field that goes through unchanged. */
struct MessageField
{
  std::string name_;
  std::string value_;
};

/** Request of a caller as it is forwarded. */
struct ProxyMessage
{
  std::string method_;
  std::string target_; ///< Path with query string.
  std::string path_;   ///< Target up to the query string.
  std::string host_;
  std::string requestId_;            ///< The caller's; empty when it sent none.
  std::vector<MessageField> fields_; ///< End-to-end fields only.
  std::string body_;
};

using SharedMessage = std::shared_ptr<const ProxyMessage>;

/** A caller's request arrived. */
struct ProxyRequest
{
  CallerRequestId id_; ///< Issued by the host.
  std::string caller_; ///< Names the caller, for content that crashes servers.
  SharedMessage message_;
  Duration
    callerTimeout_{}; ///< How long the caller waits; zero: it doesn't say.
};

/** Outcome of a caller's request. */
enum class ProxyCode : std::uint8_t
{
  Forwarded,   ///< A server's answer, unchanged.
  Merged,      ///< Answer of a query.
  NoRoute,     ///< No route matches.
  NotReady,    ///< No configuration is known yet.
  Overloaded,  ///< Rejected before it was sent to a server.
  NoServer,    ///< No server can run it; it did not run.
  NotRun,      ///< All servers tried say that it did not run.
  Quarantined, ///< Its content crashes servers.
  Failed,      ///< A server broke off or sent garbage; it may have run.
  TimedOut,    ///< No answer in time; it may have run.
  LowCoverage, ///< Too few shards answered; it may have run.
  End          ///< Number of codes.
};

/** Answer to a caller. */
struct ProxyAnswer
{
  CallerRequestId id_;
  ProxyCode code_ = ProxyCode::Failed;
  std::uint32_t status_ = 0;         ///< Forwarded only: the server's status.
  std::vector<MessageField> fields_; ///< Forwarded only: the server's fields.
  std::string body_;
  std::vector<std::string> proofs_; ///< Merged: of the parts in the answer.
  std::uint32_t missing_ = 0;       ///< Merged: shards left out.
  Duration retryAfter_{};           ///< Not run: when to come back.
};

/** Request to a backend server on an open connection. */
struct BackendSend
{
  SubRequestId id_;
  ConnectionId connection_;
  SharedMessage message_;
  Duration remaining_{};       ///< Time left when it is sent.
  std::string expectedServer_; ///< Any other server must not run it.
};

/** Load as a server reports it. */
struct ReportedLoad
{
  bool known_ = false;
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t slots_ = 0;
  std::uint32_t slowness_ = 100; ///< Per cent of the usual time of work.
};

/** Whole answer of a backend server. */
struct BackendAnswer
{
  ConnectionId connection_;
  std::uint32_t status_ = 0;
  std::string requestId_; ///< Echo of the caller's; empty: none.
  std::string proof_;     ///< Empty: none.
  bool notRun_ = false;   ///< The server says that it did not run it.
  bool encoded_ = false;  ///< The body isn't what the server's work gave.
  bool closing_ = false;  ///< The server closes the connection.
  Duration keepAlive_{};  ///< Idle connections live that long; zero: unknown.
  ReportedLoad load_;
  std::vector<MessageField> fields_; ///< End-to-end fields.
  std::string body_;
};

/** Why a connection to a backend server ended. */
enum class BackendEnd : std::uint8_t
{
  Refused,   ///< Nothing listens there.
  TimedOut,  ///< It could not be opened in time.
  Closed,    ///< Closed in order.
  Reset,     ///< Broken.
  Malformed, ///< Bytes that are no answer, or that nothing asked for.
  End        ///< Number of reasons.
};

/** A connection is open. */
struct BackendOpened
{
  ConnectionId connection_;
};

/** A connection could not be opened, or has ended; not told after our close. */
struct BackendClosed
{
  ConnectionId connection_;
  BackendEnd end_ = BackendEnd::Closed;
  bool answerBegun_ = false; ///< Bytes of an answer had arrived.
};

/** Open a connection to a backend server. */
struct BackendConnect
{
  ConnectionId connection_;
  std::string address_; ///< "IP:port".
  Duration timeout_{};
};

/** Close a connection; nothing more is told of it. */
struct BackendDisconnect
{
  ConnectionId connection_;
};

/** What became of a request, for the log. */
struct RequestRecord
{
  std::string requestId_;
  std::string route_;
  std::uint64_t version_ = 0; ///< Configuration that it ran under.
  ProxyCode code_ = ProxyCode::Failed;
  std::uint32_t status_ = 0; ///< Forwarded only.
  Duration took_{};
  std::uint32_t shards_ = 0;
  std::uint32_t covered_ = 0;
  std::uint32_t sends_ = 0;  ///< Requests sent to servers for it.
  std::uint32_t hedges_ = 0; ///< Of these, sent to beat a slow server.
  bool late_ = false;        ///< Answered after its latency objective.
  Duration waitedBefore_{};  ///< Since the caller's first attempt.
  /** Parts that were not answered by their first server: service, what became
   * of it, servers asked; or what decided a rejection. */
  std::string reason_;
};

/** What the gateway believes of a server has changed, for the log. */
struct BackendRecord
{
  std::string server_;
  std::string service_;
  std::string change_; ///< "ejected", "restored", "lost", ...
  std::string reason_;
};

/** Content was in flight on servers that crashed; to be told to all. */
struct SuspectFound
{
  std::uint64_t fingerprint_ = 0;
  std::uint32_t crashes_ = 0; ///< Servers so far.
};

using GatewayDecision = std::variant<ProxyAnswer,
                                     BackendConnect,
                                     BackendSend,
                                     BackendDisconnect,
                                     SuspectFound,
                                     RequestRecord,
                                     BackendRecord>;

using GatewayDecisions = std::vector<GatewayDecision>;

} // namespace camphorfield
