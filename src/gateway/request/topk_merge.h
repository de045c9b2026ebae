/** Merge of the records in the shard answers of a query. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorfield {

constexpr std::size_t kRecordBytes = 16;
/** Body of a query's part that is kept unchanged until the merge; a longer one
 * is reduced to the records that the merge could take from it. */
constexpr std::size_t kMaxHeldPartBytes = 4096;

/**
 * Returns the greatest records of all parts in descending order of their bytes.
 * @param aParts Bodies of the parts; a trailing partial record is ignored.
 * Duplicates are kept.
 * @param aLimit Maximum number of records.
 * @return The concatenated records.
 */
std::string
MergeTopRecords(const std::vector<std::string_view>& aParts,
                std::uint32_t aLimit);

} // namespace camphorfield
