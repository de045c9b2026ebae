/** Admission control of queries, before any sub-request is sent. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Result of admission control. */
struct Admission
{
  ResultCode code_ = ResultCode::Ok; ///< Others: refused, not run.
  Duration retryAfter_{};            ///< When a refused caller may retry.
};

/** Check a query against the limits of its route, the share of its caller and
 * the estimated answer time.
 * @param aRoute Route of the query.
 * @param aVersion Snapshot that the query would pin.
 * @param aCaller Name of the caller.
 * @param aTime Time until the deadline.
 */
Admission
AdmitQuery(Step& aStep,
           const CompiledRoute& aRoute,
           const CompiledVersion& aVersion,
           const std::string& aCaller,
           Duration aTime);

/**
 * Count an admitted query as in flight.
 * @return Virtual start time for fair queueing among callers.
 */
std::uint64_t
RegisterQuery(Step& aStep, Query& aQuery);

/** Remove a finished query from the in-flight counts. */
void
UnregisterQuery(Step& aStep, const Query& aQuery);

/** Estimate the time until a service has answered additional sub-requests.
 * @param aAdded Number of additional sub-requests.
 * @param aBacklogShare Share of the queue that is served before them, 0 to 1.
 * @return Zero when no server of the service can be reached.
 */
Duration
EstimateTime(const RouteState& aState,
             ServiceIndex aService,
             Priority aPriority,
             std::uint32_t aAdded,
             double aBacklogShare);

} // namespace camphorfield
