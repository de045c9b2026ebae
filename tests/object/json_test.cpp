// JSON form of sets and changes: encoding must be stable, because daemons
// compare digests of it, and damaged documents must be refused.
#include "core/rng_type.h"
#include "object/fault_func.h"
#include "object/object_check.h"
#include "object/object_diff.h"
#include "object/object_json.h"

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

// Included last, because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace camphorfield;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 20240611;

ConfigSet
SampleSet()
{
  ConfigSet set;
  set.indexes_["tapes"] = IndexSpec{
    "tapes",
    { { SnapshotVersion{ 7 }, { { "s0", "desk" } } },
      { SnapshotVersion{ 8 }, { { "s0", "desk" }, { "s1", "desk" } } } }
  };
  set.services_["desk"] =
    ServiceSpec{ "desk",
                 { { "a", "10.0.0.1:80", "fd-1", 2, 25, false },
                   { "b", "[fd00::2]:80", "fd-2", 6, 100, true } },
                 1500us,
                 true };
  RouteSpec route;
  route.name_ = "search";
  route.index_ = "tapes";
  route.limits_ = "normal";
  route.priority_ = Priority::Interactive;
  route.deadline_ = 66667us;
  route.softAnswer_ = 50ms;
  route.minCoverage_ = 0.95;
  set.routes_["search"] = route;
  set.limits_["normal"] = LimitsSpec{ "normal", 0.02, 0.1, 1000, 0.333333 };
  set.fleets_["fleet"] = FleetSpec{ "fleet", 2400, 3 };
  return set;
}

std::string
ReadExample(const std::string& aName)
{
  // ctest runs this program in the top directory of the sources.
  std::ifstream file("examples/" + aName);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/** One random edit of a text. */
void
Mutate(std::string& aText, Rng& aRng)
{
  if (aText.empty()) {
    return;
  }
  const std::size_t at = aRng() % aText.size();
  const std::size_t length = 1 + aRng() % 8;
  switch (aRng() % 5) {
    case 0:
      aText[at] = static_cast<char>(aRng());
      return;
    case 1:
      aText.erase(at, length);
      return;
    case 2:
      aText.insert(at, aText.substr(aRng() % aText.size(), length));
      return;
    case 3:
      aText.insert(at, std::to_string(aRng()));
      return;
    default:
      aText.resize(at + 1);
      return;
  }
}

} // namespace

TEST_GROUP(Json){};

TEST(Json, SetsRoundTrip)
{
  const ConfigSet set = SampleSet();
  const std::string text = EncodeConfigSet(set);
  const absl::StatusOr<ConfigSet> back = DecodeConfigSet(text);
  CHECK_TRUE(back.ok());
  CHECK_TRUE(*back == set);
  STRCMP_EQUAL(text.c_str(), EncodeConfigSet(*back).c_str());
  CHECK_TRUE(DecodeConfigSet(EncodeConfigSet({}))->indexes_.empty());
}

TEST(Json, FractionsAreStableWhenEncodedAgain)
{
  for (int step = 0; step <= 1000; step++) {
    ConfigSet set;
    set.limits_["x"].name_ = "x";
    set.limits_["x"].callerShare_ = step / 1000.0;
    const std::string text = EncodeConfigSet(set);
    const std::string again = EncodeConfigSet(*DecodeConfigSet(text));
    STRCMP_EQUAL(text.c_str(), again.c_str());
  }
}

TEST(Json, ChangesRoundTrip)
{
  Change change;
  change.puts_ = ListObjects(SampleSet());
  change.deletes_ = { { ObjectKind::Limits, "old" } };
  change.basedOn_ = Generation{ 41 };
  Change back;
  CHECK_TRUE(ParseChange(EncodeChange(change), back).empty());
  CHECK_TRUE(back.puts_ == change.puts_);
  CHECK_TRUE(back.deletes_ == change.deletes_);
  CHECK_TRUE(back.basedOn_ == change.basedOn_);
}

TEST(Json, InvalidSetsAreNotDecoded)
{
  for (const char* text : { "",
                            "{}",
                            "[1]",
                            R"([{"kind":"limits"}])",
                            R"([{"kind":"limits","name":"x","y":1}])" }) {
    CHECK_FALSE(DecodeConfigSet(text).ok());
  }
}

TEST(Json, DiffNamesTheChangedFields)
{
  const ConfigSet before = SampleSet();
  ConfigSet after = before;
  after.limits_["normal"].maxInFlight_ = 5;
  after.limits_["normal"].retryBudget_ = 0.2;
  after.limits_["extra"].name_ = "extra";
  after.fleets_.clear();
  const std::vector<ObjectDiff> diff = DiffSets(before, after);
  LONGS_EQUAL(3, diff.size());
  CHECK_TRUE(diff[0].kind_ == DiffKind::Added);
  STRCMP_EQUAL("limits/extra", KeyText(diff[0].key_).c_str());
  CHECK_TRUE(diff[1].kind_ == DiffKind::Changed);
  LONGS_EQUAL(2, diff[1].fields_.size());
  STRCMP_EQUAL("retry_budget", diff[1].fields_[0].c_str());
  STRCMP_EQUAL("max_in_flight", diff[1].fields_[1].c_str());
  CHECK_TRUE(diff[2].kind_ == DiffKind::Deleted);
  CHECK_TRUE(DiffSets(before, before).empty());
}

TEST(Json, ExamplesHaveNoFaults)
{
  for (const char* name : { "inganzo.json", "agendas.json" }) {
    Change change;
    const ConfigFaults faults = ParseChange(ReadExample(name), change);
    if (!faults.empty()) {
      FAIL(EncodeFaults(faults).c_str());
    }
    const ConfigFaults whole = CheckChange({}, {}, change);
    if (!whole.empty()) {
      FAIL(EncodeFaults(whole).c_str());
    }
    CHECK_TRUE(change.puts_.size() > 50);
  }
}

TEST(Json, MutatedDocumentsAreRefusedOrRoundTrip)
{
  Change change;
  change.puts_ = ListObjects(SampleSet());
  change.basedOn_ = Generation{ 3 };
  const std::string whole = EncodeChange(change);
  Rng rng{ kSeed };
  std::size_t refused = 0;
  std::size_t accepted = 0;
  for (int round = 0; round < 20000; round++) {
    std::string text = whole;
    const std::size_t edits = 1 + rng() % 4;
    for (std::size_t i = 0; i < edits; i++) {
      Mutate(text, rng);
    }
    Change decoded;
    const ConfigFaults faults = ParseChange(text, decoded);
    CHECK_TRUE(faults.size() <= kMaxFaults + 1);
    if (!faults.empty()) {
      refused++;
      // The faults must be encodable for the operator.
      CHECK_TRUE(EncodeFaults(faults).size() > 2);
      continue;
    }
    accepted++;
    Change again;
    CHECK_TRUE(ParseChange(EncodeChange(decoded), again).empty());
    STRCMP_EQUAL(EncodeChange(decoded).c_str(), EncodeChange(again).c_str());
  }
  CHECK_TRUE(refused > 10000);
  CHECK_TRUE(accepted > 100);
}
