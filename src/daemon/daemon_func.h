/** Entry points of the daemon: a deterministic state machine that turns events
 * into decisions. */
#pragma once

#include "core/rng_type.h"
#include "daemon/daemon_base.h"
#include "machine/decision_type.h"

#include <string>

namespace camphorfield {

/**
 * Makes the state of a daemon that has just started.
 * @param aSettings Checked settings.
 */
DaemonState
MakeDaemonState(const DaemonSettings& aSettings, const Now& aNow, Rng& aRng);

/**
 * Handles one event: forwards it to the packages concerned, then forwards their
 * internal decisions, until only decisions for the host are left.
 * @param aOut Decisions for the host are appended.
 */
void
DaemonOnEvent(DaemonState& aState,
              const Event& aEvent,
              const Now& aNow,
              Rng& aRng,
              Decisions& aOut);

/** When the next Tick is due. */
TimePoint
DaemonNextWake(const DaemonState& aState);

/** Requests without an answer yet. */
DaemonInFlight
GetInFlight(const DaemonState& aState);

/** Members, generations and servers as a JSON document for operators. */
std::string
RenderStatus(const DaemonState& aState, const Now& aNow);

} // namespace camphorfield
