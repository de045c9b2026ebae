// The settings file: keys, defaults and faults, and the page of its keys.
#include "adapter.h"
#include "adapter/codec_fixture.h"
#include "settings_file.h"
#include "settings_table.h"

#include <CppUTest/TestHarness.h>
#include <set>
#include <string>
#include <vector>

using namespace camphorfield;
using namespace camphorfield::platform;
using namespace camphorfield::test;

namespace {

using std::chrono::seconds;

struct SettingCase
{
  const char* name_;
  const char* from_;
  const char* to_;
  const char* fault_; ///< Part of the message.
};

constexpr const char* kSettingsText = "node-name=edge-1\n"
                                      "ip=10.1.0.9\n"
                                      "zone=z1\n"
                                      "bind-addrs.front=10.1.0.9:8104\n"
                                      "bind-addrs.ready=10.1.0.9:8108\n"
                                      "bind-addrs.control=10.1.0.9:8106\n"
                                      "bind-addrs.directory=10.1.0.9:8100\n"
                                      "port-range=7380,7395\n"
                                      "seeds=10.1.0.9:8106,10.2.0.2:8106\n"
                                      "bounds.grace-s=6\n"
                                      "heartbeat-ms=1200\n"
                                      "bounds.retry-budget-ratio=0.2\n"
                                      "bounds.budget-slack=52\n"
                                      "platform.address=10.200.1.7:8102\n"
                                      "some.new-field=1\n";

} // namespace

TEST_GROUP(SettingsFile){};

TEST(SettingsFile, DecodesUsedKeys)
{
  const auto settings = DecodeSettings(kSettingsText);
  CHECK_TRUE(settings.ok());
  STRCMP_EQUAL("edge-1", settings->name_.c_str());
  STRCMP_EQUAL("10.1.0.9:7380", settings->metricsAddress_.c_str());
  // The daemon's own address is removed from the seeds.
  LONGS_EQUAL(1, settings->seeds_.size());
  DOUBLES_EQUAL(52.0, settings->budget_.slack_, 1e-9);
  CHECK_TRUE(settings->stopGrace_ == seconds(6));
  CHECK_TRUE(settings->heartbeat_ == std::chrono::milliseconds(1200));
  CHECK_TRUE(MakeHostSettings(*settings).gateway_.entryLapse_ >
             3 * settings->heartbeat_);
}

// Each further table that is read costs calls of the store.
TEST(SettingsFile, EvacuationsAreFollowedWithoutTheirBound)
{
  const auto without = DecodeSettings(kSettingsText);
  CHECK_TRUE(without.ok());
  CHECK_TRUE(MakeHostSettings(*without).evacuationsKind_.empty());
  DOUBLES_EQUAL(0.0, without->warmupOverage_ + without->warmupSlack_, 1e-9);
  const auto with =
    DecodeSettings(std::string(kSettingsText) + "bounds.evacuate-ms=5000\n"
                                                "bounds.warmup-overage=1.5\n"
                                                "bounds.warmup-slack=5\n"
                                                "zones.z1=north\n");
  CHECK_TRUE(with.ok());
  const GatewayHostSettings host = MakeHostSettings(*with);
  STRCMP_EQUAL("evacuations", host.evacuationsKind_.c_str());
  CHECK_TRUE(host.evacuateWithin_ == seconds(5));
  STRCMP_EQUAL("north", host.gateway_.regionOf_.at("z1").c_str());
  DOUBLES_EQUAL(1.5, host.gateway_.warmupOverage_, 1e-9);
  DOUBLES_EQUAL(5.0, host.gateway_.warmupSlack_, 1e-9);
}

TEST(SettingsFile, ErrorsNameKeyAndValue)
{
  const std::vector<SettingCase> cases{
    { "no name", "node-name=edge-1\n", "", "6100: node-name=" },
    { "no store",
      "platform.address=10.200.1.7:8102",
      "",
      "6100: platform.address=" },
    { "address", "10.1.0.9:8104", "front", "6101: bind-addrs.front=front" },
    { "seed", "10.2.0.2:8106", "seed", "6101: seeds=seed" },
    { "number", "slack=52", "slack=many", "6102: bounds.budget-slack=many" },
    { "negative", "slack=52", "slack=-1", "6102: bounds.budget-slack=-1" },
  };
  for (const SettingCase& item : cases) {
    const auto settings =
      DecodeSettings(Replace(kSettingsText, item.from_, item.to_));
    CHECK_FALSE_TEXT(settings.ok(), item.name_);
    const std::string message(settings.status().message());
    CHECK_TEXT(message.find(item.fault_) != std::string::npos, message.c_str());
  }
}

// A row of the page whose key is not read, or a misspelt one, misleads
// operators.
TEST(SettingsFile, PageNamesKeysThatAreNotRead)
{
  const std::string page = RenderSettingsFile();
  std::set<std::string> keys;
  for (std::size_t at = page.find("\n| `"); at != std::string::npos;
       at = page.find("\n| `", at + 1)) {
    const std::size_t begin = at + 4;
    keys.insert(page.substr(begin, page.find('`', begin) - begin));
  }
  CHECK_TRUE(keys.erase("zones.NAME") == 1);
  CHECK_TRUE(keys.count("bounds.evacuate-ms") == 1);
  for (const std::string& key : keys) {
    const auto settings =
      DecodeSettings(std::string(kSettingsText) + key + "=many\n");
    CHECK_FALSE_TEXT(settings.ok(), key.c_str());
    const std::string message(settings.status().message());
    CHECK_TEXT(message.find("6102: " + key + "=many") != std::string::npos,
               message.c_str());
  }
}
