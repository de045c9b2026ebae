// Configuration, timers and periodic maintenance of the gateway. Connections
// are opened ahead of load, and the daemon's processor load is estimated.
#include "gateway/admission/admission_internal.h"
#include "gateway/backend/backend_internal.h"
#include "gateway/crash/crash_guard.h"
#include "gateway/crash/server_silence.h"
#include "gateway/gateway_func.h"
#include "gateway/guidance/guidance_internal.h"
#include "gateway/request/request_internal.h"

#include <algorithm>
#include <cmath>

namespace camphorfield {

namespace {

ServiceNumber
MarkConfigured(GatewayState& aState, const std::string& aName)
{
  const ServiceNumber number = FindOrAddService(aState, aName);
  GatewayServiceState& service = aState.services_[number];
  service.configured_ = true;
  const auto configured = aState.config_->services_.find(aName);
  if (configured != aState.config_->services_.end()) {
    service.maxConnections_ = configured->second.maxConnections_;
  }
  return number;
}

/** Updates the estimate of processor load by the recent number of sends. */
void
UpdateCpuLoad(GatewayState& aState, TimePoint aNow)
{
  const GatewayStats& stats = aState.stats_;
  const std::uint64_t sends =
    stats.firstSends_ + stats.hedges_ + stats.retries_;
  const auto passed = static_cast<double>((aNow - aState.cpuLoadAt_).count());
  if (passed <= 0.0) {
    return;
  }
  const double work = static_cast<double>(sends - aState.sendsAtCpuLoad_) *
                      static_cast<double>(kShardCpuTime.count());
  const double gain =
    1.0 - std::exp2(-passed /
                    static_cast<double>(Duration(kCpuLoadHalfLife).count()));
  const double share = work / (passed * aState.settings_.cpuShare_);
  aState.cpuLoad_ += gain * (share - aState.cpuLoad_);
  aState.cpuLoadAt_ = aNow;
  aState.sendsAtCpuLoad_ = sends;
}

void
HandleTimer(GatewayStep& aStep, const BasicTimer<GatewayTimer>& aTimer)
{
  GatewayRun* run = FindSlot(aStep.state_.runs_, aTimer.key_);
  switch (aTimer.kind_) {
    case GatewayTimer::RequestDeadline:
      if (run != nullptr) {
        HandleDeadline(aStep, *run);
      }
      break;
    case GatewayTimer::RequestSoftDeadline:
      if (run != nullptr) {
        HandleSoftDeadline(aStep, *run);
      }
      break;
    case GatewayTimer::Hedge:
      HedgeAttempt(aStep, aTimer.key_);
      break;
    case GatewayTimer::Silence:
      EndSilentAttempt(aStep, aTimer.key_);
      break;
    case GatewayTimer::QueueWake:
      MarkService(aStep.state_, static_cast<ServiceNumber>(aTimer.key_));
      break;
    default:
      UpdateCpuLoad(aStep.state_, aStep.Time());
      MaintainColdPlan(aStep.state_, aStep.now_);
      MaintainConnections(aStep);
      AssumeCrashes(aStep);
      ReportSilences(aStep);
      AddTimer(aStep.state_.timers_,
               { aStep.Time() + kMaintenanceInterval,
                 0,
                 0,
                 GatewayTimer::Maintenance });
      break;
  }
}

} // namespace

GatewayState
MakeGatewayState(const GatewaySettings& aSettings)
{
  GatewayState state;
  state.settings_ = aSettings;
  state.caps_ = MakeRateCaps(aSettings.capTolerance_, aSettings.self_);
  AddTimer(state.timers_, { TimePoint{}, 0, 0, GatewayTimer::Maintenance });
  return state;
}

bool
GatewayAdoptConfig(GatewayState& aState,
                   const SharedGatewayConfig& aConfig,
                   const Now& aNow,
                   Rng& aRng,
                   GatewayDecisions& aOut)
{
  if (aState.config_ != nullptr &&
      aConfig->version_ <= aState.config_->version_) {
    return false;
  }
  aState.config_ = aConfig;
  aState.organisations_ =
    MakeOrganisationTable(*aConfig, aState.settings_.keySeed_);
  for (GatewayServiceState& service : aState.services_) {
    service.configured_ = false;
  }
  aState.routeServices_.clear();
  for (const GatewayRoute& route : aConfig->routes_) {
    std::vector<ServiceNumber>& services = aState.routeServices_.emplace_back();
    RouteLoad& load = aState.loads_[route.name_];
    if (load.splitCredit_.size() != route.to_.size()) {
      load.splitCredit_.assign(route.to_.size(), 0.0);
    }
    for (const ServiceShare& share : route.to_) {
      services.push_back(MarkConfigured(aState, share.service_));
    }
    for (const std::string& shard : route.shards_) {
      services.push_back(MarkConfigured(aState, shard));
    }
  }
  AdoptColdRates(aState);
  MaintainColdPlan(aState, aNow);
  GatewayStep step{ aState, aNow, aRng, aOut };
  MaintainConnections(step);
  RejectRevokedRuns(step);
  CapOutput caps;
  CapsAdoptConfig(aState.caps_, *aConfig, aNow.mono_, caps);
  ApplyCapOutput(step, caps);
  return true;
}

void
GatewaySetTableAge(GatewayState& aState,
                   Duration aAge,
                   bool aNewerConfig,
                   TimePoint aNow)
{
  aState.tablesAsOf_ = aAge == Duration::max() ? TimePoint{} : aNow - aAge;
  aState.newerConfigExpected_ = aNewerConfig;
}

void
GatewaySetRole(GatewayState& aState, const FleetRole& aRole)
{
  aState.daemons_ = std::max(aRole.connectionShares_, 1U);
  aState.slackFraction_ = aRole.slackFraction_;
  aState.limitShare_ = aRole.limitShare_;
  aState.preconnect_ = aRole.isEntryDaemon_;
  SetColdOwners(aState.coldPlan_, aRole.self_, aRole.coldOwners_);
}

void
GatewayOnEvent(GatewayState& aState,
               const Tick&,
               const Now& aNow,
               Rng& aRng,
               GatewayDecisions& aOut)
{
  GatewayStep step{ aState, aNow, aRng, aOut };
  BasicTimer<GatewayTimer> timer;
  while (PopDueTimer(aState.timers_, aNow.mono_, timer)) {
    HandleTimer(step, timer);
  }
  CapOutput caps;
  CapsOnTick(aState.caps_, aNow.mono_, aRng, caps);
  ApplyCapOutput(step, caps);
  DispatchMarked(step);
}

TimePoint
GatewayNextWake(const GatewayState& aState)
{
  return std::min(EarliestTimerTime(aState.timers_),
                  CapsNextWake(aState.caps_));
}

std::uint32_t
GatewayCpuLoad(const GatewayState& aState)
{
  return static_cast<std::uint32_t>(aState.cpuLoad_ * 1000.0);
}

std::size_t
GatewayInFlight(const GatewayState& aState)
{
  return aState.runs_.Count() + aState.awaiting_.size();
}

} // namespace camphorfield
