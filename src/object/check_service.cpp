// Checks services and their servers. Guards against one server counted twice
// and against more daemons than a server has connections for.
#include "object/check_internal.h"
#include "object/object_check.h"

#include <map>
#include <set>

namespace camphorfield {

namespace {

/** Names and addresses of the servers seen so far, over all services. */
struct SeenServers
{
  std::map<std::string, std::string> services_;  ///< Service by server name.
  std::map<std::string, std::string> addresses_; ///< Server name by address.
};

void
CheckServerName(const ServerSpec& aServer,
                const std::string& aService,
                const std::string& aPath,
                SeenServers& aSeen,
                const ObjectFaults& aFaults)
{
  const std::string field = aPath + ".name";
  if (!IsValidObjectName(aServer.name_)) {
    Report(aFaults, ConfigFaultCode::BadName, field, aServer.name_);
  }
  const auto [seen, isNew] = aSeen.services_.emplace(aServer.name_, aService);
  if (isNew) {
    return;
  }
  const std::string reason = aServer.name_ + " of service/" + seen->second;
  const bool here = seen->second == aService;
  Report(aFaults,
         here ? ConfigFaultCode::ServerTwice : ConfigFaultCode::ServerElsewhere,
         field,
         reason);
}

void
CheckServerAddress(const ServerSpec& aServer,
                   const std::string& aPath,
                   SeenServers& aSeen,
                   const ObjectFaults& aFaults)
{
  const std::string field = aPath + ".address";
  const ConfigFaultCode code = CheckAddress(aServer.address_);
  if (code != ConfigFaultCode::End) {
    Report(aFaults, code, field, aServer.address_);
    return;
  }
  const auto [seen, isNew] =
    aSeen.addresses_.emplace(aServer.address_, aServer.name_);
  if (!isNew) {
    Report(aFaults,
           ConfigFaultCode::AddressTwice,
           field,
           aServer.address_ + " of server " + seen->second);
  }
}

void
CheckServerCaps(const ConfigSet& aSet,
                const ServerSpec& aServer,
                const std::string& aPath,
                const ObjectFaults& aFaults)
{
  const std::string slots = std::to_string(aServer.slots_);
  const std::string connections = std::to_string(aServer.connections_);
  if (aServer.slots_ == 0 || aServer.slots_ > kMaxSlots) {
    Report(aFaults, ConfigFaultCode::SlotsRange, aPath + ".slots", slots);
  }
  const std::string field = aPath + ".connections";
  if (aServer.connections_ == 0 || aServer.connections_ > kMaxConnections) {
    Report(aFaults, ConfigFaultCode::ConnectionsRange, field, connections);
    return;
  }
  if (aServer.slots_ > aServer.connections_) {
    const std::string reason =
      slots + " slots, " + connections + " connections";
    Report(aFaults, ConfigFaultCode::SlotsOverConnections, field, reason);
  }
  // Each daemon needs a quota of at least one connection; otherwise some
  // daemons can't reach the server at all.
  const std::uint32_t daemons = DaemonsPerServer(aSet);
  if (aServer.connections_ < daemons) {
    const std::string reason =
      connections + " connections, " + std::to_string(daemons) + " daemons";
    Report(aFaults, ConfigFaultCode::QuotasOverConnections, field, reason);
  }
}

} // namespace

void
CheckServices(const ConfigSet& aSet, ConfigFaults& aFaults)
{
  SeenServers seen;
  for (const auto& [name, service] : aSet.services_) {
    const ObjectFaults faults{ &aFaults,
                               KeyText({ ObjectKind::Service, name }) };
    if (!IsValidObjectName(name)) {
      Report(faults, ConfigFaultCode::BadName, "name", name);
    }
    if (service.servers_.empty()) {
      Report(faults, ConfigFaultCode::ServiceEmpty, "servers");
    }
    if (service.connectCost_ > kMaxConnectCost) {
      Report(faults, ConfigFaultCode::ConnectCostRange, "connect_cost_ms");
    }
    for (std::size_t i = 0; i < service.servers_.size(); i++) {
      const ServerSpec& server = service.servers_[i];
      const std::string path = EntryPath("servers", i, "");
      CheckServerName(server, name, path, seen, faults);
      CheckServerAddress(server, path, seen, faults);
      CheckServerCaps(aSet, server, path, faults);
      if (!IsValidObjectName(server.failureDomain_)) {
        Report(faults,
               ConfigFaultCode::BadFailureDomain,
               path + ".failure_domain",
               server.failureDomain_);
      }
    }
  }
}

} // namespace camphorfield
