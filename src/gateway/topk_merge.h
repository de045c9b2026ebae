/** Merge of the records of a query's parts. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorfield {

constexpr std::size_t kRecordBytes = 16;

/**
 * The greatest records of all parts, greatest first, compared byte by byte.
 * @param aParts Bodies of the parts; a remainder shorter than a record is
 * ignored. Equal records all count.
 * @param aMost Records wanted.
 * @return The records one after the other.
 */
std::string
MergeTopRecords(const std::vector<std::string_view>& aParts,
                std::uint32_t aMost);

} // namespace camphorfield
