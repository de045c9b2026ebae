// Checks of configuration changes: each fault code has a document that must be
// reported with its object and field, so that an operator finds the mistake.
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

/** Change document with one put. */
std::string
Put(const std::string& aObject)
{
  return R"({"based_on":1,"put":[)" + aObject + "]}";
}

std::string
Service(const std::string& aFields, const std::string& aServers)
{
  return Put(R"({"kind":"service","name":"new")" + aFields + R"(,"servers":[)" +
             aServers + "]}");
}

std::string
Server(const std::string& aName,
       const std::string& aAddress,
       const std::string& aFields = "")
{
  return R"({"name":")" + aName + R"(","address":")" + aAddress +
         R"(","failure_domain":"fd-1")" + aFields + "}";
}

std::string
Index(const std::string& aVersions)
{
  return Put(R"({"kind":"index","name":"new","versions":[)" + aVersions + "]}");
}

std::string
Version(const std::string& aNumber, const std::string& aShards)
{
  return R"({"version":)" + aNumber + R"(,"shards":[)" + aShards + "]}";
}

std::string
Route(const std::string& aFields)
{
  return Put(R"({"kind":"route","name":"new")" + aFields + "}");
}

std::string
Limits(const std::string& aFields)
{
  return Put(R"({"kind":"limits","name":"new")" + aFields + "}");
}

const std::string kShard = R"({"name":"s0","service":"desk"})";
const std::string kQuery =
  R"(,"mode":"query","index":"tapes","limits":"normal")";
const std::string kOrder =
  R"(,"mode":"order","service":"board","limits":"normal")";

/** Document and a fault that must be reported for it. */
struct FaultCase
{
  ConfigFaultCode code_;
  std::string document_;
  std::string object_;
  std::string field_;
};

using C = ConfigFaultCode;

std::vector<FaultCase>
DocumentCases()
{
  const std::string deep(40, '[');
  return {
    { C::NotJson, "{", "change", "" },
    { C::NotJson, R"({"based_on":1} x)", "change", "" },
    { C::DocumentTooLarge, std::string(5UL << 20U, ' '), "change", "" },
    { C::TooDeep, deep, "change", "" },
    { C::NotJson, R"({"put":["\ud800x"]})", "change", "" },
    { C::NotUtf8, "{\"put\":[\"\xff\xfe\"]}", "change", "" },
    { C::NotUtf8, "{\"put\":[\"\xe2\x82\"]}", "change", "" },
    { C::DuplicateField,
      R"({"based_on":1,"based_on":2})",
      "change",
      "based_on" },
    { C::NotAnObject, "[]", "change", "" },
    { C::NotAnObject, Put("3"), "change", "put[0]" },
    { C::UnknownField, Limits(R"(,"colour":1)"), "limits/new", "'colour'" },
    { C::UnknownField, R"({"based_on":1,"x":1})", "change", "'x'" },
    { C::MissingField, R"({"put":[]})", "change", "based_on" },
    { C::MissingField,
      Route(R"(,"mode":"query")"),
      "route/new",
      "deadline_ms" },
    { C::MissingField, Put(R"({"kind":"limits"})"), "change", "put[0].name" },
    { C::WrongType,
      Put(R"({"kind":"limits","name":5})"),
      "change",
      "put[0].name" },
    { C::WrongType,
      Limits(R"(,"hedge_budget":"x")"),
      "limits/new",
      "hedge_budget" },
    { C::WrongType, R"({"based_on":1,"put":{}})", "change", "put" },
    { C::WrongType,
      Service(R"(,"reports_load":1)", ""),
      "service/new",
      "reports_load" },
    { C::WrongUnit,
      Route(kQuery + R"(,"deadline_ms":"5s")"),
      "route/new",
      "deadline_ms" },
    { C::WrongUnit,
      Route(kQuery + R"(,"deadline_s":5)"),
      "route/new",
      "'deadline_s'" },
    { C::WrongUnit,
      Route(kQuery + R"(,"deadline":5)"),
      "route/new",
      "'deadline'" },
    { C::NotWhole,
      Limits(R"(,"max_in_flight":1.5)"),
      "limits/new",
      "max_in_flight" },
    { C::NumberRange,
      Limits(R"(,"max_in_flight":-1)"),
      "limits/new",
      "max_in_flight" },
    { C::NumberRange,
      Limits(R"(,"max_in_flight":99999999999)"),
      "limits/new",
      "max_in_flight" },
    { C::NumberRange,
      Route(kQuery + R"(,"deadline_ms":-1)"),
      "route/new",
      "deadline_ms" },
    { C::UnknownKind,
      Put(R"({"kind":"tape","name":"x"})"),
      "change",
      "put[0].kind" },
    { C::UnknownValue,
      Route(R"(,"mode":"ask","deadline_ms":5)"),
      "route/new",
      "mode" },
    { C::TextTooLong,
      Route(R"(,"mode":"query","deadline_ms":5,"index":")" +
            std::string(300, 'a') + "\""),
      "route/new",
      "index" },
    { C::TooManyEntries,
      [] {
        std::string entries = "1";
        for (int i = 0; i < 70000; i++) {
          entries += ",1";
        }
        return R"({"based_on":1,"delete":[)" + entries + "]}";
      }(),
      "change",
      "delete" },
    { C::ObjectTooLarge,
      [] {
        std::string shards = R"({"name":"s","service":"desk"})";
        for (int i = 0; i < 15000; i++) {
          shards += R"(,{"name":"s","service":"desk"})";
        }
        return Index(Version("1", shards));
      }(),
      "index/new",
      "" },
    { C::TooManyFaults,
      [] {
        std::string entries = "1";
        for (int i = 0; i < 2000; i++) {
          entries += ",1";
        }
        return R"({"based_on":1,"delete":[)" + entries + "]}";
      }(),
      "change",
      "" },
    { C::BasedOnAhead,
      R"({"based_on":9,"delete":[{"kind":"limits","name":"x"}]})",
      "change",
      "based_on" },
    { C::EmptyChange, R"({"based_on":1})", "change", "" },
    { C::PutTwice,
      R"({"based_on":1,"put":[{"kind":"limits","name":"x"},{"kind":"limits","name":"x"}]})",
      "limits/x",
      "" },
    { C::DeleteTwice,
      R"({"based_on":1,"delete":[{"kind":"limits","name":"x"},{"kind":"limits","name":"x"}]})",
      "limits/x",
      "" },
    { C::PutAndDelete,
      R"({"based_on":1,"put":[{"kind":"limits","name":"x"}],"delete":[{"kind":"limits","name":"x"}]})",
      "limits/x",
      "" },
    { C::DeleteAbsent,
      R"({"based_on":1,"delete":[{"kind":"limits","name":"x"}]})",
      "limits/x",
      "" },
  };
}

