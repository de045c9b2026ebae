// Check of names from settings and requests, so that they are safe in URLs,
// store keys and logs.
#include "core/name_func.h"

#include <algorithm>
#include <cstddef>

namespace camphorfield {

namespace {

constexpr std::size_t kMaxNameBytes = 64;

bool
IsNameChar(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '.' || aChar == '_' ||
         aChar == '-';
}

} // namespace

bool
IsValidName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         std::all_of(aName.begin(), aName.end(), IsNameChar);
}

} // namespace camphorfield
