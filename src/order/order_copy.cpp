/**
 * Copies of outcomes on other daemons. They answer resends after the daemon
 * that ran an order was lost; no guarantee depends on them.
 */
#include "order/order_internal.h"

namespace camphorfield {

namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;

void
StoreOutcomeCopy(OrderStep& aStep,
                 const KeyDigest& aKey,
                 const OrderOutcomeCopy& aCopy)
{
  OrderState& state = aStep.state_;
  const std::int64_t oldest =
    aStep.now_.unixMicros_ - state.settings_.window_.count();
  while (!state.copyOrder_.empty()) {
    const auto front = state.copies_.find(state.copyOrder_.front());
    const bool full = state.copies_.size() >= state.settings_.copyEntries_;
    if (!full && front->second.unixMicros_ >= oldest) {
      break;
    }
    state.copies_.erase(front);
    state.copyOrder_.pop_front();
  }
  const OutcomeCopy copy{ .body_ = aCopy.body_,
                          .code_ = aCopy.code_,
                          .answer_ = aCopy.answer_,
                          .unixMicros_ = aCopy.unixMicros_ };
  if (state.copies_.insert_or_assign(aKey, copy).second) {
    state.copyOrder_.push_back(aKey);
  }
}

/** Settle the open claim of the copy's key, if this daemon holds it.
 * @return Whether a claim was settled. */
bool
SettleClaim(OrderStep& aStep,
            const KeyDigest& aKey,
            const OrderOutcomeCopy& aCopy)
{
  OrderState& state = aStep.state_;
  const std::uint32_t n = RangeOfKey(aKey, state.settings_.ranges_);
  OrderRange& range = state.ranges_[n];
  const auto entry = range.table_.entries_.find(aKey);
  if (range.state_ != RangeState::Held ||
      entry == range.table_.entries_.end() ||
      entry->second.state_ != EntryState::Unknown ||
      entry->second.body_ != aCopy.body_) {
    return false;
  }
  FinishAttempt(
    aStep, { n, aKey }, EntryState::Done, aCopy.code_, aCopy.answer_);
  return true;
}

} // namespace

void
OnOutcomeCopy(OrderStep& aStep, const OrderOutcomeCopy& aCopy)
{
  if (aCopy.code_ != ResultCode::Ok &&
      aCopy.code_ != ResultCode::OrderRefused) {
    return; // Only orders that ran have an outcome to copy.
  }
  const KeyDigest key = DigestKey(aCopy.caller_, aCopy.key_);
  if (ParseKey(aCopy.key_).kind_ == KeyKind::Plain &&
      SettleClaim(aStep, key, aCopy)) {
    return;
  }
  StoreOutcomeCopy(aStep, key, aCopy);
}

void
SendOutcomeCopies(OrderStep& aStep,
                  const IncomingOrder& aOrder,
                  ResultCode aCode,
                  const SharedText& aBody)
{
  OrderState& state = aStep.state_;
  const OrderOutcomeCopy copy{ .caller_ = aOrder.caller_,
                               .key_ = aOrder.key_,
                               .body_ = aOrder.content_,
                               .code_ = aCode,
                               .answer_ = aBody,
                               .unixMicros_ = aStep.now_.unixMicros_ };
  for (const DaemonId holder : CopyHolders(state, aOrder.range_)) {
    SendToPeer(aStep, holder, copy, {});
  }
  if (aOrder.parsed_.kind_ == KeyKind::Plain) {
    SettleClaim(aStep, aOrder.digest_, copy);
  }
}

} // namespace camphorfield
