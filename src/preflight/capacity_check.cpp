// Compares the rates that a configuration promises with its servers'
// connections and with the rates of cold servers. The configuration does not
// say how long requests take: each is assumed to occupy a connection for the
// objective of its route. Findings are warnings for that reason.
#include "preflight/capacity_check.h"

#include "gateway/gateway_const.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace camphorfield {

namespace {

constexpr double kUnbounded = std::numeric_limits<double>::infinity();

/** Share of a route's requests that each of its services gets. */
std::map<std::string, double>
SharesOf(const GatewayRoute& aRoute)
{
  std::map<std::string, double> shares;
  for (const std::string& shard : aRoute.shards_) {
    shares[shard] = 1.0;
  }
  double sum = 0.0;
  for (const ServiceShare& share : aRoute.to_) {
    sum += std::max(share.weight_, 0.0);
  }
  for (const ServiceShare& share : aRoute.to_) {
    if (share.weight_ > 0.0) {
      shares[share.service_] += share.weight_ / sum;
    }
  }
  return shares;
}

/** Sum of the caps; organisations without one are left out. */
double
SumCaps(const GatewayConfig& aConfig)
{
  double sum = 0.0;
  if (aConfig.organisations_) {
    for (const Organisation& organisation : *aConfig.organisations_) {
      sum += std::max(organisation.perSecond_, 0.0);
    }
  }
  return sum;
}

/** Requests a second of a route that the connections to its narrowest service
 * carry. */
struct RouteCapacity
{
  std::string service_;
  double perSecond_ = kUnbounded;
};

RouteCapacity
CapacityOf(const GatewayConfig& aConfig,
           const GatewayRoute& aRoute,
           const CheckContext& aContext)
{
  RouteCapacity capacity;
  const double objective =
    std::chrono::duration<double>(aRoute.objective_).count();
  if (objective <= 0.0) {
    return capacity;
  }
  for (const auto& [name, share] : SharesOf(aRoute)) {
    const auto service = aConfig.services_.find(name);
    if (service == aConfig.services_.end()) {
      continue;
    }
    const double connections = service->second.maxConnections_ *
                               kConnectionShare * aContext.serversPerService_;
    const double perSecond = connections / (objective * share);
    if (perSecond < capacity.perSecond_) {
      capacity = { name, perSecond };
    }
  }
  return capacity;
}

/** Routes with the same narrowest service carry together at most what the
 * largest of them carries, so the sum over these services is an upper bound for
 * any mix of requests. */
double
SumCapacities(const GatewayConfig& aConfig, const CheckContext& aContext)
{
  std::map<std::string, double> largest;
  for (const GatewayRoute& route : aConfig.routes_) {
    if (!route.public_) {
      const RouteCapacity capacity = CapacityOf(aConfig, route, aContext);
      double& entry = largest[capacity.service_];
      entry = std::max(entry, capacity.perSecond_);
    }
  }
  double sum = 0.0;
  for (const auto& [name, perSecond] : largest) {
    sum += perSecond;
  }
  return sum;
}

} // namespace

std::vector<ConfigFinding>
CheckCapacity(const GatewayConfig& aConfig, const CheckContext& aContext)
{
  std::vector<ConfigFinding> findings;
  const double caps = SumCaps(aConfig);
  const double carried = SumCapacities(aConfig, aContext);
  if (carried > 0.0 && caps > carried) {
    findings.push_back({ FindingCode::CapsAboveConnections,
                         "organisations",
                         absl::StrCat("caps ",
                                      caps,
                                      " a second, connections for ",
                                      carried,
                                      " with ",
                                      aContext.serversPerService_,
                                      " servers of each service") });
  }
  // Load of each service if its callers use one route up to their caps.
  std::map<std::string, std::pair<double, std::string>> loads;
  for (const GatewayRoute& route : aConfig.routes_) {
    if (route.public_) {
      continue;
    }
    const double load =
      std::min(caps, CapacityOf(aConfig, route, aContext).perSecond_);
    for (const auto& [name, share] : SharesOf(route)) {
      loads[name] =
        std::max(loads[name], std::make_pair(load * share, route.name_));
    }
  }
  for (const auto& [name, service] : aConfig.services_) {
    const auto load = loads.find(name);
    const double cold = service.warmupPerSecond_ * aContext.serversPerService_;
    if (cold > 0.0 && load != loads.end() && cold < load->second.first) {
      findings.push_back({ FindingCode::WarmupBelowLoad,
                           absl::StrCat("service ", name),
                           absl::StrCat(service.warmupPerSecond_,
                                        " a second, ",
                                        aContext.serversPerService_,
                                        " servers, route ",
                                        load->second.second,
                                        " may send ",
                                        load->second.first) });
    }
  }
  return findings;
}

} // namespace camphorfield
