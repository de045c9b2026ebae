/** Entry points of the gateway's decision core. */
#pragma once

#include "gateway/fleet/fleet_role.h"
#include "gateway/gateway_base.h"
#include "machine/event_type.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

/** Initial state, without a configuration. */
GatewayState
MakeGatewayState(const GatewaySettings& aSettings);

/**
 * Activates a configuration for requests that arrive from now on.
 * @return False when it is not newer than the active one.
 */
bool
GatewayAdoptConfig(GatewayState& aState,
                   const SharedGatewayConfig& aConfig,
                   const Now& aNow,
                   Rng& aRng,
                   GatewayDecisions& aOut);

/**
 * Tells how far the tables can be relied on.
 * @param aAge Time since they were known to be up to date with the store.
 * @param aNewerConfig Another daemon has a newer configuration, which may still
 * arrive in time.
 */
void
GatewaySetTableAge(GatewayState& aState,
                   Duration aAge,
                   bool aNewerConfig,
                   TimePoint aNow);

/** Takes a view of the fleet for the rates of organisations. */
void
GatewaySetCapView(GatewayState& aState,
                  const CapView& aView,
                  const Now& aNow,
                  Rng& aRng,
                  GatewayDecisions& aOut);

/** Replaces the list of backend servers. */
void
GatewayAdoptServers(GatewayState& aState,
                    const std::vector<BackendEntry>& aServers,
                    const Now& aNow,
                    Rng& aRng,
                    GatewayDecisions& aOut);

/**
 * Replaces the set of evacuated failure domains. Their servers get no further
 * requests; requests in flight are completed.
 * @return The domains that are new in the set, or no longer in it.
 */
EvacuationChange
GatewayAdoptEvacuations(GatewayState& aState,
                        const std::set<std::string>& aDomains,
                        const Now& aNow,
                        Rng& aRng,
                        GatewayDecisions& aOut);

/** Applies this daemon's role: its shares of connections and retry budget, and
 * whether connections are opened ahead of requests. */
void
GatewaySetRole(GatewayState& aState, const FleetRole& aRole);

/**
 * Joins another daemon's evidence on content that crashes servers.
 * @param aFingerprint Hash of the content.
 * @param aLeft Time until the evidence expires, if that is known.
 * @return Whether the content is quarantined from now on.
 */
bool
GatewayAdoptSuspect(GatewayState& aState,
                    std::uint64_t aFingerprint,
                    const CrashEvidence& aEvidence,
                    const Now& aNow,
                    Duration aLeft = Duration::max());

/**
 * Returns what this daemon adds to another one's report of a silent server.
 * @param aEvidence Evidence of any kind, after GatewayAdoptSuspect.
 */
std::optional<SuspectFound>
GatewayReplyToReport(GatewayState& aState,
                     const CrashEvidence& aEvidence,
                     const Now& aNow);

/** Rejects or forwards a request. Each gets exactly one ProxyAnswer, unless its
 * caller leaves. */
void
GatewayOnEvent(GatewayState& aState,
               const ProxyRequest& aRequest,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut);

/** Cancels the request of a caller that has left; it gets no answer. */
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

/** Takes what the server says of itself. */
void
GatewayOnEvent(GatewayState& aState,
               const UnreadAnswer& aUnread,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut);

void
GatewayOnEvent(GatewayState& aState,
               const BackendClosed& aClosed,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut);

/** Handles a message about the rate of an organisation. */
void
GatewayOnEvent(GatewayState& aState,
               const CapReceived& aReceived,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut);

/** Handles all timers that are due. */
void
GatewayOnEvent(GatewayState& aState,
               const Tick& aTick,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut);

/** Time of the next timer, when a Tick is due. */
TimePoint
GatewayNextWake(const GatewayState& aState);

/** Number of servers that are cold and whose services have a limit. */
std::size_t
CountColdServers(const GatewayState& aState);

/** Estimated share of this daemon's processor in use, per mille. */
std::uint32_t
GatewayCpuLoad(const GatewayState& aState);

/** Answers all requests before the process ends, and rejects those that could
 * hardly be answered by then. */
void
GatewayBeginStop(GatewayState& aState, const PlannedStop& aStop);

/** Number of requests without an answer. */
std::size_t
GatewayInFlight(const GatewayState& aState);

} // namespace camphorfield
