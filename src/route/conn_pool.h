/** Connections to backend servers, within the daemon's lot. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** An idle connection that may be used at once, or null. */
Connection*
FindIdle(RouteState& aState, ServerIndex aServer);

/** The idle connection that was used longest ago, or null. */
Connection*
FindOldestIdle(RouteState& aState, ServerIndex aServer);

/**
 * Open connections until aWanted are open or opening, as far as the lot and
 * the pause after failures allow.
 */
void
OpenUpTo(Step& aStep, ServerIndex aServer, std::uint32_t aWanted);

/** Close a connection; it counts against the lot until it has ended. */
void
CloseConn(Step& aStep, Connection& aConnection);

/** Close the idle connections of a server. */
void
CloseIdle(Step& aStep, ServerIndex aServer);

/** Let a busy connection be used again. */
void
ReleaseConn(Step& aStep, std::uint64_t aConnection, bool aReusable);

/** Note a connection that is open now. */
void
RecordOpened(Step& aStep, ConnectionId aId);

/** Note the end of a connection. The request on it is looked after elsewhere.
 */
void
RecordEnded(Step& aStep, const ConnectionEnded& aEvent);

/** Have idle connections pinged before they are used again. */
void
VerifyIdleConns(Step& aStep, ServerIndex aServer);

/** Connections of a server in a state. */
std::uint32_t
CountConns(const RouteState& aState, ServerIndex aServer, ConnState aWanted);

} // namespace camphorfield
