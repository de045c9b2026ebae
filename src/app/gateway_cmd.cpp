// Process of a gateway: its HTTP servers, signals and the graceful shutdown,
// which serves callers until the directory's old answers have expired.
#include "app/gateway_cmd.h"

#include "adapter.h"
#include "http_codec.h"
#include "observe/log.h"
#include "ops/gateway_metrics.h"
#include "runtime/clock.h"
#include "runtime/gateway_host.h"
#include "runtime/http_server.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/fiber/operations.hpp>
#include <csignal>
#include <cstdlib>
#include <future>
#include <iostream>
#include <malloc.h>
#include <random>

namespace camphorfield {

namespace {

constexpr int kExitBadSettings = 2;
constexpr std::uint32_t kStatusNotFound = 404;
constexpr const char* kMetricsPath = "/metrics";
/** Share of the shutdown grace in which new connections are still accepted, for
 * callers that hold an old answer of the directory. */
constexpr double kAcceptGraceShare = 0.62;
/** Share of the shutdown grace after which the process exits, even with
 * requests in flight. */
constexpr double kExitGraceShare = 0.9;
/** Share after which requests that may not be repeated are rejected. */
constexpr double kUnrepeatableGraceShare = 0.5;
/** Share after which no request is left without an answer. */
constexpr double kAnswerGraceShare = 0.87;
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);
constexpr Duration kMaxRequestTime = std::chrono::seconds(60);

/** Shares of the process's descriptors; the rest is for servers, other gateways
 * and the store. */
constexpr std::uint32_t kCallerShare = 4;
constexpr std::uint32_t kOperatorShare = 64;
constexpr std::uint32_t kMinSessions = 16;

/** Limits of a server that may use a share of the descriptors. */
HttpServerLimits
ShareLimits(const platform::ProcessSettings& aSettings, std::uint32_t aShare)
{
  HttpServerLimits limits;
  if (aSettings.maxDescriptors_ > 0) {
    limits.maxSessions_ =
      std::max(aSettings.maxDescriptors_ / aShare, kMinSessions);
    limits.closesStalled_ = true;
  }
  return limits;
}

HttpServerLimits
ToServerLimits(const platform::ProcessSettings& aSettings,
               const GatewayLimits& aLimits)
{
  HttpServerLimits limits = ShareLimits(aSettings, kCallerShare);
  limits.maxHeaderBytes_ = aLimits.headerBytes_;
  limits.maxBodyBytes_ = aLimits.bodyBytes_;
  limits.requestTimeout_ =
    std::min<Duration>(aLimits.headerTimeout_, kMaxRequestTime);
  limits.idleTimeout_ = aLimits.idleTimeout_;
  return limits;
}

/** The HTTP servers and the host of one gateway, from start to shutdown. */
class GatewayProcess
{
public:
  GatewayProcess(const platform::ProcessSettings& aSettings,
                 const GatewayHostSettings& aHostSettings,
                 WorkerPool& aPool);

  absl::Status Start();
  int AwaitEnd() { return ended_.get_future().get(); }

private:
  HttpResponse ServeCaller(HttpRequest& aRequest, HttpSession& aSession);
  HttpResponse ServeMetrics(const HttpRequest& aRequest);
  HttpResponse ServeDirectory(const HttpRequest& aRequest);
  void AwaitSignal();
  void Stop();
  void Drain();
  void Reload();
  TimePoint AfterGraceShare(double aShare) const;

