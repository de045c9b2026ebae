/** Local copy of one kind of objects in the store, updated by a watch. */
#pragma once

#include "core/rng_type.h"
#include "core/time_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace camphorfield {

/** Longest wait of a watch for the next change. A store that is unresponsive
 * when a watch arrives never answers it, so this limits how long that stays
 * undetected. Less than kMaxFeedAge, so that the tables of a watcher that the
 * store answers are never too old to pass on. */
constexpr Duration kWatchWait = std::chrono::seconds(2);
/** Pause after a watch that returned changes. Changes come in series, and one
 * call returns all that were made in the meantime. */
constexpr Duration kWatchGap = std::chrono::milliseconds(150);
/** Timeout of a call, besides the wait of a watch; a slow store takes 0.3 s. */
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
constexpr Duration kStoreBackoffFloor = std::chrono::milliseconds(80);
constexpr Duration kStoreBackoffCeiling = std::chrono::milliseconds(600);
/** Entries that expired during an outage are written again within this time
 * after it by the platform's contract, including a margin for the network. */
constexpr Duration kLapseGrace = std::chrono::milliseconds(2200);

/** An entry that was removed before the store came back from an older copy, and
 * is listed again, is not used for this time unless it is written anew: the
 * platform drops it again when its server is silent. */
constexpr Duration kRevivedDelay = std::chrono::seconds(5);
/** Removals that are remembered for it. */
constexpr std::size_t kMaxRemovals = 2048;

/** Place in the store's sequence of changes. A store that comes back from an
 * older copy begins a new era and gives revisions out again. */
struct StorePosition
{
  std::uint64_t era_ = 0;
  std::uint64_t revision_ = 0;

  bool operator==(const StorePosition& aOther) const = default;
};

bool
operator<(const StorePosition& aLeft, const StorePosition& aRight);
bool
operator>(const StorePosition& aLeft, const StorePosition& aRight);
bool
operator<=(const StorePosition& aLeft, const StorePosition& aRight);

/** What an object says of its own age, comparable over eras: a configuration's
 * version; a server's start and number of writes. Zeros: nothing. */
using ContentOrder = std::pair<std::uint64_t, std::uint64_t>;

/** One object with its unparsed content. */
struct StoreObject
{
  std::string name_;
  std::uint64_t revision_ = 0; ///< Of its last change.
  std::string text_;           ///< Content as JSON.
  std::uint64_t era_ = 0;      ///< Of its last change.
  ContentOrder order_;
  /** The content is newer than that in the store, which has lost it. */
  bool ahead_ = false;
  /** Sent by a daemon that knows that it was removed before a restore. */
  bool revived_ = false;
};

StorePosition
PositionOf(const StoreObject& aObject);

/** One change of an object. */
struct StoreChange
{
  StoreObject object_;
  bool removed_ = false;
};

enum class StoreOp : std::uint8_t
{
  List,  ///< One page of the objects.
  Watch, ///< The changes after a revision.
  End    ///< Number of operations.
};

/** Call to the store. */
struct StoreCall
{
  StoreOp op_ = StoreOp::List;
  std::string kind_;
  std::string after_;          ///< List: last name of the previous page.
  std::uint64_t revision_ = 0; ///< Watch: changes after this one.
  Duration wait_{};            ///< Watch: longest wait.
  Duration timeout_{};
};

enum class StoreStatus : std::uint8_t
{
  Ok,
  HistoryGone, ///< The store no longer has the changes since then.
  Refused,     ///< Rejected by the store.
  Lost,        ///< No answer.
  End          ///< Number of states.
};

/** Reply to a call. */
struct StoreReply
{
  StoreOp op_ = StoreOp::List; ///< Operation of the call.
  StoreStatus status_ = StoreStatus::Ok;
  std::vector<StoreObject> items_;   ///< List only.
  bool more_ = false;                ///< List: there is another page.
  std::vector<StoreChange> changes_; ///< Watch only.
  std::uint64_t revision_ = 0;       ///< Of the store at the time of the reply.
  /** Number of times that the store was restored from an older copy, after
   * which it gives revisions out again; zero: not stated. */
  std::uint64_t era_ = 0;
  std::size_t unreadable_ = 0; ///< Values in it that could not be read.
};

