/** Changes to the objects and differences between two sets of them. */
#pragma once

#include "object/object_type.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorfield {

/** Name of one object over all kinds. */
struct ObjectKey
{
  ObjectKind kind_ = ObjectKind::Index;
  std::string name_;

  // The linter takes the generated comparison with zero for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ObjectKey&) const = default;
};

/** One object of any kind, in the order of ObjectKind. */
using ConfigObject =
  std::variant<IndexSpec, ServiceSpec, RouteSpec, LimitsSpec, FleetSpec>;

/** What an operator asks to change. */
struct Change
{
  std::vector<ConfigObject> puts_; ///< Objects to create or replace whole.
  std::vector<ObjectKey> deletes_; ///< Objects to remove.
  Generation basedOn_; ///< Generation that the operator looked at; zero: none.
};

/** What became of an object between two sets. */
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
