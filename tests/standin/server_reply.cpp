// Builds replies of simulated backend servers, with the configured faults.
#include "standin/server_internal.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <cmath>
#include <cstdio>

namespace camphorfield::standin {

namespace json = boost::json;

namespace {

constexpr std::uint64_t kMaxItems = 5; ///< Matches reported for one shard.

double
TrueLoad(const FarmServer& aServer)
{
  const double busy =
    static_cast<double>(aServer.running_.size() + aServer.waiting_.size());
  return std::min(1.0, busy / std::max(1U, aServer.spec_.slots_));
}

double
GetReportedLoad(const FarmServer& aServer)
{
  const double lie = aServer.behaviour_.reportedLoad_;
  return lie >= 0 ? lie : TrueLoad(aServer);
}

json::object
QueryBody(const FarmServer& aServer, const FarmRequest& aRequest)
{
  const HttpHeaders& headers = aRequest.request_.headers_;
  const std::string shard = FindHeader(headers, "x-shard");
  const std::string version = FindHeader(headers, "x-index-version");
  const std::uint64_t items =
    std::hash<std::string>{}(shard + "/" + version) % kMaxItems;
  return { { "shard", shard },
           { "version", std::strtoull(version.c_str(), nullptr, 10) },
           { "items", items },
           { "server", aServer.spec_.name_ } };
}

json::object
OrderBody(const FarmServer& aServer, const FarmRequest& aRequest)
{
  const std::string key =
    FindHeader(aRequest.request_.headers_, "idempotency-key");
  return { { "order", key },
           { "run", aServer.farm_->orders_[key].size() },
           { "server", aServer.spec_.name_ } };
}

void
AddRequestLabels(const FarmRequest& aRequest, HttpReply& aReply)
{
  const HttpHeaders& headers = aRequest.request_.headers_;
  aReply.headers_["X-Request-Id"] = FindHeader(headers, "x-request-id");
  if (!aRequest.isOrder_) {
    aReply.headers_["X-Shard"] = FindHeader(headers, "x-shard");
    aReply.headers_["X-Index-Version"] = FindHeader(headers, "x-index-version");
  }
}

/** Label an answer as if it belonged to another request. */
void
Mislabel(ServerFarm& aFarm, const FarmRequest& aRequest, HttpReply& aReply)
{
  const std::uint64_t which = aRequest.isOrder_ ? 0 : aFarm.rng_() % 3;
  if (which == 0) {
    aReply.headers_["X-Request-Id"] += "7";
  } else if (which == 1) {
    aReply.headers_["X-Shard"] += "x";
  } else {
    aReply.headers_["X-Index-Version"] += "1";
  }
}

bool
ShouldLoseAnswer(FarmServer& aServer, const FarmRequest& aRequest)
{
  Behaviour& behaviour = aServer.behaviour_;
  if (aRequest.isOrder_ && behaviour.loseOrderAnswers_ > 0) {
    --behaviour.loseOrderAnswers_;
    return true;
  }
  return Chance(*aServer.farm_, behaviour.loseAnswerShare_);
}

} // namespace

bool
Chance(ServerFarm& aFarm, double aShare)
{
  return aShare > 0 && std::uniform_real_distribution<>()(aFarm.rng_) < aShare;
}

void
AddServerLabels(const FarmServer& aServer, HttpReply& aReply)
{
  if (aServer.behaviour_.draining_ || aServer.behaviour_.drainHint_) {
    aReply.headers_["X-Draining"] = "1";
  }
  if (aServer.spec_.reportsLoad_) {
    char text[16];
    std::snprintf(text, sizeof text, "%.2f", GetReportedLoad(aServer));
    aReply.headers_["X-Load"] = text;
  }
}

HttpReply
NotRunReply(FarmServer& aServer, unsigned aStatus)
{
  ++aServer.serverStats_.refused_;
  HttpReply reply{ aStatus, { { "X-Not-Run", "1" } } };
  AddServerLabels(aServer, reply);
  return reply;
}

HttpReply
CompletedReply(FarmServer& aServer, const FarmRequest& aRequest)
{
  ServerFarm& farm = *aServer.farm_;
  HttpReply reply{ 200, { { "Content-Type", "application/json" } } };
  AddServerLabels(aServer, reply);
  AddRequestLabels(aRequest, reply);
  reply.body_ =
    json::serialize(aRequest.isOrder_ ? OrderBody(aServer, aRequest)
                                      : QueryBody(aServer, aRequest));
  if (Chance(farm, aServer.behaviour_.failShare_)) {
    reply.status_ = 500;
  }
  if (Chance(farm, aServer.behaviour_.corruptShare_)) {
    Mislabel(farm, aRequest, reply);
  }
  if (Chance(farm, aServer.behaviour_.truncateShare_)) {
    reply.replyDelivery_ = ReplyDelivery::Truncated;
  }
  if (Chance(farm, aServer.behaviour_.duplicateShare_)) {
    reply.replyDelivery_ = ReplyDelivery::Twice;
  }
  if (ShouldLoseAnswer(aServer, aRequest)) {
    reply.replyDelivery_ = ReplyDelivery::Lost;
  }
  return reply;
}

HttpReply
HealthReply(FarmServer& aServer)
{
  ++aServer.serverStats_.health_;
  const Behaviour& behaviour = aServer.behaviour_;
  const bool isReady = behaviour.reportedReady_ >= 0
                         ? behaviour.reportedReady_ != 0
                         : !behaviour.draining_;
  json::object body{ { "ready", isReady },
                     { "draining", behaviour.draining_ },
                     { "versions", json::value_from(behaviour.versions_) } };
  if (aServer.spec_.reportsLoad_) {
    body["load"] = GetReportedLoad(aServer);
  }
  HttpReply reply{ 200,
                   { { "Content-Type", "application/json" } },
                   json::serialize(body) };
  AddServerLabels(aServer, reply);
  return reply;
}

std::chrono::microseconds
DrawServiceTime(FarmServer& aServer)
{
  const Behaviour& behaviour = aServer.behaviour_;
  auto& rng = aServer.farm_->rng_;
  double ms = behaviour.meanMs_;
  if (behaviour.shape_ == ServiceShape::Exponential) {
    ms = std::exponential_distribution<>(1 / behaviour.meanMs_)(rng);
  } else if (behaviour.shape_ == ServiceShape::Lognormal) {
    const double sigma = behaviour.sigma_;
    const double location = std::log(behaviour.meanMs_) - sigma * sigma / 2;
    ms = std::lognormal_distribution<>(location, sigma)(rng);
  }
  ms *= behaviour.factor_;
  if (Clock::now() - aServer.started_ < behaviour.cold_) {
    ms *= behaviour.coldFactor_;
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
}

} // namespace camphorfield::standin
