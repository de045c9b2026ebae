#include "order/order_internal.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

constexpr std::uint32_t kMostDoublings = 10;

/** Eager takeover: part of a delay. */
constexpr Duration::rep kEagerParts = 4;

/** Orders wait, but not without bound. */
void
QueueAsk(OrderStep& aStep, const OrderAsk& aAsk)
{
  OrderRange& range = aStep.state_.ranges_[aAsk.range_];
  if (range.asks_.size() >= aStep.state_.settings_.rangeAsks_) {
    AnswerWaiter(aStep,
                 aAsk.waiter_,
                 aAsk.key_,
                 RefusalCode(aStep, ResultCode::OrderNotAccepted),
                 nullptr,
                 false);
    return;
  }
  range.asks_.push_back(aAsk);
  NoteDeadline(aStep.state_, aAsk.waiter_.deadline_);
}

/** Send orders back to where they came from, or on to the new owner. */
void
RerouteAsks(OrderStep& aStep, const std::vector<OrderAsk>& aAsks)
{
  for (const OrderAsk& ask : aAsks) {
    if (ask.waiter_.from_.IsValid()) {
      DeclineForward(aStep, ask.waiter_);
    } else {
      RouteAsk(aStep, ask);
    }
  }
}

/** Waiters of an attempt that was not dispatched, as orders of their own. */
void
TakeWaiters(const OrderActive& aActive, std::vector<OrderAsk>& aAsks)
{
  for (const OrderWaiter& waiter : aActive.waiters_) {
    aAsks.push_back(aActive.ask_);
    aAsks.back().waiter_ = waiter;
  }
}

/** Forget a range. Running orders go on as orphans. */
std::vector<OrderAsk>
DropRange(OrderState& aState, std::uint32_t aRange)
{
  OrderRange& range = aState.ranges_[aRange];
  std::vector<OrderAsk> asks = std::move(range.asks_);
  for (auto& [key, active] : range.table_.active_) {
    if (!active.dispatch_.IsValid()) {
      TakeWaiters(active, asks);
      continue;
    }
    aState.dispatches_[active.dispatch_] = { kOrphanTable, key };
    aState.orphans_.entries_[key] = range.table_.entries_[key];
    aState.orphans_.active_[key] = std::move(active);
  }
  range = OrderRange{};
  return asks;
}

bool
AnyRuns(const OrderTable& aTable)
{
  return std::any_of(
    aTable.active_.begin(), aTable.active_.end(), [](const auto& aActive) {
      return aActive.second.dispatch_.IsValid();
    });
}

bool
AnyClaims(const OrderRange& aRange)
{
  return std::any_of(aRange.table_.active_.begin(),
                     aRange.table_.active_.end(),
                     [&aRange](const auto& aActive) {
                       return aRange.table_.entries_.at(aActive.first).state_ ==
                              EntryState::Claiming;
                     });
}

/** Write the release once nothing is claimed and running orders had time. */
void
MaybeRelease(OrderStep& aStep, std::uint32_t aRange)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  if (range.state_ != RangeState::Held || !range.releasing_ ||
      range.write_.active_ || AnyClaims(range)) {
    return;
  }
  if (AnyRuns(range.table_) && aStep.now_.mono_ < range.releaseBy_) {
    return;
  }
  WriteRelease(aStep, aRange);
}

void
Rebalance(OrderStep& aStep, std::uint32_t aRange)
{
  OrderState& state = aStep.state_;
  OrderRange& range = state.ranges_[aRange];
  range.rebalanceAt_ = kNever;
  const bool ours = RangeWinner(state, aRange) == state.settings_.self_;
  if (range.state_ == RangeState::Held && (!ours || state.stopping_)) {
    BeginRelease(aStep, aRange);
  } else if (range.state_ == RangeState::Held && range.releasing_ &&
             !state.stopping_ && !range.write_.releases_) {
    range.releasing_ = false;
  } else if (range.state_ == RangeState::Idle && ours && !state.stopping_) {
    AcquireRange(aStep, aRange);
  }
}

void
ExpireAsks(OrderStep& aStep, std::uint32_t aRange)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  std::vector<OrderAsk> kept;
  std::vector<OrderAsk> late;
  for (OrderAsk& ask : range.asks_) {
    const bool isLate = ask.waiter_.deadline_ <= aStep.now_.mono_;
    (isLate ? late : kept).push_back(std::move(ask));
  }
  range.asks_ = std::move(kept);
  for (const OrderAsk& ask : late) {
    AnswerWaiter(aStep,
                 ask.waiter_,
                 ask.key_,
                 RefusalCode(aStep, ResultCode::ClaimsUnavailable),
                 nullptr,
                 false);
  }
}

} // namespace

Duration
Jittered(OrderStep& aStep, Duration aDelay)
{
  if (aDelay.count() <= 0) {
    return aDelay;
  }
  const auto half = static_cast<std::uint64_t>(aDelay.count() / 2 + 1);
  return Duration(aDelay.count() -
                  static_cast<Duration::rep>(aStep.rng_() % half));
}

