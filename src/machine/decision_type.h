/** Decisions: output of the decision core, carried out by its host. */
#pragma once

#include "machine/event_type.h"
#include "machine/timeline_type.h"

#include <variant>
#include <vector>

namespace camphorfield {

/** Send a message to a daemon. */
struct SendPeer
{
  DaemonId to_;         ///< Receiver; zero: only the address is known.
  std::string address_; ///< "IP:port".
  PeerBody body_;
  PeerCallId call_; ///< Copied to PeerUnreachable on failure.
};

/** Spread a rumor to all daemons by gossip; handled by membership. */
struct SpreadRumor
{
  Rumor rumor_;
};

/** End the process. Nothing is in flight any more. */
struct ExitProcess
{
  int status_ = 0;
};

/**
 * Decision for the host, which carries them out in order. ConfigAdopted,
 * MembersChanged, RumorReceived, SpreadRumor, DispatchOrder and OrderDispatched
 * stay within the decision core: src/daemon forwards them to other packages.
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
