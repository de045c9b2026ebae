/**
 * Relay of sub-requests through home daemons. A home daemon of a server keeps
 * connections to it and runs sub-requests for its peers.
 */
#pragma once

#include "route/route_base.h"

namespace camphorfield {

/** Add a sub-request to the batch for a home daemon of its server. */
void
RelaySub(Step& aStep, Sub& aSub, SubRequest aRequest);

/** Send all pending batches. */
void
FlushRelays(Step& aStep);

/** Send the answers to peers that this step produced. */
void
FlushRelayAnswers(Step& aStep);

/** Queue the sub-requests of a peer. */
void
HandleRelayBatch(Step& aStep, DaemonId aFrom, const RelayBatch& aBatch);

/** Handle answers from a home daemon. */
void
HandleRelayAnswers(Step& aStep, DaemonId aFrom, const RelayAnswers& aAnswers);

/** End the sub-requests of a batch that did not reach its home daemon. */
void
HandleHomeUnreachable(Step& aStep, const PeerUnreachable& aEvent);

/** Avoid a home daemon for kRelayBackoff. */
void
BackOffHome(Step& aStep, DaemonId aHome);

/** End a peer's sub-request that is still waiting at its deadline. */
void
ExpireRelayed(Step& aStep, std::uint64_t aKey);

} // namespace camphorfield
