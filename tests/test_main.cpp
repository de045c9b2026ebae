/** Entry point shared by all test programs. */
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int
main(int argc, char** argv)
{
  // The leak detector counts caches of the linked libraries as leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
