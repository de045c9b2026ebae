// Reads a table of the store in pages and then follows its changes by a watch.
// During outages, lost replies and missing history the last table stays in use.
#include "discovery/table_sync.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace camphorfield {

namespace {

/** Wait of the first watch after ResumeTable: its answer shows at once whether
 * the store answers this daemon. */
constexpr Duration kResumeWait = std::chrono::milliseconds(20);

constexpr std::uint32_t kMaxDoublings = 6;

/** Exponential backoff; the jitter keeps daemons from retrying together. */
Duration
Backoff(std::uint32_t aFailures, Rng& aRng)
{
  const std::uint32_t doublings = std::min(aFailures - 1, kMaxDoublings);
  const Duration pause = std::min<Duration>(
    Duration(kStoreBackoffFloor) * (1 << doublings), kStoreBackoffCeiling);
  const auto half = static_cast<std::uint64_t>(pause.count() / 2);
  return pause / 2 + Duration(aRng() % (half + 1));
}

/** Time until which an entry that has just been removed stays in use. */
TimePoint
KeepUntil(const TableSync& aTable, TimePoint aNow)
{
  return aTable.hadOutage_ ? aTable.outageEndedAt_ + kLapseGrace : aNow;
}

void
Remove(TableSync& aTable, const std::string& aName, TimePoint aNow)
{
  const TimePoint keepUntil = KeepUntil(aTable, aNow);
  if (keepUntil <= aNow) {
    EraseObject(aTable, aName);
    return;
  }
  if (aTable.objects_.count(aName) > 0) {
    aTable.lapsed_.try_emplace(aName, keepUntil);
  }
}

/** Whether a table is known to have removed an object since an older copy of it
 * was made. */
bool
WasRemovedSince(const TableSync& aTable,
                const StoreObject& aObject,
                const StorePosition& aCopy)
{
  return aTable.complete_ && aCopy < PositionOf(aTable) &&
         PositionOf(aObject) <= PositionOf(aTable) &&
         aTable.objects_.count(aObject.name_) == 0;
}

void
RecordRemoval(TableSync& aTable, const StoreObject& aObject)
{
  if (aTable.removals_.size() >= kMaxRemovals) {
    aTable.removals_.erase(aTable.removals_.begin());
  }
  aTable.removals_[aObject.name_] = { aTable.era_, aObject.order_ };
}

void
AddObject(TableSync& aTable, StoreObject&& aObject)
{
  const auto removal = aTable.removals_.find(aObject.name_);
  if (removal != aTable.removals_.end()) {
    const auto& [era, order] = removal->second;
    if (aObject.era_ > era && aObject.order_ <= order) {
      aObject.revived_ = true;
    } else {
      aTable.removals_.erase(removal);
    }
  }
  if (aObject.revived_) {
    aObject.revived_ = false;
    aTable.revived_[aObject.name_] = aTable.eraBegunAt_ + kRevivedDelay;
  }
  aTable.objects_[aObject.name_] = std::move(aObject);
}

void
ApplyPage(TableSync& aTable, StoreReply&& aReply, TimePoint aNow)
{
  if (aTable.after_.empty()) {
    aTable.page_.clear();
    // The watch starts at the first page's revision, so it also returns changes
    // made while later pages are read.
    aTable.pageRevision_ = aReply.revision_;
  }
  for (StoreObject& item : aReply.items_) {
    aTable.after_ = std::max(aTable.after_, item.name_);
    item.era_ = aTable.era_;
    aTable.page_[item.name_] = std::move(item);
  }
  if (aReply.more_) {
    return;
  }
  // A feed may have brought changes after the first page was read. What it
  // added is newer than the page; what it removed is still on the page.
  const StorePosition page{ aTable.era_, aTable.pageRevision_ };
  std::vector<std::string> missing;
  for (const auto& [name, object] : aTable.objects_) {
    if (aTable.page_.count(name) == 0 && PositionOf(object) <= page) {
      missing.push_back(name);
    }
  }
  for (const std::string& name : missing) {
    Remove(aTable, name, aNow);
  }
  for (auto& [name, object] : aTable.page_) {
    if (!WasRemovedSince(aTable, object, page)) {
      PutObject(aTable, std::move(object));
    }
  }
  aTable.page_.clear();
  aTable.after_.clear();
  aTable.revision_ = std::max(aTable.revision_, aTable.pageRevision_);
  aTable.watching_ = true;
  aTable.complete_ = true;
  aTable.upToDateAt_ = aNow;
}

void
ApplyChanges(TableSync& aTable, StoreReply&& aReply, TimePoint aNow)
{
  for (StoreChange& change : aReply.changes_) {
    change.object_.era_ = aTable.era_;
    if (change.removed_) {
      // A feed may have brought what was written after this reply; the next
      // watch begins behind it.
      const auto known = aTable.objects_.find(change.object_.name_);
      if (known != aTable.objects_.end() &&
          PositionOf(known->second) <=
            StorePosition{ aTable.era_, aReply.revision_ }) {
        Remove(aTable, change.object_.name_, aNow);
      }
    } else {
      PutObject(aTable, std::move(change.object_));
    }
  }
  aTable.revision_ = std::max(aTable.revision_, aReply.revision_);
}

TableChange
HandleFailure(TableSync& aTable, StoreStatus aStatus, TimePoint aNow, Rng& aRng)
{
  TableChange change;
  if (aStatus == StoreStatus::HistoryGone) {
    RestartTable(aTable, aNow);
    // A read that doesn't help must not be repeated at once.
    if (++aTable.historyGoneInRow_ > 1) {
      aTable.nextCallAt_ = aNow + Backoff(aTable.historyGoneInRow_ - 1, aRng);
    }
    return change;
  }
  change.lost_ = aTable.failures_ == 0;
  if (change.lost_) {
    aTable.failingSince_ = aNow;
  }
  ++aTable.failures_;
  aTable.nextCallAt_ = aNow + Backoff(aTable.failures_, aRng);
  // The lost reply of a watch may have held changes, and the pages read so far
  // may be too old to continue from.
  if (aStatus == StoreStatus::Lost) {
    aTable.watching_ = false;
    aTable.after_.clear();
  }
  return change;
}

} // namespace

