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
  const json::array* list = FindList(aReader, "shards", Need::Required);
  for (std::size_t i = 0; list != nullptr && i < list->size(); i++) {
    FieldReader entry;
    if (!EnterEntry(aReader, "shards", *list, i, entry)) {
      continue;
    }
    ShardSpec shard;
    ReadText(entry, "name", Need::Required, shard.name_);
    ReadText(entry, "service", Need::Required, shard.service_);
    FinishFields(entry);
    aShards.push_back(std::move(shard));
  }
}

void
DecodeIndex(FieldReader& aReader, IndexSpec& aIndex)
{
  const json::array* list = FindList(aReader, "versions", Need::Required);
  for (std::size_t i = 0; list != nullptr && i < list->size(); i++) {
    FieldReader entry;
    if (!EnterEntry(aReader, "versions", *list, i, entry)) {
      continue;
    }
    IndexVersionSpec version;
    ReadNumber(entry, "version", Need::Required, version.version_.value_);
    DecodeShards(entry, version.shards_);
    FinishFields(entry);
    aIndex.versions_.push_back(std::move(version));
  }
}

void
DecodeServer(FieldReader& aReader, ServerSpec& aServer)
{
  ReadText(aReader, "name", Need::Required, aServer.name_);
  ReadText(aReader, "address", Need::Required, aServer.address_);
  ReadText(aReader, "failure_domain", Need::Required, aServer.failureDomain_);
  ReadCount(aReader, "slots", Need::Optional, aServer.slots_);
  ReadCount(aReader, "connections", Need::Optional, aServer.connections_);
  ReadFlag(aReader, "draining", aServer.draining_);
  FinishFields(aReader);
}

void
DecodeService(FieldReader& aReader, ServiceSpec& aService)
{
  const json::array* list = FindList(aReader, "servers", Need::Required);
  for (std::size_t i = 0; list != nullptr && i < list->size(); i++) {
    FieldReader entry;
    if (EnterEntry(aReader, "servers", *list, i, entry)) {
      DecodeServer(entry, aService.servers_.emplace_back());
    }
  }
  ReadMillis(aReader, "connect_cost_ms", Need::Optional, aService.connectCost_);
  ReadFlag(aReader, "reports_load", aService.reportsLoad_);
}

void
DecodeRoute(FieldReader& aReader, RouteSpec& aRoute)
{
  std::size_t mode = 0;
  ReadName(aReader, "mode", Need::Required, ViewNames(kRouteModeNames), mode);
  aRoute.mode_ = static_cast<RouteMode>(mode);
  ReadText(aReader, "index", Need::Optional, aRoute.index_);
  ReadText(aReader, "service", Need::Optional, aRoute.service_);
  ReadText(aReader, "limits", Need::Optional, aRoute.limits_);
  auto priority = static_cast<std::size_t>(aRoute.priority_);
  ReadName(
    aReader, "priority", Need::Optional, ViewNames(kPriorityNames), priority);
  aRoute.priority_ = static_cast<Priority>(priority);
  ReadMillis(aReader, "deadline_ms", Need::Required, aRoute.deadline_);
  ReadMillis(aReader, "soft_answer_ms", Need::Optional, aRoute.softAnswer_);
  ReadShare(aReader, "min_coverage", aRoute.minCoverage_);
}

void
DecodeLimits(FieldReader& aReader, LimitsSpec& aLimits)
{
  ReadShare(aReader, "hedge_budget", aLimits.hedgeBudget_);
  ReadShare(aReader, "retry_budget", aLimits.retryBudget_);
  ReadCount(aReader, "max_in_flight", Need::Optional, aLimits.maxInFlight_);
  ReadShare(aReader, "caller_share", aLimits.callerShare_);
}

void
DecodeFleet(FieldReader& aReader, FleetSpec& aFleet)
{
  ReadCount(aReader, "max_daemons", Need::Optional, aFleet.maxDaemons_);
  ReadCount(
    aReader, "homes_per_server", Need::Optional, aFleet.homesPerServer_);
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
  ReadText(reader, "name", Need::Required, key.name_);
  ReadName(reader, "kind", Need::Required, ViewNames(kObjectKindNames), kind);
  // Without its kind nothing can be said of its other fields.
  if (kind == static_cast<std::size_t>(ObjectKind::End)) {
    return {};
  }
  key.kind_ = static_cast<ObjectKind>(kind);
  reader.object_ = KeyText(key);
  const std::size_t before = aFaults.size();
  ConfigObject object = DecodeFields(key.kind_, key.name_, reader);
  FinishFields(reader);
  if (aFaults.size() == before &&
      EncodeObject(object).size() > kMaxObjectBytes) {
    ReportField(reader, ConfigFaultCode::ObjectTooLarge, "", "");
  }
  return object;
}

} // namespace camphorfield
