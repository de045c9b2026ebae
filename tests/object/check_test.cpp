// Checks of configuration changes: each fault code has a document that must be
// reported with its object and field, so that an operator finds the mistake.
#include "object/check_fixture.h"
#include "object/fault_func.h"
#include "object/object_check.h"
#include "object/object_diff.h"
#include "object/object_json.h"

#include <set>
#include <string>
#include <vector>

// Included last, because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace camphorfield;
using namespace camphorfield::test;

namespace {

/** Change that makes the set in force before each case. */
constexpr const char* kBase = R"({"based_on":0,"put":[
{"kind":"index","name":"tapes","versions":[
 {"version":7,"shards":[{"name":"s0","service":"desk"}]},
 {"version":8,"shards":[{"name":"s0","service":"desk"}]}]},
{"kind":"service","name":"desk","connect_cost_ms":6,"servers":[
 {"name":"a","address":"10.0.0.1:80","failure_domain":"fd-1"},
 {"name":"b","address":"10.0.0.2:80","failure_domain":"fd-2"}]},
{"kind":"service","name":"board","servers":[
 {"name":"c","address":"10.0.0.3:80","failure_domain":"fd-1"}]},
{"kind":"limits","name":"normal"},
{"kind":"fleet","name":"fleet","max_daemons":12},
{"kind":"route","name":"search","mode":"query","index":"tapes",
 "limits":"normal","deadline_ms":500},
{"kind":"route","name":"reorder","mode":"order","service":"board",
 "limits":"normal","deadline_ms":2000}]})";

using C = ConfigFaultCode;

std::vector<FaultCase>
AllCases()
{
  std::vector<FaultCase> all;
  for (const auto& part : { DocumentCases(),
                            ServerCases(),
                            ReferenceCases(),
                            TransitionCases() }) {
    all.insert(all.end(), part.begin(), part.end());
  }
  return all;
}

ConfigSet
BaseSet()
{
  Change change;
  CHECK_TRUE(ParseChange(kBase, change).empty());
  return MergeChange({}, change);
}

/** All faults that an operator would see for a document. */
ConfigFaults
FaultsOf(const std::string& aDocument)
{
  Change change;
  ConfigFaults faults = ParseChange(aDocument, change);
  return faults.empty() ? CheckChange(BaseSet(), Generation{ 1 }, change)
                        : faults;
}

