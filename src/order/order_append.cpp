/**
 * Appends to the claim log by conditional writes of a range's head object. Lost
 * replies and competing owners are distinguished by reading the head back.
 */
#include "order/order_internal.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;

constexpr double kMicrosPerSecond = 1e6;

bool
HasClaims(const std::vector<LogRecord>& aRecords)
{
  return std::any_of(
    aRecords.begin(), aRecords.end(), [](const LogRecord& aRecord) {
      return aRecord.kind_ == LogRecordKind::Claim;
    });
}

bool
IsAppendDue(const OrderStep& aStep, const OrderRange& aRange)
{
  const TimePoint now = aStep.now_.mono_;
  const bool prunes = aRange.pruneAt_ <= now && !aRange.table_.entries_.empty();
  return HasClaims(aRange.pending_) || aRange.segment_.stored_ || prunes ||
         (!aRange.pending_.empty() && aRange.flushAt_ <= now);
}

/**
 * Take a write from the daemon's share of the write rate. Half of the burst is
 * reserved for claims, since callers wait for them.
 */
bool
ConsumeWriteToken(OrderStep& aStep, OrderRange& aRange)
{
  OrderState& state = aStep.state_;
  const double needed =
    HasClaims(aRange.pending_) ? 1.0 : state.settings_.writeBurst_ / 2.0;
  const double rate = static_cast<double>(state.settings_.writesPerSecond_) /
                      static_cast<double>(CountLiveMembers(state));
  const auto passed =
    static_cast<double>((aStep.now_.mono_ - state.writeTokensAt_).count());
  state.writeTokens_ =
    std::min(static_cast<double>(state.settings_.writeBurst_),
             state.writeTokens_ + passed * rate / kMicrosPerSecond);
  state.writeTokensAt_ = aStep.now_.mono_;
  if (state.writeTokens_ >= needed) {
    state.writeTokens_ -= 1.0;
    return true;
  }
  const double wait = (needed - state.writeTokens_) * kMicrosPerSecond / rate;
  aRange.appendAt_ =
    aStep.now_.mono_ + Duration(static_cast<Duration::rep>(wait) + 1);
  return false;
}

std::string
IssueBatch(OrderState& aState)
{
  return std::to_string(aState.settings_.self_.value_) + '-' +
         std::to_string(aState.settings_.incarnation_.value_) + '-' +
         std::to_string(++aState.nextDispatch_);
}

/** Raise the floor if due; returns the time below which keys are dropped. */
std::int64_t
RaiseFloor(const OrderStep& aStep, LogHead& aHead)
{
  const OrderSettings& settings = aStep.state_.settings_;
  const std::int64_t window = settings.window_.count();
  const std::int64_t floor =
    (aStep.now_.unixMicros_ - window) / kMicrosPerMilli;
  if (!settings.guards_.expiryByStoredFloor_) {
    return floor;
  }
  // Rises in large steps, because each step prunes all keys in memory.
  if (floor - aHead.floorUnixMs_ >= window / kPruneSteps / kMicrosPerMilli) {
    aHead.floorUnixMs_ = floor;
  }
  return aHead.floorUnixMs_;
}

void
PruneHead(LogHead& aHead, std::int64_t aFloor)
{
  std::erase_if(aHead.records_, [aFloor](const LogRecord& aRecord) {
    return aRecord.unixMs_ < aFloor;
  });
}

/** Refuse a claim whose key expired while it was queued. */
void
ExpireClaim(OrderStep& aStep, std::uint32_t aRange, const LogRecord& aRecord)
{
  OrderTable& table = aStep.state_.ranges_[aRange].table_;
  const auto attempt = table.attempts_.find(aRecord.key_);
  table.entries_.erase(aRecord.key_);
  if (attempt == table.attempts_.end()) {
    return;
  }
  const OrderAttempt ended = std::move(attempt->second);
  table.attempts_.erase(attempt);
  for (const OrderWaiter& waiter : ended.waiters_) {
    AnswerWaiter(
      aStep, waiter, ended.order_.key_, ResultCode::KeyExpired, nullptr, false);
  }
}

/** Move pending records into the write; refuse claims below the floor. */
void
MovePendingToWrite(OrderStep& aStep,
                   std::uint32_t aRange,
                   HeadWrite& aWrite,
                   std::int64_t aFloor)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  const std::size_t count =
    std::min(range.pending_.size(), aStep.state_.settings_.batchRecords_);
  const auto end = range.pending_.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<LogRecord> taken(range.pending_.begin(), end);
  range.pending_.erase(range.pending_.begin(), end);
  if (range.pending_.empty()) {
    range.flushAt_ = kNever;
  }
  for (LogRecord& record : taken) {
    const bool claim = record.kind_ == LogRecordKind::Claim;
    if (record.unixMs_ >= aFloor) {
      aWrite.head_.records_.push_back(record);
      aWrite.batch_.push_back(std::move(record));
    } else if (claim) {
      ExpireClaim(aStep, aRange, record);
    }
  }
}

