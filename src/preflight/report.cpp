// Prints findings and differences for people and for programs.
#include "preflight/report.h"

#include "preflight/config_check.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace camphorfield {

namespace json = boost::json;

namespace {

const char*
NameOf(Severity aSeverity)
{
  return kSeverityNames.at(static_cast<std::size_t>(aSeverity));
}

const char*
NameOf(ChangeKind aKind)
{
  return kChangeKindNames.at(static_cast<std::size_t>(aKind));
}

/** Appends ": detail", or nothing if there is none. */
void
AppendDetail(std::string& aText, const std::string& aDetail)
{
  if (!aDetail.empty()) {
    absl::StrAppend(&aText, ": ", aDetail);
  }
}

} // namespace

std::string
RenderText(const CheckReport& aReport)
{
  std::string text;
  for (const ConfigFinding& finding : aReport.findings_) {
    const ConfigFindingRow& row = GetConfigFindingRow(finding.code_);
    absl::StrAppend(&text,
                    NameOf(row.severity_),
                    " ",
                    row.number_,
                    " ",
                    finding.subject_.empty() ? "configuration"
                                             : finding.subject_);
    AppendDetail(text, finding.detail_);
    absl::StrAppend(&text, ". ", row.text_, "\n");
  }
  for (const ConfigDifference& difference : aReport.differences_) {
    absl::StrAppend(&text, NameOf(difference.kind_), " ", difference.subject_);
    AppendDetail(text, difference.detail_);
    text += "\n";
    if (!difference.twoSteps_.empty()) {
      absl::StrAppend(&text, "  in two steps: ", difference.twoSteps_, "\n");
    }
  }
  if (aReport.compared_ && aReport.differences_.empty()) {
    text += "no differences\n";
  }
  return text;
}

std::string
RenderJson(const CheckReport& aReport)
{
  json::array findings;
  for (const ConfigFinding& finding : aReport.findings_) {
    const ConfigFindingRow& row = GetConfigFindingRow(finding.code_);
    findings.push_back({ { "number", row.number_ },
                         { "name", row.name_ },
                         { "severity", NameOf(row.severity_) },
                         { "subject", finding.subject_ },
                         { "detail", finding.detail_ },
                         { "text", row.text_ } });
  }
  json::array differences;
  for (const ConfigDifference& difference : aReport.differences_) {
    differences.push_back({ { "change", NameOf(difference.kind_) },
                            { "subject", difference.subject_ },
                            { "detail", difference.detail_ },
                            { "two_steps", difference.twoSteps_ } });
  }
  json::object document{ { "version", aReport.version_ },
                         { "findings", std::move(findings) } };
  if (aReport.compared_) {
    document["differences"] = std::move(differences);
  }
  return json::serialize(document) + "\n";
}

} // namespace camphorfield
