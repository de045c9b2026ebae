/** Command "gateway": runs a gateway on the users' platform. */
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace camphorfield {

/** Command-line settings; the others come from the platform's file. */
struct GatewayFlags
{
  std::string logLevel_ = "info";   ///< Name of a LogLevel.
  std::string placement_ = "count"; ///< Name of a PlacementMode.
};

/** Adds the gateway's flags to a command. */
void
AddGatewayFlags(CLI::App& aApp, GatewayFlags& aFlags);

/**
 * Runs a gateway until SIGTERM or SIGINT and the end of its graceful shutdown.
 * @return 2 when the settings are invalid. Otherwise the process exits from
 * within: with 0, or with 2 when an address can't be bound.
 */
int
RunGateway(const GatewayFlags& aFlags);

} // namespace camphorfield
