/** Time types; the host passes the time to the decision core. */
#pragma once

#include <chrono>
#include <cstdint>

namespace camphorfield {

using Duration = std::chrono::microseconds;

/** Tag of the runtime's monotonic clock; has no now(). */
struct RuntimeClock
{
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<RuntimeClock, Duration>;
};

using TimePoint = RuntimeClock::time_point;

constexpr TimePoint kNever = TimePoint::max(); ///< Unset, or never due.

/** Current time, fixed for one step of the decision core. */
struct Now
{
  TimePoint mono_; ///< Monotonic time, for deadlines and intervals.
  std::int64_t unixMicros_ = 0; ///< Wall clock, for time stamps in keys only.
};

} // namespace camphorfield