bool
operator<(const StorePosition& aLeft, const StorePosition& aRight)
{
  return std::tie(aLeft.era_, aLeft.revision_) <
         std::tie(aRight.era_, aRight.revision_);
}

bool
operator>(const StorePosition& aLeft, const StorePosition& aRight)
{
  return aRight < aLeft;
}

bool
operator<=(const StorePosition& aLeft, const StorePosition& aRight)
{
  return !(aRight < aLeft);
}

StorePosition
PositionOf(const StoreObject& aObject)
{
  return { aObject.era_, aObject.revision_ };
}

StorePosition
PositionOf(const TableSync& aTable)
{
  return { aTable.era_, aTable.revision_ };
}

bool
IsNewer(const StoreObject& aObject, const StoreObject& aKnown)
{
  const StorePosition object = PositionOf(aObject);
  const StorePosition known = PositionOf(aKnown);
  return object > known || (object == known && aObject.order_ > aKnown.order_);
}

// A lapsed entry is known to be missing as of the table's position.
bool
ShouldReplace(const TableSync& aTable,
              const StoreObject& aKnown,
              const StoreObject& aObject)
{
  const bool missing = aTable.lapsed_.count(aObject.name_) > 0 &&
                       PositionOf(aObject) <= PositionOf(aTable);
  return !missing && IsNewer(aObject, aKnown);
}

void
AdvanceTo(TableSync& aTable, const StorePosition& aPosition)
{
  const StorePosition position = std::max(PositionOf(aTable), aPosition);
  aTable.era_ = position.era_;
  aTable.revision_ = position.revision_;
}

