/** Functions shared by the sources of the server stand-in. */
#pragma once

#include "standin/server_base.h"

namespace camphorfield::standin {

/** Answer that says that the request did not run. */
HttpReply
NotRunReply(FarmServer& aServer, unsigned aStatus);

/** Add draining and load labels. */
void
AddServerLabels(const FarmServer& aServer, HttpReply& aReply);

/** Answer of a query or order that ran to its end, faults included. */
HttpReply
CompletedReply(FarmServer& aServer, const FarmRequest& aRequest);

/** Answer of the health endpoint. */
HttpReply
HealthReply(FarmServer& aServer);

/** Service time of one request. */
std::chrono::microseconds
DrawServiceTime(FarmServer& aServer);

/** Random draw: true with probability aShare. */
bool
Chance(ServerFarm& aFarm, double aShare);

/** Run waiting requests while slots are free. */
void
FillSlots(FarmServer& aServer);

/** Stop a query that runs or waits under a request id. */
void
CancelRequest(FarmServer& aServer, const std::string& aRequestId);

} // namespace camphorfield::standin
