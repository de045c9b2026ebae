/** Changes to configuration objects, and differences between two sets. */
#pragma once

#include "object/object_type.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorfield {

/** Kind and name, which together identify an object. */
struct ObjectKey
{
  ObjectKind kind_ = ObjectKind::Index;
  std::string name_;

  // False positive: clang-tidy takes the zero of the generated code for a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ObjectKey&) const = default;
};

/** One object of any kind, in the order of ObjectKind. */
using ConfigObject =
  std::variant<IndexSpec, ServiceSpec, RouteSpec, LimitsSpec, FleetSpec>;

/** Change requested by an operator. */
struct Change
{
  std::vector<ConfigObject> puts_; ///< Objects to create or replace whole.
  std::vector<ObjectKey> deletes_; ///< Objects to remove.
  Generation basedOn_; ///< Generation that the operator has seen; zero: none.
};

/** How an object differs between two sets. */
enum class DiffKind : std::uint8_t
{
  Added,
  Changed,
  Deleted,
  End ///< Number of kinds.
};

/** One object that differs between two sets. */
struct ObjectDiff
{
  ObjectKey key_;
  DiffKind kind_ = DiffKind::Added;
  std::vector<std::string> fields_; ///< Changed fields, by their JSON names.
};

} // namespace camphorfield
