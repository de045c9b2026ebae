/** Roles of daemons: entry daemons serve callers, watchers watch the store. */
#pragma once

#include "gateway/gateway_base.h"
#include "machine/caller_type.h"
#include "machine/peer_type.h"

#include <string>
#include <vector>

namespace camphorfield {

constexpr std::size_t kMaxDirectoryEntries = 64; ///< Per answer.

/** How long callers may cache an answer. Some cache it three times as long, and
 * a stopping daemon goes on serving them for that time. */
constexpr Duration kDirectoryTtl = std::chrono::seconds(1);

/** Connections that each entry daemon should have to each server. */
constexpr double kConnectionsPerDaemon = 2.0;

/** Least number of entry daemons per failure domain. */
constexpr std::size_t kEntryDaemonsPerDomain = 2;
/** Capacity of all entry daemons, in multiples of the present load. Covers
 * bursts and the loss of some of them. */
constexpr double kEntryCapacityFactor = 4.0;

/** Which members are candidates for entry daemons. */
enum class EntryScope : std::uint8_t
{
  Ready, ///< Members that are ready.
  Alive, ///< Also members that are starting.
  End    ///< Number of scopes.
};

/** In fleets up to this size every daemon watches the store. */
constexpr std::size_t kMaxFleetAllWatching = 8;
/** Least number of watchers in larger fleets; each failure domain has one. */
constexpr std::size_t kMinWatchers = 6;

/**
 * Number of entry daemons that the servers' connection limits allow.
 * @return At least one, at most kMaxDirectoryEntries.
 */
std::size_t
MaxEntryDaemons(const GatewayState& aState);

/**
 * Chooses the daemons that callers should use: those with the most capacity,
 * as many as the load needs.
 * @param aMembers All members but the dead, including this daemon.
 * @param aLimit See MaxEntryDaemons.
 */
std::vector<const MemberRecord*>
ChooseEntryDaemons(const std::vector<MemberRecord>& aMembers,
                   std::size_t aLimit,
                   EntryScope aScope);

/** Addresses of the entry daemons; a caller picks one at random. */
EntriesAnswer
ListEntryDaemons(const std::vector<MemberRecord>& aMembers, std::size_t aLimit);

/**
 * Chooses the daemons that watch the store and send changes to the others.
 * Views of members may differ for a while; an extra or missing watcher is
 * harmless.
 */
std::vector<const MemberRecord*>
ChooseWatchers(const std::vector<MemberRecord>& aMembers);

/**
 * Place of a daemon among those that are not watchers, in the order in which
 * they take the place of watchers that the store doesn't answer.
 */
std::size_t
FallbackPlace(DaemonId aSelf, const std::vector<MemberRecord>& aMembers);

/**
 * How long a starting daemon waits for the tables of others before it reads the
 * store itself. The first in the order of watchers hardly wait.
 */
Duration
FirstReadDelay(DaemonId aSelf, std::size_t aMembers);

/** Number of live members. */
std::size_t
CountAlive(const std::vector<MemberRecord>& aMembers);

} // namespace camphorfield
