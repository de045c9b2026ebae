// Dispatch of orders. An order is sent again only when it is certain that it
// did not run; after a failure or a lost connection its outcome is unknown.
#include "route/order_run.h"

#include "route/quarantine.h"
#include "route/server_choice.h"
#include "route/sub_cmd.h"
#include "route/sub_owner.h"

#include <algorithm>

namespace camphorfield {

namespace {

void
EmitOutcome(Step& aStep,
            OrderDispatchId aId,
            DispatchState aState,
            ResultCode aReason,
            const SharedText& aBody)
{
  aStep.out_.emplace_back(OrderDispatched{ aId, aState, aReason, aBody });
}

void
EndOrder(Step& aStep,
         OrderRun& aRun,
         DispatchState aState,
         ResultCode aReason = ResultCode::OrderNotRun,
         const SharedText& aBody = nullptr)
{
  EmitOutcome(aStep, aRun.order_.id_, aState, aReason, aBody);
  aRun.order_ = DispatchOrder{};
  aRun.route_ = nullptr;
  FreeSlot(aStep.state_.orders_, aRun);
}

void
EnqueueOrder(Step& aStep, OrderRun& aRun)
{
  RouteState& state = aStep.state_;
  Task task;
  task.owner_ = { OwnerKind::Dispatch, 0, 0, aRun.key_ };
  task.tag_ = state.virtualTime_;
  task.sequence_ = ++state.taskSequence_;
  task.priority_ = aRun.route_->spec_.priority_;
  aRun.queued_ = true;
  PushTask(state.services_[aRun.route_->service_].queue_, task);
  MarkService(state, aRun.route_->service_);
}

void
RemoveFromQueue(Step& aStep, OrderRun& aRun)
{
  if (aRun.queued_) {
    aRun.queued_ = false;
    DecrementLive(aStep.state_.services_[aRun.route_->service_].queue_,
                  aRun.route_->spec_.priority_);
  }
}

SubPlan
PlanOf(const OrderRun& aRun, ServerIndex aServer)
{
  SubPlan plan;
  plan.kind_ = SubKind::Order;
  plan.owner_ = { OwnerKind::Dispatch, 0, 0, aRun.key_ };
  plan.server_ = aServer;
  plan.key_ = aRun.order_.key_;
  plan.deadline_ = aRun.order_.deadline_;
  plan.body_ = aRun.order_.body_;
  plan.fingerprint_ = aRun.fingerprint_;
  return plan;
}

void
RetryOrder(Step& aStep, OrderRun& aRun, const Sub& aSub, ResultCode aReason)
{
  const TimePoint now = aStep.now_.mono_;
  const bool full = aRun.tried_ == kMaxTried;
  if (full || now + kRetryMargin >= aRun.order_.deadline_) {
    EndOrder(aStep, aRun, DispatchState::NotRun, aReason);
    return;
  }
  aRun.triedServers_[aRun.tried_++] = aSub.server_;
  AddTimer(aStep.state_.timers_,
           { now + kRefusedPause, aRun.key_, 0, TimerKind::DispatchRetry });
}

} // namespace

void
StartOrder(Step& aStep, const DispatchOrder& aOrder)
{
  RouteState& state = aStep.state_;
  ++state.stats_.dispatches_;
  const auto notRun = [&](ResultCode aReason) {
    EmitOutcome(aStep, aOrder.id_, DispatchState::NotRun, aReason, nullptr);
  };
  if (state.config_ == nullptr) {
    return notRun(ResultCode::NotReady);
  }
  const auto found = state.config_->routes_.find(aOrder.route_);
  if (found == state.config_->routes_.end() ||
      found->second->service_ == kNoIndex) {
    return notRun(ResultCode::UnknownRoute);
  }
  if (aStep.now_.mono_ >= aOrder.deadline_) {
    return notRun(ResultCode::DeadlineTooShort);
  }
  const Fingerprint content =
    MakeFingerprint(aOrder.caller_, aOrder.route_, aOrder.body_);
  if (IsRefusedContent(state, content, aStep.now_)) {
    return notRun(ResultCode::Quarantined);
  }
  OrderRun& run = AllocateSlot(state.orders_);
  run.order_ = aOrder;
  run.route_ = found->second;
  run.fingerprint_ = content;
  run.sub_ = 0;
  run.tried_ = 0;
  if (aOrder.deadline_ != kNever) {
    AddTimer(state.timers_,
             { aOrder.deadline_, run.key_, 0, TimerKind::DispatchEnd });
  }
  EnqueueOrder(aStep, run);
}

void
ExpireOrder(Step& aStep, std::uint64_t aKey)
{
  OrderRun* run = FindSlot(aStep.state_.orders_, aKey);
  // An attempt in flight ends with its answer or with the connection timeout.
  if (run == nullptr || run->sub_ != 0) {
    return;
  }
  RemoveFromQueue(aStep, *run);
  EndOrder(aStep, *run, DispatchState::NotRun, ResultCode::DeadlineTooShort);
}

void
ResumeOrder(Step& aStep, std::uint64_t aKey)
{
  OrderRun* run = FindSlot(aStep.state_.orders_, aKey);
  if (run != nullptr && run->sub_ == 0 && !run->queued_) {
    EnqueueOrder(aStep, *run);
  }
}

bool
IsOrderWaiting(RouteState& aState, const Task& aTask)
{
  const OrderRun* run = FindSlot(aState.orders_, aTask.owner_.key_);
  return run != nullptr && run->queued_;
}

TaskResult
RunOrderTask(Step& aStep, const Task& aTask)
{
  RouteState& state = aStep.state_;
  OrderRun& run = *FindSlot(state.orders_, aTask.owner_.key_);
  const SuspectVerdict verdict =
    CheckContent(state, run.fingerprint_, aStep.now_);
  run.queued_ = false;
  if (verdict == SuspectVerdict::Refused) {
    EndOrder(aStep, run, DispatchState::NotRun, ResultCode::Quarantined);
    return TaskResult::Done;
  }
  ChoiceDemand demand;
  demand.service_ = run.route_->service_;
  demand.priority_ = run.route_->spec_.priority_;
  demand.tried_ = { run.triedServers_.data(), run.tried_ };
  demand.alone_ = verdict == SuspectVerdict::Trial;
  const Choice choice = ChooseServer(aStep, demand);
  if (choice.state_ == ChoiceState::None) {
    EndOrder(aStep, run, DispatchState::NotRun, ResultCode::NoReplica);
    return TaskResult::Done;
  }
  if (choice.state_ == ChoiceState::Busy || verdict == SuspectVerdict::Wait) {
    run.queued_ = true;
    return choice.anyFree_ ? TaskResult::Blocked : TaskResult::Busy;
  }
  SubPlan plan = PlanOf(run, choice.server_);
  plan.probe_ = choice.probe_;
  plan.exclusive_ = demand.alone_;
  run.sub_ = SendSub(aStep, plan);
  if (demand.alone_) {
    RecordTrial(state, run.fingerprint_, run.sub_);
  }
  aStep.out_.emplace_back(
    TimelineRecord{ TimelineKind::SubSent,
                    run.order_.request_.value_,
                    state.servers_[choice.server_].spec_.name_,
                    run.sub_,
                    "order" });
  return TaskResult::Done;
}

void
OnOrderEnd(Step& aStep,
           const Sub& aSub,
           SubOutcome aOutcome,
           const SharedText& aBody)
{
  OrderRun* run = FindSlot(aStep.state_.orders_, aSub.owner_.key_);
  if (run == nullptr || run->sub_ != aSub.key_) {
    return;
  }
  run->sub_ = 0;
  switch (aOutcome) {
    case SubOutcome::Ok:
      EndOrder(aStep, *run, DispatchState::Answered, ResultCode::Ok, aBody);
      break;
    case SubOutcome::Rejected:
      EndOrder(
        aStep, *run, DispatchState::Rejected, ResultCode::OrderRefused, aBody);
      break;
    case SubOutcome::Expired:
      EndOrder(
        aStep, *run, DispatchState::NotRun, ResultCode::DeadlineTooShort);
      break;
    // Not run: the server said so, or no byte was sent.
    case SubOutcome::Refused:
      RetryOrder(aStep, *run, aSub, ResultCode::Overloaded);
      break;
    case SubOutcome::NotRun:
    case SubOutcome::NotSent:
    case SubOutcome::WrongVersion:
      RetryOrder(aStep, *run, aSub, ResultCode::OrderNotRun);
      break;
    default:
      EndOrder(aStep, *run, DispatchState::Unknown, ResultCode::OutcomeUnknown);
      break;
  }
}

} // namespace camphorfield
