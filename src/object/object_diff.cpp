// Applies changes to sets and lists the differences between sets.
#include "object/object_diff.h"

#include "object/object_json.h"
#include "table/object_table.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace camphorfield {

namespace json = boost::json;

namespace {

void
PutSpec(ConfigSet& aSet, IndexSpec aSpec)
{
  aSet.indexes_[aSpec.name_] = std::move(aSpec);
}

void
PutSpec(ConfigSet& aSet, ServiceSpec aSpec)
{
  aSet.services_[aSpec.name_] = std::move(aSpec);
}

void
PutSpec(ConfigSet& aSet, RouteSpec aSpec)
{
  aSet.routes_[aSpec.name_] = std::move(aSpec);
}

void
PutSpec(ConfigSet& aSet, LimitsSpec aSpec)
{
  aSet.limits_[aSpec.name_] = std::move(aSpec);
}

void
PutSpec(ConfigSet& aSet, FleetSpec aSpec)
{
  aSet.fleets_[aSpec.name_] = std::move(aSpec);
}

template<typename Specs>
void
AppendSpecs(const Specs& aSpecs, std::vector<ConfigObject>& aObjects)
{
  for (const auto& [name, spec] : aSpecs) {
    aObjects.emplace_back(spec);
  }
}

std::vector<std::string>
ChangedFields(const ConfigObject& aBefore, const ConfigObject& aAfter)
{
  const json::object before = ObjectFields(aBefore);
  const json::object after = ObjectFields(aAfter);
  std::vector<std::string> fields;
  for (const auto& field : after) {
    const json::value* old = before.if_contains(field.key());
    if (old == nullptr || *old != field.value()) {
      fields.emplace_back(field.key().data(), field.key().size());
    }
  }
  return fields;
}

} // namespace

void
PutObject(ConfigSet& aSet, ConfigObject aObject)
{
  std::visit([&](auto& aSpec) { PutSpec(aSet, std::move(aSpec)); }, aObject);
}

bool
DeleteObject(ConfigSet& aSet, const ObjectKey& aKey)
{
  switch (aKey.kind_) {
    case ObjectKind::Index:
      return aSet.indexes_.erase(aKey.name_) != 0;
    case ObjectKind::Service:
      return aSet.services_.erase(aKey.name_) != 0;
    case ObjectKind::Route:
      return aSet.routes_.erase(aKey.name_) != 0;
    case ObjectKind::Limits:
      return aSet.limits_.erase(aKey.name_) != 0;
    default:
      return aSet.fleets_.erase(aKey.name_) != 0;
  }
}

std::vector<ConfigObject>
ListObjects(const ConfigSet& aSet)
{
  std::vector<ConfigObject> objects;
  AppendSpecs(aSet.indexes_, objects);
  AppendSpecs(aSet.services_, objects);
  AppendSpecs(aSet.routes_, objects);
  AppendSpecs(aSet.limits_, objects);
  AppendSpecs(aSet.fleets_, objects);
  return objects;
}

std::vector<ObjectKey>
ChangedObjectKeys(const Change& aChange)
{
  std::vector<ObjectKey> keys = aChange.deletes_;
  for (const ConfigObject& object : aChange.puts_) {
    keys.push_back(KeyOf(object));
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  return keys;
}

ConfigSet
MergeChange(const ConfigSet& aSet, const Change& aChange)
{
  ConfigSet merged = aSet;
  for (const ConfigObject& object : aChange.puts_) {
    PutObject(merged, object);
  }
  for (const ObjectKey& key : aChange.deletes_) {
    DeleteObject(merged, key);
  }
  return merged;
}

std::vector<ObjectDiff>
DiffSets(const ConfigSet& aBefore, const ConfigSet& aAfter)
{
  const std::vector<ConfigObject> before = ListObjects(aBefore);
  const std::vector<ConfigObject> after = ListObjects(aAfter);
  std::vector<ObjectDiff> diff;
  std::size_t b = 0;
  std::size_t a = 0;
  while (b < before.size() || a < after.size()) {
    const bool added = b == before.size() ||
                       (a < after.size() && KeyOf(after[a]) < KeyOf(before[b]));
    if (added) {
      diff.push_back({ KeyOf(after[a++]), DiffKind::Added, {} });
      continue;
    }
    if (a == after.size() || KeyOf(before[b]) < KeyOf(after[a])) {
      diff.push_back({ KeyOf(before[b++]), DiffKind::Deleted, {} });
      continue;
    }
    if (before[b] != after[a]) {
      diff.push_back({ KeyOf(after[a]),
                       DiffKind::Changed,
                       ChangedFields(before[b], after[a]) });
    }
    b++;
    a++;
  }
  return diff;
}

std::string
EncodeDiff(const std::vector<ObjectDiff>& aDiff)
{
  json::array list;
  for (const ObjectDiff& diff : aDiff) {
    json::object entry;
    entry["change"] = kDiffKindNames[static_cast<std::size_t>(diff.kind_)];
    entry["kind"] = kObjectKindNames[static_cast<std::size_t>(diff.key_.kind_)];
    entry["name"] = diff.key_.name_;
    json::array fields;
    for (const std::string& field : diff.fields_) {
      fields.push_back(json::string(field));
    }
    entry["fields"] = std::move(fields);
    list.push_back(std::move(entry));
  }
  return json::serialize(list);
}

} // namespace camphorfield
