/**
 * Messages between daemons, in Thrift's compact protocol. A frame is a length
 * of four bytes, most significant first, and one PeerFrame.
 *
 * Fields are optional so that zero and empty values take no bytes. Numbers of
 * fields are never reused. Generated code:
 *   thrift --gen cpp:no_skeleton -out src/peer/gen proto/peer.thrift
 */
namespace cpp camphorfield.wire

/** One daemon; a record without a name updates a known member. */
struct Member {
  1: optional i64 id          // absent: the hash of name
  2: optional string name
  3: optional i64 incarnation
  4: optional i64 heartbeat
  5: optional i16 state
  6: optional string peerAddress
  7: optional string callerAddress
  8: optional string operatorAddress
  9: optional string failureDomain
  10: optional bool ready
  11: optional i64 generation
  12: optional i32 load       // per mille
  13: optional i32 capacity   // per mille of a core
  14: optional bool readsStore // its tables come from the store and are fresh
}

struct LeavingRumor {
  1: optional string server
  2: optional bool leaving
  3: optional i64 unixMicros
  4: optional bool listed
}

struct QuarantineRumor {
  1: optional i64 fingerprint
  2: optional i32 crashes
  3: optional i64 untilUnixMicros
  4: optional i32 epoch
  5: optional list<i64> servers
  6: optional list<i64> requests
  7: optional list<i64> moments
  8: optional i64 firstCrashedBy
  9: optional i64 lastAliveAt
}

/** Exactly one field is set. */
struct Rumor {
  1: optional LeavingRumor leaving
  2: optional QuarantineRumor quarantine
}

/** Who has a generation in force. */
struct AdoptedSet {
  1: optional i64 generation
  2: optional i64 rosterHash
  3: optional binary members
}

/** Content of GossipPing and of GossipAck. */
struct Gossip {
  1: optional i64 sequence
  2: optional list<Member> members
  3: optional list<Rumor> rumors
  4: optional i64 viewHash
  5: optional bool sync
  6: optional i64 syncAfter   // ping
  7: optional i64 syncNext    // ack
  8: optional AdoptedSet adopted
}

struct GossipProbe {
  1: optional i64 sequence
  2: optional Member target
}

struct GenerationAsk {
  1: optional i64 call
  2: optional i64 generation
  3: optional i64 base
}

struct GenerationContent {
  1: optional i64 call
  2: optional i64 generation
  3: optional string changeId
  4: optional binary digest
  5: optional binary content
}

struct OrderForward {
  1: optional i64 call
  2: optional string caller
  3: optional string route
  4: optional string key
  5: optional binary body
  6: optional i64 remainingMicros
  7: optional i64 generation
}

struct OrderForwarded {
  1: optional i64 call
  2: optional i16 code
  3: optional bool accepted
  4: optional bool replayed
  5: optional binary body
}

struct OrderOutcomeCopy {
  1: optional string caller
  2: optional string key
  3: optional i64 fingerprint
  4: optional i16 code
  5: optional binary answer
  6: optional i64 unixMicros
}

struct RelayedSub {
  1: optional i64 id
  2: optional i64 connection
  3: optional i16 kind
  4: optional string serviceName
  5: optional string shard
  6: optional i64 version
  7: optional string key
  8: optional i64 cancels
  9: optional binary body
  10: optional string server
  11: optional i64 remainingMicros
  12: optional i64 fingerprint
}

struct RelayBatch {
  1: optional i64 call
  2: optional list<RelayedSub> subs
}

struct RelayedAnswer {
  1: optional i64 id
  2: optional i64 connection
  3: optional i16 status
  4: optional i64 statedId
  5: optional string statedShard
  6: optional i64 statedVersion
  7: optional bool draining
  8: optional bool closing
  9: optional double load
  10: optional list<i64> versions
  11: optional binary body
}

struct RelayAnswers {
  1: optional i64 call
  2: optional list<RelayedAnswer> answers
}

/** About the rate of an organisation. */
struct RateCap {
  1: optional i16 kind
  2: optional i64 organisation
  3: optional i32 tokens
  4: optional i32 refused
  5: optional bool owner
  6: optional i64 hint
  7: optional i64 nextTokenMicros
  8: optional i64 retryAfterMicros
}

/** Exactly one of the fields from 10 on is set. */
struct PeerFrame {
  1: optional i16 protocolVersion
  2: optional i64 sender
  3: optional i64 senderIncarnation
  4: optional i64 sentUnixMicros
  5: optional i32 sentLogical
  10: optional Gossip ping
  11: optional Gossip ack
  12: optional GossipProbe probe
  13: optional GenerationAsk generationAsk
  14: optional GenerationContent generationContent
  15: optional OrderForward orderForward
  16: optional OrderForwarded orderForwarded
  17: optional OrderOutcomeCopy orderOutcomeCopy
  18: optional RelayBatch relayBatch
  19: optional RelayAnswers relayAnswers
  20: optional RateCap rateCap
}
