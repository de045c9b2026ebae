/** Sub-requests through the home daemons of servers. */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Put a sub-request into the batch for a home of its server. */
void
RelaySub(Step& aStep, Sub& aSub, SubRequest aRequest);

/** Send all batches that are being filled. */
void
FlushRelays(Step& aStep);

/** Send the answers that this step produced for peers. */
void
FlushRelayAnswers(Step& aStep);

/** Run a peer's sub-requests. */
void
HandleRelayBatch(Step& aStep, DaemonId aFrom, const RelayBatch& aBatch);

/** Take answers from a home. */
void
HandleRelayAnswers(Step& aStep, DaemonId aFrom, const RelayAnswers& aAnswers);

/** A home can't be reached: its sub-requests go elsewhere. */
void
HandleHomeUnreachable(Step& aStep, const PeerUnreachable& aEvent);

/** A home did not answer in time. */
void
BackOffHome(Step& aStep, DaemonId aHome);

/** The deadline of a peer's sub-request has come. */
void
ExpireRelayed(Step& aStep, std::uint64_t aKey);

} // namespace camphorfield
