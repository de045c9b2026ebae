/** Output of the check of a configuration. */
#pragma once

#include "preflight/finding_type.h"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorfield {

/** Result of one check. */
struct CheckReport
{
  std::uint64_t version_ = 0; ///< Of the configuration checked.
  std::vector<ConfigFinding> findings_;
  bool compared_ = false; ///< There was a configuration to compare with.
  std::vector<ConfigDifference> differences_;
};

/** One line for each finding and difference. */
std::string
RenderText(const CheckReport& aReport);

/** The same as a JSON object. */
std::string
RenderJson(const CheckReport& aReport);

} // namespace camphorfield
