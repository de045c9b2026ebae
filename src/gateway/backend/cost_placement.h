/** Placement by the expected work of requests, PlacementMode::Cost. */
#pragma once

#include "gateway/backend/connection_use.h"
#include "gateway/gateway_base.h"

namespace camphorfield {

struct GatewayStep;

/** Whether servers are chosen by cost. */
bool
IsCostMode(const GatewayState& aState);

/** Sets the expected work of a run, unless it is set or the mode is another. */
void
PrepareCost(GatewayState& aState, GatewayRun& aRun, TimePoint aNow);

/** Expected time of a request of aWork microseconds that is sent now. */
PlacementEstimate
EstimatePlacement(const GatewayState& aState,
                  const Backend& aBackend,
                  double aWork,
                  TimePoint aNow);

/** Work of a run's part for one service, microseconds. */
double
WorkAt(const GatewayState& aState,
       const CostEstimate& aCost,
       ServiceNumber aService);

/** Expected time with the penalties for failures and other failure domains,
 * in microseconds. */
double
PenalisedMicros(const GatewayState& aState,
                const Backend& aBackend,
                const PlacementEstimate& aEstimate,
                Duration aTypicalLatency,
                TimePoint aNow);

/**
 * Expected time until a server without room can be sent a request.
 * @param aAhead Parts that are sent before it, and itself.
 */
double
MicrosUntilRoom(const Backend& aBackend,
                const PlacementEstimate& aEstimate,
                double aAhead);

/** Expected rest of an attempt, a pause of its server included, microseconds.
 */
double
ExpectedRest(const GatewayState& aState,
             const Attempt& aAttempt,
             TimePoint aNow);

/** Delay until an attempt is first considered for a hedge. */
Duration
FirstHedgeCheck(const GatewayRun& aRun, const Attempt& aAttempt);

/**
 * Whether a second server is expected to answer before the first one, or in
 * time although the first one probably doesn't.
 * @param aRepeatedError Receives the second answer's time in thousandths of the
 * expected one, if the delay of the first is due to the request alone.
 */
bool
IsHedgeWorthwhile(const GatewayState& aState,
                  const GatewayRun& aRun,
                  const Attempt& aAttempt,
                  const Backend& aSecond,
                  TimePoint aNow,
                  double& aRepeatedError);

/** Learns from an answer; called after its attempt has been detached. */
void
LearnFromAnswer(GatewayStep& aStep,
                Backend& aBackend,
                const Attempt& aAttempt,
                const BackendAnswer& aAnswer);

/** Learns from the age of an attempt that is cancelled, as a lower bound of its
 * time. */
void
LearnFromCancelled(GatewayStep& aStep,
                   Backend& aBackend,
                   const Attempt& aAttempt);

} // namespace camphorfield