bool
Reports(const ConfigFaults& aFaults, const FaultCase& aCase)
{
  for (const ConfigFault& fault : aFaults) {
    if (fault.code_ == aCase.code_ && fault.object_ == aCase.object_ &&
        fault.field_ == aCase.field_) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_GROUP(Check){};

TEST(Check, BaseSetHasNoFaults)
{
  Change change;
  CHECK_TRUE(ParseChange(kBase, change).empty());
  LONGS_EQUAL(0, CheckChange({}, {}, change).size());
  LONGS_EQUAL(0, CheckSet(BaseSet()).size());
}

TEST(Check, EachFaultIsReportedWithObjectAndField)
{
  for (const FaultCase& test : AllCases()) {
    const ConfigFaults faults = FaultsOf(test.document_);
    if (!Reports(faults, test)) {
      const std::string head = test.document_.substr(0, 200);
      const std::string text =
        std::string("no fault ") + GetConfigFaultRow(test.code_).name_ +
        " at " + test.object_ + " " + test.field_ + " for " + head +
        "; found " + EncodeFaults(faults).substr(0, 600);
      FAIL(text.c_str());
    }
  }
}

TEST(Check, EveryFaultCodeHasACase)
{
  std::set<ConfigFaultCode> seen;
  for (const FaultCase& test : AllCases()) {
    seen.insert(test.code_);
  }
  // The change id is not part of the document; tests/publish covers its faults.
  seen.insert(C::ChangeIdMalformed);
  seen.insert(C::ChangeIdReused);
  for (const ConfigFaultRow& row : kConfigFaultTable) {
    if (seen.count(row.code_) == 0) {
      FAIL(row.name_);
    }
  }
  CHECK_TRUE(kConfigFaultTable.size() >= 40);
}

TEST(Check, NumbersAndNamesAreUniqueAndInOrder)
{
  std::set<std::uint16_t> numbers;
  std::set<std::string> names;
  for (std::size_t i = 0; i < kConfigFaultTable.size(); i++) {
    const ConfigFaultRow& row = kConfigFaultTable[i];
    LONGS_EQUAL(i, static_cast<std::size_t>(row.code_));
    CHECK_TRUE(row.number_ >= 3100);
    CHECK_TRUE(numbers.insert(row.number_).second);
    CHECK_TRUE(names.insert(row.name_).second);
  }
}

TEST(Check, AllFaultsAreReportedAtOnce)
{
  const std::string document = R"({"based_on":1,"put":[
    {"kind":"limits","name":"x","hedge_budget":2,"max_in_flight":0},
    {"kind":"service","name":"y","servers":[]},
    {"kind":"route","name":"z","mode":"query","index":"gone",
     "limits":"gone","deadline_ms":50,"soft_answer_ms":60}],
    "delete":[{"kind":"limits","name":"normal"}]})";
  const ConfigFaults faults = FaultsOf(document);
  const std::vector<FaultCase> wanted{
    { C::HedgeBudgetRange, "", "limits/x", "hedge_budget" },
    { C::InFlightRange, "", "limits/x", "max_in_flight" },
    { C::ServiceEmpty, "", "service/y", "servers" },
    { C::IndexUnknown, "", "route/z", "index" },
    { C::LimitsUnknown, "", "route/z", "limits" },
    { C::SoftAfterDeadline, "", "route/z", "soft_answer_ms" },
    { C::LimitsUnknown, "", "route/search", "limits" },
    { C::LimitsUnknown, "", "route/reorder", "limits" },
    { C::DeleteReferenced, "", "limits/normal", "" },
  };
  for (const FaultCase& fault : wanted) {
    CHECK_TRUE(Reports(faults, fault));
  }
  LONGS_EQUAL(wanted.size(), faults.size());
}

TEST(Check, ChangeThatBreaksAnotherObjectIsRefused)
{
  // The route's change is valid, but the larger fleet has more daemons than the
  // servers accept connections.
  const ConfigFaults faults = FaultsOf(R"({"based_on":1,"put":[
    {"kind":"route","name":"search","mode":"query","index":"tapes",
     "limits":"normal","deadline_ms":900},
    {"kind":"fleet","name":"fleet","max_daemons":26}]})");
  LONGS_EQUAL(3, faults.size());
  for (const ConfigFault& fault : faults) {
    CHECK_TRUE(fault.code_ == C::QuotasOverConnections);
  }
}

TEST(Check, FaultListIsBounded)
{
  std::string entries = "1";
  for (int i = 0; i < 60000; i++) {
    entries += ",1";
  }
  const ConfigFaults faults =
    FaultsOf(R"({"based_on":1,"put":[)" + entries + "]}");
  LONGS_EQUAL(kMaxFaults + 1, faults.size());
  CHECK_TRUE(faults.back().code_ == C::TooManyFaults);
}

TEST(Check, SafeTransitionsAreAccepted)
{
  const std::vector<std::string> documents{
    // A new version is added and the oldest one dropped; one version stays.
    Put(R"({"kind":"index","name":"tapes","versions":[)" +
        Version("8", kShard) + "," + Version("9", kShard) + "]}"),
    // One server of two is drained.
    Put(
      R"({"kind":"service","name":"desk","servers":[
      {"name":"a","address":"10.0.0.1:80","failure_domain":"fd-1","draining":true},
      {"name":"b","address":"10.0.0.2:80","failure_domain":"fd-2"}]})"),
    // A route is deleted together with the service that only it used.
    R"({"based_on":1,"delete":[{"kind":"route","name":"reorder"},
       {"kind":"service","name":"board"}]})",
    Service("", Server("x", "[fd00::1]:80")),
  };
  for (const std::string& document : documents) {
    const ConfigFaults faults = FaultsOf(document);
    if (!faults.empty()) {
      FAIL(EncodeFaults(faults).c_str());
    }
  }
}
