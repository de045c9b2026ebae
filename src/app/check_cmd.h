/** The command that checks a configuration before it is published. */
#pragma once

#include "cli/settings.h"

#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>

namespace camphorfield {

/** Flags of the check command. */
struct CheckFlags
{
  OperatorFlags operator_; ///< file_ and, for change documents, address_.
  std::string against_;    ///< Configuration in force; empty: no comparison.
  std::string format_ = "text";
  double quotaWindowSeconds_ = 5.0;
  std::uint32_t serversPerService_ = 3;
};

void
AddCheckFlags(CLI::App& aApp, CheckFlags& aFlags);

/**
 * Checks a gateway's configuration here, and any other document by a daemon.
 * @return 0 without errors, 1 with errors, 2 if it could not be checked.
 */
int
RunCheckCommand(const CheckFlags& aFlags);

} // namespace camphorfield
