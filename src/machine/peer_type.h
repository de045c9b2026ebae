/** Messages between daemons. The peer package encodes them with Thrift. */
#pragma once

#include "core/id_type.h"
#include "core/result_type.h"
#include "core/time_type.h"
#include "machine/caller_type.h"
#include "machine/server_type.h"
#include "machine/timeline_type.h"

#include <string>
#include <variant>
#include <vector>

namespace camphorfield {

/** Health of a member as gossip sees it; a later one overrides. */
enum class MemberState : std::uint8_t
{
  Alive,   ///< Heartbeats arrive.
  Suspect, ///< Heartbeats are missing; the member may refute it.
  Leaving, ///< Graceful shutdown; accepts no new callers soon.
  Dead,    ///< Gone; kept for a while so that old gossip doesn't revive it.
  End      ///< Number of states.
};

/** What is known of one daemon. */
struct MemberRecord
{
  DaemonId id_;                 ///< Hash of name_.
  std::string name_;            ///< Name from the settings.
  Incarnation incarnation_;     ///< Start time; a restart has a larger one.
  std::uint64_t heartbeat_ = 0; ///< Version of the record within one life;
                                ///< raised by the daemon itself alone.
  MemberState state_ = MemberState::Alive;
  std::string peerAddress_;     ///< "IP:port" for daemons.
  std::string callerAddress_;   ///< "IP:port" for callers.
  std::string operatorAddress_; ///< "IP:port" for operators.
  std::string failureDomain_;   ///< Where it runs.
  bool ready_ = false;          ///< It has a confirmed configuration.
  Generation generation_;       ///< Configuration in force.
  std::uint32_t load_ = 0;      ///< Share of its capacity in use, per mille.
  std::uint32_t capacity_ = 0;  ///< Per mille of a core; zero: not told.
};

/** A backend server is leaving, or has come back. */
struct LeavingRumor
{
  std::string server_;          ///< Name of the server.
  bool leaving_ = true;         ///< False withdraws it.
  std::int64_t unixMicros_ = 0; ///< A later one overrides.
  bool listed_ = false;         ///< The platform's VM list says so.
};

/** A request's content crashed a backend server. */
struct QuarantineRumor
{
  Fingerprint fingerprint_;
  std::uint32_t crashes_ = 0;        ///< Distinct servers that crashed.
  std::int64_t untilUnixMicros_ = 0; ///< Expiry.
};

using Rumor = std::variant<LeavingRumor, QuarantineRumor>;

/**
 * Who has a generation in force, as a bit for each member that is not dead,
 * in order of id. Fits only a receiver with the same members.
 */
struct AdoptedSet
{
  Generation generation_;        ///< Zero: nothing is told.
  std::uint64_t rosterHash_ = 0; ///< Hash of the members and incarnations.
  std::string members_;          ///< Bits, the lowest of each byte first.
};

/**
 * Heartbeat with news; answered by GossipAck. A record without a name updates
 * a member that the receiver knows; one without an incarnation asks for the
 * whole record.
 */
struct GossipPing
{
  std::uint64_t sequence_ = 0;        ///< Echoed by the acknowledgement; zero:
                                      ///< none is wanted.
  std::vector<MemberRecord> members_; ///< The sender first, then news.
  std::vector<Rumor> rumors_;
  std::uint64_t viewHash_ = 0; ///< Hash of the sender's view.
  bool sync_ = false;          ///< Answer with whole records, in order of id.
  DaemonId syncAfter_;         ///< Where the records asked for begin.
  AdoptedSet adopted_;
};

/** Stands behind all members. */
constexpr DaemonId kSyncEnd{ UINT64_MAX };

/** Answer to GossipPing. */
struct GossipAck
{
  std::uint64_t sequence_ = 0;
  std::vector<MemberRecord> members_; ///< The sender first, then news.
  std::vector<Rumor> rumors_;
  std::uint64_t viewHash_ = 0;
  DaemonId syncNext_; ///< Last record of the page; zero: no page is given;
                      ///< kSyncEnd: it was the last page.
  AdoptedSet adopted_;
};

/** Ask a daemon to ping a third one, which doesn't answer us. */
struct GossipProbe
{
  std::uint64_t sequence_ = 0;
  MemberRecord target_;
};

/** Ask for a generation's content. */
struct GenerationRequest
{
  PeerCallId call_;
  Generation generation_; ///< Zero: the newest that the peer has.
  Generation base_; ///< Generation that the asker has; zero: none. The peer
                    ///< leaves out what has not changed since.
};

/**
 * Content of a generation. With no call and no content it is a notice that the
 * sender has this generation, and the receiver may ask for it.
 */
struct GenerationContent
{
  PeerCallId call_;
  Generation generation_; ///< Zero: the peer has none.
  std::string changeId_;
  std::string digest_;  ///< Digest of content_.
  std::string content_; ///< Encoded by publish; opaque to others.
};

/** Hand an order to the daemon that owns its key. */
struct OrderForward
{
  PeerCallId call_;
  std::string caller_;
  std::string route_;
  std::string key_;
  SharedText body_;
  Duration remaining_{};  ///< Time left of the deadline.
  Generation generation_; ///< Configuration of the sender.
};

/** Answer to OrderForward. */
struct OrderForwarded
{
  PeerCallId call_;
  ResultCode code_ = ResultCode::Ok;
  bool accepted_ = true; ///< False: not the owner; nothing was run.
  bool replayed_ = false;
  SharedText body_;
};

/** Copy of an outcome, an aid for resends after the owner's end. */
struct OrderOutcomeCopy
{
  std::string caller_;
  std::string key_;
  Fingerprint body_; ///< Fingerprint of the order's content.
  ResultCode code_ = ResultCode::Ok;
  SharedText answer_;
  std::int64_t unixMicros_ = 0; ///< When it ended.
};

/** Sub-request sent through a home daemon of its server. */
struct RelayedSub
{
  SubRequest request_; ///< The deadline is in remaining_.
  std::string server_; ///< Server chosen; empty: the home chooses.
  Duration remaining_{};
  Fingerprint fingerprint_;
};

/** Batch of sub-requests to a home daemon. */
struct RelayBatch
{
  PeerCallId call_;
  std::vector<RelayedSub> subs_;
};

/** Answers to some of a batch's sub-requests. */
struct RelayAnswers
{
  PeerCallId call_;
  std::vector<SubAnswer> answers_;
};

using PeerBody = std::variant<GossipPing,
                              GossipAck,
                              GossipProbe,
                              GenerationRequest,
                              GenerationContent,
                              OrderForward,
                              OrderForwarded,
                              OrderOutcomeCopy,
                              RelayBatch,
                              RelayAnswers>;

/** Message from one daemon to another. */
struct PeerMessage
{
  DaemonId from_;               ///< Sender.
  Incarnation fromIncarnation_; ///< The sender's life.
  HybridTime sent_;             ///< For the causal order of the time line.
  PeerBody body_;
};

} // namespace camphorfield
