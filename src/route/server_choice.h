/** Choice of a replica for one sub-request. */
#pragma once

#include "route/route_base.h"

#include <span>

namespace camphorfield {

/** What a sub-request needs. */
struct ChoiceDemand
{
  ServiceIndex service_ = kNoIndex;
  SnapshotVersion version_; ///< Zero: any.
  Priority priority_ = Priority::Normal;
  std::span<const ServerIndex> tried_; ///< Avoid these.
  bool mustDiffer_ = false;            ///< Never take a tried one.
  bool alone_ = false;                 ///< Nothing else in flight there.
  ServerIndex only_ = kNoIndex;        ///< This one or none.
};

/** Outcome of a choice. */
enum class ChoiceState : std::uint8_t
{
  Chosen,
  Busy, ///< Wait: a usable server exists but has nothing free.
  None, ///< No usable server.
  End   ///< Number of states.
};

/** Server for a sub-request. */
struct Choice
{
  ChoiceState state_ = ChoiceState::None;
  ServerIndex server_ = kNoIndex;
  UncoveredReason reason_ = UncoveredReason::NoReplica; ///< Why None.
  bool probe_ = false;   ///< The server is on probation.
  bool anyFree_ = false; ///< Some server of the service has a free place.
};

/** Choose a server that can take the sub-request now. */
Choice
ChooseServer(Step& aStep, const ChoiceDemand& aDemand);

/** Whether a service has a usable server for a snapshot, as far as known. */
bool
IsVersionUsable(const RouteState& aState,
                ServiceIndex aService,
                SnapshotVersion aVersion,
                TimePoint aNow);

/** Whether a server can take one more request now. */
bool
HasFreePlace(RouteState& aState,
             ServerIndex aServer,
             Priority aPriority,
             TimePoint aNow);

} // namespace camphorfield
