/** Digests that identify content, and hexadecimal numbers. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorfield {

/**
 * SHA-256 digest of a text.
 * @return 64 lower-case hexadecimal digits.
 */
std::string
DigestText(std::string_view aText);

/** Format a number as 16 lower-case hexadecimal digits. */
std::string
FormatHex(std::uint64_t aNumber);

} // namespace camphorfield
