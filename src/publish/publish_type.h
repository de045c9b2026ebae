/** Types of the publish package: what the store holds, and the settings. */
#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include "machine/caller_type.h"
#include "object/object_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace camphorfield {

/** Settings of one daemon. */
struct PublishSettings
{
  DaemonId self_;                          ///< This daemon.
  std::string failureDomain_;              ///< Where it runs.
  std::string keyPrefix_ = "camphorfield"; ///< First part of all keys.
  std::uint32_t watchersPerDomain_ = 2;    ///< Daemons that hold a watch.
  Duration watchTimeout_ = std::chrono::seconds(25); ///< Of a long poll.
  Duration callTimeout_ = std::chrono::seconds(2);   ///< Of other calls.
  Duration peerTimeout_ = std::chrono::seconds(1);   ///< Of a peer's answer.
  /// An operator hears after this that nothing was published.
  Duration applyTimeout_ = std::chrono::seconds(15);
  /// How long a swap with a lost reply is read back.
  Duration readBackTimeout_ = std::chrono::seconds(150);
  Duration backoffFloor_ = std::chrono::milliseconds(100); ///< First pause.
  Duration backoffCap_ = std::chrono::seconds(3);          ///< Longest pause.
  /// Peers may be unheard of for so long after the first one was heard.
  Duration settleTime_ = std::chrono::seconds(1);
  /// Mean time between two reads of the pointer by the whole fleet, made by
  /// daemons that hold no watch.
  Duration auditInterval_ = std::chrono::seconds(10);
};

/** One accepted change in the pointer's history. */
struct HistoryEntry
{
  Generation generation_;            ///< Generation that it made.
  std::string changeId_;             ///< Id given by the operator.
  std::string document_;             ///< Hash of the change document.
  std::int64_t unixMicros_ = 0;      ///< When it was accepted.
  std::string manifestKey_;          ///< Key of its manifest.
  std::string digest_;               ///< Digest of its content.
  std::vector<std::string> touched_; ///< "kind/name" of the objects changed.
  bool touchedAll_ = false; ///< Too many to list: any object may have changed.
};

/** The one object that is swapped to publish; the last entry is in force. */
struct Pointer
{
  std::vector<HistoryEntry> history_; ///< Generations rise.
  Generation dropped_; ///< Newest generation that left the history.
  Generation swept_;   ///< Chunks used by this and earlier ones only are gone.
};

/** A part of the encoded objects, stored under a key that is never reused. */
struct ChunkRef
{
  std::string digest_; ///< Digest of the text.
  std::string key_;    ///< Key in the store.
};

/** The chunks that make up one generation, in order. */
struct Manifest
{
  std::vector<ChunkRef> chunks_;
};

/** Texts of chunks by their digest. */
using ChunkTexts = std::map<std::string, SharedText>;

/** Everything that the store holds for one generation. */
struct Content
{
  Pointer pointer_;
  Manifest manifest_;
  ChunkTexts chunks_;
};

} // namespace camphorfield
