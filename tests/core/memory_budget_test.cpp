// Who may hold memory and who is closed when it is short, without a network.
// Guards against clients that fill the memory with stalled requests, and
// against ordinary callers being refused or closed in their place.
#include "core/memory_budget.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

constexpr std::uint64_t kKb = 1024;
constexpr std::uint64_t kLimit = 1000 * kKb;
constexpr TimePoint kStart{ std::chrono::seconds(100) };

/** One holder before the reservation. */
struct Held
{
  HolderState state_;
  std::uint64_t kb_;
  int stalledMillis_;
  bool hasServed_ = false;
};

struct ReserveCase
{
  const char* name_;
  std::vector<Held> held_;
  std::uint64_t kb_; ///< Asked for by a new holder.
  bool mayUseAll_;   ///< The new holder reads a server's answer.
  bool isGranted_;
  std::string closed_; ///< Positions of closed holders in held_.
};

constexpr auto kIdle = HolderState::Idle;
constexpr auto kReading = HolderState::Reading;
constexpr auto kRunning = HolderState::Running;
constexpr auto kWriting = HolderState::Writing;

} // namespace

TEST_GROUP(MemoryBudget){};

TEST(MemoryBudget, ReservationsCloseOnlyWhatIsStalled)
{
  const ReserveCase cases[] = {
    { "calm: nothing is closed",
      { { kReading, 300, 900 }, { kIdle, 24, 9000 } },
      300,
      false,
      true,
      "" },
    { "large requests leave a quarter to small ones",
      { { kReading, 600, 10 } },
      200,
      false,
      false,
      "" },
    { "a small request gets into the last quarter",
      { { kReading, 900, 10 } },
      60,
      false,
      true,
      "" },
    { "an answer of a server may use the last quarter",
      { { kReading, 600, 10 } },
      300,
      true,
      true,
      "" },
    { "the largest and longest stalled goes first",
      { { kReading, 100, 900 },
        { kReading, 300, 900 },
        { kReading, 300, 700 } },
      200,
      false,
      true,
      "1" },
    { "requests that are served are not closed",
      { { kRunning, 700, 9000 } },
      300,
      false,
      false,
      "" },
    { "requests that make progress are not closed",
      { { kReading, 700, 400 } },
      300,
      false,
      false,
      "" },
    { "an answer that is not read is closed",
      { { kWriting, 700, 900 } },
      300,
      false,
      true,
      "0" },
    { "idle callers only after stalled requests, new ones first",
      { { kIdle, 30, 9000, true },
        { kIdle, 30, 600 },
        { kReading, 10, 600 },
        { kRunning, 930, 0 } },
      64,
      false,
      true,
      "210" },
    { "callers that were served keep connections idle for a short time",
      { { kIdle, 64, 4000, true }, { kRunning, 900, 0 } },
      64,
      false,
      false,
      "" },
    { "a large request closes no idle callers that were served",
      { { kIdle, 600, 9000, true } },
      300,
      false,
      false,
      "" },
    { "nothing is closed in vain",
      { { kReading, 100, 900 }, { kRunning, 700, 900 } },
      300,
      false,
      false,
      "" },
  };
  for (const ReserveCase& test : cases) {
    MemoryBudget budget;
    budget.limit_ = kLimit;
    std::vector<std::uint64_t> holders;
    for (const Held& held : test.held_) {
      MemoryHolder holder;
      holder.state_ = held.state_;
      holder.hasServed_ = held.hasServed_;
      holder.progressAt_ =
        kStart - std::chrono::milliseconds(held.stalledMillis_);
      holders.push_back(AddHolder(budget, holder));
      SetHeldBytes(budget, holders.back(), held.kb_ * kKb);
    }
    MemoryHolder added;
    added.mayUseAll_ = test.mayUseAll_;
    const std::uint64_t number = AddHolder(budget, added);
    const std::uint64_t before = budget.used_;
    std::vector<std::uint64_t> closed;
    CHECK_EQUAL_TEXT(test.isGranted_,
                     Reserve(budget, number, test.kb_ * kKb, kStart, closed),
                     test.name_);
    std::string positions;
    std::uint64_t freed = 0;
    for (const std::uint64_t holder : closed) {
      positions += std::to_string(holder - holders.front());
      freed += test.held_[holder - holders.front()].kb_ * kKb;
    }
    STRCMP_EQUAL_TEXT(test.closed_.c_str(), positions.c_str(), test.name_);
    const std::uint64_t granted = test.isGranted_ ? test.kb_ * kKb : 0;
    CHECK_EQUAL_TEXT(before - freed + granted, budget.used_, test.name_);
  }
}

// Guards against callers with open connections losing them to new ones while
// connections exist that never sent a request.
TEST(MemoryBudget, DescriptorsComeFromConnectionsThatNeverServed)
{
  MemoryBudget budget;
  const auto add = [&](int aStalledMillis, bool aServed, std::uint32_t aGroup) {
    MemoryHolder holder;
    holder.state_ = kIdle;
    holder.group_ = aGroup;
    holder.hasServed_ = aServed;
    holder.progressAt_ = kStart - std::chrono::milliseconds(aStalledMillis);
    return AddHolder(budget, holder);
  };
  const std::uint64_t served = add(5500, true, 1);
  add(9000, false, 2);
  add(100, false, 1);
  const std::uint64_t fresh = add(700, false, 1);
  const std::uint64_t rejected = add(10, true, 1);
  budget.holders_.at(rejected).state_ = HolderState::Closing;
  CHECK_EQUAL(rejected, TakeLongestStalled(budget, 1, kStart));
  CHECK_EQUAL(fresh, TakeLongestStalled(budget, 1, kStart));
  CHECK_EQUAL(served, TakeLongestStalled(budget, 1, kStart));
  CHECK_EQUAL(0U, TakeLongestStalled(budget, 1, kStart));
  CHECK_EQUAL(2U, budget.holders_.size());
}
