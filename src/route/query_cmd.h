/** One query from its arrival to its answer. */
#pragma once

#include "route/route_base.h"
#include "route/sub_cmd.h"

namespace camphorfield {

/** Start a query, or refuse it before anything is sent. */
void
StartQuery(Step& aStep, const CallerRequest& aRequest);

/** Drop a query whose caller is gone. */
void
DropQuery(Step& aStep, CallerRequestId aId);

/** Answer a query with what it has. */
void
FinishQuery(Step& aStep, Query& aQuery);

/** Answer a query if it has enough and its soft answer time has passed. */
void
FinishIfReady(Step& aStep, Query& aQuery);

/** Stop all attempts of a query and take its shards out of the queues. */
void
ReleaseShards(Step& aStep, Query& aQuery);

/** Put every shard of the pinned version into its service's queue. */
void
EnqueueShards(Step& aStep, Query& aQuery);

/** Put one shard into its service's queue. */
void
EnqueueShard(Step& aStep, Query& aQuery, std::uint32_t aShard);

/** Give a shard up for a reason. */
void
GiveUpShard(Step& aStep,
            Query& aQuery,
            std::uint32_t aShard,
            UncoveredReason aReason);

/**
 * Start the query over on another snapshot, once.
 * @return False when that isn't possible; nothing has changed.
 */
bool
RestartQuery(Step& aStep, Query& aQuery);

/** Look again at a shard whose pause is over. */
void
ResumeShard(Step& aStep, std::uint64_t aQuery, std::uint32_t aShard);

/** A timer of a query is due. */
void
HandleQueryTimer(Step& aStep, const Timer& aTimer);

/**
 * Version to pin: the newest with a usable server for every shard as far as
 * known, else the one with the most.
 * @param aExcluded Version to leave out.
 * @return Null when no shard of any version can be served.
 */
SharedVersion
PickVersion(const RouteState& aState,
            const CompiledRoute& aRoute,
            SnapshotVersion aExcluded,
            TimePoint aNow);

} // namespace camphorfield
