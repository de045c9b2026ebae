/** Roles of daemons: entry daemons serve callers, watchers watch the store. */
#pragma once

#include "gateway/gateway_base.h"
#include "machine/caller_type.h"
#include "machine/peer_type.h"

#include <set>
#include <string>
#include <vector>

namespace camphorfield {

constexpr std::size_t kMaxDirectoryEntries = 64; ///< Per answer.

/** How long callers may cache an answer. Some cache it three times as long, and
 * a stopping daemon goes on serving them for that time. */
constexpr Duration kDirectoryTtl = std::chrono::seconds(1);

/** Connections that each entry daemon should have to each server. */
constexpr double kConnectionsPerDaemon = 2.0;

/** Least number of entry daemons per failure domain that may have some. */
constexpr std::size_t kEntryDaemonsPerDomain = 2;
/** A failure domain has servers of a query if at least this share of the
 * query's shards has one there. */
constexpr double kDomainCoverage = 0.9;
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
/** Watchers per failure domain in larger fleets. */
constexpr std::size_t kWatchersPerDomain = 2;

/** What the backend servers allow and favour in the choice of entry daemons. */
struct EntryLimits
{
  /** Most entry daemons by the servers' connection limits: at least one, at
   * most kMaxDirectoryEntries. */
  std::size_t maxCount_ = kMaxDirectoryEntries;
  /** Failure domains with servers of nearly all shards of the queries; empty:
   * no domain is better than another. */
  std::set<std::string> serverDomains_;
};

/** Derives the limits from the configuration and the listed servers. */
EntryLimits
MakeEntryLimits(const GatewayState& aState);

/**
 * Chooses the daemons that callers should use: those with the most capacity,
 * among them those beside servers first, as many as the load needs.
 * @param aMembers All members but the dead, including this daemon.
 */
std::vector<const MemberRecord*>
ChooseEntryDaemons(const std::vector<MemberRecord>& aMembers,
                   const EntryLimits& aLimits,
                   EntryScope aScope);

/** Addresses of the entry daemons; a caller picks one at random. */
EntriesAnswer
ListEntryDaemons(const std::vector<MemberRecord>& aMembers,
                 const EntryLimits& aLimits);

/**
 * Chooses the daemons that watch the store and send changes to the others.
 * Views of members may differ for a while; an extra or missing watcher is
 * harmless.
 */
std::vector<const MemberRecord*>
ChooseWatchers(const std::vector<MemberRecord>& aMembers);

} // namespace camphorfield
