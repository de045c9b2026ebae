// Encodes configuration objects in a canonical form: daemons compare digests of
// it, so equal objects must give equal bytes everywhere.
#include "object/object_json.h"
#include "table/object_table.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace camphorfield {

namespace json = boost::json;

namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;

/** Milliseconds; an integer if exact, so that documents look as written. */
json::value
EncodeMillis(Duration aTime)
{
  if (aTime.count() % kMicrosPerMilli == 0) {
    return aTime.count() / kMicrosPerMilli;
  }
  return static_cast<double>(aTime.count()) /
         static_cast<double>(kMicrosPerMilli);
}

void
EncodeFields(const IndexSpec& aIndex, json::object& aJson)
{
  json::array versions;
  for (const IndexVersionSpec& version : aIndex.versions_) {
    json::array shards;
    for (const ShardSpec& shard : version.shards_) {
      shards.push_back(
        { { "name", shard.name_ }, { "service", shard.service_ } });
    }
    json::object entry;
    entry["version"] = version.version_.value_;
    entry["shards"] = std::move(shards);
    versions.push_back(std::move(entry));
  }
  aJson["versions"] = std::move(versions);
}

void
EncodeFields(const ServiceSpec& aService, json::object& aJson)
{
  json::array servers;
  for (const ServerSpec& server : aService.servers_) {
    json::object entry;
    entry["name"] = server.name_;
    entry["address"] = server.address_;
    entry["failure_domain"] = server.failureDomain_;
    entry["slots"] = server.slots_;
    entry["connections"] = server.connections_;
    entry["draining"] = server.draining_;
    servers.push_back(std::move(entry));
  }
  aJson["servers"] = std::move(servers);
  aJson["connect_cost_ms"] = EncodeMillis(aService.connectCost_);
  aJson["reports_load"] = aService.reportsLoad_;
}

void
EncodeFields(const RouteSpec& aRoute, json::object& aJson)
{
  aJson["mode"] = kRouteModeNames[static_cast<std::size_t>(aRoute.mode_)];
  aJson["index"] = aRoute.index_;
  aJson["service"] = aRoute.service_;
  aJson["limits"] = aRoute.limits_;
  aJson["priority"] =
    kPriorityNames[static_cast<std::size_t>(aRoute.priority_)];
  aJson["deadline_ms"] = EncodeMillis(aRoute.deadline_);
  aJson["soft_answer_ms"] = EncodeMillis(aRoute.softAnswer_);
  aJson["min_coverage"] = aRoute.minCoverage_;
}

void
EncodeFields(const LimitsSpec& aLimits, json::object& aJson)
{
  aJson["hedge_budget"] = aLimits.hedgeBudget_;
  aJson["retry_budget"] = aLimits.retryBudget_;
  aJson["max_in_flight"] = aLimits.maxInFlight_;
  aJson["caller_share"] = aLimits.callerShare_;
}

void
EncodeFields(const FleetSpec& aFleet, json::object& aJson)
{
  aJson["max_daemons"] = aFleet.maxDaemons_;
  aJson["homes_per_server"] = aFleet.homesPerServer_;
}

/** Append the objects of one kind, one per line. */
template<typename Specs>
void
AppendObjects(const Specs& aSpecs, std::string& aText)
{
  for (const auto& [name, spec] : aSpecs) {
    aText += aText.size() > 1 ? ",\n" : "\n";
    aText += EncodeObject(spec);
  }
}

} // namespace

ObjectKey
KeyOf(const ConfigObject& aObject)
{
  const auto kind = static_cast<ObjectKind>(aObject.index());
  return { kind,
           std::visit([](const auto& aSpec) { return aSpec.name_; }, aObject) };
}

json::object
ObjectFields(const ConfigObject& aObject)
{
  const ObjectKey key = KeyOf(aObject);
  json::object fields;
  fields["kind"] = kObjectKindNames[static_cast<std::size_t>(key.kind_)];
  fields["name"] = key.name_;
  std::visit([&](const auto& aSpec) { EncodeFields(aSpec, fields); }, aObject);
  return fields;
}

std::string
EncodeObject(const ConfigObject& aObject)
{
  return json::serialize(ObjectFields(aObject));
}

std::string
EncodeConfigSet(const ConfigSet& aSet)
{
  std::string text = "[";
  AppendObjects(aSet.indexes_, text);
  AppendObjects(aSet.services_, text);
  AppendObjects(aSet.routes_, text);
  AppendObjects(aSet.limits_, text);
  AppendObjects(aSet.fleets_, text);
  return text + "\n]\n";
}

std::string
EncodeChange(const Change& aChange)
{
  json::array puts;
  for (const ConfigObject& object : aChange.puts_) {
    puts.push_back(ObjectFields(object));
  }
  json::array deletes;
  for (const ObjectKey& key : aChange.deletes_) {
    const char* kind = kObjectKindNames[static_cast<std::size_t>(key.kind_)];
    deletes.push_back({ { "kind", kind }, { "name", key.name_ } });
  }
  json::object document;
  document["put"] = std::move(puts);
  document["delete"] = std::move(deletes);
  document["based_on"] = aChange.basedOn_.value_;
  return json::serialize(document);
}

} // namespace camphorfield
