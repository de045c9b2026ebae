/** Standing of servers: own observations first, reports as a bias. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Whether a server gets no new work because it is going away. */
bool
IsLeaving(const ServerState& aServer);

/** Whether no connection can be had. */
bool
IsDown(const RouteState& aState, ServerIndex aServer);

/** Whether a server is ejected or on probation. */
bool
IsEjected(const ServerState& aServer);

/** Standing for operators and choice. */
ServerStanding
GetStanding(const RouteState& aState, ServerIndex aServer, TimePoint aNow);

/** Whether a server is known to lack a snapshot. */
bool
LacksVersion(const ServerState& aServer,
             SnapshotVersion aVersion,
             TimePoint aNow);

/** Remember that a server lacks a snapshot. */
void
RecordMissingVersion(ServerState& aServer,
                     SnapshotVersion aVersion,
                     TimePoint aNow);

/** Count a good answer. */
void
RecordGoodAnswer(Step& aStep, const Sub& aSub, Duration aTime);

/** Count a failure that is the server's own. */
void
RecordFailure(Step& aStep, ServerIndex aServer);

/** A server took longer than this, how long is not known. */
void
RecordSlowAttempt(Step& aStep, ServerIndex aServer, Duration aAtLeast);

/** A server shed a request: lower its limit. */
void
RecordShed(Step& aStep, ServerIndex aServer);

/** Take up that a server is leaving or has come back. */
void
SetLeaving(Step& aStep, ServerIndex aServer, bool aLeaving, std::int64_t aAt);

/** Take up what an answer's headers say. */
void
ApplyAnswerHeaders(Step& aStep, ServerIndex aServer, const SubAnswer& aAnswer);

/** Take up an answer to a health check. */
void
ApplyHealthAnswer(Step& aStep, ServerIndex aServer, const SubAnswer& aAnswer);

/** Periodic care of one server: connections, health checks, ages. */
void
MaintainServer(Step& aStep, ServerIndex aServer);

} // namespace camphorfield
