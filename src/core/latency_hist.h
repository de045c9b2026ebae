/** Histogram of answer times with logarithmic buckets and ageing. */
#pragma once

#include "core/time_type.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorfield {

constexpr std::size_t kHistStepsPerPower = 8; ///< Buckets per power of two.
constexpr std::size_t kHistPowers = 24;
constexpr std::size_t kHistBuckets = kHistStepsPerPower * kHistPowers;

/** Number of samples by answer time; old samples lose weight. */
struct LatencyHist
{
  std::array<std::uint32_t, kHistBuckets> counts_{};
  std::uint32_t total_ = 0;
  std::uint32_t samplesSinceRefresh_ = 0; ///< Since quantiles were computed.
  Duration p50_{};
  Duration p99_{};
  Duration hedge_{}; ///< Delay after which to hedge; a cached quantile.
};

/**
 * Add one sample.
 * @param aTime Answer time; negative counts as zero.
 */
void
AddSample(LatencyHist& aHist, Duration aTime);

/**
 * Upper bound of a quantile.
 * @param aQuantile Between 0 and 1.
 * @return Zero without samples; exceeds the true quantile by at most 1/8.
 */
Duration
GetQuantile(const LatencyHist& aHist, double aQuantile);

} // namespace camphorfield
