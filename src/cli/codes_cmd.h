/** Rendering of the numbered codes for docs/RESULT_CODES.md. */
#pragma once

#include <string>

namespace camphorfield {

/** Renders all result codes and setting faults as Markdown tables. */
std::string
RenderCodes();

} // namespace camphorfield
