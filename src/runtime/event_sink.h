/** Where the drivers hand in their events. */
#pragma once

#include "machine/event_type.h"

#include <functional>

namespace camphorfield {

/** Takes an event from any thread; never waits for a fiber. */
using EventSink = std::function<void(const Event&)>;

} // namespace camphorfield
