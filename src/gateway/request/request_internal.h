/** Functions that run a request: its attempts, its parts and its answer. */
#pragma once

#include "gateway/gateway_internal.h"

namespace camphorfield {

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

/** Records the bytes of an answer that is kept until its request ends.
 * @param aBefore Bytes of the answer that it replaces. */
void
HoldAnswer(GatewayState& aState,
           GatewayRun& aRun,
           std::uint64_t aBefore,
           std::uint64_t aBytes);

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

// planned_stop.cpp

/** Whether a request can be expected to be answered before the process ends.
 * @param aTimeout Time until the request's deadline.
 */
bool
CanFinishBeforeStop(const PlannedStop& aStop,
                    const GatewayRoute& aRoute,
                    Duration aTimeout,
                    TimePoint aNow);

} // namespace camphorfield
