// Renders the page of codes from the tables that the daemon uses, so that the
// page can't differ from them.
#include "cli/codes_cmd.h"

#include "table/config_finding_table.h"
#include "table/result_table.h"
#include "table/run_table.h"
#include "table/setting_table.h"

#include <sstream>

namespace camphorfield {

std::string
RenderCodes()
{
  std::ostringstream text;
  text << "# Result codes\n\n"
       << "Made by `camphorfield codes`. The last column says what a caller "
          "may conclude.\n\n"
       << "| number | name | HTTP | meaning | request |\n"
       << "| --- | --- | --- | --- | --- |\n";
  for (const ResultRow& row : kResultTable) {
    text << "| " << row.number_ << " | " << row.name_ << " | "
         << row.httpStatus_ << " | " << row.text_ << " | "
         << kRunStateNames[static_cast<std::size_t>(row.run_)] << " |\n";
  }
  text << "\n# Faults of settings\n\n"
       << "| number | flag | must be |\n"
       << "| --- | --- | --- |\n";
  for (const SettingFaultRow& row : kSettingFaultTable) {
    text << "| " << row.number_ << " | " << row.flag_ << " | " << row.text_
         << " |\n";
  }
  text << "\n# Findings of `camphorfield check`\n\n"
       << "| number | name | severity | meaning |\n"
       << "| --- | --- | --- | --- |\n";
  for (const ConfigFindingRow& row : kConfigFindingTable) {
    text << "| " << row.number_ << " | " << row.name_ << " | "
         << kSeverityNames.at(static_cast<std::size_t>(row.severity_)) << " | "
         << row.text_ << " |\n";
  }
  return text.str();
}

} // namespace camphorfield
