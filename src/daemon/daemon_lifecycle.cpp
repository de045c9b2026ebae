// Readiness, admission of requests and graceful shutdown of a daemon: it exits
// when cached entries have expired and requests are answered, or at a time
// limit.

#include "daemon/daemon_func.h"
#include "daemon/daemon_internal.h"

#include "core/hash_func.h"
#include "core/result_func.h"
#include "membership/membership_func.h"
#include "order/order_func.h"
#include "publish/publish_func.h"
#include "route/route_func.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

constexpr Duration kLifecycleInterval = std::chrono::milliseconds(200);
constexpr Duration kShutdownInterval = std::chrono::milliseconds(20);

// Until gossip has removed this daemon from the entries of the others, callers
// may still receive it, and cache it for the full time.
constexpr Duration kLeaveMargin = std::chrono::seconds(2);

constexpr int kExitLimitReached = 4;

/** Route of this name in the configuration in force, or null. */
const RouteSpec*
FindRoute(const DaemonState& aState, const std::string& aName)
{
  const auto config = PublishCurrent(aState.publish_);
  if (config == nullptr) {
    return nullptr;
  }
  const auto found = config->set_.routes_.find(aName);
  return found == config->set_.routes_.end() ? nullptr : &found->second;
}

Generation
CurrentGeneration(const DaemonState& aState)
{
  const auto config = PublishCurrent(aState.publish_);
  return config == nullptr ? Generation{} : config->generation_;
}

void
Record(const DaemonStep& aStep, TimelineKind aKind, std::string aText)
{
  TimelineRecord record;
  record.kind_ = aKind;
  record.number_ = CurrentGeneration(aStep.state_).value_;
  record.text_ = std::move(aText);
  aStep.out_.emplace_back(std::move(record));
}

void
UpdateReadiness(const DaemonStep& aStep)
{
  DaemonState& state = aStep.state_;
  const bool ready = state.ready_ || PublishIsConfirmed(state.publish_);
  if (ready == state.ready_) {
    return;
  }
  state.ready_ = ready;
  MembershipSetReady(state.membership_, ready);
  Record(aStep, TimelineKind::DaemonReady, "");
}

bool
IsIdle(const DaemonState& aState)
{
  return aState.openQueries_ == 0 && aState.openOrders_ == 0 &&
         RouteIsIdle(aState.route_) && OrderIsIdle(aState.order_);
}

void
EndDaemon(const DaemonStep& aStep, int aStatus, const char* aReason)
{
  aStep.state_.phase_ = DaemonPhase::Ended;
  Record(aStep, TimelineKind::DaemonStopped, aReason);
  aStep.out_.emplace_back(ExitProcess{ aStatus });
}

void
AdvanceShutdown(const DaemonStep& aStep)
{
  DaemonState& state = aStep.state_;
  const DaemonSettings& settings = state.settings_;
  const Duration since = aStep.now_.mono_ - state.stopRequestedAt_;
  if (state.phase_ == DaemonPhase::Leaving &&
      since >= settings.entriesKeepFor_ + kLeaveMargin) {
    state.phase_ = DaemonPhase::Draining;
  }
  if (state.phase_ != DaemonPhase::Draining) {
    return;
  }
  if (IsIdle(state)) {
    EndDaemon(aStep, 0, "all requests finished");
    return;
  }
  if (since >= settings.stopLimit_) {
    EndDaemon(aStep, kExitLimitReached, "time limit reached");
  }
}

PublishSettings
PublishSettingsOf(const DaemonSettings& aSettings, DaemonId aSelf)
{
  PublishSettings settings;
  settings.self_ = aSelf;
  settings.failureDomain_ = aSettings.failureDomain_;
  settings.keyPrefix_ = aSettings.storePrefix_;
  return settings;
}

MembershipSettings
MembershipSettingsOf(const DaemonSettings& aSettings, DaemonId aSelf)
{
  MembershipSettings settings;
  settings.self_.id_ = aSelf;
  settings.self_.name_ = aSettings.name_;
  settings.self_.incarnation_ = aSettings.incarnation_;
  settings.self_.peerAddress_ = aSettings.peerAddress_;
  settings.self_.callerAddress_ = aSettings.callerAddress_;
  settings.self_.operatorAddress_ = aSettings.operatorAddress_;
  settings.self_.failureDomain_ = aSettings.failureDomain_;
  settings.seeds_ = aSettings.seeds_;
  settings.entriesKeepFor_ = aSettings.entriesKeepFor_;
  return settings;
}

