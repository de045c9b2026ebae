// Documents with faults of their form, fields, services and servers.
#include "object/check_fixture.h"

namespace camphorfield::test {

using C = ConfigFaultCode;

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
       const std::string& aFields)
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

} // namespace camphorfield::test
