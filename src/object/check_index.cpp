// Checks indexes: their snapshot versions and shard maps. Guards against shards
// that no server can answer for.
#include "object/check_internal.h"
#include "object/object_check.h"

#include <algorithm>
#include <set>

namespace camphorfield {

namespace {

void
CheckShards(const ConfigSet& aSet,
            const IndexVersionSpec& aVersion,
            const std::string& aPath,
            const ObjectFaults& aFaults)
{
  if (aVersion.shards_.empty()) {
    Report(aFaults, ConfigFaultCode::ShardMapEmpty, aPath + ".shards");
  }
  std::set<std::string> names;
  for (std::size_t i = 0; i < aVersion.shards_.size(); i++) {
    const ShardSpec& shard = aVersion.shards_[i];
    const std::string path = aPath + "." + EntryPath("shards", i, "");
    if (!IsValidObjectName(shard.name_)) {
      Report(aFaults, ConfigFaultCode::BadName, path + ".name", shard.name_);
    }
    if (!names.insert(shard.name_).second) {
      Report(aFaults, ConfigFaultCode::ShardTwice, path + ".name", shard.name_);
    }
    const std::string field = path + ".service";
    if (aSet.services_.count(shard.service_) == 0) {
      Report(
        aFaults, ConfigFaultCode::ShardServiceUnknown, field, shard.service_);
    } else if (!IsServiceReachable(aSet, shard.service_)) {
      Report(aFaults, ConfigFaultCode::ShardUnreachable, field, shard.service_);
    }
  }
}

void
CheckVersionOrder(const IndexSpec& aIndex,
                  std::size_t aAt,
                  const ObjectFaults& aFaults)
{
  const std::vector<IndexVersionSpec>& versions = aIndex.versions_;
  const SnapshotVersion version = versions[aAt].version_;
  const std::string path = EntryPath("versions", aAt, "version");
  const std::string text = std::to_string(version.value_);
  if (!version.IsValid()) {
    Report(aFaults, ConfigFaultCode::VersionZero, path);
  }
  const auto end = versions.begin() + static_cast<std::ptrdiff_t>(aAt);
  const bool twice =
    std::any_of(versions.begin(), end, [&](const IndexVersionSpec& aOther) {
      return aOther.version_ == version;
    });
  if (twice) {
    Report(aFaults, ConfigFaultCode::VersionTwice, path, text);
  } else if (aAt > 0 && versions[aAt - 1].version_ > version) {
    Report(aFaults, ConfigFaultCode::VersionsNotRising, path, text);
  }
}

} // namespace

void
CheckIndexes(const ConfigSet& aSet, ConfigFaults& aFaults)
{
  for (const auto& [name, index] : aSet.indexes_) {
    const ObjectFaults faults{ &aFaults, KeyText({ ObjectKind::Index, name }) };
    if (!IsValidObjectName(name)) {
      Report(faults, ConfigFaultCode::BadName, "name", name);
    }
    if (index.versions_.empty()) {
      Report(faults, ConfigFaultCode::IndexEmpty, "versions");
    }
    if (index.versions_.size() > kMaxVersions) {
      const std::string reason = "at most " + std::to_string(kMaxVersions);
      Report(faults, ConfigFaultCode::TooManyEntries, "versions", reason);
      continue;
    }
    for (std::size_t i = 0; i < index.versions_.size(); i++) {
      CheckVersionOrder(index, i, faults);
      CheckShards(
        aSet, index.versions_[i], EntryPath("versions", i, ""), faults);
    }
  }
}

} // namespace camphorfield
