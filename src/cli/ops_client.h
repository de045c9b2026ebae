/** HTTP client of the command line for a daemon's operator interface. */
#pragma once

#include "core/time_type.h"
#include "runtime/http_type.h"

#include <absl/status/statusor.h>
#include <string>

namespace camphorfield {

/**
 * Sends one request and blocks until it is answered.
 * @param aAddress "IP:port".
 * @param aTimeout Limit for connecting and again for the exchange.
 * @return The response, or Unavailable.
 */
absl::StatusOr<HttpResponse>
CallDaemon(const std::string& aAddress,
           const HttpRequest& aRequest,
           Duration aTimeout);

} // namespace camphorfield
