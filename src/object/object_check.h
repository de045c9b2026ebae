/** Check of a configuration set and of the transition between two sets. */
#pragma once

#include "object/change_type.h"
#include "object/fault_type.h"

#include <string_view>

namespace camphorfield {

/** Number of daemons that may hold connections to one server. */
std::uint32_t
DaemonsPerServer(const ConfigSet& aSet);

/**
 * Whether a text is a valid name of an object, server, shard or failure
 * domain.
 */
bool
IsValidObjectName(std::string_view aName);

/** Whether a text is a valid change id. */
bool
IsValidChangeId(std::string_view aId);

/** All faults of a set, regardless of the set in force. */
ConfigFaults
CheckSet(const ConfigSet& aSet);

/**
 * All faults of the transition from one set to another. A valid set may still
 * be unsafe to switch to in one change while requests are in flight.
 */
ConfigFaults
CheckTransition(const ConfigSet& aBefore, const ConfigSet& aAfter);

/**
 * All faults of a change: of the document, of the resulting set, and of the
 * transition to it.
 * @param aBefore Set in force.
 * @param aGeneration Generation in force.
 * @param aChange Change that was decoded without faults.
 */
ConfigFaults
CheckChange(const ConfigSet& aBefore,
            Generation aGeneration,
            const Change& aChange);

} // namespace camphorfield
