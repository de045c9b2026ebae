/** Documents of configuration changes, each with the fault that must be
 * reported for it. */
#pragma once

#include "object/fault_func.h"

#include <string>
#include <vector>

namespace camphorfield::test {

/** Change document with one put. */
std::string
Put(const std::string& aObject);

std::string
Service(const std::string& aFields, const std::string& aServers);

std::string
Server(const std::string& aName,
       const std::string& aAddress,
       const std::string& aFields = "");

std::string
Index(const std::string& aVersions);

std::string
Version(const std::string& aNumber, const std::string& aShards);

std::string
Route(const std::string& aFields);

std::string
Limits(const std::string& aFields);

inline const std::string kShard = R"({"name":"s0","service":"desk"})";
inline const std::string kQuery =
  R"(,"mode":"query","index":"tapes","limits":"normal")";
inline const std::string kOrder =
  R"(,"mode":"order","service":"board","limits":"normal")";

/** Document and a fault that must be reported for it. */
struct FaultCase
{
  ConfigFaultCode code_;
  std::string document_;
  std::string object_;
  std::string field_;
};

/** Faults of the document's form and of its fields. */
std::vector<FaultCase>
DocumentCases();

/** Faults of services and servers. */
std::vector<FaultCase>
ServerCases();

/** Faults of indexes, routes and limits, and references between objects. */
std::vector<FaultCase>
ReferenceCases();

/** Changes that the set in force does not allow. */
std::vector<FaultCase>
TransitionCases();

} // namespace camphorfield::test
