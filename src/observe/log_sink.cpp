#include "observe/log_sink.h"

#include <algorithm>
#include <chrono>
#include <poll.h>
#include <unistd.h>

namespace camphorfield {

LogBucket
MakeLogBucket(const LogLimits& aLimits, TimePoint aNow)
{
  LogBucket bucket;
  bucket.limits_ = aLimits;
  bucket.lines_ = aLimits.linesPerSecond_ * aLimits.burstSeconds_;
  bucket.bytes_ = aLimits.bytesPerSecond_ * aLimits.burstSeconds_;
  bucket.filledAt_ = aNow;
  return bucket;
}

bool
TakeLine(LogBucket& aBucket,
         std::size_t aBytes,
         LogWeight aWeight,
         TimePoint aNow)
{
  const LogLimits& limits = aBucket.limits_;
  const double seconds =
    std::chrono::duration<double>(aNow - aBucket.filledAt_).count();
  const double mostLines = limits.linesPerSecond_ * limits.burstSeconds_;
  const double mostBytes = limits.bytesPerSecond_ * limits.burstSeconds_;
  aBucket.filledAt_ = aNow;
  aBucket.lines_ =
    std::min(aBucket.lines_ + seconds * limits.linesPerSecond_, mostLines);
  aBucket.bytes_ =
    std::min(aBucket.bytes_ + seconds * limits.bytesPerSecond_, mostBytes);
  const double kept =
    aWeight == LogWeight::Routine ? limits.reservedShare_ : 0.0;
  const auto bytes = static_cast<double>(aBytes);
  if (aBucket.lines_ - 1.0 < mostLines * kept ||
      aBucket.bytes_ - bytes < mostBytes * kept) {
    ++aBucket.dropped_;
    return false;
  }
  aBucket.lines_ -= 1.0;
  aBucket.bytes_ -= bytes;
  return true;
}

// The descriptor may be shared with other processes, so its mode is left
// alone. A pipe that polls as writable has room for a whole line.
bool
WriteUnblocked(int aFile, std::string_view aLine)
{
  pollfd target{ aFile, POLLOUT, 0 };
  if (poll(&target, 1, 0) <= 0 || (target.revents & POLLOUT) == 0) {
    return false;
  }
  return write(aFile, aLine.data(), aLine.size()) ==
         static_cast<ssize_t>(aLine.size());
}

} // namespace camphorfield
