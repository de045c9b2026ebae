/** Syntax check of a JSON document, before any value of it is built. */
#pragma once

#include "object/fault_type.h"

#include <cstddef>
#include <string_view>

namespace camphorfield {

/** Bytes of a change document. */
constexpr std::size_t kMaxChangeBytes = 4UL * 1024 * 1024;
/** Bytes of an encoded set. */
constexpr std::size_t kMaxSetBytes = 32UL * 1024 * 1024;
/** Nesting of arrays and objects in a document. */
constexpr std::size_t kMaxJsonDepth = 12;

/**
 * Check size, syntax, UTF-8, nesting and repeated fields, in memory bounded by
 * the nesting and the fields of the objects that are open.
 * @param aText The document.
 * @param aMaxBytes Largest size allowed.
 * @param aFaults Faults are added here.
 * @return True when the document may be parsed.
 */
bool
ScanJson(std::string_view aText, std::size_t aMaxBytes, ConfigFaults& aFaults);

} // namespace camphorfield
