// Command line of the load tool.
#include "standin/load_type.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>

using namespace camphorfield::standin;

namespace {

/** Settings as the command line gives them. */
struct Arguments
{
  std::vector<std::string> queries_;
  std::vector<std::string> orders_;
  std::uint64_t durationMs_ = 5000;
  std::uint64_t timeoutMs_ = 1000;
  std::uint64_t slackMs_ = 50;
  std::uint64_t orderTotalMs_ = 10000;
  std::uint64_t windowMs_ = 500;
  std::string log_;
  bool fixed_ = false;
};

void
AddOptions(CLI::App& aApp, Arguments& aArguments, LoadOptions& aOptions)
{
  aApp
    .add_option("--daemons",
                aOptions.daemons_,
                "Addresses that serve the list of entries")
    ->required()
    ->delimiter(',');
  aApp.add_option(
    "--query", aArguments.queries_, "Rate of queries, ROUTE=PER_SECOND");
  aApp.add_option(
    "--order", aArguments.orders_, "Rate of orders, ROUTE=PER_SECOND");
  aApp.add_option(
    "--caller", aOptions.callerName_, "Prefix of the callers' names");
  aApp.add_option("--callers", aOptions.callers_, "Number of callers");
  aApp.add_option("--failure-domain",
                  aOptions.failureDomain_,
                  "Failure domain of the callers");
  aApp.add_option("--duration-ms",
                  aArguments.durationMs_,
                  "Time during which requests start");
  aApp.add_option(
    "--timeout-ms", aArguments.timeoutMs_, "Timeout of one attempt");
  aApp.add_option(
    "--slack-ms", aArguments.slackMs_, "Time allowed beyond a timeout");
  aApp.add_option("--order-total-ms",
                  aArguments.orderTotalMs_,
                  "Time during which an order is resent");
  aApp.add_option(
    "--window-ms", aArguments.windowMs_, "Interval of the figures over time");
  aApp.add_option("--seed", aOptions.seed_, "Seed of arrivals and keys");
  aApp.add_option("--body", aOptions.body_, "Body of queries");
  aApp.add_option(
    "--log", aArguments.log_, "File that gets one line per request");
  aApp.add_flag(
    "--tokens", aOptions.usesTokens_, "Use issued tokens as keys of orders");
  aApp.add_flag(
    "--fixed", aArguments.fixed_, "Use the --daemons addresses as the entries");
}

RouteLoad
ParseRoute(const std::string& aText, bool aIsOrder)
{
  const std::size_t equals = aText.find('=');
  if (equals == std::string::npos) {
    throw CLI::ValidationError("not ROUTE=PER_SECOND: " + aText);
  }
  return { aText.substr(0, equals),
           aIsOrder,
           std::stod(aText.substr(equals + 1)) };
}

void
ApplyArguments(const Arguments& aArguments, LoadOptions& aOptions)
{
  for (const std::string& text : aArguments.queries_) {
    aOptions.routes_.push_back(ParseRoute(text, false));
  }
  for (const std::string& text : aArguments.orders_) {
    aOptions.routes_.push_back(ParseRoute(text, true));
  }
  aOptions.duration_ = Millis(aArguments.durationMs_);
  aOptions.timeout_ = Millis(aArguments.timeoutMs_);
  aOptions.slack_ = Millis(aArguments.slackMs_);
  aOptions.orderTotal_ = Millis(aArguments.orderTotalMs_);
  aOptions.window_ = Millis(aArguments.windowMs_);
  aOptions.usesEntries_ = !aArguments.fixed_;
}

void
WriteLog(const LoadRun& aRun, const std::string& aPath)
{
  if (aPath.empty()) {
    return;
  }
  std::ofstream out(aPath);
  for (const LoadRequestPtr& request : aRun.done_) {
    out << RequestLine(aRun, *request) << "\n";
  }
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Open-loop load generator for the callers' interface.");
  Arguments arguments;
  LoadOptions options;
  AddOptions(app, arguments, options);
  CLI11_PARSE(app, argc, argv);
  try {
    ApplyArguments(arguments, options);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
  boost::asio::io_context context(1);
  LoadRun run(context, options);
  StartLoad(run);
  context.run();
  WriteLog(run, arguments.log_);
  std::cout << LoadSummary(run) << std::endl;
  return 0;
}
