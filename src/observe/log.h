/** Structured log: one JSON object a line on standard output. */
#pragma once

#include "observe/log_sink.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace camphorfield {

/** Severity of a line. */
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
  End ///< Number of levels.
};

/** Named value of a line. */
struct LogField
{
  std::string_view name_;
  std::string value_;
};

/**
 * Prepares the log.
 * @param aLevel Lines of a lower level are not written.
 * @param aDaemon Name of the daemon, a field of each line.
 */
void
InitLog(LogLevel aLevel, const std::string& aDaemon);

/**
 * Writes a line. Thread-safe. Lines beyond LogLimits, and lines that the output
 * can't take without blocking, are dropped; a later line states their number.
 * @param aPriority Routine lines are dropped first.
 */
void
WriteLog(LogLevel aLevel,
         std::string_view aMessage,
         std::initializer_list<LogField> aFields = {},
         LogPriority aPriority = LogPriority::Important);

/** Number of lines dropped since the process started. */
std::uint64_t
CountDroppedLines();

/**
 * Converts the name of a level.
 * @return LogLevel::End when there is no such level.
 */
LogLevel
ParseLogLevel(std::string_view aName);

} // namespace camphorfield
