/** Evacuations that a daemon passes on while its tables are too old for it. */
#pragma once

#include "discovery/table_feed.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

/**
 * Adds the evacuations that the sender knows to a message that says that the
 * store is unavailable.
 * @param aKind Kind of their table; empty: there is none.
 * @param aTables Complete tables of the sender.
 */
void
AddEvacuations(FeedMessage& aMessage,
               const std::string& aKind,
               const std::vector<const TableSync*>& aTables);

/** Names of the domains in such a message, or that others stated to the sender
 * of any message; nothing if it doesn't know the evacuations. */
std::optional<std::set<std::string>>
FindEvacuations(const FeedMessage& aMessage, const std::string& aKind);

/** Domains that are evacuated for a daemon: those in its table once it has read
 * it, else those that others stated. */
std::set<std::string>
EvacuationsInForce(const TableSync& aTable,
                   const std::optional<std::set<std::string>>& aStated);

} // namespace camphorfield
