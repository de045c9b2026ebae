/** Copy of one kind of the store's objects, kept up to date by a watch. */
#pragma once

#include "core/rng_type.h"
#include "core/time_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorfield {

/** Longest wait of a watch for the next change. A store that is silent when a
 * watch arrives never answers it, so this bounds how long that goes unseen. */
constexpr Duration kWatchWait = std::chrono::seconds(3);
/** Pause after a watch that told of changes: they come in series, and one call
 * brings all that have come meanwhile. */
constexpr Duration kWatchGap = std::chrono::milliseconds(150);
/** A call without an answer by then is given up; a slow store takes 0.3 s. */
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1500);
constexpr Duration kStoreBackoffFloor = std::chrono::milliseconds(80);
constexpr Duration kStoreBackoffCeiling = std::chrono::milliseconds(600);
/** Entries that expired during an outage are written again within this time
 * of its end, by the platform's contract; a margin for the way included. */
constexpr Duration kLapseGrace = std::chrono::milliseconds(2200);

/** One object, its content unread. */
struct StoreObject
{
  std::string name_;
  std::uint64_t revision_ = 0; ///< Of its last change.
  std::string text_;           ///< Content as JSON.
};

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
  std::string after_;          ///< List: name that the page begins behind.
  std::uint64_t revision_ = 0; ///< Watch: changes after this one.
  Duration wait_{};            ///< Watch: longest wait.
  Duration timeout_{};
};

enum class StoreStatus : std::uint8_t
{
  Ok,
  HistoryGone, ///< The changes since that revision are not kept.
  Refused,     ///< Nothing was done.
  Lost,        ///< No answer.
  End          ///< Number of states.
};

/** Reply to a call. */
struct StoreReply
{
  StoreOp op_ = StoreOp::List; ///< Of the call.
  StoreStatus status_ = StoreStatus::Ok;
  std::vector<StoreObject> items_;   ///< List only.
  bool more_ = false;                ///< List: there is another page.
  std::vector<StoreChange> changes_; ///< Watch only.
  std::uint64_t revision_ = 0;       ///< The store's, as of the reply.
};

/** The copy and how it is kept. */
struct TableSync
{
  std::string kind_;
  std::map<std::string, StoreObject> objects_;
  bool complete_ = false;      ///< Has been read whole since the start.
  std::uint64_t revision_ = 0; ///< Of the store, that objects_ stands for.
  bool watching_ = false;      ///< False: it has to be read whole.
  bool passive_ = false;       ///< Another daemon tells of changes; no calls.
  std::map<std::string, StoreObject> page_; ///< Of a reading under way.
  std::string after_;                       ///< Where its next page begins.
  std::uint64_t pageRevision_ = 0;          ///< Of its first page.
  std::uint32_t failures_ = 0;              ///< In a row.
  TimePoint nextCallAt_{};
  TimePoint failingSince_ = kNever;         ///< First of these failures.
  TimePoint outageEndedAt_{};               ///< End of the latest outage.
  bool hadOutage_ = false;                  ///< There has been one.
  std::map<std::string, TimePoint> lapsed_; ///< Removed then if not rewritten.
};

/** What a call or the passing of time has done. */
struct TableChange
{
  bool changed_ = false;  ///< objects_ or complete_ differ.
  bool lost_ = false;     ///< The store has just stopped to answer.
  bool regained_ = false; ///< It answers again.
};

/** Call that is due, if there is one. */
std::optional<StoreCall>
NextStoreCall(const TableSync& aTable, TimePoint aNow);

/** Takes up the reply to the latest call. */
TableChange
TakeStoreReply(TableSync& aTable,
               StoreReply&& aReply,
               TimePoint aNow,
               Rng& aRng);

/** Removes entries that were not written again after an outage. */
TableChange
DropLapsed(TableSync& aTable, TimePoint aNow);

/** Have the table read whole: what was heard of it may have gaps. */
void
RestartTable(TableSync& aTable, TimePoint aNow);

/** Whether the copy is as the store has it now, as far as its replies tell. */
bool
IsTableFresh(const TableSync& aTable);

/**
 * Takes a copy over from another daemon while the store doesn't answer.
 * @return False when it is not newer than the own one.
 */
bool
ImportTable(TableSync& aTable,
            std::vector<StoreObject>&& aObjects,
            std::uint64_t aRevision);

} // namespace camphorfield
