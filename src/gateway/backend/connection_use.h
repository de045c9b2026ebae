/** Which connections are worth keeping, PlacementMode::Cost. */
#pragma once

#include "gateway/gateway_base.h"

namespace camphorfield {

/** Slot time that a new connection costs its server. */
constexpr Duration kNewConnectionCost = milliseconds(6);

/** An unneeded attempt is closed after this time at the latest: its server
 * pauses. A caller that left has its work cancelled within half a second. */
constexpr Duration kMaxAbandonedTime = kNewConnectionCost * 4;

/** Whether an unneeded attempt costs its server less than the new connection
 * that takes the place of a closed one. */
bool
IsWorthFinishing(const GatewayState& aState,
                 const Backend& aBackend,
                 const Attempt& aAttempt,
                 TimePoint aNow);

/**
 * Connections that recent use justifies.
 * @param aSpare Most connections beyond those in use.
 */
std::uint32_t
JustifiedConnections(const GatewayState& aState,
                     const Backend& aBackend,
                     std::uint32_t aSpare,
                     TimePoint aNow);

/** Records the number of own requests in flight. */
void
RecordUse(Backend& aBackend, TimePoint aNow);

/** Records that a request could have used a connection. */
void
RecordWanted(Backend& aBackend, TimePoint aNow);

} // namespace camphorfield
