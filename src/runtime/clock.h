/** Reads the system clocks for the decision cores. */
#pragma once

#include "core/time_type.h"

#include <chrono>

namespace camphorfield {

/** Current time of the steady clock and the wall clock. */
Now
ReadClock();

/** Total time that the machine was suspended since its boot; the steady clock
 * doesn't count it. */
Duration
ReadSuspension();

/** Converts a TimePoint to the standard steady clock's type. */
std::chrono::steady_clock::time_point
ToSteady(TimePoint aTime);

} // namespace camphorfield
