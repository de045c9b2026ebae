// Checks the transition between two valid sets. Daemons adopt a generation at
// different times, so queries in flight on the former set must still succeed.
#include "object/change_type.h"
#include "object/check_internal.h"
#include "object/object_check.h"

#include <algorithm>
#include <map>

namespace camphorfield {

namespace {

constexpr std::size_t kMaxReasonBytes = 400; ///< Limit of a list of referrers.

const IndexVersionSpec*
FindVersion(const IndexSpec& aIndex, SnapshotVersion aVersion)
{
  for (const IndexVersionSpec& version : aIndex.versions_) {
    if (version.version_ == aVersion) {
      return &version;
    }
  }
  return nullptr;
}

/** Largest version of an index. */
SnapshotVersion
NewestVersion(const IndexSpec& aIndex)
{
  SnapshotVersion newest;
  for (const IndexVersionSpec& version : aIndex.versions_) {
    newest = std::max(newest, version.version_);
  }
  return newest;
}

void
CheckIndexTransition(const IndexSpec& aBefore,
                     const IndexSpec& aAfter,
                     const ObjectFaults& aFaults)
{
  std::size_t kept = 0;
  for (std::size_t i = 0; i < aAfter.versions_.size(); i++) {
    const IndexVersionSpec& version = aAfter.versions_[i];
    const IndexVersionSpec* old = FindVersion(aBefore, version.version_);
    const std::string text = std::to_string(version.version_.value_);
    if (old == nullptr) {
      if (version.version_ < NewestVersion(aBefore)) {
        Report(aFaults,
               ConfigFaultCode::VersionNotNew,
               EntryPath("versions", i, "version"),
               text);
      }
      continue;
    }
    kept++;
    // Otherwise daemons on successive generations would query different shards
    // for the same version.
    if (old->shards_ != version.shards_) {
      Report(aFaults,
             ConfigFaultCode::ShardMapChanged,
             EntryPath("versions", i, "shards"),
             text);
    }
  }
  if (kept == 0 && !aBefore.versions_.empty() && !aAfter.versions_.empty()) {
    Report(aFaults, ConfigFaultCode::VersionsAllDropped, "versions");
  }
}

void
CheckServiceTransition(const ServiceSpec& aBefore,
                       const ServiceSpec& aAfter,
                       const ObjectFaults& aFaults)
{
  const auto kept = [&](const ServerSpec& aServer) {
    return std::any_of(aBefore.servers_.begin(),
                       aBefore.servers_.end(),
                       [&](const ServerSpec& aOld) {
                         return aOld.name_ == aServer.name_ &&
                                aOld.address_ == aServer.address_;
                       });
  };
  const std::vector<ServerSpec>& servers = aAfter.servers_;
  if (!servers.empty() && !aBefore.servers_.empty() &&
      std::none_of(servers.begin(), servers.end(), kept)) {
    Report(aFaults, ConfigFaultCode::ServersAllReplaced, "servers");
  }
}

/**
 * Refuse to move a server between services: while daemons adopt the new set it
 * would be in both services and count twice.
 */
void
CheckServerMoves(const ConfigSet& aBefore,
                 const ConfigSet& aAfter,
                 ConfigFaults& aFaults)
{
  std::map<std::string, std::string> oldServices; // By server name.
  for (const auto& [name, service] : aBefore.services_) {
    for (const ServerSpec& server : service.servers_) {
      oldServices.emplace(server.name_, name);
    }
  }
  for (const auto& [name, service] : aAfter.services_) {
    const ObjectFaults faults{ &aFaults,
                               KeyText({ ObjectKind::Service, name }) };
    for (std::size_t i = 0; i < service.servers_.size(); i++) {
      const auto old = oldServices.find(service.servers_[i].name_);
      if (old != oldServices.end() && old->second != name) {
        Report(faults,
               ConfigFaultCode::ServerMoved,
               EntryPath("servers", i, "name"),
               old->first + " of service/" + old->second);
      }
    }
  }
}

/** For each object, its referrers as text for a fault's reason. */
using Referrers = std::map<ObjectKey, std::string>;

void
AddReferrer(Referrers& aReferrers,
            const ObjectKey& aTarget,
            const ObjectKey& aReferrer)
{
  std::string& text = aReferrers[aTarget];
  const std::string referrer = KeyText(aReferrer);
  // Each object's references are added in a row, so a duplicate can only be the
  // last entry.
  if (text.ends_with(referrer) || text.size() > kMaxReasonBytes) {
    return;
  }
  text += (text.empty() ? "" : ", ") + referrer;
}

/** All references in one pass, since a change may delete many objects. */
Referrers
FindReferrers(const ConfigSet& aSet)
{
  Referrers referrers;
  for (const auto& [name, index] : aSet.indexes_) {
    for (const IndexVersionSpec& version : index.versions_) {
      for (const ShardSpec& shard : version.shards_) {
        AddReferrer(referrers,
                    { ObjectKind::Service, shard.service_ },
                    { ObjectKind::Index, name });
      }
    }
  }
  for (const auto& [name, route] : aSet.routes_) {
    const ObjectKey self{ ObjectKind::Route, name };
    AddReferrer(referrers, { ObjectKind::Service, route.service_ }, self);
    AddReferrer(referrers, { ObjectKind::Index, route.index_ }, self);
    AddReferrer(referrers, { ObjectKind::Limits, route.limits_ }, self);
  }
  return referrers;
}

template<typename Specs>
void
CheckDeletes(const Specs& aBefore,
             const Specs& aAfter,
             ObjectKind aKind,
             const Referrers& aReferrers,
             ConfigFaults& aFaults)
{
  for (const auto& [name, spec] : aBefore) {
    if (aAfter.count(name) != 0) {
      continue;
    }
    const ObjectKey key{ aKind, name };
    const auto referrers = aReferrers.find(key);
    if (referrers != aReferrers.end()) {
      const ObjectFaults faults{ &aFaults, KeyText(key) };
      Report(faults, ConfigFaultCode::DeleteReferenced, "", referrers->second);
    }
  }
}

} // namespace

ConfigFaults
CheckTransition(const ConfigSet& aBefore, const ConfigSet& aAfter)
{
  ConfigFaults faults;
  for (const auto& [name, index] : aAfter.indexes_) {
    const auto old = aBefore.indexes_.find(name);
    if (old != aBefore.indexes_.end()) {
      CheckIndexTransition(
        old->second, index, { &faults, KeyText({ ObjectKind::Index, name }) });
    }
  }
  for (const auto& [name, service] : aAfter.services_) {
    const auto old = aBefore.services_.find(name);
    if (old != aBefore.services_.end()) {
      CheckServiceTransition(
        old->second,
        service,
        { &faults, KeyText({ ObjectKind::Service, name }) });
    }
  }
  for (const auto& [name, route] : aAfter.routes_) {
    const auto old = aBefore.routes_.find(name);
    if (old != aBefore.routes_.end() && old->second.mode_ != route.mode_) {
      Report({ &faults, KeyText({ ObjectKind::Route, name }) },
             ConfigFaultCode::RouteModeChanged,
             "mode");
    }
  }
  CheckServerMoves(aBefore, aAfter, faults);
  const Referrers referrers = FindReferrers(aAfter);
  CheckDeletes(
    aBefore.indexes_, aAfter.indexes_, ObjectKind::Index, referrers, faults);
  CheckDeletes(aBefore.services_,
               aAfter.services_,
               ObjectKind::Service,
               referrers,
               faults);
  CheckDeletes(
    aBefore.limits_, aAfter.limits_, ObjectKind::Limits, referrers, faults);
  return faults;
}

} // namespace camphorfield
