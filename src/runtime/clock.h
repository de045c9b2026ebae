/** Reading of the clocks that the decision core is handed. */
#pragma once

#include "core/time_type.h"

#include <chrono>

namespace camphorfield {

/** Current time of the runtime's clock and the wall clock. */
Now
ReadClock();

/** Time in which the machine has been suspended since it started; the clock of
 * the runtime doesn't count it. */
Duration
ReadSuspension();

/** Time of the standard steady clock that equals a time of ours. */
std::chrono::steady_clock::time_point
ToSteady(TimePoint aTime);

} // namespace camphorfield
