/** What the sources of the gateway share. */
#pragma once

#include "gateway/gateway_base.h"
#include "gateway/gateway_const.h"

#include <string>

namespace camphorfield {

/** Everything that one step of the gateway works with. */
struct GatewayStep
{
  GatewayState& state_;
  const Now& now_;
  Rng& rng_;
  GatewayDecisions& out_;

  TimePoint Time() const { return now_.mono_; }
};

/** How an attempt ended without a success. */
enum class AttemptEnd : std::uint8_t
{
  NotRun,  ///< The server says so, or nothing was sent.
  Failed,  ///< The server answered with a failure; it may have run.
  Broken,  ///< No whole answer; it may have run.
  Garbled, ///< The answer isn't the server's; it may have run.
  End      ///< Number of ends.
};

// backend_table.cpp

/** Number of a service, which is made if it is new. */
ServiceNumber
FindOrAddService(GatewayState& aState, const std::string& aName);

/** Have a service's queue looked at before the step ends. */
void
MarkService(GatewayState& aState, ServiceNumber aService);

/** Free a server that is listed no more and has nothing open. */
void
FreeIfUnused(GatewayState& aState, std::uint64_t aBackend);

// backend_choice.cpp

/** Whether a server is in the daemon's own failure domain. */
bool
IsSameDomain(const GatewayState& aState, const Backend& aBackend);

/** Whether new work may go to a server at all. */
bool
IsUsable(const Backend& aBackend);

/** Whether no server of a service can take work now or soon. */
bool
IsServiceDown(const GatewayState& aState,
              const GatewayServiceState& aService,
              TimePoint aNow);

/**
 * Server that is expected to answer a part first.
 * @param aHedge Only servers that have not been tried.
 * @return Zero: wait for one that is busy, or none is left.
 */
std::uint64_t
ChooseBackend(GatewayStep& aStep,
              const GatewayRun& aRun,
              const RequestPart& aPart,
              bool aHedge);

// backend_health.cpp

/** Learn from an answer that came after some time. */
void
RecordSuccess(GatewayStep& aStep,
              Backend& aBackend,
              const Attempt& aAttempt,
              const BackendAnswer& aAnswer);

/** Learn that no answer has come for some time. */
void
RecordPendingTime(GatewayStep& aStep,
                  Backend& aBackend,
                  const Attempt& aAttempt);

/** Learn from an attempt that failed, or a connection that didn't open. */
void
RecordFailure(GatewayStep& aStep,
              Backend& aBackend,
              const std::string& aReason);

/** The server had no room for a request. */
void
RecordShed(GatewayStep& aStep, Backend& aBackend);

/** Another server has its address. */
void
EjectMisdirected(GatewayStep& aStep, Backend& aBackend);

// backend_conn.cpp

/** Open what a server's load needs, within this daemon's share. */
void
EnsureConnections(GatewayStep& aStep, Backend& aBackend);

/** Idle connection to use next, or null. */
BackendConn*
FindIdle(GatewayState& aState, const Backend& aBackend, TimePoint aNow);

/**
 * Takes back a connection after a whole answer.
 * @param aLife Time that it may be idle for, as its server says.
 */
void
ReleaseConnection(GatewayStep& aStep,
                  std::uint64_t aConnection,
                  Duration aLife);

/** Close a connection that carries nothing. */
void
CloseConnection(GatewayStep& aStep, std::uint64_t aConnection);

/** Close the idle connections of a server that gets no more work. */
void
CloseIdle(GatewayStep& aStep, Backend& aBackend);

/** Close idle connections that have expired; open what is missing. */
void
MaintainConnections(GatewayStep& aStep);

// attempt.cpp

/** Take leave from the budget for one more send of a part. */
bool
TakeExtraSend(GatewayStep& aStep, const RequestPart& aPart);

/** Usual time of an answer of a route. */
Duration
TypicalLatency(const RouteLoad& aLoad);

/** Send what waits for the services that were marked. */
void
DispatchMarked(GatewayStep& aStep);

/** Have a part sent when a server has room. */
void
EnqueuePart(GatewayStep& aStep, GatewayRun& aRun, std::uint32_t aPart);

/** Take a part out of its queue. */
void
DequeuePart(GatewayState& aState, RequestPart& aPart);

// attempt_answer.cpp

/** End an attempt without a success; the part may be sent again. */
void
EndAttempt(GatewayStep& aStep, std::uint64_t aAttempt, AttemptEnd aEnd);

/** Stop an attempt whose answer isn't wanted. */
void
CancelAttempt(GatewayStep& aStep, std::uint64_t aAttempt);

/** An attempt takes longer than most. */
void
HedgeAttempt(GatewayStep& aStep, std::uint64_t aAttempt);

/** An attempt's connection is silent for so long that it must be dead. */
void
EndSilentAttempt(GatewayStep& aStep, std::uint64_t aAttempt);

// request_run.cpp

/** A part of a run has an answer. */
void
CompletePart(GatewayStep& aStep,
             GatewayRun& aRun,
             std::uint32_t aPart,
             BackendAnswer&& aAnswer);

/** A part of a run can't be answered. */
void
FailPart(GatewayStep& aStep, GatewayRun& aRun, std::uint32_t aPart);

/** The time for a whole answer within the objective is over. */
void
HandleSoftDeadline(GatewayStep& aStep, GatewayRun& aRun);

/** The time for any answer is over. */
void
HandleDeadline(GatewayStep& aStep, GatewayRun& aRun);

// request_answer.cpp

/** End what is still under way for a run, and the run. */
void
CloseRun(GatewayStep& aStep, GatewayRun& aRun);

/** Answer with what a server said. */
void
FinishForwarded(GatewayStep& aStep, GatewayRun& aRun, BackendAnswer&& aFrom);

/** Answer a query with the parts that are there. */
void
FinishMerged(GatewayStep& aStep, GatewayRun& aRun);

/**
 * Answer with a failure.
 * @param aCode Told if a server may have run it; else it is told as not run.
 */
void
FinishFailed(GatewayStep& aStep, GatewayRun& aRun, ProxyCode aCode);

/**
 * Answer a request that is not taken up.
 * @param aRoute Null when none is known.
 */
void
RejectRequest(GatewayStep& aStep,
              const ProxyRequest& aRequest,
              ProxyCode aCode,
              const GatewayRoute* aRoute);

// admission.cpp

/** Whether one more request of a route is admitted. */
bool
IsAdmitted(const RouteLoad& aLoad);

/** Enough parts of a request of the route had answers after some time. */
void
AdjustWindow(RouteLoad& aLoad,
             Duration aTook,
             Duration aObjective,
             TimePoint aNow);

/** A request of the route could not be answered within its objective. */
void
ShrinkWindowOnLate(RouteLoad& aLoad, Duration aObjective, TimePoint aNow);

/** When a rejected caller should come back. */
Duration
ChooseRetryAfter(const GatewayRoute& aRoute, Rng& aRng);

// crash_guard.cpp

/** Hash of what repeats when a request comes again. */
std::uint64_t
MakeContentFingerprint(const ProxyRequest& aRequest);

/** Whether content has crashed so many servers that it must not run. */
bool
IsQuarantined(const GatewayState& aState,
              std::uint64_t aFingerprint,
              TimePoint aNow);

/** A connection broke with a request on it. */
void
RecordBrokenConnection(GatewayStep& aStep,
                       std::uint64_t aBackend,
                       std::uint64_t aFingerprint);

/** Nothing listens at a server's address: it has crashed. */
void
RecordRefusedConnect(GatewayStep& aStep, std::uint64_t aBackend);

/** The content was run without a crash. */
void
ClearSuspect(GatewayState& aState, std::uint64_t aFingerprint);

} // namespace camphorfield
