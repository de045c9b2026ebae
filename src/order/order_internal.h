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

/** What one step of the state machine works on. */
struct OrderStep
{
  OrderState& state_;
  const Now& now_;
  Rng& rng_;
  Decisions& out_;
};

// Keys (order_key.cpp).

/** Take an idempotency key apart. */
ParsedKey
ParseKey(std::string_view aKey);

/** Digest under which a caller's key is kept; callers don't share keys. */
KeyDigest
DigestKey(std::string_view aCaller, std::string_view aKey);

/** Fingerprint of what an order asks for. */
Fingerprint
DigestContent(std::string_view aRoute, std::string_view aBody);

/** Range of a key. */
std::uint32_t
RangeOfKey(const KeyDigest& aKey, std::uint32_t aRanges);

// Tokens (order_token.cpp).

/** Issue one token. */
std::string
IssueToken(const OrderState& aState, const Now& aNow, Rng& aRng);

/** Whether this incarnation issued the token. */
bool
VerifyToken(const OrderState& aState, std::string_view aKey);

// Stored form (order_store.cpp).

/** Encode a head object. */
std::string
EncodeHead(const LogHead& aHead);

/** Decode a head object strictly. */
absl::StatusOr<LogHead>
DecodeHead(std::string_view aText);

/** Encode a segment. */
std::string
EncodeSegment(const std::vector<LogRecord>& aRecords);

/** Decode a segment strictly. */
absl::StatusOr<std::vector<LogRecord>>
DecodeSegment(std::string_view aText);

/** Key of a range's head object in the store. */
std::string
HeadKey(const OrderSettings& aSettings, std::uint32_t aRange);

/** Start of the keys of all objects of a range. */
std::string
RangePrefix(const OrderSettings& aSettings, std::uint32_t aRange);

// Members (order_member.cpp).

/** Record of a member; null when it isn't known. */
const MemberRecord*
FindMember(const OrderState& aState, DaemonId aId);

/** Whether that life of a daemon is thought to go on. */
bool
IsIncarnationAlive(const OrderState& aState,
                   DaemonId aId,
                   Incarnation aIncarnation);

/** Whether that life of a daemon is known to be over. */
bool
IsIncarnationEnded(const OrderState& aState,
                   DaemonId aId,
                   Incarnation aIncarnation);

/** Number of live daemons, this one included; at least one. */
std::size_t
CountLiveMembers(const OrderState& aState);

/** Daemon that should own a range by this daemon's view; maybe itself. */
DaemonId
PreferredOwner(const OrderState& aState, std::uint32_t aRange);

/** Daemons that keep copies of a range's outcomes: the next to own it, and
 * the best one of another failure domain. */
std::vector<DaemonId>
CopyHolders(const OrderState& aState, std::uint32_t aRange);

/** Send a message to a daemon. */
void
SendToPeer(OrderStep& aStep, DaemonId aTo, PeerBody aBody, PeerCallId aCall);

// Answers (order_answer.cpp).

/** Whether the code says that this request did not run and never will. */
bool
MeansNotRun(ResultCode aCode);

/** Code for a request that was dropped with no proof about its key. */
ResultCode
RefusalCode(const OrderStep& aStep, ResultCode aCode);

/** Tell a waiter what became of its order. */
void
AnswerWaiter(OrderStep& aStep,
             const OrderWaiter& aWaiter,
             std::string_view aKey,
             ResultCode aCode,
             const SharedText& aBody,
             bool aReplayed);

/** Tell the sender of a forward that this daemon doesn't take it. */
void
DeclineForward(OrderStep& aStep, const OrderWaiter& aWaiter);

/** Note a deadline for NextWake. */
void
ScheduleDeadline(OrderState& aState, TimePoint aDeadline);

/** Record an event of the time line. */
void
RecordOrderEvent(OrderStep& aStep,
                 TimelineKind aKind,
                 const IncomingOrder& aOrder,
                 std::string_view aText);

// One key (order_entry.cpp).

/** Table named by a reference. */
OrderTable&
TableOf(OrderState& aState, std::uint32_t aTable);

/** Take up an order for a key whose history is known here. */
void
AdmitOrder(OrderStep& aStep, const EntryRef& aRef, const IncomingOrder& aOrder);

/** Dispatch a claimed order, unless its deadline has passed. */
void
StartDispatch(OrderStep& aStep, const EntryRef& aRef);

/** End an attempt and tell everyone who waits. */
void
FinishAttempt(OrderStep& aStep,
              const EntryRef& aRef,
              EntryState aEnd,
              ResultCode aCode,
              const SharedText& aBody);

/** Take up the end of a dispatch. */
void
FinishDispatch(OrderStep& aStep,
               const EntryRef& aRef,
               const OrderDispatched& aEvent);

/** Run an order without a key: one attempt. */
void
RunKeyless(OrderStep& aStep, const IncomingOrder& aOrder);

/** Tell waiters of one key whose deadline has passed. */
void
ExpireWaiters(OrderStep& aStep, const EntryRef& aRef);

/** Keep a copy of an outcome, or settle the claim it belongs to. */
void
OnOutcomeCopy(OrderStep& aStep, const OrderOutcomeCopy& aCopy);

/** Send copies of an outcome to the daemons that would be asked next. */
void
SendOutcomeCopies(OrderStep& aStep,
                  const IncomingOrder& aOrder,
                  ResultCode aCode,
                  const SharedText& aBody);