std::vector<FaultCase>
ServerCases()
{
  const std::string a = Server("x", "10.0.1.1:80");
  return {
    { C::BadName,
      Put(R"({"kind":"limits","name":"Bad Name"})"),
      "limits/Bad Name",
      "name" },
    { C::BadName,
      Service("", Server("", "10.0.1.1:80")),
      "service/new",
      "servers[0].name" },
    { C::BadAddress,
      Service("", Server("x", "somewhere:80")),
      "service/new",
      "servers[0].address" },
    { C::BadAddress,
      Service("", Server("x", "10.0.0.1")),
      "service/new",
      "servers[0].address" },
    { C::BadAddress,
      Service("", Server("x", "10.0.0.1:99999")),
      "service/new",
      "servers[0].address" },
    { C::BadAddress,
      Service("", Server("x", "[::zz]:80")),
      "service/new",
      "servers[0].address" },
    { C::AddressNotUsable,
      Service("", Server("x", "0.0.0.0:80")),
      "service/new",
      "servers[0].address" },
    { C::AddressNotUsable,
      Service("", Server("x", "10.0.0.9:0")),
      "service/new",
      "servers[0].address" },
    { C::AddressNotUsable,
      Service("", Server("x", "[::]:80")),
      "service/new",
      "servers[0].address" },
    { C::BadFailureDomain,
      Service("",
              R"({"name":"x","address":"10.0.1.1:80","failure_domain":""})"),
      "service/new",
      "servers[0].failure_domain" },
    { C::ServiceEmpty, Service("", ""), "service/new", "servers" },
    { C::ServerTwice,
      Service("", a + "," + Server("x", "10.0.1.2:80")),
      "service/new",
      "servers[1].name" },
    { C::ServerElsewhere,
      Service("", Server("a", "10.0.1.2:80")),
      "service/new",
      "servers[0].name" },
    { C::AddressTwice,
      Service("", Server("x", "10.0.0.1:80")),
      "service/new",
      "servers[0].address" },
    { C::SlotsRange,
      Service("", Server("x", "10.0.1.1:80", R"(,"slots":0)")),
      "service/new",
      "servers[0].slots" },
    { C::ConnectionsRange,
      Service("", Server("x", "10.0.1.1:80", R"(,"connections":0)")),
      "service/new",
      "servers[0].connections" },
    { C::SlotsOverConnections,
      Service("", Server("x", "10.0.1.1:80", R"(,"slots":30)")),
      "service/new",
      "servers[0].connections" },
    { C::QuotasOverConnections,
      Service("", Server("x", "10.0.1.1:80", R"(,"connections":11)")),
      "service/new",
      "servers[0].connections" },
    { C::ConnectCostRange,
      Service(R"(,"connect_cost_ms":20000)", a),
      "service/new",
      "connect_cost_ms" },
    { C::SeveralFleets,
      Put(R"({"kind":"fleet","name":"other"})"),
      "fleet/other",
      "" },
    { C::MaxDaemonsRange,
      Put(R"({"kind":"fleet","name":"fleet","max_daemons":0})"),
      "fleet/fleet",
      "max_daemons" },
    { C::HomesOverDaemons,
      Put(
        R"({"kind":"fleet","name":"fleet","max_daemons":3,"homes_per_server":4})"),
      "fleet/fleet",
      "homes_per_server" },
    // The change is valid by itself but breaks an object that it does not name.
    { C::QuotasOverConnections,
      Put(R"({"kind":"fleet","name":"fleet","max_daemons":26})"),
      "service/desk",
      "servers[0].connections" },
  };
}

