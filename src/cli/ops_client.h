/** Calls of the command line to a daemon's operator interface. */
#pragma once

#include "core/time_type.h"
#include "runtime/http_type.h"

#include <absl/status/statusor.h>
#include <string>

namespace camphorfield {

/**
 * Makes one call and waits for it; blocks the thread.
 * @param aAddress "IP:port".
 * @param aTimeout Give up after this.
 * @return The response, or Unavailable.
 */
absl::StatusOr<HttpResponse>
CallDaemon(const std::string& aAddress,
           const HttpRequest& aRequest,
           Duration aTimeout);

} // namespace camphorfield
