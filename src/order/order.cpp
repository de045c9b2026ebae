/**
 * Event handlers of the order package: they pass each event to the part that
 * handles it, run timers, and give each key range its share of store writes.
 */
#include "core/hash_func.h"
#include "order/order_func.h"
#include "order/order_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr std::uint64_t kCallTag =
  0x4; ///< Top bits of this package's call ids.
constexpr unsigned kCallTagShift = 60;
constexpr unsigned kCallSaltShift = 32;
constexpr std::uint64_t kCallSaltMask = 0x0fffffff;
constexpr std::size_t kSecretWords = 4;

/**
 * First call id. Ids differ from those of other packages and of other
 * incarnations, so that a late answer can't be mistaken for that of another
 * call.
 */
std::uint64_t
FirstCallId(const OrderSettings& aSettings)
{
  const std::uint64_t salt =
    HashPair(aSettings.self_.value_, aSettings.incarnation_.value_) &
    kCallSaltMask;
  return (kCallTag << kCallTagShift) | (salt << kCallSaltShift);
}

/** Answer waiters whose deadline has passed, and schedule the next deadline. */
void
ExpireTable(OrderStep& aStep, std::uint32_t aTable)
{
  std::vector<KeyDigest> late;
  const OrderTable& table = TableOf(aStep.state_, aTable);
  for (const auto& [key, attempt] : table.attempts_) {
    for (const OrderWaiter& waiter : attempt.waiters_) {
      if (waiter.deadline_ <= aStep.now_.mono_) {
        late.push_back(key);
        break;
      }
    }
  }
  for (const KeyDigest& key : late) {
    ExpireWaiters(aStep, { aTable, key });
  }
  for (const auto& [key, attempt] : table.attempts_) {
    for (const OrderWaiter& waiter : attempt.waiters_) {
      ScheduleDeadline(aStep.state_, waiter.deadline_);
    }
  }
}

void
ExpireAllWaiters(OrderStep& aStep)
{
  OrderState& state = aStep.state_;
  if (aStep.now_.mono_ < state.deadlineAt_) {
    return;
  }
  state.deadlineAt_ = kNever;
  for (std::uint32_t n = 0; n < state.settings_.ranges_; ++n) {
    ExpireTable(aStep, n);
    for (const IncomingOrder& order : state.ranges_[n].queuedOrders_) {
      if (order.waiter_.deadline_ > aStep.now_.mono_) {
        ScheduleDeadline(state, order.waiter_.deadline_);
      }
    }
  }
  ExpireTable(aStep, kTokenTable);
  ExpireTable(aStep, kOrphanTable);
  for (const auto& [request, relay] : state.relays_) {
    if (relay.order_.waiter_.deadline_ > aStep.now_.mono_) {
      ScheduleDeadline(state, relay.order_.waiter_.deadline_);
    }
  }
}

/** Drop expired tokens; the floor only rises. */
void
PruneTokens(OrderStep& aStep)
{
  OrderState& state = aStep.state_;
  const std::int64_t window = state.settings_.window_.count();
  const std::int64_t floor =
    (aStep.now_.unixMicros_ - window) / kMicrosPerMilli;
  constexpr std::int64_t kParts = 16;
  if (floor - state.tokenFloorMs_ < window / kParts / kMicrosPerMilli) {
    return;
  }
  state.tokenFloorMs_ = floor;
  std::erase_if(state.tokens_.entries_, [&](const auto& aEntry) {
    return aEntry.second.unixMs_ < floor &&
           state.tokens_.attempts_.count(aEntry.first) == 0;
  });
}

void
RunDueWork(OrderStep& aStep)
{
  ExpireAllWaiters(aStep);
  TickRelays(aStep);
  // Start with another range each time, so that all get a share of the writes.
  OrderState& state = aStep.state_;
  const std::uint32_t count = state.settings_.ranges_;
  state.firstRange_ = (state.firstRange_ + 1) % count;
  for (std::uint32_t i = 0; i < count; ++i) {
    TickRange(aStep, (state.firstRange_ + i) % count);
  }
}

