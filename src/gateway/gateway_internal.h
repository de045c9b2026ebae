/** Functions that the sources of the gateway share. */
#pragma once

#include "gateway/gateway_base.h"
#include "gateway/gateway_const.h"

#include <string>

namespace camphorfield {

/** Context of the handling of one event. */
struct GatewayStep
{
  GatewayState& state_;
  const Now& now_;
  Rng& rng_;
  GatewayDecisions& out_;

  TimePoint Time() const { return now_.mono_; }
};

/** Outcome of an unsuccessful attempt. */
enum class AttemptEnd : std::uint8_t
{
  NotRun,  ///< The server reports that it did not run it.
  Failed,  ///< Complete answer with a failure; it may have run.
  Broken,  ///< No complete answer; it may have run.
  Garbled, ///< Invalid answer; it may have run.
  End      ///< Number of outcomes; also stands for a success.
};

// backend_table.cpp

/** Returns the number of a service, and adds the service if it is new. */
ServiceNumber
FindOrAddService(GatewayState& aState, const std::string& aName);

/** Schedules a service's queue for DispatchMarked. */
void
MarkService(GatewayState& aState, ServiceNumber aService);

/** Frees a server that is no longer listed and has no connections. */
void
FreeIfUnused(GatewayState& aState, std::uint64_t aBackend);

// evacuation.cpp

/** Whether a service has servers, and all of them are evacuated. */
bool
IsServiceEvacuated(const GatewayState& aState,
                   const GatewayServiceState& aService);

/** Takes over whether a server's failure domain is evacuated. */
void
UpdateEvacuated(GatewayStep& aStep, Backend& aBackend);

// route_region.cpp

/** Whether a route's requests may reach a server in view of its region. */
bool
IsInAllowedRegion(const GatewayState& aState,
                  const GatewayRoute& aRoute,
                  const Backend& aBackend);

/** Whether a service has a usable server that a route's requests may reach. */
bool
HasAllowedServer(const GatewayState& aState,
                 const GatewayRoute& aRoute,
                 const GatewayServiceState& aService);

// cold_phase.cpp

/** Takes the limits of cold servers from the configuration in force. */
void
AdoptColdRates(GatewayState& aState);

/** Extends the plan of the slots in which this daemon may send to cold servers.
 */
void
MaintainColdPlan(GatewayState& aState, const Now& aNow);

/** Begins or extends a server's cold phase. */
void
BeginCold(GatewayStep& aStep,
          Backend& aBackend,
          Duration aLeft,
          const std::string& aReason);

/** The same for the whole cold phase of a start that the server has not stated.
 */
void
AssumeCold(GatewayStep& aStep, Backend& aBackend, const std::string& aReason);

/** Keeps the cold phase of a server that is no longer listed. */
void
KeepCold(GatewayState& aState, const Backend& aBackend, TimePoint aNow);

/** Time until this daemon may send a cold server a request after aAhead others;
 * zero if it isn't cold. */
Duration
TimeUntilColdRoom(const GatewayState& aState,
                  const Backend& aBackend,
                  std::size_t aAhead,
                  TimePoint aNow);

/** Whether a usable server of a service is cold and limited. */
bool
HasColdServer(const GatewayState& aState,
              const GatewayServiceState& aService,
              TimePoint aNow);

/** Whether a service that a route sends to has room at cold servers only. */
bool
HasOnlyColdRoom(const GatewayState& aState,
                const GatewayRoute& aRoute,
                TimePoint aNow);

/** Like TimeUntilRoom behind the queue of a service, and behind the callers
 * that have been told to return for slots of its cold servers. */
Duration
TimeUntilUnpromisedRoom(const GatewayState& aState,
                        const GatewayServiceState& aService,
                        TimePoint aNow);

/**
 * Records that the caller of a rejected run is told to return.
 * @param aWait Time until its servers have room.
 * @return Time after which it should return: longer if others return when the
 * servers are warm.
 */
Duration
PromiseColdSlot(GatewayState& aState,
                const GatewayRun& aRun,
                Duration aWait,
                TimePoint aNow);

/** Counts a request that is sent to a server. */
void
CountColdSend(GatewayState& aState, Backend& aBackend, TimePoint aNow);

// backend_choice.cpp

/** Whether a server is in the daemon's own failure domain. */
bool
IsSameDomain(const GatewayState& aState, const Backend& aBackend);

/** Whether a server is listed and neither draining, leaving nor evacuated. */
bool
IsUsable(const Backend& aBackend);

/** Whether every server of a service is unusable or unreachable. */
bool
IsServiceDown(const GatewayState& aState,
              const GatewayServiceState& aService,
              TimePoint aNow);

/**
 * Time until a server of the service wants a part, by what the servers said of
 * their limits and pauses; the maximum if none is usable.
 * @param aAhead Parts that are sent before it.
 */
Duration
TimeUntilRoom(const GatewayState& aState,
              const GatewayServiceState& aService,
              std::size_t aAhead,
              TimePoint aNow);

/** Chooses the server with the least estimated latency for a part.
 * @param aHedge Only servers that have not been tried for the part.
 * @return Zero when the best server is busy or no server is left.
 */
std::uint64_t
ChooseBackend(GatewayStep& aStep,
              const GatewayRun& aRun,
              const RequestPart& aPart,
              bool aHedge);

// backend_health.cpp

/** Updates the health of a server after a successful answer. */
void
RecordSuccess(GatewayStep& aStep,
              Backend& aBackend,
              const Attempt& aAttempt,
              const BackendAnswer& aAnswer);

/** Updates the latency of a server by an attempt that has no answer yet. */
void
RecordPendingTime(GatewayStep& aStep,
                  Backend& aBackend,
                  const Attempt& aAttempt);

/** Records a failed attempt or connect; repeated failures eject the server. */
void
RecordFailure(GatewayStep& aStep,
              Backend& aBackend,
              const std::string& aReason);

/** The server isn't the one that the request expects. */
constexpr std::uint32_t kStatusMisdirected = 421;

/** Takes what a server says of itself in an answer: its request limit, that it
 * leaves, or how long it wants no requests. */
void
RecordGuidance(GatewayStep& aStep,
               Backend& aBackend,
               const BackendAnswer& aAnswer);

/** Keeps the pause and the limit of a server whose entry is missing. */
void
KeepGuidance(GatewayStep& aStep, const Backend& aBackend);

/** Puts what was kept of an incarnation in force again. */
void
RestoreGuidance(GatewayStep& aStep, Backend& aBackend);

/** Records that a server rejected a request for lack of capacity. */
void
RecordShed(GatewayStep& aStep, Backend& aBackend);

/** Ejects a server whose address now belongs to another server. */
void
EjectMisdirected(GatewayStep& aStep, Backend& aBackend);

// backend_conn.cpp

/** Opens the next connection that a server's load requires, within this
 * daemon's share. */
void
EnsureConnections(GatewayStep& aStep, Backend& aBackend);

/**
 * Returns the idle connection to use next, or null.
 * @param aRequestHash Hash of a request id that the connection must not have
 * carried; zero: any connection.
 */
BackendConn*
FindIdle(GatewayState& aState,
         const Backend& aBackend,
         std::uint64_t aRequestHash,
         TimePoint aNow);

/** Opens a connection for a request whose id all idle ones have carried. Closes
 * one of these if the server would have too many. */
void
OpenUnusedConnection(GatewayStep& aStep, Backend& aBackend);

/**
 * Marks a connection idle after a complete answer.
 * @param aIdleTimeout Time until it is closed if it stays idle.
 */
void
ReleaseConnection(GatewayStep& aStep,
                  std::uint64_t aConnection,
                  Duration aIdleTimeout);

/** Closes a connection that has no attempt in flight. */
void
CloseConnection(GatewayStep& aStep, std::uint64_t aConnection);

/** Closes all connections of a server that have no attempt in flight. */
void
CloseIdle(GatewayStep& aStep, Backend& aBackend);

/** Closes expired idle connections and opens missing ones. */
void
MaintainConnections(GatewayStep& aStep);

// attempt.cpp

/** Takes one extra send of a part from the budget; false if it is used up. */
bool
TakeExtraSend(GatewayStep& aStep, const RequestPart& aPart);

/** Dispatches the queues of all marked services. */
void
DispatchMarked(GatewayStep& aStep);

/** Queues a part until a server can take it. */
void
EnqueuePart(GatewayStep& aStep, GatewayRun& aRun, std::uint32_t aPart);

/** Removes a part from its queue. */
void
DequeuePart(GatewayState& aState, RequestPart& aPart);

// attempt_answer.cpp

/** Ends an unsuccessful attempt and retries or fails its part. */
void
EndAttempt(GatewayStep& aStep, std::uint64_t aAttempt, AttemptEnd aEnd);

/** Sends a part again, or fails it. */
void
RetryOrFail(GatewayStep& aStep, GatewayRun& aRun, std::uint32_t aPart);

/** Cancels an attempt whose answer is no longer needed. */
void
CancelAttempt(GatewayStep& aStep, std::uint64_t aAttempt);

/** Sends a part to a second server because its attempt is slow. */
void
HedgeAttempt(GatewayStep& aStep, std::uint64_t aAttempt);

/** Gives up an attempt whose server has been silent for too long, if its part
 * can be sent again. */
void
EndSilentAttempt(GatewayStep& aStep, std::uint64_t aAttempt);

// request_admit.cpp

/** Name of a run's organisation, see BackendSend. */
std::optional<std::string>
OrganisationName(const GatewayRun& aRun);

/**
 * Admits or rejects a request.
 * @param aCap Whose token it has; zero: none was taken yet.
 */
void
AdmitRequest(GatewayStep& aStep,
             const ProxyRequest& aRequest,
             std::uint64_t aCap);

/** Ends requests whose keys the present configuration doesn't hold. */
void
RejectRevokedRuns(GatewayStep& aStep);

// cap_admit.cpp

/** Lets a request wait for a token; it is admitted or rejected once the token
 * is there or refused. */
void
AwaitCapToken(GatewayStep& aStep, const ProxyRequest& aRequest, RateCap& aCap);

/** Returns a token of a request that isn't sent. */
void
ReturnToken(GatewayStep& aStep, std::uint64_t aCap);

/** Admits and rejects requests as the caps have decided. */
void
ApplyCapOutput(GatewayStep& aStep, CapOutput& aOutput);

// query_probe.cpp

/** Whether servers broke off under a query that no shard has answered. */
bool
MayCrashServers(const GatewayRun& aRun);

/** Holds all parts of a new query if there is evidence against its content. */
void
ProbeFirst(GatewayStep& aStep, GatewayRun& aRun);

/** Sends one of the held parts, or fails them, if no part is on its way. The
 * run may finish. */
void
AdvanceProbe(GatewayStep& aStep, GatewayRun& aRun);

/** Sends the held parts of a query that a shard has answered. The run may
 * finish. */
void
ReleaseHeld(GatewayStep& aStep, GatewayRun& aRun);

// request_run.cpp

/** Stores the answer of a part; the run may finish. */
void
CompletePart(GatewayStep& aStep,
             GatewayRun& aRun,
             std::uint32_t aPart,
             BackendAnswer&& aAnswer);

/** Marks a part as failed; the run may finish. */
void
FailPart(GatewayStep& aStep, GatewayRun& aRun, std::uint32_t aPart);

/** Answers with the parts that are complete, or marks the run late. */
void
HandleSoftDeadline(GatewayStep& aStep, GatewayRun& aRun);

/** Finishes a run at its deadline. */
void
HandleDeadline(GatewayStep& aStep, GatewayRun& aRun);

// request_answer.cpp

/** Cancels what is in flight for a run, and frees the run. */
void
CloseRun(GatewayStep& aStep, GatewayRun& aRun);

/** Finishes a run with the answer of a server. */
void
FinishForwarded(GatewayStep& aStep, GatewayRun& aRun, BackendAnswer&& aFrom);

/** Finishes a query with the parts that are complete. */
void
FinishMerged(GatewayStep& aStep, GatewayRun& aRun);

/**
 * Finishes a run with a failure.
 * @param aCode Used if a server may have run it; otherwise the answer is
 * NotRun or NoServer.
 * @param aNotBefore Least time after which the caller should retry.
 */
void
FinishFailed(GatewayStep& aStep,
             GatewayRun& aRun,
             ProxyCode aCode,
             Duration aNotBefore = Duration::zero());

/** Rejects a run that has not been executed; nothing more of another one is
 * sent, and it ends with the parts that have been. */
void
RevokeRun(GatewayStep& aStep, GatewayRun& aRun);

/** More about a rejection. */
struct RejectionDetail
{
  std::string organisation_;
  std::string reason_;
  Duration notBefore_{}; ///< Least time after which to retry.
};

/**
 * Rejects a request on arrival.
 * @param aRoute Null if no route matches.
 */
void
RejectRequest(GatewayStep& aStep,
              const ProxyRequest& aRequest,
              ProxyCode aCode,
              const GatewayRoute* aRoute,
              const RejectionDetail& aDetail = {});

// admission.cpp

/**
 * Whether the window of a route admits one more request.
 * @param aGuaranteed See GuaranteedWindow.
 */
bool
IsAdmitted(const RouteLoad& aLoad, double aGuaranteed);

/** This daemon's part of the requests that the servers of a plain route run at
 * once; zero for a query. */
double
GuaranteedWindow(const GatewayState& aState, const GatewayRoute& aRoute);

/** Adjusts the window by the time until enough parts had answered. */
void
AdjustWindow(RouteLoad& aLoad,
             Duration aTook,
             Duration aObjective,
             TimePoint aNow);

/** Shrinks the window because a request missed its objective. */
void
ShrinkWindowOnLate(RouteLoad& aLoad, Duration aObjective, TimePoint aNow);

/** Chooses the delay after which a rejected caller should retry. */
Duration
ChooseRetryAfter(const GatewayRoute& aRoute, Rng& aRng);

// planned_stop.cpp

/** Whether a request can be expected to be answered before the process ends.
 * @param aTimeout Time until the request's deadline.
 */
bool
CanFinishBeforeStop(const PlannedStop& aStop,
                    const GatewayRoute& aRoute,
                    Duration aTimeout,
                    TimePoint aNow);

// crash_guard.cpp

/** Hashes of host, target, caller and body, equal for repeated requests. */
ContentKeys
MakeContentKeys(const ProxyRequest& aRequest);

/** Whether content has crashed too many servers to be run again. */
bool
IsQuarantined(const GatewayState& aState,
              const ContentKeys& aContent,
              TimePoint aNow);

/** How long evidence is kept after the latest crash. */
Duration
EvidenceTimeToLive(const CrashEvidence& aEvidence);

/** Whether there is evidence against content, or its part for some shard. */
bool
IsSuspected(const GatewayState& aState, const ContentKeys& aContent);

/** Whether there is evidence that content crashes servers of all shards. */
bool
IsSuspectedOnAllShards(const GatewayState& aState, const ContentKeys& aContent);

/** Records a connection that broke with a request in flight. */
void
RecordBrokenConnection(GatewayStep& aStep,
                       const Backend& aBackend,
                       const GatewayRun& aRun,
                       std::uint32_t aPart,
                       BackendEnd aEnd);

/** Records that a server has crashed: its connections broke because of that. */
void
RecordCrash(GatewayStep& aStep,
            std::uint64_t aBackend,
            const std::string& aReason);

/**
 * Drops the broken connections of a server that has answered a request: it has
 * not crashed between the opening of the connection and the send.
 */
void
RefuteCrash(GatewayState& aState,
            std::uint64_t aBackend,
            TimePoint aOpenedAt,
            TimePoint aSentAt);

/** Drops the evidence against content that has been answered. */
void
RefuteSuspicion(GatewayStep& aStep, const GatewayRun& aRun);

/** Keeps the evidence of a run that ends: of its parts without an answer. */
void
SettleSuspicion(GatewayStep& aStep, const GatewayRun& aRun);

} // namespace camphorfield
