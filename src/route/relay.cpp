// Relay through home daemons. In a large fleet the connection caps of the
// servers do not allow every daemon its own connections.
#include "route/relay.h"

#include "core/hash_func.h"
#include "route/quarantine.h"
#include "route/server_choice.h"
#include "route/server_health.h"
#include "route/sub_cmd.h"
#include "route/sub_owner.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Distinguishes call ids of relays from those of other packages. */
constexpr std::uint64_t kRelayCallBit = std::uint64_t{ 1 } << 62U;

const MemberRecord*
FindMember(const RouteState& aState, DaemonId aId)
{
  const auto found = aState.members_.find(aId);
  return found == aState.members_.end() ? nullptr : &found->second;
}

bool
IsBackedOff(const RouteState& aState, DaemonId aHome, TimePoint aNow)
{
  const auto found = aState.backedOffHomes_.find(aHome);
  return found != aState.backedOffHomes_.end() && found->second > aNow;
}

// Prefers home daemons that are not backed off, then those in the own failure
// domain. Among equals the choice is random, to spread the load of many
// daemons.
DaemonId
PickHome(Step& aStep, const ServerState& aServer)
{
  DaemonId best;
  std::uint64_t bestRank = 0;
  for (const DaemonId home : aServer.homes_) {
    const MemberRecord* member = FindMember(aStep.state_, home);
    if (member == nullptr) {
      continue;
    }
    std::uint64_t rank = aStep.rng_() >> 2U;
    if (!IsBackedOff(aStep.state_, home, aStep.now_.mono_)) {
      rank |= std::uint64_t{ 1 } << 63U;
    }
    if (member->failureDomain_ == aStep.state_.settings_.failureDomain_) {
      rank |= std::uint64_t{ 1 } << 62U;
    }
    if (rank >= bestRank) {
      best = home;
      bestRank = rank;
    }
  }
  return best;
}

void
SendTo(Step& aStep, DaemonId aTo, PeerBody aBody, PeerCallId aCall)
{
  const MemberRecord* member = FindMember(aStep.state_, aTo);
  const std::string address =
    member == nullptr ? std::string() : member->peerAddress_;
  aStep.out_.emplace_back(SendPeer{ aTo, address, std::move(aBody), aCall });
}

void
FlushOutbox(Step& aStep, DaemonId aHome, RelayOutbox& aOutbox)
{
  RouteState& state = aStep.state_;
  const PeerCallId call{ kRelayCallBit | ++state.nextCall_ };
  RelayBatch batch;
  batch.call_ = call;
  batch.subs_.reserve(aOutbox.subs_.size());
  for (std::size_t i = 0; i < aOutbox.subs_.size(); ++i) {
    Sub* sub = FindSlot(state.subs_, aOutbox.keys_[i]);
    if (sub == nullptr) {
      continue;
    }
    sub->call_ = call;
    RelayedSub& relayed = aOutbox.subs_[i];
    relayed.remaining_ = sub->deadline_ == kNever
                           ? Duration::zero()
                           : sub->deadline_ - aStep.now_.mono_;
    batch.subs_.push_back(std::move(relayed));
  }
  aOutbox.subs_.clear();
  aOutbox.keys_.clear();
  if (!batch.subs_.empty()) {
    ++state.stats_.relayBatches_;
    SendTo(aStep, aHome, std::move(batch), call);
  }
}

ServerIndex
FindServer(const RouteState& aState, const std::string& aName)
{
  const auto found = aState.serverByName_.find(aName);
  return found == aState.serverByName_.end() ? kNoIndex : found->second;
}

SubAnswer
MakeAnswer(const SubRequest& aRequest, SubStatus aStatus)
{
  SubAnswer answer;
  answer.id_ = aRequest.id_;
  answer.status_ = aStatus;
  answer.statedId_ = aRequest.id_;
  answer.statedShard_ = aRequest.shard_;
  answer.statedVersion_ = aRequest.version_;
  return answer;
}

void
QueueAnswer(Step& aStep, DaemonId aTo, PeerCallId aCall, SubAnswer aAnswer)
{
  aStep.state_.answerOutboxes_[aTo][aCall].push_back(std::move(aAnswer));
}

void
EndRelayed(Step& aStep,
           RelayedRun& aRun,
           SubStatus aStatus,
           const SharedText& aBody)
{
  SubAnswer answer = MakeAnswer(aRun.request_, aStatus);
  answer.body_ = aBody;
  if (aRun.server_ != kNoIndex) {
    const ServerState& server = aStep.state_.servers_[aRun.server_];
    answer.draining_ = IsLeaving(server);
  }
  QueueAnswer(aStep, aRun.from_, aRun.call_, std::move(answer));
  aRun.request_ = SubRequest{};
  FreeSlot(aStep.state_.relayed_, aRun);
}

