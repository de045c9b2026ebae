// Learns the work of requests whose cost differs widely: bimodal by content,
// heavy-tailed, or changing tenfold within seconds. Requests with known content
// get that content's distribution, others the one of their route.
#include "gateway/backend/cost_model.h"

#include "core/hash_func.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace camphorfield {

namespace {

/** Upper bound of the first bucket. */
constexpr double kFirstBound = 128.0;
/** Cells of the sketch: 2048 of 152 bytes are 311 KB. */
constexpr std::size_t kCells = 2048;
/** Keys come from the configuration; beyond this many all are dropped. */
constexpr std::size_t kMaxKeys = 1024;
/** Weights are halved at this total. Some hundred samples describe a tail of 1
 * in 100, and are replaced within seconds on a busy route. */
constexpr float kKeyWeight = 512.0F;
constexpr float kCellWeight = 64.0F;
/** Weight of the coarser distribution in that of a feature. */
constexpr double kPriorWeight = 2.0;
constexpr double kUnknownErrorWeight = 8.0;
constexpr Duration kCellHalfLife = std::chrono::seconds(60);
constexpr double kServiceGain = 0.02;
constexpr double kServiceRatioFloor = 0.25;
constexpr double kServiceRatioCeiling = 4.0;
constexpr double kRepeatGain = 0.05;
/** Below this probability the time is beyond all experience, and the rest is
 * expected to be this share of it. */
constexpr double kBeyondExperience = 1e-3;
constexpr double kRestBeyond = 0.5;

std::size_t
BucketOf(double aMicros)
{
  if (aMicros < kFirstBound) {
    return 0;
  }
  const double index = 2.0 * std::log2(aMicros / kFirstBound) + 1.0;
  return std::min(static_cast<std::size_t>(index), kCostBuckets - 1);
}

struct Bounds
{
  std::array<double, kCostBuckets + 1> lower_{};
  std::array<double, kCostBuckets> middle_{};
};

Bounds
MakeBounds()
{
  Bounds bounds;
  for (std::size_t i = 1; i <= kCostBuckets; ++i) {
    bounds.lower_[i] =
      kFirstBound * std::exp2((static_cast<double>(i) - 1.0) / 2.0);
  }
  for (std::size_t i = 0; i < kCostBuckets; ++i) {
    bounds.middle_[i] = (bounds.lower_[i] + bounds.lower_[i + 1]) / 2.0;
  }
  return bounds;
}

const Bounds&
GetBounds()
{
  static const Bounds kBounds = MakeBounds();
  return kBounds;
}

void
Scale(CostDistribution& aCosts, float aFactor)
{
  for (float& weight : aCosts.weight_) {
    weight *= aFactor;
  }
  aCosts.total_ *= aFactor;
  aCosts.sum_ *= aFactor;
}

void
Add(CostDistribution& aCosts, double aMicros, double aWeight, float aMost)
{
  if (aCosts.total_ >= aMost) {
    Scale(aCosts, 0.5F);
  }
  const auto weight = static_cast<float>(aWeight);
  aCosts.weight_[BucketOf(aMicros)] += weight;
  aCosts.total_ += weight;
  aCosts.sum_ += weight * static_cast<float>(aMicros);
}

/** Index of the first of the two cells that may hold a feature. */
std::size_t
CellOf(std::uint64_t aFeature)
{
  return static_cast<std::size_t>(aFeature % (kCells / 2)) * 2;
}

const CostCell*
FindCell(const CostModel& aModel, std::uint64_t aFeature)
{
  if (aFeature == 0 || aModel.cells_.empty()) {
    return nullptr;
  }
  const std::size_t first = CellOf(aFeature);
  for (std::size_t i = first; i < first + 2; ++i) {
    if (aModel.cells_[i].feature_ == aFeature) {
      return &aModel.cells_[i];
    }
  }
  return nullptr;
}

void
Age(CostCell& aCell, TimePoint aNow)
{
  const auto age = static_cast<double>((aNow - aCell.at_).count());
  const auto halfLife = static_cast<double>(
    std::chrono::duration_cast<Duration>(kCellHalfLife).count());
  Scale(aCell.costs_, static_cast<float>(std::exp2(-age / halfLife)));
  aCell.at_ = aNow;
}

/** Cell of a feature, or null while others hold both. Content that never comes
 * again wears a cell down by one sample, so that frequent content stays. */
CostCell*
TakeCell(CostModel& aModel, std::uint64_t aFeature, TimePoint aNow)
{
  const std::size_t first = CellOf(aFeature);
  CostCell* weakest = &aModel.cells_[first];
  for (std::size_t i = first; i < first + 2; ++i) {
    CostCell& cell = aModel.cells_[i];
    if (cell.feature_ == aFeature) {
      Age(cell, aNow);
      return &cell;
    }
    weakest = cell.costs_.total_ < weakest->costs_.total_ ? &cell : weakest;
  }
  Age(*weakest, aNow);
  const float total = weakest->costs_.total_;
  if (total > 1.0F) {
    Scale(weakest->costs_, (total - 1.0F) / total);
    return nullptr;
  }
  *weakest = CostCell{ aFeature, aNow, {} };
  return weakest;
}

/** Distribution that is refined from the key to its content. */
struct Mixture
{
  std::array<double, kCostBuckets> weight_{};
  double mean_ = 0.0;
};

void
Mix(Mixture& aMixture, const CostDistribution& aCosts, double aShare)
{
  const double scale = aShare / static_cast<double>(aCosts.total_);
  for (std::size_t i = 0; i < kCostBuckets; ++i) {
    aMixture.weight_[i] = (1.0 - aShare) * aMixture.weight_[i] +
                          scale * static_cast<double>(aCosts.weight_[i]);
  }
  aMixture.mean_ =
    (1.0 - aShare) * aMixture.mean_ + scale * static_cast<double>(aCosts.sum_);
}

/** Distribution of errors; until samples are known that of work which varies
 * by about a third. */
Mixture
MixErrors(const CostDistribution* aErrors)
{
  constexpr std::array kValues{ 600.0, 850.0, 1200.0, 1700.0, 2400.0, 4800.0 };
  constexpr std::array kShares{ 0.2, 0.4, 0.3, 0.07, 0.02, 0.01 };
  Mixture mixture;
  for (std::size_t i = 0; i < kValues.size(); ++i) {
    mixture.weight_[BucketOf(kValues[i])] = kShares[i];
    mixture.mean_ += kShares[i] * kValues[i];
  }
  if (aErrors != nullptr && aErrors->total_ > 0.0F) {
    const double total = aErrors->total_;
    Mix(mixture, *aErrors, total / (total + kUnknownErrorWeight));
  }
  return mixture;
}

TailTable
MakeTable(const Mixture& aMixture)
{
  const Bounds& bounds = GetBounds();
  TailTable table;
  table.mean_ = aMixture.mean_;
  for (std::size_t i = kCostBuckets; i-- > 0;) {
    table.weight_[i] =
      table.weight_[i + 1] + static_cast<float>(aMixture.weight_[i]);
    table.sum_[i] = table.sum_[i + 1] +
                    static_cast<float>(aMixture.weight_[i] * bounds.middle_[i]);
  }
  return table;
}

} // namespace

