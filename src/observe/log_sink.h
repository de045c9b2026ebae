/** Bounded output of log lines that never blocks the process. */
#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <string_view>

namespace camphorfield {

/** Bounds of one process's log. */
struct LogLimits
{
  double linesPerSecond_ = 200.0;       ///< Allowed in the long run.
  double bytesPerSecond_ = 64.0 * 1024; ///< Allowed in the long run.
  double burstSeconds_ = 3.0;           ///< Saved up while it is quiet.
  double reservedShare_ = 0.5;          ///< Kept for what matters most.
};

/** How much a line matters when lines must be dropped. */
enum class LogWeight : std::uint8_t
{
  Routine,   ///< A request that went well.
  Important, ///< Failures, changes of what is believed, life of the process.
  End        ///< Number of weights.
};

/** What may be written, and what was dropped. */
struct LogBucket
{
  LogLimits limits_;
  double lines_ = 0.0; ///< Tokens left.
  double bytes_ = 0.0;
  TimePoint filledAt_{};
  std::uint64_t dropped_ = 0;     ///< In total.
  std::uint64_t droppedTold_ = 0; ///< Of these, told in the log.
};

/** A bucket that is full. */
LogBucket
MakeLogBucket(const LogLimits& aLimits, TimePoint aNow);

/**
 * Takes leave for one line.
 * @return False when it must be dropped; it is counted then.
 */
bool
TakeLine(LogBucket& aBucket,
         std::size_t aBytes,
         LogWeight aWeight,
         TimePoint aNow);

/** Longest line; a pipe takes so much whole or not at all. */
constexpr std::size_t kMaxLogLine = 4000;

/**
 * Writes a line if that doesn't block.
 * @param aFile File descriptor.
 * @param aLine At most kMaxLogLine bytes, with its end of line.
 * @return False when nothing was written.
 */
bool
WriteUnblocked(int aFile, std::string_view aLine);

} // namespace camphorfield