void
BackOff(OrderStep& aStep, std::uint32_t aRange)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  const OrderSettings& settings = aStep.state_.settings_;
  const std::uint32_t doublings = std::min(range.failures_, kMostDoublings);
  ++range.failures_;
  const Duration delay =
    std::min(settings.backoffMost_, settings.backoffFirst_ * (1U << doublings));
  range.retryAt_ = aStep.now_.mono_ + Jittered(aStep, delay);
}

void
RangeAsk(OrderStep& aStep, const OrderAsk& aAsk)
{
  OrderRange& range = aStep.state_.ranges_[aAsk.range_];
  if (range.state_ == RangeState::Held && !range.releasing_) {
    AdmitHeld(aStep, aAsk);
    return;
  }
  if (range.releasing_ && aAsk.waiter_.from_.IsValid()) {
    DeclineForward(aStep, aAsk.waiter_);
    return;
  }
  QueueAsk(aStep, aAsk);
  if (range.state_ == RangeState::Idle) {
    AcquireRange(aStep, aAsk.range_);
  }
}

void
AdmitHeld(OrderStep& aStep, const OrderAsk& aAsk)
{
  const OrderState& state = aStep.state_;
  const std::int64_t floor = state.ranges_[aAsk.range_].head_.floorUnixMs_;
  if (state.settings_.guards_.storedFloor_ && aAsk.parsed_.unixMs_ < floor) {
    AnswerWaiter(
      aStep, aAsk.waiter_, aAsk.key_, ResultCode::KeyExpired, nullptr, false);
    return;
  }
  AdmitAsk(aStep, { aAsk.range_, aAsk.digest_ }, aAsk);
}

void
AdmitWaiting(OrderStep& aStep, std::uint32_t aRange)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  for (const OrderAsk& ask : std::exchange(range.asks_, {})) {
    if (range.releasing_) {
      range.asks_.push_back(ask);
    } else {
      AdmitHeld(aStep, ask);
    }
  }
}

void
LoseRange(OrderStep& aStep, std::uint32_t aRange, const char* aReason)
{
  OrderState& state = aStep.state_;
  aStep.out_.push_back(
    TimelineRecord{ .kind_ = TimelineKind::RangeLost,
                    .object_ = HeadKey(state.settings_, aRange),
                    .number_ = state.ranges_[aRange].head_.epoch_,
                    .text_ = aReason });
  const std::vector<OrderAsk> asks = DropRange(state, aRange);
  state.ranges_[aRange].rebalanceAt_ =
    aStep.now_.mono_ + state.settings_.rebalanceDelay_;
  RerouteAsks(aStep, asks);
}

void
EndRelease(OrderStep& aStep, std::uint32_t aRange)
{
  RerouteAsks(aStep, DropRange(aStep.state_, aRange));
}

void
BeginRelease(OrderStep& aStep, std::uint32_t aRange)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  if (range.state_ != RangeState::Held || range.releasing_) {
    return;
  }
  range.releasing_ = true;
  range.releaseBy_ = aStep.now_.mono_ + aStep.state_.settings_.releaseWait_;
  MaybeAppend(aStep, aRange);
  MaybeRelease(aStep, aRange);
}

void
PlanRanges(OrderStep& aStep)
{
  OrderState& state = aStep.state_;
  const OrderSettings& settings = state.settings_;
  for (std::uint32_t n = 0; n < settings.ranges_; ++n) {
    OrderRange& range = state.ranges_[n];
    const bool ours = RangeWinner(state, n) == settings.self_;
    const bool held = range.state_ == RangeState::Held;
    if (range.rebalanceAt_ != kNever || (held && ours && !range.releasing_)) {
      continue;
    }
    if (held) {
      range.rebalanceAt_ = aStep.now_.mono_ + settings.rebalanceDelay_;
    } else if (range.state_ == RangeState::Idle && ours) {
      range.rebalanceAt_ =
        aStep.now_.mono_ +
        Jittered(aStep, settings.rebalanceDelay_ / kEagerParts);
    }
  }
}

void
TickRange(OrderStep& aStep, std::uint32_t aRange)
{
  OrderState& state = aStep.state_;
  OrderRange& range = state.ranges_[aRange];
  const TimePoint now = aStep.now_.mono_;
  ExpireAsks(aStep, aRange);
  if (range.appendAt_ <= now) {
    range.appendAt_ = kNever;
  }
  if (range.releaseBy_ <= now) {
    range.releaseBy_ = TimePoint::min(); // No wake any more.
  }
  if (state.stopBy_ <= now && range.state_ == RangeState::Held &&
      !AnyRuns(range.table_)) {
    LoseRange(aStep, aRange, "not handed over: the store is out");
  }
  if (range.rebalanceAt_ <= now) {
    Rebalance(aStep, aRange);
  }
  if (range.segment_.retryAt_ <= now) {
    SendSegment(aStep, aRange);
  }
  if (range.retryAt_ <= now) {
    range.retryAt_ = kNever;
    if (range.write_.active_) {
      SendHeadWrite(aStep, aRange);
    } else if (range.state_ == RangeState::Waiting) {
      AcquireRange(aStep, aRange);
    }
  }
  MaybeAppend(aStep, aRange);
  MaybeRelease(aStep, aRange);
}

} // namespace camphorfield
