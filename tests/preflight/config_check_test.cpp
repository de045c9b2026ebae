// Check of gateway configurations: each finding, and differences that need two
// versions.
#include "preflight/config_check.h"
#include "preflight/config_diff.h"
#include "preflight/report.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::milliseconds;

/** A configuration without findings. */
GatewayConfig
MakeConfig()
{
  GatewayConfig config;
  config.version_ = 7;
  GatewayRoute query;
  query.name_ = "query";
  query.host_ = "h.example";
  query.prefix_ = "/q/";
  query.timeout_ = milliseconds(800);
  query.objective_ = milliseconds(80);
  query.maxAttempts_ = 2;
  query.shards_ = { "s1", "s2" };
  query.topRecords_ = 5;
  query.minCoverage_ = 0.5;
  GatewayRoute plain;
  plain.name_ = "plain";
  plain.host_ = "h.example";
  plain.prefix_ = "/p/";
  plain.maxAttempts_ = 2;
  plain.to_ = { { "s3", 1.0 } };
  config.routes_ = { query, plain };
  for (const char* name : { "s1", "s2", "s3" }) {
    config.services_[name] = GatewayService{ name, 55 };
  }
  config.organisations_ = { { "a", { "key-a" }, std::nullopt, 10.0, 10.0 } };
  return config;
}

/** A change of the configuration and the finding that it must cause. */
struct FindingCase
{
  FindingCode code_;
  std::function<void(GatewayConfig&)> change_;
};

bool
Has(const std::vector<ConfigFinding>& aFindings, FindingCode aCode)
{
  return std::any_of(
    aFindings.begin(), aFindings.end(), [aCode](const ConfigFinding& aFinding) {
      return aFinding.code_ == aCode;
    });
}

} // namespace

TEST_GROUP(ConfigCheck){};

TEST(ConfigCheck, ASoundConfigurationHasNoFindings)
{
  LONGS_EQUAL(0, CheckGatewayConfig(MakeConfig(), {}).size());
}

// Each mistake must be found by itself; an unfound one shows only when callers
// are rejected.
TEST(ConfigCheck, EachMistakeIsFound)
{
  const std::vector<FindingCase> cases{
    { FindingCode::NoRoutes, [](auto& aConfig) { aConfig.routes_.clear(); } },
    { FindingCode::RouteWithoutTarget,
      [](auto& aConfig) { aConfig.routes_[1].to_.clear(); } },
    { FindingCode::PrefixNeverMatches,
      [](auto& aConfig) { aConfig.routes_[1].prefix_ = "/p"; } },
    { FindingCode::PrefixNeverMatches,
      [](auto& aConfig) { aConfig.routes_[1].prefix_ = "/p?a/"; } },
    { FindingCode::RouteShadowed,
      [](auto& aConfig) {
        aConfig.routes_[1].prefix_ = "/q/";
        aConfig.routes_[1].host_ = "H.example";
      } },
    { FindingCode::UnknownService,
      [](auto& aConfig) { aConfig.routes_[0].shards_[0] = "s9"; } },
    { FindingCode::UnusedService,
      [](auto& aConfig) {
        aConfig.services_["s4"] = { "s4", 55 };
      } },
    { FindingCode::RepeatedShard,
      [](auto& aConfig) { aConfig.routes_[0].shards_[0] = "s2"; } },
    { FindingCode::NoWeight,
      [](auto& aConfig) { aConfig.routes_[1].to_[0].weight_ = 0.0; } },
    { FindingCode::ShareWithoutWeight,
      [](auto& aConfig) {
        aConfig.routes_[1].to_.push_back({ "s2", 0.0 });
      } },
    { FindingCode::CoverageImpossible,
      [](auto& aConfig) { aConfig.routes_[0].minCoverage_ = 1.2; } },
    { FindingCode::NoRecords,
      [](auto& aConfig) { aConfig.routes_[0].topRecords_ = 0; } },
    { FindingCode::TimeoutBelowObjective,
      [](auto& aConfig) { aConfig.routes_[0].timeout_ = milliseconds(79); } },
    { FindingCode::NoAttempts,
      [](auto& aConfig) { aConfig.routes_[0].maxAttempts_ = 0; } },
    { FindingCode::AttemptsUnused,
      [](auto& aConfig) { aConfig.routes_[0].maxAttempts_ = 9; } },
    { FindingCode::NoConnections,
      [](auto& aConfig) { aConfig.services_["s1"].maxConnections_ = 0; } },
    { FindingCode::FewConnections,
      [](auto& aConfig) { aConfig.services_["s1"].maxConnections_ = 3; } },
    { FindingCode::KeyOfSeveral,
      [](auto& aConfig) {
        aConfig.organisations_->push_back({ "b", { "key-a" } });
      } },
    { FindingCode::KeyMissing,
      [](auto& aConfig) {
        aConfig.organisations_->push_back({ "b", {} });
      } },
    { FindingCode::PublicWithoutKeys,
      [](auto& aConfig) {
        aConfig.organisations_.reset();
        aConfig.routes_[0].public_ = true;
      } },
    { FindingCode::AllRoutesPublic,
      [](auto& aConfig) {
        aConfig.routes_[0].public_ = aConfig.routes_[1].public_ = true;
      } },
    { FindingCode::BurstTooSmall,
      [](auto& aConfig) { (*aConfig.organisations_)[0].burst_ = 0.5; } },
    { FindingCode::BurstAboveWindow,
      [](auto& aConfig) { (*aConfig.organisations_)[0].burst_ = 51.0; } },
    { FindingCode::CapWithoutRate,
      [](auto& aConfig) { (*aConfig.organisations_)[0].perSecond_ = 0.0; } },
    { FindingCode::LimitIsZero,
      [](auto& aConfig) { aConfig.limits_.bodyBytes_ = 0; } },
    { FindingCode::IdleBelowHeader,
      [](auto& aConfig) { aConfig.limits_.idleTimeout_ = milliseconds(9); } },
    { FindingCode::CapsAboveConnections,
      [](auto& aConfig) {
        aConfig.routes_.pop_back();
        aConfig.services_.erase("s3");
        (*aConfig.organisations_)[0].perSecond_ = 2000.0;
      } },
    { FindingCode::WarmupBelowLoad,
      [](auto& aConfig) { aConfig.services_["s2"].warmupPerSecond_ = 3.0; } },
  };
  for (const FindingCase& item : cases) {
    GatewayConfig config = MakeConfig();
    item.change_(config);
    const std::vector<ConfigFinding> findings = CheckGatewayConfig(config, {});
    const ConfigFindingRow& row = GetConfigFindingRow(item.code_);
    CHECK_TRUE_TEXT(row.code_ == item.code_, row.name_);
    CHECK_TRUE_TEXT(Has(findings, item.code_), row.name_);
    CHECK_TRUE_TEXT(HasErrors(findings) || row.severity_ == Severity::Warning,
                    row.name_);
    const CheckReport report{ 7, findings, false, {} };
    CHECK_TRUE_TEXT(RenderText(report).find("key-a") == std::string::npos,
                    row.name_);
    CHECK_TRUE_TEXT(RenderJson(report).find(row.name_) != std::string::npos,
                    row.name_);
  }
}

