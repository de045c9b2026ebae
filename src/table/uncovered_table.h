/**
 * Names of the reasons why a shard is missing, in the order of
 * UncoveredReason.
 */
#pragma once

#include "machine/caller_type.h"

#include <array>
#include <cstddef>

namespace camphorfield {

constexpr std::array<const char*,
                     static_cast<std::size_t>(UncoveredReason::End)>
  kUncoveredReasonNames{
    "timeout", "no_replica", "refused", "wrong_version", "corrupt", "failed",
  };

} // namespace camphorfield
