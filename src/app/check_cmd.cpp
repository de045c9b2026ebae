// Checks documents of both kinds by one command. A gateway's configuration is
// decoded as the gateway does it, and needs no daemon.
#include "app/check_cmd.h"

#include "cli/operator_cmd.h"
#include "config_codec.h"
#include "preflight/config_check.h"
#include "preflight/config_diff.h"
#include "preflight/report.h"

#include <absl/strings/str_cat.h>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace camphorfield {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitErrors = 1;
constexpr int kExitUnchecked = 2;
constexpr std::uint32_t kMaxServersPerService = 100000;

std::optional<std::string>
ReadText(const std::string& aPath)
{
  const std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    std::cerr << "can't read " << aPath << "\n";
    return std::nullopt;
  }
  return text.str();
}

CheckReport
CheckDecoding(const platform::ConfigDecoding& aDecoding,
              const CheckFlags& aFlags)
{
  CheckReport report;
  for (const std::string& fault : aDecoding.faults_) {
    report.findings_.push_back({ FindingCode::Unreadable, "", fault });
  }
  if (aDecoding.config_ == nullptr) {
    return report;
  }
  report.version_ = aDecoding.config_->version_;
  CheckContext context;
  constexpr double kMicros = 1e6;
  context.quotaWindow_ =
    Duration(static_cast<std::int64_t>(aFlags.quotaWindowSeconds_ * kMicros));
  context.serversPerService_ = aFlags.serversPerService_;
  for (ConfigFinding& finding :
       CheckGatewayConfig(*aDecoding.config_, context)) {
    report.findings_.push_back(std::move(finding));
  }
  return report;
}

/** Adds the differences to the configuration in force; false if that one can't
 * be read. */
bool
Compare(const SharedGatewayConfig& aAfter,
        const std::string& aAgainst,
        CheckReport& aReport)
{
  const auto old = ReadText(aAgainst);
  if (!old) {
    return false;
  }
  const auto before = platform::DecodeConfig(*old);
  if (!before.ok()) {
    std::cerr << aAgainst << ": " << before.status().message() << "\n";
    return false;
  }
  if (aAfter == nullptr) {
    return true;
  }
  if (aAfter->version_ <= (*before)->version_) {
    aReport.findings_.push_back(
      { FindingCode::VersionNotHigher,
        "",
        absl::StrCat(aAfter->version_, ", in force ", (*before)->version_) });
  }
  aReport.compared_ = true;
  aReport.differences_ = DiffGatewayConfigs(**before, *aAfter);
  return true;
}

} // namespace

void
AddCheckFlags(CLI::App& aApp, CheckFlags& aFlags)
{
  AddOperatorFlags(aApp, aFlags.operator_);
  aApp.get_option("--operator")->required(false);
  aApp
    .add_option("file",
                aFlags.operator_.file_,
                "Gateway configuration, or a change document")
    ->required();
  aApp.add_option("--against",
                  aFlags.against_,
                  "Gateway configuration in force, to compare with");
  aApp.add_option("--format", aFlags.format_, "Output format")
    ->check(CLI::IsMember({ "text", "json" }))
    ->capture_default_str();
  aApp
    .add_option("--quota-window-s",
                aFlags.quotaWindowSeconds_,
                "Window of the rate caps, seconds")
    ->capture_default_str();
  aApp
    .add_option("--servers-per-service",
                aFlags.serversPerService_,
                "Servers of each service, for what their connections carry")
    ->check(CLI::Range(1U, kMaxServersPerService))
    ->capture_default_str();
}

int
RunCheckCommand(const CheckFlags& aFlags)
{
  const auto text = ReadText(aFlags.operator_.file_);
  if (!text) {
    return kExitUnchecked;
  }
  if (!platform::IsConfig(*text)) {
    if (aFlags.operator_.address_.empty()) {
      std::cerr << aFlags.operator_.file_
                << " is no gateway configuration; a change document needs "
                   "--operator\n";
      return kExitUnchecked;
    }
    return RunCheck(aFlags.operator_);
  }
  const platform::ConfigDecoding decoding = platform::DecodeWhole(*text);
  CheckReport report = CheckDecoding(decoding, aFlags);
  if (!aFlags.against_.empty() &&
      !Compare(decoding.config_, aFlags.against_, report)) {
    return kExitUnchecked;
  }
  std::cout << (aFlags.format_ == "json" ? RenderJson(report)
                                         : RenderText(report));
  return HasErrors(report.findings_) ? kExitErrors : kExitOk;
}

} // namespace camphorfield
