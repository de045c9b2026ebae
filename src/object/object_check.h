/** Check of a whole set of objects and of the step from one set to the next. */
#pragma once

#include "object/change_type.h"
#include "object/fault_type.h"

#include <string_view>

namespace camphorfield {

/** Connections that one daemon may hold to a server of the set. */
std::uint32_t
DaemonsPerServer(const ConfigSet& aSet);

/** Whether a text may name an object, server, shard or failure domain. */
bool
IsValidObjectName(std::string_view aName);

/** Whether a text may be the id of a change. */
bool
IsValidChangeId(std::string_view aId);

/** All faults of a set by itself. */
ConfigFaults
CheckSet(const ConfigSet& aSet);

/**
 * All faults of a step between two sets: what is safe in the end may be unsafe
 * to do at once while requests run.
 */
ConfigFaults
CheckTransition(const ConfigSet& aBefore, const ConfigSet& aAfter);

/**
 * All faults of a change: of the document, of the set that it makes, and of the
 * step to that set.
 * @param aBefore Set in force.
 * @param aGeneration Generation in force.
 * @param aChange Decoded without a fault.
 */
ConfigFaults
CheckChange(const ConfigSet& aBefore,
            Generation aGeneration,
            const Change& aChange);

} // namespace camphorfield