Duration
RouteDeadline(const OrderState& aState, const std::string& aRoute)
{
  if (aState.config_ == nullptr) {
    return aState.settings_.defaultDeadline_;
  }
  const auto& routes = aState.config_->set_.routes_;
  const auto route = routes.find(aRoute);
  return route == routes.end() || route->second.deadline_.count() <= 0
           ? aState.settings_.defaultDeadline_
           : route->second.deadline_;
}

IncomingOrder
MakeCallerOrder(const OrderState& aState,
                const CallerRequest& aRequest,
                const Now& aNow)
{
  Duration limit = RouteDeadline(aState, aRequest.route_);
  if (aRequest.timeout_.count() > 0) {
    limit = std::min(limit, aRequest.timeout_);
  }
  return MakeIncomingOrder(
    aState,
    aRequest.caller_,
    aRequest.route_,
    aRequest.idempotencyKey_,
    aRequest.body_,
    { .request_ = aRequest.id_, .deadline_ = aNow.mono_ + limit });
}

TimePoint
RangeWake(const OrderRange& aRange)
{
  TimePoint wake = std::min({ aRange.retryAt_,
                              aRange.segment_.retryAt_,
                              aRange.rebalanceAt_,
                              aRange.appendAt_ });
  const bool waits = aRange.write_.active_ || aRange.appendAt_ != kNever;
  if (aRange.state_ != RangeState::Held || waits) {
    return wake;
  }
  if (!aRange.pending_.empty()) {
    wake = std::min(wake, aRange.flushAt_);
  }
  if (!aRange.table_.entries_.empty()) {
    wake = std::min(wake, aRange.pruneAt_);
  }
  const bool timed = aRange.releasing_ && aRange.releaseBy_ != TimePoint::min();
  return timed ? std::min(wake, aRange.releaseBy_) : wake;
}

} // namespace

OrderState
MakeOrderState(const OrderSettings& aSettings, const Now& aNow, Rng& aRng)
{
  OrderState state;
  state.settings_ = aSettings;
  state.ranges_.resize(aSettings.ranges_);
  state.nextCall_ = FirstCallId(aSettings);
  state.writeTokens_ = aSettings.writeBurst_;
  state.writeTokensAt_ = aNow.mono_;
  for (std::size_t i = 0; i < kSecretWords; ++i) {
    const std::uint64_t word = aRng();
    state.secret_.append(reinterpret_cast<const char*>(&word), sizeof(word));
  }
  return state;
}

void
OrderOnEvent(OrderState& aState,
             const CallerRequest& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  OrderStep step{ aState, aNow, aRng, aOut };
  ++aState.stats_.orders_;
  PruneTokens(step);
  RouteOrder(step, MakeCallerOrder(aState, aEvent, aNow));
}

void
OrderOnEvent(OrderState&,
             const CallerDisconnected&,
             const Now&,
             Rng&,
             Decisions&)
{
  // The order continues: the caller can resend it with the same key to get
  // the outcome.
}

void
OrderOnEvent(OrderState& aState,
             const PeerMessage& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  OrderStep step{ aState, aNow, aRng, aOut };
  if (const auto* forward = std::get_if<OrderForward>(&aEvent.body_)) {
    PruneTokens(step);
    OnForward(step, aEvent, *forward);
  } else if (const auto* answer = std::get_if<OrderForwarded>(&aEvent.body_)) {
    OnForwardAnswer(step, *answer);
  } else if (const auto* copy = std::get_if<OrderOutcomeCopy>(&aEvent.body_)) {
    OnOutcomeCopy(step, *copy);
  }
}

void
OrderOnEvent(OrderState& aState,
             const PeerUnreachable& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  OrderStep step{ aState, aNow, aRng, aOut };
  OnForwardUnreachable(step, aEvent);
}

