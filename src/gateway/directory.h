/** Which daemons callers are told to connect to. */
#pragma once

#include "machine/caller_type.h"
#include "machine/peer_type.h"

#include <string>
#include <vector>

namespace camphorfield {

constexpr std::size_t kDirectoryMost = 64; ///< Addresses in an answer.

/** How long callers keep an answer: some keep it three times as long, and a
 * daemon that stops serves them for that time. */
constexpr Duration kDirectoryKeepFor = std::chrono::seconds(1);

/**
 * Addresses for a caller. Callers choose at random among them, so that each
 * address listed gets an equal share.
 * @param aMembers All members but the dead, with this daemon.
 */
EntriesAnswer
ListFronts(const std::vector<MemberRecord>& aMembers);

} // namespace camphorfield
