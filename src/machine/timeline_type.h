/** Events of the time line. */
#pragma once

#include "core/id_type.h"

#include <compare>
#include <cstdint>
#include <string>

namespace camphorfield {

/** Time of a hybrid logical clock; orders events causally over all daemons. */
struct HybridTime
{
  std::int64_t unixMicros_ = 0; ///< Largest wall clock seen.
  std::uint32_t logical_ = 0;   ///< Tie-breaker within a microsecond.
  constexpr bool operator==(const HybridTime&) const = default;
  constexpr std::strong_ordering operator<=>(const HybridTime& aOther) const
  {
    const std::strong_ordering wall = unixMicros_ <=> aOther.unixMicros_;
    return wall == std::strong_ordering::equal ? logical_ <=> aOther.logical_
                                               : wall;
  }
};

/** Kinds of time line events; names are in table/timeline_table.h. */
enum class TimelineKind : std::uint8_t
{
  DaemonStarted,
  DaemonReady,
  DaemonStopping,
  DaemonStopped,
  GenerationAdopted,
  GenerationRefused,
  ConfigAccepted,
  ConfigRejected,
  StoreLost,
  StoreFound,
  MemberJoined,
  MemberSuspected,
  MemberDead,
  MemberLeaving,
  MemberAlive,
  ServerEjected,
  ServerRestored,
  ServerLeaving,
  ConnectionOpened,
  ConnectionSilent,
  QueryStarted,
  QueryAnswered,
  SubSent,
  SubHedged,
  SubRetried,
  SubAnswered,
  SubDiscarded,
  RequestRefused,
  RequestQuarantined,
  OrderClaimed,
  OrderDispatched,
  OrderAnswered,
  OrderForwarded,
  RangeTaken,
  RangeLost,
  End ///< Number of kinds.
};

/** One event as a package records it; the host adds daemon and time. */
struct TimelineRecord
{
  TimelineKind kind_ = TimelineKind::DaemonStarted;
  std::uint64_t request_ = 0; ///< Caller request; zero: none.
  std::string object_;        ///< Server, service, object or daemon concerned.
  std::uint64_t number_ = 0;  ///< Generation, version or sub-request.
  std::string text_;          ///< Reason.
};

} // namespace camphorfield
