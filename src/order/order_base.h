/** State of the order package. */
#pragma once

#include "machine/event_type.h"
#include "order/order_type.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

/** State of one key. */
enum class EntryState : std::uint8_t
{
  Claiming,  ///< Claim not confirmed by the store yet.
  Running,   ///< Dispatched to a server.
  Done,      ///< Outcome known.
  NotRun,    ///< The last attempt did not run; a new one may.
  Unknown,   ///< May have run; is never run again.
  Abandoned, ///< All waiters expired while the claim was being written.
  End        ///< Number of states.
};

/** State and outcome of one key. */
struct OrderEntry
{
  EntryState state_ = EntryState::Claiming;
  ResultCode code_ = ResultCode::Ok; ///< Result, if Done or NotRun.
  std::uint32_t attempt_ = 0;        ///< Incremented by each attempt.
  std::int64_t unixMs_ = 0;          ///< Time in the key.
  Fingerprint body_;                 ///< Fingerprint of the content.
  SharedText answer_;                ///< Answer of the server, if Done.
};

/** Caller or daemon that waits for an outcome. */
struct OrderWaiter
{
  CallerRequestId request_;     ///< Request of a local caller.
  DaemonId from_;               ///< Sending daemon; invalid for local callers.
  Incarnation fromIncarnation_; ///< Incarnation of the sender.
  PeerCallId call_;             ///< Call of the sender.
  TimePoint deadline_ = kNever;
  bool mayRunElsewhere_ = false; ///< Never answered "not run".
};

/** Order as received, with its parsed key. */
struct IncomingOrder
{
  OrderWaiter waiter_;
  std::string caller_;
  std::string route_;
  std::string key_;
  SharedText body_;
  ParsedKey parsed_;
  KeyDigest digest_;
  Fingerprint content_;
  std::uint32_t range_ = 0;
};

/** Unfinished attempt of a key, or requests that wait for a copy of its
 * outcome. */
struct OrderAttempt
{
  IncomingOrder order_; ///< Request that started the attempt.
  OrderDispatchId dispatch_;
  std::vector<OrderWaiter> waiters_;
};

/** Keys of one range, of all tokens, or of orphaned orders. */
struct OrderTable
{
  std::map<KeyDigest, OrderEntry> entries_;
  std::map<KeyDigest, OrderAttempt> attempts_; ///< Unfinished attempts.
};

/** State of a key range in this daemon. */
enum class RangeState : std::uint8_t
{
  Idle,    ///< Not owned.
  Loading, ///< Reading the log, then writing the takeover.
  Waiting, ///< Retrying later: owner in its grace time, or a failure.
  Held,    ///< Owned, unless another daemon has taken over.
  End      ///< Number of states.
};

/** Write of a head object whose result is not known yet. */
struct HeadWrite
{
  bool active_ = false;
  bool reading_ = false;  ///< Reading the head back after a conflict.
  bool releases_ = false; ///< The write releases the range.
  std::uint64_t expectedVersion_ = 0; ///< Version to replace; zero creates.
  LogHead head_;                      ///< New content.
  std::vector<LogRecord> batch_;      ///< Records added.
  std::size_t sealedRecords_ = 0;     ///< Records moved to a segment.
};

/** Write of a segment. */
struct SegmentWrite
{
  bool active_ = false;
  bool stored_ = false;     ///< Confirmed; the next head may refer to it.
  std::size_t records_ = 0; ///< Number of head records it contains.
  LogSegment segment_;
  std::string value_;
  PlatformCallId call_;
  TimePoint retryAt_ = kNever;
};

