/**
 * State machine of one key: claim, dispatch, outcome. Concurrent requests join
 * one attempt; after a crash or a lost answer a key that may have run stays
 * "unknown".
 */
#include "core/result_func.h"
#include "order/order_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Most batches of records queued for a range. */
constexpr std::size_t kMaxPendingBatches = 2;

bool
IsRange(const EntryRef& aRef)
{
  return aRef.table_ < kTokenTable;
}

/** Whether the entry belongs to an order without a key, kept only while it
 * runs. */
bool
IsKeyless(const EntryRef& aRef)
{
  return aRef.table_ == kTokenTable && aRef.key_.high_ == 0;
}

/** Whether one more key can be admitted. */
bool
HasCapacity(const OrderStep& aStep, const EntryRef& aRef)
{
  const OrderSettings& settings = aStep.state_.settings_;
  if (!IsRange(aRef)) {
    return aStep.state_.tokens_.entries_.size() < settings.tokenEntries_;
  }
  const OrderRange& range = aStep.state_.ranges_[aRef.table_];
  return range.table_.entries_.size() < settings.rangeEntries_ &&
         range.pending_.size() < settings.batchRecords_ * kMaxPendingBatches;
}

void
QueueClaim(OrderStep& aStep, const EntryRef& aRef, const OrderEntry& aEntry)
{
  OrderRange& range = aStep.state_.ranges_[aRef.table_];
  range.pending_.push_back({ .kind_ = LogRecordKind::Claim,
                             .key_ = aRef.key_,
                             .unixMs_ = aEntry.unixMs_,
                             .body_ = aEntry.body_,
                             .attempt_ = aEntry.attempt_ });
  MaybeAppend(aStep, aRef.table_);
}

void
RefuseOverLimit(OrderStep& aStep,
                const EntryRef& aRef,
                const IncomingOrder& aOrder)
{
  // The issuer of a token knows its whole history and may state "not run". A
  // range may have been lost unnoticed, so its owner may not.
  const ResultCode code = IsRange(aRef)
                            ? RefusalCode(aStep, ResultCode::OrderNotAccepted)
                            : ResultCode::Overloaded;
  AnswerWaiter(aStep, aOrder.waiter_, aOrder.key_, code, nullptr, false);
}

void
BeginAttempt(OrderStep& aStep,
             const EntryRef& aRef,
             const IncomingOrder& aOrder)
{
  OrderTable& table = TableOf(aStep.state_, aRef.table_);
  const bool isNew = table.entries_.count(aRef.key_) == 0;
  if (isNew && !HasCapacity(aStep, aRef)) {
    RefuseOverLimit(aStep, aRef, aOrder);
    return;
  }
  OrderEntry& entry = table.entries_[aRef.key_];
  const OrderGuards& guards = aStep.state_.settings_.guards_;
  const bool claims = IsRange(aRef) && guards.claimBeforeDispatch_ &&
                      (isNew || guards.claimPerAttempt_);
  entry.state_ = EntryState::Claiming;
  entry.unixMs_ = aOrder.parsed_.unixMs_;
  entry.body_ = aOrder.content_;
  ++entry.attempt_;
  table.attempts_[aRef.key_] = { .order_ = aOrder,
                                 .waiters_ = { aOrder.waiter_ } };
  ScheduleDeadline(aStep.state_, aOrder.waiter_.deadline_);
  if (claims) {
    QueueClaim(aStep, aRef, entry);
    return;
  }
  StartDispatch(aStep, aRef);
}

