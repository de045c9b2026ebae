/** Rate-limited, non-blocking output of log lines. */
#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <string_view>

namespace camphorfield {

/** Rate limits of one process's log. */
struct LogLimits
{
  double linesPerSecond_ = 200.0;       ///< Sustained rate.
  double bytesPerSecond_ = 64.0 * 1024; ///< Sustained rate.
  double burstSeconds_ = 3.0; ///< Burst size, in seconds at the sustained rate.
  double reservedShare_ = 0.5; ///< Burst share kept for Important lines.
};

/** Decides which lines are dropped first. */
enum class LogPriority : std::uint8_t
{
  Routine,   ///< A successful request.
  Important, ///< Failures, health changes, start and stop of the process.
  End        ///< Number of priorities.
};

/** Token bucket over lines and bytes, with the counts of dropped lines. */
struct LogTokenBucket
{
  LogLimits limits_;
  double lines_ = 0.0; ///< Line tokens left.
  double bytes_ = 0.0; ///< Byte tokens left.
  TimePoint filledAt_{};
  std::uint64_t dropped_ = 0;         ///< Since the start.
  std::uint64_t droppedReported_ = 0; ///< Of these, reported in a log line.
};

/** Creates a full bucket. */
LogTokenBucket
MakeLogTokenBucket(const LogLimits& aLimits, TimePoint aNow);

/**
 * Takes the tokens for one line.
 * @return False when the line must be dropped; it is then counted as dropped.
 */
bool
AdmitLine(LogTokenBucket& aBucket,
          std::size_t aBytes,
          LogPriority aPriority,
          TimePoint aNow);

/** Longest line in bytes; a pipe accepts such a write whole or not at all. */
constexpr std::size_t kMaxLogLineBytes = 4000;

/**
 * Writes a line if that is possible without blocking.
 * @param aFile File descriptor.
 * @param aLine At most kMaxLogLineBytes bytes, including its line feed.
 * @return False when nothing was written.
 */
bool
WriteNonBlocking(int aFile, std::string_view aLine);

} // namespace camphorfield
