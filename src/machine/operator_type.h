/** Requests of operators and the answers to them. */
#pragma once

#include "core/id_type.h"
#include "core/result_type.h"
#include "machine/peer_type.h"
#include "object/object_type.h"

#include <map>
#include <string>
#include <vector>

namespace camphorfield {

/** Operations of the operators' interface. */
enum class OperatorOp : std::uint8_t
{
  Check,    ///< Check a change against the current objects; publish nothing.
  Apply,    ///< Check and publish a change.
  Get,      ///< Read the objects in force.
  History,  ///< List earlier generations.
  Rollback, ///< Publish the content of an earlier generation as a new one.
  Change,   ///< Ask what became of a change id.
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
  std::string changeId_;  ///< Apply, Rollback, Change: names the change.
  Generation generation_; ///< Rollback: the earlier one.
};

/** Answer to an operator; text_ is a JSON document. */
struct OperatorAnswer
{
  OperatorRequestId id_;
  ResultCode code_ = ResultCode::Ok;
  std::string text_;
};

} // namespace camphorfield
