// Command line of the platform stand-in.
#include "standin/platform_base.h"

#include <CLI/CLI.hpp>
#include <iostream>

using namespace camphorfield::standin;

int
main(int argc, char** argv)
{
  CLI::App app("Stand-in for the platform's object API and VM list.");
  std::string address = "127.0.0.1:0";
  std::uint64_t seed = 1;
  double writesPerS = 0;
  double readsPerS = 0;
  app.add_option("--listen", address, "IP:port; port 0 selects a free port");
  app.add_option("--seed", seed, "Seed of random faults");
  app.add_option("--writes-per-s", writesPerS, "Limit of writes; 0 for none");
  app.add_option("--reads-per-s", readsPerS, "Limit of reads; 0 for none");
  CLI11_PARSE(app, argc, argv);

  boost::asio::io_context context(1);
  PlatformStandin platform(context, address, seed);
  platform.faults_.writesPerS_ = writesPerS;
  platform.faults_.readsPerS_ = readsPerS;
  std::cout << R"({"address":")" << platform.listener_.Address() << "\"}"
            << std::endl;
  context.run();
  return 0;
}
