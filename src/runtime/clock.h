/** Reading of the clocks that the decision core is handed. */
#pragma once

#include "core/time_type.h"

#include <chrono>

namespace camphorfield {

/** Current time of the runtime's clock and the wall clock. */
Now
ReadClock();

/** Time of the standard steady clock that equals a time of ours. */
std::chrono::steady_clock::time_point
ToSteady(TimePoint aTime);

} // namespace camphorfield