/** A table and the state of its synchronization. */
struct TableSync
{
  std::string kind_;
  std::map<std::string, StoreObject> objects_;
  bool complete_ = false;      ///< Read completely since the start.
  std::uint64_t era_ = 0;      ///< Of the store, newest seen; zero: none.
  TimePoint eraBegunAt_{};     ///< When it was seen.
  std::uint64_t revision_ = 0; ///< Of the store, that objects_ reflects.
  bool watching_ = false;      ///< False: the next call is a List.
  bool passive_ = false;       ///< Updated by a feed; makes no calls.
  std::map<std::string, StoreObject> page_; ///< Of the pages read so far.
  std::string after_; ///< Last name in page_; empty: from the start.
  std::uint64_t pageRevision_ = 0; ///< Revision of the first page.
  std::uint32_t failures_ = 0;     ///< Consecutive.
  TimePoint nextCallAt_{};
  /** When the store last said that nothing was missing. */
  TimePoint upToDateAt_{};
  bool resuming_ = false; ///< The store has not answered since ResumeTable.
  TimePoint failingSince_ = kNever;         ///< First of these failures.
  TimePoint outageEndedAt_{};               ///< End of the latest outage.
  bool hadOutage_ = false;                  ///< There has been an outage.
  std::map<std::string, TimePoint> lapsed_; ///< Removed then, unless rewritten.
  std::uint32_t historyGoneInRow_ = 0; ///< Watches without history since one.
  /** Era and order of objects at their removal. */
  std::map<std::string, std::pair<std::uint64_t, ContentOrder>> removals_;
  /** Removed objects that a restored store lists again: not used until then. */
  std::map<std::string, TimePoint> revived_;
};

StorePosition
PositionOf(const TableSync& aTable);

/** Whether an object replaces a known one of its name. */
bool
IsNewer(const StoreObject& aObject, const StoreObject& aKnown);

/** Whether an object of another daemon replaces the known one of a table. */
bool
ShouldReplace(const TableSync& aTable,
              const StoreObject& aKnown,
              const StoreObject& aObject);

/** Raises the position that a table reflects. */
void
AdvanceTo(TableSync& aTable, const StorePosition& aPosition);

/** Begins a new era of the store: what is known stays in use until it is known
 * what the store still has. */
void
BeginEra(TableSync& aTable, std::uint64_t aEra, TimePoint aNow);

/** Whether an object may be used. */
bool
IsInUse(const TableSync& aTable, const std::string& aName);

/** Effect of a reply or a timer. */
struct TableChange
{
  bool changed_ = false;  ///< objects_ or complete_ changed.
  bool read_ = false;     ///< A complete read of the table has ended.
  bool lost_ = false;     ///< First failure after a success.
  bool regained_ = false; ///< First success after a failure.
  bool restored_ = false; ///< The store has been restored from an older copy.
};

/** Returns the call that is due, if any. */
std::optional<StoreCall>
NextStoreCall(const TableSync& aTable, TimePoint aNow);

/** Handles the reply to the latest call. */
TableChange
TakeStoreReply(TableSync& aTable,
               StoreReply&& aReply,
               TimePoint aNow,
               Rng& aRng);

/** Puts an object into the table unless a newer state of it is known. */
void
PutObject(TableSync& aTable, StoreObject&& aObject);

/** Removes an object at once. */
void
EraseObject(TableSync& aTable, const std::string& aName);

/** Removes entries that were not rewritten in time after an outage, and takes
 * those into use that a restored store has kept for long enough. */
TableChange
DropLapsed(TableSync& aTable, TimePoint aNow);

/** Schedules a complete read, because changes may have been missed. */
void
RestartTable(TableSync& aTable, TimePoint aNow);

/**
 * Continues a table that a feed has kept up to date by a watch, which costs one
 * call where a complete read takes many.
 */
void
ResumeTable(TableSync& aTable, TimePoint aNow);

/** Whether the table is complete and kept up to date by the store. */
bool
IsTableFresh(const TableSync& aTable);

/**
 * Merges the complete copy of another daemon into the table.
 * @param aPosition Of the store, that the copy reflects.
 * @return False when nothing changed.
 */
bool
ImportTable(TableSync& aTable,
            std::vector<StoreObject>&& aObjects,
            const StorePosition& aPosition);

} // namespace camphorfield