void
BeginEra(TableSync& aTable, std::uint64_t aEra, TimePoint aNow)
{
  aTable.era_ = aEra;
  aTable.eraBegunAt_ = aNow;
  aTable.revision_ = 0;
  aTable.watching_ = false;
  aTable.after_.clear();
  aTable.page_.clear();
  aTable.historyGoneInRow_ = 0;
  if (aTable.complete_) {
    // Entries that are missing get the same grace as after an outage.
    aTable.hadOutage_ = true;
    aTable.outageEndedAt_ = aNow;
  }
  aTable.lapsed_.clear();
  for (auto& [name, until] : aTable.revived_) {
    until = aNow + kRevivedDelay;
  }
}

bool
IsInUse(const TableSync& aTable, const std::string& aName)
{
  return aTable.revived_.count(aName) == 0;
}

std::optional<StoreCall>
NextStoreCall(const TableSync& aTable, TimePoint aNow)
{
  if (aTable.passive_ || aNow < aTable.nextCallAt_) {
    return std::nullopt;
  }
  StoreCall call;
  call.kind_ = aTable.kind_;
  call.timeout_ = kStoreTimeout;
  if (aTable.watching_) {
    call.op_ = StoreOp::Watch;
    call.revision_ = aTable.revision_;
    call.wait_ = aTable.resuming_ ? kResumeWait : kWatchWait;
    call.timeout_ = call.wait_ + kStoreTimeout;
  } else {
    call.after_ = aTable.after_;
  }
  return call;
}

TableChange
TakeStoreReply(TableSync& aTable,
               StoreReply&& aReply,
               TimePoint aNow,
               Rng& aRng)
{
  TableChange change;
  const bool watch = aReply.op_ == StoreOp::Watch;
  bool usable = true;
  if (aReply.era_ != 0 && aReply.era_ < aTable.era_) {
    // Sent before a restore that is known by now.
    aReply.status_ = StoreStatus::Lost;
  } else if (aReply.era_ > aTable.era_) {
    change.restored_ = aTable.era_ != 0;
    usable = !watch && aTable.after_.empty();
    BeginEra(aTable, aReply.era_, aNow);
  }
  if (aReply.status_ != StoreStatus::Ok) {
    const bool restored = change.restored_;
    change = HandleFailure(aTable, aReply.status_, aNow, aRng);
    change.restored_ = restored;
    return change;
  }
  aTable.resuming_ = false;
  change.regained_ = aTable.failures_ > 0;
  if (change.regained_) {
    aTable.hadOutage_ = true;
    aTable.outageEndedAt_ = aNow;
    aTable.failures_ = 0;
    aTable.failingSince_ = kNever;
  }
  if (!usable) {
    // Changes and pages that follow what the store has lost.
    aTable.nextCallAt_ = aNow;
    return change;
  }
  if (!watch) {
    change.changed_ = true;
    change.read_ = !aReply.more_;
    ApplyPage(aTable, std::move(aReply), aNow);
  } else if (aTable.watching_) {
    aTable.historyGoneInRow_ = 0;
    change.changed_ = !aReply.changes_.empty();
    ApplyChanges(aTable, std::move(aReply), aNow);
    aTable.upToDateAt_ = aNow;
  }
  // The reply to an abandoned watch is ignored: the table is read again.
  const bool series = change.changed_ && watch && aTable.watching_;
  aTable.nextCallAt_ = series ? aNow + kWatchGap : aNow;
  return change;
}