  platform::ProcessSettings settings_;
  WorkerPool& pool_;
  GatewayHost host_;
  HttpServer callers_;
  HttpServer ready_;
  HttpServer directory_;
  HttpServer metrics_;
  boost::asio::signal_set signals_;
  bool stopping_ = false;
  TimePoint stopBegunAt_{};
  std::promise<int> ended_;
};

GatewayProcess::GatewayProcess(const platform::ProcessSettings& aSettings,
                               const GatewayHostSettings& aHostSettings,
                               WorkerPool& aPool)
  : settings_(aSettings)
  , pool_(aPool)
  , host_(aHostSettings, platform::GetAdapter(), aPool)
  , callers_(
      aPool,
      ShareLimits(aSettings, kCallerShare),
      [this](HttpRequest& aRequest, HttpSession& aSession) {
        return ServeCaller(aRequest, aSession);
      },
      &host_.Memory())
  , ready_(
      aPool,
      ShareLimits(aSettings, kOperatorShare),
      [this](const HttpRequest& aRequest, HttpSession&) {
        return platform::EncodeReady(aRequest, host_.IsReady());
      },
      &host_.Memory())
  , directory_(
      aPool,
      ShareLimits(aSettings, kOperatorShare),
      [this](const HttpRequest& aRequest, HttpSession&) {
        return ServeDirectory(aRequest);
      },
      &host_.Memory())
  , metrics_(
      aPool,
      ShareLimits(aSettings, kOperatorShare),
      [this](const HttpRequest& aRequest, HttpSession&) {
        return ServeMetrics(aRequest);
      },
      &host_.Memory())
  , signals_(aPool.At(0).Context(), SIGTERM, SIGINT, SIGHUP)
{
  host_.SetLimitsHandler([this](const GatewayLimits& aLimits) {
    callers_.SetLimits(ToServerLimits(settings_, aLimits));
    host_.Memory().SetLargestRequest(aLimits.headerBytes_ + aLimits.bodyBytes_);
  });
}

absl::Status
GatewayProcess::Start()
{
  for (const absl::Status& status :
       { host_.Start(),
         callers_.Listen(settings_.callerAddress_),
         ready_.Listen(settings_.readyAddress_),
         directory_.Listen(settings_.directoryAddress_),
         metrics_.Listen(settings_.metricsAddress_) }) {
    if (!status.ok()) {
      return status;
    }
  }
  pool_.At(0).Post([this]() { AwaitSignal(); });
  return absl::OkStatus();
}

HttpResponse
GatewayProcess::ServeCaller(HttpRequest& aRequest, HttpSession& aSession)
{
  const GatewayCodec& codec = platform::GetGatewayCodec();
  ProxyRequest request = codec.decodeRequest_(std::move(aRequest));
  request.caller_ = aSession.PeerIp();
  return codec.encodeAnswer_(host_.SubmitAndWait(
    std::move(request), [&aSession](std::function<void()> aOnDisconnect) {
      aSession.WatchDisconnect(std::move(aOnDisconnect));
    }));
}

HttpResponse
GatewayProcess::ServeMetrics(const HttpRequest& aRequest)
{
  HttpResponse response;
  if (aRequest.target_ != kMetricsPath) {
    response.status_ = kStatusNotFound;
    return response;
  }
  response.fields_.push_back({ "Content-Type", "text/plain; version=0.0.4" });
  response.body_ = RenderGatewayMetrics(host_);
  return response;
}

HttpResponse
GatewayProcess::ServeDirectory(const HttpRequest& aRequest)
{
  if (!platform::IsResolve(aRequest)) {
    HttpResponse unknown;
    unknown.status_ = kStatusNotFound;
    return unknown;
  }
  return platform::EncodeResolve(host_.ListEntries());
}

void
GatewayProcess::AwaitSignal()
{
  signals_.async_wait(
    [this](const boost::system::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        Reload();
      } else if (!stopping_) {
        stopping_ = true;
        Stop();
      }
      AwaitSignal();
    });
}

/** Time at which a share of the shutdown grace has passed. */
TimePoint
GatewayProcess::AfterGraceShare(double aShare) const
{
  return stopBegunAt_ +
         Duration(static_cast<std::int64_t>(
           static_cast<double>(settings_.stopGrace_.count()) * aShare));
}

void
GatewayProcess::Stop()
{
  WriteLog(LogLevel::Info,
           "graceful shutdown begins",
           { { "in_flight", std::to_string(host_.InFlight()) } });
  stopBegunAt_ = ReadClock().mono_;
  host_.BeginStop({ AfterGraceShare(kUnrepeatableGraceShare),
                    AfterGraceShare(kAnswerGraceShare) });
  callers_.BeginClosing();
  pool_.At(0).Spawn([this]() { Drain(); });
}

