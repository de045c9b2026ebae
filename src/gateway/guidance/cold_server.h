/** Slots of time in which daemons may send requests to cold servers. */
#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace camphorfield {

/** Cold phase of one incarnation of a server. */
struct ColdPhase
{
  TimePoint until_{};         ///< Cold before then.
  std::int64_t lastSlot_ = 0; ///< Latest slot that was used for it.
};

/** Rate of the requests of all daemons to one cold server. */
struct ColdRate
{
  double perSecond_ = 0.0; ///< Slots a second; zero: none.
  /** A slot may be used from its start on for this time, then it lapses. */
  Duration hold_{};
};

/** Slots of one rate that belong to this daemon. */
struct ColdSlots
{
  ColdRate rate_;
  std::int64_t scannedTo_ = 0;   ///< Slots before it have been examined.
  std::deque<std::int64_t> own_; ///< In order; old ones are dropped.
};

/**
 * Slots of this daemon. Slots are numbered from the start of Unix time, and all
 * daemons agree which of them owns a slot. The slots of all servers with the
 * same rate coincide, so that a daemon can send all parts of a query at once.
 */
struct ColdPlan
{
  DaemonId self_;
  std::vector<DaemonId> owners_;      ///< In order; empty: it may send nothing.
  std::map<double, ColdSlots> slots_; ///< By the servers' rate.
  std::int64_t clockOffset_ = 0;      ///< Unix time less monotonic time, us.
};

/**
 * Divides the bound on the requests that reach a cold server in any one second,
 * aPerSecond x aOverage + aSlack, into slots.
 */
ColdRate
MakeColdRate(double aPerSecond, double aOverage, double aSlack);

/** Sets the daemons that share the slots. */
void
SetColdOwners(ColdPlan& aPlan,
              DaemonId aSelf,
              const std::vector<DaemonId>& aOwners);

/** Finds this daemon's next slots. Call at regular intervals. */
void
ExtendColdPlan(ColdPlan& aPlan, const Now& aNow);

/** Time until this daemon may send a cold server a request after aAhead others;
 * the maximum if it has no slot. */
Duration
TimeUntilColdSlot(const ColdPlan& aPlan,
                  const ColdPhase& aPhase,
                  double aPerSecond,
                  std::size_t aAhead,
                  TimePoint aNow);

/** Uses up the slot of a request that is sent to a cold server. */
void
UseColdSlot(const ColdPlan& aPlan,
            ColdPhase& aPhase,
            double aPerSecond,
            TimePoint aNow);

} // namespace camphorfield
