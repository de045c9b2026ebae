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

/** Named value in a line. */
struct LogField
{
  std::string_view name_;
  std::string value_;
};

/**
 * Prepares the log.
 * @param aLevel Lines below it are left out.
 * @param aDaemon Name told in each line.
 */
void
InitLog(LogLevel aLevel, const std::string& aDaemon);

/**
 * Writes a line. Thread-safe. Lines beyond the bounds of LogLimits, and those
 * that the reader has no room for, are dropped; a line tells how many.
 * @param aWeight Routine lines are dropped first.
 */
void
WriteLog(LogLevel aLevel,
         std::string_view aMessage,
         std::initializer_list<LogField> aFields = {},
         LogWeight aWeight = LogWeight::Important);

/** Lines dropped since the start. */
std::uint64_t
CountDroppedLines();

/**
 * Level of a name.
 * @return LogLevel::End when there is no such level.
 */
LogLevel
ParseLogLevel(std::string_view aName);

} // namespace camphorfield
