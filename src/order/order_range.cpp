/**
 * Ownership of key ranges: acquire, release and loss as members change. Orders
 * that wait for a range are queued up to a limit and rerouted when it is lost.
 */
#include "order/order_internal.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

constexpr std::uint32_t kMaxDoublings = 10;

/** Acquire after this fraction of the rebalance delay; releases wait all of
 * it. */
constexpr Duration::rep kAcquireDelayDivisor = 4;

/** Queue an order until the range is held; refuse it if the queue is full. */
void
QueueOrder(OrderStep& aStep, const IncomingOrder& aOrder)
{
  OrderRange& range = aStep.state_.ranges_[aOrder.range_];
  if (range.queuedOrders_.size() >= aStep.state_.settings_.rangeQueueEntries_) {
    AnswerWaiter(aStep,
                 aOrder.waiter_,
                 aOrder.key_,
                 RefusalCode(aStep, ResultCode::OrderNotAccepted),
                 nullptr,
                 false);
    return;
  }
  range.queuedOrders_.push_back(aOrder);
  ScheduleDeadline(aStep.state_, aOrder.waiter_.deadline_);
}

/** Decline forwarded orders, route local ones to the new owner. */
void
RerouteOrders(OrderStep& aStep, const std::vector<IncomingOrder>& aOrders)
{
  for (const IncomingOrder& order : aOrders) {
    if (order.waiter_.from_.IsValid()) {
      DeclineForward(aStep, order.waiter_);
    } else {
      RouteOrder(aStep, order);
    }
  }
}

/** Turn the waiters of an undispatched attempt into separate orders. */
void
AppendWaiterOrders(const OrderAttempt& aAttempt,
                   std::vector<IncomingOrder>& aOrders)
{
  for (const OrderWaiter& waiter : aAttempt.waiters_) {
    aOrders.push_back(aAttempt.order_);
    aOrders.back().waiter_ = waiter;
  }
}

/** Drop a range; returns its undispatched orders. Running orders move to the
 * orphan table. */
std::vector<IncomingOrder>
DropRange(OrderState& aState, std::uint32_t aRange)
{
  OrderRange& range = aState.ranges_[aRange];
  std::vector<IncomingOrder> orders = std::move(range.queuedOrders_);
  for (auto& [key, attempt] : range.table_.attempts_) {
    if (!attempt.dispatch_.IsValid()) {
      AppendWaiterOrders(attempt, orders);
      continue;
    }
    aState.dispatches_[attempt.dispatch_] = { kOrphanTable, key };
    aState.orphans_.entries_[key] = range.table_.entries_[key];
    aState.orphans_.attempts_[key] = std::move(attempt);
  }
  range = OrderRange{};
  return orders;
}

bool
HasDispatched(const OrderTable& aTable)
{
  return std::any_of(
    aTable.attempts_.begin(), aTable.attempts_.end(), [](const auto& aAttempt) {
      return aAttempt.second.dispatch_.IsValid();
    });
}

bool
HasUnconfirmedClaims(const OrderRange& aRange)
{
  return std::any_of(
    aRange.table_.attempts_.begin(),
    aRange.table_.attempts_.end(),
    [&aRange](const auto& aAttempt) {
      return aRange.table_.entries_.at(aAttempt.first).state_ ==
             EntryState::Claiming;
    });
}

/** Write the release once no claim is open and running orders have ended or
 * their time is up. */
