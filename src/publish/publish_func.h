/** Publishing of configuration as ascending generations. */
#pragma once

#include "core/rng_type.h"
#include "machine/decision_type.h"
#include "publish/publish_base.h"

#include <memory>
#include <string>

namespace camphorfield {

/**
 * Create the initial state. The first event starts the reads of the store.
 * @param aSettings Settings of the daemon.
 * @param aRng Source of randomness.
 */
PublishState
MakePublishState(const PublishSettings& aSettings, Rng& aRng);

/** Handle a reply to a platform call of this package; ignore others. */
void
PublishOnEvent(PublishState& aState,
               const PlatformReply& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/** Handle GenerationRequest and GenerationContent; ignore other messages. */
void
PublishOnEvent(PublishState& aState,
               const PeerMessage& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/** Handle the failure of a content request to a peer. */
void
PublishOnEvent(PublishState& aState,
               const PeerUnreachable& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/**
 * Handle a new member list: it carries the generations of the peers, and
 * determines which daemons watch the pointer.
 */
void
PublishOnEvent(PublishState& aState,
               const MembersChanged& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/** Handle Check, Apply, Get, History, Rollback and Change; ignore others. */
void
PublishOnEvent(PublishState& aState,
               const OperatorRequest& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/** Reject new changes from now on; those queued are still finished. */
void
PublishOnEvent(PublishState& aState,
               const StopRequested& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/** Do the work that is due at the time given by PublishNextWake. */
void
PublishOnEvent(PublishState& aState,
               const Tick& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/** Time at which the package needs a Tick; kNever if none. */
TimePoint
PublishNextWake(const PublishState& aState);

/** Configuration in force; null before the first one. */
std::shared_ptr<const PublishedConfig>
PublishCurrent(const PublishState& aState);

/**
 * Whether the generation in force was confirmed by the store, or by all live
 * peers. Stays true from then on.
 */
bool
PublishIsConfirmed(const PublishState& aState);

/** Why the generation in force isn't confirmed; empty when it is. */
std::string
PublishNotReadyReason(const PublishState& aState, const Now& aNow);

/** Whether no change is queued or running, so that a stop need not wait. */
bool
PublishIsIdle(const PublishState& aState);

/** Whether this daemon should watch the pointer in the store. */
bool
PublishIsWatcher(const PublishState& aState);

} // namespace camphorfield
