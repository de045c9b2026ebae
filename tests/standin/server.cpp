// Admits or refuses requests of a simulated backend server, and stops and
// restarts the server.
#include "standin/server_internal.h"

#include <algorithm>

namespace camphorfield::standin {

namespace {

constexpr std::chrono::seconds kDrainGrace{ 2 };

bool
HasVersion(const FarmServer& aServer, const HttpRequest& aRequest)
{
  const std::string asked = FindHeader(aRequest.headers_, "x-index-version");
  const auto& versions = aServer.behaviour_.versions_;
  return std::any_of(versions.begin(), versions.end(), [&](auto aVersion) {
    return std::to_string(aVersion) == asked;
  });
}

Clock::time_point
DeadlineOf(const HttpRequest& aRequest)
{
  const std::string left = FindHeader(aRequest.headers_, "x-deadline-ms");
  if (left.empty()) {
    return Clock::time_point::max();
  }
  const std::chrono::duration<double, std::milli> span(
    std::strtod(left.c_str(), nullptr));
  return Clock::now() +
         std::chrono::duration_cast<std::chrono::microseconds>(span);
}

/** Status of a refusal; zero when the request may run. */
unsigned
CheckRefusal(const FarmServer& aServer, const FarmRequest& aRequest)
{
  if (FindHeader(aRequest.request_.headers_, "x-service") !=
      aServer.spec_.service_) {
    return 421;
  }
  if (aServer.behaviour_.draining_ || aServer.behaviour_.shed_) {
    return 503;
  }
  if (!aRequest.isOrder_ && !HasVersion(aServer, aRequest.request_)) {
    return 409;
  }
  const bool isFull = aServer.running_.size() >= aServer.spec_.slots_ &&
                      aServer.waiting_.size() >= aServer.spec_.queue_;
  return isFull ? 503 : 0;
}

void
CountRequestAfterDrain(FarmServer& aServer)
{
  if (aServer.drained_ != Clock::time_point::max() &&
      Clock::now() - aServer.drained_ >= kDrainGrace) {
    ++aServer.serverStats_.afterDrain_;
  }
}

void
ServeWork(FarmServer& aServer,
          const HttpRequest& aRequest,
          const HttpRespond& aRespond)
{
  CountRequestAfterDrain(aServer);
  const bool isOrder = aRequest.path_ == "/v1/order";
  FarmRequest work{ aRequest, aRespond, isOrder, DeadlineOf(aRequest), {} };
  work.id_ = aServer.farm_->nextWork_++;
  const unsigned refusal = CheckRefusal(aServer, work);
  if (refusal != 0) {
    aRespond(NotRunReply(aServer, refusal));
    return;
  }
  aServer.waiting_.push_back(std::move(work));
  FillSlots(aServer);
}

} // namespace

void
ServeFarmRequest(FarmServer& aServer,
                 const HttpRequest& aRequest,
                 const HttpRespond& aRespond)
{
  if (aRequest.path_ == "/v1/health") {
    HttpReply reply = HealthReply(aServer);
    reply.headers_["X-Request-Id"] =
      FindHeader(aRequest.headers_, "x-request-id");
    aRespond(reply);
    return;
  }
  if (aRequest.path_ == "/v1/cancel") {
    if (!aServer.behaviour_.ignoresCancel_) {
      CancelRequest(aServer, FindHeader(aRequest.headers_, "x-cancels"));
    }
    HttpReply reply;
    reply.headers_["X-Request-Id"] =
      FindHeader(aRequest.headers_, "x-request-id");
    AddServerLabels(aServer, reply);
    aRespond(reply);
    return;
  }
  if (aRequest.path_ == "/v1/query" || aRequest.path_ == "/v1/order") {
    ServeWork(aServer, aRequest, aRespond);
    return;
  }
  aRespond({ 404, { { "X-Not-Run", "1" } } });
}

void
ShutDownServer(FarmServer& aServer)
{
  aServer.running_.clear();
  aServer.waiting_.clear();
  aServer.listener_->StopListening();
}

void
StartServer(FarmServer& aServer)
{
  aServer.started_ = Clock::now();
  aServer.listener_->StartListening();
}

void
CrashServer(FarmServer& aServer)
{
  ++aServer.serverStats_.crashes_;
  ShutDownServer(aServer);
  aServer.restart_ = std::make_unique<boost::asio::steady_timer>(
    aServer.farm_->context_, aServer.behaviour_.crash_);
  aServer.restart_->async_wait([&aServer](auto aError) {
    if (!aError && !aServer.isDown_) {
      StartServer(aServer);
    }
  });
}

} // namespace camphorfield::standin
