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
