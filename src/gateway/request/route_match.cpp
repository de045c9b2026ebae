// Matches requests to routes by host and path prefix, and splits the requests
// of a weighted route exactly, also when they are few.
#include "gateway/request/route_match.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <algorithm>
#include <numeric>

namespace camphorfield {

namespace {

absl::string_view
ToAbsl(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

std::string_view
WithoutPort(std::string_view aHost)
{
  const std::size_t colon = aHost.rfind(':');
  const bool isPort =
    colon != std::string_view::npos &&
    std::all_of(aHost.begin() + static_cast<std::ptrdiff_t>(colon) + 1,
                aHost.end(),
                [](char aChar) {
                  return absl::ascii_isdigit(static_cast<unsigned char>(aChar));
                });
  return isPort ? aHost.substr(0, colon) : aHost;
}

} // namespace

const GatewayRoute*
FindRoute(const GatewayConfig& aConfig,
          std::string_view aHost,
          std::string_view aPath)
{
  const std::string_view host = WithoutPort(aHost);
  const GatewayRoute* best = nullptr;
  for (const GatewayRoute& route : aConfig.routes_) {
    const bool longer =
      best == nullptr || route.prefix_.size() > best->prefix_.size();
    if (longer && aPath.substr(0, route.prefix_.size()) == route.prefix_ &&
        absl::EqualsIgnoreCase(route.host_, ToAbsl(host))) {
      best = &route;
    }
  }
  return best;
}

// Smooth weighted round robin: the share with the most credit gets the request,
// so that the proportions hold over few requests, too. Requests of an
// overloaded share are not moved to another one.
const std::string&
ChooseService(const GatewayRoute& aRoute, RouteLoad& aLoad)
{
  std::vector<double>& credit = aLoad.splitCredit_;
  credit.resize(aRoute.to_.size(), 0.0);
  double total = 0.0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < aRoute.to_.size(); ++i) {
    credit[i] += aRoute.to_[i].weight_;
    total += aRoute.to_[i].weight_;
    best = credit[i] > credit[best] ? i : best;
  }
  credit[best] -= total;
  return aRoute.to_[best].service_;
}

} // namespace camphorfield
