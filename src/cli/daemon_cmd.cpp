// Starts the daemon and shuts it down: the first signal drains requests in
// flight, a second one ends the process at once if the drain hangs.
#include "cli/daemon_cmd.h"

#include "caller/caller_api.h"
#include "daemon/daemon_func.h"
#include "observe/log.h"
#include "ops/ops_api.h"
#include "runtime/clock.h"
#include "runtime/host.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <future>
#include <iostream>
#include <random>

namespace camphorfield {

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitForced = 3;
constexpr std::uint64_t kMaxChangeBytes = 8ULL * 1024 * 1024;

/** Sets the random seed and the incarnation, which differ at each start. */
void
SetIncarnation(DaemonSettings& aSettings)
{
  std::random_device device;
  aSettings.seed_ = (static_cast<std::uint64_t>(device()) << 32U) | device();
  aSettings.incarnation_ =
    Incarnation{ static_cast<std::uint64_t>(ReadClock().unixMicros_) };
}

/** On SIGTERM or SIGINT shuts down gracefully; on the second one, at once. */
class SignalWatch
{
public:
  SignalWatch(WorkerPool& aPool,
              Host& aHost,
              HttpServer& aCallers,
              ExitHandler aExit)
    : host_(aHost)
    , callers_(aCallers)
    , exit_(std::move(aExit))
    , signals_(aPool.At(0).Context(), SIGTERM, SIGINT)
  {
    Wait();
  }

private:
  void Wait()
  {
    signals_.async_wait([this](const boost::system::error_code& aError, int) {
      if (aError) {
        return;
      }
      if (stopping_) {
        ForceExit();
        return;
      }
      stopping_ = true;
      WriteLog(LogLevel::Info, "graceful shutdown begins");
      host_.Submit(StopRequested{ "signal" });
      callers_.BeginClosing();
      Wait();
    });
  }

  void ForceExit()
  {
    const DaemonInFlight busy =
      host_.Read([](const DaemonState& aState) { return GetInFlight(aState); });
    WriteLog(LogLevel::Warning,
             "second signal: requests in flight are cut off",
             { { "queries", std::to_string(busy.queries_) },
               { "orders", std::to_string(busy.orders_) } });
    exit_(kExitForced);
  }

  Host& host_;
  HttpServer& callers_;
  ExitHandler exit_;
  boost::asio::signal_set signals_;
  bool stopping_ = false;
};

bool
ReportFailure(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return false;
  }
  std::cerr << aStatus.message() << "\n";
  return true;
}

} // namespace

// The process ends without joining the workers: their fibers wait on sockets
// of idle connections.
int
RunDaemon(DaemonFlags& aFlags)
{
  if (ReportFailure(CheckDaemonFlags(aFlags))) {
    return kExitBadSettings;
  }
  DaemonSettings& settings = aFlags.settings_;
  SetIncarnation(settings);
  InitLog(ParseLogLevel(aFlags.logLevel_), settings.name_);
  std::signal(SIGPIPE, SIG_IGN);

  std::promise<int> ended;
  std::atomic<bool> endedOnce{ false };
  const ExitHandler onExit = [&ended, &endedOnce](int aStatus) {
    if (!endedOnce.exchange(true)) {
      ended.set_value(aStatus);
    }
  };
  WorkerPool pool(settings.workers_);
  Host host(settings, pool, onExit);
  HttpServer callers(
    pool,
    HttpServerLimits{},
    [&host](const HttpRequest& aRequest, HttpSession& aSession) {
      return ServeCaller(host, aRequest, aSession);
    });
  HttpServerLimits operatorLimits;
  operatorLimits.maxBodyBytes_ = kMaxChangeBytes;
  HttpServer operators(
    pool,
    operatorLimits,
    [&host](const HttpRequest& aRequest, HttpSession& aSession) {
      return ServeOperator(host, aRequest, aSession);
    });
  if (ReportFailure(host.Start()) ||
      ReportFailure(callers.Listen(settings.callerAddress_)) ||
      ReportFailure(operators.Listen(settings.operatorAddress_))) {
    std::_Exit(kExitBadSettings);
  }
  SignalWatch signals(pool, host, callers, onExit);
  WriteLog(LogLevel::Info,
           "daemon started",
           { { "callers", settings.callerAddress_ },
             { "peers", settings.peerAddress_ },
             { "operators", settings.operatorAddress_ } });
  const int status = ended.get_future().get();
  WriteLog(
    LogLevel::Info, "daemon ended", { { "status", std::to_string(status) } });
  std::_Exit(status);
}

} // namespace camphorfield
