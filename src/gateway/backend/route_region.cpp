// Keeps requests of a route within the regions that it allows, also while all
// servers there are lost or overloaded.
#include "gateway/backend/backend_internal.h"

#include <algorithm>

namespace camphorfield {

// A failure domain without a known region is in none of them.
bool
IsInAllowedRegion(const GatewayState& aState,
                  const GatewayRoute& aRoute,
                  const Backend& aBackend)
{
  if (aRoute.allowedRegions_.empty()) {
    return true;
  }
  const auto region =
    aState.settings_.regionOf_.find(aBackend.entry_.failureDomain_);
  return region != aState.settings_.regionOf_.end() &&
         aRoute.allowedRegions_.count(region->second) > 0;
}

bool
HasAllowedServer(const GatewayState& aState,
                 const GatewayRoute& aRoute,
                 const GatewayServiceState& aService)
{
  return aRoute.allowedRegions_.empty() ||
         std::any_of(aService.backends_.begin(),
                     aService.backends_.end(),
                     [&](std::uint64_t aKey) {
                       const Backend& backend =
                         aState.backends_.slots_[aKey & kSlotMask];
                       return IsUsable(backend) &&
                              IsInAllowedRegion(aState, aRoute, backend);
                     });
}

} // namespace camphorfield
