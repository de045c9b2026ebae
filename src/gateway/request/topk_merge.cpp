// Merges the records of wide queries: only the records wanted are sorted.
#include "gateway/request/topk_merge.h"

#include <algorithm>
#include <functional>

namespace camphorfield {

std::string
MergeTopRecords(const std::vector<std::string_view>& aParts,
                std::uint32_t aLimit)
{
  std::vector<std::string_view> records;
  std::size_t bytes = 0;
  for (const std::string_view part : aParts) {
    bytes += part.size();
  }
  records.reserve(bytes / kRecordBytes);
  for (const std::string_view part : aParts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size();
         at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  const std::size_t count = std::min<std::size_t>(records.size(), aLimit);
  const auto end = records.begin() + static_cast<std::ptrdiff_t>(count);
  // A string_view compares its bytes as unsigned.
  std::partial_sort(
    records.begin(), end, records.end(), std::greater<std::string_view>());
  std::string merged;
  merged.reserve(count * kRecordBytes);
  for (auto record = records.begin(); record != end; ++record) {
    merged.append(*record);
  }
  return merged;
}

} // namespace camphorfield
