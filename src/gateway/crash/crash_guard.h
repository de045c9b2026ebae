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

/** Hash of a server's id, start and restarts. */
std::uint64_t
HashIncarnation(const Backend& aBackend);

/** How it shows that a server has crashed. */
enum class CrashSign : std::uint8_t
{
  Unreachable, ///< It accepts no connections; a machine that is silent may run.
  Gone         ///< Its entry has lapsed, or another server has its place.
};

/**
 * Records that an attempt of a run ends without an answer, unless its server
 * has answered others meanwhile.
 * @param aReason Why its connection ended; AttemptLoss::Broken only.
 */
void
RecordLostAttempt(GatewayStep& aStep,
                  const GatewayRun& aRun,
                  const Attempt& aAttempt,
                  AttemptLoss aLoss,
                  const char* aReason = "");

/** Counts the silence of servers as crashes under content that has crashed
 * many, until their fate is known. */
void
AssumeCrashes(GatewayStep& aStep);

/** Records that a server has crashed: it answers no attempt because of that. */
void
RecordCrash(GatewayStep& aStep,
            std::uint64_t aBackend,
            CrashSign aSign,
            const std::string& aReason);

/** Records an answer of a server. Drops the lost attempts during which it was
 * up: after the opening of the connection and before the send. */
void
RecordLifeSign(GatewayStep& aStep,
               Backend& aBackend,
               TimePoint aOpenedAt,
               TimePoint aSentAt);

/** Records the answer of a server to an attempt that was cancelled. */
void
RecordLateAnswer(GatewayStep& aStep,
                 Backend& aBackend,
                 const std::string& aRequestId);

/** Drops the evidence from the crash of an incarnation that is listed again. */
void
RefuteCrash(GatewayStep& aStep, const BackendEntry& aEntry);

/** Drops the evidence against content that has been answered. */
void
RefuteSuspicion(GatewayStep& aStep, const GatewayRun& aRun);

/** Keeps the evidence of a run that ends: of its parts without an answer. */
void
SettleSuspicion(GatewayStep& aStep, const GatewayRun& aRun);

} // namespace camphorfield
