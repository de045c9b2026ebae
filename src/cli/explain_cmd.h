/** Command that explains a request's outcome from collected logs. */
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

namespace camphorfield {

/** Flags of `camphorfield explain`. */
struct ExplainFlags
{
  std::string request_;
  std::vector<std::string> files_; ///< Empty: standard input.
};

void
AddExplainFlags(CLI::App& aApp, ExplainFlags& aFlags);

/** @return Exit status: 1 when no line mentions the request, 2 for unreadable
 * files. */
int
RunExplain(const ExplainFlags& aFlags);

} // namespace camphorfield
