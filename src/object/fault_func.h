/** Collecting and writing of faults. */
#pragma once

#include "object/change_type.h"
#include "object/fault_type.h"
#include "table/config_fault_table.h"

#include <string>
#include <string_view>

namespace camphorfield {

/** Faults listed at most; one more says that there are others. */
constexpr std::size_t kMaxFaults = 1000;

/**
 * Row of a fault.
 * @param aCode Any code but ConfigFaultCode::End.
 */
const ConfigFaultRow&
GetConfigFaultRow(ConfigFaultCode aCode);

/**
 * Note a fault; beyond kMaxFaults only that there are more.
 * @param aObject "kind/name", or "change".
 * @param aField Path of the field; empty: the object as a whole.
 * @param aReason What was found.
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
