/** Connections to backend servers, within the quota of this daemon. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Find a verified idle connection, or null. */
Connection*
FindIdle(RouteState& aState, ServerIndex aServer);

/** Find the least recently used idle connection, verified or not, or null. */
Connection*
FindOldestIdle(RouteState& aState, ServerIndex aServer);

/** Open connections until aWanted are open or opening, limited by the quota
 * and by the backoff after failed connects.
 */
void
OpenUpTo(Step& aStep, ServerIndex aServer, std::uint32_t aWanted);

/** Close a connection; it counts against the quota until it has ended. */
void
CloseConn(Step& aStep, Connection& aConnection);

/** Close the idle connections of a server. */
void
CloseIdle(Step& aStep, ServerIndex aServer);

/** Return a busy connection to the pool, or close it if not reusable. */
void
ReleaseConn(Step& aStep, std::uint64_t aConnection, bool aReusable);

/** Mark a connection as open and idle. */
void
RecordOpened(Step& aStep, ConnectionId aId);

/** Free an ended connection. HandleConnectionEnd deals with its request. */
void
RecordEnded(Step& aStep, const ConnectionEnded& aEvent);

/** Send a health check on every idle connection before it is reused. */
void
VerifyIdleConns(Step& aStep, ServerIndex aServer);

/** Count the connections of a server that are in a state. */
std::uint32_t
CountConns(const RouteState& aState, ServerIndex aServer, ConnState aWanted);

} // namespace camphorfield
