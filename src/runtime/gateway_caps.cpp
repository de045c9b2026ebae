// Rates of organisations between daemons: tells the core which daemons may own
// a cap, and carries its messages.
#include "gateway/fleet/directory.h"
#include "gateway/gateway_func.h"
#include "runtime/clock.h"
#include "runtime/gateway_host.h"

#include <algorithm>

namespace camphorfield {

// Without caps nothing is computed. A daemon that leaves is no owner any more,
// so that it releases its caps while it still answers.
void
GatewayHost::UpdateCapView()
{
  if (gateway_.caps_.caps_.empty()) {
    return;
  }
  CapView view;
  for (const MemberRecord& member : *members_) {
    const bool present = member.state_ == MemberState::Alive ||
                         member.state_ == MemberState::Suspect;
    if (present && !(stopping_ && member.id_ == membership_.self_.id_)) {
      view.members_.push_back(member.id_);
    }
  }
  std::sort(view.members_.begin(), view.members_.end());
  view.majority_ =
    MayGoOnGranting(role_.size_, CountAlive(*members_), ReadClock().mono_);
  view.entryDaemons_ = static_cast<std::uint32_t>(
    ChooseEntryDaemons(*members_, MaxEntryDaemons(gateway_), EntryScope::Ready)
      .size());
  GatewaySetCapView(gateway_, view, ReadClock(), rng_, decisions_);
  ApplyDecisions();
}

void
GatewayHost::SendCapMessage(const CapSend& aSend)
{
  const MemberRecord* member = FindMember(aSend.to_);
  if (member != nullptr) {
    SendToPeer(SendPeer{
      member->id_, member->peerAddress_, aSend.message_, PeerCallId{} });
  }
}

} // namespace camphorfield
