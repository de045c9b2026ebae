/** Numbered result codes that callers and operators receive. */
#pragma once

#include <cstdint>

namespace camphorfield {

/** Whether a backend server ran a request that has this result. */
enum class RunState : std::uint8_t
{
  Ran,       ///< It ran.
  NotRun,    ///< It did not run and will not, unless sent again.
  MayHaveRun ///< Unknown.
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
