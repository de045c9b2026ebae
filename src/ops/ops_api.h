/** HTTP interface for operators. */
#pragma once

#include "runtime/host.h"
#include "runtime/http_server.h"

namespace camphorfield {

/**
 * Serves one request of an operator; suspends the fiber until it is answered.
 * @param aHost The daemon's host.
 * @param aRequest Request as received.
 * @param aSession Connection that the request arrived on.
 */
HttpResponse
ServeOperator(Host& aHost, const HttpRequest& aRequest, HttpSession& aSession);

} // namespace camphorfield
