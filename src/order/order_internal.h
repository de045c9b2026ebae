/** Functions shared by the sources of the order package. */
#pragma once

#include "core/rng_type.h"
#include "machine/decision_type.h"
#include "order/order_base.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace camphorfield {

/** Context of the handling of one event. */
struct OrderStep
{
  OrderState& state_;
  const Now& now_;
  Rng& rng_;
  Decisions& out_;
};

// Keys (order_key.cpp).

/** Parse an idempotency key. */
ParsedKey
ParseKey(std::string_view aKey);

/** Digest of a key; the same key of two callers gives two digests. */
KeyDigest
DigestKey(std::string_view aCaller, std::string_view aKey);

/** Fingerprint of route and body, to detect a key reused for another order. */
Fingerprint
DigestContent(std::string_view aRoute, std::string_view aBody);

/** Key range of a digest. */
std::uint32_t
RangeOfKey(const KeyDigest& aKey, std::uint32_t aRanges);

// Tokens (order_token.cpp).

/** Create an order token bound to this incarnation. */
std::string
IssueToken(const OrderState& aState, const Now& aNow, Rng& aRng);

/** Whether the token's MAC shows that this incarnation issued it. */
bool
VerifyToken(const OrderState& aState, std::string_view aKey);

// Encoding of stored objects (order_store.cpp).

/** Encode a head object. */
std::string
EncodeHead(const LogHead& aHead);

/** Decode a head object; DataLoss if anything in it is invalid. */
absl::StatusOr<LogHead>
DecodeHead(std::string_view aText);

/** Encode a segment. */
std::string
EncodeSegment(const std::vector<LogRecord>& aRecords);

/** Decode a segment; DataLoss if anything in it is invalid. */
absl::StatusOr<std::vector<LogRecord>>
DecodeSegment(std::string_view aText);

/** Object key of a range's head. */
std::string
HeadKey(const OrderSettings& aSettings, std::uint32_t aRange);

/** Prefix of the object keys of a range. */
std::string
RangePrefix(const OrderSettings& aSettings, std::uint32_t aRange);

// Members (order_member.cpp).

/** Record of a member; null if unknown. */
const MemberRecord*
FindMember(const OrderState& aState, DaemonId aId);

/** Whether this incarnation of a daemon is alive or leaving, by the local view
 * of the members. */
bool
IsIncarnationAlive(const OrderState& aState,
                   DaemonId aId,
                   Incarnation aIncarnation);

/** Whether this incarnation of a daemon is known to have ended. */
bool
IsIncarnationEnded(const OrderState& aState,
                   DaemonId aId,
                   Incarnation aIncarnation);

/** Number of live daemons, this one included; at least one. */
std::size_t
CountLiveMembers(const OrderState& aState);

/** Daemon that should own a range by the local view of the members; may be this
 * daemon. */
DaemonId
PreferredOwner(const OrderState& aState, std::uint32_t aRange);

/** Daemons that keep copies of a range's outcomes: the next preferred owner,
 * and the most preferred one of another failure domain. */
std::vector<DaemonId>
CopyHolders(const OrderState& aState, std::uint32_t aRange);

/** Send a message to a daemon. */
void
SendToPeer(OrderStep& aStep, DaemonId aTo, PeerBody aBody, PeerCallId aCall);

// Answers (order_answer.cpp).

/** Whether the code states that this request did not run and never will. */
bool
MeansNotRun(ResultCode aCode);

/** Code for a refused request whose key may have run by an earlier request. */
ResultCode
RefusalCode(const OrderStep& aStep, ResultCode aCode);

/** Answer a waiter. */
void
AnswerWaiter(OrderStep& aStep,
             const OrderWaiter& aWaiter,
             std::string_view aKey,
             ResultCode aCode,
             const SharedText& aBody,
             bool aReplayed);

/** Answer a forward as not accepted by this daemon. */
void
DeclineForward(OrderStep& aStep, const OrderWaiter& aWaiter);

