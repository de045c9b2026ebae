// Keeps the newest events of a daemon in a bounded ring, for the analysis of
// failures that involve several daemons.
#include "observe/timeline.h"

#include "table/timeline_table.h"

#include <algorithm>
#include <boost/json.hpp>

namespace camphorfield {

namespace {

std::string
RenderEvent(const TimelineEvent& aEvent, const std::string& aDaemon)
{
  const TimelineRecord& record = aEvent.record_;
  boost::json::object line;
  line["time_us"] = aEvent.time_.unixMicros_;
  line["logical"] = aEvent.time_.logical_;
  line["daemon"] = aDaemon;
  line["sequence"] = aEvent.sequence_;
  line["event"] = kTimelineKindNames[static_cast<std::size_t>(record.kind_)];
  if (record.request_ != 0) {
    line["request"] = record.request_;
  }
  if (!record.object_.empty()) {
    line["object"] = record.object_;
  }
  if (record.number_ != 0) {
    line["number"] = record.number_;
  }
  if (!record.text_.empty()) {
    line["text"] = record.text_;
  }
  return boost::json::serialize(line) + "\n";
}

} // namespace

Timeline::Timeline(std::string aDaemon, std::size_t aCapacity)
  : daemon_(std::move(aDaemon))
  , capacity_(aCapacity)
{
  ring_.resize(capacity_);
}

void
Timeline::Add(HybridTime aTime, TimelineRecord aRecord)
{
  const std::lock_guard lock(mutex_);
  TimelineEvent& slot = ring_[next_ % capacity_];
  slot.sequence_ = next_++;
  slot.time_ = aTime;
  slot.record_ = std::move(aRecord);
}

// Copies under the lock and renders outside it, so that an operator's request
// doesn't delay the core.
std::string
Timeline::RenderSince(std::uint64_t aSince) const
{
  std::vector<TimelineEvent> events;
  {
    const std::lock_guard lock(mutex_);
    const std::uint64_t oldest = next_ > capacity_ ? next_ - capacity_ : 1;
    for (std::uint64_t i = std::max(aSince, oldest); i < next_; ++i) {
      events.push_back(ring_[i % capacity_]);
    }
  }
  std::string text;
  for (const TimelineEvent& event : events) {
    text += RenderEvent(event, daemon_);
  }
  return text;
}

} // namespace camphorfield
