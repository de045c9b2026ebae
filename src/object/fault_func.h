/** Collecting and encoding of configuration faults. */
#pragma once

#include "object/change_type.h"
#include "object/fault_type.h"
#include "table/config_fault_table.h"

#include <string>
#include <string_view>

namespace camphorfield {

/** Largest number of faults listed; a TooManyFaults entry follows them. */
constexpr std::size_t kMaxFaults = 1000;

/**
 * Table row of a fault.
 * @param aCode Any code but ConfigFaultCode::End.
 */
const ConfigFaultRow&
GetConfigFaultRow(ConfigFaultCode aCode);

/**
 * Add a fault. The first beyond kMaxFaults becomes TooManyFaults, further ones
 * are dropped.
 * @param aObject "kind/name", or "change".
 * @param aField Path of the field; empty: the whole object.
 * @param aReason Detail, such as the value found.
 */
void
AddFault(ConfigFaults& aFaults,
         ConfigFaultCode aCode,
         std::string_view aObject,
         std::string_view aField,
         std::string_view aReason);

/** "kind/name" of an object. */
std::string
KeyText(const ObjectKey& aKey);

/** JSON array of the faults: number, name, object, field, reason, text. */
std::string
EncodeFaults(const ConfigFaults& aFaults);

} // namespace camphorfield
