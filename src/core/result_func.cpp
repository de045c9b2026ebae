// Access to the table of result codes. A row out of order would answer callers
// with a wrong code, so the order is checked at compile time.
#include "core/result_func.h"

namespace camphorfield {

namespace {

constexpr bool
RowsAreInOrder()
{
  for (std::size_t i = 0; i < kResultTable.size(); ++i) {
    if (static_cast<std::size_t>(kResultTable[i].code_) != i) {
      return false;
    }
  }
  return true;
}
static_assert(RowsAreInOrder(), "rows must follow the order of ResultCode");

} // namespace

const ResultRow&
GetResultRow(ResultCode aCode)
{
  return kResultTable[static_cast<std::size_t>(aCode)];
}

} // namespace camphorfield
