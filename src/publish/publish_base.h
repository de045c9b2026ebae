/** State of the publish package. */
#pragma once

#include "machine/event_type.h"
#include "object/change_type.h"
#include "publish/publish_type.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace camphorfield {

/** What a platform call in flight is for. */
enum class CallPurpose : std::uint8_t
{
  Read,          ///< The pointer, outside of a watch.
  Watch,         ///< The pointer, long poll.
  OperatorQuery, ///< The pointer, for an operator's question.
  LoadManifest,
  LoadChunk,
  JobPointer,  ///< The pointer, at the start of a job.
  JobChunk,    ///< Write of a chunk.
  JobManifest, ///< Write of the manifest.
  JobSwap,     ///< Swap of the pointer.
  Sweep,       ///< Removal of what no generation uses.
  End          ///< Number of uses.
};

/** Who wants content loaded from the store. */
enum class LoadPurpose : std::uint8_t
{
  Adopt,    ///< To put it in force.
  Base,     ///< A job needs the newest generation first.
  Rollback, ///< A job publishes it again.
  End       ///< Number of uses.
};

/** One platform call in flight. */
struct PendingCall
{
  CallPurpose purpose_ = CallPurpose::Read;
  LoadPurpose loadPurpose_ = LoadPurpose::Adopt; ///< LoadManifest, LoadChunk.
  std::size_t index_ = 0; ///< LoadChunk, JobChunk: which chunk.
};

/** Reads of the pointer outside of a watch: at the start, and audits. */
struct PointerReader
{
  bool inFlight_ = false;
  bool answered_ = false;     ///< The store has answered once.
  TimePoint nextAt_ = kNever; ///< When to read next.
  std::uint32_t failures_ = 0;
};

/** A newer pointer that peers may bring before the store is asked. */
struct DeferredLoad
{
  Pointer pointer_;
  TimePoint at_ = kNever; ///< When the store is asked for its content.
};

/** Long poll of the pointer. */
struct PointerWatch
{
  bool inFlight_ = false;
  TimePoint nextAt_ = kNever; ///< When to go on after a failure.
  std::uint32_t failures_ = 0;
};

/** Load of one generation from the store. */
struct ContentLoad
{
  bool active_ = false;
  Content content_; ///< What has arrived.
  bool haveManifest_ = false;
  std::deque<std::size_t> pendingChunks_; ///< Chunks to ask for.
  std::set<std::size_t> inFlight_;        ///< Chunks asked for.
  TimePoint retryAt_ = kNever;            ///< When to go on after a failure.
  std::uint32_t failures_ = 0;
};

/** Fetch of a generation from a peer. */
struct PeerFetch
{
  PeerCallId call_; ///< Zero: none in flight.
  DaemonId peer_;
  Generation base_;                        ///< What the peer may leave out.
  TimePoint giveUpAt_ = kNever;            ///< Of the call in flight.
  TimePoint retryAt_ = kNever;             ///< When to ask the next peer.
  std::set<DaemonId> failedPeers_;         ///< Peers that failed.
  std::uint32_t failures_ = 0;             ///< Since the last success.
  std::map<DaemonId, Generation> notices_; ///< Heard from peers directly.
};

/** Kinds of jobs. */
enum class JobKind : std::uint8_t
{
  Apply,
  Rollback,
  Repair, ///< The store went back: publish what is in force once more.
  End     ///< Number of kinds.
};

/** Where a job stands. */
enum class JobPhase : std::uint8_t
{
  ReadPointer,
  LoadBase,
  LoadRollback,
  WriteChunks,
  WriteManifest,
  Swap,
  End ///< Number of phases.
};

/** Chunk to be written. */
struct ChunkWrite
{
  std::string key_;
  std::string text_;
};

