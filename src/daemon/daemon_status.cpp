// Renders the status document for operators, also while the daemon is not
// ready.

#include "daemon/daemon_func.h"

#include "membership/membership_func.h"
#include "publish/publish_func.h"
#include "route/route_func.h"
#include "table/member_table.h"

#include <array>
#include <boost/json.hpp>

namespace camphorfield {

namespace {

namespace json = boost::json;

constexpr std::array<const char*, static_cast<std::size_t>(DaemonPhase::End)>
  kPhaseNames{ "serving", "leaving", "draining", "ended" };

json::object
MemberObject(const MemberRecord& aMember)
{
  json::object object;
  object["name"] = aMember.name_;
  object["state"] = kMemberStateNames[static_cast<std::size_t>(aMember.state_)];
  object["ready"] = aMember.ready_;
  object["generation"] = aMember.generation_.value_;
  object["incarnation"] = aMember.incarnation_.value_;
  object["failure_domain"] = aMember.failureDomain_;
  object["caller_address"] = aMember.callerAddress_;
  object["peer_address"] = aMember.peerAddress_;
  object["operator_address"] = aMember.operatorAddress_;
  object["load_per_mille"] = aMember.load_;
  return object;
}

json::object
ServerObject(const ServerStatus& aServer)
{
  json::object object;
  object["name"] = aServer.name_;
  object["service"] = aServer.service_;
  object["address"] = aServer.address_;
  object["in"] = aServer.in_;
  object["why"] = aServer.why_;
  object["in_flight"] = aServer.inFlight_;
  object["connections"] = aServer.connections_;
  object["lot"] = aServer.connectionQuota_;
  object["limit"] = aServer.limit_;
  object["latency_us"] = aServer.latency_.count();
  return object;
}

bool
HasGeneration(const MemberRecord& aMember, Generation aGeneration)
{
  return aMember.state_ == MemberState::Dead ||
         aMember.generation_ >= aGeneration;
}

} // namespace

std::string
RenderStatus(const DaemonState& aState, const Now& aNow)
{
  const auto config = PublishCurrent(aState.publish_);
  const Generation generation =
    config == nullptr ? Generation{} : config->generation_;
  json::object status;
  status["daemon"] = aState.settings_.name_;
  status["phase"] = kPhaseNames[static_cast<std::size_t>(aState.phase_)];
  status["ready"] = aState.ready_;
  if (!aState.ready_) {
    status["why_not_ready"] = PublishNotReadyReason(aState.publish_, aNow);
  }
  status["generation"] = generation.value_;
  json::array members;
  bool inForce = generation.IsValid();
  for (const MemberRecord& member : *MembershipMembers(aState.membership_)) {
    members.push_back(MemberObject(member));
    inForce = inForce && HasGeneration(member, generation);
  }
  status["in_force_everywhere"] = inForce;
  status["members"] = std::move(members);
  json::array servers;
  for (const ServerStatus& server : RouteServers(aState.route_)) {
    servers.push_back(ServerObject(server));
  }
  status["servers"] = std::move(servers);
  return json::serialize(status);
}

} // namespace camphorfield
