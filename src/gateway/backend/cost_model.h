/** Learned distribution of the work that a request costs a server. */
#pragma once

#include "core/time_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorfield {

constexpr std::size_t kCostBuckets = 32; ///< Two per power of two.
/** Path, path with query string, body length. */
constexpr std::size_t kCostFeatures = 3;

/** Weights of samples by logarithmic time buckets; older ones weigh less. */
struct CostDistribution
{
  std::array<float, kCostBuckets> weight_{};
  float total_ = 0.0F;
  float sum_ = 0.0F; ///< Weighted sum of the samples, microseconds.
};

/** Work of the requests that share one feature of their content. */
struct CostCell
{
  std::uint64_t feature_ = 0; ///< Hash of the feature; zero: unused.
  TimePoint at_{};            ///< Time of the latest sample.
  CostDistribution costs_;
};

/** What is known of the requests of one key, such as a route. */
struct KeyCost
{
  CostDistribution costs_;
  /** Observed by expected answer times, thousandths. */
  CostDistribution errors_;
  /** Share of a request's deviation from its expected time that it shows again
   * on a second server, 0 to 1; the rest is due to the server. */
  double repeatable_ = 0.5;
};

/** Learned work of requests, in bounded memory. Empty until the first sample.
 */
struct CostModel
{
  std::unordered_map<std::uint64_t, KeyCost> keys_;
  std::vector<CostCell> cells_; ///< Sketch on features of content.
  /** Work relative to that of the key's other services, by service number. */
  std::vector<double> serviceRatio_;
};

/** Where the samples of a request are stored. */
struct CostKeys
{
  std::uint64_t key_ = 0; ///< Hash of the route, or of route and organisation.
  std::array<std::uint64_t, kCostFeatures> features_{}; ///< Zero: none.
};

/** Probability and partial mean of each bucket and all above it. */
struct TailTable
{
  double mean_ = 0.0;
  std::array<float, kCostBuckets + 1> weight_{};
  std::array<float, kCostBuckets + 1> sum_{};
};

/** What is expected of one request. */
struct CostEstimate
{
  CostKeys keys_;
  TailTable work_;          ///< On a server of usual speed, microseconds.
  TailTable error_;         ///< Observed by expected answer time, thousandths.
  double repeatable_ = 0.5; ///< See KeyCost.
};

/**
 * Keys of a request's samples.
 * @param aTarget Path with query string; its first aPathSize bytes are the
 * path.
 */
CostKeys
MakeCostKeys(std::uint64_t aKey,
             std::string_view aTarget,
             std::size_t aPathSize,
             std::size_t aBodySize);

/**
 * Expected work of a request.
 * @param aUnknownMicros Taken until the key has a sample.
 */
CostEstimate
EstimateCost(const CostModel& aModel,
             const CostKeys& aKeys,
             double aUnknownMicros,
             TimePoint aNow);

/**
 * Records the work of one request.
 * @param aWeight Less than 1 when the sample is uncertain.
 */
void
AddCost(CostModel& aModel,
        const CostKeys& aKeys,
        double aMicros,
        double aWeight,
        TimePoint aNow);

/** Records an observed answer time in thousandths of the expected one. */
void
AddError(CostModel& aModel, const CostKeys& aKeys, double aThousandths);

/** Work relative to that of other services; 1 if unknown. */
double
ServiceRatio(const CostModel& aModel, std::uint32_t aService);

/** Records the work of one request relative to its estimate. */
void
AddServiceSample(CostModel& aModel, std::uint32_t aService, double aRatio);

/** Records how expensive a request was on a second server: 0 as the mean, 1 as
 * expected from its time on the first. */
void
AddRepeatSample(CostModel& aModel, const CostKeys& aKeys, double aSample);

/** Probability that a value exceeds the given one. */
double
Survival(const TailTable& aTable, double aValue);

/** Expected value, given that it exceeds the given one. */
double
MeanBeyond(const TailTable& aTable, double aValue);

/** Value that is exceeded with the given probability. */
double
ValueAtSurvival(const TailTable& aTable, double aProbability);

} // namespace camphorfield
