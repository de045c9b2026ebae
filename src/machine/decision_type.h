/** Decisions out of the decision core. */
#pragma once

#include "machine/event_type.h"
#include "machine/timeline_type.h"

#include <variant>
#include <vector>

namespace camphorfield {

/** Send a message to a daemon. */
struct SendPeer
{
  DaemonId to_;         ///< Zero: only the address is known.
  std::string address_; ///< "IP:port".
  PeerBody body_;
  PeerCallId call_; ///< Told back in PeerUnreachable.
};

/** Tell all daemons; taken up by membership. */
struct SpreadRumor
{
  Rumor rumor_;
};

/** End the process; everything in flight has ended. */
struct ExitProcess
{
  int status_ = 0;
};

/**
 * What a host has to carry out, in order. ConfigAdopted, MembersChanged,
 * RumorReceived, SpreadRumor, DispatchOrder and OrderDispatched stay inside the
 * daemon machine, which hands them to the package that takes them up.
 */
using Decision = std::variant<QueryAnswer,
                              OrderAnswer,
                              EntriesAnswer,
                              OperatorAnswer,
                              OpenConnection,
                              CloseConnection,
                              SubRequest,
                              SendPeer,
                              PlatformCall,
                              TimelineRecord,
                              ExitProcess,
                              ConfigAdopted,
                              MembersChanged,
                              RumorReceived,
                              SpreadRumor,
                              DispatchOrder,
                              OrderDispatched>;

using Decisions = std::vector<Decision>;

} // namespace camphorfield
