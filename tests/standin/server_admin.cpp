// Admin calls of the server stand-in: statistics and changes of behaviour.
#include "standin/json_func.h"
#include "standin/server_internal.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace camphorfield::standin {

namespace json = boost::json;

namespace {

json::object
StatsToJson(const FarmServer& aServer)
{
  const FarmServerStats& truth = aServer.serverStats_;
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
OrderRunsToJson(const std::vector<OrderRun>& aRuns)
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
StatsReply(const ServerFarm& aFarm)
{
  json::array servers;
  for (const auto& server : aFarm.servers_) {
    servers.push_back(StatsToJson(*server));
  }
  json::object orders;
  for (const auto& [key, runs] : aFarm.orders_) {
    orders[key] = OrderRunsToJson(runs);
  }
  return { 200,
           { { "Content-Type", "application/json" } },
           json::serialize(
             json::object{ { "servers", servers }, { "orders", orders } }) };
}

bool
MatchesSelector(const FarmServer& aServer, const json::object& aBody)
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
    ShutDownServer(aServer);
  } else {
    StartServer(aServer);
  }
}

/** Changes of behaviour and faults that happen at once. */
void
ApplyBehave(FarmServer& aServer, const json::object& aBody)
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
HandleBehave(ServerFarm& aFarm, const std::string& aText)
{
  json::object body;
  if (!ParseObject(aText, body)) {
    return { 400, {}, "not a JSON object" };
  }
  std::uint64_t count = 0;
  for (const auto& server : aFarm.servers_) {
    if (MatchesSelector(*server, body)) {
      ApplyBehave(*server, body);
      ++count;
    }
  }
  return { count == 0 ? 404U : 200U,
           {},
           json::serialize(json::object{ { "servers", count } }) };
}

/** Start all figures anew; open connections stay counted. */
HttpReply
ResetStats(ServerFarm& aFarm)
{
  for (const auto& server : aFarm.servers_) {
    const std::uint64_t open = server->serverStats_.open_;
    server->serverStats_ = FarmServerStats();
    server->serverStats_.open_ = open;
    server->serverStats_.peak_ = open;
  }
  aFarm.orders_.clear();
  return {};
}

} // namespace

HttpReply
ServeFarmAdmin(ServerFarm& aFarm, const HttpRequest& aRequest)
{
  if (aRequest.path_ == "/admin/truth") {
    return StatsReply(aFarm);
  }
  if (aRequest.path_ == "/admin/behave") {
    return HandleBehave(aFarm, aRequest.body_);
  }
  if (aRequest.path_ == "/admin/reset") {
    return ResetStats(aFarm);
  }
  return { 404 };
}

} // namespace camphorfield::standin
