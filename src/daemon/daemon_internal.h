/** Functions that only the sources of the daemon use. */
#pragma once

#include "core/rng_type.h"
#include "daemon/daemon_base.h"
#include "machine/decision_type.h"

namespace camphorfield {

/** Arguments of one step. */
struct DaemonStep
{
  DaemonState& state_;
  const Now& now_;
  Rng& rng_;
  Decisions& out_; ///< Decisions not yet forwarded.
};

/**
 * Checks whether a request may be forwarded to its package.
 * @return ResultCode::Ok, or the reason of the refusal.
 */
ResultCode
AdmitRequest(const DaemonState& aState, const CallerRequest& aRequest);

/** Answers a request with a refusal. */
void
RefuseRequest(const DaemonStep& aStep,
              const CallerRequest& aRequest,
              ResultCode aCode);

/** Adds the order tokens that an answer to "entries" wants. */
void
AddOrderTokens(const DaemonStep& aStep, EntriesAnswer& aAnswer);

/** Begins a graceful shutdown. */
void
BeginShutdown(const DaemonStep& aStep, const StopRequested& aStop);

/** Updates readiness and load and advances a shutdown, at intervals. */
void
UpdateLifecycle(const DaemonStep& aStep);

} // namespace camphorfield
