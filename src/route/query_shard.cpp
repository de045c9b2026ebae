// Shards of a query: queueing, sending, retries on other servers within the
// retry budget, and restart of the query when no server has its snapshot.
#include "route/budget.h"
#include "route/quarantine.h"
#include "route/query_cmd.h"
#include "route/query_internal.h"
#include "route/server_choice.h"
#include "route/server_health.h"
#include "route/sub_owner.h"

#include <algorithm>

namespace camphorfield {

namespace {

void
CountAttempt(Step& aStep, const Query& aQuery, const ShardRun& aRun)
{
  if (aRun.attempts_ > 0) {
    return;
  }
  ++aStep.state_.stats_.primaries_;
  LimitsState& limits = aStep.state_.limits_[aQuery.route_->limitsIndex_];
  EarnTokens(limits, aQuery.route_->limits_);
}

void
SendShard(Step& aStep,
          Query& aQuery,
          std::uint32_t aShard,
          const Choice& aChoice,
          bool aIsolated)
{
  SubPlan plan = PlanOf(aQuery, aShard, aChoice.server_);
  plan.probe_ = aChoice.probe_;
  plan.exclusive_ = aIsolated;
  ShardRun& run = aQuery.shards_[aShard];
  CountAttempt(aStep, aQuery, run);
  run.primary_ = SendSub(aStep, plan);
  run.phase_ = ShardPhase::Running;
  run.queued_ = false;
  ++run.attempts_;
  aQuery.sent_ = true;
  if (aIsolated) {
    RecordTrial(aStep.state_, aQuery.fingerprint_, run.primary_);
  }
  if (aQuery.traced_) {
    TraceSub(aStep,
             aQuery,
             TimelineKind::SubSent,
             aChoice.server_,
             run.primary_,
             aChoice.probe_ ? "probe" : "");
  }
}

UncoveredReason
ReasonOf(SubOutcome aOutcome)
{
  switch (aOutcome) {
    case SubOutcome::Refused:
    case SubOutcome::NotRun:
    case SubOutcome::Rejected:
      return UncoveredReason::Refused;
    case SubOutcome::WrongVersion:
      return UncoveredReason::WrongVersion;
    case SubOutcome::Corrupt:
      return UncoveredReason::Corrupt;
    case SubOutcome::Failed:
    case SubOutcome::Lost:
      return UncoveredReason::Failed;
    default:
      return UncoveredReason::Timeout;
  }
}

bool
MayHaveRun(SubOutcome aOutcome)
{
  return aOutcome == SubOutcome::Failed || aOutcome == SubOutcome::Corrupt ||
         aOutcome == SubOutcome::Lost || aOutcome == SubOutcome::Silent;
}

Duration
RetryDelayAfter(SubOutcome aOutcome)
{
  switch (aOutcome) {
    case SubOutcome::Refused:
    case SubOutcome::NotRun:
    case SubOutcome::NotSent:
      return kRefusedPause;
    // After this delay it is known whether the server crashed.
    case SubOutcome::Lost:
      return kResetRetryDelay;
    default:
      return Duration::zero();
  }
}

void
RetryShard(Step& aStep,
           Query& aQuery,
           std::uint32_t aShard,
           const Sub& aSub,
           SubOutcome aOutcome)
{
  ShardRun& run = aQuery.shards_[aShard];
  RouteStats& stats = aStep.state_.stats_;
  const TimePoint now = aStep.now_.mono_;
  run.phase_ = ShardPhase::Waiting;
  if (aOutcome != SubOutcome::NotSent) {
    AddTried(run, aSub.server_);
  }
  const bool late = now + kRetryMargin >= aQuery.deadline_;
  if (late || aOutcome == SubOutcome::Rejected ||
      aOutcome == SubOutcome::Expired || run.attempts_ >= kMaxAttempts) {
    GiveUpShard(aStep, aQuery, aShard, run.reason_);
    return;
  }
  LimitsState& limits = aStep.state_.limits_[aQuery.route_->limitsIndex_];
  const bool needsToken =
    MayHaveRun(aOutcome) || aOutcome == SubOutcome::Refused;
  if (needsToken && !SpendRetry(limits)) {
    GiveUpShard(aStep, aQuery, aShard, run.reason_);
    return;
  }
  stats.retries_ += needsToken ? 1 : 0;
  stats.retriesNotRun_ += needsToken ? 0 : 1;
  TraceSub(aStep,
           aQuery,
           TimelineKind::SubRetried,
           aSub.server_,
           aSub.key_,
           MayHaveRun(aOutcome) ? "failed" : "not run");
  const Duration pause = RetryDelayAfter(aOutcome);
  if (pause > Duration::zero()) {
    AddTimer(aStep.state_.timers_,
             { now + pause, aQuery.key_, aShard, TimerKind::ShardRetry });
    return;
  }
  EnqueueShard(aStep, aQuery, aShard);
}

void
CoverShard(Step& aStep,
           Query& aQuery,
           std::uint32_t aShard,
           const Sub& aSub,
           const SharedText& aBody)
{
  ShardRun& run = aQuery.shards_[aShard];
  run.phase_ = ShardPhase::Covered;
  run.body_ = aBody;
  --aQuery.open_;
  ++aQuery.covered_;
  aStep.state_.stats_.hedgesWon_ += aSub.hedge_ ? 1 : 0;
  if (aQuery.traced_) {
    TraceSub(
      aStep, aQuery, TimelineKind::SubAnswered, aSub.server_, aSub.key_, "");
  }
  const std::uint64_t loser = run.primary_ != 0 ? run.primary_ : run.hedge_;
  run.primary_ = 0;
  run.hedge_ = 0;
  if (loser != 0) {
    AbandonSub(aStep, loser, true);
  }
  FinishIfReady(aStep, aQuery);
}

TaskResult
HandleNoServer(Step& aStep,
               Query& aQuery,
               std::uint32_t aShard,
               UncoveredReason aReason)
{
  const ShardRun& run = aQuery.shards_[aShard];
  if (aReason == UncoveredReason::WrongVersion && RestartQuery(aStep, aQuery)) {
    return TaskResult::Done;
  }
  // The failure of an earlier attempt is more useful than "no replica".
  const bool failedBefore =
    run.attempts_ > 0 && aReason == UncoveredReason::NoReplica;
  GiveUpShard(aStep, aQuery, aShard, failedBefore ? run.reason_ : aReason);
  return TaskResult::Done;
}

} // namespace

void
EnqueueShard(Step& aStep, Query& aQuery, std::uint32_t aShard)
{
  RouteState& state = aStep.state_;
  const ServiceIndex service = aQuery.version_->shards_[aShard].service_;
  Task task;
  task.owner_ = { OwnerKind::Query, aQuery.round_, aShard, aQuery.key_ };
  task.tag_ = aQuery.tag_;
  task.sequence_ = ++state.taskSequence_;
  task.priority_ = aQuery.route_->spec_.priority_;
  aQuery.shards_[aShard].queued_ = true;
  if (task.priority_ == Priority::Interactive) {
    state.services_[service].interactiveAt_ = aStep.now_.mono_;
  }
  PushTask(state.services_[service].queue_, task);
  MarkService(state, service);
}

void
EnqueueShards(Step& aStep, Query& aQuery)
{
  const std::size_t count = aQuery.version_->shards_.size();
  aQuery.shards_.assign(count, ShardRun{});
  aQuery.open_ = static_cast<std::uint32_t>(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    EnqueueShard(aStep, aQuery, i);
  }
}

void
ReleaseShards(Step& aStep, Query& aQuery)
{
  RouteState& state = aStep.state_;
  const Priority priority = aQuery.route_->spec_.priority_;
  for (std::size_t i = 0; i < aQuery.shards_.size(); ++i) {
    ShardRun& run = aQuery.shards_[i];
    if (run.queued_) {
      const ServiceIndex service = aQuery.version_->shards_[i].service_;
      DecrementLive(state.services_[service].queue_, priority);
      run.queued_ = false;
    }
    AbandonSub(aStep, run.primary_, true);
    AbandonSub(aStep, run.hedge_, true);
    run.primary_ = 0;
    run.hedge_ = 0;
  }
  aQuery.shards_.clear();
}

void
GiveUpShard(Step& aStep,
            Query& aQuery,
            std::uint32_t aShard,
            UncoveredReason aReason)
{
  ShardRun& run = aQuery.shards_[aShard];
  run.phase_ = ShardPhase::Uncovered;
  run.reason_ = aReason;
  run.queued_ = false;
  --aQuery.open_;
  FinishIfReady(aStep, aQuery);
}

void
ResumeShard(Step& aStep, std::uint64_t aQuery, std::uint32_t aShard)
{
  Query* query = FindSlot(aStep.state_.queries_, aQuery);
  if (query == nullptr || aShard >= query->shards_.size()) {
    return;
  }
  const ShardRun& run = query->shards_[aShard];
  if (run.phase_ != ShardPhase::Waiting) {
    return;
  }
  if (run.queued_) {
    MarkService(aStep.state_, query->version_->shards_[aShard].service_);
    return;
  }
  EnqueueShard(aStep, *query, aShard);
}

bool
IsShardWaiting(RouteState& aState, const Task& aTask)
{
  const Query* query = FindSlot(aState.queries_, aTask.owner_.key_);
  return query != nullptr && aTask.owner_.round_ == query->round_ &&
         aTask.owner_.shard_ < query->shards_.size() &&
         query->shards_[aTask.owner_.shard_].queued_;
}

TaskResult
RunShardTask(Step& aStep, const Task& aTask)
{
  RouteState& state = aStep.state_;
  Query& query = *FindSlot(state.queries_, aTask.owner_.key_);
  const std::uint32_t shard = aTask.owner_.shard_;
  query.shards_[shard].queued_ = false;
  const SuspectVerdict verdict =
    CheckContent(state, query.fingerprint_, aStep.now_);
  if (verdict == SuspectVerdict::Refused) {
    GiveUpShard(aStep, query, shard, UncoveredReason::Failed);
    return TaskResult::Done;
  }
  if (verdict == SuspectVerdict::Wait) {
    query.shards_[shard].queued_ = true;
    return TaskResult::Blocked;
  }
  ChoiceDemand demand = DemandOf(query, shard);
  demand.alone_ = verdict == SuspectVerdict::Trial;
  const Choice choice = ChooseServer(aStep, demand);
  if (choice.state_ == ChoiceState::None) {
    return HandleNoServer(aStep, query, shard, choice.reason_);
  }
  if (choice.state_ == ChoiceState::Busy) {
    query.shards_[shard].queued_ = true;
    return choice.anyFree_ ? TaskResult::Blocked : TaskResult::Busy;
  }
  state.virtualTime_ = std::max(state.virtualTime_, aTask.tag_);
  SendShard(aStep, query, shard, choice, demand.alone_);
  return TaskResult::Done;
}

void
OnShardEnd(Step& aStep,
           const Sub& aSub,
           SubOutcome aOutcome,
           const SharedText& aBody)
{
  Query* query = FindSlot(aStep.state_.queries_, aSub.owner_.key_);
  const std::uint32_t shard = aSub.owner_.shard_;
  if (query == nullptr || shard >= query->shards_.size()) {
    ++aStep.state_.stats_.late_;
    return;
  }
  ShardRun& run = query->shards_[shard];
  if (run.primary_ != aSub.key_ && run.hedge_ != aSub.key_) {
    ++aStep.state_.stats_.late_;
    return;
  }
  (run.primary_ == aSub.key_ ? run.primary_ : run.hedge_) = 0;
  if (aOutcome == SubOutcome::Ok) {
    CoverShard(aStep, *query, shard, aSub, aBody);
    return;
  }
  run.reason_ = ReasonOf(aOutcome);
  run.silent_ += aOutcome == SubOutcome::Silent ? 1 : 0;
  // The other attempt may still answer.
  if (run.primary_ != 0 || run.hedge_ != 0) {
    return;
  }
  RetryShard(aStep, *query, shard, aSub, aOutcome);
}

} // namespace camphorfield
