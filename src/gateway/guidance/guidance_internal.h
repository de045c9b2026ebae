/** Functions on evacuated and cold servers. */
#pragma once

#include "gateway/gateway_internal.h"

namespace camphorfield {

// evacuation.cpp

/** Whether a service has servers, and all of them are evacuated. */
bool
IsServiceEvacuated(const GatewayState& aState,
                   const GatewayServiceState& aService);

/** Takes over whether a server's failure domain is evacuated. */
void
UpdateEvacuated(GatewayStep& aStep, Backend& aBackend);

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
 * @return Time after which it should return: longer if it returns when the
 * servers are warm.
 */
Duration
PromiseColdSlot(GatewayStep& aStep, const GatewayRun& aRun, Duration aWait);

/** Counts a request that is sent to a server. */
void
CountColdSend(GatewayState& aState, Backend& aBackend, TimePoint aNow);

} // namespace camphorfield
