/** Request rate that a backend server in need has asked for. */
#pragma once

#include "core/rng_type.h"
#include "core/time_type.h"

#include <cstddef>
#include <optional>

namespace camphorfield {

/** Token bucket of one daemon for the requests to one server. */
struct RateLimit
{
  /** Requests a second that the server takes from all daemons together, as in
   * its latest answer; none: as many as come. */
  std::optional<double> perSecond_;
  double tokens_ = 0.0; ///< Requests that may be sent now.
  TimePoint tokensAt_{};
};

/**
 * Takes the limit of an answer.
 * @param aPerSecond None: the server states none.
 */
void
UpdateRateLimit(RateLimit& aLimit,
                std::optional<double> aPerSecond,
                double aShare,
                TimePoint aNow,
                Rng& aRng);

/**
 * Time until a request may be sent to the server; zero: at once.
 * @param aShare This daemon's part of the server's limit, 0 to 1.
 * @param aAhead Requests that are sent before it.
 */
Duration
TimeUntilAllowed(const RateLimit& aLimit,
                 double aShare,
                 std::size_t aAhead,
                 TimePoint aNow);

/** Counts a request that is sent to the server. */
void
CountAgainstLimit(RateLimit& aLimit, double aShare, TimePoint aNow);

} // namespace camphorfield
