// One table for all that reads or forwards answers: servers, parts of queries,
// orders.
#include "core/answer_status.h"

#include <algorithm>
#include <iterator>

namespace camphorfield {

namespace {

struct StatusRow
{
  std::uint32_t first_;
  std::uint32_t last_;
  StatusClass class_;
};

// clang-format off
/** The first row that contains a status applies. */
constexpr StatusRow kStatusTable[] = {
  { 200, 299, StatusClass::Success },
  { 408, 408, StatusClass::PromisedNotRun },
  { 421, 421, StatusClass::PromisedNotRun },
  { 429, 429, StatusClass::PromisedNotRun },
  { 503, 503, StatusClass::PromisedNotRun },
  { 300, 599, StatusClass::Failure },
};
// clang-format on

} // namespace

StatusClass
ClassifyStatus(std::uint32_t aStatus)
{
  const auto* row =
    std::find_if(std::begin(kStatusTable),
                 std::end(kStatusTable),
                 [aStatus](const StatusRow& aRow) {
                   return aRow.first_ <= aStatus && aStatus <= aRow.last_;
                 });
  return row == std::end(kStatusTable) ? StatusClass::Invalid : row->class_;
}

} // namespace camphorfield