OrderSettings
OrderSettingsOf(const DaemonSettings& aSettings, DaemonId aSelf)
{
  OrderSettings settings;
  settings.self_ = aSelf;
  settings.name_ = aSettings.name_;
  settings.incarnation_ = aSettings.incarnation_;
  settings.failureDomain_ = aSettings.failureDomain_;
  settings.prefix_ = aSettings.storePrefix_ + "/orders";
  return settings;
}

} // namespace

DaemonState
MakeDaemonState(const DaemonSettings& aSettings, const Now& aNow, Rng& aRng)
{
  DaemonState state;
  state.settings_ = aSettings;
  state.self_ = DaemonId{ HashText(aSettings.name_) };
  state.nextLifecycleUpdate_ = aNow.mono_;
  state.publish_ =
    MakePublishState(PublishSettingsOf(aSettings, state.self_), aRng);
  state.membership_ = MakeMembershipState(
    MembershipSettingsOf(aSettings, state.self_), aNow, aRng);
  state.route_ = MakeRouteState(
    RouteSettings{ state.self_, aSettings.name_, aSettings.failureDomain_ });
  state.order_ =
    MakeOrderState(OrderSettingsOf(aSettings, state.self_), aNow, aRng);
  return state;
}

namespace {

// An earlier request with the key may have run through another daemon, and no
// outcome was looked up: "not run" would be true of this request only.
ResultCode
OrderRefusalCode(const CallerRequest& aRequest, ResultCode aCode)
{
  return aRequest.idempotencyKey_.empty() ? aCode
                                          : ResultCode::OrderNotAccepted;
}

} // namespace

ResultCode
AdmitRequest(const DaemonState& aState, const CallerRequest& aRequest)
{
  if (!aState.ready_) {
    return ResultCode::NotReady;
  }
  // Callers with cached entries are served during the Leaving phase.
  if (aState.phase_ == DaemonPhase::Draining ||
      aState.phase_ == DaemonPhase::Ended) {
    return ResultCode::Stopping;
  }
  const RouteSpec* route = FindRoute(aState, aRequest.route_);
  if (route == nullptr) {
    return ResultCode::UnknownRoute;
  }
  return route->mode_ == aRequest.mode_ ? ResultCode::Ok
                                        : ResultCode::BadRequest;
}

void
RefuseRequest(const DaemonStep& aStep,
              const CallerRequest& aRequest,
              ResultCode aCode)
{
  TimelineRecord record;
  record.kind_ = TimelineKind::RequestRefused;
  record.request_ = aRequest.id_.value_;
  record.object_ = aRequest.route_;
  record.text_ = GetResultRow(aCode).name_;
  aStep.out_.emplace_back(std::move(record));
  const Generation generation = CurrentGeneration(aStep.state_);
  if (aRequest.mode_ == RouteMode::Order) {
    ++aStep.state_.openOrders_;
    OrderAnswer answer;
    answer.id_ = aRequest.id_;
    answer.code_ = OrderRefusalCode(aRequest, aCode);
    answer.key_ = aRequest.idempotencyKey_;
    answer.generation_ = generation;
    aStep.out_.emplace_back(std::move(answer));
    return;
  }
  ++aStep.state_.openQueries_;
  QueryAnswer answer;
  answer.id_ = aRequest.id_;
  answer.code_ = aCode;
  answer.generation_ = generation;
  aStep.out_.emplace_back(std::move(answer));
}

void
AddOrderTokens(const DaemonStep& aStep, EntriesAnswer& aAnswer)
{
  if (aAnswer.tokensRequested_ == 0) {
    return;
  }
  aAnswer.tokens_ = OrderIssueTokens(
    aStep.state_.order_, aAnswer.tokensRequested_, aStep.now_, aStep.rng_);
}

void
BeginShutdown(const DaemonStep& aStep, const StopRequested& aStop)
{
  aStep.state_.phase_ = DaemonPhase::Leaving;
  aStep.state_.stopRequestedAt_ = aStep.now_.mono_;
  Record(aStep, TimelineKind::DaemonStopping, aStop.reason_);
}

void
UpdateLifecycle(const DaemonStep& aStep)
{
  DaemonState& state = aStep.state_;
  if (aStep.now_.mono_ < state.nextLifecycleUpdate_ ||
      state.phase_ == DaemonPhase::Ended) {
    return;
  }
  const bool isStopping = state.phase_ != DaemonPhase::Serving;
  state.nextLifecycleUpdate_ =
    aStep.now_.mono_ + (isStopping ? kShutdownInterval : kLifecycleInterval);
  UpdateReadiness(aStep);
  MembershipSetLoad(state.membership_, RouteLoad(state.route_));
  AdvanceShutdown(aStep);
}

DaemonInFlight
GetInFlight(const DaemonState& aState)
{
  return DaemonInFlight{ aState.openQueries_, aState.openOrders_ };
}

} // namespace camphorfield
