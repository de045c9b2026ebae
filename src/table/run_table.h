/** Names of the run states of a request, in the order of RunState. */
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
