/** Steps of the state search; each changes a world. */
#pragma once

#include "order/explore_fixture.h"

namespace camphorfield {

/** Result of a dispatch: whether it ran, and what the daemon learns. */
struct ServerCase
{
  bool runs_;
  DispatchState reported_;
};

constexpr ServerCase kServerCases[] = {
  { true, DispatchState::Answered },
  { true, DispatchState::Unknown },
  { false, DispatchState::NotRun },
  { false, DispatchState::Unknown },
};
constexpr std::size_t kShedServerCase = 2; ///< Not run, and reported so.

/** Add an item in flight. */
void
PutItem(ExploredWorld& aWorld, Delivery aDelivery, bool aAbandoned = false);

/** Remove an item in flight. */
std::shared_ptr<const ExploredItem>
TakeItem(ExploredWorld& aWorld, std::size_t aItem);

/** Execute or deliver an item without a fault. */
void
ExecuteItem(ExploredWorld& aWorld, std::size_t aItem);

/** Execute a dispatch with a given result. */
void
RunServer(ExploredWorld& aWorld,
          const Delivery& aDelivery,
          const ServerCase& aCase);

/** Handle an event in a daemon. */
void
DeliverEvent(ExploredWorld& aWorld, std::size_t aDaemon, const Event& aEvent);

/** Whether a daemon needs a Tick now. */
bool
IsDue(const ExploredWorld& aWorld, std::size_t aDaemon);

/** Whether an event was meant for an earlier incarnation. */
bool
IsStaleEvent(const ExploredWorld& aWorld, const Delivery& aDelivery);

/** Send a request of the world. */
void
Send(ExploredWorld& aWorld, std::size_t aRequest);

/** Make a daemon see daemon zero as dead. */
void
MarkFirstDead(ExploredWorld& aWorld, std::size_t aDaemon);

/** Crash and restart a daemon with empty state. */
void
Crash(ExploredWorld& aWorld, std::size_t aDaemon);

/** Advance the clock to the next timer; false if there is none. */
bool
AdvanceToNextDue(ExploredWorld& aWorld);

} // namespace camphorfield
