/**
 * Segments of the claim log: large heads move their records to a segment, and
 * expired segments are deleted, so that head objects stay small.
 */
#include "order/order_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;

void
PruneEntries(OrderTable& aTable, std::int64_t aFloor)
{
  std::erase_if(aTable.entries_, [&](const auto& aEntry) {
    return aEntry.second.unixMs_ < aFloor &&
           aTable.attempts_.count(aEntry.first) == 0;
  });
}

void
DeleteSegment(OrderStep& aStep,
              std::uint32_t aRange,
              const LogSegment& aSegment)
{
  const OrderSettings& settings = aStep.state_.settings_;
  aStep.out_.push_back(
    PlatformCall{ .id_ = IssuePlatformCall(aStep, PlatformOp::Delete),
                  .user_ = PlatformUser::Order,
                  .op_ = PlatformOp::Delete,
                  .key_ = RangePrefix(settings, aRange) + aSegment.name_,
                  .expectedVersion_ = aSegment.version_,
                  .timeout_ = settings.platformTimeout_ });
}

} // namespace

void
PruneRange(OrderStep& aStep, std::uint32_t aRange)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  const OrderSettings& settings = aStep.state_.settings_;
  const std::int64_t floor =
    settings.guards_.expiryByStoredFloor_
      ? range.head_.floorUnixMs_
      : (aStep.now_.unixMicros_ - settings.window_.count()) / kMicrosPerMilli;
  PruneEntries(range.table_, floor);
  range.pruneAt_ = aStep.now_.mono_ + settings.window_ / kPruneSteps * 2;
  std::vector<LogSegment> kept;
  for (const LogSegment& segment : range.head_.segments_) {
    if (segment.lastUnixMs_ >= floor) {
      kept.push_back(segment);
    } else if (segment.version_ != 0) {
      // The stored head refers to it until the next write.
      range.garbage_.push_back(segment);
    }
  }
  range.head_.segments_ = std::move(kept);
}

void
DeleteGarbage(OrderStep& aStep,
              std::uint32_t aRange,
              const std::vector<LogSegment>& aGarbage)
{
  for (const LogSegment& segment : aGarbage) {
    DeleteSegment(aStep, aRange, segment);
  }
}

void
MaybeSeal(OrderStep& aStep, std::uint32_t aRange)
{
  OrderRange& range = aStep.state_.ranges_[aRange];
  if (range.segment_.active_ || range.head_.records_.empty() ||
      range.headBytes_ < aStep.state_.settings_.sealBytes_) {
    return;
  }
  SegmentWrite segment{ .active_ = true,
                        .records_ = range.head_.records_.size() };
  segment.segment_.name_ = "seg-" + std::to_string(range.head_.epoch_) + '-' +
                           std::to_string(++range.segments_);
  for (const LogRecord& record : range.head_.records_) {
    segment.segment_.lastUnixMs_ =
      std::max(segment.segment_.lastUnixMs_, record.unixMs_);
  }
  segment.value_ = EncodeSegment(range.head_.records_);
  range.segment_ = std::move(segment);
  SendSegment(aStep, aRange);
}

void
SendSegment(OrderStep& aStep, std::uint32_t aRange)
{
  OrderState& state = aStep.state_;
  SegmentWrite& segment = state.ranges_[aRange].segment_;
  segment.retryAt_ = kNever;
  segment.call_ = IssuePlatformCall(aStep, PlatformOp::Create);
  aStep.out_.push_back(PlatformCall{
    .id_ = segment.call_,
    .user_ = PlatformUser::Order,
    .op_ = PlatformOp::Create,
    .key_ = RangePrefix(state.settings_, aRange) + segment.segment_.name_,
    .value_ = segment.value_,
    .timeout_ = state.settings_.platformTimeout_ });
}

void
OnSegmentReply(OrderStep& aStep,
               std::uint32_t aRange,
               const PlatformReply& aReply)
{
  SegmentWrite& segment = aStep.state_.ranges_[aRange].segment_;
  segment.call_ = {};
  // The name contains the epoch, so only this owner writes it: a conflict means
  // that an earlier try took effect.
  if (aReply.status_ == PlatformStatus::Ok ||
      aReply.status_ == PlatformStatus::Conflict) {
    segment.stored_ = true;
    if (!aReply.objects_.empty()) {
      segment.segment_.version_ = aReply.objects_.front().version_;
    }
    MaybeAppend(aStep, aRange);
    return;
  }
  segment.retryAt_ = aStep.now_.mono_ + aStep.state_.settings_.backoffMax_;
}

} // namespace camphorfield