// Over a restore an object's own order decides: the store may hold an older
// state of it until it is written again.
void
PutObject(TableSync& aTable, StoreObject&& aObject)
{
  aTable.lapsed_.erase(aObject.name_);
  const auto found = aTable.objects_.find(aObject.name_);
  if (found == aTable.objects_.end()) {
    AddObject(aTable, std::move(aObject));
    return;
  }
  StoreObject& known = found->second;
  if (!IsNewer(aObject, known)) {
    return;
  }
  if ((aObject.era_ > known.era_ || known.ahead_) &&
      aObject.order_ < known.order_) {
    known.era_ = aObject.era_;
    known.revision_ = aObject.revision_;
    known.ahead_ = true;
    return;
  }
  if (aObject.order_ > known.order_) {
    aTable.revived_.erase(aObject.name_);
  }
  known = std::move(aObject);
  known.revived_ = false;
}

void
EraseObject(TableSync& aTable, const std::string& aName)
{
  const auto found = aTable.objects_.find(aName);
  if (found != aTable.objects_.end()) {
    RecordRemoval(aTable, found->second);
    aTable.objects_.erase(found);
  }
  aTable.lapsed_.erase(aName);
  aTable.revived_.erase(aName);
}

TableChange
DropLapsed(TableSync& aTable, TimePoint aNow)
{
  TableChange change;
  // During an outage it is unknown whether the entries were rewritten.
  if (aTable.failures_ > 0) {
    return change;
  }
  std::vector<std::string> ended;
  for (const auto& [name, until] : aTable.lapsed_) {
    if (until <= aNow) {
      ended.push_back(name);
    }
  }
  for (const std::string& name : ended) {
    EraseObject(aTable, name);
  }
  const std::size_t revived =
    std::erase_if(aTable.revived_,
                  [aNow](const auto& aItem) { return aItem.second <= aNow; });
  change.changed_ = !ended.empty() || revived > 0;
  return change;
}

void
RestartTable(TableSync& aTable, TimePoint aNow)
{
  aTable.watching_ = false;
  aTable.after_.clear();
  aTable.nextCallAt_ = aNow;
}

void
ResumeTable(TableSync& aTable, TimePoint aNow)
{
  aTable.passive_ = false;
  if (aTable.complete_ && aTable.after_.empty()) {
    aTable.watching_ = true;
    aTable.resuming_ = true;
  }
  aTable.nextCallAt_ = aNow;
}

bool
IsTableFresh(const TableSync& aTable)
{
  return aTable.complete_ && aTable.watching_ && !aTable.passive_ &&
         !aTable.resuming_ && aTable.failures_ == 0;
}

// A copy holds all objects as of its position, so an older object that it lacks
// has been removed, even if the copy as a whole is behind this table. Lacking
// an object of an earlier era, it may only have been lost by the store.
bool
ImportTable(TableSync& aTable,
            std::vector<StoreObject>&& aObjects,
            const StorePosition& aPosition)
{
  bool changed = !aTable.complete_;
  std::set<std::string> names;
  for (const StoreObject& object : aObjects) {
    names.insert(object.name_);
  }
  std::vector<std::string> removed;
  for (const auto& [name, object] : aTable.objects_) {
    if (PositionOf(object) > aPosition || names.count(name) > 0) {
      continue;
    }
    if (object.era_ < aPosition.era_) {
      aTable.lapsed_.try_emplace(name, aTable.eraBegunAt_ + kLapseGrace);
    } else {
      removed.push_back(name);
    }
  }
  for (const std::string& name : removed) {
    EraseObject(aTable, name);
    changed = true;
  }
  for (StoreObject& object : aObjects) {
    const auto known = aTable.objects_.find(object.name_);
    const bool outdated = known == aTable.objects_.end()
                            ? WasRemovedSince(aTable, object, aPosition)
                            : !ShouldReplace(aTable, known->second, object);
    if (!outdated) {
      PutObject(aTable, std::move(object));
      changed = true;
    }
  }
  std::erase_if(aTable.lapsed_, [&aTable](const auto& aItem) {
    return aTable.objects_.count(aItem.first) == 0;
  });
  AdvanceTo(aTable, aPosition);
  aTable.complete_ = true;
  return changed;
}

} // namespace camphorfield
