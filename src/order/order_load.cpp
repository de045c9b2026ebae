/**
 * Takeover of a key range: read its claim log, wait for a live owner to release
 * it, then write the new owner. Claims without outcome become "unknown".
 */
#include "order/order_internal.h"

#include <absl/strings/string_view.h>
#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

void
ApplyRecord(const OrderStep& aStep,
            OrderTable& aTable,
            const LogRecord& aRecord)
{
  if (aRecord.kind_ == LogRecordKind::Claim) {
    OrderEntry& entry = aTable.entries_[aRecord.key_];
    // The owner that stored the claim may have dispatched the order.
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

/** Apply the records of all segments and the head; a missing segment means a
 * stale read. */
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

/** Delete segments that the head doesn't refer to. */
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

/** Whether a live owner still has time to release the range. */
bool
IsOwnerInGrace(OrderStep& aStep, OrderRange& aRange, const LogHead& aHead)
{
  const OrderState& state = aStep.state_;
  const bool other = aHead.owner_ != state.settings_.self_;
  if (aHead.epoch_ == 0 || aHead.released_ || !other ||
      !IsIncarnationAlive(state, aHead.owner_, aHead.incarnation_)) {
    return false;
  }
  if (aRange.graceUntil_ == kNever) {
    aRange.graceUntil_ = aStep.now_.mono_ + state.settings_.takeoverGrace_;
  }
  return aStep.now_.mono_ < aRange.graceUntil_;
}

/** Settle claims without outcome from the outcome copies that were received. */
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

/** Refuse all queued orders and retry later, since the log can't be used. */
void
RefuseCorrupt(OrderStep& aStep, std::uint32_t aRange, absl::string_view aWhy)
{
  OrderState& state = aStep.state_;
  OrderRange& range = state.ranges_[aRange];
  aStep.out_.push_back(
    TimelineRecord{ .kind_ = TimelineKind::RangeLost,
                    .object_ = HeadKey(state.settings_, aRange),
                    .text_ = "corrupt: " + std::string(aWhy) });
  for (const IncomingOrder& order : std::exchange(range.queuedOrders_, {})) {
    AnswerWaiter(aStep,
                 order.waiter_,
                 order.key_,
                 RefusalCode(aStep, ResultCode::ClaimsUnavailable),
                 nullptr,
                 false);
  }
  BackOff(aStep, aRange);
}

} // namespace

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
OnRangeLoadReply(OrderStep& aStep,
                 std::uint32_t aRange,
                 const PlatformReply& aReply)
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
  if (IsOwnerInGrace(aStep, range, head)) {
    range.retryAt_ =
      aStep.now_.mono_ + Jittered(aStep, state.settings_.backoffInitial_);
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
  range.copyWaitUntil_ = aStep.now_.mono_ + state.settings_.outcomeWait_;
  aStep.out_.push_back(
    TimelineRecord{ .kind_ = TimelineKind::RangeTaken,
                    .object_ = HeadKey(state.settings_, aRange),
                    .number_ = range.head_.epoch_ });
  SettleFromCopies(aStep, aRange);
  AdmitQueuedOrders(aStep, aRange);
  if (state.stopping_ ||
      PreferredOwner(state, aRange) != state.settings_.self_) {
    range.rebalanceAt_ = aStep.now_.mono_ + state.settings_.rebalanceDelay_;
  }
}

} // namespace camphorfield
