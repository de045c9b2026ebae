/** Waiting until a change is in force on all live daemons. */
#pragma once

#include "cli/settings.h"

namespace camphorfield {

/**
 * Polls a daemon's status until all live members report its generation.
 * @return False on timeout (--timeout-ms).
 */
bool
WaitUntilInForce(const OperatorFlags& aFlags);

} // namespace camphorfield
