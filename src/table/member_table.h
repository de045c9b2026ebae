/** Names of member states, in the order of MemberState. */
#pragma once

#include "machine/peer_type.h"

#include <array>
#include <cstddef>

namespace camphorfield {

constexpr std::array<const char*, static_cast<std::size_t>(MemberState::End)>
  kMemberStateNames{ "alive", "suspect", "leaving", "dead" };

} // namespace camphorfield