void
StartRelayed(Step& aStep,
             DaemonId aFrom,
             PeerCallId aCall,
             const RelayedSub& aSub)
{
  RouteState& state = aStep.state_;
  const ServerIndex index = FindServer(state, aSub.server_);
  const bool refused = index == kNoIndex || !state.servers_[index].isHome_ ||
                       IsLeaving(state.servers_[index]) ||
                       IsRefusedContent(state, aSub.fingerprint_, aStep.now_);
  if (refused) {
    QueueAnswer(
      aStep, aFrom, aCall, MakeAnswer(aSub.request_, SubStatus::Refused));
    return;
  }
  RelayedRun& run = AllocateSlot(state.relayed_);
  run.from_ = aFrom;
  run.call_ = aCall;
  run.request_ = aSub.request_;
  run.server_ = index;
  run.service_ = state.servers_[index].service_;
  run.fingerprint_ = aSub.fingerprint_;
  run.deadline_ = aSub.remaining_ > Duration::zero()
                    ? aStep.now_.mono_ + aSub.remaining_
                    : kNever;
  run.sub_ = 0;
  run.queued_ = true;
  ++state.stats_.relayServed_;
  AddTimer(state.timers_,
           { run.deadline_, run.key_, 0, TimerKind::RelayedEnd });
  Task task;
  task.owner_ = { OwnerKind::Relayed, 0, 0, run.key_ };
  task.tag_ = state.virtualTime_;
  task.sequence_ = ++state.taskSequence_;
  PushTask(state.services_[run.service_].queue_, task);
  MarkService(state, run.service_);
}

SubStatus
StatusOf(SubOutcome aOutcome)
{
  switch (aOutcome) {
    case SubOutcome::Ok:
      return SubStatus::Ok;
    case SubOutcome::Refused:
      return SubStatus::Refused;
    case SubOutcome::WrongVersion:
      return SubStatus::WrongVersion;
    case SubOutcome::NotRun:
    case SubOutcome::NotSent:
    case SubOutcome::Expired:
      return SubStatus::NotRun;
    case SubOutcome::Rejected:
      return SubStatus::Rejected;
    case SubOutcome::Corrupt:
      return SubStatus::Corrupt;
    default:
      return SubStatus::Failed;
  }
}

} // namespace

void
RelaySub(Step& aStep, Sub& aSub, SubRequest aRequest)
{
  RouteState& state = aStep.state_;
  const ServerState& server = state.servers_[aSub.server_];
  aSub.home_ = PickHome(aStep, server);
  ++state.stats_.relayed_;
  RelayOutbox& outbox = state.outboxes_[aSub.home_];
  RelayedSub relayed;
  relayed.request_ = std::move(aRequest);
  relayed.server_ = server.spec_.name_;
  relayed.fingerprint_ = aSub.fingerprint_;
  outbox.subs_.push_back(std::move(relayed));
  outbox.keys_.push_back(aSub.key_);
  if (outbox.subs_.size() == 1) {
    AddTimer(state.timers_,
             { aStep.now_.mono_ + kRelayWindow, 0, 0, TimerKind::RelayFlush });
  }
  if (outbox.subs_.size() >= kRelayBatchMax) {
    FlushOutbox(aStep, aSub.home_, outbox);
  }
}

void
FlushRelays(Step& aStep)
{
  for (auto& [home, outbox] : aStep.state_.outboxes_) {
    if (!outbox.subs_.empty()) {
      FlushOutbox(aStep, home, outbox);
    }
  }
}

void
FlushRelayAnswers(Step& aStep)
{
  if (aStep.state_.answerOutboxes_.empty()) {
    return;
  }
  for (auto& [to, calls] : aStep.state_.answerOutboxes_) {
    for (auto& [call, answers] : calls) {
      RelayAnswers message{ call, std::move(answers) };
      SendTo(aStep, to, std::move(message), {});
    }
  }
  aStep.state_.answerOutboxes_.clear();
}

void
HandleRelayBatch(Step& aStep, DaemonId aFrom, const RelayBatch& aBatch)
{
  for (const RelayedSub& sub : aBatch.subs_) {
    StartRelayed(aStep, aFrom, aBatch.call_, sub);
  }
}