/** Wait for an outcome copy: another daemon may have run the order. */
void
AwaitOutcomeCopy(OrderStep& aStep,
                 const EntryRef& aRef,
                 const IncomingOrder& aOrder)
{
  const TimePoint until = IsRange(aRef)
                            ? aStep.state_.ranges_[aRef.table_].copyWaitUntil_
                            : TimePoint{};
  if (until <= aStep.now_.mono_) {
    AnswerWaiter(aStep,
                 aOrder.waiter_,
                 aOrder.key_,
                 ResultCode::OutcomeUnknown,
                 nullptr,
                 false);
    return;
  }
  OrderAttempt& attempt =
    TableOf(aStep.state_, aRef.table_).attempts_[aRef.key_];
  attempt.order_ = aOrder;
  attempt.waiters_.push_back(aOrder.waiter_);
  attempt.waiters_.back().deadline_ = std::min(aOrder.waiter_.deadline_, until);
  ScheduleDeadline(aStep.state_, attempt.waiters_.back().deadline_);
}

void
JoinAttempt(OrderStep& aStep, const EntryRef& aRef, const IncomingOrder& aOrder)
{
  if (!aStep.state_.settings_.guards_.sameKeyJoins_) {
    BeginAttempt(aStep, aRef, aOrder);
    return;
  }
  OrderAttempt& attempt =
    TableOf(aStep.state_, aRef.table_).attempts_[aRef.key_];
  attempt.waiters_.push_back(aOrder.waiter_);
  ScheduleDeadline(aStep.state_, aOrder.waiter_.deadline_);
}

/** Cancel a claim without waiters. */
void
AbandonClaim(OrderStep& aStep, const EntryRef& aRef)
{
  OrderRange& range = aStep.state_.ranges_[aRef.table_];
  OrderEntry& entry = range.table_.entries_[aRef.key_];
  range.table_.attempts_.erase(aRef.key_);
  const auto record = std::find_if(
    range.pending_.begin(),
    range.pending_.end(),
    [&aRef](const LogRecord& aRecord) {
      return aRecord.kind_ == LogRecordKind::Claim && aRecord.key_ == aRef.key_;
    });
  if (record == range.pending_.end()) {
    // The write may still take effect. The state ensures that this daemon never
    // dispatches the order.
    entry.state_ = EntryState::Abandoned;
    return;
  }
  range.pending_.erase(record);
  entry.state_ = EntryState::NotRun;
  entry.code_ = ResultCode::OrderNotRun;
  if (entry.attempt_ == 1) {
    range.table_.entries_.erase(aRef.key_);
  }
}

/** Code for a waiter whose deadline passed before the outcome was known. */
ResultCode
ExpiredWaiterCode(const OrderStep& aStep,
                  EntryState aState,
                  bool aBeganIt,
                  bool aOthersWait)
{
  if (aState == EntryState::Claiming && !aOthersWait) {
    return RefusalCode(aStep, ResultCode::ClaimsUnavailable);
  }
  const bool running =
    aState == EntryState::Claiming || aState == EntryState::Running;
  return running && !aBeganIt ? ResultCode::OrderInProgress
                              : ResultCode::OutcomeUnknown;
}

/** Whether an answer is small enough to be stored for replays. */
bool
FitsAnswerLimit(const OrderStep& aStep, const SharedText& aBody)
{
  return aBody == nullptr ||
         aBody->size() <= aStep.state_.settings_.answerBytes_;
}

void
SettleEntry(OrderStep& aStep,
            OrderEntry& aEntry,
            EntryState aEnd,
            ResultCode aCode,
            const SharedText& aBody)
{
  aEntry.state_ = aEnd;
  aEntry.code_ = aCode;
  if (aEnd != EntryState::Done) {
    return;
  }
  if (!FitsAnswerLimit(aStep, aBody)) {
    aEntry.state_ = EntryState::Unknown;
    return;
  }
  aEntry.answer_ =
    aBody == nullptr ? std::make_shared<const std::string>() : aBody;
}

/** Store the result of a finished attempt in the log and as copies, as far as
 * its table requires. */
