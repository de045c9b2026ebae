/** Check of a JSON document before it is parsed into values. */
#pragma once

#include "object/fault_type.h"

#include <cstddef>
#include <string_view>

namespace camphorfield {

/** Largest change document, bytes. */
constexpr std::size_t kMaxChangeBytes = 4UL * 1024 * 1024;
/** Largest encoded set, bytes. */
constexpr std::size_t kMaxSetBytes = 32UL * 1024 * 1024;
/** Deepest nesting of arrays and objects. */
constexpr std::size_t kMaxJsonDepth = 12;

/**
 * Check size, syntax, UTF-8, nesting and duplicate fields. Memory is needed
 * only for the field names of the objects around the current position.
 * @param aMaxBytes Largest size allowed.
 * @param aFaults Receives the faults.
 * @return True when the document may be parsed.
 */
bool
ScanJson(std::string_view aText, std::size_t aMaxBytes, ConfigFaults& aFaults);

} // namespace camphorfield
