/** Sub-requests: sending them and handling their outcome. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Outcome of a sub-request. */
enum class SubOutcome : std::uint8_t
{
  Ok,           ///< Answered, and the answer names this request.
  Refused,      ///< Shed by the server: not run.
  WrongVersion, ///< The server lacks the snapshot: not run.
  NotRun,       ///< Not run, for another reason.
  NotSent,      ///< No byte was sent.
  Expired,      ///< No byte was sent: the deadline had passed.
  Rejected,     ///< Ran; the server rejected its content.
  Failed,       ///< May have run.
  Corrupt,      ///< Ran; the answer is unusable.
  Lost,         ///< Sent; the connection broke.
  Silent,       ///< Sent; no answer in time.
  End           ///< Number of outcomes.
};

/** Sub-request to be sent. */
struct SubPlan
{
  SubKind kind_ = SubKind::Query;
  OwnerRef owner_;
  ServerIndex server_ = kNoIndex;
  std::string_view shard_;
  SnapshotVersion version_;
  std::string_view key_;
  SubRequestId cancels_;
  TimePoint deadline_ = kNever;
  SharedText body_;
  Fingerprint fingerprint_;
  bool hedge_ = false;
  bool probe_ = false;
  bool exclusive_ = false;
  bool keepUntilDeadline_ = false;
};

/**
 * Send a sub-request on an idle connection, or through a home daemon.
 * @return Its key; zero when there is no connection.
 */
std::uint64_t
SendSub(Step& aStep, const SubPlan& aPlan);

/** Send a health check on an idle connection. */
void
SendHealth(Step& aStep, Connection& aConnection);

/**
 * Detach a sub-request from its owner, which does not need the answer.
 * @param aCancel Also send a cancel if an idle connection is available.
 */
void
AbandonSub(Step& aStep, std::uint64_t aSub, bool aCancel);

/** Handle a sub-answer from a connection. */
void
HandleAnswer(Step& aStep, const SubAnswer& aAnswer);

/** Handle an answer from a home daemon; it has the id of this daemon. */
void
HandleRelayedAnswer(Step& aStep, const SubAnswer& aAnswer);

/** End a request that the host did not send because of its deadline. */
void
HandleNotSent(Step& aStep, const SubNotSent& aEvent);

/** Free a connection that has ended, and end the request on it. */
void
HandleConnectionEnd(Step& aStep, const ConnectionEnded& aEvent);

/** End a sub-request, record its outcome and notify its owner. */
void
EndSub(Step& aStep,
       std::uint64_t aSub,
       SubOutcome aOutcome,
       const SharedText& aBody);

/** Handle a hedge or progress timer of a sub-request. */
void
HandleSubTimer(Step& aStep, const Timer& aTimer);

/** Mark a service: its queue is dispatched before the step ends. */
void
MarkService(RouteState& aState, ServiceIndex aService);

} // namespace camphorfield
