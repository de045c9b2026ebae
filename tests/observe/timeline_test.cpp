// The timeline is bounded and can be read from a given sequence number on.
#include "observe/timeline.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace camphorfield;

TEST_GROUP(Timeline){};

namespace {

std::size_t
CountLines(const std::string& aText)
{
  return static_cast<std::size_t>(std::count(aText.begin(), aText.end(), '\n'));
}

void
AddEvents(Timeline& aTimeline, std::uint64_t aCount)
{
  for (std::uint64_t i = 1; i <= aCount; ++i) {
    TimelineRecord record;
    record.kind_ = TimelineKind::SubSent;
    record.number_ = i;
    aTimeline.Add(HybridTime{ static_cast<std::int64_t>(i), 0 }, record);
  }
}

} // namespace

TEST(Timeline, KeepsTheNewestEvents)
{
  Timeline timeline("d1", 4);
  AddEvents(timeline, 10);
  const std::string text = timeline.RenderSince(0);
  LONGS_EQUAL(4, CountLines(text));
  STRCMP_CONTAINS("\"sequence\":7,", text.c_str());
  STRCMP_CONTAINS("\"sequence\":10,", text.c_str());
  STRCMP_CONTAINS("\"event\":\"sub_sent\"", text.c_str());
}

TEST(Timeline, RendersFromRequestedSequence)
{
  Timeline timeline("d1", 100);
  AddEvents(timeline, 10);
  LONGS_EQUAL(3, CountLines(timeline.RenderSince(8)));
  LONGS_EQUAL(0, CountLines(timeline.RenderSince(11)));
}
