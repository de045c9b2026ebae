#include "order/order_internal.h"

#include <absl/strings/string_view.h>
#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

constexpr std::uint32_t kMostDoublings = 10;
constexpr Duration::rep kEagerParts = 4; ///< Eager takeover: part of a delay.

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

void
ApplyRecord(const OrderStep& aStep,
            OrderTable& aTable,
            const LogRecord& aRecord)
{
  if (aRecord.kind_ == LogRecordKind::Claim) {
    OrderEntry& entry = aTable.entries_[aRecord.key_];
    // The owner that claimed it may have dispatched it.
    entry.state_ = aStep.state_.settings_.guards_.claimIsFinal_
                     ? EntryState::Unknown
                     : EntryState::NotRun;
    entry.code_ = ResultCode::OutcomeUnknown;
    entry.unixMs_ = aRecord.unixMs_;
    entry.body_ = aRecord.body_;
    ++entry.attempt_;
    return;
  }
  const auto entry = aTable.entries_.find(aRecord.key_);
  if (entry == aTable.entries_.end()) {
    return; // Its claim was below the floor.
  }
  const bool ran = aRecord.code_ == ResultCode::Ok ||
                   aRecord.code_ == ResultCode::OrderRefused;
  if (ran && aRecord.answer_ == nullptr) {
    return;
  }
  entry->second.state_ = ran ? EntryState::Done : EntryState::NotRun;
  entry->second.code_ = aRecord.code_;
  entry->second.answer_ = aRecord.answer_;
}

const PlatformObject*
FindObject(const PlatformReply& aReply, const std::string& aKey)
{
  for (const PlatformObject& object : aReply.objects_) {
    if (object.key_ == aKey) {
      return &object;
    }
  }
  return nullptr;
}

/** Read the records of all segments; a missing one means a stale read. */
absl::Status
LoadSegments(OrderStep& aStep,
             std::uint32_t aRange,
             const PlatformReply& aReply,
             LogHead& aHead,
             OrderTable& aTable)
{
  const std::string prefix = RangePrefix(aStep.state_.settings_, aRange);
  for (LogSegment& segment : aHead.segments_) {
    const PlatformObject* object = FindObject(aReply, prefix + segment.name_);
    if (object == nullptr) {
      return absl::UnavailableError("segment is missing");
    }
    const auto records = DecodeSegment(object->value_);
    if (!records.ok()) {
      return records.status();
    }
    segment.version_ = object->version_;
    for (const LogRecord& record : *records) {
      ApplyRecord(aStep, aTable, record);
    }
  }
  for (const LogRecord& record : aHead.records_) {
    ApplyRecord(aStep, aTable, record);
  }
  return absl::OkStatus();
}

/** Delete segments that no head names any more. */
void
DeleteOrphanSegments(OrderStep& aStep,
                     std::uint32_t aRange,
                     const PlatformReply& aReply)
{
  const OrderSettings& settings = aStep.state_.settings_;
  const LogHead& head = aStep.state_.ranges_[aRange].head_;
  const std::string prefix = RangePrefix(settings, aRange);
  for (const PlatformObject& object : aReply.objects_) {
    const bool named =
      object.key_ == HeadKey(settings, aRange) ||
      std::any_of(head.segments_.begin(),
                  head.segments_.end(),
                  [&](const LogSegment& aSegment) {
                    return prefix + aSegment.name_ == object.key_;
                  });
    if (named || !object.key_.starts_with(prefix)) {
      continue;
    }
    aStep.out_.push_back(
      PlatformCall{ .id_ = IssuePlatformCall(aStep, PlatformOp::Delete),
                    .user_ = PlatformUser::Order,
                    .op_ = PlatformOp::Delete,
                    .key_ = object.key_,
                    .expectedVersion_ = object.version_,
                    .timeout_ = settings.platformTimeout_ });
  }
}

/** Whether a live owner is to be given more time. */
bool
OwnerHasGrace(OrderStep& aStep, OrderRange& aRange, const LogHead& aHead)
{
  const OrderState& state = aStep.state_;
  const bool other = aHead.owner_ != state.settings_.self_;
  if (aHead.epoch_ == 0 || aHead.released_ || !other ||
      !IncarnationLives(state, aHead.owner_, aHead.incarnation_)) {
    return false;
  }
  if (aRange.graceUntil_ == kNever) {
    aRange.graceUntil_ = aStep.now_.mono_ + state.settings_.takeoverGrace_;
  }
  return aStep.now_.mono_ < aRange.graceUntil_;
}

