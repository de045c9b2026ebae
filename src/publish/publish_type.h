/** Types of the publish package: records kept in the store, and settings. */
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
  DaemonId self_;                          ///< Id of this daemon.
  std::string failureDomain_;              ///< Failure domain of this daemon.
  std::string keyPrefix_ = "camphorfield"; ///< Prefix of all store keys.
  std::uint32_t watchersPerDomain_ = 2;    ///< Daemons that watch the pointer.
  Duration watchTimeout_ = std::chrono::seconds(25); ///< Of a long poll.
  Duration callTimeout_ = std::chrono::seconds(2);   ///< Of other store calls.
  Duration peerTimeout_ = std::chrono::seconds(1);   ///< For a peer's answer.
  /// A change not published by then is answered with StoreUnavailable.
  Duration applyTimeout_ = std::chrono::seconds(15);
  /// How long the outcome of a swap whose reply was lost is looked up.
  Duration readBackTimeout_ = std::chrono::seconds(150);
  Duration backoffInitial_ = std::chrono::milliseconds(100); ///< First delay.
  Duration backoffMax_ = std::chrono::seconds(3);            ///< Longest delay.
  /// Time after the first live peer appears until the member list counts as
  /// complete.
  Duration settleTime_ = std::chrono::seconds(1);
  /// Mean time between two audits in the whole fleet. An audit is a read of the
  /// pointer outside of a watch.
  Duration auditInterval_ = std::chrono::seconds(10);
};

/** One accepted change in the pointer's history. */
struct HistoryEntry
{
  Generation generation_;            ///< Generation created by the change.
  std::string changeId_;             ///< Id given by the operator.
  std::string document_;             ///< Hash of the change document.
  std::int64_t unixMicros_ = 0;      ///< When the change was accepted.
  std::string manifestKey_;          ///< Key of its manifest.
  std::string digest_;               ///< Digest of its content.
  std::vector<std::string> touched_; ///< "kind/name" of the objects changed.
  bool touchedAll_ = false; ///< touched_ was too long to keep: any object may
                            ///< have changed.
};

/**
 * The store object that is compared and swapped to publish a generation. The
 * last entry of the history is the generation in force.
 */
struct Pointer
{
  std::vector<HistoryEntry> history_; ///< Ascending generations.
  Generation dropped_; ///< Newest generation removed from the history.
  Generation swept_;   ///< Chunks used only up to this generation are deleted.
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
