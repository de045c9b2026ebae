/** Function through which drivers report events. */
#pragma once

#include "machine/event_type.h"

#include <functional>

namespace camphorfield {

/** Accepts an event on any thread; never suspends the calling fiber. */
using EventSink = std::function<void(const Event&)>;

} // namespace camphorfield
