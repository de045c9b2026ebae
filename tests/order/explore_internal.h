/** Steps that change a world of the search. */
#pragma once

#include "order/explore_fixture.h"

namespace camphorfield {

/** What a server may make of a dispatch. */
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
constexpr std::size_t kShedServerCase =
  2; ///< The server says that it did not run.

/** Put something on its way. */
void
PutItem(ExploredWorld& aWorld, Delivery aDelivery, bool aAbandoned = false);

/** Take an item out of those on their way. */
std::shared_ptr<const ExploredItem>
TakeItem(ExploredWorld& aWorld, std::size_t aItem);

/** Carry out an item without a fault. */
void
ExecuteItem(ExploredWorld& aWorld, std::size_t aItem);

/** Let the server have a dispatch. */
void
RunServer(ExploredWorld& aWorld,
          const Delivery& aDelivery,
          const ServerCase& aCase);

/** Give a daemon an event. */
void
Give(ExploredWorld& aWorld, std::size_t aDaemon, const Event& aEvent);

/** Whether a daemon wants a Tick now. */
bool
IsDue(const ExploredWorld& aWorld, std::size_t aDaemon);

/** Whether an event was meant for an earlier life of its daemon. */
bool
IsStaleEvent(const ExploredWorld& aWorld, const Delivery& aDelivery);

/** Send a request of the world. */
void
Send(ExploredWorld& aWorld, std::size_t aRequest);

/** A daemon takes daemon zero for dead. */
void
MarkFirstDead(ExploredWorld& aWorld, std::size_t aDaemon);

/** A daemon dies and starts again with no memory. */
void
Crash(ExploredWorld& aWorld, std::size_t aDaemon);

/** Let time pass until the next thing is due; false: nothing is. */
bool
AdvanceToNextDue(ExploredWorld& aWorld);

} // namespace camphorfield
