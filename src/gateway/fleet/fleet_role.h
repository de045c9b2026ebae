/** Roles and shares of one daemon, derived from its view of the fleet. */
#pragma once

#include "gateway/fleet/directory.h"
#include "gateway/fleet/fleet_majority.h"

#include <map>
#include <vector>

namespace camphorfield {

/** What one daemon does for the fleet, and the history that decides it. */
struct FleetRole
{
  bool isWatcher_ = true;      ///< Reads the store; serves followers.
  bool isEntryDaemon_ = false; ///< Opens connections ahead of requests.
  /** Daemons that each server's connections are divided by. */
  std::uint32_t connectionShares_ = 1;
  /** Part of the retry budget's slack that this daemon may use, 0 to 1. */
  double slackFraction_ = 0.0;
  /** Part of the servers' request limits that this daemon may use, 0 to 1. */
  double limitShare_ = 1.0;
  DaemonId self_;
  /** Daemons that share the slots of cold servers, see ColdPlan; empty: this
   * daemon sends them nothing. */
  std::vector<DaemonId> coldOwners_;

  TimePoint startedAt_{};
  TimePoint grownAt_{};     ///< Latest growth of the member list by a part.
  std::size_t grownTo_ = 0; ///< Its size then.
  FleetSize size_;          ///< Live members.
  /** Start of the present time as an entry daemon in a majority; kNever
   * otherwise. */
  TimePoint slackEarnedSince_ = kNever;
  std::map<TimePoint, std::uint32_t> daemonCounts_; ///< Recent fleet sizes.
  std::map<TimePoint, std::uint32_t> entryDaemonCounts_; ///< Recent numbers.
  std::map<DaemonId, TimePoint> entrySeenAt_; ///< Recent entry daemons.
  /** Since when this daemon may own slots of cold servers; kNever: it may not.
   */
  TimePoint coldOwnerSince_ = kNever;
};

/** Role of a daemon that has just started. */
FleetRole
MakeFleetRole(TimePoint aNow);

/** Records the number of members. Call whenever the member list changes. */
void
RecordFleetSize(FleetRole& aRole, std::size_t aMembers, TimePoint aNow);

/**
 * Derives the role from the present view. Call at regular intervals.
 * @param aMembers All members but the dead, including this daemon.
 * @param aMaxEntryDaemons See MaxEntryDaemons.
 * @param aBudgetWindow Length of the retry budget's window.
 */
void
UpdateFleetRole(FleetRole& aRole,
                DaemonId aSelf,
                const std::vector<MemberRecord>& aMembers,
                std::size_t aMaxEntryDaemons,
                Duration aBudgetWindow,
                TimePoint aNow);

} // namespace camphorfield
