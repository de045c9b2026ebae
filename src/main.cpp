/** Entry point: defines the subcommands and runs one of them. */
#include "app/check_cmd.h"
#include "app/gateway_cmd.h"
#include "cli/codes_cmd.h"
#include "cli/daemon_cmd.h"
#include "cli/explain_cmd.h"
#include "cli/operator_cmd.h"
#include "cli/settings_cmd.h"
#include "settings_table.h"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace camphorfield;

namespace {

using OperatorCommand = int (*)(const OperatorFlags&);

/** One operator command. */
struct CommandRow
{
  const char* name_;
  const char* text_;
  OperatorCommand run_;
  bool takesFile_;
};

// clang-format off
constexpr CommandRow kCommands[] = {
  { "apply",    "Check and publish a change document",             RunApply,    true },
  { "get",      "Print the objects in force",                      RunGet,      false },
  { "history",  "Print the earlier generations",                   RunHistory,  false },
  { "rollback", "Publish an earlier generation as a new one",      RunRollback, false },
  { "status",   "Print members, generations and servers",          RunStatus,   false },
  { "drain",    "Begin a daemon's graceful shutdown",              RunDrain,    false },
  { "entries",  "Print the addresses given to callers",            RunEntries,  false },
  { "timeline", "Print the events of all daemons in causal order", RunTimeline, false },
};
// clang-format on

void
AddSpecialFlags(CLI::App& aApp, const CommandRow& aRow, OperatorFlags& aFlags)
{
  const std::string name = aRow.name_;
  if (aRow.takesFile_) {
    aApp.add_option("file", aFlags.file_, "Change document")->required();
  }
  if (name == "apply" || name == "rollback") {
    aApp.add_option("--change-id", aFlags.changeId_, "Id of the change");
  }
  if (name == "apply") {
    aApp.add_flag(
      "--wait", aFlags.wait_, "Wait until all live daemons have it");
  }
  if (name == "rollback") {
    aApp.add_option("generation", aFlags.generation_, "The earlier generation")
      ->required();
  }
  if (name == "timeline") {
    aFlags.format_ = "text";
    aApp.add_option(
      "--filter", aFlags.filter_, "Print only lines with this text");
    aApp.add_option("--format", aFlags.format_, "Output format")
      ->check(CLI::IsMember({ "text", "json", "trace" }));
  }
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("camphorfield: a query tier over many shards", "camphorfield");
  app.require_subcommand(1);
  int status = 0;

  DaemonFlags daemonFlags;
  CLI::App* daemon = app.add_subcommand("daemon", "Run a daemon");
  AddDaemonFlags(*daemon, daemonFlags);
  daemon->callback([&]() { status = RunDaemon(daemonFlags); });

  GatewayFlags gatewayFlags;
  CLI::App* gateway =
    app.add_subcommand("gateway", "Run a gateway on the users' platform");
  AddGatewayFlags(*gateway, gatewayFlags);
  gateway->callback([&]() { status = RunGateway(gatewayFlags); });

  app.add_subcommand("codes", "Print the numbered codes")->callback([]() {
    std::cout << RenderCodes();
  });

  app.add_subcommand("settings", "Print all settings as a page")
    ->callback([&app]() {
      std::cout << RenderSettings(app) << platform::RenderSettingsFile();
    });

  ExplainFlags explainFlags;
  CLI::App* explain =
    app.add_subcommand("explain", "Explain one request from log files");
  AddExplainFlags(*explain, explainFlags);
  explain->callback([&]() { status = RunExplain(explainFlags); });

  CheckFlags checkFlags;
  CLI::App* check = app.add_subcommand(
    "check", "Check a configuration or change document; publish nothing");
  AddCheckFlags(*check, checkFlags);
  check->callback([&]() { status = RunCheckCommand(checkFlags); });

  OperatorFlags flags;
  for (const CommandRow& row : kCommands) {
    CLI::App* command = app.add_subcommand(row.name_, row.text_);
    AddOperatorFlags(*command, flags);
    AddSpecialFlags(*command, row, flags);
    command->callback([&status, &flags, &row]() { status = row.run_(flags); });
  }
  CLI11_PARSE(app, argc, argv);
  return status;
}
