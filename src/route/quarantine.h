/** Detection and quarantine of requests whose content crashes servers. */
#pragma once

#include "route/route_base.h"
#include "route/sub_cmd.h"

#include <string_view>

namespace camphorfield {

/** Fingerprint of caller, route and body. */
Fingerprint
MakeFingerprint(std::string_view aCaller,
                std::string_view aRoute,
                const SharedText& aBody);

/** Whether a request may run now. */
enum class SuspectVerdict : std::uint8_t
{
  Clear,   ///< Not suspected.
  Trial,   ///< Suspected: may run once, isolated on a server.
  Wait,    ///< Suspected: an isolated run is in flight, or
           ///< the delay before it has not passed.
  Refused, ///< Quarantined, or suspected by a peer.
  End      ///< Number of verdicts.
};

/** Check whether a request with this content may run now. */
SuspectVerdict
CheckContent(const RouteState& aState, Fingerprint aContent, const Now& aNow);

/** Record that the isolated run of a suspect content has been sent. */
void
RecordTrial(RouteState& aState, Fingerprint aContent, std::uint64_t aSub);

/** Whether a new query or order with this content is refused on arrival. */
bool
IsRefusedContent(const RouteState& aState,
                 Fingerprint aContent,
                 const Now& aNow);

/**
 * Record a broken connection. Several within kCrashWindow, or one together
 * with a refused connect, count as a crash of the server.
 */
void
RecordConnectionBreak(Step& aStep,
                      const Connection& aConnection,
                      const ConnectionEnded& aEvent);

/** Clear or confirm a suspect content after its isolated run. */
void
RecordRunOutcome(Step& aStep, const Sub& aSub, SubOutcome aOutcome);

/** Mark every service with waiting tasks for dispatch. */
void
MarkWaitingServices(RouteState& aState);

/** Apply what a peer reports about a content. */
void
ApplyQuarantineRumor(Step& aStep, const QuarantineRumor& aRumor);

} // namespace camphorfield
