// Tracks which servers are cold: after their start, when they say so later,
// after an evacuation, and after a restart that their entries don't show yet.
// Each of these may strike all servers of a failure domain at once.
#include "gateway/gateway_internal.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace camphorfield {

void
AdoptColdRates(GatewayState& aState)
{
  const GatewaySettings& settings = aState.settings_;
  const bool enabled =
    settings.warmupOverage_ > 0.0 || settings.warmupSlack_ > 0.0;
  std::map<double, ColdSlots> slots;
  for (GatewayServiceState& service : aState.services_) {
    const auto found = aState.config_->services_.find(service.name_);
    const bool limited = enabled && found != aState.config_->services_.end();
    service.warmup_ = limited ? found->second.warmup_ : Duration::zero();
    service.warmupPerSecond_ = limited ? found->second.warmupPerSecond_ : 0.0;
    const double perSecond = service.warmupPerSecond_;
    if (perSecond <= 0.0 || slots.count(perSecond) > 0) {
      continue;
    }
    const auto known = aState.coldPlan_.slots_.find(perSecond);
    if (known != aState.coldPlan_.slots_.end()) {
      slots[perSecond] = std::move(known->second);
    } else {
      slots[perSecond].rate_ =
        MakeColdRate(perSecond, settings.warmupOverage_, settings.warmupSlack_);
    }
  }
  aState.coldPlan_.slots_ = std::move(slots);
}

void
MaintainColdPlan(GatewayState& aState, const Now& aNow)
{
  ExtendColdPlan(aState.coldPlan_, aNow);
}

// The phase never gets shorter: what the server has said may have been
// overtaken by its restart or by the end of an evacuation.
void
BeginCold(GatewayStep& aStep,
          Backend& aBackend,
          Duration aLeft,
          const std::string& aReason)
{
  const GatewayServiceState& service =
    aStep.state_.services_[aBackend.service_];
  if (service.warmupPerSecond_ <= 0.0 || aLeft <= Duration::zero()) {
    return;
  }
  if (aBackend.cold_.until_ <= aStep.Time()) {
    ++aStep.state_.stats_.coldPhases_;
    aStep.out_.emplace_back(
      BackendRecord{ aBackend.entry_.id_,
                     aBackend.entry_.service_,
                     "cold",
                     absl::StrCat(aReason,
                                  "; for ",
                                  aLeft.count() / 1000,
                                  " ms, takes ",
                                  service.warmupPerSecond_,
                                  " requests/s") });
  }
  aBackend.cold_.until_ = std::max(aBackend.cold_.until_, aStep.Time() + aLeft);
}

void
AssumeCold(GatewayStep& aStep, Backend& aBackend, const std::string& aReason)
{
  BeginCold(aStep,
            aBackend,
            aStep.state_.services_[aBackend.service_].warmup_,
            aReason);
}

void
KeepCold(GatewayState& aState, const Backend& aBackend, TimePoint aNow)
{
  std::erase_if(aState.unlistedCold_, [aNow](const auto& aItem) {
    return aItem.second.until_ <= aNow;
  });
  if (aBackend.cold_.until_ > aNow) {
    aState
      .unlistedCold_[{ aBackend.entry_.id_, aBackend.entry_.startedMillis_ }] =
      aBackend.cold_;
  }
}

// At the latest, the request can be sent when the server is no longer cold.
Duration
TimeUntilColdRoom(const GatewayState& aState,
                  const Backend& aBackend,
                  std::size_t aAhead,
                  TimePoint aNow)
{
  const double perSecond = aState.services_[aBackend.service_].warmupPerSecond_;
  if (perSecond <= 0.0 || aBackend.cold_.until_ <= aNow) {
    return Duration::zero();
  }
  return std::min(aBackend.cold_.until_ - aNow,
                  TimeUntilColdSlot(
                    aState.coldPlan_, aBackend.cold_, perSecond, aAhead, aNow));
}

void
CountColdSend(GatewayState& aState, Backend& aBackend, TimePoint aNow)
{
  const double perSecond = aState.services_[aBackend.service_].warmupPerSecond_;
  if (perSecond <= 0.0 || aBackend.cold_.until_ <= aNow) {
    return;
  }
  ++aState.stats_.coldSends_;
  UseColdSlot(aState.coldPlan_, aBackend.cold_, perSecond, aNow);
}

} // namespace camphorfield
