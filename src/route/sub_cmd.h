/** Sub-requests: sending them and what becomes of them. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** What became of a sub-request. */
enum class SubOutcome : std::uint8_t
{
  Ok,           ///< Whole answer with equal labels.
  Refused,      ///< Shed: not run.
  WrongVersion, ///< Not run.
  NotRun,       ///< Not run, for another reason.
  NotSent,      ///< No byte went out.
  Expired,      ///< No byte went out: its deadline had passed.
  Rejected,     ///< Ran; its content was refused.
  Failed,       ///< May have run.
  Corrupt,      ///< Ran; the answer is not usable.
  Lost,         ///< Sent; the connection broke.
  Silent,       ///< Sent; the connection went silent.
  End           ///< Number of ends.
};

/** What to send. */
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

/** Ping an idle connection. */
void
SendHealth(Step& aStep, Connection& aConnection);

/** Leave an attempt to itself: its answer is not wanted any more. */
void
AbandonSub(Step& aStep, std::uint64_t aSub, bool aCancel);

/** Take a sub-answer of a connection. */
void
HandleAnswer(Step& aStep, const SubAnswer& aAnswer);

/** Take the answer that a home daemon relayed; the id is ours. */
void
HandleRelayedAnswer(Step& aStep, const SubAnswer& aAnswer);

/** Take back a request that was not sent. */
void
HandleNotSent(Step& aStep, const SubNotSent& aEvent);

/** Look after the request on a connection that has ended. */
void
HandleConnectionEnd(Step& aStep, const ConnectionEnded& aEvent);

/** End a sub-request and tell its owner. */
void
EndSub(Step& aStep,
       std::uint64_t aSub,
       SubOutcome aOutcome,
       const SharedText& aBody);

/** A timer of a sub-request is due. */
void
HandleSubTimer(Step& aStep, const Timer& aTimer);

/** Have a service's queue looked at before the step ends. */
void
MarkService(RouteState& aState, ServiceIndex aService);

} // namespace camphorfield