/** Replace head records by the stored segment that contains them. */
void
MoveSegmentToWrite(const OrderRange& aRange, HeadWrite& aWrite)
{
  if (!aRange.segment_.stored_) {
    return;
  }
  aWrite.sealedRecords_ = aRange.segment_.records_;
  aWrite.head_.segments_.push_back(aRange.segment_.segment_);
  aWrite.head_.records_.erase(
    aWrite.head_.records_.begin(),
    aWrite.head_.records_.begin() +
      static_cast<std::ptrdiff_t>(aWrite.sealedRecords_));
}

void
StartHeadWrite(OrderStep& aStep, std::uint32_t aRange, bool aReleases)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  HeadWrite write{ .active_ = true,
                   .releases_ = aReleases,
                   .expectedVersion_ = range.version_,
                   .head_ = range.head_ };
  write.head_.batch_ = IssueBatch(aStep.state_);
  write.head_.released_ = aReleases;
  const std::int64_t floor = RaiseFloor(aStep, write.head_);
  MoveSegmentToWrite(range, write);
  // Sealing removes the segment's records by count, so none may be pruned from
  // the head while the segment is being written.
  if (!range.segment_.active_ || range.segment_.stored_) {
    PruneHead(write.head_, floor);
  }
  MovePendingToWrite(aStep, aRange, write, floor);
  range.appendAt_ = kNever;
  range.write_ = std::move(write);
  SendHeadWrite(aStep, aRange);
}

/** Dispatch the orders whose claims are now stored. */
void
SettleClaims(OrderStep& aStep,
             std::uint32_t aRange,
             const std::vector<LogRecord>& aBatch)
{
  OrderState& state = aStep.state_;
  OrderTable& table = state.ranges_[aRange].table_;
  for (const LogRecord& record : aBatch) {
    const auto entry = table.entries_.find(record.key_);
    if (record.kind_ != LogRecordKind::Claim) {
      continue;
    }
    ++state.stats_.claims_;
    if (entry == table.entries_.end() ||
        entry->second.attempt_ != record.attempt_) {
      continue;
    }
    const EntryRef ref{ aRange, record.key_ };
    if (entry->second.state_ == EntryState::Abandoned) {
      FinishAttempt(
        aStep, ref, EntryState::NotRun, ResultCode::OrderNotRun, nullptr);
    } else if (entry->second.state_ == EntryState::Claiming) {
      RecordOrderEvent(aStep,
                       TimelineKind::OrderClaimed,
                       table.attempts_[record.key_].order_,
                       state.ranges_[aRange].head_.batch_);
      StartDispatch(aStep, ref);
    }
  }
}

/** Apply a head write that is confirmed to be stored. */
void
ConfirmWrite(OrderStep& aStep, std::uint32_t aRange, std::uint64_t aVersion)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  const HeadWrite write = std::exchange(range.write_, {});
  const std::vector<LogSegment> garbage = std::exchange(range.garbage_, {});
  const bool prunes = range.state_ == RangeState::Loading ||
                      range.head_.floorUnixMs_ != write.head_.floorUnixMs_ ||
                      !aStep.state_.settings_.guards_.expiryByStoredFloor_;
  range.head_ = write.head_;
  range.version_ = aVersion;
  range.failures_ = 0;
  range.retryAt_ = kNever;
  range.call_ = {};
  if (write.sealedRecords_ > 0) {
    range.segment_ = {};
  }
  DeleteGarbage(aStep, aRange, garbage);
  if (prunes) {
    PruneRange(aStep, aRange);
  }
  if (range.state_ == RangeState::Loading) {
    BecomeOwner(aStep, aRange);
    return;
  }
  if (write.releases_) {
    EndRelease(aStep, aRange);
    return;
  }
  ++aStep.state_.stats_.batches_;
  SettleClaims(aStep, aRange, write.batch_);
  AdmitQueuedOrders(aStep, aRange);
  MaybeSeal(aStep, aRange);
  MaybeAppend(aStep, aRange);
}

/** Handle a head write that did not take effect and never will, or that was
 * overwritten by another owner. */
void
OnWriteSuperseded(OrderStep& aStep,
                  std::uint32_t aRange,
                  std::uint64_t aVersion)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  if (!aStep.state_.settings_.guards_.fenceByOwner_ && aVersion != 0) {
    range.write_.reading_ = false;
    range.write_.expectedVersion_ = aVersion;
    SendHeadWrite(aStep, aRange);
    return;
  }
  if (range.state_ == RangeState::Held) {
    LoseRange(aStep, aRange, "taken over");
    return;
  }
  range.write_ = {};
  range.table_ = {};
  range.state_ = RangeState::Waiting;
  BackOff(aStep, aRange);
}

