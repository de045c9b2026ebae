/** How long newer configurations of other daemons have been missing here. */
#pragma once

#include "core/time_type.h"

#include <cstdint>
#include <map>

namespace camphorfield {

/** Versions that other daemons have in force and this one does not. */
struct ConfigLag
{
  std::map<std::uint64_t, TimePoint> knownSince_; ///< By version.
  bool logged_ = false; ///< The present lag has been logged.
};

/**
 * Records the versions in force here and, as far as it is known, elsewhere.
 * @return How long the oldest missing version has been known; zero: none.
 */
Duration
UpdateConfigLag(ConfigLag& aLag,
                std::uint64_t aOwnVersion,
                std::uint64_t aNewestVersion,
                TimePoint aNow);

} // namespace camphorfield
