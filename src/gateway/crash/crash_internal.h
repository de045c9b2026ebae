/** Functions that the sources on content that crashes servers share. */
#pragma once

#include "gateway/gateway_internal.h"

#include <string>

namespace camphorfield {

void
ReportSuspicion(GatewayStep& aStep,
                SuspicionEvent aEvent,
                const LostAttempt& aLost,
                std::string aReason);

/** Whether the crash of its server may be due to a lost attempt. */
bool
MayBeCause(const LostAttempt& aLost);

/** Whether a crash under a run without any answer completes the evidence. */
bool
CompletesEvidence(GatewayState& aState, const LostAttempt& aLost);

/** Adds a crash to the evidence against the content of a lost attempt, unless
 * something else caused it. */
void
AddEvidence(GatewayStep& aStep, const LostAttempt& aLost);

/** Drops the evidence from a crash that did not happen. */
void
DropEvidence(GatewayStep& aStep, const LostAttempt& aLost);

/** Whether content has crashed as many servers as suffice, alone or in the same
 * shard, under too few requests or at too few moments. Not if it has ever been
 * answered, like most of what is in flight when servers lose power. */
bool
HasCrashedMany(const GatewayState& aState,
               const ContentKeys& aContent,
               std::uint64_t aService);

} // namespace camphorfield
