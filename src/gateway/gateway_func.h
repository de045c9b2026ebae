/** Entry points of the gateway's decision core. */
#pragma once

#include "gateway/gateway_base.h"
#include "machine/event_type.h"

#include <cstdint>
#include <vector>

namespace camphorfield {

/** State of a daemon that has just started and knows no configuration. */
GatewayState
MakeGatewayState(const GatewaySettings& aSettings);

/**
 * Puts a configuration in force for requests that arrive from now on.
 * @return False when it is not newer than the one in force.
 */
bool
GatewayAdoptConfig(GatewayState& aState,
                   const SharedGatewayConfig& aConfig,
                   const Now& aNow,
                   Rng& aRng,
                   GatewayDecisions& aOut);

/** Takes up the whole list of backend servers. */
void
GatewayAdoptServers(GatewayState& aState,
                    const std::vector<BackendEntry>& aServers,
                    const Now& aNow,
                    Rng& aRng,
                    GatewayDecisions& aOut);

/**
 * Sets how many daemons share budgets and connections.
 * @param aDaemons At least one, this daemon counted.
 */
void
GatewaySetDaemons(GatewayState& aState, std::uint32_t aDaemons);

/**
 * Sets whether callers are sent here: connections are kept open then.
 * Otherwise they are opened when a request comes.
 */
void
GatewaySetWarm(GatewayState& aState, bool aWarm);

/**
 * Takes up what another daemon says of content that crashes servers.
 * @param aFingerprint Hash of the content.
 * @param aCrashes Servers that it has crashed.
 */
void
GatewayHearSuspect(GatewayState& aState,
                   std::uint64_t aFingerprint,
                   std::uint32_t aCrashes,
                   const Now& aNow);

/** Answers, or sends the request on; each gets exactly one ProxyAnswer. */
void
GatewayOnEvent(GatewayState& aState,
               const ProxyRequest& aRequest,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut);

/** Ends what runs for a caller that has left; it gets no answer. */
void
GatewayOnEvent(GatewayState& aState,
               const CallerDisconnected& aGone,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut);

void
GatewayOnEvent(GatewayState& aState,
               const BackendOpened& aOpened,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut);

void
GatewayOnEvent(GatewayState& aState,
               BackendAnswer&& aAnswer,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut);

void
GatewayOnEvent(GatewayState& aState,
               const BackendClosed& aClosed,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut);

/** Does everything that is due. */
void
GatewayOnEvent(GatewayState& aState,
               const Tick& aTick,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut);

/** When the next Tick is wanted. */
TimePoint
GatewayNextWake(const GatewayState& aState);

/** Share of the own processor that requests take at present, per mille. */
std::uint32_t
GatewayBusy(const GatewayState& aState);

/** Requests that have no answer yet. */
std::size_t
GatewayInFlight(const GatewayState& aState);

} // namespace camphorfield
