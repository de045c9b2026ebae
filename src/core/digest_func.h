/** Digest that identifies content. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorfield {

/**
 * SHA-256 of a text.
 * @return 64 hexadecimal digits.
 */
std::string
DigestText(std::string_view aText);

/** A number as 16 hexadecimal digits. */
std::string
FormatHex(std::uint64_t aNumber);

} // namespace camphorfield
