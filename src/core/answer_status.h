/** Meaning of the status codes of HTTP answers. */
#pragma once

#include <cstdint>

namespace camphorfield {

/** What a status says of its request. */
enum class StatusClass : std::uint8_t
{
  Invalid,       ///< Not the status of an answer.
  Success,       ///< It ran.
  Failure,       ///< It may have run.
  PromisedNotRun ///< To callers: it did not run and never will.
};

StatusClass
ClassifyStatus(std::uint32_t aStatus);

} // namespace camphorfield
