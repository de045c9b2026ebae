/** Time limit of one frame between daemons. */
#pragma once

#include "core/time_type.h"

#include <cstddef>

namespace camphorfield {

/** Rate of the slowest link between daemons: 20 Mbit/s. */
constexpr std::size_t kSlowestLinkBytesPerSecond = 2500UL * 1000;
/** For each frame beside the time of its bytes: a suspended VM or a busy event
 * loop delays small frames as much as large ones. */
constexpr Duration kFrameSlack = std::chrono::seconds(10);

/** Time within which a whole frame is sent or received. */
constexpr Duration
FrameTimeout(std::size_t aBytes, Duration aSlack = kFrameSlack)
{
  constexpr std::size_t kMicrosPerSecond = 1000UL * 1000;
  return aSlack + std::chrono::microseconds(aBytes * kMicrosPerSecond /
                                            kSlowestLinkBytesPerSecond);
}

} // namespace camphorfield
