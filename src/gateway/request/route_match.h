/** Selection of a request's route, and of the service of a weighted route. */
#pragma once

#include "gateway/gateway_base.h"

#include <string_view>

namespace camphorfield {

/**
 * Finds the route of a request: the longest matching prefix of its host.
 * @param aHost Value of the Host field; a port is ignored.
 * @return Null when no route matches.
 */
const GatewayRoute*
FindRoute(const GatewayConfig& aConfig,
          std::string_view aHost,
          std::string_view aPath);

/**
 * Chooses the service of the next request of a plain route.
 * @param aLoad Holds the round robin state.
 */
const std::string&
ChooseService(const GatewayRoute& aRoute, RouteLoad& aLoad);

} // namespace camphorfield
