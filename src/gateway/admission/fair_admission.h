/** Division of a route's window among organisations while it is full. */
#pragma once

#include "core/rng_type.h"
#include "core/time_type.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace camphorfield {

/** Priorities that are told apart; less urgent ones count as the last. */
constexpr std::size_t kFairClasses = 8;

/** While there are entitled requests in need, others get this part of the
 * window. */
constexpr double kOthersFactor = 0.9;

/** Recent use of one organisation. */
struct FairUser
{
  double weight_ = 0.0; ///< Its rate; zero: none is configured.
  std::size_t class_ = 0;
  double used_ = 0.0; ///< Admitted requests, decaying; at usedAt_.
  TimePoint usedAt_{};
  TimePoint arrivedAt_{}; ///< Its latest request.
};

/** Use of one route by organisations. */
struct FairAdmission
{
  std::map<std::uint64_t, FairUser> users_; ///< By hash of the name.
  std::array<std::uint32_t, kFairClasses> inFlight_{};
  /** Sums over the users of a class, as of summedAt_. */
  std::array<double, kFairClasses> weights_{};
  std::array<double, kFairClasses> used_{};
  TimePoint summedAt_{};
  double defaultWeight_ = 1.0; ///< Of those without a rate.
  /** Latest request of a class that was entitled to more than it got. */
  std::array<TimePoint, kFairClasses> needAt_{};
  TimePoint nextReturn_{}; ///< When the callers told so far have returned.
};

/** Who sends a request. */
struct FairSender
{
  std::uint64_t organisation_ = 0; ///< Hash of its name; zero: none.
  double weight_ = 0.0;            ///< Its rate; zero: none is configured.
  std::uint32_t priority_ = 0;
};

/** Class of a priority. */
std::size_t
FairClass(std::uint32_t aPriority);

/** Result of IsFairlyAdmitted. */
struct FairVerdict
{
  bool admitted_ = false;
  bool entitled_ = false; ///< It had less than its part.
};

/**
 * Whether a request is admitted. While there is room each one is.
 * @param aInFlight Requests of the route in flight.
 * @param aWindow Requests that may be in flight.
 */
FairVerdict
IsFairlyAdmitted(FairAdmission& aFair,
                 const FairSender& aSender,
                 double aInFlight,
                 double aWindow,
                 TimePoint aNow);

/** Counts a request that has been admitted. */
void
CountFairUse(FairAdmission& aFair, const FairSender& aSender, TimePoint aNow);

/**
 * When a rejected caller should return.
 * @param aBase Least time.
 */
Duration
ChooseFairReturn(FairAdmission& aFair,
                 const FairVerdict& aVerdict,
                 Duration aBase,
                 TimePoint aNow,
                 Rng& aRng);

} // namespace camphorfield
