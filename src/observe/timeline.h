/** Ring buffer of one daemon's timeline events. */
#pragma once

#include "machine/timeline_type.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace camphorfield {

/** Event with its sequence number and time. */
struct TimelineEvent
{
  std::uint64_t sequence_ = 0; ///< Rises by one with each event.
  HybridTime time_;            ///< Causal order over all daemons.
  TimelineRecord record_;
};

/** Keeps the newest events. Thread-safe; its lock is taken after the core's. */
class Timeline
{
public:
  /**
   * @param aDaemon Name of the daemon, a field of each event.
   * @param aCapacity Number of events kept.
   */
  Timeline(std::string aDaemon, std::size_t aCapacity);

  /** Adds an event. */
  void Add(HybridTime aTime, TimelineRecord aRecord);

  /**
   * Renders events as JSON lines.
   * @param aSince Lowest sequence number to include.
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