void
OrderOnEvent(OrderState& aState,
             const PlatformReply& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  if (aEvent.user_ != PlatformUser::Order) {
    return;
  }
  OrderStep step{ aState, aNow, aRng, aOut };
  for (std::uint32_t n = 0; n < aState.settings_.ranges_; ++n) {
    OrderRange& range = aState.ranges_[n];
    if (range.segment_.call_.IsValid() && range.segment_.call_ == aEvent.id_) {
      OnSegmentReply(step, n, aEvent);
      return;
    }
    if (!range.call_.IsValid() || range.call_ != aEvent.id_) {
      continue;
    }
    range.call_ = {};
    if (range.write_.active_) {
      OnHeadReply(step, n, aEvent);
    } else if (range.state_ == RangeState::Loading) {
      OnRangeLoadReply(step, n, aEvent);
    }
    TickRange(step, n);
    return;
  }
}

void
OrderOnEvent(OrderState& aState,
             const OrderDispatched& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  const auto found = aState.dispatches_.find(aEvent.id_);
  if (found == aState.dispatches_.end()) {
    return;
  }
  OrderStep step{ aState, aNow, aRng, aOut };
  const EntryRef ref = found->second;
  FinishDispatch(step, ref, aEvent);
  if (ref.table_ < kTokenTable) {
    TickRange(step, ref.table_);
  }
}

void
OrderOnEvent(OrderState& aState,
             const MembersChanged& aEvent,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  OrderStep step{ aState, aNow, aRng, aOut };
  aState.members_ = aEvent.members_;
  PlanRanges(step);
}

void
OrderOnEvent(OrderState& aState,
             const ConfigAdopted& aEvent,
             const Now&,
             Rng&,
             Decisions&)
{
  aState.config_ = aEvent.config_;
}

void
OrderOnEvent(OrderState& aState,
             const StopRequested&,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  if (aState.stopping_) {
    return;
  }
  OrderStep step{ aState, aNow, aRng, aOut };
  aState.stopping_ = true;
  aState.stopBy_ = aNow.mono_ + aState.settings_.stopWait_;
  for (std::uint32_t n = 0; n < aState.settings_.ranges_; ++n) {
    BeginRelease(step, n);
  }
}

void
OrderOnEvent(OrderState& aState,
             const Tick&,
             const Now& aNow,
             Rng& aRng,
             Decisions& aOut)
{
  OrderStep step{ aState, aNow, aRng, aOut };
  PruneTokens(step);
  RunDueWork(step);
}

TimePoint
OrderNextWake(const OrderState& aState)
{
  TimePoint wake = aState.deadlineAt_;
  for (const OrderRange& range : aState.ranges_) {
    wake = std::min(wake, RangeWake(range));
    if (range.state_ == RangeState::Held) {
      wake = std::min(wake, aState.stopBy_);
    }
  }
  for (const auto& [request, relay] : aState.relays_) {
    wake = std::min(wake, relay.retryAt_);
  }
  return wake;
}

bool
OrderIsIdle(const OrderState& aState)
{
  if (!aState.relays_.empty() || !aState.dispatches_.empty()) {
    return false;
  }
  return std::all_of(aState.ranges_.begin(),
                     aState.ranges_.end(),
                     [&aState](const OrderRange& aRange) {
                       const bool quiet = aRange.queuedOrders_.empty() &&
                                          aRange.table_.attempts_.empty();
                       const bool stored =
                         aRange.pending_.empty() && !aRange.write_.active_;
                       const bool held = aRange.state_ == RangeState::Held;
                       return quiet && (!held || (stored && !aState.stopping_));
                     });
}

std::vector<std::string>
OrderIssueTokens(OrderState& aState,
                 std::uint32_t aCount,
                 const Now& aNow,
                 Rng& aRng)
{
  std::vector<std::string> tokens;
  for (std::uint32_t i = 0; i < aCount && !aState.stopping_; ++i) {
    tokens.push_back(IssueToken(aState, aNow, aRng));
  }
  return tokens;
}

OrderStats
OrderStatistics(const OrderState& aState)
{
  OrderStats stats = aState.stats_;
  stats.entries_ =
    aState.tokens_.entries_.size() + aState.orphans_.entries_.size();
  stats.copies_ = aState.copies_.size();
  for (const OrderRange& range : aState.ranges_) {
    stats.entries_ += range.table_.entries_.size();
    stats.rangesHeld_ += range.state_ == RangeState::Held ? 1 : 0;
  }
  return stats;
}

} // namespace camphorfield
