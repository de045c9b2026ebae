// Runs a query on one shard first where it may crash each server that runs it:
// there is evidence against its content, other queries did so a moment ago, or
// servers broke off under it before any shard has answered. One query would
// otherwise crash one or two servers of each shard. The first answer shows that
// the others can be asked, too.
#include "gateway/backend/backend_internal.h"
#include "gateway/crash/crash_guard.h"
#include "gateway/request/request_internal.h"
#include "gateway/request/route_times.h"

#include <algorithm>
#include <vector>

namespace camphorfield {

namespace {

/** Shards asked one after the other while none has broken off. */
constexpr std::uint32_t kMaxProbes = 3;

bool
HasActivePart(const GatewayRun& aRun)
{
  return std::any_of(
    aRun.parts_.begin(), aRun.parts_.end(), [](const RequestPart& aPart) {
      return aPart.phase_ == PartPhase::Waiting ||
             aPart.phase_ == PartPhase::Running;
    });
}

std::vector<std::uint32_t>
FindHeld(const GatewayRun& aRun)
{
  std::vector<std::uint32_t> held;
  for (std::uint32_t i = 0; i < aRun.parts_.size(); ++i) {
    if (aRun.parts_[i].phase_ == PartPhase::Held) {
      held.push_back(i);
    }
  }
  return held;
}

/** Chooses one of the parts, with an available server if possible. */
std::uint32_t
ChooseProbe(GatewayStep& aStep,
            const GatewayRun& aRun,
            const std::vector<std::uint32_t>& aHeld)
{
  const GatewayState& state = aStep.state_;
  const std::size_t first = aStep.rng_() % aHeld.size();
  for (std::size_t i = 0; i < aHeld.size(); ++i) {
    const std::uint32_t part = aHeld[(first + i) % aHeld.size()];
    const GatewayServiceState& service =
      state.services_[aRun.parts_[part].service_];
    if (!IsServiceDown(state, service, aStep.Time())) {
      return part;
    }
  }
  return aHeld[first];
}

/** Queues a held part, as a retry if it has been sent; else fails it. */
void
ReleasePart(GatewayStep& aStep, GatewayRun& aRun, std::uint32_t aPart)
{
  const RequestPart& part = aRun.parts_[aPart];
  if (part.sends_ > 0) {
    RetryOrFail(aStep, aRun, aPart);
  } else {
    EnqueuePart(aStep, aRun, aPart);
  }
}

/** Handles each held part; the run may finish meanwhile. */
template<typename Function>
void
ForEachHeld(GatewayStep& aStep, GatewayRun& aRun, const Function& aFunction)
{
  const std::uint64_t key = aRun.key_;
  for (const std::uint32_t part : FindHeld(aRun)) {
    GatewayRun* run = FindSlot(aStep.state_.runs_, key);
    if (run == nullptr) {
      return;
    }
    if (run->parts_[part].phase_ == PartPhase::Held) {
      aFunction(aStep, *run, part);
    }
  }
}

} // namespace

bool
MayCrashServers(const GatewayRun& aRun)
{
  return aRun.route_->IsQuery() && aRun.done_ == 0 && aRun.broken_ > 0;
}

void
ProbeFirst(GatewayStep& aStep, GatewayRun& aRun)
{
  if (!aRun.route_->IsQuery()) {
    return;
  }
  const bool inWave =
    aStep.Time() < aStep.state_.crashWaveUntil_ &&
    TypicalLatency(*aRun.load_, *aRun.route_) * kLatenciesToProbe <
      aRun.softAt_ - aStep.Time();
  if (!inWave && !IsSuspectedOnAllShards(aStep.state_, aRun.content_)) {
    return;
  }
  for (RequestPart& part : aRun.parts_) {
    part.phase_ = PartPhase::Held;
  }
}

void
AdvanceProbe(GatewayStep& aStep, GatewayRun& aRun)
{
  if (aRun.done_ > 0 || HasActivePart(aRun)) {
    return;
  }
  const std::vector<std::uint32_t> held = FindHeld(aRun);
  if (held.empty()) {
    return;
  }
  if (aRun.probes_ < (aRun.broken_ > 0 ? 1U : kMaxProbes)) {
    ++aRun.probes_;
    ReleasePart(aStep, aRun, ChooseProbe(aStep, aRun, held));
    return;
  }
  ForEachHeld(aStep, aRun, FailPart);
}

void
ReleaseHeld(GatewayStep& aStep, GatewayRun& aRun)
{
  ForEachHeld(aStep, aRun, ReleasePart);
}

} // namespace camphorfield