/** Rates next to what the servers carry. Three servers with 55 connections
 * carry 1897 queries a second of 80 ms, and 759 plain requests of 200 ms. */
struct CapacityCase
{
  const char* name_;
  std::function<void(GatewayConfig&, CheckContext&)> change_;
  bool capsAbove_;
  bool warmupBelow_;
};

// Rates that can't be served are found, and none that can: a warning on each
// configuration would not be read.
TEST(ConfigCheck, RatesAreComparedWithWhatServersCarry)
{
  const auto setRate = [](GatewayConfig& aConfig, double aPerSecond) {
    (*aConfig.organisations_)[0].perSecond_ = aPerSecond;
  };
  const std::vector<CapacityCase> cases{
    { "both routes carry the caps",
      [&](auto& aConfig, auto&) { setRate(aConfig, 2650.0); },
      false,
      false },
    { "above both routes",
      [&](auto& aConfig, auto&) { setRate(aConfig, 2660.0); },
      true,
      false },
    { "the sum of two organisations",
      [&](auto& aConfig, auto&) {
        setRate(aConfig, 1400.0);
        aConfig.organisations_->push_back(
          { "b", { "key-b" }, std::nullopt, 1400.0, 10.0 });
      },
      true,
      false },
    { "six servers of each service",
      [&](auto& aConfig, auto& aContext) {
        setRate(aConfig, 2660.0);
        aContext.serversPerService_ = 6;
      },
      false,
      false },
    { "two routes to the same service",
      [&](auto& aConfig, auto&) {
        setRate(aConfig, 2000.0);
        aConfig.routes_[1].to_[0].service_ = "s1";
      },
      true,
      false },
    { "a split over two services",
      [&](auto& aConfig, auto&) {
        setRate(aConfig, 3400.0);
        aConfig.services_["s4"] = { "s4", 55 };
        aConfig.routes_[1].to_.push_back({ "s4", 1.0 });
      },
      false,
      false },
    { "callers of a public route use no cap",
      [&](auto& aConfig, auto&) {
        setRate(aConfig, 2000.0);
        aConfig.routes_[1].public_ = true;
      },
      true,
      false },
    { "a route without an objective",
      [&](auto& aConfig, auto&) {
        setRate(aConfig, 9000.0);
        aConfig.routes_[1].objective_ = {};
      },
      false,
      false },
    { "no caps",
      [&](auto& aConfig, auto&) {
        setRate(aConfig, 0.0);
        aConfig.services_["s1"].warmupPerSecond_ = 1.0;
      },
      false,
      false },
    { "cold servers take the caps",
      [&](auto& aConfig, auto&) {
        setRate(aConfig, 60.0);
        aConfig.services_["s1"].warmupPerSecond_ = 20.0;
      },
      false,
      false },
    { "cold servers take less",
      [&](auto& aConfig, auto&) {
        setRate(aConfig, 61.0);
        aConfig.services_["s1"].warmupPerSecond_ = 20.0;
      },
      false,
      true },
    { "caps above what the route carries",
      [&](auto& aConfig, auto&) {
        setRate(aConfig, 2000.0);
        aConfig.services_["s3"].warmupPerSecond_ = 254.0;
      },
      false,
      false },
    { "a tenth of the route's requests",
      [&](auto& aConfig, auto&) {
        setRate(aConfig, 600.0);
        aConfig.services_["s4"] = { "s4", 55 };
        aConfig.routes_[1].to_ = { { "s3", 9.0 }, { "s4", 1.0 } };
        aConfig.services_["s4"].warmupPerSecond_ = 20.0;
      },
      false,
      false },
    { "only a public route uses the service",
      [&](auto& aConfig, auto&) {
        setRate(aConfig, 100.0);
        aConfig.routes_[1].public_ = true;
        aConfig.services_["s3"].warmupPerSecond_ = 1.0;
      },
      false,
      false },
  };
  for (const CapacityCase& item : cases) {
    GatewayConfig config = MakeConfig();
    config.routes_[1].objective_ = milliseconds(200);
    CheckContext context;
    item.change_(config, context);
    const auto findings = CheckGatewayConfig(config, context);
    CHECK_EQUAL_TEXT(item.capsAbove_,
                     Has(findings, FindingCode::CapsAboveConnections),
                     item.name_);
    CHECK_EQUAL_TEXT(item.warmupBelow_,
                     Has(findings, FindingCode::WarmupBelowLoad),
                     item.name_);
  }
}

