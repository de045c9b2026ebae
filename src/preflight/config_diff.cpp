// Compares a configuration with the one in force. Versions reach the daemons
// one after another within seconds, so a change whose halves must not overlap
// needs two versions.
#include "preflight/config_diff.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace camphorfield {

namespace {

std::string
Millis(Duration aTime)
{
  constexpr double kMicros = 1000.0;
  return absl::StrCat(static_cast<double>(aTime.count()) / kMicros, " ms");
}

std::string
TargetsOf(const GatewayRoute& aRoute)
{
  if (aRoute.IsQuery()) {
    return absl::StrCat(aRoute.shards_.size(), " shards");
  }
  return absl::StrJoin(
    aRoute.to_, ", ", [](std::string* aOut, const ServiceShare& aShare) {
      absl::StrAppend(aOut, aShare.service_, " x", aShare.weight_);
    });
}

std::set<std::string>
ServicesOf(const GatewayRoute& aRoute)
{
  std::set<std::string> names(aRoute.shards_.begin(), aRoute.shards_.end());
  for (const ServiceShare& share : aRoute.to_) {
    names.insert(share.service_);
  }
  return names;
}

/** Collects the changed fields of one entry. */
class FieldChanges
{
public:
  void Compare(const char* aName,
               const std::string& aOld,
               const std::string& aNew)
  {
    if (aOld != aNew) {
      changes_.push_back(absl::StrCat(aName, " ", aOld, " -> ", aNew));
    }
  }
  template<typename Number>
  void Compare(const char* aName, Number aOld, Number aNew)
  {
    Compare(aName, absl::StrCat(aOld), absl::StrCat(aNew));
  }
  void Add(std::string aText) { changes_.push_back(std::move(aText)); }
  bool IsEmpty() const { return changes_.empty(); }
  std::string Text() const { return absl::StrJoin(changes_, "; "); }

private:
  std::vector<std::string> changes_;
};

/** Entries of a list by their names. */
template<typename Entry>
std::map<std::string, const Entry*>
ByName(const std::vector<Entry>& aEntries)
{
  std::map<std::string, const Entry*> found;
  for (const Entry& entry : aEntries) {
    found.emplace(entry.name_, &entry);
  }
  return found;
}

/** Reports the added and removed entries, and compares the others. */
template<typename Map, typename Added, typename Removed, typename Both>
void
CompareEntries(const Map& aOld,
               const Map& aNew,
               const Added& aAdded,
               const Removed& aRemoved,
               const Both& aBoth)
{
  for (const auto& [name, entry] : aOld) {
    const auto found = aNew.find(name);
    if (found == aNew.end()) {
      aRemoved(*entry);
    } else {
      aBoth(*entry, *found->second);
    }
  }
  for (const auto& [name, entry] : aNew) {
    if (aOld.count(name) == 0) {
      aAdded(*entry);
    }
  }
}

using Differences = std::vector<ConfigDifference>;

std::string
PathOf(const GatewayRoute& aRoute)
{
  return aRoute.host_ + aRoute.prefix_;
}

void
CompareRoute(const GatewayRoute& aOld,
             const GatewayRoute& aNew,
             Differences& aOut)
{
  FieldChanges changes;
  changes.Compare("path", PathOf(aOld), PathOf(aNew));
  changes.Compare("targets", TargetsOf(aOld), TargetsOf(aNew));
  const std::set<std::string> before = ServicesOf(aOld);
  const std::set<std::string> after = ServicesOf(aNew);
  const auto added =
    std::count_if(after.begin(), after.end(), [&before](const auto& aName) {
      return before.count(aName) == 0;
    });
  if (before != after) {
    changes.Add(absl::StrCat(added, " services that it did not use"));
  }
  changes.Compare("time limit", Millis(aOld.timeout_), Millis(aNew.timeout_));
  changes.Compare(
    "objective", Millis(aOld.objective_), Millis(aNew.objective_));
  changes.Compare("priority", aOld.priority_, aNew.priority_);
  changes.Compare("attempts", aOld.maxAttempts_, aNew.maxAttempts_);
  changes.Compare("records", aOld.topRecords_, aNew.topRecords_);
  changes.Compare("least coverage", aOld.minCoverage_, aNew.minCoverage_);
  changes.Compare("repeatable",
                  aOld.kind_ == RequestKind::Idempotent ? "yes" : "no",
                  aNew.kind_ == RequestKind::Idempotent ? "yes" : "no");
  changes.Compare(
    "public", aOld.public_ ? "yes" : "no", aNew.public_ ? "yes" : "no");
  if (changes.IsEmpty()) {
    return;
  }
  ConfigDifference difference{
    ChangeKind::Changed, absl::StrCat("route ", aNew.name_), changes.Text(), ""
  };
  if (PathOf(aOld) != PathOf(aNew)) {
    difference.twoSteps_ = "callers of the old path get 404 at once: add the "
                           "new route first, remove the old one later";
  } else if (aOld.kind_ == RequestKind::NonIdempotent &&
             aNew.kind_ == RequestKind::Idempotent) {
    difference.twoSteps_ = "requests in flight may still run at most once: "
                           "add a route for the new kind first";
  }
  aOut.push_back(std::move(difference));
}

void
CompareRoutes(const GatewayConfig& aOld,
              const GatewayConfig& aNew,
              Differences& aOut)
{
  CompareEntries(
    ByName(aOld.routes_),
    ByName(aNew.routes_),
    [&aOut](const GatewayRoute& aRoute) {
      aOut.push_back({ ChangeKind::Added,
                       absl::StrCat("route ", aRoute.name_),
                       absl::StrCat(PathOf(aRoute), " to ", TargetsOf(aRoute)),
                       "" });
    },
    [&aOut](const GatewayRoute& aRoute) {
      aOut.push_back({ ChangeKind::Removed,
                       absl::StrCat("route ", aRoute.name_),
                       absl::StrCat("callers of ", PathOf(aRoute), " get 404"),
                       "" });
    },
    [&aOut](const GatewayRoute& aBefore, const GatewayRoute& aAfter) {
      CompareRoute(aBefore, aAfter, aOut);
    });
}

void
CompareServices(const GatewayConfig& aOld,
                const GatewayConfig& aNew,
                Differences& aOut)
{
  for (const auto& [name, service] : aOld.services_) {
    const std::string subject = absl::StrCat("service ", name);
    const auto found = aNew.services_.find(name);
    if (found == aNew.services_.end()) {
      aOut.push_back({ ChangeKind::Removed, subject, "", "" });
    } else if (found->second.maxConnections_ != service.maxConnections_) {
      aOut.push_back({ ChangeKind::Changed,
                       subject,
                       absl::StrCat("connections of a server ",
                                    service.maxConnections_,
                                    " -> ",
                                    found->second.maxConnections_),
                       "" });
    }
  }
  for (const auto& [name, service] : aNew.services_) {
    if (aOld.services_.count(name) == 0) {
      aOut.push_back(
        { ChangeKind::Added, absl::StrCat("service ", name), "", "" });
    }
  }
}

void
CompareOrganisation(const Organisation& aOld,
                    const Organisation& aNew,
                    Differences& aOut)
{
  const std::set<std::string> before(aOld.keys_.begin(), aOld.keys_.end());
  const std::set<std::string> after(aNew.keys_.begin(), aNew.keys_.end());
  const auto kept =
    std::count_if(before.begin(), before.end(), [&after](const auto& aKey) {
      return after.count(aKey) > 0;
    });
  const auto gone = static_cast<std::ptrdiff_t>(before.size()) - kept;
  const auto fresh = static_cast<std::ptrdiff_t>(after.size()) - kept;
  FieldChanges changes;
  if (gone > 0) {
    changes.Add(absl::StrCat(gone, " keys withdrawn: their callers get 401"));
  }
  if (fresh > 0) {
    changes.Add(absl::StrCat(fresh, " keys added"));
  }
  changes.Compare("rate", aOld.perSecond_, aNew.perSecond_);
  changes.Compare("burst", aOld.burst_, aNew.burst_);
  changes.Compare("priority",
                  aOld.priority_ ? absl::StrCat(*aOld.priority_) : "by route",
                  aNew.priority_ ? absl::StrCat(*aNew.priority_) : "by route");
  if (changes.IsEmpty()) {
    return;
  }
  ConfigDifference difference{ ChangeKind::Changed,
                               absl::StrCat("organisation ", aNew.name_),
                               changes.Text(),
                               "" };
  if (kept == 0 && gone > 0 && fresh > 0) {
    difference.twoSteps_ = "no key is valid before and after: add the new keys "
                           "first, withdraw the old ones when callers use them";
  }
  aOut.push_back(std::move(difference));
}

void
CompareOrganisations(const GatewayConfig& aOld,
                     const GatewayConfig& aNew,
                     Differences& aOut)
{
  if (aOld.organisations_.has_value() != aNew.organisations_.has_value()) {
    const bool begins = aNew.organisations_.has_value();
    aOut.push_back(
      { begins ? ChangeKind::Added : ChangeKind::Removed,
        "organisations",
        begins ? "requests without a valid key get 401, but on public routes"
               : "requests need no key any more",
        begins ? "callers must send keys before they are required: make all "
                 "routes public first"
               : "" });
  }
  static const std::vector<Organisation> kNone;
  const auto& before = aOld.organisations_ ? *aOld.organisations_ : kNone;
  const auto& after = aNew.organisations_ ? *aNew.organisations_ : kNone;
  CompareEntries(
    ByName(before),
    ByName(after),
    [&aOut](const Organisation& aOrganisation) {
      aOut.push_back({ ChangeKind::Added,
                       absl::StrCat("organisation ", aOrganisation.name_),
                       absl::StrCat(aOrganisation.keys_.size(), " keys"),
                       "" });
    },
    [&aOut](const Organisation& aOrganisation) {
      aOut.push_back({ ChangeKind::Removed,
                       absl::StrCat("organisation ", aOrganisation.name_),
                       "its callers get 401",
                       "" });
    },
    [&aOut](const Organisation& aBefore, const Organisation& aAfter) {
      CompareOrganisation(aBefore, aAfter, aOut);
    });
}

void
CompareLimits(const GatewayLimits& aOld,
              const GatewayLimits& aNew,
              Differences& aOut)
{
  FieldChanges changes;
  changes.Compare("header bytes", aOld.headerBytes_, aNew.headerBytes_);
  changes.Compare("body bytes", aOld.bodyBytes_, aNew.bodyBytes_);
  changes.Compare(
    "header timeout", Millis(aOld.headerTimeout_), Millis(aNew.headerTimeout_));
  changes.Compare(
    "idle timeout", Millis(aOld.idleTimeout_), Millis(aNew.idleTimeout_));
  if (!changes.IsEmpty()) {
    aOut.push_back({ ChangeKind::Changed, "limits", changes.Text(), "" });
  }
}

} // namespace

std::vector<ConfigDifference>
DiffGatewayConfigs(const GatewayConfig& aOld, const GatewayConfig& aNew)
{
  Differences differences;
  CompareRoutes(aOld, aNew, differences);
  CompareServices(aOld, aNew, differences);
  CompareOrganisations(aOld, aNew, differences);
  CompareLimits(aOld.limits_, aNew.limits_, differences);
  return differences;
}

} // namespace camphorfield
