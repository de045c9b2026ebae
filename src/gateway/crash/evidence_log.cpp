// Keeps evidence on content that crashes servers over a kill of all daemons.
// The store bills each call and may refuse, be slow, lose replies or go back to
// an older copy, so what is there is joined with what is known, seldom, and
// nothing waits for it.
#include "gateway/crash/evidence_log.h"

#include "gateway/crash/crash_guard.h"

#include <algorithm>
#include <utility>

namespace camphorfield {

namespace {

constexpr std::uint32_t kMaxDoublings = 8;

Duration
RandomUpTo(Duration aMost, Rng& aRng)
{
  return Duration(static_cast<std::int64_t>(
    aRng() % (static_cast<std::uint64_t>(aMost.count()) + 1)));
}

void
DropExpired(EvidenceItems& aItems, const Now& aNow)
{
  std::erase_if(aItems, [&aNow](const auto& aItem) {
    return aItem.second.untilUnixMicros_ <= aNow.unixMicros_;
  });
}

/** Drops the items with the least evidence. */
void
LimitItems(EvidenceItems& aItems)
{
  while (aItems.size() > kMaxStoredEvidence) {
    aItems.erase(std::min_element(
      aItems.begin(), aItems.end(), [](const auto& aLeft, const auto& aRight) {
        return std::pair(aLeft.second.evidence_.servers_.size(),
                         aLeft.second.untilUnixMicros_) <
               std::pair(aRight.second.evidence_.servers_.size(),
                         aRight.second.untilUnixMicros_);
      }));
  }
}

/** Joins an item. @return Whether its evidence changed. */
bool
JoinItem(EvidenceItems& aInto,
         std::uint64_t aFingerprint,
         const StoredEvidence& aItem)
{
  StoredEvidence& into = aInto[aFingerprint];
  if (!JoinEvidence(into.evidence_, aItem.evidence_)) {
    return false;
  }
  into.untilUnixMicros_ =
    std::max(into.untilUnixMicros_, aItem.untilUnixMicros_);
  return true;
}

/** What the object should hold. Refuted evidence stays there, so that older
 * evidence doesn't come back, but isn't worth a new entry. */
EvidenceItems
MakeContent(const EvidenceLog& aLog, const Now& aNow)
{
  EvidenceItems items = aLog.stored_;
  for (const auto& [fingerprint, item] : aLog.known_) {
    if (!item.evidence_.servers_.empty() || items.count(fingerprint) > 0) {
      JoinItem(items, fingerprint, item);
    }
  }
  DropExpired(items, aNow);
  LimitItems(items);
  return items;
}

/** Whether the object lacks evidence. Expired entries alone are left to the
 * next write. */
bool
NeedsWrite(const EvidenceLog& aLog, const EvidenceItems& aContent)
{
  return std::any_of(
    aContent.begin(), aContent.end(), [&aLog](const auto& aItem) {
      const auto stored = aLog.stored_.find(aItem.first);
      return stored == aLog.stored_.end() ||
             stored->second.evidence_ != aItem.second.evidence_;
    });
}

/** Time at which the last item of the object expires. */
TimePoint
ExpiryOf(const EvidenceItems& aItems, const Now& aNow)
{
  std::int64_t until = aNow.unixMicros_;
  for (const auto& [fingerprint, item] : aItems) {
    until = std::max(until, item.untilUnixMicros_);
  }
  return aNow.mono_ + Duration(until - aNow.unixMicros_);
}

void
AfterFailure(EvidenceLog& aLog, TimePoint aNow, Rng& aRng)
{
  ++aLog.failedCalls_;
  const std::uint32_t doublings = std::min(aLog.failures_++, kMaxDoublings);
  const Duration ceiling =
    aLog.read_ ? kEvidenceBackoffCeiling : kEvidenceReadBackoffCeiling;
  const Duration pause = std::min<Duration>(
    Duration(kEvidenceBackoffFloor) * (1 << doublings), ceiling);
  aLog.nextCallAt_ = aNow + pause / 2 + RandomUpTo(pause / 2, aRng);
}

/** Takes the object as the store has it. */
EvidenceItems
TakeObject(EvidenceLog& aLog, EvidenceReply&& aReply, const Now& aNow)
{
  aLog.stored_ = std::move(aReply.items_);
  aLog.revision_ = aReply.revision_;
  EvidenceItems learned;
  for (const auto& [fingerprint, item] : aLog.stored_) {
    if (aNow.unixMicros_ < item.untilUnixMicros_ &&
        JoinItem(aLog.known_, fingerprint, item)) {
      learned[fingerprint] = aLog.known_[fingerprint];
    }
  }
  LimitItems(aLog.known_);
  return learned;
}

/** Schedules what follows from the object as it is known now. */
void
Reschedule(EvidenceLog& aLog, const Now& aNow)
{
  // Other daemons leave it to the one that found the evidence.
  const bool writes = (aLog.isKeeper_ || aLog.writeAt_ != kNever) &&
                      NeedsWrite(aLog, MakeContent(aLog, aNow));
  aLog.writeAt_ = writes ? aNow.mono_ : kNever;
  if (aLog.revision_ != 0 && aLog.checkAt_ == kNever) {
    aLog.checkAt_ = ExpiryOf(aLog.stored_, aNow) + kEvidenceCheckDelay;
  }
}

} // namespace

EvidenceLog
MakeEvidenceLog(bool aEnabled, TimePoint aNow, Rng& aRng)
{
  EvidenceLog log;
  log.enabled_ = aEnabled;
  if (aEnabled) {
    log.nextCallAt_ = aNow + RandomUpTo(kEvidenceReadSpread, aRng);
  }
  return log;
}

void
RecordEvidence(EvidenceLog& aLog,
               std::uint64_t aFingerprint,
               const CrashEvidence& aEvidence,
               bool aIsFinder,
               const Now& aNow,
               Rng& aRng)
{
  if (!aLog.enabled_) {
    return;
  }
  DropExpired(aLog.known_, aNow);
  const std::int64_t until =
    aNow.unixMicros_ + EvidenceTimeToLive(aEvidence).count();
  if (!JoinItem(aLog.known_, aFingerprint, { aEvidence, until })) {
    return;
  }
  LimitItems(aLog.known_);
  if (aIsFinder) {
    aLog.writeAt_ = std::min(aLog.writeAt_,
                             aNow.mono_ + kEvidenceWriteDelay +
                               RandomUpTo(kEvidenceWriteDelay, aRng));
  }
  aLog.checkAt_ = std::min(aLog.checkAt_, aNow.mono_ + kEvidenceCheckDelay);
}

void
RecheckEvidence(EvidenceLog& aLog, TimePoint aNow, Rng& aRng)
{
  aLog.outdated_ = true;
  aLog.checkAt_ = aNow + RandomUpTo(kEvidenceReadSpread, aRng);
}

std::optional<EvidenceCall>
NextEvidenceCall(EvidenceLog& aLog, bool aIsKeeper, const Now& aNow)
{
  const TimePoint now = aNow.mono_;
  if (!aLog.enabled_ || aLog.call_ || now < aLog.nextCallAt_) {
    return std::nullopt;
  }
  EvidenceCall call;
  bool due = !aLog.read_;
  if (!due && aLog.deletes_) {
    aLog.deletes_ = false;
    due = aIsKeeper && aLog.writeAt_ == kNever;
    call.op_ = EvidenceOp::Delete;
  }
  if (!due && now >= aLog.writeAt_) {
    call.items_ = MakeContent(aLog, aNow);
    due = NeedsWrite(aLog, call.items_);
    aLog.writeAt_ = due ? aLog.writeAt_ : kNever;
    call.op_ = aLog.outdated_        ? EvidenceOp::Read
               : aLog.revision_ == 0 ? EvidenceOp::Create
                                     : EvidenceOp::Replace;
  }
  if (!due && now >= aLog.checkAt_) {
    // The others look again later, since the keeper may have ended.
    aLog.checkAt_ = aIsKeeper ? kNever : now + kEvidenceCheckDelay * 4;
    due = aIsKeeper;
    call.op_ = EvidenceOp::Read;
  }
  if (!due) {
    return std::nullopt;
  }
  aLog.isKeeper_ = aIsKeeper;
  call.revision_ = aLog.revision_;
  ++aLog.calls_;
  aLog.call_ = call;
  return call;
}

EvidenceItems
TakeEvidenceReply(EvidenceLog& aLog,
                  EvidenceReply&& aReply,
                  const Now& aNow,
                  Rng& aRng)
{
  const EvidenceCall call = *std::exchange(aLog.call_, std::nullopt);
  const bool isRead = call.op_ == EvidenceOp::Read;
  EvidenceItems learned;
  switch (aReply.status_) {
    case EvidenceStatus::Ok:
      aLog.failures_ = 0;
      aLog.nextCallAt_ =
        isRead ? aNow.mono_ : aNow.mono_ + kEvidenceWriteInterval;
      // Without a revision a write can't be followed by another one.
      aLog.outdated_ =
        call.op_ != EvidenceOp::Delete && !isRead && aReply.revision_ == 0;
      if (!isRead) {
        aReply.items_ = call.items_;
      }
      if (call.op_ == EvidenceOp::Delete) {
        aReply.revision_ = 0;
      }
      learned = TakeObject(aLog, std::move(aReply), aNow);
      aLog.read_ = true;
      aLog.deletes_ = isRead && aLog.revision_ != 0 &&
                      ExpiryOf(aLog.stored_, aNow) <= aNow.mono_;
      break;
    case EvidenceStatus::Conflict:
      aLog.outdated_ = aReply.revision_ == 0;
      if (!aLog.outdated_) {
        learned = TakeObject(aLog, std::move(aReply), aNow);
      }
      AfterFailure(aLog, aNow.mono_, aRng);
      break;
    case EvidenceStatus::Missing:
      aLog.stored_.clear();
      aLog.revision_ = 0;
      aLog.read_ = true;
      break;
    default:
      AfterFailure(aLog, aNow.mono_, aRng);
      return learned;
  }
  Reschedule(aLog, aNow);
  return learned;
}

} // namespace camphorfield
