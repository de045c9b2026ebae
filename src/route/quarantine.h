/** Requests whose content crashes backend servers. */
#pragma once

#include "route/route_base.h"
#include "route/sub_cmd.h"

#include <string_view>

namespace camphorfield {

/** Fingerprint of a request's content. */
Fingerprint
MakeFingerprint(std::string_view aCaller,
                std::string_view aRoute,
                const SharedText& aBody);

/** What may be done with a request now. */
enum class SuspectVerdict : std::uint8_t
{
  Clear,   ///< Nothing is known against it.
  Trial,   ///< It may run once, alone on a server.
  Wait,    ///< A trial is under way, or it is too soon for one.
  Refused, ///< It must not run.
  End      ///< Number of verdicts.
};

/** What may be done with a request of this content now. */
SuspectVerdict
CheckContent(const RouteState& aState, Fingerprint aContent, const Now& aNow);

/** The trial of a suspect content has been sent. */
void
RecordTrial(RouteState& aState, Fingerprint aContent, std::uint64_t aSub);

/** Whether a query or order of this content is refused on arrival. */
bool
IsRefusedContent(const RouteState& aState,
                 Fingerprint aContent,
                 const Now& aNow);

/** Note a broken connection; several together, or a refusal, are a crash. */
void
RecordConnectionBreak(Step& aStep,
                      const Connection& aConnection,
                      const ConnectionEnded& aEvent);

/** Note the end of a run: it may clear or prove a suspicion. */
void
RecordRunOutcome(Step& aStep, const Sub& aSub, SubOutcome aOutcome);

/** Have every service with waiting tasks looked at. */
void
MarkWaitingServices(RouteState& aState);

/** Take up what a peer says. */
void
ApplyQuarantineRumor(Step& aStep, const QuarantineRumor& aRumor);

} // namespace camphorfield
