/** The runtime's clock as the decision core sees it: a value handed in. */
#pragma once

#include <chrono>
#include <cstdint>

namespace camphorfield {

using Duration = std::chrono::microseconds;

/** Monotonic clock of the runtime. The core never reads it. */
struct RuntimeClock
{
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<RuntimeClock, Duration>;
};

using TimePoint = RuntimeClock::time_point;

constexpr TimePoint kNever = TimePoint::max(); ///< No time at all.

/** The time of one step of the decision core. */
struct Now
{
  TimePoint mono_; ///< Monotonic time, for deadlines and intervals.
  std::int64_t unixMicros_ = 0; ///< Wall clock, for time inside keys only.
};

} // namespace camphorfield
