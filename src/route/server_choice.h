/** Choice of a server for one sub-request. */
#pragma once

#include "route/route_base.h"

#include <span>

namespace camphorfield {

/** Requirements of a sub-request. */
struct ChoiceDemand
{
  ServiceIndex service_ = kNoIndex;
  SnapshotVersion version_; ///< Required snapshot; zero: any.
  Priority priority_ = Priority::Normal;
  std::span<const ServerIndex>
    tried_;                     ///< Servers to avoid if others are usable.
  bool mustDiffer_ = false;     ///< Never choose a tried server.
  bool alone_ = false;          ///< Choose a server with nothing in flight.
  ServerIndex only_ = kNoIndex; ///< The only allowed server; kNoIndex: any.
};

/** Outcome of a choice. */
enum class ChoiceState : std::uint8_t
{
  Chosen,
  Busy, ///< Usable servers exist but none is free.
  None, ///< No usable server.
  End   ///< Number of states.
};

/** Chosen server. */
struct Choice
{
  ChoiceState state_ = ChoiceState::None;
  ServerIndex server_ = kNoIndex;
  UncoveredReason reason_ = UncoveredReason::NoReplica; ///< Reason for None.
  bool probe_ = false;   ///< The request probes a server on probation.
  bool anyFree_ = false; ///< Some server of the service is free.
};

/** Choose a server that can accept the sub-request now. */
Choice
ChooseServer(Step& aStep, const ChoiceDemand& aDemand);

/**
 * Whether a service has a usable server that is not known to lack a snapshot.
 */
bool
IsVersionUsable(const RouteState& aState,
                ServiceIndex aService,
                SnapshotVersion aVersion,
                TimePoint aNow);

/** Whether a server can accept one more request now. */
bool
CanAcceptRequest(RouteState& aState,
                 ServerIndex aServer,
                 Priority aPriority,
                 TimePoint aNow);

} // namespace camphorfield
