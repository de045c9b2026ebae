/** Requests of operators and their answers. */
#pragma once

#include "core/id_type.h"
#include "core/result_type.h"
#include "machine/peer_type.h"
#include "object/object_type.h"

#include <map>
#include <string>
#include <vector>

namespace camphorfield {

/** Operations of the operator API. */
enum class OperatorOp : std::uint8_t
{
  Check,    ///< Validate a change against the current objects only.
  Apply,    ///< Validate and publish a change.
  Get,      ///< Read the objects in force.
  History,  ///< List earlier generations.
  Rollback, ///< Publish the content of an earlier generation as a new one.
  Change,   ///< Outcome of the change with a given id.
  Status,   ///< Members, generations, servers.
  Drain,    ///< Begin a graceful shutdown.
  End       ///< Number of operations.
};

/** Request of an operator; text_ holds its JSON document. */
struct OperatorRequest
{
  OperatorRequestId id_; ///< Issued by the host.
  OperatorOp op_ = OperatorOp::Status;
  std::string text_;      ///< JSON document: the change set for Check, Apply.
  std::string changeId_;  ///< Id of the change; Apply, Rollback, Change.
  Generation generation_; ///< Generation to restore; Rollback.
};

/** Answer to an operator; text_ is a JSON document. */
struct OperatorAnswer
{
  OperatorRequestId id_;
  ResultCode code_ = ResultCode::Ok;
  std::string text_;
};

} // namespace camphorfield
