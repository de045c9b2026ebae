/** Messages between daemons; src/peer encodes them with Thrift. */
#pragma once

#include "core/crash_evidence.h"
#include "core/id_type.h"
#include "core/result_type.h"
#include "core/time_type.h"
#include "machine/caller_type.h"
#include "machine/cap_type.h"
#include "machine/server_type.h"
#include "machine/timeline_type.h"

#include <string>
#include <variant>
#include <vector>

namespace camphorfield {

/**
 * State of a member in gossip. Of two records with the same incarnation and
 * heartbeat the one with the later enumerator overrides.
 */
enum class MemberState : std::uint8_t
{
  Alive,   ///< Heartbeats arrive.
  Suspect, ///< Heartbeats are missing; the member may refute this.
  Leaving, ///< Shutting down; will soon accept no new callers.
  Dead,    ///< Ended; kept for a while so that old gossip can't revive it.
  End      ///< Number of states.
};

/** Membership data of one daemon. */
struct MemberRecord
{
  DaemonId id_;                 ///< Hash of name_.
  std::string name_;            ///< Name from the settings.
  Incarnation incarnation_;     ///< Start time; larger after each restart.
  std::uint64_t heartbeat_ = 0; ///< Version of the record within one
                                ///< incarnation; only its daemon raises it.
  MemberState state_ = MemberState::Alive;
  std::string peerAddress_;     ///< "IP:port" for daemons.
  std::string callerAddress_;   ///< "IP:port" for callers.
  std::string operatorAddress_; ///< "IP:port" for operators.
  std::string failureDomain_;   ///< Where it runs.
  bool ready_ = false;          ///< Has a confirmed configuration.
  Generation generation_;       ///< Configuration in force.
  std::uint32_t load_ = 0;      ///< Used share of the capacity, per mille.
  std::uint32_t capacity_ = 0;  ///< Per mille of a core; zero: unknown.
  /** Its tables come from the store itself and are up to date. */
  bool readsStore_ = false;
};

/** A backend server is leaving, or no longer is. */
struct LeavingRumor
{
  std::string server_;          ///< Name of the server.
  bool leaving_ = true;         ///< False withdraws an earlier rumor.
  std::int64_t unixMicros_ = 0; ///< The rumor with the later time overrides.
  bool listed_ = false;         ///< Taken from the platform's VM list.
};

/** A request's content crashed a backend server. */
struct QuarantineRumor
{
  Fingerprint fingerprint_;
  /** Number of distinct servers that crashed; not used by gateways. */
  std::uint32_t crashes_ = 0;
  std::int64_t untilUnixMicros_ = 0; ///< Expiry.
  CrashEvidence evidence_;           ///< Of gateways.
};

using Rumor = std::variant<LeavingRumor, QuarantineRumor>;

/**
 * Bitmap of the members that have a generation in force: one bit for each
 * member that is not dead, in order of id. Valid only for a receiver with the
 * same members, that is the same rosterHash_.
 */
struct AdoptedSet
{
  Generation generation_;        ///< Zero: no bitmap is given.
  std::uint64_t rosterHash_ = 0; ///< Hash of the members and incarnations.
  std::string members_;          ///< Bitmap, lowest bit of a byte first.
};

/**
 * Heartbeat with member records and rumors; answered by GossipAck. A record
 * without a name updates a member that the receiver knows; one without an
 * incarnation requests the full record.
 */
struct GossipPing
{
  std::uint64_t sequence_ = 0; ///< Copied to GossipAck; zero: no answer is
                               ///< expected.
  std::vector<MemberRecord> members_; ///< Sender first, then changed records.
  std::vector<Rumor> rumors_;
  std::uint64_t viewHash_ = 0; ///< Hash of the sender's member table.
  bool sync_ = false;          ///< Answer with a page of full records by id.
  DaemonId syncAfter_;         ///< The page starts after this id.
  AdoptedSet adopted_;
};

/** Sorts after the id of every member. */
constexpr DaemonId kSyncEnd{ UINT64_MAX };

/** Answer to GossipPing. */
struct GossipAck
{
  std::uint64_t sequence_ = 0;
  std::vector<MemberRecord> members_; ///< Sender first, then changed records.
  std::vector<Rumor> rumors_;
  std::uint64_t viewHash_ = 0; ///< Hash of the sender's member table.
  DaemonId syncNext_;          ///< Id of the page's last record; zero: no page;
                               ///< kSyncEnd: this is the last page.
  AdoptedSet adopted_;
};

/** Request to ping a third daemon, which did not answer the sender. */
struct GossipProbe
{
  std::uint64_t sequence_ = 0;
  MemberRecord target_;
};

/** Request for the content of a generation; wire::GenerationAsk on the wire. */
struct GenerationRequest
{
  PeerCallId call_;
  Generation generation_; ///< Zero: the newest of the peer.
  Generation base_; ///< Generation that the requester has; zero: none. The
                    ///< peer omits what has not changed since.
};

/**
 * Content of a generation. Without call and content it announces that the
 * sender has this generation; the receiver may then request it.
 */
struct GenerationContent
{
  PeerCallId call_;
  Generation generation_; ///< Zero: the peer has none.
  std::string changeId_;
  std::string digest_;  ///< Digest of content_.
  std::string content_; ///< Encoded by publish; opaque to others.
};

/** Forwards an order to the daemon that owns its key. */
struct OrderForward
{
  PeerCallId call_;
  std::string caller_;
  std::string route_;
  std::string key_;
  SharedText body_;
  Duration remaining_{};  ///< Time until the deadline.
  Generation generation_; ///< Configuration of the sender.
};

/** Answer to OrderForward. */
struct OrderForwarded
{
  PeerCallId call_;
  ResultCode code_ = ResultCode::Ok;
  bool accepted_ = true; ///< False: not the owner, did not run it.
  bool replayed_ = false;
  SharedText body_;
};

/** Copy of an order's outcome, to answer resends after the owner has ended. */
struct OrderOutcomeCopy
{
  std::string caller_;
  std::string key_;
  Fingerprint body_; ///< Fingerprint of the order's content.
  ResultCode code_ = ResultCode::Ok;
  SharedText answer_;
  std::int64_t unixMicros_ = 0; ///< When the order ended.
};

/** Sub-request relayed through a home daemon of its server. */
struct RelayedSub
{
  SubRequest request_;      ///< remaining_ replaces its deadline.
  std::string server_;      ///< Chosen server; empty: the home daemon chooses.
  Duration remaining_{};    ///< Time until the deadline.
  Fingerprint fingerprint_; ///< Of the request's content.
};

/** Batch of sub-requests to a home daemon. */
struct RelayBatch
{
  PeerCallId call_;
  std::vector<RelayedSub> subs_;
};

/** Answers to some sub-requests of a batch; several may follow one batch. */
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
                              RelayAnswers,
                              CapMessage>;

/** Message from one daemon to another. */
struct PeerMessage
{
  DaemonId from_;               ///< Sender.
  Incarnation fromIncarnation_; ///< Incarnation of the sender.
  HybridTime sent_;             ///< Orders the time line's events causally.
  PeerBody body_;
};

} // namespace camphorfield
