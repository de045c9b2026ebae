/** Paths of the operator API. */
#pragma once

#include "machine/operator_type.h"
#include "runtime/http_type.h"

#include <array>

namespace camphorfield {

/** Row of the table of operator API paths. */
struct OperatorPath
{
  HttpMethod method_;
  const char* path_; ///< A trailing slash is followed by one segment.
  OperatorOp op_;
};

// clang-format off
constexpr std::array kOperatorPaths{
  OperatorPath{ HttpMethod::Post, "/v1/check",    OperatorOp::Check },
  OperatorPath{ HttpMethod::Post, "/v1/apply",    OperatorOp::Apply },
  OperatorPath{ HttpMethod::Get,  "/v1/objects",  OperatorOp::Get },
  OperatorPath{ HttpMethod::Get,  "/v1/history",  OperatorOp::History },
  OperatorPath{ HttpMethod::Post, "/v1/rollback", OperatorOp::Rollback },
  OperatorPath{ HttpMethod::Get,  "/v1/change/",  OperatorOp::Change },
  OperatorPath{ HttpMethod::Get,  "/v1/status",   OperatorOp::Status },
  OperatorPath{ HttpMethod::Post, "/v1/drain",    OperatorOp::Drain },
};
// clang-format on

} // namespace camphorfield
