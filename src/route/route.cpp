// Entry points of the route package: each event or timer is one step, after
// which waiting tasks and pending relay answers are sent.
#include "route/conn_pool.h"
#include "route/order_run.h"
#include "route/quarantine.h"
#include "route/query_cmd.h"
#include "route/queue_dispatch.h"
#include "route/relay.h"
#include "route/route_func.h"
#include "route/server_health.h"
#include "route/sub_cmd.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Sub-request ids start at random, since servers see those of all daemons. */
constexpr unsigned kSaltShift = 24;

// Capacity that the event freed is assigned before the step ends.
void
EndStep(Step& aStep)
{
  aStep.state_.now_ = aStep.now_.mono_;
  DispatchMarkedQueues(aStep);
  FlushRelayAnswers(aStep);
}

void
HandleTimer(Step& aStep, const Timer& aTimer)
{
  switch (aTimer.kind_) {
    case TimerKind::QueryDeadline:
    case TimerKind::QuerySoft:
      HandleQueryTimer(aStep, aTimer);
      break;
    case TimerKind::Hedge:
    case TimerKind::Progress:
      HandleSubTimer(aStep, aTimer);
      break;
    case TimerKind::ShardRetry:
      ResumeShard(aStep, aTimer.key_, aTimer.part_);
      break;
    case TimerKind::DispatchEnd:
      ExpireOrder(aStep, aTimer.key_);
      break;
    case TimerKind::DispatchRetry:
      ResumeOrder(aStep, aTimer.key_);
      break;
    case TimerKind::RelayedEnd:
      ExpireRelayed(aStep, aTimer.key_);
      break;
    case TimerKind::RelayFlush:
      FlushRelays(aStep);
      break;
    case TimerKind::SuspectTrial:
      MarkWaitingServices(aStep.state_);
      break;
    case TimerKind::Server:
      MaintainServer(aStep, static_cast<ServerIndex>(aTimer.key_));
      break;
    default:
      break;
  }
}

void
ApplyLeavingRumor(Step& aStep, const LeavingRumor& aRumor)
{
  const auto found = aStep.state_.serverByName_.find(aRumor.server_);
  if (found != aStep.state_.serverByName_.end()) {
    SetLeaving(aStep, found->second, aRumor.leaving_, aRumor.unixMicros_);
  }
}

} // namespace

RouteState
MakeRouteState(const RouteSettings& aSettings)
{
  RouteState state;
  state.settings_ = aSettings;
  return state;
}

void
RouteOnEvent(RouteState& aState,
             const CallerRequest& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  Step step{ aState, aNow, aRng, aOut };
  StartQuery(step, aEvent);
  EndStep(step);
}

void
RouteOnEvent(RouteState& aState,
             const CallerDisconnected& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  Step step{ aState, aNow, aRng, aOut };
  DropQuery(step, aEvent.id_);
  EndStep(step);
}

void
RouteOnEvent(RouteState& aState,
             const ConnectionOpened& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  Step step{ aState, aNow, aRng, aOut };
  RecordOpened(step, aEvent.id_);
  EndStep(step);
}

void
RouteOnEvent(RouteState& aState,
             const ConnectionEnded& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  Step step{ aState, aNow, aRng, aOut };
  HandleConnectionEnd(step, aEvent);
  EndStep(step);
}

void
RouteOnEvent(RouteState& aState,
             const SubAnswer& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  Step step{ aState, aNow, aRng, aOut };
  HandleAnswer(step, aEvent);
  EndStep(step);
}

void
RouteOnEvent(RouteState& aState,
             const SubNotSent& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  Step step{ aState, aNow, aRng, aOut };
  HandleNotSent(step, aEvent);
  EndStep(step);
}

void
RouteOnEvent(RouteState& aState,
             const DispatchOrder& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  Step step{ aState, aNow, aRng, aOut };
  StartOrder(step, aEvent);
  EndStep(step);
}

void
RouteOnEvent(RouteState& aState,
             const ConfigAdopted& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  Step step{ aState, aNow, aRng, aOut };
  if (aState.config_ == nullptr) {
    aState.subs_.sequence_ = aRng() >> kSaltShift;
  }
  AdoptConfig(step, *aEvent.config_);
  EndStep(step);
}

void
RouteOnEvent(RouteState& aState,
             const MembersChanged& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  Step step{ aState, aNow, aRng, aOut };
  aState.members_.clear();
  for (const MemberRecord& member : *aEvent.members_) {
    aState.members_[member.id_] = member;
  }
  AssignConnectionQuotas(step);
  EndStep(step);
}

void
RouteOnEvent(RouteState& aState,
             const RumorReceived& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  Step step{ aState, aNow, aRng, aOut };
  if (const auto* leaving = std::get_if<LeavingRumor>(&aEvent.rumor_)) {
    ApplyLeavingRumor(step, *leaving);
  } else if (const auto* bad = std::get_if<QuarantineRumor>(&aEvent.rumor_)) {
    ApplyQuarantineRumor(step, *bad);
  }
  EndStep(step);
}

void
RouteOnEvent(RouteState& aState,
             const PeerMessage& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  Step step{ aState, aNow, aRng, aOut };
  if (const auto* batch = std::get_if<RelayBatch>(&aEvent.body_)) {
    HandleRelayBatch(step, aEvent.from_, *batch);
  } else if (const auto* back = std::get_if<RelayAnswers>(&aEvent.body_)) {
    HandleRelayAnswers(step, aEvent.from_, *back);
  }
  EndStep(step);
}

void
RouteOnEvent(RouteState& aState,
             const PeerUnreachable& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  Step step{ aState, aNow, aRng, aOut };
  HandleHomeUnreachable(step, aEvent);
  EndStep(step);
}

void
RouteOnEvent(RouteState& aState,
             const StopRequested& /*aEvent*/,
             const Now& /*aNow*/,
             Rng& /*aRng*/,
             Decisions& /*aOut*/)
{
  // Callers may still use cached entries of this daemon, so it keeps serving
  // new queries.
  aState.stopping_ = true;
}

void
RouteOnEvent(RouteState& aState,
             const Tick& /*aEvent*/,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  Step step{ aState, aNow, aRng, aOut };
  Timer timer;
  while (PopDueTimer(aState.timers_, aNow.mono_, timer)) {
    HandleTimer(step, timer);
  }
  EndStep(step);
}

TimePoint
RouteNextWake(const RouteState& aState)
{
  return EarliestTimerTime(aState.timers_);
}

bool
RouteIsIdle(const RouteState& aState)
{
  return aState.queries_.Count() == 0 && aState.orders_.Count() == 0 &&
         aState.relayed_.Count() == 0;
}

RouteStats
RouteStatistics(const RouteState& aState)
{
  return aState.stats_;
}

} // namespace camphorfield