CostKeys
MakeCostKeys(std::uint64_t aKey,
             std::string_view aTarget,
             std::size_t aPathSize,
             std::size_t aBodySize)
{
  CostKeys keys;
  keys.key_ = aKey;
  if (aBodySize > 0) {
    keys.features_[0] =
      HashPair(aKey, static_cast<std::uint64_t>(std::bit_width(aBodySize)));
  }
  keys.features_[1] = HashText(aTarget.substr(0, aPathSize), aKey);
  if (aTarget.size() > aPathSize) {
    keys.features_[2] = HashText(aTarget, aKey);
  }
  return keys;
}

CostEstimate
EstimateCost(const CostModel& aModel,
             const CostKeys& aKeys,
             double aUnknownMicros,
             TimePoint aNow)
{
  CostEstimate cost;
  cost.keys_ = aKeys;
  Mixture mixture;
  mixture.weight_[BucketOf(aUnknownMicros)] = 1.0;
  mixture.mean_ = aUnknownMicros;
  const CostDistribution* errors = nullptr;
  const auto known = aModel.keys_.find(aKeys.key_);
  if (known != aModel.keys_.end()) {
    const CostDistribution& all = known->second.costs_;
    if (all.total_ > 0.0F) {
      Mix(mixture, all, all.total_ / (all.total_ + 1.0));
    }
    cost.repeatable_ = known->second.repeatable_;
    errors = &known->second.errors_;
  }
  cost.error_ = MakeTable(MixErrors(errors));
  for (const std::uint64_t feature : aKeys.features_) {
    const CostCell* cell = FindCell(aModel, feature);
    if (cell == nullptr || cell->costs_.total_ <= 0.0F) {
      continue;
    }
    const auto age = static_cast<double>((aNow - cell->at_).count());
    const auto halfLife = static_cast<double>(Duration(kCellHalfLife).count());
    const double total = cell->costs_.total_ * std::exp2(-age / halfLife);
    Mix(mixture, cell->costs_, total / (total + kPriorWeight));
  }
  cost.work_ = MakeTable(mixture);
  return cost;
}

