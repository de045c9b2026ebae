/** Events: input of the decision core. */
#pragma once

#include "machine/caller_type.h"
#include "machine/operator_type.h"
#include "machine/peer_type.h"
#include "machine/platform_type.h"
#include "machine/server_type.h"

#include <memory>
#include <variant>

namespace camphorfield {

/** A caller closed its connection before the answer. */
struct CallerDisconnected
{
  CallerRequestId id_;
};

/** The time from NextWake has come; a tick at any other time does nothing. */
struct Tick
{};

/** A message could not be delivered to a peer. */
struct PeerUnreachable
{
  DaemonId to_;
  std::string address_;
  PeerCallId call_; ///< Call that the message belongs to, if any.
};

/** Graceful shutdown was requested. */
struct StopRequested
{
  std::string reason_;
};

/** A configuration came into force; emitted by publish. */
struct ConfigAdopted
{
  std::shared_ptr<const PublishedConfig> config_;
};

/** The member list changed; emitted by membership. Sorted by id. */
struct MembersChanged
{
  std::shared_ptr<const std::vector<MemberRecord>> members_;
};

/** A rumor arrived by gossip; emitted by membership. */
struct RumorReceived
{
  Rumor rumor_;
};

/** Run an order on one backend server; emitted by order, handled by route. */
struct DispatchOrder
{
  OrderDispatchId id_;
  CallerRequestId request_; ///< Named in the time line's events.
  std::string caller_;
  std::string route_;
  std::string key_;
  SharedText body_;
  TimePoint deadline_ = kNever;
};

/** Outcome of a dispatch. */
enum class DispatchState : std::uint8_t
{
  Answered, ///< The server ran it; the answer is complete.
  Rejected, ///< The server ran it and refused its content.
  NotRun,   ///< Nothing was sent, or the server reported that it did not run.
  Unknown,  ///< Any other case: it may have run.
  End       ///< Number of states.
};

/** End of a dispatch; emitted by route exactly once for each DispatchOrder. */
struct OrderDispatched
{
  OrderDispatchId id_;
  DispatchState state_ = DispatchState::Unknown;
  ResultCode reason_ = ResultCode::OrderNotRun; ///< For NotRun.
  SharedText body_;
};

using Event = std::variant<CallerRequest,
                           EntriesRequest,
                           CallerDisconnected,
                           ConnectionOpened,
                           ConnectionEnded,
                           SubAnswer,
                           SubNotSent,
                           PeerMessage,
                           PeerUnreachable,
                           PlatformReply,
                           OperatorRequest,
                           StopRequested,
                           Tick,
                           ConfigAdopted,
                           MembersChanged,
                           RumorReceived,
                           DispatchOrder,
                           OrderDispatched>;

} // namespace camphorfield
