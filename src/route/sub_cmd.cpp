// Sub-requests: sending, matching of answers and outcome. An answer that
// belongs to another request is discarded and its connection closed.
#include "route/sub_cmd.h"

#include "route/conn_pool.h"
#include "route/quarantine.h"
#include "route/relay.h"
#include "route/server_health.h"
#include "route/sub_owner.h"
#include "route/sub_timer.h"

#include <algorithm>

namespace camphorfield {

namespace {

bool
IsQueryOrOrder(SubKind aKind)
{
  return aKind == SubKind::Query || aKind == SubKind::Order;
}

SubOutcome
OutcomeOf(SubStatus aStatus)
{
  switch (aStatus) {
    case SubStatus::Ok:
      return SubOutcome::Ok;
    case SubStatus::Refused:
      return SubOutcome::Refused;
    case SubStatus::WrongVersion:
      return SubOutcome::WrongVersion;
    case SubStatus::NotRun:
      return SubOutcome::NotRun;
    case SubStatus::Rejected:
      return SubOutcome::Rejected;
    case SubStatus::Corrupt:
      return SubOutcome::Corrupt;
    default:
      return SubOutcome::Failed;
  }
}

void
AddInFlight(Step& aStep, Sub& aSub)
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
  sub.keepUntilDeadline_ = aPlan.keepUntilDeadline_;
  if (IsQueryOrOrder(sub.kind_)) {
    AddInFlight(aStep, sub);
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
SendOnConnection(Step& aStep, const SubPlan& aPlan, Connection& aConnection)
{
  Sub& sub = MakeSub(aStep, aPlan);
  sub.connection_ = aConnection.key_;
  aConnection.state_ = ConnState::Busy;
  aConnection.sub_ = sub.key_;
  aStep.out_.emplace_back(MakeRequest(aStep, aPlan, sub));
  ArmSubTimer(aStep, sub);
}

/** Check id, shard and version in an answer against those of the request. */
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
RecordOutcome(Step& aStep, const Sub& aSub, SubOutcome aOutcome)
{
  const Duration time = aStep.now_.mono_ - aSub.sentAt_;
  ServerState& server = aStep.state_.servers_[aSub.server_];
  const bool wanted = aSub.owner_.kind_ != OwnerKind::None;
  switch (aOutcome) {
    case SubOutcome::Ok:
    case SubOutcome::Rejected:
      RecordGoodAnswer(aStep, aSub, time);
      break;
    case SubOutcome::Refused:
      RecordShed(aStep, aSub.server_);
      break;
    case SubOutcome::WrongVersion:
      RecordMissingVersion(server, aSub.version_, aStep.now_.mono_);
      break;
    case SubOutcome::Failed:
    case SubOutcome::Corrupt:
    case SubOutcome::Lost:
      // A cancelled request may end in any way, which is no failure.
      if (wanted) {
        RecordFailure(aStep, aSub.server_);
      } else {
        RecordSlowAttempt(aStep, aSub.server_, time);
      }
      break;
    default:
      break;
  }
}

void
NotifyOwner(Step& aStep,
            const Sub& aSub,
            SubOutcome aOutcome,
            const SharedText& aBody)
{
  switch (aSub.owner_.kind_) {
    case OwnerKind::Query:
      OnShardEnd(aStep, aSub, aOutcome, aBody);
      break;
    case OwnerKind::Dispatch:
      OnOrderEnd(aStep, aSub, aOutcome, aBody);
      break;
    case OwnerKind::Relayed:
      OnRelayedEnd(aStep, aSub, aOutcome, aBody);
      break;
    default:
      if (IsQueryOrOrder(aSub.kind_)) {
        ++aStep.state_.stats_.late_;
      }
      break;
  }
}

SubOutcome
ClassifyAnswer(Step& aStep, const Sub& aSub, const SubAnswer& aAnswer)
{
  if (aAnswer.status_ != SubStatus::Ok) {
    return OutcomeOf(aAnswer.status_);
  }
  if (LabelsMatch(aStep.state_, aSub, aAnswer)) {
    return SubOutcome::Ok;
  }
  ++aStep.state_.stats_.discarded_;
  aStep.out_.emplace_back(
    TimelineRecord{ TimelineKind::SubDiscarded,
                    0,
                    aStep.state_.servers_[aSub.server_].spec_.name_,
                    aSub.key_,
                    "labels differ from the request" });
  return SubOutcome::Corrupt;
}

SubOutcome
OutcomeOfBroken(const ConnectionEnded& aEvent)
{
  // A server at its cap states so before it runs anything.
  if (aEvent.reason_ == ConnectionEnd::OverCap || !aEvent.requestSent_) {
    return SubOutcome::NotSent;
  }
  return aEvent.reason_ == ConnectionEnd::TimedOut ? SubOutcome::Silent
                                                   : SubOutcome::Lost;
}

} // namespace

std::uint64_t
SendSub(Step& aStep, const SubPlan& aPlan)
{
  if (!aStep.state_.servers_[aPlan.server_].isHome_) {
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
  SendOnConnection(aStep, aPlan, *connection);
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
  SendOnConnection(aStep, plan, aConnection);
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
HandleAnswer(Step& aStep, const SubAnswer& aAnswer)
{
  Sub* found = FindSlot(aStep.state_.subs_, aAnswer.id_.value_);
  if (found == nullptr || found->connection_ != aAnswer.connection_.value_) {
    ++aStep.state_.stats_.discarded_;
    return;
  }
  const Sub sub = *found;
  ServerState& server = aStep.state_.servers_[sub.server_];
  server.lastAnsweredSentAt_ =
    std::max(server.lastAnsweredSentAt_, sub.sentAt_);
  const SubOutcome end = ClassifyAnswer(aStep, sub, aAnswer);
  if (sub.kind_ == SubKind::Health) {
    ApplyHealthAnswer(aStep, sub.server_, aAnswer);
  } else {
    ApplyAnswerHeaders(aStep, sub.server_, aAnswer);
  }
  const bool reusable = end != SubOutcome::Corrupt && !aAnswer.closing_;
  ReleaseConn(aStep, sub.connection_, reusable);
  EndSub(aStep, sub.key_, end, aAnswer.body_);
}

void
HandleRelayedAnswer(Step& aStep, const SubAnswer& aAnswer)
{
  const Sub* found = FindSlot(aStep.state_.subs_, aAnswer.id_.value_);
  if (found == nullptr || found->connection_ != 0) {
    ++aStep.state_.stats_.late_;
    return;
  }
  const Sub sub = *found;
  EndSub(aStep, sub.key_, ClassifyAnswer(aStep, sub, aAnswer), aAnswer.body_);
}

void
HandleNotSent(Step& aStep, const SubNotSent& aEvent)
{
  const Sub* found = FindSlot(aStep.state_.subs_, aEvent.id_.value_);
  if (found == nullptr) {
    return;
  }
  ReleaseConn(aStep, found->connection_, true);
  EndSub(aStep, aEvent.id_.value_, SubOutcome::Expired, nullptr);
}

void
HandleConnectionEnd(Step& aStep, const ConnectionEnded& aEvent)
{
  Connection* connection =
    FindSlot(aStep.state_.connections_, aEvent.id_.value_);
  if (connection == nullptr) {
    return;
  }
  const std::uint64_t key = connection->sub_;
  const ServerIndex server = connection->server_;
  RecordConnectionBreak(aStep, *connection, aEvent);
  RecordEnded(aStep, aEvent);
  const Sub* sub = FindSlot(aStep.state_.subs_, key);
  if (sub != nullptr && sub->connection_ == aEvent.id_.value_) {
    EndSub(aStep, key, OutcomeOfBroken(aEvent), nullptr);
  }
  if (aEvent.wasOpen_ && aEvent.reason_ == ConnectionEnd::Reset) {
    OpenUpTo(aStep, server, kWarmConnections);
  }
}

void
EndSub(Step& aStep,
       std::uint64_t aSub,
       SubOutcome aOutcome,
       const SharedText& aBody)
{
  Sub* found = FindSlot(aStep.state_.subs_, aSub);
  if (found == nullptr) {
    return;
  }
  // Copied: the owner may send more, which may reallocate the pool.
  const Sub sub = *found;
  FreeSlot(aStep.state_.subs_, *found);
  if (IsQueryOrOrder(sub.kind_)) {
    ServerState& server = aStep.state_.servers_[sub.server_];
    --server.inFlight_;
    if (sub.exclusive_) {
      server.exclusive_ = false;
    }
    MarkService(aStep.state_, server.service_);
    RecordOutcome(aStep, sub, aOutcome);
    RecordRunOutcome(aStep, sub, aOutcome);
  }
  NotifyOwner(aStep, sub, aOutcome, aBody);
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