// Key ranges (order_range.cpp).

/** Hand an order to the owner's side of this daemon. */
void
SubmitToRange(OrderStep& aStep, const IncomingOrder& aOrder);

/** Take up an order in a range that is owned. */
void
AdmitToHeldRange(OrderStep& aStep, const IncomingOrder& aOrder);

/** Take up the orders that waited for a range. */
void
AdmitQueuedOrders(OrderStep& aStep, std::uint32_t aRange);

/** Forget a range that was handed over. */
void
EndRelease(OrderStep& aStep, std::uint32_t aRange);

/** Begin to become the owner of a range. */
void
AcquireRange(OrderStep& aStep, std::uint32_t aRange);

/** Take up the log read for a takeover. */
void
OnRangeLoadReply(OrderStep& aStep,
                 std::uint32_t aRange,
                 const PlatformReply& aReply);

/** The range is owned from now on. */
void
BecomeOwner(OrderStep& aStep, std::uint32_t aRange);

/** Another daemon owns the range. */
void
LoseRange(OrderStep& aStep, std::uint32_t aRange, const char* aReason);

/** Stop claiming in a range so that it can be handed over. */
void
BeginRelease(OrderStep& aStep, std::uint32_t aRange);

/** Compare the ranges held with the members, and plan what to change. */
void
PlanRanges(OrderStep& aStep);

/** Do what is due for a range. */
void
TickRange(OrderStep& aStep, std::uint32_t aRange);

/** Go on after a failure, later each time. */
void
BackOff(OrderStep& aStep, std::uint32_t aRange);

/** A delay shortened by up to half, so that daemons don't act in step. */
Duration
Jittered(OrderStep& aStep, Duration aDelay);

// Appends to the claim log (order_append.cpp).

/** Begin an append when there is something to store and the rate allows. */
void
MaybeAppend(OrderStep& aStep, std::uint32_t aRange);

/** Write the head with a new epoch and this daemon as the owner. */
void
WriteTakeover(OrderStep& aStep, std::uint32_t aRange);

/** Write the head as handed over. */
void
WriteRelease(OrderStep& aStep, std::uint32_t aRange);

/** Send the head write that is under way, again too. */
void
SendHeadWrite(OrderStep& aStep, std::uint32_t aRange);

/** Reply to a head write, or to reading it back. */
void
OnHeadReply(OrderStep& aStep,
            std::uint32_t aRange,
            const PlatformReply& aReply);

// Segments of the claim log (order_segment.cpp).

constexpr Duration::rep kPruneSteps = 16; ///< The floor rises by these parts
                                          ///< of the window.

/** Drop what is below the floor, now that the floor is stored. */
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

/** Reply to the write of a segment. */
void
OnSegmentReply(OrderStep& aStep,
               std::uint32_t aRange,
               const PlatformReply& aReply);

/** Send the segment being written, again too. */
void
SendSegment(OrderStep& aStep, std::uint32_t aRange);

/** Put the record of an outcome into the next append. */
void
QueueOutcome(OrderStep& aStep,
             std::uint32_t aRange,
             const KeyDigest& aKey,
             const OrderEntry& aEntry);

/** New id of a platform call; counts it. */
PlatformCallId
IssuePlatformCall(OrderStep& aStep, PlatformOp aOp);

// Routes to the daemon that may run an order (order_route.cpp).

/** Hand an order to the daemon that should run it, or take it up here. */
void
RouteOrder(OrderStep& aStep, const IncomingOrder& aOrder);

/** Whether this incarnation issued a token with these parts. */
bool
IsIssuer(const OrderState& aState, const ParsedKey& aKey);

/** The token's order as its issuer sees it. */
void
AdmitTokenOrder(OrderStep& aStep, const IncomingOrder& aOrder);

/** The token's issuer is gone: only a copy can tell the outcome. */
void
AnswerWithoutIssuer(OrderStep& aStep, const IncomingOrder& aOrder);

/** Daemon that keeps the copy of a dead issuer's outcome; maybe itself. */
DaemonId
CopyLookupTarget(const OrderState& aState, const IncomingOrder& aOrder);

/** Refuse a key outside its window by this daemon's clock; true: refused. */
bool
RefuseOutsideWindow(OrderStep& aStep, const IncomingOrder& aOrder);

// Forwards to other daemons (order_forward.cpp).

/** Forward an order; an invalid target is not known yet. */
void
BeginRelay(OrderStep& aStep, const IncomingOrder& aOrder, DaemonId aTarget);

// Forwards from other daemons (order_receive.cpp).

/** Order received from another daemon. */
void
OnForward(OrderStep& aStep,
          const PeerMessage& aFrom,
          const OrderForward& aForward);

/** Answer to an order forwarded by this daemon. */
void
OnForwardAnswer(OrderStep& aStep, const OrderForwarded& aAnswer);

/** A forward may not have arrived. */
void
OnForwardUnreachable(OrderStep& aStep, const PeerUnreachable& aEvent);

/** Repeat forwards that are due, end those past their deadline. */
void
TickRelays(OrderStep& aStep);

/** Build an order from a request. */
IncomingOrder
MakeIncomingOrder(const OrderState& aState,
                  std::string_view aCaller,
                  std::string_view aRoute,
                  std::string_view aKey,
                  const SharedText& aBody,
                  const OrderWaiter& aWaiter);

} // namespace camphorfield
