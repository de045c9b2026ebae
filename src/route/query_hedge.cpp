// Hedging: sends a duplicate to another server when an attempt is slower than
// most, so that one slow server does not delay the whole query.
#include "route/budget.h"
#include "route/quarantine.h"
#include "route/query_internal.h"
#include "route/sub_owner.h"

namespace camphorfield {

void
OnShardHedgeTimer(Step& aStep, const Sub& aSub)
{
  RouteState& state = aStep.state_;
  Query* query = FindSlot(state.queries_, aSub.owner_.key_);
  const std::uint32_t shard = aSub.owner_.shard_;
  if (query == nullptr || shard >= query->shards_.size() ||
      query->shards_[shard].primary_ != aSub.key_ ||
      query->shards_[shard].hedge_ != 0) {
    return;
  }
  const ServiceIndex index = query->version_->shards_[shard].service_;
  const ServiceState& service = state.services_[index];
  // A hedge must not take capacity from waiting tasks, must have time to answer
  // before the deadline, and must not carry suspect content.
  const bool waiting = CountAhead(service.queue_, Priority::Batch) > 0;
  const bool late =
    aStep.now_.mono_ + service.latency_.p50_ >= query->deadline_;
  if (waiting || late ||
      CheckContent(state, query->fingerprint_, aStep.now_) !=
        SuspectVerdict::Clear) {
    return;
  }
  AddTried(query->shards_[shard], aSub.server_);
  ChoiceDemand demand = DemandOf(*query, shard);
  demand.mustDiffer_ = true;
  const Choice choice = ChooseServer(aStep, demand);
  LimitsState& limits = state.limits_[query->route_->limitsIndex_];
  if (choice.state_ != ChoiceState::Chosen || !SpendHedge(limits)) {
    return;
  }
  SubPlan plan = PlanOf(*query, shard, choice.server_);
  plan.hedge_ = true;
  query->shards_[shard].hedge_ = SendSub(aStep, plan);
  ++state.stats_.hedges_;
  TraceSub(aStep,
           *query,
           TimelineKind::SubHedged,
           choice.server_,
           query->shards_[shard].hedge_,
           "slower than its service's tail");
}

} // namespace camphorfield
