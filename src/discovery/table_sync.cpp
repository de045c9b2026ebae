// Reads a table of the store in pages and then follows its changes by a watch.
// During outages, lost replies and missing history the last table stays in use.
#include "discovery/table_sync.h"

#include <algorithm>
#include <set>
#include <utility>

namespace camphorfield {

namespace {

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
                std::uint64_t aCopyRevision)
{
  return aTable.complete_ && aCopyRevision < aTable.revision_ &&
         aObject.revision_ <= aTable.revision_ &&
         aTable.objects_.count(aObject.name_) == 0;
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
    aTable.page_[item.name_] = std::move(item);
  }
  if (aReply.more_) {
    return;
  }
  // A feed may have brought changes after the first page was read. What it
  // added is newer than the page; what it removed is still on the page.
  std::vector<std::string> missing;
  for (const auto& [name, object] : aTable.objects_) {
    if (aTable.page_.count(name) == 0 &&
        object.revision_ <= aTable.pageRevision_) {
      missing.push_back(name);
    }
  }
  for (const std::string& name : missing) {
    Remove(aTable, name, aNow);
  }
  for (auto& [name, object] : aTable.page_) {
    if (!WasRemovedSince(aTable, object, aTable.pageRevision_)) {
      PutObject(aTable, std::move(object));
    }
  }
  aTable.page_.clear();
  aTable.after_.clear();
  aTable.revision_ = std::max(aTable.revision_, aTable.pageRevision_);
  aTable.watching_ = true;
  aTable.complete_ = true;
}

void
ApplyChanges(TableSync& aTable, StoreReply&& aReply, TimePoint aNow)
{
  for (StoreChange& change : aReply.changes_) {
    if (change.removed_) {
      // A feed may have brought what was written after this reply; the next
      // watch begins behind it.
      const auto known = aTable.objects_.find(change.object_.name_);
      if (known != aTable.objects_.end() &&
          known->second.revision_ <= aReply.revision_) {
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
    call.wait_ = kWatchWait;
    call.timeout_ = Duration(kWatchWait) + kStoreTimeout;
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
  change.restored_ = aTable.era_ != 0 && aReply.era_ > aTable.era_;
  aTable.era_ = std::max(aTable.era_, aReply.era_);
  if (aReply.status_ != StoreStatus::Ok) {
    const bool restored = change.restored_;
    change = HandleFailure(aTable, aReply.status_, aNow, aRng);
    change.restored_ = restored;
    return change;
  }
  change.regained_ = aTable.failures_ > 0;
  if (change.regained_) {
    aTable.hadOutage_ = true;
    aTable.outageEndedAt_ = aNow;
    aTable.failures_ = 0;
    aTable.failingSince_ = kNever;
  }
  const bool watch = aReply.op_ == StoreOp::Watch;
  if (!watch) {
    change.changed_ = true;
    change.read_ = !aReply.more_;
    ApplyPage(aTable, std::move(aReply), aNow);
  } else if (aTable.watching_) {
    change.changed_ = !aReply.changes_.empty();
    ApplyChanges(aTable, std::move(aReply), aNow);
  }
  // The reply to an abandoned watch is ignored: the table is read again.
  const bool series = change.changed_ && watch && aTable.watching_;
  aTable.nextCallAt_ = series ? aNow + kWatchGap : aNow;
  return change;
}

void
PutObject(TableSync& aTable, StoreObject&& aObject)
{
  aTable.lapsed_.erase(aObject.name_);
  StoreObject& known = aTable.objects_[aObject.name_];
  if (known.revision_ <= aObject.revision_) {
    known = std::move(aObject);
  }
}

void
EraseObject(TableSync& aTable, const std::string& aName)
{
  aTable.objects_.erase(aName);
  aTable.lapsed_.erase(aName);
}

TableChange
DropLapsed(TableSync& aTable, TimePoint aNow)
{
  TableChange change;
  // During an outage it is unknown whether the entries were rewritten.
  if (aTable.failures_ > 0) {
    return change;
  }
  for (auto next = aTable.lapsed_.begin(); next != aTable.lapsed_.end();) {
    if (next->second > aNow) {
      ++next;
      continue;
    }
    aTable.objects_.erase(next->first);
    next = aTable.lapsed_.erase(next);
    change.changed_ = true;
  }
  return change;
}

void
RestartTable(TableSync& aTable, TimePoint aNow)
{
  aTable.watching_ = false;
  aTable.after_.clear();
  aTable.nextCallAt_ = aNow;
}

bool
IsTableFresh(const TableSync& aTable)
{
  return aTable.complete_ && aTable.watching_ && !aTable.passive_ &&
         aTable.failures_ == 0;
}

// A copy holds all objects as of its revision, so an older object that it lacks
// has been removed, even if the copy as a whole is behind this table.
bool
ImportTable(TableSync& aTable,
            std::vector<StoreObject>&& aObjects,
            std::uint64_t aRevision)
{
  bool changed = !aTable.complete_;
  std::set<std::string> names;
  for (const StoreObject& object : aObjects) {
    names.insert(object.name_);
  }
  changed = std::erase_if(aTable.objects_,
                          [&names, aRevision](const auto& aItem) {
                            return aItem.second.revision_ <= aRevision &&
                                   names.count(aItem.first) == 0;
                          }) > 0 ||
            changed;
  for (StoreObject& object : aObjects) {
    const auto known = aTable.objects_.find(object.name_);
    const bool outdated = known == aTable.objects_.end()
                            ? WasRemovedSince(aTable, object, aRevision)
                            : known->second.revision_ >= object.revision_;
    if (!outdated) {
      PutObject(aTable, std::move(object));
      changed = true;
    }
  }
  std::erase_if(aTable.lapsed_, [&aTable](const auto& aItem) {
    return aTable.objects_.count(aItem.first) == 0;
  });
  aTable.revision_ = std::max(aTable.revision_, aRevision);
  aTable.complete_ = true;
  return changed;
}

} // namespace camphorfield
