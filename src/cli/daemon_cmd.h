/** The daemon's command. */
#pragma once

#include "cli/settings.h"

namespace camphorfield {

/**
 * Runs a daemon until it is stopped.
 * @return Exit status of the process.
 */
int
RunDaemon(DaemonFlags& aFlags);

} // namespace camphorfield
