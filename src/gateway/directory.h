/** Which daemons do what: who serves callers, and who watches the store. */
#pragma once

#include "gateway/gateway_base.h"
#include "machine/caller_type.h"
#include "machine/peer_type.h"

#include <string>
#include <vector>

namespace camphorfield {

constexpr std::size_t kMaxDirectoryEntries = 64; ///< Addresses in an answer.

/** How long callers keep an answer: some keep it three times as long, and a
 * daemon that stops serves them for that time. */
constexpr Duration kDirectoryTtl = std::chrono::seconds(1);

/** Connections that each daemon in service should have to each server. */
constexpr double kConnectionsPerDaemon = 2.0;

/** Daemons in service for each failure domain, at the least. */
constexpr std::size_t kEntryDaemonsPerDomain = 2;
/** Their processors together carry the present load that many times: bursts
 * and the loss of some of them included. */
constexpr double kEntryCapacityFactor = 4.0;

/** Which members count as candidates for service. */
enum class EntryScope : std::uint8_t
{
  Ready, ///< Those that may be listed now.
  Alive, ///< Those that are starting, too.
  End    ///< Number of scopes.
};

/** Fleets up to this size watch the store each for themselves. */
constexpr std::size_t kMaxFleetAllWatching = 8;
/** Daemons of a failure domain that watch it in larger fleets. */
constexpr std::size_t kWatchersPerDomain = 2;

/**
 * Daemons that can share the connections of the servers in use.
 * @return At least one, at most kMaxDirectoryEntries.
 */
std::size_t
MaxEntryDaemons(const GatewayState& aState);

/**
 * Daemons that callers should use: as many of those with the most capacity as
 * the load needs.
 * @param aMembers All members but the dead, with this daemon.
 * @param aMost See MaxEntryDaemons.
 */
std::vector<const MemberRecord*>
ChooseEntryDaemons(const std::vector<MemberRecord>& aMembers,
                   std::size_t aMost,
                   EntryScope aScope);

/** Addresses for a caller, who chooses at random among them. */
EntriesAnswer
ListEntryDaemons(const std::vector<MemberRecord>& aMembers, std::size_t aMost);

/**
 * Daemons that watch the store and tell the others. Views may differ for a
 * while; one watcher more or less does no harm.
 */
std::vector<const MemberRecord*>
ChooseWatchers(const std::vector<MemberRecord>& aMembers);

} // namespace camphorfield
