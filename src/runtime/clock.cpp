// System clocks. The difference of boot time and steady time shows how long the
// VM was suspended.
#include "runtime/clock.h"

#include <ctime>

namespace camphorfield {

namespace {

Duration
ReadSystemClock(clockid_t aClock)
{
  timespec time{};
  clock_gettime(aClock, &time);
  return std::chrono::duration_cast<Duration>(
    std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

Now
ReadClock()
{
  using std::chrono::duration_cast;
  Now now;
  now.mono_ = TimePoint(duration_cast<Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
  now.unixMicros_ =
    duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())
      .count();
  return now;
}

Duration
ReadSuspension()
{
  return ReadSystemClock(CLOCK_BOOTTIME) - ReadSystemClock(CLOCK_MONOTONIC);
}

std::chrono::steady_clock::time_point
ToSteady(TimePoint aTime)
{
  return std::chrono::steady_clock::time_point(aTime.time_since_epoch());
}

} // namespace camphorfield
