/** Traffic with backend servers. */
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
  Cancel, ///< Stop of an earlier request.
  Health, ///< Health and load.
  End     ///< Number of kinds.
};

/** Request to a backend server on an open connection. */
struct SubRequest
{
  SubRequestId id_;         ///< Unique over the daemon's life.
  ConnectionId connection_; ///< Connection it goes out on.
  SubKind kind_ = SubKind::Query;
  std::string service_;         ///< Service addressed.
  std::string shard_;           ///< Shard searched; queries only.
  SnapshotVersion version_;     ///< Snapshot demanded; queries only.
  std::string key_;             ///< Idempotency key; orders only.
  SubRequestId cancels_;        ///< Request to stop; cancels only.
  TimePoint deadline_ = kNever; ///< The host must not write the first byte
                                ///< after this; remaining time goes along.
  SharedText body_;             ///< Payload.
};

/** What a backend server said of a request. */
enum class SubStatus : std::uint8_t
{
  Ok,           ///< It ran; the answer is whole.
  Refused,      ///< Shed or draining: not run.
  WrongVersion, ///< The server lacks the snapshot: not run.
  NotRun,       ///< The server says that it did not run, for another reason.
  Rejected,     ///< It ran and was refused for its content (4xx).
  Failed,       ///< 5xx: it may have run.
  Corrupt,      ///< Truncated, or labels that differ from the request.
  End           ///< Number of states.
};

/** Answer of a backend server, labels as the server stated them. */
struct SubAnswer
{
  SubRequestId id_;         ///< Request on this connection.
  ConnectionId connection_; ///< Connection it came on.
  SubStatus status_ = SubStatus::Ok;
  SubRequestId statedId_;         ///< Request id as stated by the server.
  std::string statedShard_;       ///< Shard as stated by the server.
  SnapshotVersion statedVersion_; ///< Snapshot as stated by the server.
  bool draining_ = false;         ///< The server is leaving.
  bool closing_ = false;          ///< The server closes the connection.
  double load_ = -1.0;            ///< Reported load, 0 to 1; negative: none.
  std::vector<SnapshotVersion> versions_; ///< Versions held; health only.
  SharedText body_;                       ///< Payload.
};

/** Why a connection or a request on it ended. */
enum class ConnectionEnd : std::uint8_t
{
  Closed,        ///< The server closed it in order while it was idle.
  Reset,         ///< Broken by the other side or the network.
  Refused,       ///< Not accepted: the address answers, no process listens.
  TimedOut,      ///< No progress.
  OverCap,       ///< The server accepts no more connections.
  ClosedLocally, ///< Closed by a CloseConnection decision.
  End            ///< Number of reasons.
};

/** A connection is open. */
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
  SubRequestId request_;     ///< Request that was on it, if any.
  bool requestSent_ = false; ///< At least one byte of the request went out.
};

/** Open a connection to a backend server. */
struct OpenConnection
{
  ConnectionId id_;
  ServerId server_;
  std::string address_; ///< "IP:port".
  Duration timeout_{};  ///< Give up after this.
};

/** Close a connection; ConnectionEnded with ClosedLocally follows. */
struct CloseConnection
{
  ConnectionId id_;
};

/**
 * The host found the deadline of a request past before its first byte, and
 * did not send it. The connection stays usable.
 */
struct SubNotSent
{
  SubRequestId id_;
  ConnectionId connection_;
};

} // namespace camphorfield
