// Command line of the baseline tier.
#include "standin/json_func.h"
#include "standin/plain_base.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace camphorfield::standin;

int
main(int argc, char** argv)
{
  CLI::App app("Baseline tier for comparisons.");
  std::string path;
  app.add_option("config", path, "JSON file with the shards")->required();
  CLI11_PARSE(app, argc, argv);

  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  boost::json::object config;
  if (!ParseObject(text.str(), config)) {
    std::cerr << "cannot read a JSON object from " << path << "\n";
    return 1;
  }
  boost::asio::io_context context(1);
  PlainTier tier(context, config);
  std::cout << R"({"address":")" << tier.listener_->Address() << "\"}"
            << std::endl;
  context.run();
  return 0;
}