/** A change, and whether it needs two versions. */
struct DifferenceCase
{
  const char* subject_;
  ChangeKind kind_;
  bool twoSteps_;
  std::function<void(GatewayConfig&)> change_;
};

// A difference that is missing, or that isn't said to need two versions, lets
// operators publish what callers are rejected for.
TEST(ConfigCheck, DifferencesAreListed)
{
  const std::vector<DifferenceCase> cases{
    { "route query",
      ChangeKind::Removed,
      false,
      [](auto& aConfig) { aConfig.routes_.erase(aConfig.routes_.begin()); } },
    { "route query",
      ChangeKind::Changed,
      true,
      [](auto& aConfig) { aConfig.routes_[0].prefix_ = "/z/"; } },
    { "route query",
      ChangeKind::Changed,
      false,
      [](auto& aConfig) { aConfig.routes_[0].shards_[0] = "s3"; } },
    { "route query",
      ChangeKind::Changed,
      false,
      [](auto& aConfig) { aConfig.routes_[0].timeout_ = milliseconds(900); } },
    { "service s4",
      ChangeKind::Added,
      false,
      [](auto& aConfig) {
        aConfig.services_["s4"] = { "s4", 9 };
      } },
    { "service s1",
      ChangeKind::Changed,
      false,
      [](auto& aConfig) { aConfig.services_["s1"].maxConnections_ = 9; } },
    { "organisation a",
      ChangeKind::Changed,
      true,
      [](auto& aConfig) { (*aConfig.organisations_)[0].keys_ = { "key-b" }; } },
    { "organisation a",
      ChangeKind::Changed,
      false,
      [](auto& aConfig) {
        (*aConfig.organisations_)[0].keys_.push_back("key-b");
      } },
    { "organisation a",
      ChangeKind::Changed,
      false,
      [](auto& aConfig) { (*aConfig.organisations_)[0].perSecond_ = 1.0; } },
    { "organisations",
      ChangeKind::Removed,
      false,
      [](auto& aConfig) { aConfig.organisations_.reset(); } },
    { "limits",
      ChangeKind::Changed,
      false,
      [](auto& aConfig) { aConfig.limits_.bodyBytes_ = 1; } },
  };
  const GatewayConfig old = MakeConfig();
  LONGS_EQUAL(0, DiffGatewayConfigs(old, MakeConfig()).size());
  for (const DifferenceCase& item : cases) {
    GatewayConfig config = MakeConfig();
    item.change_(config);
    const auto differences = DiffGatewayConfigs(old, config);
    const auto found = std::find_if(
      differences.begin(), differences.end(), [&item](const auto& aOne) {
        return aOne.subject_ == item.subject_;
      });
    CHECK_TRUE_TEXT(found != differences.end(), item.subject_);
    CHECK_TRUE_TEXT(found->kind_ == item.kind_, item.subject_);
    CHECK_TRUE_TEXT(found->twoSteps_.empty() != item.twoSteps_, item.subject_);
    const CheckReport report{ 8, {}, true, differences };
    CHECK_TRUE_TEXT(RenderText(report).find("key-") == std::string::npos,
                    item.subject_);
  }
}
