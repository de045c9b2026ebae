#include "observe/log.h"

#include <array>
#include <boost/json.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <chrono>
#include <iostream>

namespace camphorfield {

namespace {

constexpr std::array<const char*, static_cast<std::size_t>(LogLevel::End)>
  kLevelNames{ "debug", "info", "warning", "error" };

/** Set once at start, before other threads. */
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

std::int64_t
UnixMicros()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

void
InitLog(LogLevel aLevel, const std::string& aDaemon)
{
  Settings() = LogSettings{ aLevel, aDaemon };
  using Backend = boost::log::sinks::text_ostream_backend;
  using Sink = boost::log::sinks::synchronous_sink<Backend>;
  auto backend = boost::make_shared<Backend>();
  backend->add_stream(
    boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
  backend->auto_flush(true);
  boost::log::core::get()->add_sink(boost::make_shared<Sink>(backend));
}

void
WriteLog(LogLevel aLevel,
         std::string_view aMessage,
         std::initializer_list<LogField> aFields)
{
  const LogSettings& settings = Settings();
  if (aLevel < settings.level_) {
    return;
  }
  boost::json::object line;
  line["time_us"] = UnixMicros();
  line["level"] = kLevelNames[static_cast<std::size_t>(aLevel)];
  line["daemon"] = settings.daemon_;
  line["message"] = std::string(aMessage);
  for (const LogField& field : aFields) {
    line[boost::json::string_view(field.name_.data(), field.name_.size())] =
      field.value_;
  }
  boost::log::sources::logger_mt logger;
  BOOST_LOG(logger) << boost::json::serialize(line);
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
