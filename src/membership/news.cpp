#include "membership/membership_internal.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace camphorfield {

namespace {

constexpr std::size_t kNumberBytes = 34; ///< Record without its texts.
constexpr std::size_t kTextBytes = 2;    ///< Around each text.

/** News that can wait leave this much for urgent ones. */
constexpr std::int64_t kReservedBytes = kNewsBurstBytes / 2;

/** With a queue this long, as when a region comes back, pages and rotation
 * do better than many sends of each record. */
constexpr std::size_t kLongQueue = 128;
constexpr std::uint8_t kSendsOfLongQueue = 3;

bool
Contains(const News& aNews, DaemonId aId)
{
  return std::any_of(
    aNews.members_.begin(),
    aNews.members_.end(),
    [aId](const MemberRecord& aRecord) { return aRecord.id_ == aId; });
}

/** Adds queued members, the ones sent least often first. */
void
AddQueued(MembershipState& aState,
          std::deque<DaemonId>& aQueue,
          std::uint8_t Member::*aLeft,
          News& aNews,
          std::size_t aBudget)
{
  std::vector<DaemonId> again;
  while (!aQueue.empty()) {
    Member* member = FindMember(aState, aQueue.front());
    if (member == nullptr || member->*aLeft == 0) {
      aQueue.pop_front();
      continue;
    }
    MemberRecord record =
      member->whole_ ? member->record_ : BriefRecord(member->record_);
    if (!AddRecord(aNews, std::move(record), aBudget)) {
      break;
    }
    aQueue.pop_front();
    if (--(member->*aLeft) > 0) {
      again.push_back(member->record_.id_);
    } else if (aLeft == &Member::urgentLeft_) {
      member->whole_ = false;
    }
  }
  aQueue.insert(aQueue.end(), again.begin(), again.end());
}

/** Adds members in turn, to mend views that differ for whatever reason. */
void
AddRotation(MembershipState& aState, News& aNews, std::size_t aBudget)
{
  for (std::size_t left = aState.members_.size(); left > 0; --left) {
    auto next = aState.members_.upper_bound(aState.rotation_);
    if (next == aState.members_.end()) {
      next = aState.members_.begin();
    }
    if (next->second.record_.state_ != MemberState::Dead &&
        !AddRecord(aNews, BriefRecord(next->second.record_), aBudget)) {
      return;
    }
    aState.rotation_ = next->first;
  }
}

} // namespace

bool
AddRecord(News& aNews, MemberRecord aRecord, std::size_t aBudget)
{
  if (Contains(aNews, aRecord.id_)) {
    return true;
  }
  const std::size_t bytes = RecordBytes(aRecord);
  if (aNews.bytes_ + bytes > aBudget) {
    return false;
  }
  aNews.bytes_ += bytes;
  aNews.members_.push_back(std::move(aRecord));
  return true;
}

News
StartNews(const MembershipState& aState, const Member* aTo)
{
  News news;
  const bool brief = aTo != nullptr && aTo->knowsUs_;
  AddRecord(
    news, brief ? BriefRecord(aState.self_) : aState.self_, kMessageBytes);
  return news;
}

void
FillNews(MembershipStep& aStep, News& aNews, bool aUrgentOnly)
{
  MembershipState& state = aStep.state_;
  Refill(state, aStep.now_.mono_);
  if (state.newsLeft_ <= 0) {
    return;
  }
  const std::size_t before = aNews.bytes_;
  AddRumors(state, aNews, kMessageBytes);
  AddQueued(state, state.urgent_, &Member::urgentLeft_, aNews, kMessageBytes);
  if (!aUrgentOnly && state.newsLeft_ >= kReservedBytes) {
    AddQueued(state, state.slow_, &Member::slowLeft_, aNews, kMessageBytes);
    if (state.viewsDiffer_) {
      AddRotation(state, aNews, kMessageBytes);
    }
  }
  state.newsLeft_ -= static_cast<std::int64_t>(aNews.bytes_ - before);
}

void
Refill(MembershipState& aState, TimePoint aNow)
{
  constexpr Duration kStep = 10ms; // so that rounding takes nothing away
  const Duration passed = aNow - aState.refilledAt_;
  if (passed < kStep) {
    return;
  }
  const auto millis = passed / Duration(1ms);
  aState.refilledAt_ += Duration(1ms) * millis;
  aState.newsLeft_ = std::min(
    kNewsBurstBytes, aState.newsLeft_ + kNewsBytesPerSecond * millis / 1000);
  aState.pagesLeft_ = std::min(
    kSyncBurstBytes, aState.pagesLeft_ + kSyncBytesPerSecond * millis / 1000);
}

std::size_t
RecordBytes(const MemberRecord& aRecord)
{
  if (!aRecord.incarnation_.IsValid()) {
    return kNumberBytes / 2; // only an identifier
  }
  if (aRecord.name_.empty()) {
    return kNumberBytes;
  }
  return kNumberBytes + aRecord.name_.size() + aRecord.peerAddress_.size() +
         aRecord.callerAddress_.size() + aRecord.operatorAddress_.size() +
         aRecord.failureDomain_.size() + 4 * kTextBytes;
}

MemberRecord
BriefRecord(const MemberRecord& aRecord)
{
  MemberRecord brief;
  brief.id_ = aRecord.id_;
  brief.incarnation_ = aRecord.incarnation_;
  brief.heartbeat_ = aRecord.heartbeat_;
  brief.state_ = aRecord.state_;
  brief.ready_ = aRecord.ready_;
  brief.generation_ = aRecord.generation_;
  brief.load_ = aRecord.load_;
  return brief;
}

std::uint8_t
RetransmitLimit(const MembershipState& aState, std::uint32_t aFactor)
{
  const auto rounds =
    static_cast<std::uint32_t>(std::bit_width(CountLive(aState)));
  return static_cast<std::uint8_t>(aFactor * rounds);
}

void
QueueNews(MembershipState& aState, Member& aMember, bool aUrgent, bool aWhole)
{
  aMember.whole_ = aMember.whole_ || aWhole;
  if (!aUrgent) {
    if (aMember.slowLeft_ == 0) {
      aState.slow_.push_front(aMember.record_.id_);
    }
    aMember.slowLeft_ = RetransmitLimit(aState, 1);
    return;
  }
  if (aMember.urgentLeft_ == 0) {
    aState.urgent_.push_front(aMember.record_.id_);
  }
  aMember.urgentLeft_ = aState.urgent_.size() > kLongQueue
                          ? kSendsOfLongQueue
                          : RetransmitLimit(aState, kRetransmitFactor);
  aState.burstPending_ = true;
}

} // namespace camphorfield
