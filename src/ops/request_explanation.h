/** Explanation of one request's outcome from log lines. */
#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace camphorfield {

/**
 * Describes the outcome of a request and the events that led to it, in order of
 * time.
 * @param aLines Log lines of one or more daemons, in any order; lines without a
 *   JSON object are skipped.
 * @param aRequest Id of the request.
 * @return NotFound when no log line mentions the request.
 */
absl::StatusOr<std::string>
ExplainRequest(const std::vector<std::string>& aLines,
               const std::string& aRequest);

} // namespace camphorfield
