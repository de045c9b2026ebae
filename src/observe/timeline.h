/** Ring of time line events of one daemon. */
#pragma once

#include "machine/timeline_type.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace camphorfield {

/** Event with its place in the daemon's sequence. */
struct TimelineEvent
{
  std::uint64_t sequence_ = 0; ///< Rises by one with each event.
  HybridTime time_;            ///< Causal order over all daemons.
  TimelineRecord record_;
};

/** Keeps the newest events. Its lock is taken after the core's. */
class Timeline
{
public:
  /**
   * @param aDaemon Name of the daemon, told with each event.
   * @param aCapacity Number of events kept.
   */
  Timeline(std::string aDaemon, std::size_t aCapacity);

  /** Adds an event. */
  void Add(HybridTime aTime, TimelineRecord aRecord);

  /**
   * Events as JSON lines.
   * @param aSince First sequence number wanted.
   */
  std::string RenderSince(std::uint64_t aSince) const;

private:
  std::string daemon_;
  std::size_t capacity_;
  mutable std::mutex mutex_;
  std::vector<TimelineEvent> ring_;
  std::uint64_t next_ = 1; ///< Sequence number of the next event.
};

} // namespace camphorfield
