// Tracks which servers are cold: after their start, when they say so later,
// after an evacuation, and after a restart that their entries don't show yet.
// Each of these may strike all servers of a failure domain at once.
#include "gateway/backend/backend_internal.h"
#include "gateway/gateway_func.h"
#include "gateway/guidance/guidance_internal.h"
#include "gateway/request/route_times.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <random>

namespace camphorfield {

namespace {

/** Share of the warm servers' capacity that is left to callers who return. The
 * rest is for new ones: at 60 queries/s and 6 shards of 2 slots, a share of 1
 * made servers reject parts, and 159 of 509 queries failed. */
constexpr double kReturnShare = 0.33;

/** Time that callers who return when a service's servers are warm are spread
 * over, up to the next one; zero while they are still cold at that time. The
 * first callers of many daemons must not return together: at 83 daemons, 68 of
 * 509 queries failed then. */
Duration
DelayAfterCold(GatewayStep& aStep,
               const GatewayServiceState& aService,
               const GatewayRun& aRun,
               TimePoint aAt)
{
  const GatewayState& state = aStep.state_;
  TimePoint warmAt = kNever;
  double slots = 0.0;
  for (const std::uint64_t key : aService.backends_) {
    const Backend& backend = state.backends_.slots_[key & kSlotMask];
    if (IsUsable(backend)) {
      warmAt = std::min(warmAt, backend.cold_.until_);
      slots += backend.entry_.slots_;
    }
  }
  if (aAt < warmAt || slots <= 0.0) {
    return Duration::zero();
  }
  const auto before = std::distance(aService.coldPromises_.lower_bound(warmAt),
                                    aService.coldPromises_.end());
  const Duration latency = TypicalLatency(*aRun.load_, *aRun.route_);
  std::uniform_real_distribution<double> jitter(0.0, 1.0);
  return Duration(static_cast<std::int64_t>(
    (static_cast<double>(before) + jitter(aStep.rng_)) *
    static_cast<double>(latency.count()) /
    (slots * kReturnShare * state.limitShare_)));
}

} // namespace

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
  // The limit may become known after the server.
  if (service.warmupPerSecond_ > 0.0 && aLeft > Duration::zero() &&
      aBackend.cold_.until_ <= aStep.Time()) {
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

bool
HasColdServer(const GatewayState& aState,
              const GatewayServiceState& aService,
              TimePoint aNow)
{
  return aService.warmupPerSecond_ > 0.0 &&
         std::any_of(aService.backends_.begin(),
                     aService.backends_.end(),
                     [&aState, aNow](std::uint64_t aKey) {
                       const Backend& backend =
                         aState.backends_.slots_[aKey & kSlotMask];
                       return IsUsable(backend) && aNow < backend.cold_.until_;
                     });
}

std::size_t
CountColdServers(const GatewayState& aState)
{
  // The time of the latest maintenance, a moment ago.
  return static_cast<std::size_t>(std::count_if(
    aState.backendOf_.begin(),
    aState.backendOf_.end(),
    [&aState](const auto& aItem) {
      const Backend& backend =
        aState.backends_.slots_[aItem.second & kSlotMask];
      return aState.services_[backend.service_].warmupPerSecond_ > 0.0 &&
             backend.cold_.until_ > aState.cpuLoadAt_;
    }));
}

bool
HasOnlyColdRoom(const GatewayState& aState,
                const GatewayRoute& aRoute,
                TimePoint aNow)
{
  if (aState.coldPlan_.slots_.empty()) {
    return false;
  }
  const std::vector<ServiceNumber>& services = ServicesOf(aState, aRoute);
  return std::any_of(
    services.begin(), services.end(), [&aState, aNow](ServiceNumber aNumber) {
      const GatewayServiceState& service = aState.services_[aNumber];
      return HasColdServer(aState, service, aNow) &&
             TimeUntilRoom(aState, service, service.queue_.size() + 1, aNow) >
               Duration::zero();
    });
}

// Each promise that is due before the room found takes its place.
Duration
TimeUntilUnpromisedRoom(const GatewayState& aState,
                        const GatewayServiceState& aService,
                        TimePoint aNow)
{
  const std::multiset<TimePoint>& promises = aService.coldPromises_;
  const std::size_t queued = aService.queue_.size();
  Duration wait = TimeUntilRoom(aState, aService, queued, aNow);
  if (promises.empty() || !HasColdServer(aState, aService, aNow)) {
    return wait;
  }
  std::size_t before = 0;
  while (wait != Duration::max()) {
    const auto due = static_cast<std::size_t>(std::distance(
      promises.upper_bound(aNow), promises.upper_bound(aNow + wait)));
    if (due <= before) {
      break;
    }
    before = due;
    wait = TimeUntilRoom(aState, aService, queued + before, aNow);
  }
  return wait;
}

// Requests that arrive meanwhile are told a later time, so that the caller is
// not rejected again for the same slot. Callers without a slot return when the
// servers are warm, one after the other as these can serve them.
Duration
PromiseColdSlot(GatewayStep& aStep, const GatewayRun& aRun, Duration aWait)
{
  const TimePoint now = aStep.Time();
  if (aWait == Duration::max()) {
    return Duration::zero();
  }
  Duration wait = aWait;
  bool isFirst = true;
  for (const RequestPart& part : aRun.parts_) {
    GatewayServiceState& service = aStep.state_.services_[part.service_];
    std::multiset<TimePoint>& promises = service.coldPromises_;
    promises.erase(promises.begin(), promises.upper_bound(now));
    if (!HasColdServer(aStep.state_, service, now)) {
      continue;
    }
    if (isFirst) {
      wait += DelayAfterCold(aStep, service, aRun, now + aWait);
      isFirst = false;
    }
    promises.insert(now + wait);
  }
  return wait;
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
