// Tables of result codes and time line events: callers rely on unique numbers
// and on the run state of refusals.
#include "core/result_func.h"
#include "machine/decision_type.h"
#include "table/timeline_table.h"

#include <CppUTest/TestHarness.h>
#include <set>
#include <string>

using namespace camphorfield;

TEST_GROUP(Result){};

TEST(Result, NumbersAndNamesAreUnique)
{
  std::set<std::uint16_t> numbers;
  std::set<std::string> names;
  for (const ResultRow& row : kResultTable) {
    CHECK_TRUE(numbers.insert(row.number_).second);
    CHECK_TRUE(names.insert(row.name_).second);
  }
}

TEST(Result, RefusalsBeforeDispatchAreNotRun)
{
  for (const ResultCode code : { ResultCode::BadRequest,
                                 ResultCode::Overloaded,
                                 ResultCode::Quarantined,
                                 ResultCode::Stopping,
                                 ResultCode::OrderNotRun }) {
    CHECK_TRUE(GetResultRow(code).run_ == RunState::NotRun);
  }
}

TEST(Result, EveryTimelineKindHasAName)
{
  for (const char* name : kTimelineKindNames) {
    CHECK_TRUE(name != nullptr);
  }
}
