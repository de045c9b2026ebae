/** Life cycle of one query, from arrival to answer. */
#pragma once

#include "route/route_base.h"
#include "route/sub_cmd.h"

namespace camphorfield {

/** Admit a query and queue its shards, or refuse it before anything is sent. */
void
StartQuery(Step& aStep, const CallerRequest& aRequest);

/** Drop a query whose caller has disconnected. */
void
DropQuery(Step& aStep, CallerRequestId aId);

/** Answer a query with the shards covered so far, and end it. */
void
FinishQuery(Step& aStep, Query& aQuery);

/**
 * Answer a query if no shard is open, or if its soft answer time has passed
 * and its coverage suffices.
 */
void
FinishIfReady(Step& aStep, Query& aQuery);

/** Cancel all attempts of a query and remove its shards from the queues. */
void
ReleaseShards(Step& aStep, Query& aQuery);

/** Queue every shard of the pinned version at its service. */
void
EnqueueShards(Step& aStep, Query& aQuery);

/** Queue one shard at its service. */
void
EnqueueShard(Step& aStep, Query& aQuery, std::uint32_t aShard);

/** Mark a shard as uncovered. May end the query. */
void
GiveUpShard(Step& aStep,
            Query& aQuery,
            std::uint32_t aShard,
            UncoveredReason aReason);

/** Restart the query on another snapshot, at most once.
 * @return False when that is not possible; nothing has changed.
 */
bool
RestartQuery(Step& aStep, Query& aQuery);

/** Queue a shard again after its retry delay. */
void
ResumeShard(Step& aStep, std::uint64_t aQuery, std::uint32_t aShard);

/** Handle the deadline or the soft answer time of a query. */
void
HandleQueryTimer(Step& aStep, const Timer& aTimer);

/** Pick the version to pin: the newest with a usable server for every shard,
 * else the one with the most usable shards.
 * @param aExcluded Version not to pick; invalid: none.
 * @return Null when no shard of any version can be served.
 */
SharedVersion
PickVersion(const RouteState& aState,
            const CompiledRoute& aRoute,
            SnapshotVersion aExcluded,
            TimePoint aNow);

} // namespace camphorfield