// Callers learn of the shutdown from the directory and from each answer. Those
// that hold an old answer of the directory are served until it has expired.
void
GatewayProcess::Drain()
{
  while (ReadClock().mono_ < AfterGraceShare(kAcceptGraceShare)) {
    boost::this_fiber::sleep_for(kDrainPollInterval);
  }
  callers_.StopAccepting();
  // The requests of connections accepted last are still to be read.
  do {
    boost::this_fiber::sleep_for(kDrainPollInterval);
  } while (ReadClock().mono_ < AfterGraceShare(kExitGraceShare) &&
           host_.InFlight() > 0);
  // Leave time to write the last answers; a request that arrives meanwhile is
  // no longer passed on.
  host_.EndStop();
  boost::this_fiber::sleep_for(kDrainPollInterval);
  WriteLog(LogLevel::Info,
           "graceful shutdown ends",
           { { "in_flight", std::to_string(host_.InFlight()) } });
  ended_.set_value(0);
}

void
GatewayProcess::Reload()
{
  const auto settings = platform::ReadSettingsFile();
  WriteLog(settings.ok() ? LogLevel::Info : LogLevel::Error,
           "settings file re-read",
           { { "result", settings.status().ToString() } });
}

/** Returns large blocks to the system when they are freed, so that resident
 * memory follows the memory account. The allocator would otherwise raise the
 * threshold to the largest block that it has seen. */
void
SetAllocatorThresholds()
{
  constexpr int kMmapThreshold = 512 * 1024;
  constexpr int kTrimThreshold = 1024 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
}

/** Sets the random seeds and the incarnation, which differ for each start. */
void
SetIncarnation(GatewayHostSettings& aSettings)
{
  std::random_device device;
  aSettings.seed_ = (static_cast<std::uint64_t>(device()) << 32U) | device();
  for (HashKey& key : aSettings.gateway_.keySeed_) {
    for (std::uint64_t& word : key) {
      word = (static_cast<std::uint64_t>(device()) << 32U) | device();
    }
  }
  aSettings.membership_.self_.incarnation_ =
    Incarnation{ static_cast<std::uint64_t>(ReadClock().unixMicros_) };
}

} // namespace

void
AddGatewayFlags(CLI::App& aApp, GatewayFlags& aFlags)
{
  aApp.add_option("--log-level", aFlags.logLevel_, "Lowest level logged")
    ->envname("CAMPHORFIELD_LOG_LEVEL")
    ->check(CLI::IsMember({ "debug", "info", "warning", "error" }))
    ->capture_default_str();
  aApp
    .add_option("--placement",
                aFlags.placement_,
                "Choose servers by the count or by the cost of requests")
    ->envname("CAMPHORFIELD_PLACEMENT")
    ->check(CLI::IsMember({ "count", "cost" }))
    ->capture_default_str();
}

// Exits without joining the worker: its fibers still wait on idle connections
// of callers.
int
RunGateway(const GatewayFlags& aFlags)
{
  const auto settings = platform::ReadSettingsFile();
  if (!settings.ok()) {
    std::cerr << settings.status().message() << "\n";
    return kExitBadSettings;
  }
  InitLog(ParseLogLevel(aFlags.logLevel_), settings->name_);
  std::signal(SIGPIPE, SIG_IGN);
  if (settings->memoryMb_ > 0) {
    SetAllocatorThresholds();
  }
  GatewayHostSettings hostSettings = platform::MakeHostSettings(*settings);
  hostSettings.gateway_.policy_.mode_ =
    aFlags.placement_ == "cost" ? PlacementMode::Cost : PlacementMode::Count;
  SetIncarnation(hostSettings);
  WorkerPool pool(1);
  GatewayProcess process(*settings, hostSettings, pool);
  const absl::Status started = process.Start();
  if (!started.ok()) {
    WriteLog(LogLevel::Error,
             "gateway failed to start",
             { { "reason", std::string(started.message()) } });
    std::_Exit(kExitBadSettings);
  }
  WriteLog(LogLevel::Info,
           "gateway started",
           { { "callers", settings->callerAddress_ },
             { "peers", settings->peerAddress_ },
             { "placement", aFlags.placement_ },
             { "store", settings->storeAddress_ } });
  const int status = process.AwaitEnd();
  WriteLog(
    LogLevel::Info, "gateway ended", { { "status", std::to_string(status) } });
  std::_Exit(status);
}

} // namespace camphorfield
