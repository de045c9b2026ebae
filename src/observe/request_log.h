/** Log lines of the gateway's decisions. */
#pragma once

#include "gateway/gateway_type.h"
#include "machine/timeline_type.h"

namespace camphorfield {

/** Writes how a request ended; one that went well is a routine line. */
void
LogRequest(const RequestRecord& aRecord);

/** Writes a change of what is believed of a server. */
void
LogBackendChange(const BackendRecord& aRecord);

/** Writes a change of what is believed of another daemon. */
void
LogMembershipChange(const TimelineRecord& aRecord);

} // namespace camphorfield
