// Admission control: refuses queries early under overload, when they would miss
// their deadline anyway, and limits the share of one caller.
#include "route/admission.h"

#include "route/server_health.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace camphorfield {

namespace {

/** Share of the in-flight limit that each priority may use. */
constexpr std::array<double, static_cast<std::size_t>(Priority::End)>
  kPriorityShare{ 1.0, 0.9, 0.7 };
constexpr double kEstimateMargin = 0.9; ///< Usable share of the timeout.
/** With more callers, the whole backlog counts as ahead of a query. */
constexpr std::size_t kMaxFairCallers = 256;
constexpr Duration kRetryAfterFloor = milliseconds(100);

/** Capacity of the usable servers of a service. */
struct Capacity
{
  double concurrency_ = 0.0; ///< Requests in flight, at most.
  double latency_ = 0.0;     ///< Mean weighted by places_, in microseconds.
};

Capacity
GetCapacity(const RouteState& aState, ServiceIndex aService)
{
  Capacity capacity;
  for (const ServerIndex index : aState.services_[aService].servers_) {
    const ServerState& server = aState.servers_[index];
    if (!server.configured_ || IsLeaving(server) || IsDown(aState, index) ||
        IsEjected(server)) {
      continue;
    }
    const double limit = std::floor(server.limit_);
    capacity.concurrency_ += limit;
    capacity.latency_ += limit * server.latency_;
  }
  if (capacity.concurrency_ > 0.0) {
    capacity.latency_ /= capacity.concurrency_;
  }
  return capacity;
}

Duration
SlowestEstimate(const RouteState& aState,
                const CompiledVersion& aVersion,
                Priority aPriority,
                double aBacklogShare)
{
  Duration slowest{};
  for (std::size_t i = 0; i < aVersion.services_.size(); ++i) {
    slowest = std::max(slowest,
                       EstimateTime(aState,
                                    aVersion.services_[i],
                                    aPriority,
                                    aVersion.perService_[i],
                                    aBacklogShare));
  }
  return slowest;
}

std::uint32_t
ShareOf(std::uint32_t aWhole, double aShare)
{
  return std::max<std::uint32_t>(
    1, static_cast<std::uint32_t>(std::floor(aWhole * aShare)));
}

// Share of the queued shards that fair queueing serves before a new query.
// Callers take turns, so of the backlog of another caller only as much counts
// as this caller would have itself.
double
BacklogShareAhead(const LimitsState& aLimits,
                  const std::string& aCaller,
                  std::uint64_t aShards)
{
  if (aLimits.shards_ == 0 || aLimits.callers_.size() > kMaxFairCallers) {
    return 1.0;
  }
  const auto found = aLimits.callers_.find(aCaller);
  const std::uint64_t own =
    aShards + (found == aLimits.callers_.end() ? 0 : found->second.shards_);
  std::uint64_t ahead = 0;
  for (const auto& [name, caller] : aLimits.callers_) {
    ahead += std::min(caller.shards_, own);
  }
  return static_cast<double>(ahead) / static_cast<double>(aLimits.shards_);
}

} // namespace

Duration
EstimateTime(const RouteState& aState,
             ServiceIndex aService,
             Priority aPriority,
             std::uint32_t aAdded,
             double aBacklogShare)
{
  const Capacity capacity = GetCapacity(aState, aService);
  // Without a reachable server there is no estimate. The shards of this service
  // are answered as uncovered, but the query must not be refused for them.
  if (capacity.concurrency_ <= 0.0 || capacity.latency_ <= 0.0) {
    return Duration::zero();
  }
  const ServiceState& service = aState.services_[aService];
  double busy = 0.0;
  for (const ServerIndex index : service.servers_) {
    busy += aState.servers_[index].inFlight_;
  }
  const double ahead =
    busy + CountAhead(service.queue_, aPriority) * aBacklogShare + aAdded;
  const double rounds = std::max(1.0, ahead / capacity.concurrency_);
  return Duration(static_cast<std::int64_t>(rounds * capacity.latency_));
}

Admission
AdmitQuery(Step& aStep,
           const CompiledRoute& aRoute,
           const CompiledVersion& aVersion,
           const std::string& aCaller,
           Duration aTime)
{
  const RouteState& state = aStep.state_;
  const LimitsState& limits = state.limits_[aRoute.limitsIndex_];
  const LimitsSpec& spec = aRoute.limits_;
  const Priority priority = aRoute.spec_.priority_;
  const double share = kPriorityShare[static_cast<std::size_t>(priority)];
  if (limits.inFlight_ >= ShareOf(spec.maxInFlight_, share)) {
    return { ResultCode::Overloaded, kRetryAfterFloor };
  }
  const auto caller = limits.callers_.find(aCaller);
  if (caller != limits.callers_.end() &&
      caller->second.inFlight_ >=
        ShareOf(spec.maxInFlight_, spec.callerShare_)) {
    return { ResultCode::CallerOverLimit, kRetryAfterFloor };
  }
  const double ahead =
    BacklogShareAhead(limits, aCaller, aVersion.shards_.size());
  const Duration estimate = SlowestEstimate(state, aVersion, priority, ahead);
  const auto usable = Duration(static_cast<std::int64_t>(
    static_cast<double>(aTime.count()) * kEstimateMargin));
  if (estimate <= usable) {
    return {};
  }
  const ResultCode code = estimate > aRoute.spec_.deadline_
                            ? ResultCode::Overloaded
                            : ResultCode::DeadlineTooShort;
  return { code, std::max(kRetryAfterFloor, estimate - usable) };
}

std::uint64_t
RegisterQuery(Step& aStep, Query& aQuery)
{
  aQuery.registeredShards_ =
    static_cast<std::uint32_t>(aQuery.version_->shards_.size());
  LimitsState& limits = aStep.state_.limits_[aQuery.route_->limitsIndex_];
  ++limits.inFlight_;
  limits.shards_ += aQuery.registeredShards_;
  CallerShare& caller = limits.callers_[aQuery.caller_];
  ++caller.inFlight_;
  caller.shards_ += aQuery.registeredShards_;
  // Start-time fair queueing: the next query of a caller starts at the virtual
  // time where its last one ended, so its backlog does not delay other callers.
  const std::uint64_t tag = std::max(aStep.state_.virtualTime_, caller.tag_);
  caller.tag_ = tag + aQuery.registeredShards_;
  return tag;
}

void
UnregisterQuery(Step& aStep, const Query& aQuery)
{
  LimitsState& limits = aStep.state_.limits_[aQuery.route_->limitsIndex_];
  --limits.inFlight_;
  limits.shards_ -= aQuery.registeredShards_;
  const auto caller = limits.callers_.find(aQuery.caller_);
  if (caller == limits.callers_.end()) {
    return;
  }
  --caller->second.inFlight_;
  caller->second.shards_ -= aQuery.registeredShards_;
  if (caller->second.inFlight_ == 0) {
    limits.callers_.erase(caller);
  }
}

} // namespace camphorfield
