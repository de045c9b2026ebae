// A daemon must refuse bad settings at start and report every fault.
#include "cli/settings.h"

#include <CppUTest/TestHarness.h>
#include <functional>

using namespace camphorfield;

TEST_GROUP(Settings){};

namespace {

DaemonFlags
ValidFlags()
{
  DaemonFlags flags;
  flags.settings_.name_ = "d1";
  flags.settings_.failureDomain_ = "fd-a";
  flags.settings_.callerAddress_ = "127.0.0.1:1";
  flags.settings_.peerAddress_ = "127.0.0.1:2";
  flags.settings_.operatorAddress_ = "127.0.0.1:3";
  flags.settings_.platformAddress_ = "127.0.0.1:4";
  flags.seeds_ = "127.0.0.1:2,127.0.0.1:5";
  flags.logLevel_ = "info";
  flags.entriesKeepMillis_ = 5000;
  flags.stopLimitSeconds_ = 60;
  return flags;
}

struct FaultCase
{
  const char* number_;
  std::function<void(DaemonFlags&)> invalidate_;
};

} // namespace

TEST(Settings, ValidFlagsAreAccepted)
{
  DaemonFlags flags = ValidFlags();
  CHECK_TRUE(CheckDaemonFlags(flags).ok());
  LONGS_EQUAL(2, flags.settings_.seeds_.size());
}

TEST(Settings, EachFaultHasItsNumber)
{
  const FaultCase cases[] = {
    { "6000", [](DaemonFlags& aF) { aF.settings_.name_ = "a b"; } },
    { "6001", [](DaemonFlags& aF) { aF.settings_.failureDomain_ = ""; } },
    { "6002", [](DaemonFlags& aF) { aF.settings_.callerAddress_ = "x:1"; } },
    { "6003", [](DaemonFlags& aF) { aF.settings_.peerAddress_ = "1"; } },
    { "6004", [](DaemonFlags& aF) { aF.settings_.operatorAddress_ = ""; } },
    { "6005", [](DaemonFlags& aF) { aF.settings_.platformAddress_ = "::"; } },
    { "6006", [](DaemonFlags& aF) { aF.seeds_ = "127.0.0.1:2,,"; } },
    { "6007", [](DaemonFlags& aF) { aF.settings_.workers_ = 0; } },
    { "6007", [](DaemonFlags& aF) { aF.settings_.workers_ = 65; } },
    { "6008", [](DaemonFlags& aF) { aF.logLevel_ = "loud"; } },
    { "6009", [](DaemonFlags& aF) { aF.entriesKeepMillis_ = 99; } },
    { "6010", [](DaemonFlags& aF) { aF.stopLimitSeconds_ = 0; } },
    { "6011", [](DaemonFlags& aF) { aF.settings_.timelineEvents_ = 1; } },
    { "6012", [](DaemonFlags& aF) { aF.settings_.storePrefix_ = "a/b"; } },
    { "6013",
      [](DaemonFlags& aF) { aF.settings_.peerAddress_ = "127.0.0.1:1"; } },
  };
  for (const FaultCase& test : cases) {
    DaemonFlags flags = ValidFlags();
    test.invalidate_(flags);
    const absl::Status status = CheckDaemonFlags(flags);
    CHECK_FALSE(status.ok());
    STRCMP_CONTAINS(test.number_, std::string(status.message()).c_str());
  }
}

TEST(Settings, AllFaultsAreReportedTogether)
{
  DaemonFlags flags = ValidFlags();
  flags.settings_.name_ = "";
  flags.settings_.workers_ = 0;
  flags.logLevel_ = "";
  const std::string text(CheckDaemonFlags(flags).message());
  STRCMP_CONTAINS("6000", text.c_str());
  STRCMP_CONTAINS("6007", text.c_str());
  STRCMP_CONTAINS("6008", text.c_str());
}
