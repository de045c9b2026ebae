// Measures the lag of each version on its own: in a series of changes there is
// always a newer one that is still on its way.
#include "gateway/fleet/config_lag.h"

namespace camphorfield {

Duration
UpdateConfigLag(ConfigLag& aLag,
                std::uint64_t aOwnVersion,
                std::uint64_t aNewestVersion,
                TimePoint aNow)
{
  aLag.knownSince_.erase(aLag.knownSince_.begin(),
                         aLag.knownSince_.upper_bound(aOwnVersion));
  if (aNewestVersion > aOwnVersion) {
    aLag.knownSince_.try_emplace(aNewestVersion, aNow);
  }
  return aLag.knownSince_.empty() ? Duration::zero()
                                  : aNow - aLag.knownSince_.begin()->second;
}

} // namespace camphorfield