/** Make sure that a Tick comes no later than a deadline. */
void
ScheduleDeadline(OrderState& aState, TimePoint aDeadline);

/** Add an event of an order to the timeline. */
void
RecordOrderEvent(OrderStep& aStep,
                 TimelineKind aKind,
                 const IncomingOrder& aOrder,
                 std::string_view aText);

// One key (order_entry.cpp).

/** Table of a range, kTokenTable or kOrphanTable. */
OrderTable&
TableOf(OrderState& aState, std::uint32_t aTable);

/** Handle an order whose key's history is known to this daemon. */
void
AdmitOrder(OrderStep& aStep, const EntryRef& aRef, const IncomingOrder& aOrder);

/** Dispatch an order, unless its deadline has passed. */
void
StartDispatch(OrderStep& aStep, const EntryRef& aRef);

/** End an attempt and answer all its waiters. */
void
FinishAttempt(OrderStep& aStep,
              const EntryRef& aRef,
              EntryState aEnd,
              ResultCode aCode,
              const SharedText& aBody);

/** Handle the end of a dispatch. */
void
FinishDispatch(OrderStep& aStep,
               const EntryRef& aRef,
               const OrderDispatched& aEvent);

/** Run an order without a key, in a single attempt. */
void
RunKeyless(OrderStep& aStep, const IncomingOrder& aOrder);

/** Answer waiters of one key whose deadline has passed. */
void
ExpireWaiters(OrderStep& aStep, const EntryRef& aRef);

/** Handle an outcome copy: settle the open claim of its key, or store it. */
void
OnOutcomeCopy(OrderStep& aStep, const OrderOutcomeCopy& aCopy);

/** Send copies of an outcome to the likely next owners of its range. */
void
SendOutcomeCopies(OrderStep& aStep,
                  const IncomingOrder& aOrder,
                  ResultCode aCode,
                  const SharedText& aBody);

// Key ranges (order_range.cpp).

/** Admit an order to its range; queue it and acquire the range if needed. */
void
SubmitToRange(OrderStep& aStep, const IncomingOrder& aOrder);

/** Admit an order to a range that is held. */
void
AdmitToHeldRange(OrderStep& aStep, const IncomingOrder& aOrder);

/** Admit the orders queued for a range. */
void
AdmitQueuedOrders(OrderStep& aStep, std::uint32_t aRange);

/** Drop a range whose release is stored. */
void
EndRelease(OrderStep& aStep, std::uint32_t aRange);

/** Begin a takeover of a range by reading its log. */
void
AcquireRange(OrderStep& aStep, std::uint32_t aRange);

/** Handle the log read for a takeover. */
void
OnRangeLoadReply(OrderStep& aStep,
                 std::uint32_t aRange,
                 const PlatformReply& aReply);

/** Begin to serve a range once the takeover is stored. */
void
BecomeOwner(OrderStep& aStep, std::uint32_t aRange);

/** Drop a range without a release. */
void
LoseRange(OrderStep& aStep, std::uint32_t aRange, const char* aReason);

/** Stop accepting orders for a range and release it. */
void
BeginRelease(OrderStep& aStep, std::uint32_t aRange);

/** Schedule acquires and releases after a membership change. */
void
PlanRanges(OrderStep& aStep);

/** Run the timers of a range that are due. */
void
TickRange(OrderStep& aStep, std::uint32_t aRange);

/** Schedule a retry with exponential back-off. */
void
BackOff(OrderStep& aStep, std::uint32_t aRange);

/** Shorten a delay by up to half at random, so that daemons don't act at the
 * same time. */
Duration
Jittered(OrderStep& aStep, Duration aDelay);

// Appends to the claim log (order_append.cpp).

/** Begin an append if one is due and the write rate allows it. */
void
MaybeAppend(OrderStep& aStep, std::uint32_t aRange);

/** Write the head with a new epoch and this daemon as the owner. */
void
WriteTakeover(OrderStep& aStep, std::uint32_t aRange);

