// Checks routes. Guards against routes whose every request would fail: unknown
// references, draining services, unreachable coverage, too short deadlines.
#include "object/check_internal.h"
#include "object/object_check.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Share of the newest version's shards with a server that is not draining. */
double
ReachableShare(const ConfigSet& aSet, const IndexSpec& aIndex)
{
  const std::vector<ShardSpec>& shards = aIndex.versions_.back().shards_;
  if (shards.empty()) {
    return 1.0; // Already reported as ShardMapEmpty.
  }
  const auto reachable =
    std::count_if(shards.begin(), shards.end(), [&](const ShardSpec& aShard) {
      return IsServiceReachable(aSet, aShard.service_);
    });
  return static_cast<double>(reachable) / static_cast<double>(shards.size());
}

Duration
ConnectCost(const ConfigSet& aSet, const std::string& aService)
{
  const auto found = aSet.services_.find(aService);
  return found == aSet.services_.end() ? Duration{}
                                       : found->second.connectCost_;
}

/** Largest connect cost of the services that hold the index's shards. */
Duration
IndexConnectCost(const ConfigSet& aSet, const IndexSpec& aIndex)
{
  Duration cost{};
  for (const IndexVersionSpec& version : aIndex.versions_) {
    for (const ShardSpec& shard : version.shards_) {
      cost = std::max(cost, ConnectCost(aSet, shard.service_));
    }
  }
  return cost;
}

void
CheckConnectCost(const RouteSpec& aRoute,
                 Duration aCost,
                 const ObjectFaults& aFaults)
{
  if (aCost.count() > 0 && aRoute.deadline_ <= aCost) {
    const std::string reason = std::to_string(aCost.count()) + " us";
    Report(
      aFaults, ConfigFaultCode::DeadlineUnderConnect, "deadline_ms", reason);
  }
}

void
CheckQueryRoute(const ConfigSet& aSet,
                const RouteSpec& aRoute,
                const ObjectFaults& aFaults)
{
  if (!aRoute.service_.empty()) {
    Report(
      aFaults, ConfigFaultCode::QueryOnService, "service", aRoute.service_);
  }
  if (aRoute.softAnswer_ > aRoute.deadline_) {
    Report(aFaults, ConfigFaultCode::SoftAfterDeadline, "soft_answer_ms");
  }
  const bool inRange = aRoute.minCoverage_ >= 0.0 && aRoute.minCoverage_ <= 1.0;
  if (!inRange) {
    Report(aFaults, ConfigFaultCode::CoverageRange, "min_coverage");
  }
  if (aRoute.index_.empty()) {
    Report(aFaults, ConfigFaultCode::IndexMissing, "index");
    return;
  }
  const auto index = aSet.indexes_.find(aRoute.index_);
  if (index == aSet.indexes_.end()) {
    Report(aFaults, ConfigFaultCode::IndexUnknown, "index", aRoute.index_);
    return;
  }
  CheckConnectCost(aRoute, IndexConnectCost(aSet, index->second), aFaults);
  if (index->second.versions_.empty() || !inRange) {
    return;
  }
  const double share = ReachableShare(aSet, index->second);
  if (share < aRoute.minCoverage_) {
    const std::string reason = std::to_string(share) + " of the shards of " +
                               aRoute.index_ + " can be reached";
    Report(
      aFaults, ConfigFaultCode::CoverageUnreachable, "min_coverage", reason);
  }
}

void
CheckOrderRoute(const ConfigSet& aSet,
                const RouteSpec& aRoute,
                const ObjectFaults& aFaults)
{
  if (!aRoute.index_.empty()) {
    Report(aFaults, ConfigFaultCode::OrderOnIndex, "index", aRoute.index_);
  }
  if (aRoute.softAnswer_.count() != 0) {
    Report(aFaults, ConfigFaultCode::SoftOnOrder, "soft_answer_ms");
  }
  if (aRoute.minCoverage_ != 0.0) {
    Report(aFaults, ConfigFaultCode::CoverageOnOrder, "min_coverage");
  }
  if (aRoute.service_.empty()) {
    Report(aFaults, ConfigFaultCode::ServiceMissing, "service");
    return;
  }
  if (aSet.services_.count(aRoute.service_) == 0) {
    Report(
      aFaults, ConfigFaultCode::ServiceUnknown, "service", aRoute.service_);
    return;
  }
  if (!IsServiceReachable(aSet, aRoute.service_)) {
    Report(
      aFaults, ConfigFaultCode::OrderUnreachable, "service", aRoute.service_);
  }
  CheckConnectCost(aRoute, ConnectCost(aSet, aRoute.service_), aFaults);
}

} // namespace

void
CheckRoutes(const ConfigSet& aSet, ConfigFaults& aFaults)
{
  for (const auto& [name, route] : aSet.routes_) {
    const ObjectFaults faults{ &aFaults, KeyText({ ObjectKind::Route, name }) };
    if (!IsValidObjectName(name)) {
      Report(faults, ConfigFaultCode::BadName, "name", name);
    }
    if (route.deadline_ < kMinDeadline || route.deadline_ > kMaxDeadline) {
      Report(faults, ConfigFaultCode::DeadlineRange, "deadline_ms");
    }
    if (route.limits_.empty()) {
      Report(faults, ConfigFaultCode::LimitsMissing, "limits");
    } else if (aSet.limits_.count(route.limits_) == 0) {
      Report(faults, ConfigFaultCode::LimitsUnknown, "limits", route.limits_);
    }
    if (route.mode_ == RouteMode::Query) {
      CheckQueryRoute(aSet, route, faults);
    } else {
      CheckOrderRoute(aSet, route, faults);
    }
  }
}

} // namespace camphorfield
