// Status of servers, load and route explanation for operators and peers.
#include "route/admission.h"
#include "route/route_func.h"
#include "route/server_health.h"
#include "table/standing_table.h"

#include <algorithm>

namespace camphorfield {

namespace {

constexpr std::uint32_t kPerMille = 1000;

bool
ReceivesWork(ServerStanding aStanding)
{
  return aStanding == ServerStanding::In ||
         aStanding == ServerStanding::SlowStart ||
         aStanding == ServerStanding::Probation;
}

ServerStatus
StatusOf(const RouteState& aState, ServerIndex aServer, TimePoint aNow)
{
  const ServerState& server = aState.servers_[aServer];
  ServerStatus status;
  status.name_ = server.spec_.name_;
  status.service_ = aState.services_[server.service_].name_;
  status.address_ = server.spec_.address_;
  status.failureDomain_ = server.spec_.failureDomain_;
  status.standing_ = GetStanding(aState, aServer, aNow);
  status.in_ = ReceivesWork(status.standing_);
  status.why_ = kStandingTexts[static_cast<std::size_t>(status.standing_)];
  status.inFlight_ = server.inFlight_;
  status.connections_ = static_cast<std::uint32_t>(server.connections_.size());
  status.connectionQuota_ = server.isHome_ ? server.connectionQuota_ : 0;
  status.limit_ = static_cast<std::uint32_t>(server.limit_);
  status.latency_ = Duration(static_cast<std::int64_t>(server.latency_));
  status.ejectedUntil_ = server.ejectedUntil_;
  return status;
}

std::string
ExplainVersion(const RouteState& aState,
               const CompiledRoute& aRoute,
               const CompiledVersion& aVersion)
{
  std::string text = "version " + std::to_string(aVersion.version_.value_) +
                     ": " + std::to_string(aVersion.shards_.size()) +
                     " shards in " + std::to_string(aVersion.services_.size()) +
                     " services\n";
  for (std::size_t i = 0; i < aVersion.services_.size(); ++i) {
    const ServiceIndex index = aVersion.services_[i];
    const Duration estimate = EstimateTime(
      aState, index, aRoute.spec_.priority_, aVersion.perService_[i], 1.0);
    text += "  " + aState.services_[index].name_ + ": " +
            std::to_string(aState.services_[index].servers_.size()) +
            " servers, estimate " + std::to_string(estimate.count()) + " us\n";
  }
  return text;
}

} // namespace

std::uint32_t
RouteLoad(const RouteState& aState)
{
  std::uint64_t inFlight = 0;
  std::uint64_t capacity = 0;
  for (const ServerState& server : aState.servers_) {
    if (server.configured_ && !IsLeaving(server)) {
      inFlight += server.inFlight_;
      capacity += static_cast<std::uint64_t>(server.limit_);
    }
  }
  if (capacity == 0) {
    return 0;
  }
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(kPerMille, inFlight * kPerMille / capacity));
}

std::vector<ServerStatus>
RouteServers(const RouteState& aState)
{
  std::vector<ServerStatus> all;
  for (ServerIndex i = 0; i < aState.servers_.size(); ++i) {
    const ServerState& server = aState.servers_[i];
    if (server.configured_ || !server.connections_.empty()) {
      all.push_back(StatusOf(aState, i, aState.now_));
    }
  }
  return all;
}

std::string
RouteExplain(const RouteState& aState, std::string_view aRoute)
{
  if (aState.config_ == nullptr) {
    return "no configuration\n";
  }
  const auto found = aState.config_->routes_.find(std::string(aRoute));
  if (found == aState.config_->routes_.end()) {
    return "no such route\n";
  }
  std::string text;
  for (const SharedVersion& version : found->second->versions_) {
    text += ExplainVersion(aState, *found->second, *version);
  }
  return text;
}

} // namespace camphorfield
