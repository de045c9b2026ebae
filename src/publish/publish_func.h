/** Publishing of configuration: generations that only rise. */
#pragma once

#include "core/rng_type.h"
#include "machine/decision_type.h"
#include "publish/publish_base.h"

#include <memory>
#include <string>

namespace camphorfield {

/**
 * Fresh state; the first event starts its reads.
 * @param aSettings Settings of the daemon.
 * @param aRng Source of randomness.
 */
PublishState
MakePublishState(const PublishSettings& aSettings, Rng& aRng);

/** Reply to one of this package's platform calls; others are ignored. */
void
PublishOnEvent(PublishState& aState,
               const PlatformReply& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/** Acts on GenerationRequest and GenerationContent; ignores other messages. */
void
PublishOnEvent(PublishState& aState,
               const PeerMessage& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/** A peer that was asked for content can't be reached. */
void
PublishOnEvent(PublishState& aState,
               const PeerUnreachable& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/** Members tell their generations, and decide who holds a watch. */
void
PublishOnEvent(PublishState& aState,
               const MembersChanged& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/** Acts on Check, Apply, Get, History, Rollback and Change. */
void
PublishOnEvent(PublishState& aState,
               const OperatorRequest& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/** No new changes are taken; those in work go on. */
void
PublishOnEvent(PublishState& aState,
               const StopRequested& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/** Time has come to what PublishNextWake announced. */
void
PublishOnEvent(PublishState& aState,
               const Tick& aEvent,
               const Now& aNow,
               Rng& aRng,
               Decisions& aOut);

/** When the package wants a Tick. */
TimePoint
PublishNextWake(const PublishState& aState);

/** Configuration in force; null before the first. */
std::shared_ptr<const PublishedConfig>
PublishCurrent(const PublishState& aState);

/**
 * Whether the generation in force was confirmed by the store, or by all peers
 * that can be reached. Stays true once it is.
 */
bool
PublishIsConfirmed(const PublishState& aState);

/** Why the generation isn't confirmed; empty when it is. */
std::string
PublishNotReadyReason(const PublishState& aState, const Now& aNow);

/** Whether no change is in work, so that a stop need not wait. */
bool
PublishIsIdle(const PublishState& aState);

/** Whether this daemon is to hold a watch on the store. */
bool
PublishIsWatcher(const PublishState& aState);

} // namespace camphorfield
