/** Calls to the platform's object API and their replies. */
#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

#include <string>
#include <vector>

namespace camphorfield {

/** Package that makes a platform call and receives its reply. */
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
  Get,    ///< Read an object.
  Create, ///< Write an object that does not exist.
  Update, ///< Write an object whose version is expectedVersion_.
  Delete, ///< Remove an object whose version is expectedVersion_.
  List,   ///< Read all objects whose keys start with key_.
  Watch,  ///< Wait until an object has a version other than expectedVersion_.
  VmList, ///< Read the list of running and leaving VMs.
  End     ///< Number of operations.
};

/** One call to the platform. */
struct PlatformCall
{
  PlatformCallId id_; ///< Unique within a daemon's incarnation.
  PlatformUser user_ = PlatformUser::Publish; ///< Receiver of the reply.
  PlatformOp op_ = PlatformOp::Get;
  std::string key_;                   ///< "/"-separated key.
  std::string value_;                 ///< New value, at most one megabyte.
  std::uint64_t expectedVersion_ = 0; ///< See PlatformOp.
  Duration timeout_{}; ///< The host then reports Unreachable; it asks the
                       ///< platform to end a Watch a little earlier.
};

/** Result of a platform call. */
enum class PlatformStatus : std::uint8_t
{
  Ok,          ///< Done.
  Conflict,    ///< The condition did not hold; nothing was written.
  NotFound,    ///< No such object.
  Unchanged,   ///< A watch timed out without a change.
  Throttled,   ///< Rate limit; nothing was done.
  Unreachable, ///< No reply; a write may have been done.
  End          ///< Number of states.
};

/** Stored object. */
struct PlatformObject
{
  std::string key_;
  std::uint64_t version_ = 0; ///< Increases with each write.
  std::string value_;
};

/** Entry of the platform's VM list. */
struct VmRecord
{
  std::string name_;          ///< Name of the VM.
  std::string address_;       ///< Peer address "IP:port".
  std::string failureDomain_; ///< Where it runs.
  bool leaving_ = false;      ///< The platform will stop it soon.
  bool entry_ = true;         ///< Runs a daemon; false: runs a backend server.
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
