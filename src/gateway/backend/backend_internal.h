/** Functions on backend servers and on connections to them. */
#pragma once

#include "gateway/gateway_internal.h"

namespace camphorfield {

// backend_table.cpp

/** Returns the number of a service, and adds the service if it is new. */
ServiceNumber
FindOrAddService(GatewayState& aState, const std::string& aName);

/** Services of a route of the configuration in force, in its order. */
const std::vector<ServiceNumber>&
ServicesOf(const GatewayState& aState, const GatewayRoute& aRoute);

/** Schedules a service's queue for DispatchMarked. */
void
MarkService(GatewayState& aState, ServiceNumber aService);

/** Frees a server that is no longer listed and has no connections. */
void
FreeIfUnused(GatewayState& aState, std::uint64_t aBackend);

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

} // namespace camphorfield
