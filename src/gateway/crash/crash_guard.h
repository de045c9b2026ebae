/** Content that crashes backend servers. */
#pragma once

#include "gateway/gateway_internal.h"

namespace camphorfield {

/** Hashes of host, target, caller and body, equal for repeated requests. */
ContentKeys
MakeContentKeys(const ProxyRequest& aRequest);

/** Whether content has crashed too many servers to be run again. */
bool
IsQuarantined(const GatewayState& aState,
              const ContentKeys& aContent,
              TimePoint aNow);

/** How long evidence is kept after the latest crash. */
Duration
EvidenceTimeToLive(const CrashEvidence& aEvidence);

/** Whether there is evidence against content, or its part for some shard. */
bool
IsSuspected(const GatewayState& aState, const ContentKeys& aContent);

/** Whether there is evidence that content crashes servers of all shards. */
bool
IsSuspectedOnAllShards(const GatewayState& aState, const ContentKeys& aContent);

/** Records a connection that broke with a request in flight. */
void
RecordBrokenConnection(GatewayStep& aStep,
                       const Backend& aBackend,
                       const GatewayRun& aRun,
                       std::uint32_t aPart,
                       BackendEnd aEnd);

/** Records that a server has crashed: its connections broke because of that. */
void
RecordCrash(GatewayStep& aStep,
            std::uint64_t aBackend,
            const std::string& aReason);

/**
 * Drops the broken connections of a server that has answered a request: it has
 * not crashed between the opening of the connection and the send.
 */
void
RefuteCrash(GatewayState& aState,
            std::uint64_t aBackend,
            TimePoint aOpenedAt,
            TimePoint aSentAt);

/** Drops the evidence against content that has been answered. */
void
RefuteSuspicion(GatewayStep& aStep, const GatewayRun& aRun);

/** Keeps the evidence of a run that ends: of its parts without an answer. */
void
SettleSuspicion(GatewayStep& aStep, const GatewayRun& aRun);

} // namespace camphorfield
