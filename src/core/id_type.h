/** Strong identifier types. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace camphorfield {

/** Integer identifier; each Tag makes a distinct type. */
template<typename Tag>
struct Id
{
  std::uint64_t value_ = 0; ///< Zero means unset.

  constexpr bool IsValid() const { return value_ != 0; }
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  constexpr auto operator<=>(const Id&) const = default;
};

using CallerRequestId = Id<struct CallerRequestTag>;     ///< Caller request.
using OperatorRequestId = Id<struct OperatorRequestTag>; ///< Operator request.
using ConnectionId = Id<struct ConnectionTag>; ///< Connection to a server.
using SubRequestId = Id<struct SubRequestTag>; ///< Attempt at one shard.
using ServerId = Id<struct ServerTag>;         ///< Server; local to a daemon.
using DaemonId = Id<struct DaemonTag>;         ///< Hash of the daemon's name.
using PlatformCallId = Id<struct PlatformCallTag>;   ///< Call to the platform.
using OrderDispatchId = Id<struct OrderDispatchTag>; ///< Attempt at an order.
using PeerCallId = Id<struct PeerCallTag>;     ///< Request between daemons.
using Fingerprint = Id<struct FingerprintTag>; ///< Hash of a request's content.
using Generation = Id<struct GenerationTag>;   ///< Generation of configuration.
using Incarnation = Id<struct IncarnationTag>; ///< One run of a daemon.
using SnapshotVersion = Id<struct SnapshotVersionTag>; ///< Index snapshot.

} // namespace camphorfield

template<typename Tag>
struct std::hash<camphorfield::Id<Tag>>
{
  std::size_t operator()(camphorfield::Id<Tag> aId) const noexcept
  {
    return std::hash<std::uint64_t>{}(aId.value_);
  }
};
