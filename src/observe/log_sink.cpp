// Limits the log volume under a flood of failures, and drops lines instead of
// blocking when the reader of the log stops reading.
#include "observe/log_sink.h"

#include <algorithm>
#include <chrono>
#include <poll.h>
#include <unistd.h>

namespace camphorfield {

LogTokenBucket
MakeLogTokenBucket(const LogLimits& aLimits, TimePoint aNow)
{
  LogTokenBucket bucket;
  bucket.limits_ = aLimits;
  bucket.lines_ = aLimits.linesPerSecond_ * aLimits.burstSeconds_;
  bucket.bytes_ = aLimits.bytesPerSecond_ * aLimits.burstSeconds_;
  bucket.filledAt_ = aNow;
  return bucket;
}

bool
AdmitLine(LogTokenBucket& aBucket,
          std::size_t aBytes,
          LogPriority aPriority,
          TimePoint aNow)
{
  const LogLimits& limits = aBucket.limits_;
  const double seconds =
    std::chrono::duration<double>(aNow - aBucket.filledAt_).count();
  const double maxLines = limits.linesPerSecond_ * limits.burstSeconds_;
  const double maxBytes = limits.bytesPerSecond_ * limits.burstSeconds_;
  aBucket.filledAt_ = aNow;
  aBucket.lines_ =
    std::min(aBucket.lines_ + seconds * limits.linesPerSecond_, maxLines);
  aBucket.bytes_ =
    std::min(aBucket.bytes_ + seconds * limits.bytesPerSecond_, maxBytes);
  const double reserved =
    aPriority == LogPriority::Routine ? limits.reservedShare_ : 0.0;
  const auto bytes = static_cast<double>(aBytes);
  if (aBucket.lines_ - 1.0 < maxLines * reserved ||
      aBucket.bytes_ - bytes < maxBytes * reserved) {
    ++aBucket.dropped_;
    return false;
  }
  aBucket.lines_ -= 1.0;
  aBucket.bytes_ -= bytes;
  return true;
}

// O_NONBLOCK is not set, because the descriptor may be shared with other
// processes. A pipe that polls as writable has room for a whole line.
bool
WriteNonBlocking(int aFile, std::string_view aLine)
{
  pollfd target{ aFile, POLLOUT, 0 };
  if (poll(&target, 1, 0) <= 0 || (target.revents & POLLOUT) == 0) {
    return false;
  }
  return write(aFile, aLine.data(), aLine.size()) ==
         static_cast<ssize_t>(aLine.size());
}

} // namespace camphorfield
