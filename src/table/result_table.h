/** Table of result codes; docs/RESULT_CODES.md is generated from it. */
#pragma once

#include "core/result_type.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace camphorfield {

/** Row of the table of result codes. */
struct ResultRow
{
  ResultCode code_;          ///< Result code.
  std::uint16_t number_;     ///< Number in answers to callers; never reused.
  const char* name_;         ///< Name in answers to callers.
  std::uint16_t httpStatus_; ///< HTTP status of the answer.
  RunState run_;             ///< Whether the request ran.
  const char* text_;         ///< Explanation for callers.
};

// clang-format off
constexpr std::array<ResultRow, static_cast<std::size_t>(ResultCode::End)>
  kResultTable{ {
  { ResultCode::Ok,                1000, "OK",                 200, RunState::Ran,        "Complete answer." },
  { ResultCode::Partial,           1001, "PARTIAL",            200, RunState::Ran,        "Answer covers only the shards it names." },
  { ResultCode::BadRequest,        1100, "BAD_REQUEST",        400, RunState::NotRun,     "The request is malformed." },
  { ResultCode::UnknownRoute,      1101, "UNKNOWN_ROUTE",      404, RunState::NotRun,     "No route of this name." },
  { ResultCode::TooLarge,          1102, "TOO_LARGE",          413, RunState::NotRun,     "The request exceeds the size limit." },
  { ResultCode::NotReady,          1200, "NOT_READY",          503, RunState::NotRun,     "The daemon has no confirmed configuration yet." },
  { ResultCode::Overloaded,        1201, "OVERLOADED",         503, RunState::NotRun,     "The service has no capacity left for this priority." },
  { ResultCode::CallerOverLimit,   1202, "CALLER_OVER_LIMIT",  429, RunState::NotRun,     "The caller exceeds its fair share." },
  { ResultCode::DeadlineTooShort,  1203, "DEADLINE_TOO_SHORT", 503, RunState::NotRun,     "The deadline can't be met from the queue." },
  { ResultCode::DeadlineExceeded,  1204, "DEADLINE_EXCEEDED",  504, RunState::MayHaveRun, "No answer before the deadline." },
  { ResultCode::NoReplica,         1205, "NO_REPLICA",         503, RunState::NotRun,     "No usable replica." },
  { ResultCode::CoverageTooLow,    1206, "COVERAGE_TOO_LOW",   503, RunState::MayHaveRun, "Fewer shards answered than the route demands." },
  { ResultCode::Quarantined,       1207, "QUARANTINED",        422, RunState::NotRun,     "Requests of this content crashed backend servers." },
  { ResultCode::Stopping,          1208, "STOPPING",           503, RunState::NotRun,     "The daemon is shutting down." },
  { ResultCode::OrderNotRun,       2000, "NOT_RUN",            503, RunState::NotRun,     "The order did not run; it may be sent again." },
  { ResultCode::OutcomeUnknown,    2001, "OUTCOME_UNKNOWN",    504, RunState::MayHaveRun, "The order may have run; it is never run again under this key." },
  { ResultCode::KeyReused,         2002, "KEY_REUSED",         409, RunState::NotRun,     "The key belongs to an order with another body; this body did not run." },
  { ResultCode::KeyExpired,        2003, "KEY_EXPIRED",        410, RunState::MayHaveRun, "The key is older than the window; its outcome is not kept." },
  { ResultCode::KeyMalformed,        2004, "KEY_MALFORMED",      400, RunState::NotRun,     "The idempotency key carries no readable time." },
  { ResultCode::OrderInProgress,   2005, "IN_PROGRESS",        409, RunState::MayHaveRun, "The order under this key is still running." },
  { ResultCode::ClaimsUnavailable, 2006, "CLAIMS_UNAVAILABLE", 503, RunState::MayHaveRun, "This request did not run: its claim could not be stored; an earlier one under its key may have. Use a token during an outage." },
  { ResultCode::OrderRefused,      2007, "ORDER_REFUSED",      422, RunState::Ran,        "The backend server ran the order and refused it." },
  { ResultCode::ConfigRejected,    3000, "CONFIG_REJECTED",    422, RunState::NotRun,     "The whole-set check found faults; nothing was published." },
  { ResultCode::ConfigConflict,    3001, "CONFIG_CONFLICT",    409, RunState::NotRun,     "The same objects were changed meanwhile." },
  { ResultCode::ConfigUnknown,     3002, "CONFIG_UNKNOWN",     504, RunState::MayHaveRun, "Not known whether the change was published; ask by its id." },
  { ResultCode::StoreUnavailable,  4000, "STORE_UNAVAILABLE",  503, RunState::NotRun,     "The platform's store did not answer." },
  { ResultCode::NotFound,          4001, "NOT_FOUND",          404, RunState::NotRun,     "No such object." },
  { ResultCode::Internal,          9000, "INTERNAL",           500, RunState::MayHaveRun, "Unexpected fault in the daemon." },
  { ResultCode::OrderNotAccepted,  2008, "NOT_ACCEPTED",       503, RunState::MayHaveRun, "This request did not run and never will; an earlier one under its key may have. Send it again under the same key." },
} };
// clang-format on

} // namespace camphorfield
