/** JSON names of the enumerations of configuration objects. */
#pragma once

#include "object/change_type.h"

#include <array>
#include <cstddef>

namespace camphorfield {

constexpr std::array<const char*, static_cast<std::size_t>(ObjectKind::End)>
  kObjectKindNames{ "index", "service", "route", "limits", "fleet" };

constexpr std::array<const char*, static_cast<std::size_t>(Priority::End)>
  kPriorityNames{ "interactive", "normal", "batch" };

constexpr std::array<const char*, static_cast<std::size_t>(RouteMode::End)>
  kRouteModeNames{ "query", "order" };

constexpr std::array<const char*, static_cast<std::size_t>(DiffKind::End)>
  kDiffKindNames{ "added", "changed", "deleted" };

} // namespace camphorfield
