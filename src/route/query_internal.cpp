// Functions shared by primary attempts at a shard and hedges.
#include "route/query_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

std::span<const ServerIndex>
TriedOf(const ShardRun& aRun)
{
  return { aRun.triedServers_.data(), aRun.tried_ };
}

} // namespace

void
AddTried(ShardRun& aRun, ServerIndex aServer)
{
  const auto end = aRun.triedServers_.begin() + aRun.tried_;
  if (std::find(aRun.triedServers_.begin(), end, aServer) != end) {
    return;
  }
  // Drop the oldest entry: that server has had the most time to recover.
  if (aRun.tried_ == kMaxTried) {
    std::shift_left(aRun.triedServers_.begin(), aRun.triedServers_.end(), 1);
    --aRun.tried_;
  }
  aRun.triedServers_[aRun.tried_++] = aServer;
}

ChoiceDemand
DemandOf(const Query& aQuery, std::uint32_t aShard)
{
  ChoiceDemand demand;
  demand.service_ = aQuery.version_->shards_[aShard].service_;
  demand.version_ = aQuery.version_->version_;
  demand.priority_ = aQuery.route_->spec_.priority_;
  demand.tried_ = TriedOf(aQuery.shards_[aShard]);
  return demand;
}

SubPlan
PlanOf(const Query& aQuery, std::uint32_t aShard, ServerIndex aServer)
{
  SubPlan plan;
  plan.owner_ = { OwnerKind::Query, aQuery.round_, aShard, aQuery.key_ };
  plan.server_ = aServer;
  plan.shard_ = aQuery.version_->shards_[aShard].name_;
  plan.version_ = aQuery.version_->version_;
  plan.deadline_ = aQuery.deadline_;
  plan.body_ = aQuery.body_;
  plan.fingerprint_ = aQuery.fingerprint_;
  plan.keepUntilDeadline_ =
    aQuery.shards_[aShard].silent_ >= kMaxSilentAttempts;
  return plan;
}

void
TraceSub(Step& aStep,
         const Query& aQuery,
         TimelineKind aKind,
         ServerIndex aServer,
         std::uint64_t aSub,
         const char* aReason)
{
  aStep.out_.emplace_back(
    TimelineRecord{ aKind,
                    aQuery.id_.value_,
                    aStep.state_.servers_[aServer].spec_.name_,
                    aSub,
                    aReason });
}

} // namespace camphorfield
