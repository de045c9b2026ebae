// Takes load off whole failure domains and returns it: operators evacuate a
// domain under load, end the evacuation while its servers are cold, and may do
// both again at any moment, during an outage of the store too.
#include "gateway/guidance/evacuation.h"

#include "gateway/backend/backend_internal.h"
#include "gateway/gateway_func.h"
#include "gateway/guidance/guidance_internal.h"
#include "gateway/request/request_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Load returns over this time: longer than the cold phase of usual servers,
 * 3 s, as they may have become cold just before the end. */
constexpr Duration kReturnRamp = std::chrono::seconds(5);
/** Additional cost of a returning domain's servers at the start of the ramp, as
 * a share of their expected time. Servers of other domains get the load until
 * they take three times as long as an idle server. */
constexpr double kReturnWeight = 2.0;

/** Fails the parts that wait for services without any server left: they can't
 * be sent before the evacuation ends. */
void
FailEvacuatedParts(GatewayStep& aStep)
{
  GatewayState& state = aStep.state_;
  for (std::size_t i = 0; i < state.services_.size(); ++i) {
    if (!IsServiceEvacuated(state, state.services_[i])) {
      continue;
    }
    // A failed part may end its run and take other parts out of the queue.
    while (!state.services_[i].queue_.empty()) {
      const QueueKey key = *state.services_[i].queue_.begin();
      GatewayRun& run = *FindSlot(state.runs_, std::get<3>(key));
      const std::uint32_t part = std::get<4>(key);
      DequeuePart(state, run.parts_[part]);
      ++state.stats_.evacuatedParts_;
      FailPart(aStep, run, part);
    }
  }
}

} // namespace

EvacuationChange
UpdateEvacuations(Evacuations& aEvacuations,
                  const std::set<std::string>& aDomains,
                  TimePoint aNow)
{
  EvacuationChange change;
  std::erase_if(aEvacuations.endedAt_, [aNow](const auto& aItem) {
    return aItem.second + kReturnRamp <= aNow;
  });
  for (const auto& [domain, since] : aEvacuations.since_) {
    if (aDomains.count(domain) == 0) {
      change.ended_.push_back(domain);
    }
  }
  for (const std::string& domain : change.ended_) {
    aEvacuations.since_.erase(domain);
    aEvacuations.endedAt_[domain] = aNow;
  }
  for (const std::string& domain : aDomains) {
    if (aEvacuations.since_.try_emplace(domain, aNow).second) {
      aEvacuations.endedAt_.erase(domain);
      change.begun_.push_back(domain);
    }
  }
  return change;
}

bool
IsEvacuated(const Evacuations& aEvacuations, const std::string& aDomain)
{
  return aEvacuations.since_.count(aDomain) > 0;
}

double
ReturnFactor(const Evacuations& aEvacuations,
             const std::string& aDomain,
             TimePoint aNow)
{
  const auto ended = aEvacuations.endedAt_.find(aDomain);
  if (ended == aEvacuations.endedAt_.end()) {
    return 1.0;
  }
  const std::chrono::duration<double> passed = aNow - ended->second;
  const std::chrono::duration<double> ramp = kReturnRamp;
  return 1.0 + kReturnWeight * std::max(0.0, 1.0 - passed / ramp);
}

bool
IsServiceEvacuated(const GatewayState& aState,
                   const GatewayServiceState& aService)
{
  return !aService.backends_.empty() &&
         std::all_of(
           aService.backends_.begin(),
           aService.backends_.end(),
           [&aState](std::uint64_t aKey) {
             return aState.backends_.slots_[aKey & kSlotMask].evacuated_;
           });
}

void
UpdateEvacuated(GatewayStep& aStep, Backend& aBackend)
{
  const bool evacuated =
    IsEvacuated(aStep.state_.evacuations_, aBackend.entry_.failureDomain_);
  if (evacuated == aBackend.evacuated_) {
    return;
  }
  aBackend.evacuated_ = evacuated;
  if (evacuated) {
    CloseIdle(aStep, aBackend);
  } else {
    AssumeCold(aStep, aBackend, "its failure domain was evacuated");
  }
}

EvacuationChange
GatewayAdoptEvacuations(GatewayState& aState,
                        const std::set<std::string>& aDomains,
                        const Now& aNow,
                        Rng& aRng,
                        GatewayDecisions& aOut)
{
  EvacuationChange change =
    UpdateEvacuations(aState.evacuations_, aDomains, aNow.mono_);
  if (change.begun_.empty() && change.ended_.empty()) {
    return change;
  }
  aState.stats_.evacuations_ += change.begun_.size();
  GatewayStep step{ aState, aNow, aRng, aOut };
  for (const auto& [incarnation, key] : aState.backendOf_) {
    Backend& backend = *FindSlot(aState.backends_, key);
    UpdateEvacuated(step, backend);
    EnsureConnections(step, backend);
    MarkService(aState, backend.service_);
  }
  FailEvacuatedParts(step);
  DispatchMarked(step);
  return change;
}

} // namespace camphorfield
