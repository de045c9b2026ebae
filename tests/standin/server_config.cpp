// Reads the configuration and behaviour of simulated backend servers.
#include "standin/json_func.h"
#include "standin/server_internal.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <stdexcept>

namespace camphorfield::standin {

namespace json = boost::json;

namespace {

constexpr std::array<const char*, static_cast<std::size_t>(ServiceShape::End)>
  kShapeNames{ "fixed", "exponential", "lognormal" };

void
SetServiceTime(Behaviour& aBehaviour, const json::object& aFields)
{
  const json::value* field = aFields.if_contains("service_ms");
  if (field == nullptr) {
    return;
  }
  const json::object& spec = field->as_object();
  ReadField(spec, "mean", aBehaviour.meanMs_);
  ReadField(spec, "sigma", aBehaviour.sigma_);
  std::string shape = kShapeNames[static_cast<std::size_t>(aBehaviour.shape_)];
  ReadField(spec, "dist", shape);
  const auto found = std::find(kShapeNames.begin(), kShapeNames.end(), shape);
  if (found == kShapeNames.end()) {
    throw std::invalid_argument("unknown service time: " + shape);
  }
  aBehaviour.shape_ =
    static_cast<ServiceShape>(std::distance(kShapeNames.begin(), found));
}

void
ReadShares(Behaviour& aBehaviour, const json::object& aFields)
{
  ReadField(aFields, "fail_share", aBehaviour.failShare_);
  ReadField(aFields, "corrupt_share", aBehaviour.corruptShare_);
  ReadField(aFields, "truncate_share", aBehaviour.truncateShare_);
  ReadField(aFields, "lose_answer_share", aBehaviour.loseAnswerShare_);
  ReadField(aFields, "lose_order_answers", aBehaviour.loseOrderAnswers_);
  ReadField(aFields, "duplicate_share", aBehaviour.duplicateShare_);
}

FarmServerSpec
ReadSpec(const json::object& aService, const json::object& aServer)
{
  FarmServerSpec spec;
  ReadField(aService, "name", spec.service_);
  ReadField(aService, "slots", spec.slots_);
  ReadField(aService, "connections", spec.connections_);
  ReadField(aService, "queue", spec.queue_);
  ReadField(aService, "connect_cost_ms", spec.connectCost_);
  ReadField(aService, "reports_load", spec.reportsLoad_);
  ReadField(aServer, "name", spec.name_);
  ReadField(aServer, "failure_domain", spec.failureDomain_);
  ReadField(aServer, "address", spec.address_);
  return spec;
}

HttpAdmission
Admit(FarmServer& aServer)
{
  FarmServerStats& truth = aServer.serverStats_;
  ++truth.accepted_;
  if (truth.open_ >= aServer.spec_.connections_) {
    ++truth.overCap_;
    return { true, {} };
  }
  ++truth.open_;
  truth.peak_ = std::max(truth.peak_, truth.open_);
  return { false, aServer.spec_.connectCost_ };
}

void
Listen(FarmServer& aServer)
{
  HttpHandlers handlers;
  handlers.admit_ = [&aServer] { return Admit(aServer); };
  handlers.closed_ = [&aServer] { --aServer.serverStats_.open_; };
  handlers.request_ = [&aServer](const HttpRequest& aRequest,
                                 const HttpRespond& aRespond) {
    ServeFarmRequest(aServer, aRequest, aRespond);
  };
  aServer.listener_ = std::make_unique<HttpListener>(
    aServer.farm_->context_, aServer.spec_.address_, std::move(handlers));
}

void
AddServer(ServerFarm& aFarm,
          const json::object& aService,
          const json::object& aServer)
{
  auto server = std::make_unique<FarmServer>();
  server->farm_ = &aFarm;
  server->spec_ = ReadSpec(aService, aServer);
  SetBehaviour(*server, aService);
  SetBehaviour(*server, aServer);
  Listen(*server);
  aFarm.servers_.push_back(std::move(server));
}

} // namespace

void
SetBehaviour(FarmServer& aServer, const json::object& aFields)
{
  Behaviour next = aServer.behaviour_;
  SetServiceTime(next, aFields);
  ReadShares(next, aFields);
  ReadField(aFields, "factor", next.factor_);
  ReadField(aFields, "cold_factor", next.coldFactor_);
  ReadField(aFields, "cold_ms", next.cold_);
  ReadField(aFields, "versions", next.versions_);
  ReadField(aFields, "draining", next.draining_);
  ReadField(aFields, "drain_hint", next.drainHint_);
  ReadField(aFields, "shed", next.shed_);
  ReadField(aFields, "ignores_deadline", next.ignoresDeadline_);
  ReadField(aFields, "ignores_cancel", next.ignoresCancel_);
  ReadField(aFields, "lie_load", next.reportedLoad_);
  ReadField(aFields, "lie_ready", next.reportedReady_);
  ReadField(aFields, "crash_marker", next.crashMarker_);
  ReadField(aFields, "crash_ms", next.crash_);
  const bool isLeaving = next.draining_ || next.drainHint_;
  if (!isLeaving) {
    aServer.drained_ = Clock::time_point::max();
  } else if (aServer.drained_ == Clock::time_point::max()) {
    aServer.drained_ = Clock::now();
  }
  aServer.behaviour_ = std::move(next);
}

json::object
FarmAddresses(const ServerFarm& aFarm)
{
  json::array servers;
  for (const auto& server : aFarm.servers_) {
    servers.push_back({ { "name", server->spec_.name_ },
                        { "service", server->spec_.service_ },
                        { "failure_domain", server->spec_.failureDomain_ },
                        { "address", server->listener_->Address() } });
  }
  return { { "admin", aFarm.admin_->Address() }, { "servers", servers } };
}

ServerFarm::ServerFarm(boost::asio::io_context& aContext,
                       const json::object& aConfig)
  : context_(aContext)
{
  std::uint64_t seed = 1;
  std::string admin = "127.0.0.1:0";
  ReadField(aConfig, "seed", seed);
  ReadField(aConfig, "admin", admin);
  rng_.seed(seed);
  for (const json::value& service : aConfig.at("services").as_array()) {
    const json::object& fields = service.as_object();
    for (const json::value& server : fields.at("servers").as_array()) {
      AddServer(*this, fields, server.as_object());
    }
  }
  HttpHandlers handlers;
  handlers.request_ = [this](const HttpRequest& aRequest,
                             const HttpRespond& aRespond) {
    aRespond(
      ReplyOrBadRequest([&] { return ServeFarmAdmin(*this, aRequest); }));
  };
  admin_ = std::make_unique<HttpListener>(aContext, admin, handlers);
}

} // namespace camphorfield::standin
