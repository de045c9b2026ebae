/** Events into the decision core. */
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

/** Time has come to what NextWake announced; harmless at any other time. */
struct Tick
{};

/** A peer could not be reached with a message. */
struct PeerUnreachable
{
  DaemonId to_;
  std::string address_;
  PeerCallId call_; ///< Call in the message that was not delivered, if any.
};

/** Graceful shutdown is asked for. */
struct StopRequested
{
  std::string reason_;
};

/** Configuration in force from now on; emitted by publish. */
struct ConfigAdopted
{
  std::shared_ptr<const PublishedConfig> config_;
};

/** Members changed; emitted by membership. The list is sorted by id. */
struct MembersChanged
{
  std::shared_ptr<const std::vector<MemberRecord>> members_;
};

/** News from gossip; emitted by membership. */
struct RumorReceived
{
  Rumor rumor_;
};

/** Run one order on one backend server; emitted by order, done by route. */
struct DispatchOrder
{
  OrderDispatchId id_;
  CallerRequestId request_; ///< For the time line.
  std::string caller_;
  std::string route_;
  std::string key_;
  SharedText body_;
  TimePoint deadline_ = kNever;
};

/** What became of a dispatch. */
enum class DispatchState : std::uint8_t
{
  Answered, ///< The server ran it; the answer is whole.
  Rejected, ///< The server ran it and refused its content.
  NotRun,   ///< No byte went out, or the server said that it did not run.
  Unknown,  ///< Anything else.
  End       ///< Number of states.
};

/** End of a dispatch; emitted by route, exactly one for each dispatch. */
struct OrderDispatched
{
  OrderDispatchId id_;
  DispatchState state_ = DispatchState::Unknown;
  ResultCode reason_ = ResultCode::OrderNotRun; ///< Why it did not run.
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
