// Log output of all threads. A reader that stops reading the pipe, or a flood
// of lines, must not block the process: such lines are dropped and counted.
#include "observe/log.h"

#include <array>
#include <atomic>
#include <boost/json.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <chrono>
#include <mutex>
#include <unistd.h>

namespace camphorfield {

namespace {

constexpr std::array<const char*, static_cast<std::size_t>(LogLevel::End)>
  kLevelNames{ "debug", "info", "warning", "error" };

constexpr std::size_t kMaxLogFieldBytes = 900; ///< Longer values are truncated.

/** Set once at start, before other threads run. */
struct LogSettings
{
  LogLevel level_ = LogLevel::Info;
  std::string daemon_;
};

LogSettings&
Settings()
{
  static LogSettings settings;
  return settings;
}

/** Output state shared by all threads. */
struct LogOutput
{
  std::mutex mutex_; ///< Guards bucket_; taken after any other lock.
  LogTokenBucket bucket_ = MakeLogTokenBucket(LogLimits{}, MonotonicNow());
  std::atomic<std::uint64_t> dropped_{ 0 };

  static TimePoint MonotonicNow()
  {
    return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
  }
};

LogOutput&
Output()
{
  static LogOutput output;
  return output;
}

/** Boost.Log backend that writes whole lines without blocking. */
class NonBlockingBackend
  : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
  void consume(const boost::log::record_view&, const std::string& aLine)
  {
    if (!WriteNonBlocking(STDOUT_FILENO, aLine + "\n")) {
      LogOutput& output = Output();
      const std::lock_guard lock(output.mutex_);
      ++output.bucket_.dropped_;
    }
  }
};

std::int64_t
UnixMicros()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
RenderLine(LogLevel aLevel,
           std::string_view aMessage,
           std::initializer_list<LogField> aFields,
           std::uint64_t aDropped)
{
  const LogSettings& settings = Settings();
  boost::json::object line;
  line["time_us"] = UnixMicros();
  line["level"] = kLevelNames[static_cast<std::size_t>(aLevel)];
  line["daemon"] = settings.daemon_;
  line["message"] = std::string(aMessage);
  if (aDropped > 0) {
    line["lines_dropped_before"] = aDropped;
  }
  for (const LogField& field : aFields) {
    if (!field.value_.empty()) {
      line[boost::json::string_view(field.name_.data(), field.name_.size())] =
        field.value_.substr(0, kMaxLogFieldBytes);
    }
  }
  return boost::json::serialize(line);
}

} // namespace

void
InitLog(LogLevel aLevel, const std::string& aDaemon)
{
  Settings() = LogSettings{ aLevel, aDaemon };
  using Sink = boost::log::sinks::synchronous_sink<NonBlockingBackend>;
  boost::log::core::get()->add_sink(boost::make_shared<Sink>());
}

void
WriteLog(LogLevel aLevel,
         std::string_view aMessage,
         std::initializer_list<LogField> aFields,
         LogPriority aPriority)
{
  if (aLevel < Settings().level_) {
    return;
  }
  LogOutput& output = Output();
  std::string line;
  {
    const std::lock_guard lock(output.mutex_);
    LogTokenBucket& bucket = output.bucket_;
    line = RenderLine(
      aLevel, aMessage, aFields, bucket.dropped_ - bucket.droppedReported_);
    const bool written =
      AdmitLine(bucket, line.size(), aPriority, LogOutput::MonotonicNow());
    output.dropped_ = bucket.dropped_;
    if (!written || line.size() > kMaxLogLineBytes) {
      return;
    }
    bucket.droppedReported_ = bucket.dropped_;
  }
  static boost::log::sources::logger_mt logger;
  BOOST_LOG(logger) << line;
}

std::uint64_t
CountDroppedLines()
{
  return Output().dropped_;
}

LogLevel
ParseLogLevel(std::string_view aName)
{
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (aName == kLevelNames[i]) {
      return static_cast<LogLevel>(i);
    }
  }
  return LogLevel::End;
}

} // namespace camphorfield
