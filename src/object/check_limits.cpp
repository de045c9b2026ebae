// Checks limits and fleets. Guards against budgets that multiply the load on
// backend servers and limits that admit no request.
#include "object/check_internal.h"
#include "object/object_check.h"

namespace camphorfield {

namespace {

bool
IsShare(double aValue)
{
  return aValue >= 0.0 && aValue <= 1.0;
}

void
CheckBudgets(const LimitsSpec& aLimits, const ObjectFaults& aFaults)
{
  const bool hedge = IsShare(aLimits.hedgeBudget_);
  const bool retry = IsShare(aLimits.retryBudget_);
  if (!hedge) {
    Report(aFaults, ConfigFaultCode::HedgeBudgetRange, "hedge_budget");
  }
  if (!retry) {
    Report(aFaults, ConfigFaultCode::RetryBudgetRange, "retry_budget");
  }
  if (hedge && retry && aLimits.hedgeBudget_ + aLimits.retryBudget_ > 1.0) {
    Report(aFaults, ConfigFaultCode::BudgetSum, "hedge_budget");
  }
}

void
CheckCallerShare(const LimitsSpec& aLimits, const ObjectFaults& aFaults)
{
  const bool inFlight =
    aLimits.maxInFlight_ >= 1 && aLimits.maxInFlight_ <= kMaxInFlight;
  if (!inFlight) {
    Report(aFaults,
           ConfigFaultCode::InFlightRange,
           "max_in_flight",
           std::to_string(aLimits.maxInFlight_));
  }
  if (!(aLimits.callerShare_ > 0.0) || aLimits.callerShare_ > 1.0) {
    Report(aFaults, ConfigFaultCode::CallerShareRange, "caller_share");
  } else if (inFlight && aLimits.callerShare_ * aLimits.maxInFlight_ < 1.0) {
    Report(aFaults, ConfigFaultCode::CallerShareBelowOne, "caller_share");
  }
}

void
CheckFleets(const ConfigSet& aSet, ConfigFaults& aFaults)
{
  for (const auto& [name, fleet] : aSet.fleets_) {
    const ObjectFaults faults{ &aFaults, KeyText({ ObjectKind::Fleet, name }) };
    if (!IsValidObjectName(name)) {
      Report(faults, ConfigFaultCode::BadName, "name", name);
    }
    if (name != aSet.fleets_.begin()->first) {
      Report(faults,
             ConfigFaultCode::SeveralFleets,
             "",
             "besides fleet/" + aSet.fleets_.begin()->first);
    }
    if (fleet.maxDaemons_ == 0 || fleet.maxDaemons_ > kMaxDaemons) {
      Report(faults,
             ConfigFaultCode::MaxDaemonsRange,
             "max_daemons",
             std::to_string(fleet.maxDaemons_));
    }
    if (fleet.homesPerServer_ > fleet.maxDaemons_) {
      Report(faults,
             ConfigFaultCode::HomesOverDaemons,
             "homes_per_server",
             std::to_string(fleet.homesPerServer_));
    }
  }
}

} // namespace

void
CheckLimits(const ConfigSet& aSet, ConfigFaults& aFaults)
{
  for (const auto& [name, limits] : aSet.limits_) {
    const ObjectFaults faults{ &aFaults,
                               KeyText({ ObjectKind::Limits, name }) };
    if (!IsValidObjectName(name)) {
      Report(faults, ConfigFaultCode::BadName, "name", name);
    }
    CheckBudgets(limits, faults);
    CheckCallerShare(limits, faults);
  }
  CheckFleets(aSet, aFaults);
}

} // namespace camphorfield
