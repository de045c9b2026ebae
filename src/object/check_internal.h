/** Parts of the configuration check: one function for each kind of object. */
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
constexpr std::size_t kMaxVersions = 64; ///< Snapshot versions of one index.

/** Fault list together with the object that the faults are reported for. */
struct ObjectFaults
{
  ConfigFaults* faults_ = nullptr;
  std::string object_; ///< "kind/name".
};

/** Report a fault of an object. */
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

/** Check all indexes. */
void
CheckIndexes(const ConfigSet& aSet, ConfigFaults& aFaults);

/** Check all services and their servers. */
void
CheckServices(const ConfigSet& aSet, ConfigFaults& aFaults);

/** Check all routes. */
void
CheckRoutes(const ConfigSet& aSet, ConfigFaults& aFaults);

/** Check all limits and fleets. */
void
CheckLimits(const ConfigSet& aSet, ConfigFaults& aFaults);

/**
 * Check the address of a server.
 * @return The fault, or End when the address is usable.
 */
ConfigFaultCode
CheckAddress(const std::string& aAddress);

} // namespace camphorfield
