/** Hash with a secret key, for values that callers choose. */
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace camphorfield {

using HashKey = std::array<std::uint64_t, 2>;

/** SipHash-2-4 of a text: without the key nothing can be told about the hash
 * of a text, nor a text with a given hash be found. */
std::uint64_t
HashKeyed(std::string_view aText, const HashKey& aKey);

} // namespace camphorfield
