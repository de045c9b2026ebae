/** One request's story, told from log lines. */
#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace camphorfield {

/**
 * Tells what became of a request and why, in plain words and in the order of
 * events.
 * @param aLines Log lines of any daemons, in any order of files; lines that
 *   are no JSON are left out.
 * @param aRequest Its id.
 * @return NotFound when no line tells of it.
 */
absl::StatusOr<std::string>
ExplainRequest(const std::vector<std::string>& aLines,
               const std::string& aRequest);

} // namespace camphorfield
