/** Names of what a caller may conclude about its request. */
#pragma once

#include "core/result_type.h"

#include <array>

namespace camphorfield {

constexpr std::array<const char*, 3> kRunStateNames{
  "ran",
  "not_run",
  "may_have_run",
};

} // namespace camphorfield
