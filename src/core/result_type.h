/** Numbered result codes told to callers and operators. */
#pragma once

#include <cstdint>

namespace camphorfield {

/** Whether a request with this result was run by a backend server. */
enum class RunState : std::uint8_t
{
  Ran,       ///< It ran.
  NotRun,    ///< It did not run and never will without a new request.
  MayHaveRun ///< Not known.
};

/**
 * Result of a request. The rows with number, HTTP status and text are in
 * table/result_table.h.
 */
enum class ResultCode : std::uint8_t
{
  Ok,
  Partial,
  BadRequest,
  UnknownRoute,
  TooLarge,
  NotReady,
  Overloaded,
  CallerOverLimit,
  DeadlineTooShort,
  DeadlineExceeded,
  NoReplica,
  CoverageTooLow,
  Quarantined,
  Stopping,
  OrderNotRun,
  OutcomeUnknown,
  KeyReused,
  KeyExpired,
  KeyMalformed,
  OrderInProgress,
  ClaimsUnavailable,
  OrderRefused,
  ConfigRejected,
  ConfigConflict,
  ConfigUnknown,
  StoreUnavailable,
  NotFound,
  Internal,
  OrderNotAccepted,
  End ///< Number of codes.
};

} // namespace camphorfield
