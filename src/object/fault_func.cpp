// Collects and encodes faults; bounded, because a document with many faults
// could otherwise use up the memory.
#include "object/fault_func.h"

#include "table/object_table.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace camphorfield {

namespace json = boost::json;

const ConfigFaultRow&
GetConfigFaultRow(ConfigFaultCode aCode)
{
  return kConfigFaultTable[static_cast<std::size_t>(aCode)];
}

void
AddFault(ConfigFaults& aFaults,
         ConfigFaultCode aCode,
         std::string_view aObject,
         std::string_view aField,
         std::string_view aReason)
{
  // Bounds the memory that a hostile document can use.
  if (aFaults.size() > kMaxFaults) {
    return;
  }
  if (aFaults.size() == kMaxFaults) {
    aFaults.push_back({ ConfigFaultCode::TooManyFaults, "change", "", "" });
    return;
  }
  aFaults.push_back(
    { aCode, std::string(aObject), std::string(aField), std::string(aReason) });
}

std::string
KeyText(const ObjectKey& aKey)
{
  const auto kind = static_cast<std::size_t>(aKey.kind_);
  return std::string(kObjectKindNames[kind]) + "/" + aKey.name_;
}

std::string
EncodeFaults(const ConfigFaults& aFaults)
{
  json::array list;
  for (const ConfigFault& fault : aFaults) {
    const ConfigFaultRow& row = GetConfigFaultRow(fault.code_);
    json::object entry;
    entry["number"] = row.number_;
    entry["fault"] = row.name_;
    entry["object"] = fault.object_;
    entry["field"] = fault.field_;
    entry["reason"] = fault.reason_;
    entry["text"] = row.text_;
    list.push_back(std::move(entry));
  }
  return json::serialize(list);
}

} // namespace camphorfield
