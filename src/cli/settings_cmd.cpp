// Renders the settings page from the flag definitions, so that the page can't
// differ from them.
#include "cli/settings_cmd.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

namespace camphorfield {

namespace {

/** Escapes a text for a cell of a Markdown table. */
std::string
Cell(const std::string& aText)
{
  return absl::StrReplaceAll(aText, { { "|", "\\|" }, { "\n", " " } });
}

std::string
CodeCell(const std::string& aText)
{
  return aText.empty() ? "" : absl::StrCat("`", Cell(aText), "`");
}

} // namespace

std::string
RenderSettings(const CLI::App& aProgram)
{
  std::string page =
    "# Settings\n\nRendered by `camphorfield settings`; CI compares. A flag "
    "goes before its environment variable, this before the default.\n";
  for (const CLI::App* command :
       aProgram.get_subcommands([](const CLI::App*) { return true; })) {
    std::string rows;
    for (const CLI::Option* option : command->get_options()) {
      if (option->get_name() == "--help") {
        continue;
      }
      absl::StrAppend(&rows,
                      "| ",
                      CodeCell(option->get_name(false, true)),
                      " | ",
                      CodeCell(option->get_envname()),
                      " | ",
                      CodeCell(option->get_default_str()),
                      " | ",
                      Cell(option->get_description()),
                      option->get_required() ? " (required)" : "",
                      " |\n");
    }
    if (rows.empty()) {
      continue;
    }
    absl::StrAppend(&page,
                    "\n## ",
                    command->get_name(),
                    "\n",
                    command->get_description(),
                    ".\n\n| flag | environment | default | meaning |\n",
                    "| --- | --- | --- | --- |\n",
                    rows);
  }
  return page;
}

} // namespace camphorfield