void
StoreOutcome(OrderStep& aStep,
             const EntryRef& aRef,
             const OrderAttempt& aAttempt,
             EntryState aEnd)
{
  OrderTable& table = TableOf(aStep.state_, aRef.table_);
  const OrderEntry entry = table.entries_[aRef.key_];
  if (IsKeyless(aRef)) {
    table.entries_.erase(aRef.key_);
    return;
  }
  if (aRef.table_ == kOrphanTable) {
    table.entries_.erase(aRef.key_);
  }
  const bool done = entry.state_ == EntryState::Done;
  if (IsRange(aRef) && (done || aEnd == EntryState::NotRun)) {
    QueueOutcome(aStep, aRef.table_, aRef.key_, entry);
  }
  if (done && aAttempt.dispatch_.IsValid()) {
    SendOutcomeCopies(aStep, aAttempt.order_, entry.code_, entry.answer_);
  }
}

} // namespace

OrderTable&
TableOf(OrderState& aState, std::uint32_t aTable)
{
  if (aTable == kTokenTable) {
    return aState.tokens_;
  }
  if (aTable == kOrphanTable) {
    return aState.orphans_;
  }
  return aState.ranges_[aTable].table_;
}

void
AdmitOrder(OrderStep& aStep, const EntryRef& aRef, const IncomingOrder& aOrder)
{
  OrderTable& table = TableOf(aStep.state_, aRef.table_);
  const auto found = table.entries_.find(aRef.key_);
  if (found == table.entries_.end()) {
    BeginAttempt(aStep, aRef, aOrder);
    return;
  }
  const OrderEntry entry = found->second;
  if (entry.body_ != aOrder.content_) {
    AnswerWaiter(aStep,
                 aOrder.waiter_,
                 aOrder.key_,
                 ResultCode::KeyReused,
                 nullptr,
                 false);
    return;
  }
  switch (entry.state_) {
    case EntryState::Claiming:
    case EntryState::Running:
      JoinAttempt(aStep, aRef, aOrder);
      return;
    case EntryState::Done:
      AnswerWaiter(
        aStep, aOrder.waiter_, aOrder.key_, entry.code_, entry.answer_, true);
      return;
    case EntryState::NotRun:
      BeginAttempt(aStep, aRef, aOrder);
      return;
    case EntryState::Abandoned:
      // Admitted again once the abandoned claim's write is settled.
      aStep.state_.ranges_[aRef.table_].queuedOrders_.push_back(aOrder);
      ScheduleDeadline(aStep.state_, aOrder.waiter_.deadline_);
      return;
    case EntryState::Unknown:
    case EntryState::End:
      AwaitOutcomeCopy(aStep, aRef, aOrder);
      return;
  }
}

void
StartDispatch(OrderStep& aStep, const EntryRef& aRef)
{
  OrderState& state = aStep.state_;
  OrderTable& table = TableOf(state, aRef.table_);
  OrderAttempt& attempt = table.attempts_[aRef.key_];
  TimePoint deadline = TimePoint::min();
  for (const OrderWaiter& waiter : attempt.waiters_) {
    deadline = std::max(deadline, waiter.deadline_);
  }
  if (!state.settings_.guards_.abandonedIsFinal_) {
    deadline = kNever;
  }
  // The process may have been paused while the claim was being written.
  if (deadline <= aStep.now_.mono_) {
    FinishAttempt(
      aStep, aRef, EntryState::NotRun, ResultCode::DeadlineTooShort, nullptr);
    return;
  }
  table.entries_[aRef.key_].state_ = EntryState::Running;
  attempt.dispatch_ = { ++state.nextDispatch_ };
  state.dispatches_[attempt.dispatch_] = aRef;
  ++state.stats_.dispatched_;
  const IncomingOrder& order = attempt.order_;
  const std::uint64_t request = order.waiter_.request_.IsValid()
                                  ? order.waiter_.request_.value_
                                  : order.waiter_.call_.value_;
  aStep.out_.push_back(DispatchOrder{ .id_ = attempt.dispatch_,
                                      .request_ = { request },
                                      .caller_ = order.caller_,
                                      .route_ = order.route_,
                                      .key_ = order.key_,
                                      .body_ = order.body_,
                                      .deadline_ = deadline });
  RecordOrderEvent(aStep, TimelineKind::OrderDispatched, order, "");
}

