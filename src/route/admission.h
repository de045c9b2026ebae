/** Whether a query is taken in, before any of its sub-requests goes out. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Verdict on a query. */
struct Admission
{
  ResultCode code_ = ResultCode::Ok; ///< Anything else refuses it: not run.
  Duration retryAfter_{};            ///< Hint for a refused caller.
};

/**
 * Judge a query.
 * @param aRoute Its route.
 * @param aVersion Snapshot it would pin.
 * @param aCaller Name of its caller.
 * @param aTime Time until its deadline.
 */
Admission
AdmitQuery(Step& aStep,
           const CompiledRoute& aRoute,
           const CompiledVersion& aVersion,
           const std::string& aCaller,
           Duration aTime);

/** Count a query in; returns its tag for the fair order of callers. */
std::uint64_t
RegisterQuery(Step& aStep, Query& aQuery);

/** Count a query out. */
void
UnregisterQuery(Step& aStep, const Query& aQuery);

/**
 * How long until a service would have answered more sub-requests.
 * @param aAdded Number of them.
 * @param aBacklogShare Part of the queue that would be served before them.
 */
Duration
EstimateTime(const RouteState& aState,
             ServiceIndex aService,
             Priority aPriority,
             std::uint32_t aAdded,
             double aBacklogShare);

} // namespace camphorfield
