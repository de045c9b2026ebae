/** Requests to backend servers, their answers, and connections. */
#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include "machine/caller_type.h"

#include <string>
#include <vector>

namespace camphorfield {

/** Kinds of requests to a backend server. */
enum class SubKind : std::uint8_t
{
  Query,  ///< Search of one shard; idempotent.
  Order,  ///< Non-idempotent request.
  Cancel, ///< Stops an earlier request.
  Health, ///< Asks for health and load.
  End     ///< Number of kinds.
};

/** Request to a backend server on an open connection. */
struct SubRequest
{
  SubRequestId id_;         ///< Unique within a daemon's incarnation.
  ConnectionId connection_; ///< Connection to send it on.
  SubKind kind_ = SubKind::Query;
  std::string service_;         ///< Service addressed.
  std::string shard_;           ///< Shard searched; queries only.
  SnapshotVersion version_;     ///< Snapshot required; queries only.
  std::string key_;             ///< Idempotency key; orders only.
  SubRequestId cancels_;        ///< Request to stop; cancels only.
  TimePoint deadline_ = kNever; ///< The host sends the remaining time along. It
                                ///< must not send the first byte after this.
  SharedText body_;             ///< Payload.
};

/** Status of a sub-request in the backend server's answer. */
enum class SubStatus : std::uint8_t
{
  Ok,           ///< It ran; the answer is complete.
  Refused,      ///< Not run: shed, or the server is draining.
  WrongVersion, ///< Not run: the server lacks the snapshot.
  NotRun,       ///< Not run for another reason.
  Rejected,     ///< It ran and its content was refused (4xx).
  Failed,       ///< It may have run (5xx).
  Corrupt,      ///< Truncated, or labels that differ from the request.
  End           ///< Number of states.
};

/** Answer of a backend server, with the labels that the server put on it. */
struct SubAnswer
{
  SubRequestId id_;         ///< Request in flight on this connection.
  ConnectionId connection_; ///< Connection that it came on.
  SubStatus status_ = SubStatus::Ok;
  SubRequestId statedId_;         ///< Request id as stated by the server.
  std::string statedShard_;       ///< Shard as stated by the server.
  SnapshotVersion statedVersion_; ///< Snapshot as stated by the server.
  bool draining_ = false;         ///< The server is leaving.
  bool closing_ = false;          ///< The server closes the connection.
  double load_ = -1.0;            ///< Reported load, 0 to 1; negative: unknown.
  std::vector<SnapshotVersion> versions_; ///< Versions held; health only.
  SharedText body_;                       ///< Payload.
};

/** Why a connection or a request on it ended. */
enum class ConnectionEnd : std::uint8_t
{
  Closed,        ///< Closed by the server while it was idle.
  Reset,         ///< Reset by the server or the network.
  Refused,       ///< The host is up, but no process listens.
  TimedOut,      ///< No progress.
  OverCap,       ///< The server is at its connection limit.
  ClosedLocally, ///< Closed by a CloseConnection decision.
  End            ///< Number of reasons.
};

/** A connection was opened. */
struct ConnectionOpened
{
  ConnectionId id_;
};

/** A connection could not be opened, or has ended. */
struct ConnectionEnded
{
  ConnectionId id_;
  ConnectionEnd reason_ = ConnectionEnd::Closed;
  bool wasOpen_ = false;     ///< False: it never opened.
  SubRequestId request_;     ///< Request in flight on it, if any.
  bool requestSent_ = false; ///< At least one byte of the request was sent.
};

/** Open a connection to a backend server. */
struct OpenConnection
{
  ConnectionId id_;
  ServerId server_;
  std::string address_; ///< "IP:port".
  Duration timeout_{};  ///< Give up after this.
};

/** Close a connection. ConnectionEnded with ClosedLocally follows. */
struct CloseConnection
{
  ConnectionId id_;
};

/**
 * A request was not sent, because its deadline had passed before the first
 * byte. The connection stays usable.
 */
struct SubNotSent
{
  SubRequestId id_;
  ConnectionId connection_;
};

} // namespace camphorfield