void
MaybeRelease(OrderStep& aStep, std::uint32_t aRange)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  if (range.state_ != RangeState::Held || !range.releasing_ ||
      range.write_.active_ || HasUnconfirmedClaims(range)) {
    return;
  }
  if (HasDispatched(range.table_) && aStep.now_.mono_ < range.releaseBy_) {
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
  const bool ours = PreferredOwner(state, aRange) == state.settings_.self_;
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
ExpireQueuedOrders(OrderStep& aStep, std::uint32_t aRange)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  std::vector<IncomingOrder> kept;
  std::vector<IncomingOrder> late;
  for (IncomingOrder& order : range.queuedOrders_) {
    const bool isLate = order.waiter_.deadline_ <= aStep.now_.mono_;
    (isLate ? late : kept).push_back(std::move(order));
  }
  range.queuedOrders_ = std::move(kept);
  for (const IncomingOrder& order : late) {
    AnswerWaiter(aStep,
                 order.waiter_,
                 order.key_,
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
  const std::uint32_t doublings = std::min(range.failures_, kMaxDoublings);
  ++range.failures_;
  const Duration delay = std::min(settings.backoffMax_,
                                  settings.backoffInitial_ * (1U << doublings));
  range.retryAt_ = aStep.now_.mono_ + Jittered(aStep, delay);
}

void
SubmitToRange(OrderStep& aStep, const IncomingOrder& aOrder)
{
  OrderRange& range = aStep.state_.ranges_[aOrder.range_];
  if (range.state_ == RangeState::Held && !range.releasing_) {
    AdmitToHeldRange(aStep, aOrder);
    return;
  }
  if (range.releasing_ && aOrder.waiter_.from_.IsValid()) {
    DeclineForward(aStep, aOrder.waiter_);
    return;
  }
  QueueOrder(aStep, aOrder);
  if (range.state_ == RangeState::Idle) {
    AcquireRange(aStep, aOrder.range_);
  }
}

void
AdmitToHeldRange(OrderStep& aStep, const IncomingOrder& aOrder)
{
  const OrderState& state = aStep.state_;
  const std::int64_t floor = state.ranges_[aOrder.range_].head_.floorUnixMs_;
  if (state.settings_.guards_.expiryByStoredFloor_ &&
      aOrder.parsed_.unixMs_ < floor) {
    AnswerWaiter(aStep,
                 aOrder.waiter_,
                 aOrder.key_,
                 ResultCode::KeyExpired,
                 nullptr,
                 false);
    return;
  }
  AdmitOrder(aStep, { aOrder.range_, aOrder.digest_ }, aOrder);
}

void
AdmitQueuedOrders(OrderStep& aStep, std::uint32_t aRange)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  for (const IncomingOrder& order : std::exchange(range.queuedOrders_, {})) {
    if (range.releasing_) {
      range.queuedOrders_.push_back(order);
    } else {
      AdmitToHeldRange(aStep, order);
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
  const std::vector<IncomingOrder> orders = DropRange(state, aRange);
  state.ranges_[aRange].rebalanceAt_ =
    aStep.now_.mono_ + state.settings_.rebalanceDelay_;
  RerouteOrders(aStep, orders);
}

void
EndRelease(OrderStep& aStep, std::uint32_t aRange)
{
  RerouteOrders(aStep, DropRange(aStep.state_, aRange));
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
    const bool ours = PreferredOwner(state, n) == settings.self_;
    const bool held = range.state_ == RangeState::Held;
    if (range.rebalanceAt_ != kNever || (held && ours && !range.releasing_)) {
      continue;
    }
    if (held) {
      range.rebalanceAt_ = aStep.now_.mono_ + settings.rebalanceDelay_;
    } else if (range.state_ == RangeState::Idle && ours) {
      range.rebalanceAt_ =
        aStep.now_.mono_ +
        Jittered(aStep, settings.rebalanceDelay_ / kAcquireDelayDivisor);
    }
  }
}

void
TickRange(OrderStep& aStep, std::uint32_t aRange)
{
  OrderState& state = aStep.state_;
  OrderRange& range = state.ranges_[aRange];
  const TimePoint now = aStep.now_.mono_;
  ExpireQueuedOrders(aStep, aRange);
  if (range.appendAt_ <= now) {
    range.appendAt_ = kNever;
  }
  if (range.releaseBy_ <= now) {
    range.releaseBy_ = TimePoint::min(); // Passed: no further wake-up.
  }
  if (state.stopBy_ <= now && range.state_ == RangeState::Held &&
      !HasDispatched(range.table_)) {
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
