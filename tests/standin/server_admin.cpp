#include "standin/json_func.h"
#include "standin/server_internal.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace camphorfield::standin {

namespace json = boost::json;

namespace {

json::object
TruthOf(const FarmServer& aServer)
{
  const FarmTruth& truth = aServer.truth_;
  return { { "name", aServer.spec_.name_ },
           { "service", aServer.spec_.service_ },
           { "cap", aServer.spec_.connections_ },
           { "open", truth.open_ },
           { "peak", truth.peak_ },
           { "over_cap", truth.overCap_ },
           { "accepted", truth.accepted_ },
           { "queries", truth.queries_ },
           { "orders", truth.orders_ },
           { "refused", truth.refused_ },
           { "cancelled", truth.cancelled_ },
           { "expired", truth.expired_ },
           { "crashes", truth.crashes_ },
           { "health", truth.health_ },
           { "after_drain", truth.afterDrain_ },
           { "busy_ms", truth.busyMs_ } };
}

json::array
RunsOf(const std::vector<OrderRun>& aRuns)
{
  json::array out;
  for (const OrderRun& run : aRuns) {
    out.push_back({ { "server", run.server_ },
                    { "unix_us", run.unixMicros_ },
                    { "body", run.bodyHash_ } });
  }
  return out;
}

HttpReply
Truth(const ServerFarm& aFarm)
{
  json::array servers;
  for (const auto& server : aFarm.servers_) {
    servers.push_back(TruthOf(*server));
  }
  json::object orders;
  for (const auto& [key, runs] : aFarm.orders_) {
    orders[key] = RunsOf(runs);
  }
  return { 200,
           { { "Content-Type", "application/json" } },
           json::serialize(
             json::object{ { "servers", servers }, { "orders", orders } }) };
}

bool
IsMeant(const FarmServer& aServer, const json::object& aBody)
{
  std::string name;
  std::string service;
  ReadField(aBody, "server", name);
  ReadField(aBody, "service", service);
  return (name.empty() || name == aServer.spec_.name_) &&
         (service.empty() || service == aServer.spec_.service_);
}

void
SetDown(FarmServer& aServer, bool aIsDown)
{
  aServer.isDown_ = aIsDown;
  if (aIsDown) {
    TakeDown(aServer);
  } else {
    BringUp(aServer);
  }
}

/** Changes of behaviour and faults that happen at once. */
void
Behave(FarmServer& aServer, const json::object& aBody)
{
  if (const json::value* fields = aBody.if_contains("set")) {
    SetBehaviour(aServer, fields->as_object());
  }
  if (const json::value* down = aBody.if_contains("down")) {
    SetDown(aServer, down->as_bool());
  }
  if (aBody.contains("crash")) {
    CrashServer(aServer);
  }
  if (aBody.contains("drop_connections")) {
    aServer.listener_->DropAll();
  }
  double silent = 0;
  ReadField(aBody, "silence", silent);
  if (silent > 0) {
    aServer.listener_->Silence(silent, aServer.farm_->rng_);
  }
}

HttpReply
BehaveAll(ServerFarm& aFarm, const std::string& aText)
{
  json::object body;
  if (!ParseObject(aText, body)) {
    return { 400, {}, "not a JSON object" };
  }
  std::uint64_t count = 0;
  for (const auto& server : aFarm.servers_) {
    if (IsMeant(*server, body)) {
      Behave(*server, body);
      ++count;
    }
  }
  return { count == 0 ? 404U : 200U,
           {},
           json::serialize(json::object{ { "servers", count } }) };
}

/** Start all figures anew; open connections stay counted. */
HttpReply
ResetTruth(ServerFarm& aFarm)
{
  for (const auto& server : aFarm.servers_) {
    const std::uint64_t open = server->truth_.open_;
    server->truth_ = FarmTruth();
    server->truth_.open_ = open;
    server->truth_.peak_ = open;
  }
  aFarm.orders_.clear();
  return {};
}

} // namespace

HttpReply
FarmAdmin(ServerFarm& aFarm, const HttpRequest& aRequest)
{
  if (aRequest.path_ == "/admin/truth") {
    return Truth(aFarm);
  }
  if (aRequest.path_ == "/admin/behave") {
    return BehaveAll(aFarm, aRequest.body_);
  }
  if (aRequest.path_ == "/admin/reset") {
    return ResetTruth(aFarm);
  }
  return { 404 };
}

} // namespace camphorfield::standin
