/** HTTP interface for callers. */
#pragma once

#include "runtime/host.h"
#include "runtime/http_server.h"

namespace camphorfield {

/**
 * Serves one request of a caller; suspends the fiber until it is answered.
 * @param aHost The daemon's host.
 * @param aRequest Request as received.
 * @param aSession Connection that the request arrived on.
 */
HttpResponse
ServeCaller(Host& aHost, const HttpRequest& aRequest, HttpSession& aSession);

} // namespace camphorfield
