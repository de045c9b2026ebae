/** Streaming histogram of answer times with logarithmic buckets. */
#pragma once

#include "core/time_type.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorfield {

constexpr std::size_t kHistStepsPerPower =
  8; ///< Buckets within a power of two.
constexpr std::size_t kHistPowers = 24;
constexpr std::size_t kHistBuckets = kHistStepsPerPower * kHistPowers;

/** Counts by answer time; old samples fade out. */
struct LatencyHist
{
  std::array<std::uint32_t, kHistBuckets> counts_{};
  std::uint32_t total_ = 0;
  std::uint32_t samplesSinceRefresh_ =
    0; ///< Samples since the quantiles were taken.
  Duration p50_{};
  Duration p99_{};
  Duration hedge_{}; ///< Quantile at which to hedge.
};

/**
 * Count one sample.
 * @param aTime Answer time; negative counts as zero.
 */
void
AddSample(LatencyHist& aHist, Duration aTime);

/**
 * Upper bound of a quantile.
 * @param aQuantile Between 0 and 1.
 * @return Zero without samples; at most 1/8 above the true quantile.
 */
Duration
GetQuantile(const LatencyHist& aHist, double aQuantile);

} // namespace camphorfield
