// Life cycle of queries. A query always gets one answer by its deadline:
// complete, partial with a reason for each uncovered shard, or a refusal.
#include "route/query_cmd.h"

#include "route/admission.h"
#include "route/quarantine.h"
#include "route/server_choice.h"

#include <algorithm>

namespace camphorfield {

namespace {

void
Refuse(Step& aStep,
       const CallerRequest& aRequest,
       ResultCode aCode,
       Duration aRetryAfter = {})
{
  RouteState& state = aStep.state_;
  ++state.stats_.byCode_[static_cast<std::size_t>(aCode)];
  aStep.out_.emplace_back(TimelineRecord{ TimelineKind::RequestRefused,
                                          aRequest.id_.value_,
                                          aRequest.route_,
                                          static_cast<std::uint64_t>(aCode),
                                          "" });
  QueryAnswer answer;
  answer.id_ = aRequest.id_;
  answer.code_ = aCode;
  answer.retryAfter_ = aRetryAfter;
  if (state.config_ != nullptr) {
    answer.generation_ = state.config_->generation_;
  }
  aStep.out_.emplace_back(std::move(answer));
}

std::shared_ptr<const CompiledRoute>
FindRoute(const RouteState& aState, const std::string& aName)
{
  const auto found = aState.config_->routes_.find(aName);
  if (found == aState.config_->routes_.end() ||
      found->second->spec_.mode_ != RouteMode::Query) {
    return nullptr;
  }
  return found->second;
}

Duration
TimeBudget(const CompiledRoute& aRoute, const CallerRequest& aRequest)
{
  const Duration whole = aRequest.timeout_ > Duration::zero()
                           ? std::min(aRequest.timeout_, aRoute.spec_.deadline_)
                           : aRoute.spec_.deadline_;
  // Leave time to send the answer to the caller.
  return whole - std::min(kAnswerMargin, whole / kAnswerMarginDivisor);
}

std::uint32_t
CountUsableShards(const RouteState& aState,
                  const CompiledVersion& aVersion,
                  TimePoint aNow)
{
  std::uint32_t usable = 0;
  for (std::size_t i = 0; i < aVersion.services_.size(); ++i) {
    if (IsVersionUsable(
          aState, aVersion.services_[i], aVersion.version_, aNow)) {
      usable += aVersion.perService_[i];
    }
  }
  return usable;
}

Query&
MakeQuery(Step& aStep,
          const CallerRequest& aRequest,
          std::shared_ptr<const CompiledRoute> aRoute,
          SharedVersion aVersion)
{
  RouteState& state = aStep.state_;
  const TimePoint now = aStep.now_.mono_;
  Query& query = AllocateSlot(state.queries_);
  query.id_ = aRequest.id_;
  query.caller_ = aRequest.caller_;
  query.route_ = std::move(aRoute);
  query.version_ = std::move(aVersion);
  query.generation_ = state.config_->generation_;
  query.body_ = aRequest.body_;
  query.deadline_ = now + TimeBudget(*query.route_, aRequest);
  const Duration soft = query.route_->spec_.softAnswer_;
  query.softAt_ = soft > Duration::zero() ? now + soft : kNever;
  query.covered_ = 0;
  query.round_ = 0;
  query.sent_ = false;
  query.traced_ = aRequest.id_.value_ % kTraceSampleInterval == 0;
  query.tag_ = RegisterQuery(aStep, query);
  state.queryOf_[query.id_] = query.key_;
  return query;
}

void
ArmQuery(Step& aStep, const Query& aQuery)
{
  TimerHeap& timers = aStep.state_.timers_;
  AddTimer(timers,
           { aQuery.deadline_, aQuery.key_, 0, TimerKind::QueryDeadline });
  if (aQuery.softAt_ < aQuery.deadline_) {
    AddTimer(timers, { aQuery.softAt_, aQuery.key_, 0, TimerKind::QuerySoft });
  }
}

double
Coverage(const Query& aQuery)
{
  return aQuery.shards_.empty() ? 1.0
                                : static_cast<double>(aQuery.covered_) /
                                    static_cast<double>(aQuery.shards_.size());
}

ResultCode
CodeOf(const Query& aQuery, bool aExpired)
{
  if (aQuery.covered_ == aQuery.shards_.size()) {
    return ResultCode::Ok;
  }
  // Both codes mean "not run", which is true only if nothing was sent.
  if (!aQuery.sent_) {
    return aExpired ? ResultCode::DeadlineTooShort : ResultCode::NoReplica;
  }
  if (aQuery.covered_ == 0 && aExpired) {
    return ResultCode::DeadlineExceeded;
  }
  if (aQuery.covered_ == 0 ||
      Coverage(aQuery) < aQuery.route_->spec_.minCoverage_) {
    return ResultCode::CoverageTooLow;
  }
  return ResultCode::Partial;
}

QueryAnswer
MakeAnswer(RouteState& aState, Query& aQuery, bool aExpired)
{
  QueryAnswer answer;
  answer.id_ = aQuery.id_;
  answer.code_ = CodeOf(aQuery, aExpired);
  answer.version_ = aQuery.version_->version_;
  answer.generation_ = aQuery.generation_;
  answer.complete_ = answer.code_ == ResultCode::Ok;
  answer.covered_.reserve(aQuery.covered_);
  for (std::size_t i = 0; i < aQuery.shards_.size(); ++i) {
    ShardRun& run = aQuery.shards_[i];
    const std::string& name = aQuery.version_->shards_[i].name_;
    if (run.phase_ == ShardPhase::Covered) {
      answer.covered_.push_back({ name, std::move(run.body_) });
      continue;
    }
    ++aState.stats_.uncovered_[static_cast<std::size_t>(run.reason_)];
    answer.uncovered_.push_back({ name, run.reason_ });
  }
  return answer;
}

void
RecordAnswer(Step& aStep, const QueryAnswer& aAnswer)
{
  RouteStats& stats = aStep.state_.stats_;
  ++stats.byCode_[static_cast<std::size_t>(aAnswer.code_)];
  stats.complete_ += aAnswer.code_ == ResultCode::Ok ? 1 : 0;
  stats.partial_ += aAnswer.code_ == ResultCode::Partial ? 1 : 0;
  aStep.out_.emplace_back(
    TimelineRecord{ TimelineKind::QueryAnswered,
                    aAnswer.id_.value_,
                    "",
                    aAnswer.version_.value_,
                    aAnswer.complete_ ? "complete" : "incomplete" });
}

void
EndQuery(Step& aStep, Query& aQuery)
{
  UnregisterQuery(aStep, aQuery);
  ReleaseShards(aStep, aQuery);
  aStep.state_.queryOf_.erase(aQuery.id_);
  aQuery.body_ = nullptr;
  aQuery.version_ = nullptr;
  aQuery.route_ = nullptr;
  FreeSlot(aStep.state_.queries_, aQuery);
}

void
Admit(Step& aStep,
      const CallerRequest& aRequest,
      const std::shared_ptr<const CompiledRoute>& aRoute,
      Fingerprint aContent)
{
  const SharedVersion version =
    PickVersion(aStep.state_, *aRoute, {}, aStep.now_.mono_);
  if (version == nullptr) {
    Refuse(aStep, aRequest, ResultCode::NoReplica);
    return;
  }
  const Admission admission = AdmitQuery(
    aStep, *aRoute, *version, aRequest.caller_, TimeBudget(*aRoute, aRequest));
  if (admission.code_ != ResultCode::Ok) {
    Refuse(aStep, aRequest, admission.code_, admission.retryAfter_);
    return;
  }
  Query& query = MakeQuery(aStep, aRequest, aRoute, version);
  query.fingerprint_ = aContent;
  if (query.traced_) {
    aStep.out_.emplace_back(TimelineRecord{ TimelineKind::QueryStarted,
                                            query.id_.value_,
                                            aRequest.route_,
                                            version->version_.value_,
                                            "" });
  }
  ArmQuery(aStep, query);
  EnqueueShards(aStep, query);
}

} // namespace

SharedVersion
PickVersion(const RouteState& aState,
            const CompiledRoute& aRoute,
            SnapshotVersion aExcluded,
            TimePoint aNow)
{
  SharedVersion best;
  std::uint32_t bestUsable = 0;
  for (const SharedVersion& version : aRoute.versions_) {
    if (version->version_ == aExcluded) {
      continue;
    }
    const std::uint32_t usable = CountUsableShards(aState, *version, aNow);
    if (usable == version->shards_.size()) {
      return version;
    }
    if (usable > bestUsable) {
      best = version;
      bestUsable = usable;
    }
  }
  return best;
}

void
StartQuery(Step& aStep, const CallerRequest& aRequest)
{
  RouteState& state = aStep.state_;
  ++state.stats_.queries_;
  if (state.config_ == nullptr) {
    Refuse(aStep, aRequest, ResultCode::NotReady);
    return;
  }
  const std::shared_ptr<const CompiledRoute> route =
    FindRoute(state, aRequest.route_);
  if (route == nullptr) {
    Refuse(aStep, aRequest, ResultCode::UnknownRoute);
    return;
  }
  const Fingerprint content =
    MakeFingerprint(aRequest.caller_, aRequest.route_, aRequest.body_);
  if (IsRefusedContent(state, content, aStep.now_)) {
    Refuse(aStep, aRequest, ResultCode::Quarantined, kSuspectRetryHint);
    return;
  }
  Admit(aStep, aRequest, route, content);
}

void
DropQuery(Step& aStep, CallerRequestId aId)
{
  const auto found = aStep.state_.queryOf_.find(aId);
  if (found == aStep.state_.queryOf_.end()) {
    return;
  }
  Query* query = FindSlot(aStep.state_.queries_, found->second);
  if (query != nullptr) {
    EndQuery(aStep, *query);
  }
}

void
FinishQuery(Step& aStep, Query& aQuery)
{
  const bool expired = aStep.now_.mono_ >= aQuery.deadline_;
  QueryAnswer answer = MakeAnswer(aStep.state_, aQuery, expired);
  RecordAnswer(aStep, answer);
  aStep.out_.emplace_back(std::move(answer));
  EndQuery(aStep, aQuery);
}

void
FinishIfReady(Step& aStep, Query& aQuery)
{
  const bool soft = aStep.now_.mono_ >= aQuery.softAt_ &&
                    Coverage(aQuery) >= aQuery.route_->spec_.minCoverage_ &&
                    aQuery.covered_ > 0;
  if (aQuery.open_ == 0 || soft) {
    FinishQuery(aStep, aQuery);
  }
}

bool
RestartQuery(Step& aStep, Query& aQuery)
{
  const TimePoint now = aStep.now_.mono_;
  if (aQuery.round_ > 0 || now + kRetryMargin >= aQuery.deadline_) {
    return false;
  }
  const SharedVersion version =
    PickVersion(aStep.state_, *aQuery.route_, aQuery.version_->version_, now);
  if (version == nullptr || CountUsableShards(aStep.state_, *version, now) !=
                              version->shards_.size()) {
    return false;
  }
  ReleaseShards(aStep, aQuery);
  ++aStep.state_.stats_.restarts_;
  ++aQuery.round_;
  aQuery.version_ = version;
  aQuery.covered_ = 0;
  EnqueueShards(aStep, aQuery);
  return true;
}

void
HandleQueryTimer(Step& aStep, const Timer& aTimer)
{
  Query* query = FindSlot(aStep.state_.queries_, aTimer.key_);
  if (query == nullptr) {
    return;
  }
  if (aTimer.kind_ == TimerKind::QueryDeadline) {
    FinishQuery(aStep, *query);
    return;
  }
  FinishIfReady(aStep, *query);
}

} // namespace camphorfield
