/** Outcomes by organisation. */
#pragma once

#include "gateway/gateway_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace camphorfield {

/** Requests of one organisation since the start of the daemon. */
struct OrganisationStats
{
  std::uint64_t served_ = 0;     ///< Answered by servers.
  std::uint64_t rateCapped_ = 0; ///< Rejected above its rate.
  std::uint64_t overloaded_ = 0; ///< Rejected for lack of room.
  std::uint64_t other_ = 0;      ///< All other outcomes.
};

/** Organisations that have their own label in metrics. */
constexpr std::size_t kMaxOrganisationLabels = 50;

/** Counts an outcome. */
void
CountOutcome(OrganisationStats& aStats, ProxyCode aCode);

/**
 * The organisations with the most rejected requests, by name, and the sum of
 * all others as "other".
 */
std::vector<std::pair<std::string, OrganisationStats>>
SummariseOrganisations(const std::map<std::string, OrganisationStats>& aAll,
                       std::size_t aMost);

} // namespace camphorfield
