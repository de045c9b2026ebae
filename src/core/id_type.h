/** Strong identifier types. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace camphorfield {

/** Integer identifier that can't be mixed up with one of another kind. */
template<typename Tag>
struct Id
{
  std::uint64_t value_ = 0; ///< Zero is never issued.

  constexpr bool IsValid() const { return value_ != 0; }
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 sees a literal here.
  constexpr auto operator<=>(const Id&) const = default;
};

using CallerRequestId = Id<struct CallerRequestTag>;     ///< One request.
using OperatorRequestId = Id<struct OperatorRequestTag>; ///< One operator call.
using ConnectionId = Id<struct ConnectionTag>; ///< Connection to a server.
using SubRequestId = Id<struct SubRequestTag>; ///< One attempt at one shard.
using ServerId = Id<struct ServerTag>;         ///< Backend server, this daemon.
using DaemonId = Id<struct DaemonTag>;         ///< Hash of the daemon's name.
using PlatformCallId = Id<struct PlatformCallTag>;   ///< One platform call.
using OrderDispatchId = Id<struct OrderDispatchTag>; ///< One order attempt.
using PeerCallId = Id<struct PeerCallTag>;     ///< Request between daemons.
using Fingerprint = Id<struct FingerprintTag>; ///< Hash of a request's content.
using Generation = Id<struct GenerationTag>;   ///< Generation of configuration.
using Incarnation = Id<struct IncarnationTag>; ///< One life of a daemon.
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
