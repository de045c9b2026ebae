/** Parts of the daemon machine that only its own sources use. */
#pragma once

#include "core/rng_type.h"
#include "daemon/daemon_base.h"
#include "machine/decision_type.h"

namespace camphorfield {

/** What one step of the machine works with. */
struct DaemonStep
{
  DaemonState& state_;
  const Now& now_;
  Rng& rng_;
  Decisions& out_; ///< Decisions not yet looked at.
};

/**
 * Tells whether a request may be handed to its package.
 * @return ResultCode::Ok, or why not; nothing was run then.
 */
ResultCode
AdmitRequest(const DaemonState& aState, const CallerRequest& aRequest);

/** Answers a request with a refusal. */
void
RefuseRequest(const DaemonStep& aStep,
              const CallerRequest& aRequest,
              ResultCode aCode);

/** Adds what other packages know to an answer for "entries". */
void
CompleteEntries(const DaemonStep& aStep, EntriesAnswer& aAnswer);

/** Begins a graceful shutdown. */
void
BeginStop(const DaemonStep& aStep, const StopRequested& aStop);

/** Tells readiness and load, and moves a shutdown on. */
void
Review(const DaemonStep& aStep);

} // namespace camphorfield
