/** Rendering of the numbered codes for docs/RESULT_CODES.md. */
#pragma once

#include <string>

namespace camphorfield {

/** All codes as Markdown tables. */
std::string
RenderCodes();

} // namespace camphorfield
