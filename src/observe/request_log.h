/** Log lines of the gateway's decisions. */
#pragma once

#include "gateway/gateway_type.h"
#include "machine/timeline_type.h"

namespace camphorfield {

/** Logs the outcome of a request; a successful one is a routine line. */
void
LogRequest(const RequestRecord& aRecord);

/** Logs a change of a backend server's health state. */
void
LogBackendChange(const BackendRecord& aRecord);

/** Logs a request that may have crashed its server. */
void
LogSuspicion(const SuspicionRecord& aRecord);

/** Logs a change of another daemon's membership state. */
void
LogMembershipChange(const TimelineRecord& aRecord);

} // namespace camphorfield