void
HandleRelayAnswers(Step& aStep, DaemonId aFrom, const RelayAnswers& aAnswers)
{
  for (const SubAnswer& answer : aAnswers.answers_) {
    const Sub* sub = FindSlot(aStep.state_.subs_, answer.id_.value_);
    if (sub != nullptr && sub->home_ == aFrom) {
      HandleRelayedAnswer(aStep, answer);
    }
  }
}

void
BackOffHome(Step& aStep, DaemonId aHome)
{
  aStep.state_.backedOffHomes_[aHome] = aStep.now_.mono_ + kRelayBackoff;
}

void
HandleHomeUnreachable(Step& aStep, const PeerUnreachable& aEvent)
{
  RouteState& state = aStep.state_;
  if ((aEvent.call_.value_ & kRelayCallBit) == 0) {
    return;
  }
  BackOffHome(aStep, aEvent.to_);
  std::vector<std::uint64_t> lost;
  for (const Sub& sub : state.subs_.slots_) {
    if (sub.key_ != 0 && sub.call_ == aEvent.call_) {
      lost.push_back(sub.key_);
    }
  }
  for (const std::uint64_t key : lost) {
    const Sub* sub = FindSlot(state.subs_, key);
    if (sub == nullptr) {
      continue;
    }
    // The message may have arrived all the same, so an order may have run.
    const bool order = sub->kind_ == SubKind::Order;
    EndSub(
      aStep, key, order ? SubOutcome::Silent : SubOutcome::NotSent, nullptr);
  }
}

void
ExpireRelayed(Step& aStep, std::uint64_t aKey)
{
  RelayedRun* run = FindSlot(aStep.state_.relayed_, aKey);
  if (run == nullptr || run->sub_ != 0) {
    return;
  }
  if (run->queued_) {
    DecrementLive(aStep.state_.services_[run->service_].queue_,
                  Priority::Normal);
    run->queued_ = false;
  }
  EndRelayed(aStep, *run, SubStatus::NotRun, nullptr);
}

bool
IsRelayedWaiting(RouteState& aState, const Task& aTask)
{
  const RelayedRun* run = FindSlot(aState.relayed_, aTask.owner_.key_);
  return run != nullptr && run->queued_;
}

TaskResult
RunRelayedTask(Step& aStep, const Task& aTask)
{
  RouteState& state = aStep.state_;
  RelayedRun& run = *FindSlot(state.relayed_, aTask.owner_.key_);
  const SuspectVerdict verdict =
    CheckContent(state, run.fingerprint_, aStep.now_);
  ChoiceDemand demand;
  demand.service_ = run.service_;
  demand.version_ = run.request_.version_;
  demand.only_ = run.server_;
  demand.alone_ = verdict == SuspectVerdict::Trial;
  const Choice choice = ChooseServer(aStep, demand);
  const bool home = state.servers_[run.server_].isHome_;
  run.queued_ = false;
  if (choice.state_ == ChoiceState::None || !home ||
      verdict == SuspectVerdict::Refused) {
    const bool wrong = choice.reason_ == UncoveredReason::WrongVersion;
    EndRelayed(aStep,
               run,
               wrong ? SubStatus::WrongVersion : SubStatus::Refused,
               nullptr);
    return TaskResult::Done;
  }
  if (choice.state_ == ChoiceState::Busy || verdict == SuspectVerdict::Wait) {
    run.queued_ = true;
    return TaskResult::Blocked;
  }
  SubPlan plan;
  plan.kind_ = run.request_.kind_;
  plan.owner_ = { OwnerKind::Relayed, 0, 0, run.key_ };
  plan.server_ = run.server_;
  plan.shard_ = run.request_.shard_;
  plan.version_ = run.request_.version_;
  plan.key_ = run.request_.key_;
  plan.deadline_ = run.deadline_;
  plan.body_ = run.request_.body_;
  plan.fingerprint_ = run.fingerprint_;
  plan.probe_ = choice.probe_;
  plan.exclusive_ = demand.alone_;
  run.sub_ = SendSub(aStep, plan);
  if (demand.alone_) {
    RecordTrial(state, run.fingerprint_, run.sub_);
  }
  return TaskResult::Done;
}

void
OnRelayedEnd(Step& aStep,
             const Sub& aSub,
             SubOutcome aOutcome,
             const SharedText& aBody)
{
  RelayedRun* run = FindSlot(aStep.state_.relayed_, aSub.owner_.key_);
  if (run == nullptr || run->sub_ != aSub.key_) {
    return;
  }
  EndRelayed(aStep, *run, StatusOf(aOutcome), aBody);
}

} // namespace camphorfield
