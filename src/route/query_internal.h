/** Functions shared by primary attempts at a shard and hedges. */
#pragma once

#include "route/route_base.h"
#include "route/server_choice.h"
#include "route/sub_cmd.h"

namespace camphorfield {

/** Add a server to those tried for a shard. */
void
AddTried(ShardRun& aRun, ServerIndex aServer);

/** Demands of a shard on its server. */
ChoiceDemand
DemandOf(const Query& aQuery, std::uint32_t aShard);

/** Plan of the sub-request of a shard to a server. */
SubPlan
PlanOf(const Query& aQuery, std::uint32_t aShard, ServerIndex aServer);

/** Record an attempt in the timeline. */
void
TraceSub(Step& aStep,
         const Query& aQuery,
         TimelineKind aKind,
         ServerIndex aServer,
         std::uint64_t aSub,
         const char* aReason);

} // namespace camphorfield