/** Write the head as released. */
void
WriteRelease(OrderStep& aStep, std::uint32_t aRange);

/** Send or resend the current head write, or its read-back. */
void
SendHeadWrite(OrderStep& aStep, std::uint32_t aRange);

/** Handle the reply to a head write or its read-back. */
void
OnHeadReply(OrderStep& aStep,
            std::uint32_t aRange,
            const PlatformReply& aReply);

// Segments of the claim log (order_segment.cpp).

/** The floor rises in steps of the window divided by this. */
constexpr Duration::rep kPruneSteps = 16;

/** Drop keys and segments below the stored floor. */
void
PruneRange(OrderStep& aStep, std::uint32_t aRange);

/** Delete segments that the stored head no longer names. */
void
DeleteGarbage(OrderStep& aStep,
              std::uint32_t aRange,
              const std::vector<LogSegment>& aGarbage);

/** Move the records of a large head into a segment. */
void
MaybeSeal(OrderStep& aStep, std::uint32_t aRange);

/** Handle the reply to a segment write. */
void
OnSegmentReply(OrderStep& aStep,
               std::uint32_t aRange,
               const PlatformReply& aReply);

/** Send or resend the current segment write. */
void
SendSegment(OrderStep& aStep, std::uint32_t aRange);

/** Add an outcome to the records of the next append. */
void
QueueOutcome(OrderStep& aStep,
             std::uint32_t aRange,
             const KeyDigest& aKey,
             const OrderEntry& aEntry);

/** New id for a platform call; counts the call. */
PlatformCallId
IssuePlatformCall(OrderStep& aStep, PlatformOp aOp);

// Choice of the daemon that may run an order (order_route.cpp).

/** Forward an order to the daemon that should run it, or admit it here. */
void
RouteOrder(OrderStep& aStep, const IncomingOrder& aOrder);

/** Whether the token names this incarnation as its issuer; doesn't check the
 * MAC. */
bool
IsIssuer(const OrderState& aState, const ParsedKey& aKey);

/** Verify a token issued by this daemon and admit its order. */
void
AdmitTokenOrder(OrderStep& aStep, const IncomingOrder& aOrder);

/** Answer a token's order from an outcome copy, since its issuer is gone. */
void
AnswerWithoutIssuer(OrderStep& aStep, const IncomingOrder& aOrder);

/** Daemon to look for the outcome copy of a dead issuer; may be this daemon. */
DaemonId
CopyLookupTarget(const OrderState& aState, const IncomingOrder& aOrder);

/** Refuse an expired key, or one too far in the future by the local clock.
 * @return Whether the order was refused. */
bool
RefuseOutsideWindow(OrderStep& aStep, const IncomingOrder& aOrder);

// Forwards to other daemons (order_forward.cpp).

/** Forward an order; with an invalid target, wait for a token's issuer to
 * become known. */
void
BeginRelay(OrderStep& aStep, const IncomingOrder& aOrder, DaemonId aTarget);

// Forwards from other daemons (order_receive.cpp).

/** Handle an order forwarded by another daemon. */
void
OnForward(OrderStep& aStep,
          const PeerMessage& aFrom,
          const OrderForward& aForward);

/** Handle the answer to an order that this daemon forwarded. */
void
OnForwardAnswer(OrderStep& aStep, const OrderForwarded& aAnswer);

/** Handle a forward that may not have been delivered. */
void
OnForwardUnreachable(OrderStep& aStep, const PeerUnreachable& aEvent);

/** Resend forwards that are due, end those past their deadline. */
void
TickRelays(OrderStep& aStep);

/** Build an order; parses the key and computes the digests. */
IncomingOrder
MakeIncomingOrder(const OrderState& aState,
                  std::string_view aCaller,
                  std::string_view aRoute,
                  std::string_view aKey,
                  const SharedText& aBody,
                  const OrderWaiter& aWaiter);

} // namespace camphorfield