void
AddCost(CostModel& aModel,
        const CostKeys& aKeys,
        double aMicros,
        double aWeight,
        TimePoint aNow)
{
  if (aModel.cells_.empty()) {
    aModel.cells_.resize(kCells);
  }
  if (aModel.keys_.size() >= kMaxKeys && aModel.keys_.count(aKeys.key_) == 0) {
    aModel.keys_.clear();
  }
  Add(aModel.keys_[aKeys.key_].costs_, aMicros, aWeight, kKeyWeight);
  for (const std::uint64_t feature : aKeys.features_) {
    CostCell* cell = feature == 0 ? nullptr : TakeCell(aModel, feature, aNow);
    if (cell != nullptr) {
      Add(cell->costs_, aMicros, aWeight, kCellWeight);
    }
  }
}

void
AddError(CostModel& aModel, const CostKeys& aKeys, double aThousandths)
{
  const auto known = aModel.keys_.find(aKeys.key_);
  if (known != aModel.keys_.end()) {
    Add(known->second.errors_, aThousandths, 1.0, kKeyWeight);
  }
}

double
ServiceRatio(const CostModel& aModel, std::uint32_t aService)
{
  return aService < aModel.serviceRatio_.size() ? aModel.serviceRatio_[aService]
                                                : 1.0;
}

void
AddServiceSample(CostModel& aModel, std::uint32_t aService, double aRatio)
{
  if (aService >= aModel.serviceRatio_.size()) {
    aModel.serviceRatio_.resize(aService + 1, 1.0);
  }
  double& ratio = aModel.serviceRatio_[aService];
  const double sample =
    std::clamp(aRatio, kServiceRatioFloor, kServiceRatioCeiling);
  // The pull to 1 keeps all ratios from drifting against the keys' costs.
  ratio += kServiceGain * (sample - ratio) + kServiceGain / 4 * (1.0 - ratio);
}

void
AddRepeatSample(CostModel& aModel, const CostKeys& aKeys, double aSample)
{
  const auto known = aModel.keys_.find(aKeys.key_);
  if (known != aModel.keys_.end()) {
    double& share = known->second.repeatable_;
    share += kRepeatGain * (std::clamp(aSample, 0.0, 1.0) - share);
  }
}

namespace {

/** Weight and partial mean of the distribution beyond a value. */
struct Tail
{
  double weight_ = 0.0;
  double sum_ = 0.0;
};

Tail
TailBeyond(const TailTable& aTable, double aValue)
{
  const Bounds& bounds = GetBounds();
  const std::size_t bucket = BucketOf(aValue);
  const double upper = std::max(bounds.lower_[bucket + 1], aValue);
  const double width = bounds.lower_[bucket + 1] - bounds.lower_[bucket];
  const double in = aTable.weight_[bucket] - aTable.weight_[bucket + 1];
  const double part = std::max(in, 0.0) * (upper - aValue) / width;
  return { aTable.weight_[bucket + 1] + part,
           aTable.sum_[bucket + 1] + part * (aValue + upper) / 2.0 };
}

} // namespace

double
Survival(const TailTable& aTable, double aValue)
{
  return aValue <= 0.0 ? 1.0 : TailBeyond(aTable, aValue).weight_;
}

double
MeanBeyond(const TailTable& aTable, double aValue)
{
  if (aValue <= 0.0) {
    return aTable.mean_;
  }
  const Tail tail = TailBeyond(aTable, aValue);
  return tail.weight_ < kBeyondExperience
           ? aValue * (1.0 + kRestBeyond)
           : std::max(tail.sum_ / tail.weight_, aValue);
}

double
ValueAtSurvival(const TailTable& aTable, double aProbability)
{
  const Bounds& bounds = GetBounds();
  std::size_t bucket = 0;
  while (bucket + 1 < kCostBuckets &&
         static_cast<double>(aTable.weight_[bucket + 1]) > aProbability) {
    ++bucket;
  }
  return bounds.lower_[bucket + 1];
}

} // namespace camphorfield
