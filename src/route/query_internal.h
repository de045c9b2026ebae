/** Parts shared by attempts at a shard and by their hedges. */
#pragma once

#include "route/route_base.h"
#include "route/server_choice.h"
#include "route/sub_cmd.h"

namespace camphorfield {

/** Remember a server that a shard was sent to. */
void
AddTried(ShardRun& aRun, ServerIndex aServer);

/** What a shard's sub-request needs. */
ChoiceDemand
DemandOf(const Query& aQuery, std::uint32_t aShard);

/** A shard's sub-request to a server. */
SubPlan
PlanOf(const Query& aQuery, std::uint32_t aShard, ServerIndex aServer);

/** Put an attempt on the time line. */
void
TraceSub(Step& aStep,
         const Query& aQuery,
         TimelineKind aKind,
         ServerIndex aServer,
         std::uint64_t aSub,
         const char* aReason);

} // namespace camphorfield