std::vector<FaultCase>
ReferenceCases()
{
  return {
    { C::IndexEmpty, Index(""), "index/new", "versions" },
    { C::VersionZero,
      Index(Version("0", kShard)),
      "index/new",
      "versions[0].version" },
    { C::VersionTwice,
      Index(Version("3", kShard) + "," + Version("3", kShard)),
      "index/new",
      "versions[1].version" },
    { C::VersionsNotRising,
      Index(Version("3", kShard) + "," + Version("2", kShard)),
      "index/new",
      "versions[1].version" },
    { C::ShardMapEmpty,
      Index(Version("3", "")),
      "index/new",
      "versions[0].shards" },
    { C::ShardTwice,
      Index(Version("3", kShard + "," + kShard)),
      "index/new",
      "versions[0].shards[1].name" },
    { C::ShardServiceUnknown,
      Index(Version("3", R"({"name":"s0","service":"gone"})")),
      "index/new",
      "versions[0].shards[0].service" },
    { C::ShardUnreachable,
      Put(
        R"({"kind":"service","name":"desk","servers":[{"name":"a","address":"10.0.0.1:80","failure_domain":"fd-1","draining":true}]})"),
      "index/tapes",
      "versions[0].shards[0].service" },
    { C::CoverageUnreachable,
      R"({"based_on":1,"put":[{"kind":"service","name":"desk","servers":[{"name":"a","address":"10.0.0.1:80","failure_domain":"fd-1","draining":true}]},{"kind":"route","name":"search","mode":"query","index":"tapes","limits":"normal","deadline_ms":500,"min_coverage":0.5}]})",
      "route/search",
      "min_coverage" },
    { C::OrderUnreachable,
      Put(
        R"({"kind":"service","name":"board","servers":[{"name":"c","address":"10.0.0.3:80","failure_domain":"fd-1","draining":true}]})"),
      "route/reorder",
      "service" },
    { C::IndexUnknown,
      Route(
        R"(,"mode":"query","index":"gone","limits":"normal","deadline_ms":5)"),
      "route/new",
      "index" },
    { C::ServiceUnknown,
      Route(
        R"(,"mode":"order","service":"gone","limits":"normal","deadline_ms":5)"),
      "route/new",
      "service" },
    { C::LimitsUnknown,
      Route(
        R"(,"mode":"query","index":"tapes","limits":"gone","deadline_ms":50)"),
      "route/new",
      "limits" },
    { C::QueryOnService,
      Route(kQuery + R"(,"service":"desk","deadline_ms":50)"),
      "route/new",
      "service" },
    { C::OrderOnIndex,
      Route(kOrder + R"(,"index":"tapes","deadline_ms":50)"),
      "route/new",
      "index" },
    { C::IndexMissing,
      Route(R"(,"mode":"query","limits":"normal","deadline_ms":50)"),
      "route/new",
      "index" },
    { C::ServiceMissing,
      Route(R"(,"mode":"order","limits":"normal","deadline_ms":50)"),
      "route/new",
      "service" },
    { C::LimitsMissing,
      Route(R"(,"mode":"query","index":"tapes","deadline_ms":50)"),
      "route/new",
      "limits" },
    { C::DeadlineRange,
      Route(kQuery + R"(,"deadline_ms":0.5)"),
      "route/new",
      "deadline_ms" },
    { C::SoftAfterDeadline,
      Route(kQuery + R"(,"deadline_ms":50,"soft_answer_ms":51)"),
      "route/new",
      "soft_answer_ms" },
    { C::SoftOnOrder,
      Route(kOrder + R"(,"deadline_ms":50,"soft_answer_ms":5)"),
      "route/new",
      "soft_answer_ms" },
    { C::CoverageRange,
      Route(kQuery + R"(,"deadline_ms":50,"min_coverage":1.5)"),
      "route/new",
      "min_coverage" },
    { C::CoverageOnOrder,
      Route(kOrder + R"(,"deadline_ms":50,"min_coverage":0.5)"),
      "route/new",
      "min_coverage" },
    { C::DeadlineUnderConnect,
      Route(kQuery + R"(,"deadline_ms":6)"),
      "route/new",
      "deadline_ms" },
    { C::HedgeBudgetRange,
      Limits(R"(,"hedge_budget":1.1)"),
      "limits/new",
      "hedge_budget" },
    { C::RetryBudgetRange,
      Limits(R"(,"retry_budget":-0.1)"),
      "limits/new",
      "retry_budget" },
    { C::BudgetSum,
      Limits(R"(,"hedge_budget":0.6,"retry_budget":0.6)"),
      "limits/new",
      "hedge_budget" },
    { C::InFlightRange,
      Limits(R"(,"max_in_flight":0)"),
      "limits/new",
      "max_in_flight" },
    { C::CallerShareRange,
      Limits(R"(,"caller_share":0)"),
      "limits/new",
      "caller_share" },
    { C::CallerShareBelowOne,
      Limits(R"(,"max_in_flight":3,"caller_share":0.2)"),
      "limits/new",
      "caller_share" },
  };
}

