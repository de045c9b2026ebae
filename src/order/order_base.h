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
  Claiming,  ///< Its claim is not known to be stored.
  Running,   ///< Dispatched.
  Done,      ///< The outcome is known.
  NotRun,    ///< The last attempt did not run; a new request may.
  Unknown,   ///< It may have run, and never runs again.
  Abandoned, ///< Told "not run" while its claim was being stored.
  End        ///< Number of states.
};

/** What is kept of one key. */
struct OrderEntry
{
  EntryState state_ = EntryState::Claiming;
  ResultCode code_ = ResultCode::Ok; ///< Done, NotRun: the result.
  std::uint32_t attempt_ = 0;        ///< Rises with each claim.
  std::int64_t unixMs_ = 0;          ///< Time in the key.
  Fingerprint body_;                 ///< The order's content.
  SharedText answer_;                ///< Done: payload of the server.
};

/** Who waits for an outcome. */
struct OrderWaiter
{
  CallerRequestId request_;     ///< Local waiters.
  DaemonId from_;               ///< Forwarded: the sender; local: invalid.
  Incarnation fromIncarnation_; ///< Forwarded: its life.
  PeerCallId call_;             ///< Forwarded: its call.
  TimePoint deadline_ = kNever;
  bool mayRunElsewhere_ =
    false; ///< Forwards of it are open: never told "not run".
};

/** Order as it came in. */
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

/** Part of a key's state that lives only until its attempt ends. */
struct OrderAttempt
{
  IncomingOrder order_; ///< The request that began the attempt.
  OrderDispatchId dispatch_;
  std::vector<OrderWaiter> waiters_;
};

/** Keys of one range, or of all tokens. */
struct OrderTable
{
  std::map<KeyDigest, OrderEntry> entries_;
  std::map<KeyDigest, OrderAttempt>
    attempts_; ///< Claiming, Running, waited for.
};

/** State of a key range in this daemon. */
enum class RangeState : std::uint8_t
{
  Idle,    ///< Not owned.
  Loading, ///< The log is being read.
  Waiting, ///< A live owner is given time to hand it over.
  Held,    ///< Owned, as far as is known.
  End      ///< Number of states.
};

/** Write of a head object whose result is not known yet. */
struct HeadWrite
{
  bool active_ = false;
  bool reading_ = false;              ///< The head is read back.
  bool releases_ = false;             ///< It hands the range over.
  std::uint64_t expectedVersion_ = 0; ///< Zero: create.
  LogHead head_;                      ///< Head as it will be.
  std::vector<LogRecord> batch_;      ///< Records that it adds.
  std::size_t sealedRecords_ = 0;     ///< Records that it moves out.
};

/** Segment being written. */
struct SegmentWrite
{
  bool active_ = false;
  bool stored_ = false;     ///< Known to be stored; the head may name it.
  std::size_t records_ = 0; ///< Records of the head within.
  LogSegment segment_;
  std::string value_;
  PlatformCallId call_;
  TimePoint retryAt_ = kNever;
};

/** One key range. */
struct OrderRange
{
  RangeState state_ = RangeState::Idle;
  LogHead head_;              ///< Last version known, when held.
  std::uint64_t version_ = 0; ///< Its version in the store.
  HeadWrite write_;
  SegmentWrite segment_;
  std::uint32_t segments_ = 0;     ///< Segments written in this epoch.
  std::vector<LogRecord> pending_; ///< Records for the next append.
  std::vector<IncomingOrder>
    queuedOrders_; ///< Orders that can't be looked at yet.
  OrderTable table_;
  PlatformCallId call_;             ///< Call whose reply is awaited.
  TimePoint retryAt_ = kNever;      ///< When to go on after a failure.
  std::uint32_t failures_ = 0;      ///< In a row, for the back-off.
  TimePoint flushAt_ = kNever;      ///< Outcomes are due in the store.
  TimePoint appendAt_ = kNever;     ///< The write rate allows an append then.
  TimePoint graceUntil_ = kNever;   ///< End of the live owner's grace.
  TimePoint copyWaitUntil_{};       ///< Outcome copies may still come.
  TimePoint rebalanceAt_ = kNever;  ///< Acquire or hand over then.
  TimePoint releaseBy_ = kNever;    ///< Hand over though orders are running.
  bool releasing_ = false;          ///< No new claims.
  TimePoint pruneAt_ = kNever;      ///< Expired keys are due to be dropped.
  std::size_t headBytes_ = 0;       ///< Size of the head as last encoded.
  std::vector<LogSegment> garbage_; ///< Deleted after the next write.
};