void
OnReadBack(OrderStep& aStep, std::uint32_t aRange, const PlatformReply& aReply)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  const bool found =
    aReply.status_ == PlatformStatus::Ok && !aReply.objects_.empty();
  if (!found) {
    range.write_.reading_ = aReply.status_ != PlatformStatus::NotFound;
    BackOff(aStep, aRange);
    return;
  }
  const PlatformObject& object = aReply.objects_.front();
  const absl::StatusOr<LogHead> head = DecodeHead(object.value_);
  if (head.ok() && head->batch_ == range.write_.head_.batch_) {
    ConfirmWrite(aStep, aRange, object.version_);
    return;
  }
  if (object.version_ <= range.write_.expectedVersion_) {
    range.write_.reading_ = false; // Stale read: decides nothing.
    BackOff(aStep, aRange);
    return;
  }
  OnWriteSuperseded(aStep, aRange, object.version_);
}

} // namespace

PlatformCallId
IssuePlatformCall(OrderStep& aStep, PlatformOp aOp)
{
  const bool reads = aOp == PlatformOp::Get || aOp == PlatformOp::List;
  OrderStats& stats = aStep.state_.stats_;
  ++(reads ? stats.platformReads_ : stats.platformWrites_);
  return { ++aStep.state_.nextCall_ };
}

void
MaybeAppend(OrderStep& aStep, std::uint32_t aRange)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  if (range.state_ != RangeState::Held || range.write_.active_ ||
      !IsAppendDue(aStep, range) || !ConsumeWriteToken(aStep, range)) {
    return;
  }
  StartHeadWrite(aStep, aRange, false);
}

void
WriteRelease(OrderStep& aStep, std::uint32_t aRange)
{
  StartHeadWrite(aStep, aRange, true);
}

void
WriteTakeover(OrderStep& aStep, std::uint32_t aRange)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  ++range.head_.epoch_;
  range.head_.owner_ = aStep.state_.settings_.self_;
  range.head_.incarnation_ = aStep.state_.settings_.incarnation_;
  StartHeadWrite(aStep, aRange, false);
}

void
SendHeadWrite(OrderStep& aStep, std::uint32_t aRange)
{
  OrderState& state = aStep.state_;
  OrderRange& range = state.ranges_[aRange];
  const HeadWrite& write = range.write_;
  PlatformOp op = PlatformOp::Get;
  std::string value;
  if (!write.reading_) {
    op = write.expectedVersion_ == 0 ? PlatformOp::Create : PlatformOp::Update;
    value = EncodeHead(write.head_);
    range.headBytes_ = value.size();
  }
  range.retryAt_ = kNever;
  range.call_ = IssuePlatformCall(aStep, op);
  aStep.out_.push_back(
    PlatformCall{ .id_ = range.call_,
                  .user_ = PlatformUser::Order,
                  .op_ = op,
                  .key_ = HeadKey(state.settings_, aRange),
                  .value_ = std::move(value),
                  .expectedVersion_ = write.expectedVersion_,
                  .timeout_ = state.settings_.platformTimeout_ });
}

void
OnHeadReply(OrderStep& aStep, std::uint32_t aRange, const PlatformReply& aReply)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  if (range.write_.reading_) {
    OnReadBack(aStep, aRange, aReply);
    return;
  }
  const OrderGuards& guards = aStep.state_.settings_.guards_;
  switch (aReply.status_) {
    case PlatformStatus::Ok:
      ConfirmWrite(aStep, aRange, aReply.objects_.front().version_);
      return;
    case PlatformStatus::Conflict:
      // Another owner wrote, or an earlier try of this write took effect and
      // its reply was lost.
      range.write_.reading_ = true;
      SendHeadWrite(aStep, aRange);
      return;
    case PlatformStatus::NotFound:
      OnWriteSuperseded(aStep, aRange, 0);
      return;
    default:
      break;
  }
  if (aReply.status_ == PlatformStatus::Unreachable &&
      !guards.lostReplyIsUnsure_) {
    ConfirmWrite(aStep, aRange, range.write_.expectedVersion_ + 1);
    return;
  }
  // Resend the same write: its expected version lets it take effect only once.
  BackOff(aStep, aRange);
}

void
QueueOutcome(OrderStep& aStep,
             std::uint32_t aRange,
             const KeyDigest& aKey,
             const OrderEntry& aEntry)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  range.pending_.push_back({ .kind_ = LogRecordKind::Outcome,
                             .key_ = aKey,
                             .unixMs_ = aEntry.unixMs_,
                             .code_ = aEntry.code_,
                             .answer_ = aEntry.answer_ });
  range.flushAt_ = std::min(
    range.flushAt_, aStep.now_.mono_ + aStep.state_.settings_.outcomeDelay_);
}

} // namespace camphorfield
