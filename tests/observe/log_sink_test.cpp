// The log must neither fill the disk nor block the process when its reader
// stops.
#include "observe/log_sink.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <string>
#include <unistd.h>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct BucketCase
{
  const char* name_;
  LogPriority weight_;
  std::size_t bytes_;
  double lines_; ///< Maximum number of lines in 10 s.
};

} // namespace

TEST_GROUP(LogSink){};

// Lines and bytes stay within LogLimits for each priority and line length.
TEST(LogSink, VolumeIsBounded)
{
  const LogLimits limits{ 100.0, 10000.0, 2.0, 0.5 };
  const std::vector<BucketCase> cases{
    { "routine", LogPriority::Routine, 50, 1000 + 100 },
    { "important", LogPriority::Important, 50, 1000 + 200 },
    { "long lines", LogPriority::Important, 1000, 100 + 20 },
  };
  for (const BucketCase& item : cases) {
    LogTokenBucket bucket = MakeLogTokenBucket(limits, TimePoint{ seconds(1) });
    std::uint64_t written = 0;
    for (int step = 0; step < 10000; ++step) {
      const TimePoint now{ seconds(1) + milliseconds(step) };
      written += AdmitLine(bucket, item.bytes_, item.weight_, now) ? 1 : 0;
    }
    CHECK_TEXT(static_cast<double>(written) <= item.lines_, item.name_);
    LONGS_EQUAL_TEXT(10000, written + bucket.dropped_, item.name_);
  }
}

TEST(LogSink, RoutineLinesAreDroppedFirst)
{
  LogTokenBucket bucket =
    MakeLogTokenBucket(LogLimits{ 10, 1e6, 2.0, 0.5 }, TimePoint{ seconds(1) });
  const TimePoint now{ seconds(1) };
  while (AdmitLine(bucket, 10, LogPriority::Routine, now)) {
  }
  CHECK_TRUE(AdmitLine(bucket, 10, LogPriority::Important, now));
}

// Lines are dropped while the pipe is full, because its reader stopped reading.
TEST(LogSink, FullPipeDropsLinesWithoutBlocking)
{
  int ends[2] = {};
  CHECK_TRUE(pipe(ends) == 0);
  const std::string line(999, 'x');
  std::size_t written = 0;
  std::size_t dropped = 0;
  for (int i = 0; i < 1000; ++i) {
    (WriteNonBlocking(ends[1], line + "\n") ? written : dropped) += 1;
  }
  CHECK_TRUE(dropped > 0);
  std::string read(kMaxLogLineBytes, '\0');
  std::size_t bytes = 0;
  close(ends[1]);
  for (ssize_t got = 1; got > 0;) {
    got = ::read(ends[0], read.data(), read.size());
    bytes += got > 0 ? static_cast<std::size_t>(got) : 0;
  }
  close(ends[0]);
  LONGS_EQUAL(written * 1000, bytes);
}
