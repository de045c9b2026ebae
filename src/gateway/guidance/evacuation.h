/** Failure domains whose servers get no requests, as operators ask. */
#pragma once

#include "core/time_type.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

/** Evacuated failure domains and those that were so a moment ago. */
struct Evacuations
{
  std::map<std::string, TimePoint> since_; ///< In force; when they began here.
  std::map<std::string, TimePoint> endedAt_; ///< Ended and still ramped up.
};

/** Failure domains whose evacuation has begun or ended. */
struct EvacuationChange
{
  std::vector<std::string> begun_;
  std::vector<std::string> ended_;
};

/** Replaces the set of evacuated domains. */
EvacuationChange
UpdateEvacuations(Evacuations& aEvacuations,
                  const std::set<std::string>& aDomains,
                  TimePoint aNow);

bool
IsEvacuated(const Evacuations& aEvacuations, const std::string& aDomain);

/** Factor on the expected answer time of a domain's servers: above 1 for a
 * while after the end of an evacuation, falling to 1. */
double
ReturnFactor(const Evacuations& aEvacuations,
             const std::string& aDomain,
             TimePoint aNow);

} // namespace camphorfield