/** What a job is about to publish. */
struct PreparedWrite
{
  Content content_;                     ///< With the new pointer.
  ConfigSet set_;                       ///< The objects.
  std::vector<ChunkWrite> chunks_;      ///< Chunks that the store lacks.
  std::size_t nextChunk_ = 0;           ///< Chunk to write next.
  std::size_t written_ = 0;             ///< Chunks known to be stored.
  std::deque<std::size_t> retryChunks_; ///< Chunks to write once more.
  std::uint64_t swapVersion_ = 0;       ///< Version that the swap demands.
};

/** Publication of one change. */
struct PublishJob
{
  JobKind kind_ = JobKind::Apply;
  JobPhase phase_ = JobPhase::ReadPointer;
  OperatorRequestId operatorRequest_; ///< Zero: nobody waits.
  std::string changeId_;
  std::string document_;        ///< Hash of the change document.
  Change change_;               ///< Apply.
  Generation rollbackTo_;       ///< Rollback.
  bool started_ = false;        ///< It has been in work.
  TimePoint giveUpAt_ = kNever; ///< No new attempt after this.
  TimePoint retryAt_ = kNever;  ///< When to go on after a failure.
  std::uint32_t failures_ = 0;  ///< Pauses so far.
  bool swapOutcomeUnknown_ =
    false;                ///< A swap went out and nothing is known of it.
  Pointer storedPointer_; ///< Pointer as read from the store.
  PreparedWrite write_;
};

/** Removal of the chunks that only old generations used. */
struct Sweep
{
  bool active_ = false;
  HistoryEntry oldEntry_;          ///< Entry whose content goes.
  HistoryEntry nextEntry_;         ///< The entry after it; what it uses stays.
  std::uint32_t step_ = 0;         ///< Position in the sequence of reads.
  std::set<std::string> keptKeys_; ///< Keys used by next_.
  std::map<std::string, std::uint64_t> garbage_; ///< Key to version, zero: not
                                                 ///< known yet.
  Generation sweptTo_;                           ///< Done up to here.
};

/** State of the publish package of one daemon. */
struct PublishState
{
  PublishSettings settings_;
  std::shared_ptr<const PublishedConfig> current_; ///< In force; may be null.
  std::shared_ptr<const Content> content_;         ///< Of current_; never null.
  std::map<Generation, Manifest>
    recentManifests_; ///< Manifests that were in force.
  std::shared_ptr<const std::vector<MemberRecord>> members_;
  bool started_ = false;           ///< The first event has come.
  Duration startDelay_{};          ///< Before the first read.
  TimePoint startedAt_;            ///< Time of the first event.
  TimePoint firstPeerAt_ = kNever; ///< When the first live peer was heard of.
  TimePoint settleAt_ = kNever;    ///< When the peers count as all heard.
  bool confirmed_ = false;
  bool storeEmpty_ = false; ///< The store said that nothing is published.
  bool storeUnreachable_ =
    false; ///< The last reply of the store was a failure.
  bool stopping_ = false;
  bool watcher_ = true;              ///< This daemon holds a watch.
  std::uint64_t pointerVersion_ = 0; ///< Version last seen in the store.
  Generation storeGeneration_;       ///< Generation that the store showed last.
  std::string storeChangeId_;        ///< Its change id.
  Generation
    highestEverAnnounced_;      ///< Highest generation that any daemon told of.
  TimePoint repairAt_ = kNever; ///< When to repair the store's pointer.
  std::string lastRefusal_; ///< What was refused last, to tell it only once.
  std::map<PlatformCallId, PendingCall> calls_;
  std::map<PlatformCallId, OperatorRequest>
    operatorQueries_; ///< Questions in flight.
  PointerReader reader_;
  PointerWatch watch_;
  DeferredLoad deferredLoad_;
  std::array<ContentLoad, static_cast<std::size_t>(LoadPurpose::End)> loads_;
  PeerFetch fetch_;
  std::deque<PublishJob> jobs_; ///< The first is in work.
  Sweep sweep_;
};

} // namespace camphorfield
