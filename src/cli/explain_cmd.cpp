// Explains a failed or late request from collected log files.
#include "cli/explain_cmd.h"

#include "ops/request_explanation.h"

#include <fstream>
#include <iostream>
#include <istream>

namespace camphorfield {

namespace {

constexpr int kExitUnknown = 1;
constexpr int kExitUnreadable = 2;

void
ReadLines(std::istream& aFrom, std::vector<std::string>& aLines)
{
  std::string line;
  while (std::getline(aFrom, line)) {
    aLines.push_back(line);
  }
}

} // namespace

void
AddExplainFlags(CLI::App& aApp, ExplainFlags& aFlags)
{
  aApp.add_option("request", aFlags.request_, "Id of the request")->required();
  aApp.add_option(
    "files", aFlags.files_, "Log files of gateways; none: standard input");
}

int
RunExplain(const ExplainFlags& aFlags)
{
  std::vector<std::string> lines;
  for (const std::string& name : aFlags.files_) {
    std::ifstream file(name);
    if (!file) {
      std::cerr << "can't read " << name << "\n";
      return kExitUnreadable;
    }
    ReadLines(file, lines);
  }
  if (aFlags.files_.empty()) {
    ReadLines(std::cin, lines);
  }
  const auto explanation = ExplainRequest(lines, aFlags.request_);
  if (!explanation.ok()) {
    std::cerr << explanation.status().message() << "\n";
    return kExitUnknown;
  }
  std::cout << *explanation;
  return 0;
}

} // namespace camphorfield
