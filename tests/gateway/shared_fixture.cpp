// Routes and counts that several tests of the gateway use.
#include "gateway/shared_fixture.h"

#include <algorithm>

namespace camphorfield {

GatewayRoute
MakePlainRoute(RequestKind aKind, Duration aTimeout)
{
  GatewayRoute route;
  route.name_ = "plain";
  route.prefix_ = "/plain/";
  route.kind_ = aKind;
  route.timeout_ = aTimeout;
  route.objective_ = std::chrono::milliseconds(400);
  route.maxAttempts_ = 2;
  route.to_.push_back({ "shard0", 1.0 });
  return route;
}

void
Reshard(Replay& aReplay, GatewayRoute aRoute)
{
  for (std::string& shard : aRoute.shards_) {
    shard.insert(0, "new-");
    aReplay.AddServer(shard, 1.0);
    aReplay.AddServer(shard, 1.0);
  }
  aReplay.SetRoute(aRoute);
}

std::size_t
CountLargestWindow(const std::vector<TimePoint>& aTimes,
                   Duration aWindow,
                   TimePoint aFrom,
                   TimePoint aTo)
{
  std::size_t largest = 0;
  for (auto first = std::lower_bound(aTimes.begin(), aTimes.end(), aFrom);
       first != aTimes.end() && *first < aTo;
       ++first) {
    const auto end =
      std::lower_bound(first, aTimes.end(), std::min(*first + aWindow, aTo));
    largest = std::max(largest, static_cast<std::size_t>(end - first));
  }
  return largest;
}

} // namespace camphorfield
