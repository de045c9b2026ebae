/** Parts of the whole-set check. */
#pragma once

#include "object/fault_func.h"
#include "object/object_type.h"

#include <string>
#include <string_view>

namespace camphorfield {

constexpr Duration kMaxConnectCost = std::chrono::seconds(10);
constexpr Duration kMinDeadline = std::chrono::milliseconds(1);
constexpr Duration kMaxDeadline = std::chrono::minutes(10);
constexpr std::uint32_t kMaxSlots = 4096;
constexpr std::uint32_t kMaxConnections = 65535;
constexpr std::uint32_t kMaxInFlight = 1000000;
constexpr std::uint32_t kMaxDaemons = 10000;
constexpr std::size_t kMaxVersions = 64; ///< Versions of one index.

/** Where the faults of one object go. */
struct ObjectFaults
{
  ConfigFaults* faults_ = nullptr;
  std::string object_; ///< "kind/name".
};

/** Note a fault of an object. */
void
Report(const ObjectFaults& aFaults,
       ConfigFaultCode aCode,
       std::string_view aField,
       std::string_view aReason = "");

/** Path of an entry of a list, such as "servers[1].name". */
std::string
EntryPath(std::string_view aList, std::size_t aIndex, std::string_view aField);

/** Whether a service exists and has a server that is not draining. */
bool
IsServiceReachable(const ConfigSet& aSet, const std::string& aService);

/** Faults of the indexes. */
void
CheckIndexes(const ConfigSet& aSet, ConfigFaults& aFaults);

/** Faults of the services and their servers. */
void
CheckServices(const ConfigSet& aSet, ConfigFaults& aFaults);

/** Faults of the routes. */
void
CheckRoutes(const ConfigSet& aSet, ConfigFaults& aFaults);

/** Faults of limits and fleets. */
void
CheckLimits(const ConfigSet& aSet, ConfigFaults& aFaults);

/**
 * What is wrong with the address of a server.
 * @return End when nothing is.
 */
ConfigFaultCode
CheckAddress(const std::string& aAddress);

} // namespace camphorfield
