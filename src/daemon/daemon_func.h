/** Entry points of the daemon machine. */
#pragma once

#include "core/rng_type.h"
#include "daemon/daemon_base.h"
#include "machine/decision_type.h"

#include <string>

namespace camphorfield {

/**
 * State of a daemon that has just started.
 * @param aSettings Checked settings.
 */
DaemonState
MakeDaemonState(const DaemonSettings& aSettings, const Now& aNow, Rng& aRng);

/**
 * Takes one step: hands the event to the packages concerned, and what they
 * tell each other back to them, until only decisions for the host are left.
 * @param aOut Decisions for the host are appended.
 */
void
DaemonOnEvent(DaemonState& aState,
              const Event& aEvent,
              const Now& aNow,
              Rng& aRng,
              Decisions& aOut);

/** When the daemon wants a Tick. */
TimePoint
DaemonNextWake(const DaemonState& aState);

/** What is in flight. */
DaemonInFlight
GetInFlight(const DaemonState& aState);

/** Members, generations and servers as a JSON document for operators. */
std::string
RenderStatus(const DaemonState& aState, const Now& aNow);

} // namespace camphorfield