/** Order handed to another daemon. */
struct OrderRelay
{
  IncomingOrder order_;
  DaemonId target_;                   ///< Daemon asked last.
  PeerCallId call_;                   ///< Call to it; invalid: none open.
  std::set<PeerCallId> earlierCalls_; ///< Calls to others without an answer.
  TimePoint retryAt_ = kNever;
  TimePoint giveUpAt_ = kNever; ///< Tokens: the issuer is not known.
  std::uint32_t refusals_ = 0;  ///< "Not the owner", in a row.
  std::uint32_t repeats_ = 0;
};

/** Forwarded call as the receiver remembers it. */
struct ReceivedCall
{
  bool answered_ = false;
  bool accepted_ = true;
  ResultCode code_ = ResultCode::Ok;
  std::uint32_t range_ = 0;
  KeyDigest key_;
};

/** Forwarded calls of one sender. */
struct ReceivedCalls
{
  Incarnation incarnation_;
  PeerCallId lastEvicted_; ///< Calls up to this one are no longer known.
  std::map<PeerCallId, ReceivedCall> calls_;
};

/** Outcome kept for another daemon. */
struct OutcomeCopy
{
  Fingerprint body_;
  ResultCode code_ = ResultCode::Ok;
  SharedText answer_;
  std::int64_t unixMicros_ = 0; ///< When it ended.
};

/** Place of a key's entry. */
struct EntryRef
{
  std::uint32_t table_ = 0; ///< Range, kTokenTable or kOrphanTable.
  KeyDigest key_;
  constexpr auto operator<=>(const EntryRef&) const = default;
};

constexpr std::uint32_t kTokenTable = 0xfffffffe; ///< Tokens and keyless.
constexpr std::uint32_t kOrphanTable =
  0xffffffff; ///< Running orders of ranges that were lost.

/** The order package of one daemon. */
struct OrderState
{
  OrderSettings settings_;
  std::string secret_; ///< Key of the tokens' keyed hash.
  std::shared_ptr<const std::vector<MemberRecord>> members_;
  std::shared_ptr<const PublishedConfig> config_;
  std::vector<OrderRange> ranges_;
  OrderTable tokens_;
  OrderTable orphans_;
  std::int64_t tokenFloorMs_ = 0; ///< Tokens below it are expired.
  std::map<OrderDispatchId, EntryRef> dispatches_;
  std::map<CallerRequestId, OrderRelay> relays_;
  std::map<PeerCallId, CallerRequestId> calls_;
  std::map<DaemonId, ReceivedCalls> receivedCalls_;
  std::map<KeyDigest, OutcomeCopy> copies_;
  std::deque<KeyDigest> copyOrder_; ///< Keys of copies_, oldest first.
  std::uint64_t nextCall_ = 0;      ///< For peer and platform calls.
  std::uint64_t nextDispatch_ = 0;  ///< Dispatches, keyless orders, batches.
  std::uint32_t firstRange_ = 0;    ///< Served first by the next Tick.
  double writeTokens_ = 0.0;        ///< Writes allowed now.
  TimePoint writeTokensAt_{};       ///< When that was computed.
  TimePoint deadlineAt_ = kNever;   ///< No waiter's deadline is before it.
  bool stopping_ = false;
  TimePoint stopBy_ = kNever; ///< Ranges not handed over then are given up.
  OrderStats stats_;
};

} // namespace camphorfield
