/** Page of all settings, rendered from the flags themselves. */
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace camphorfield {

/**
 * Renders the flags of a program's commands with their environment variables
 * and defaults, as docs/SETTINGS.md has them.
 */
std::string
RenderSettings(const CLI::App& aProgram);

} // namespace camphorfield