void
FinishAttempt(OrderStep& aStep,
              const EntryRef& aRef,
              EntryState aEnd,
              ResultCode aCode,
              const SharedText& aBody)
{
  OrderTable& table = TableOf(aStep.state_, aRef.table_);
  const auto found = table.attempts_.find(aRef.key_);
  OrderAttempt attempt;
  if (found != table.attempts_.end()) {
    attempt = std::move(found->second);
    table.attempts_.erase(found);
  }
  aStep.state_.dispatches_.erase(attempt.dispatch_);
  SettleEntry(aStep, table.entries_[aRef.key_], aEnd, aCode, aBody);
  const bool replayed = !attempt.dispatch_.IsValid();
  for (const OrderWaiter& waiter : attempt.waiters_) {
    AnswerWaiter(aStep, waiter, attempt.order_.key_, aCode, aBody, replayed);
  }
  StoreOutcome(aStep, aRef, attempt, aEnd);
}

void
FinishDispatch(OrderStep& aStep,
               const EntryRef& aRef,
               const OrderDispatched& aEvent)
{
  const bool retries = !aStep.state_.settings_.guards_.unknownIsFinal_;
  const bool notRun = GetResultRow(aEvent.reason_).run_ == RunState::NotRun;
  const ResultCode reason = notRun ? aEvent.reason_ : ResultCode::OrderNotRun;
  switch (aEvent.state_) {
    case DispatchState::Answered:
      FinishAttempt(
        aStep, aRef, EntryState::Done, ResultCode::Ok, aEvent.body_);
      return;
    case DispatchState::Rejected:
      FinishAttempt(
        aStep, aRef, EntryState::Done, ResultCode::OrderRefused, aEvent.body_);
      return;
    case DispatchState::NotRun:
      FinishAttempt(aStep, aRef, EntryState::NotRun, reason, nullptr);
      return;
    case DispatchState::Unknown:
    case DispatchState::End:
      FinishAttempt(aStep,
                    aRef,
                    retries ? EntryState::NotRun : EntryState::Unknown,
                    ResultCode::OutcomeUnknown,
                    nullptr);
      return;
  }
}

void
RunKeyless(OrderStep& aStep, const IncomingOrder& aOrder)
{
  const EntryRef ref{ kTokenTable, { 0, ++aStep.state_.nextDispatch_ } };
  BeginAttempt(aStep, ref, aOrder);
}

void
ExpireWaiters(OrderStep& aStep, const EntryRef& aRef)
{
  OrderTable& table = TableOf(aStep.state_, aRef.table_);
  OrderAttempt& attempt = table.attempts_[aRef.key_];
  const TimePoint now = aStep.now_.mono_;
  const auto late = std::stable_partition(
    attempt.waiters_.begin(),
    attempt.waiters_.end(),
    [now](const OrderWaiter& aWaiter) { return aWaiter.deadline_ > now; });
  const std::vector<OrderWaiter> expired(late, attempt.waiters_.end());
  attempt.waiters_.erase(late, attempt.waiters_.end());
  const bool others = !attempt.waiters_.empty();
  const EntryState entryState = table.entries_[aRef.key_].state_;
  const OrderWaiter first = attempt.order_.waiter_;
  const std::string key = attempt.order_.key_;
  if (!expired.empty() && !others) {
    if (entryState == EntryState::Claiming) {
      if (aStep.state_.settings_.guards_.abandonedIsFinal_) {
        AbandonClaim(aStep, aRef);
      }
    } else if (entryState != EntryState::Running) {
      table.attempts_.erase(aRef.key_);
    }
  }
  for (const OrderWaiter& waiter : expired) {
    const bool beganIt =
      waiter.request_ == first.request_ && waiter.call_ == first.call_;
    AnswerWaiter(aStep,
                 waiter,
                 key,
                 ExpiredWaiterCode(aStep, entryState, beganIt, others),
                 nullptr,
                 false);
  }
}

} // namespace camphorfield
