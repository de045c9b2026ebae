/** Calls to the platform's object API. */
#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

#include <string>
#include <vector>

namespace camphorfield {

/** Package that a platform call belongs to. */
enum class PlatformUser : std::uint8_t
{
  Publish,
  Order,
  Membership,
  End ///< Number of users.
};

/** Operations of the platform's object API. */
enum class PlatformOp : std::uint8_t
{
  Get,    ///< Read one object.
  Create, ///< Write an object that must not exist.
  Update, ///< Write an object that must have expectedVersion_.
  Delete, ///< Remove an object that must have expectedVersion_.
  List,   ///< Read the objects whose key starts with key_.
  Watch,  ///< Wait until an object has a version other than expectedVersion_.
  VmList, ///< Read the list of live and leaving VMs.
  End     ///< Number of operations.
};

/** One call to the platform. */
struct PlatformCall
{
  PlatformCallId id_; ///< Unique over the daemon's life.
  PlatformUser user_ = PlatformUser::Publish; ///< Who gets the reply.
  PlatformOp op_ = PlatformOp::Get;
  std::string key_;                   ///< "/"-separated key.
  std::string value_;                 ///< New value, at most one megabyte.
  std::uint64_t expectedVersion_ = 0; ///< See PlatformOp.
  Duration timeout_{}; ///< The host reports Unreachable after this; it lets a
                       ///< Watch wait for a little less.
};

/** Result of a platform call. */
enum class PlatformStatus : std::uint8_t
{
  Ok,          ///< Done.
  Conflict,    ///< The condition did not hold; nothing was written.
  NotFound,    ///< No such object.
  Unchanged,   ///< A watch ran out with nothing new.
  Throttled,   ///< Rate limit; nothing was done.
  Unreachable, ///< No reply: a write may have taken effect.
  End          ///< Number of states.
};

/** Stored object. */
struct PlatformObject
{
  std::string key_;
  std::uint64_t version_ = 0; ///< Rises with each write of the object.
  std::string value_;
};

/** State of a VM in the platform's list. */
struct VmRecord
{
  std::string name_;          ///< Name of the VM.
  std::string address_;       ///< Peer address "IP:port".
  std::string failureDomain_; ///< Where it runs.
  bool leaving_ = false;      ///< The platform is about to stop it.
  bool entry_ = true;         ///< Entry VM; false: VM of a backend server.
};

/** Reply to a platform call. */
struct PlatformReply
{
  PlatformCallId id_;
  PlatformUser user_ = PlatformUser::Publish;
  PlatformOp op_ = PlatformOp::Get;
  PlatformStatus status_ = PlatformStatus::Ok;
  std::string key_;                     ///< Key of the call.
  std::vector<PlatformObject> objects_; ///< Objects read or written.
  std::vector<VmRecord> vms_;           ///< VmList only.
};

} // namespace camphorfield