std::vector<FaultCase>
TransitionCases()
{
  const auto tapes = [](const std::string& aVersions) {
    return Put(R"({"kind":"index","name":"tapes","versions":[)" + aVersions +
               "]}");
  };
  return {
    { C::DeleteReferenced,
      R"({"based_on":1,"delete":[{"kind":"service","name":"desk"}]})",
      "service/desk",
      "" },
    { C::ShardServiceUnknown,
      R"({"based_on":1,"delete":[{"kind":"service","name":"desk"}]})",
      "index/tapes",
      "versions[0].shards[0].service" },
    { C::DeleteReferenced,
      R"({"based_on":1,"delete":[{"kind":"limits","name":"normal"}]})",
      "limits/normal",
      "" },
    { C::DeleteReferenced,
      R"({"based_on":1,"delete":[{"kind":"index","name":"tapes"}]})",
      "index/tapes",
      "" },
    { C::VersionsAllDropped,
      tapes(Version("9", kShard)),
      "index/tapes",
      "versions" },
    { C::ServersAllReplaced,
      Put(
        R"({"kind":"service","name":"board","servers":[{"name":"d","address":"10.0.0.4:80","failure_domain":"fd-1"}]})"),
      "service/board",
      "servers" },
    { C::ShardMapChanged,
      tapes(Version("7", R"({"name":"s0","service":"board"})") + "," +
            Version("8", kShard)),
      "index/tapes",
      "versions[0].shards" },
    { C::VersionNotNew,
      tapes(Version("6", kShard) + "," + Version("8", kShard)),
      "index/tapes",
      "versions[0].version" },
    { C::RouteModeChanged,
      Put(
        R"({"kind":"route","name":"search","mode":"order","service":"board","limits":"normal","deadline_ms":500})"),
      "route/search",
      "mode" },
    { C::ServerMoved,
      R"({"based_on":1,"put":[{"kind":"service","name":"desk","servers":[{"name":"a","address":"10.0.0.1:80","failure_domain":"fd-1"}]},{"kind":"service","name":"board","servers":[{"name":"c","address":"10.0.0.3:80","failure_domain":"fd-1"},{"name":"b","address":"10.0.0.2:80","failure_domain":"fd-2"}]}]})",
      "service/board",
      "servers[1].name" },
  };
}

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
