#include "runtime/clock.h"

namespace camphorfield {

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

std::chrono::steady_clock::time_point
ToSteady(TimePoint aTime)
{
  return std::chrono::steady_clock::time_point(aTime.time_since_epoch());
}

} // namespace camphorfield
