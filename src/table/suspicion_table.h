/** Names for the log of requests that may crash servers. */
#pragma once

#include "gateway/gateway_type.h"

#include <array>

namespace camphorfield {

/** Log messages by event. */
constexpr std::array<const char*, static_cast<std::size_t>(SuspicionEvent::End)>
  kSuspicionMessages{ "connection broke under a request",
                      "server crashed under a request",
                      "content quarantined",
                      "server did not crash under a request" };

/** Names of the reasons for the end of a connection. */
constexpr std::array<const char*, static_cast<std::size_t>(BackendEnd::End)>
  kBackendEndNames{ "refused", "timed out", "closed",
                    "reset",   "malformed", "no memory" };
// A missing name would be null, and end the process that logs it.
static_assert(kBackendEndNames.back() != nullptr);

} // namespace camphorfield
