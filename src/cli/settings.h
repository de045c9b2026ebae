/** Flags and environment variables of all commands. */
#pragma once

#include "daemon/daemon_type.h"
#include "observe/log.h"

#include <CLI/CLI.hpp>
#include <absl/status/status.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace camphorfield {

/** Settings of a daemon before validation. */
struct DaemonFlags
{
  DaemonSettings settings_;
  std::string seeds_;    ///< Peer addresses joined by commas.
  std::string logLevel_; ///< Name of a LogLevel.
  std::uint64_t entriesKeepMillis_ = 0;
  std::uint64_t stopLimitSeconds_ = 0;
};

/** Settings of the operator commands. */
struct OperatorFlags
{
  std::string address_;          ///< "IP:port" of a daemon.
  std::string file_;             ///< Change document.
  std::string changeId_;         ///< Id of the change; empty: generated.
  bool wait_ = false;            ///< Wait until all live daemons have it.
  std::uint64_t generation_ = 0; ///< Rollback only.
  std::uint64_t timeoutMillis_ = 0;
  std::string filter_; ///< Timeline only: text that printed lines contain.
  std::string format_; ///< Timeline only: text, json or trace.
};

/** Adds the daemon's flags to a command. */
void
AddDaemonFlags(CLI::App& aApp, DaemonFlags& aFlags);

/** Adds the flags that all operator commands share. */
void
AddOperatorFlags(CLI::App& aApp, OperatorFlags& aFlags);

/** Time that an operator command waits for a daemon. */
Duration
TimeoutOf(const OperatorFlags& aFlags);

/**
 * Checks the daemon's flags and completes aFlags.settings_.
 * @return InvalidArgument with a numbered message for each fault.
 */
absl::Status
CheckDaemonFlags(DaemonFlags& aFlags);

} // namespace camphorfield
