#include "route/sub_cmd.h"

#include "route/conn_pool.h"
#include "route/owner.h"
#include "route/quarantine.h"
#include "route/relay.h"
#include "route/server_health.h"
#include "route/sub_timer.h"

#include <algorithm>

namespace camphorfield {

namespace {

bool
IsWork(SubKind aKind)
{
  return aKind == SubKind::Query || aKind == SubKind::Order;
}

SubEnd
EndOf(SubStatus aStatus)
{
  switch (aStatus) {
    case SubStatus::Ok:
      return SubEnd::Ok;
    case SubStatus::Refused:
      return SubEnd::Refused;
    case SubStatus::WrongVersion:
      return SubEnd::WrongVersion;
    case SubStatus::NotRun:
      return SubEnd::NotRun;
    case SubStatus::Rejected:
      return SubEnd::Rejected;
    case SubStatus::Corrupt:
      return SubEnd::Corrupt;
    default:
      return SubEnd::Failed;
  }
}

void
NoteInFlight(Step& aStep, Sub& aSub)
{
  ServerState& server = aStep.state_.servers_[aSub.server_];
  ++server.inFlight_;
  if (aSub.exclusive_) {
    server.exclusive_ = true;
  }
  if (aSub.probe_) {
    server.nextProbe_ = aStep.now_.mono_ + kProbeInterval;
  }
}

Sub&
MakeSub(Step& aStep, const SubPlan& aPlan)
{
  Sub& sub = AllocateSlot(aStep.state_.subs_);
  const std::uint64_t key = sub.key_;
  sub = Sub{};
  sub.key_ = key;
  sub.kind_ = aPlan.kind_;
  sub.owner_ = aPlan.owner_;
  sub.server_ = aPlan.server_;
  sub.version_ = aPlan.version_;
  sub.sentAt_ = aStep.now_.mono_;
  sub.deadline_ = aPlan.deadline_;
  sub.fingerprint_ = aPlan.fingerprint_;
  sub.hedge_ = aPlan.hedge_;
  sub.probe_ = aPlan.probe_;
  sub.exclusive_ = aPlan.exclusive_;
  sub.patient_ = aPlan.patient_;
  if (IsWork(sub.kind_)) {
    NoteInFlight(aStep, sub);
  }
  return sub;
}

SubRequest
MakeRequest(Step& aStep, const SubPlan& aPlan, const Sub& aSub)
{
  const ServerState& server = aStep.state_.servers_[aPlan.server_];
  SubRequest request;
  request.id_ = { aSub.key_ };
  request.connection_ = { aSub.connection_ };
  request.kind_ = aPlan.kind_;
  request.service_ = aStep.state_.services_[server.service_].name_;
  request.shard_ = aPlan.shard_;
  request.version_ = aPlan.version_;
  request.key_ = aPlan.key_;
  request.cancels_ = aPlan.cancels_;
  request.deadline_ = aPlan.deadline_;
  request.body_ = aPlan.body_;
  return request;
}

void
SendOn(Step& aStep, const SubPlan& aPlan, Connection& aConnection)
{
  Sub& sub = MakeSub(aStep, aPlan);
  sub.connection_ = aConnection.key_;
  aConnection.state_ = ConnState::Busy;
  aConnection.sub_ = sub.key_;
  aStep.out_.emplace_back(MakeRequest(aStep, aPlan, sub));
  ArmSubTimer(aStep, sub);
}

/** Labels must be those of the request, or the answer is another's. */
bool
LabelsMatch(RouteState& aState, const Sub& aSub, const SubAnswer& aAnswer)
{
  if (aAnswer.statedId_.value_ != aSub.key_) {
    return false;
  }
  if (aSub.kind_ != SubKind::Query) {
    return true;
  }
  if (aAnswer.statedVersion_ != aSub.version_) {
    return false;
  }
  if (aSub.owner_.kind_ == OwnerKind::Query) {
    const Query* query = FindSlot(aState.queries_, aSub.owner_.key_);
    return query == nullptr ||
           query->version_->shards_[aSub.owner_.shard_].name_ ==
             aAnswer.statedShard_;
  }
  const RelayedRun* run = FindSlot(aState.relayed_, aSub.owner_.key_);
  return run == nullptr || run->request_.shard_ == aAnswer.statedShard_;
}

void
NoteOutcome(Step& aStep, const Sub& aSub, SubEnd aEnd)
{
  const Duration time = aStep.now_.mono_ - aSub.sentAt_;
  ServerState& server = aStep.state_.servers_[aSub.server_];
  const bool wanted = aSub.owner_.kind_ != OwnerKind::None;
  switch (aEnd) {
    case SubEnd::Ok:
    case SubEnd::Rejected:
      NoteGood(aStep, aSub, time);
      break;
    case SubEnd::Refused:
      NoteShed(aStep, aSub.server_);
      break;
    case SubEnd::WrongVersion:
      NoteLacked(server, aSub.version_, aStep.now_.mono_);
      break;
    case SubEnd::Failed:
    case SubEnd::Corrupt:
    case SubEnd::Lost:
      // A cancelled request may end in any way.
      if (wanted) {
        NoteFailure(aStep, aSub.server_);
      } else {
        NoteSlow(aStep, aSub.server_, time);
      }
      break;
    default:
      break;
  }
}

void
TellOwner(Step& aStep, const Sub& aSub, SubEnd aEnd, const SharedText& aBody)
{
  switch (aSub.owner_.kind_) {
    case OwnerKind::Query:
      OnShardEnd(aStep, aSub, aEnd, aBody);
      break;
    case OwnerKind::Dispatch:
      OnOrderEnd(aStep, aSub, aEnd, aBody);
      break;
    case OwnerKind::Relayed:
      OnRelayedEnd(aStep, aSub, aEnd, aBody);
      break;
    default:
      if (IsWork(aSub.kind_)) {
        ++aStep.state_.stats_.late_;
      }
      break;
  }
}

SubEnd
JudgeAnswer(Step& aStep, const Sub& aSub, const SubAnswer& aAnswer)
{
  if (aAnswer.status_ != SubStatus::Ok) {
    return EndOf(aAnswer.status_);
  }
  if (LabelsMatch(aStep.state_, aSub, aAnswer)) {
    return SubEnd::Ok;
  }
  ++aStep.state_.stats_.discarded_;
  aStep.out_.emplace_back(
    TimelineRecord{ TimelineKind::SubDiscarded,
                    0,
                    aStep.state_.servers_[aSub.server_].spec_.name_,
                    aSub.key_,
                    "labels differ from the request" });
  return SubEnd::Corrupt;
}

SubEnd
EndOfBroken(const ConnectionEnded& aEvent)
{
  // A server over its cap says in its first bytes that nothing ran.
  if (aEvent.reason_ == ConnectionEnd::OverCap || !aEvent.requestSent_) {
    return SubEnd::NotSent;
  }
  return aEvent.reason_ == ConnectionEnd::TimedOut ? SubEnd::Silent
                                                   : SubEnd::Lost;
}

} // namespace

std::uint64_t
SendSub(Step& aStep, const SubPlan& aPlan)
{
  if (!aStep.state_.servers_[aPlan.server_].home_) {
    Sub& sub = MakeSub(aStep, aPlan);
    const std::uint64_t key = sub.key_;
    RelaySub(aStep, sub, MakeRequest(aStep, aPlan, sub));
    ArmSubTimer(aStep, sub);
    return key;
  }
  Connection* connection = FindIdle(aStep.state_, aPlan.server_);
  if (connection == nullptr) {
    return 0;
  }
  SendOn(aStep, aPlan, *connection);
  return connection->sub_;
}

void
SendHealth(Step& aStep, Connection& aConnection)
{
  SubPlan plan;
  plan.kind_ = SubKind::Health;
  plan.server_ = aConnection.server_;
  plan.deadline_ = aStep.now_.mono_ + kHealthTimeout;
  ++aStep.state_.stats_.healthChecks_;
  SendOn(aStep, plan, aConnection);
}

void
AbandonSub(Step& aStep, std::uint64_t aSub, bool aCancel)
{
  Sub* sub = FindSlot(aStep.state_.subs_, aSub);
  if (sub == nullptr) {
    return;
  }
  sub->owner_ = {};
  if (!aCancel || sub->connection_ == 0) {
    return;
  }
  const ServerIndex server = sub->server_;
  if (FindIdle(aStep.state_, server) == nullptr) {
    return;
  }
  SubPlan plan;
  plan.kind_ = SubKind::Cancel;
  plan.server_ = server;
  plan.cancels_ = { aSub };
  plan.deadline_ = aStep.now_.mono_ + kHealthTimeout;
  ++aStep.state_.stats_.cancels_;
  SendSub(aStep, plan);
}

void
TakeAnswer(Step& aStep, const SubAnswer& aAnswer)
{
  Sub* found = FindSlot(aStep.state_.subs_, aAnswer.id_.value_);
  if (found == nullptr || found->connection_ != aAnswer.connection_.value_) {
    ++aStep.state_.stats_.discarded_;
    return;
  }
  const Sub sub = *found;
  ServerState& server = aStep.state_.servers_[sub.server_];
  server.newestAnswered_ = std::max(server.newestAnswered_, sub.sentAt_);
  const SubEnd end = JudgeAnswer(aStep, sub, aAnswer);
  if (sub.kind_ == SubKind::Health) {
    NoteHealth(aStep, sub.server_, aAnswer);
  } else {
    NoteReport(aStep, sub.server_, aAnswer);
  }
  const bool reusable = end != SubEnd::Corrupt && !aAnswer.closing_;
  ReleaseConn(aStep, sub.connection_, reusable);
  EndSub(aStep, sub.key_, end, aAnswer.body_);
}

void
TakeRelayedAnswer(Step& aStep, const SubAnswer& aAnswer)
{
  const Sub* found = FindSlot(aStep.state_.subs_, aAnswer.id_.value_);
  if (found == nullptr || found->connection_ != 0) {
    ++aStep.state_.stats_.late_;
    return;
  }
  const Sub sub = *found;
  EndSub(aStep, sub.key_, JudgeAnswer(aStep, sub, aAnswer), aAnswer.body_);
}

void
TakeNotSent(Step& aStep, const SubNotSent& aEvent)
{
  const Sub* found = FindSlot(aStep.state_.subs_, aEvent.id_.value_);
  if (found == nullptr) {
    return;
  }
  ReleaseConn(aStep, found->connection_, true);
  EndSub(aStep, aEvent.id_.value_, SubEnd::Expired, nullptr);
}

void
TakeConnectionEnd(Step& aStep, const ConnectionEnded& aEvent)
{
  Connection* connection =
    FindSlot(aStep.state_.connections_, aEvent.id_.value_);
  if (connection == nullptr) {
    return;
  }
  const std::uint64_t key = connection->sub_;
  const ServerIndex server = connection->server_;
  NoteBroken(aStep, *connection, aEvent);
  NoteEnded(aStep, aEvent);
  const Sub* sub = FindSlot(aStep.state_.subs_, key);
  if (sub != nullptr && sub->connection_ == aEvent.id_.value_) {
    EndSub(aStep, key, EndOfBroken(aEvent), nullptr);
  }
  if (aEvent.wasOpen_ && aEvent.reason_ == ConnectionEnd::Reset) {
    OpenUpTo(aStep, server, kWarmConnections);
  }
}

void
EndSub(Step& aStep, std::uint64_t aSub, SubEnd aEnd, const SharedText& aBody)
{
  Sub* found = FindSlot(aStep.state_.subs_, aSub);
  if (found == nullptr) {
    return;
  }
  // Copied: the owner may send more, which moves the pool.
  const Sub sub = *found;
  FreeSlot(aStep.state_.subs_, *found);
  if (IsWork(sub.kind_)) {
    ServerState& server = aStep.state_.servers_[sub.server_];
    --server.inFlight_;
    if (sub.exclusive_) {
      server.exclusive_ = false;
    }
    MarkService(aStep.state_, server.service_);
    NoteOutcome(aStep, sub, aEnd);
    NoteRun(aStep, sub, aEnd);
  }
  TellOwner(aStep, sub, aEnd, aBody);
}

void
MarkService(RouteState& aState, ServiceIndex aService)
{
  if (aService == kNoIndex || aState.services_[aService].marked_) {
    return;
  }
  aState.services_[aService].marked_ = true;
  aState.marked_.push_back(aService);
}

} // namespace camphorfield
