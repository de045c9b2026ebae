/** Check of names of daemons, callers, routes and objects. */
#pragma once

#include <string_view>

namespace camphorfield {

/**
 * Whether a name is allowed.
 * @param aName Candidate.
 * @return True for 1 to 64 letters, digits, '.', '_' or '-'.
 */
bool
IsValidName(std::string_view aName);

} // namespace camphorfield
