// Command line of the server stand-in.
#include "standin/json_func.h"
#include "standin/server_base.h"

#include <CLI/CLI.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace camphorfield::standin;

int
main(int argc, char** argv)
{
  CLI::App app("Stand-ins for backend servers, many in one process.");
  std::string path;
  app.add_option("config", path, "JSON file with the servers")->required();
  CLI11_PARSE(app, argc, argv);

  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  boost::json::object config;
  if (!ParseObject(text.str(), config)) {
    std::cerr << "cannot read a JSON object from " << path << "\n";
    return 1;
  }
  boost::asio::io_context context(1);
  ServerFarm farm(context, config);
  std::cout << boost::json::serialize(FarmAddresses(farm)) << std::endl;
  context.run();
  return 0;
}
