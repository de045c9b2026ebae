/** The command that runs a gateway on the users' platform. */
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace camphorfield {

/** Settings of the gateway that the platform's file doesn't hold. */
struct GatewayFlags
{
  std::string logLevel_ = "info"; ///< Name of a LogLevel.
};

/** Adds the gateway's flags to a command. */
void
AddGatewayFlags(CLI::App& aApp, GatewayFlags& aFlags);

/**
 * Runs until SIGTERM and the graceful shutdown after it.
 * @return Exit status: 0, or 2 when the settings are at fault.
 */
int
RunGateway(const GatewayFlags& aFlags);

} // namespace camphorfield
