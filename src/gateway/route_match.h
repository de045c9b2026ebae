/** Which route a request belongs to, and where a divided route sends it. */
#pragma once

#include "gateway/gateway_base.h"

#include <string_view>

namespace camphorfield {

/**
 * Route of a request: of the routes of its host, the one with the longest
 * prefix.
 * @param aHost Value of the host field; a port in it is ignored.
 * @return Null when no route matches.
 */
const GatewayRoute*
FindRoute(const GatewayConfig& aConfig,
          std::string_view aHost,
          std::string_view aPath);

/**
 * Service of the next request of a plain route.
 * @param aLoad Keeps the turns of the shares.
 */
const std::string&
ChooseService(const GatewayRoute& aRoute, RouteLoad& aLoad);

} // namespace camphorfield