/** Key range, as seen by this daemon. */
struct OrderRange
{
  RangeState state_ = RangeState::Idle;
  LogHead head_;              ///< Last confirmed head, if held.
  std::uint64_t version_ = 0; ///< Object version of head_.
  HeadWrite write_;
  SegmentWrite segment_;
  std::uint32_t segments_ = 0;              ///< Segments written in this epoch.
  std::vector<LogRecord> pending_;          ///< Records for the next append.
  std::vector<IncomingOrder> queuedOrders_; ///< Wait for the range.
  OrderTable table_;
  PlatformCallId call_; ///< Open call that loads the log or writes the head.
  TimePoint retryAt_ = kNever;      ///< Time of the next try.
  std::uint32_t failures_ = 0;      ///< Consecutive failures.
  TimePoint flushAt_ = kNever;      ///< Append pending outcomes then.
  TimePoint appendAt_ = kNever;     ///< Write rate allows an append then.
  TimePoint graceUntil_ = kNever;   ///< End of a live owner's grace time.
  TimePoint copyWaitUntil_{};       ///< End of the wait for outcome copies.
  TimePoint rebalanceAt_ = kNever;  ///< Acquire or release then.
  TimePoint releaseBy_ = kNever;    ///< Release despite running orders.
  bool releasing_ = false;          ///< Accepts no new orders.
  TimePoint pruneAt_ = kNever;      ///< Drop expired keys then.
  std::size_t headBytes_ = 0;       ///< Size of the last encoded head.
  std::vector<LogSegment> garbage_; ///< Expired; deleted after the next write.
};

/** Order forwarded to another daemon; kept until it is answered. */
struct OrderRelay
{
  IncomingOrder order_;
  DaemonId target_;                   ///< Target of the last forward.
  PeerCallId call_;                   ///< Open call to target_, if any.
  std::set<PeerCallId> earlierCalls_; ///< Unanswered calls to previous targets.
  TimePoint retryAt_ = kNever;
  TimePoint giveUpAt_ = kNever; ///< End of the wait for an unknown issuer.
  std::uint32_t refusals_ = 0;  ///< Forwards that were declined.
  std::uint32_t repeats_ = 0;   ///< Sends of call_.
};

/** Received forward, kept to detect repeats. */
struct ReceivedCall
{
  bool answered_ = false;
  bool accepted_ = true;
  ResultCode code_ = ResultCode::Ok;
  std::uint32_t range_ = 0; ///< Table of the key; see EntryRef.
  KeyDigest key_;
};

/** Received forwards of one sender's current incarnation. */
struct ReceivedCalls
{
  Incarnation incarnation_;
  PeerCallId lastEvicted_; ///< Calls up to this one were dropped.
  std::map<PeerCallId, ReceivedCall> calls_;
};

/** Outcome of an order that another daemon ran. */
struct OutcomeCopy
{
  Fingerprint body_;
  ResultCode code_ = ResultCode::Ok;
  SharedText answer_;
  std::int64_t unixMicros_ = 0; ///< Time of the outcome.
};

/** Reference to a key's entry. */
struct EntryRef
{
  std::uint32_t table_ = 0; ///< Range, kTokenTable or kOrphanTable.
  KeyDigest key_;
  constexpr auto operator<=>(const EntryRef&) const = default;
};

/** Table of tokens and keyless orders. */
constexpr std::uint32_t kTokenTable = 0xfffffffe;
/** Table of running orders of ranges that were lost. */
constexpr std::uint32_t kOrphanTable = 0xffffffff;

/** State of the order package of one daemon. */
struct OrderState
{
  OrderSettings settings_;
  std::string secret_; ///< HMAC key of the tokens.
  std::shared_ptr<const std::vector<MemberRecord>> members_;
  std::shared_ptr<const PublishedConfig> config_;
  std::vector<OrderRange> ranges_;
  OrderTable tokens_;
  OrderTable orphans_;
  std::int64_t tokenFloorMs_ = 0; ///< Tokens with an earlier time are expired.
  std::map<OrderDispatchId, EntryRef> dispatches_;
  std::map<CallerRequestId, OrderRelay> relays_;
  std::map<PeerCallId, CallerRequestId> calls_;
  std::map<DaemonId, ReceivedCalls> receivedCalls_;
  std::map<KeyDigest, OutcomeCopy> copies_;
  std::deque<KeyDigest> copyOrder_; ///< Keys of copies_, oldest first.
  std::uint64_t nextCall_ = 0;      ///< For peer and platform calls.
  std::uint64_t nextDispatch_ = 0;  ///< Dispatches, keyless orders, batches.
  std::uint32_t firstRange_ = 0;    ///< Range that the last Tick began with.
  double writeTokens_ = 0.0;  ///< Fill of the token bucket for store writes.
  TimePoint writeTokensAt_{}; ///< Last refill of the bucket.
  TimePoint deadlineAt_ = kNever; ///< Lower bound of all waiters' deadlines.
  bool stopping_ = false;
  TimePoint stopBy_ = kNever; ///< Ranges not released by then are dropped.
  OrderStats stats_;
};

} // namespace camphorfield
