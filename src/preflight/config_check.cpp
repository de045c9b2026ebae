// Checks a configuration as a whole. The platform's store accepts what has the
// right form; what can never match or contradicts itself shows only once
// callers are rejected.
#include "preflight/config_check.h"

#include "gateway/fleet/directory.h"
#include "gateway/gateway_const.h"
#include "preflight/capacity_check.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace camphorfield {

namespace {

/** Entry daemons below which the loss of one cuts callers off. */
constexpr double kFewEntryDaemons = 2.0;

/** Collects findings on one configuration. */
struct Checker
{
  const GatewayConfig& config_;
  const CheckContext& context_;
  std::vector<ConfigFinding> findings_;

  void Add(FindingCode aCode, std::string aSubject, std::string aDetail = "")
  {
    findings_.push_back({ aCode, std::move(aSubject), std::move(aDetail) });
  }
};

std::string
SubjectOf(const GatewayRoute& aRoute)
{
  return absl::StrCat("route ", aRoute.name_);
}

double
Millis(Duration aTime)
{
  constexpr double kMicros = 1000.0;
  return static_cast<double>(aTime.count()) / kMicros;
}

bool
CanMatch(const std::string& aPrefix)
{
  return !aPrefix.empty() && aPrefix.front() == '/' && aPrefix.back() == '/' &&
         std::none_of(aPrefix.begin(), aPrefix.end(), [](char aChar) {
           return aChar == '?' || aChar == '#' ||
                  !absl::ascii_isgraph(static_cast<unsigned char>(aChar));
         });
}

void
CheckMatch(Checker& aChecker,
           const GatewayRoute& aRoute,
           std::map<std::pair<std::string, std::string>, std::string>& aSeen)
{
  if (!CanMatch(aRoute.prefix_)) {
    aChecker.Add(
      FindingCode::PrefixNeverMatches, SubjectOf(aRoute), aRoute.prefix_);
  }
  const auto [first, added] = aSeen.try_emplace(
    { absl::AsciiStrToLower(aRoute.host_), aRoute.prefix_ }, aRoute.name_);
  if (!added) {
    aChecker.Add(FindingCode::RouteShadowed,
                 SubjectOf(aRoute),
                 absl::StrCat("by route ", first->second));
  }
}

void
CheckServiceExists(Checker& aChecker,
                   const GatewayRoute& aRoute,
                   const std::string& aService)
{
  if (aChecker.config_.services_.count(aService) == 0) {
    aChecker.Add(FindingCode::UnknownService, SubjectOf(aRoute), aService);
  }
}

void
CheckShares(Checker& aChecker, const GatewayRoute& aRoute)
{
  double sum = 0.0;
  for (const ServiceShare& share : aRoute.to_) {
    CheckServiceExists(aChecker, aRoute, share.service_);
    sum += std::max(share.weight_, 0.0);
  }
  if (aRoute.to_.empty()) {
    aChecker.Add(FindingCode::RouteWithoutTarget, SubjectOf(aRoute));
  } else if (sum <= 0.0) {
    aChecker.Add(FindingCode::NoWeight, SubjectOf(aRoute));
    return;
  }
  for (const ServiceShare& share : aRoute.to_) {
    if (share.weight_ <= 0.0) {
      aChecker.Add(
        FindingCode::ShareWithoutWeight, SubjectOf(aRoute), share.service_);
    }
  }
}

void
CheckQuery(Checker& aChecker, const GatewayRoute& aRoute)
{
  std::set<std::string> seen;
  for (const std::string& shard : aRoute.shards_) {
    CheckServiceExists(aChecker, aRoute, shard);
    if (!seen.insert(shard).second) {
      aChecker.Add(FindingCode::RepeatedShard, SubjectOf(aRoute), shard);
    }
  }
  if (!(aRoute.minCoverage_ >= 0.0 && aRoute.minCoverage_ <= 1.0)) {
    aChecker.Add(FindingCode::CoverageImpossible,
                 SubjectOf(aRoute),
                 absl::StrCat(aRoute.minCoverage_));
  }
  if (aRoute.topRecords_ == 0) {
    aChecker.Add(FindingCode::NoRecords, SubjectOf(aRoute));
  }
}

void
CheckTimes(Checker& aChecker, const GatewayRoute& aRoute)
{
  if (aRoute.timeout_.count() > 0 && aRoute.timeout_ < aRoute.objective_) {
    aChecker.Add(FindingCode::TimeoutBelowObjective,
                 SubjectOf(aRoute),
                 absl::StrCat("time limit ",
                              Millis(aRoute.timeout_),
                              " ms, objective ",
                              Millis(aRoute.objective_),
                              " ms"));
  }
  if (aRoute.maxAttempts_ == 0) {
    aChecker.Add(FindingCode::NoAttempts, SubjectOf(aRoute));
  } else if (aRoute.maxAttempts_ > kMaxRuns) {
    aChecker.Add(
      FindingCode::AttemptsUnused,
      SubjectOf(aRoute),
      absl::StrCat(
        aRoute.maxAttempts_, " attempts, at most ", kMaxRuns, " run"));
  }
}

void
CheckRoutes(Checker& aChecker)
{
  if (aChecker.config_.routes_.empty()) {
    aChecker.Add(FindingCode::NoRoutes, "");
  }
  std::map<std::pair<std::string, std::string>, std::string> seen;
  for (const GatewayRoute& route : aChecker.config_.routes_) {
    CheckMatch(aChecker, route, seen);
    if (route.IsQuery()) {
      CheckQuery(aChecker, route);
    } else {
      CheckShares(aChecker, route);
    }
    CheckTimes(aChecker, route);
  }
}

void
CheckServices(Checker& aChecker)
{
  std::set<std::string> used;
  for (const GatewayRoute& route : aChecker.config_.routes_) {
    used.insert(route.shards_.begin(), route.shards_.end());
    for (const ServiceShare& share : route.to_) {
      used.insert(share.service_);
    }
  }
  for (const auto& [name, service] : aChecker.config_.services_) {
    const std::string subject = absl::StrCat("service ", name);
    if (used.count(name) == 0) {
      aChecker.Add(FindingCode::UnusedService, subject);
    }
    const double usable = service.maxConnections_ * kConnectionShare;
    if (service.maxConnections_ == 0) {
      aChecker.Add(FindingCode::NoConnections, subject);
    } else if (usable < kFewEntryDaemons * kConnectionsPerDaemon) {
      aChecker.Add(FindingCode::FewConnections,
                   subject,
                   absl::StrCat(service.maxConnections_, " connections"));
    }
  }
}

void
CheckRate(Checker& aChecker, const Organisation& aOrganisation)
{
  const std::string subject =
    absl::StrCat("organisation ", aOrganisation.name_);
  const std::string found = absl::StrCat(
    aOrganisation.perSecond_, " a second, burst ", aOrganisation.burst_);
  if (aOrganisation.perSecond_ <= 0.0) {
    if (aOrganisation.burst_ > 0.0) {
      aChecker.Add(FindingCode::CapWithoutRate, subject, found);
    }
    return;
  }
  const double window =
    std::chrono::duration<double>(aChecker.context_.quotaWindow_).count();
  if (aOrganisation.burst_ < 1.0) {
    aChecker.Add(FindingCode::BurstTooSmall, subject, found);
  } else if (aOrganisation.burst_ > aOrganisation.perSecond_ * window) {
    aChecker.Add(FindingCode::BurstAboveWindow, subject, found);
  }
}

void
CheckOrganisations(Checker& aChecker)
{
  const std::vector<GatewayRoute>& routes = aChecker.config_.routes_;
  const auto isPublic = [](const GatewayRoute& aRoute) {
    return aRoute.public_;
  };
  if (!aChecker.config_.organisations_) {
    if (std::any_of(routes.begin(), routes.end(), isPublic)) {
      aChecker.Add(FindingCode::PublicWithoutKeys, "");
    }
    return;
  }
  if (!routes.empty() && std::all_of(routes.begin(), routes.end(), isPublic)) {
    aChecker.Add(FindingCode::AllRoutesPublic, "");
  }
  std::map<std::string, std::string> holders;
  for (const Organisation& organisation : *aChecker.config_.organisations_) {
    const std::string subject =
      absl::StrCat("organisation ", organisation.name_);
    if (organisation.keys_.empty()) {
      aChecker.Add(FindingCode::KeyMissing, subject);
    }
    for (const std::string& key : organisation.keys_) {
      const auto [holder, added] = holders.try_emplace(key, organisation.name_);
      if (!added) {
        // The key itself must not reach a terminal or a log.
        aChecker.Add(FindingCode::KeyOfSeveral,
                     subject,
                     absl::StrCat("held by organisation ", holder->second));
      }
    }
    CheckRate(aChecker, organisation);
  }
}

void
CheckLimits(Checker& aChecker)
{
  const GatewayLimits& limits = aChecker.config_.limits_;
  const std::pair<const char*, bool> zeros[] = {
    { "header bytes", limits.headerBytes_ == 0 },
    { "body bytes", limits.bodyBytes_ == 0 },
    { "header timeout", limits.headerTimeout_.count() <= 0 },
    { "idle timeout", limits.idleTimeout_.count() <= 0 },
  };
  for (const auto& [name, isZero] : zeros) {
    if (isZero) {
      aChecker.Add(FindingCode::LimitIsZero, "limits", name);
    }
  }
  if (limits.idleTimeout_ < limits.headerTimeout_) {
    aChecker.Add(FindingCode::IdleBelowHeader,
                 "limits",
                 absl::StrCat("idle timeout ",
                              Millis(limits.idleTimeout_),
                              " ms, header timeout ",
                              Millis(limits.headerTimeout_),
                              " ms"));
  }
}

} // namespace

const ConfigFindingRow&
GetConfigFindingRow(FindingCode aCode)
{
  return kConfigFindingTable.at(static_cast<std::size_t>(aCode));
}

bool
HasErrors(const std::vector<ConfigFinding>& aFindings)
{
  return std::any_of(
    aFindings.begin(), aFindings.end(), [](const ConfigFinding& aFinding) {
      return GetConfigFindingRow(aFinding.code_).severity_ == Severity::Error;
    });
}

std::vector<ConfigFinding>
CheckGatewayConfig(const GatewayConfig& aConfig, const CheckContext& aContext)
{
  Checker checker{ aConfig, aContext, {} };
  CheckRoutes(checker);
  CheckServices(checker);
  CheckOrganisations(checker);
  CheckLimits(checker);
  for (ConfigFinding& finding : CheckCapacity(aConfig, aContext)) {
    checker.findings_.push_back(std::move(finding));
  }
  return std::move(checker.findings_);
}

} // namespace camphorfield
