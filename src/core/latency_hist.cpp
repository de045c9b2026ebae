// Histogram of answer times with constant memory and constant cost per sample.
// Hedging needs quantiles while answers arrive, too often to sort samples.
#include "core/latency_hist.h"

#include <algorithm>
#include <bit>

namespace camphorfield {

namespace {

constexpr std::uint32_t kHalvingTotal = 4096; ///< Samples.
constexpr std::size_t kStepBits = std::bit_width(kHistStepsPerPower) - 1;

std::size_t
BucketOf(std::uint64_t aMicros)
{
  if (aMicros < kHistStepsPerPower) {
    return aMicros;
  }
  const std::size_t power = std::bit_width(aMicros) - 1 - kStepBits;
  const std::size_t step = (aMicros >> power) - kHistStepsPerPower;
  return std::min((power + 1) * kHistStepsPerPower + step, kHistBuckets - 1);
}

std::uint64_t
BucketUpperBound(std::size_t aBucket)
{
  if (aBucket < kHistStepsPerPower) {
    return aBucket;
  }
  const std::size_t power = aBucket / kHistStepsPerPower - 1;
  const std::uint64_t step = aBucket % kHistStepsPerPower + kHistStepsPerPower;
  return ((step + 1) << power) - 1;
}

// Halving all counts ages old samples without a clock: the histogram follows a
// change of answer times within a few thousand answers.
void
HalveHistogram(LatencyHist& aHist)
{
  aHist.total_ = 0;
  for (std::uint32_t& count : aHist.counts_) {
    count /= 2;
    aHist.total_ += count;
  }
}

} // namespace

void
AddSample(LatencyHist& aHist, Duration aTime)
{
  const std::int64_t micros = std::max<std::int64_t>(aTime.count(), 0);
  ++aHist.counts_[BucketOf(static_cast<std::uint64_t>(micros))];
  ++aHist.total_;
  ++aHist.samplesSinceRefresh_;
  if (aHist.total_ >= kHalvingTotal) {
    HalveHistogram(aHist);
  }
}

Duration
GetQuantile(const LatencyHist& aHist, double aQuantile)
{
  const double rank = aQuantile * aHist.total_;
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < kHistBuckets; ++i) {
    seen += aHist.counts_[i];
    if (seen > 0 && static_cast<double>(seen) >= rank) {
      return Duration(static_cast<std::int64_t>(BucketUpperBound(i)));
    }
  }
  return Duration::zero();
}

} // namespace camphorfield
