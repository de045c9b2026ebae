/** Page of all settings, rendered from the flag definitions. */
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace camphorfield {

/**
 * Renders the flags of a program's commands with their environment variables
 * and defaults, for docs/SETTINGS.md.
 */
std::string
RenderSettings(const CLI::App& aProgram);

} // namespace camphorfield