/** Claims whose outcome may still be told by their owner. */
void
SettleFromCopies(OrderStep& aStep, std::uint32_t aRange)
{
  OrderState& state = aStep.state_;
  std::vector<KeyDigest> open;
  for (const auto& [key, entry] : state.ranges_[aRange].table_.entries_) {
    const auto copy = state.copies_.find(key);
    if (entry.state_ == EntryState::Unknown && copy != state.copies_.end() &&
        copy->second.body_ == entry.body_) {
      open.push_back(key);
    }
  }
  for (const KeyDigest& key : open) {
    const OutcomeCopy copy = state.copies_[key];
    FinishAttempt(
      aStep, { aRange, key }, EntryState::Done, copy.code_, copy.answer_);
  }
}

/** The log can't be used: refuse, never guess. */
void
RefuseCorrupt(OrderStep& aStep, std::uint32_t aRange, absl::string_view aWhy)
{
  OrderState& state = aStep.state_;
  OrderRange& range = state.ranges_[aRange];
  aStep.out_.push_back(
    TimelineRecord{ .kind_ = TimelineKind::RangeLost,
                    .object_ = HeadKey(state.settings_, aRange),
                    .text_ = "corrupt: " + std::string(aWhy) });
  for (const OrderAsk& ask : std::exchange(range.asks_, {})) {
    AnswerWaiter(aStep,
                 ask.waiter_,
                 ask.key_,
                 RefusalCode(aStep, ResultCode::ClaimsUnavailable),
                 nullptr,
                 false);
  }
  BackOff(aStep, aRange);
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
AcquireRange(OrderStep& aStep, std::uint32_t aRange)
{
  OrderState& state = aStep.state_;
  OrderRange& range = state.ranges_[aRange];
  if (range.retryAt_ != kNever && aStep.now_.mono_ < range.retryAt_) {
    return;
  }
  range.state_ = RangeState::Loading;
  range.retryAt_ = kNever;
  range.call_ = IssuePlatformCall(aStep, PlatformOp::List);
  aStep.out_.push_back(
    PlatformCall{ .id_ = range.call_,
                  .user_ = PlatformUser::Order,
                  .op_ = PlatformOp::List,
                  .key_ = RangePrefix(state.settings_, aRange),
                  .timeout_ = state.settings_.platformTimeout_ });
}

void
LoadRange(OrderStep& aStep, std::uint32_t aRange, const PlatformReply& aReply)
{
  OrderState& state = aStep.state_;
  OrderRange& range = state.ranges_[aRange];
  range.state_ = RangeState::Waiting;
  if (aReply.status_ != PlatformStatus::Ok &&
      aReply.status_ != PlatformStatus::NotFound) {
    BackOff(aStep, aRange);
    return;
  }
  const PlatformObject* object =
    FindObject(aReply, HeadKey(state.settings_, aRange));
  LogHead head{ .ranges_ = state.settings_.ranges_ };
  if (object != nullptr) {
    absl::StatusOr<LogHead> decoded = DecodeHead(object->value_);
    if (!decoded.ok() || decoded->ranges_ != state.settings_.ranges_) {
      RefuseCorrupt(aStep,
                    aRange,
                    decoded.ok() ? "other number of ranges"
                                 : decoded.status().message());
      return;
    }
    head = *std::move(decoded);
  }
  if (OwnerHasGrace(aStep, range, head)) {
    range.retryAt_ =
      aStep.now_.mono_ + Jittered(aStep, state.settings_.backoffFirst_);
    return;
  }
  range.table_ = {};
  const absl::Status status =
    LoadSegments(aStep, aRange, aReply, head, range.table_);
  if (absl::IsDataLoss(status)) {
    RefuseCorrupt(aStep, aRange, status.message());
    return;
  }
  if (!status.ok()) {
    BackOff(aStep, aRange);
    return;
  }
  range.state_ = RangeState::Loading;
  range.head_ = std::move(head);
  range.version_ = object == nullptr ? 0 : object->version_;
  DeleteOrphanSegments(aStep, aRange, aReply);
  WriteTakeover(aStep, aRange);
}

void
BecomeOwner(OrderStep& aStep, std::uint32_t aRange)
{
  OrderState& state = aStep.state_;
  OrderRange& range = state.ranges_[aRange];
  range.state_ = RangeState::Held;
  range.graceUntil_ = kNever;
  range.segments_ = 0;
  range.waitUntil_ = aStep.now_.mono_ + state.settings_.outcomeWait_;
  aStep.out_.push_back(
    TimelineRecord{ .kind_ = TimelineKind::RangeTaken,
                    .object_ = HeadKey(state.settings_, aRange),
                    .number_ = range.head_.epoch_ });
  SettleFromCopies(aStep, aRange);
  AdmitWaiting(aStep, aRange);
  if (state.stopping_ || RangeWinner(state, aRange) != state.settings_.self_) {
    range.rebalanceAt_ = aStep.now_.mono_ + state.settings_.rebalanceDelay_;
  }
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
