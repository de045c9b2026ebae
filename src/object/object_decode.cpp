// Decodes configuration objects from JSON; collects all faults instead of
// stopping at the first one.
#include "object/json_internal.h"
#include "object/object_json.h"
#include "table/object_table.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

namespace camphorfield {

namespace json = boost::json;

namespace {

template<typename Names>
std::vector<std::string_view>
ViewNames(const Names& aNames)
{
  return { aNames.begin(), aNames.end() };
}

void
DecodeShards(FieldReader& aReader, std::vector<ShardSpec>& aShards)
{
  const json::array* list =
    FindList(aReader, "shards", FieldPresence::Required);
  for (std::size_t i = 0; list != nullptr && i < list->size(); i++) {
    FieldReader entry;
    if (!OpenListEntry(aReader, "shards", *list, i, entry)) {
      continue;
    }
    ShardSpec shard;
    ReadString(entry, "name", FieldPresence::Required, shard.name_);
    ReadString(entry, "service", FieldPresence::Required, shard.service_);
    ReportUnknownFields(entry);
    aShards.push_back(std::move(shard));
  }
}

void
DecodeIndex(FieldReader& aReader, IndexSpec& aIndex)
{
  const json::array* list =
    FindList(aReader, "versions", FieldPresence::Required);
  for (std::size_t i = 0; list != nullptr && i < list->size(); i++) {
    FieldReader entry;
    if (!OpenListEntry(aReader, "versions", *list, i, entry)) {
      continue;
    }
    IndexVersionSpec version;
    ReadUint64(
      entry, "version", FieldPresence::Required, version.version_.value_);
    DecodeShards(entry, version.shards_);
    ReportUnknownFields(entry);
    aIndex.versions_.push_back(std::move(version));
  }
}

void
DecodeServer(FieldReader& aReader, ServerSpec& aServer)
{
  ReadString(aReader, "name", FieldPresence::Required, aServer.name_);
  ReadString(aReader, "address", FieldPresence::Required, aServer.address_);
  ReadString(
    aReader, "failure_domain", FieldPresence::Required, aServer.failureDomain_);
  ReadUint32(aReader, "slots", FieldPresence::Optional, aServer.slots_);
  ReadUint32(
    aReader, "connections", FieldPresence::Optional, aServer.connections_);
  ReadBool(aReader, "draining", aServer.draining_);
  ReportUnknownFields(aReader);
}

void
DecodeService(FieldReader& aReader, ServiceSpec& aService)
{
  const json::array* list =
    FindList(aReader, "servers", FieldPresence::Required);
  for (std::size_t i = 0; list != nullptr && i < list->size(); i++) {
    FieldReader entry;
    if (OpenListEntry(aReader, "servers", *list, i, entry)) {
      DecodeServer(entry, aService.servers_.emplace_back());
    }
  }
  ReadDuration(
    aReader, "connect_cost_ms", FieldPresence::Optional, aService.connectCost_);
  ReadBool(aReader, "reports_load", aService.reportsLoad_);
}

void
DecodeRoute(FieldReader& aReader, RouteSpec& aRoute)
{
  std::size_t mode = 0;
  ReadEnum(
    aReader, "mode", FieldPresence::Required, ViewNames(kRouteModeNames), mode);
  aRoute.mode_ = static_cast<RouteMode>(mode);
  ReadString(aReader, "index", FieldPresence::Optional, aRoute.index_);
  ReadString(aReader, "service", FieldPresence::Optional, aRoute.service_);
  ReadString(aReader, "limits", FieldPresence::Optional, aRoute.limits_);
  auto priority = static_cast<std::size_t>(aRoute.priority_);
  ReadEnum(aReader,
           "priority",
           FieldPresence::Optional,
           ViewNames(kPriorityNames),
           priority);
  aRoute.priority_ = static_cast<Priority>(priority);
  ReadDuration(
    aReader, "deadline_ms", FieldPresence::Required, aRoute.deadline_);
  ReadDuration(
    aReader, "soft_answer_ms", FieldPresence::Optional, aRoute.softAnswer_);
  ReadFraction(aReader, "min_coverage", aRoute.minCoverage_);
}

void
DecodeLimits(FieldReader& aReader, LimitsSpec& aLimits)
{
  ReadFraction(aReader, "hedge_budget", aLimits.hedgeBudget_);
  ReadFraction(aReader, "retry_budget", aLimits.retryBudget_);
  ReadUint32(
    aReader, "max_in_flight", FieldPresence::Optional, aLimits.maxInFlight_);
  ReadFraction(aReader, "caller_share", aLimits.callerShare_);
}

void
DecodeFleet(FieldReader& aReader, FleetSpec& aFleet)
{
  ReadUint32(
    aReader, "max_daemons", FieldPresence::Optional, aFleet.maxDaemons_);
  ReadUint32(aReader,
             "homes_per_server",
             FieldPresence::Optional,
             aFleet.homesPerServer_);
}

ConfigObject
DecodeFields(ObjectKind aKind, const std::string& aName, FieldReader& aReader)
{
  switch (aKind) {
    case ObjectKind::Index: {
      IndexSpec index{ aName, {} };
      DecodeIndex(aReader, index);
      return index;
    }
    case ObjectKind::Service: {
      ServiceSpec service{ aName, {}, {}, false };
      DecodeService(aReader, service);
      return service;
    }
    case ObjectKind::Route: {
      RouteSpec route;
      route.name_ = aName;
      DecodeRoute(aReader, route);
      return route;
    }
    case ObjectKind::Limits: {
      LimitsSpec limits;
      limits.name_ = aName;
      DecodeLimits(aReader, limits);
      return limits;
    }
    default: {
      FleetSpec fleet;
      fleet.name_ = aName;
      DecodeFleet(aReader, fleet);
      return fleet;
    }
  }
}

} // namespace

ConfigObject
DecodeObject(const json::value& aJson, ConfigFaults& aFaults)
{
  FieldReader reader{ nullptr, "change", "", &aFaults, {} };
  if (!aJson.is_object()) {
    ReportField(reader, ConfigFaultCode::NotAnObject, "", "");
    return {};
  }
  reader.json_ = &aJson.get_object();
  ObjectKey key;
  std::size_t kind = static_cast<std::size_t>(ObjectKind::End);
  ReadString(reader, "name", FieldPresence::Required, key.name_);
  ReadEnum(
    reader, "kind", FieldPresence::Required, ViewNames(kObjectKindNames), kind);
  // The other fields depend on the kind.
  if (kind == static_cast<std::size_t>(ObjectKind::End)) {
    return {};
  }
  key.kind_ = static_cast<ObjectKind>(kind);
  reader.object_ = KeyText(key);
  const std::size_t before = aFaults.size();
  ConfigObject object = DecodeFields(key.kind_, key.name_, reader);
  ReportUnknownFields(reader);
  if (aFaults.size() == before &&
      EncodeObject(object).size() > kMaxObjectBytes) {
    ReportField(reader, ConfigFaultCode::ObjectTooLarge, "", "");
  }
  return object;
}

} // namespace camphorfield
