/** Functions that the sources of rate caps share. */
#pragma once

#include "gateway/admission/rate_cap.h"

namespace camphorfield {

/** Longest Retry-After. Callers that give up before leave their place to
 * others, which would then wait for nothing. */
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

inline double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

inline Duration
FromSeconds(double aSeconds)
{
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(aSeconds));
}

/** Requests in a window by which a cap may be exceeded. */
double
Allowance(const RateCaps& aCaps, const RateCap& aCap);

/** Adds the tokens of the time since the last call. */
void
Refill(const RateCaps& aCaps, RateCap& aCap, TimePoint aNow);

/** Hash that decides on the owner: the member with the highest one. */
std::uint64_t
Rank(std::uint64_t aOrganisation, DaemonId aMember);

/** Finds the owner among the members. */
void
ChooseOwner(const RateCaps& aCaps, RateCap& aCap);

/** Starts or ends being the owner, if the view says so.
 * @param aOwnerLost The owner before has left the view. */
void
ApplyOwner(RateCaps& aCaps,
           RateCap& aCap,
           bool aOwnerLost,
           TimePoint aNow,
           CapOutput& aOut);

/** Time in which another daemon may still grant, because the views of a change
 * differ for about as long: detection of a loss takes longer at some daemons.
 */
constexpr Duration kTakeoverTime = std::chrono::milliseconds(1500);

/** Starts with an empty bucket.
 * @param aWait Time in which another daemon may still grant. */
void
StartOver(OwnedCap& aOwned, Duration aWait, TimePoint aNow);

/** Whether this daemon may grant tokens now. */
bool
MayGrant(const RateCaps& aCaps, const RateCap& aCap, TimePoint aNow);

CapMessage
AnswerAsk(RateCaps& aCaps,
          RateCap& aCap,
          const CapMessage& aAsk,
          TimePoint aNow);

/** Takes over what the owner before has left. */
void
TakeRelease(RateCaps& aCaps,
            RateCap& aCap,
            const CapMessage& aRelease,
            TimePoint aNow);

/** Stops granting, and tells what is left. */
CapMessage
ReleaseCap(RateCaps& aCaps, DaemonId aTo, RateCap& aCap, TimePoint aNow);

} // namespace camphorfield
