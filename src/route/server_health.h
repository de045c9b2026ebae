/**
 * Health of servers: ejection, concurrency limits, latency and versions. Own
 * observations decide; load reports of servers only add a bias.
 */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Whether a server is leaving or drained; it gets no new work then. */
bool
IsLeaving(const ServerState& aServer);

/** Whether connects fail and no connection is open. */
bool
IsDown(const RouteState& aState, ServerIndex aServer);

/** Whether a server is ejected or on probation after an ejection. */
bool
IsEjected(const ServerState& aServer);

/** Standing of a server, for operators. */
ServerStanding
GetStanding(const RouteState& aState, ServerIndex aServer, TimePoint aNow);

/** Whether a server is known to lack a snapshot. */
bool
LacksVersion(const ServerState& aServer,
             SnapshotVersion aVersion,
             TimePoint aNow);

/** Record that a server lacks a snapshot, for kMissingVersionTtl. */
void
RecordMissingVersion(ServerState& aServer,
                     SnapshotVersion aVersion,
                     TimePoint aNow);

/** Record a good answer and its latency. */
void
RecordGoodAnswer(Step& aStep, const Sub& aSub, Duration aTime);

/** Record a failure of a server; may eject it. */
void
RecordFailure(Step& aStep, ServerIndex aServer);

/** Record that a request has taken at least this long on a server. */
void
RecordSlowAttempt(Step& aStep, ServerIndex aServer, Duration aAtLeast);

/** Record that a server shed a request: pause it and lower its limit. */
void
RecordShed(Step& aStep, ServerIndex aServer);

/**
 * Set whether a server is leaving.
 * @param aAt Unix microseconds of the report; older reports are ignored.
 */
void
SetLeaving(Step& aStep, ServerIndex aServer, bool aLeaving, std::int64_t aAt);

/** Apply the load and draining headers of an answer. */
void
ApplyAnswerHeaders(Step& aStep, ServerIndex aServer, const SubAnswer& aAnswer);

/** Apply an answer to a health check. */
void
ApplyHealthAnswer(Step& aStep, ServerIndex aServer, const SubAnswer& aAnswer);

/** Maintain a server: health checks, warm connections, age of connections. */
void
MaintainServer(Step& aStep, ServerIndex aServer);

} // namespace camphorfield
