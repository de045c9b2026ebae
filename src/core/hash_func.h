/** Hashes that are equal on every daemon and in every run. */
#pragma once

#include <cstdint>
#include <string_view>

namespace camphorfield {

/**
 * Hash of a text.
 * @param aText Any bytes.
 * @param aSeed Gives independent hashes of the same text.
 * @return The same number on every daemon and in every run; never zero.
 */
std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed = 0);

/**
 * Hash of two numbers, for rendezvous hashing.
 * @return The same number on every daemon and in every run; never zero.
 */
std::uint64_t
HashPair(std::uint64_t aFirst, std::uint64_t aSecond);

} // namespace camphorfield
