/**
 * Names and explanations of ServerStanding, which decides what work a backend
 * server gets.
 */
#pragma once

#include "route/route_type.h"

#include <array>
#include <cstddef>

namespace camphorfield {

constexpr std::size_t kStandingCount =
  static_cast<std::size_t>(ServerStanding::End);

// clang-format off
constexpr std::array<const char*, kStandingCount> kStandingNames{
  "in",
  "slow_start",
  "connecting",
  "down",
  "ejected",
  "probation",
  "leaving",
  "draining",
  "removed",
};

constexpr std::array<const char*, kStandingCount> kStandingTexts{
  "gets work",
  "gets less work for a while after its return",
  "no connection is open yet",
  "accepts no connections",
  "failed or was slow compared with its service",
  "gets single requests after an ejection",
  "says that it is leaving, or a peer heard so",
  "taken out by an operator",
  "no longer in the configuration",
};
// clang-format on

} // namespace camphorfield
