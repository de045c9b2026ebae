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

/** Purpose of a platform call in flight. */
enum class CallPurpose : std::uint8_t
{
  Read,          ///< Read of the pointer at the start, or audit.
  Watch,         ///< Long poll of the pointer.
  OperatorQuery, ///< Read of the pointer to answer an operator.
  LoadManifest,
  LoadChunk,
  JobPointer,  ///< Read of the pointer at the start of a job.
  JobChunk,    ///< Write of a chunk.
  JobManifest, ///< Write of the manifest.
  JobSwap,     ///< Compare-and-swap of the pointer.
  Sweep,       ///< Deletion of what no generation uses.
  End          ///< Number of purposes.
};

/** Purpose of loading content from the store. */
enum class LoadPurpose : std::uint8_t
{
  Adopt,    ///< To put it in force.
  Base,     ///< Newest generation, on which a job builds its change.
  Rollback, ///< Earlier generation that a job publishes again.
  End       ///< Number of purposes.
};

/** One platform call in flight. */
struct PendingCall
{
  CallPurpose purpose_ = CallPurpose::Read;
  /// For LoadManifest and LoadChunk.
  LoadPurpose loadPurpose_ = LoadPurpose::Adopt;
  std::size_t index_ = 0; ///< Index of the chunk, for LoadChunk and JobChunk.
};

/** Reads of the pointer outside of a watch: at the start, then audits. */
struct PointerReader
{
  bool inFlight_ = false;
  bool answered_ = false;     ///< The store has answered once.
  TimePoint nextAt_ = kNever; ///< When to read next.
  std::uint32_t failures_ = 0;
};

/**
 * A newer pointer whose content is loaded from the store later, to give peers
 * time to send it first.
 */
struct DeferredLoad
{
  Pointer pointer_;
  TimePoint at_ = kNever; ///< When to load the content from the store.
};

/** Long poll of the pointer. */
struct PointerWatch
{
  bool inFlight_ = false;
  TimePoint nextAt_ = kNever; ///< When to retry after a failure.
  std::uint32_t failures_ = 0;
};

/** Load of one generation from the store. */
struct ContentLoad
{
  bool active_ = false;
  Content content_; ///< Received so far.
  bool haveManifest_ = false;
  std::deque<std::size_t> pendingChunks_; ///< Chunks not requested yet.
  std::set<std::size_t> inFlight_;        ///< Chunks requested.
  TimePoint retryAt_ = kNever;            ///< When to retry after a failure.
  std::uint32_t failures_ = 0;
};

/** Fetch of a newer generation from a peer. */
struct PeerFetch
{
  PeerCallId call_; ///< Call in flight, zero if none.
  DaemonId peer_;
  Generation base_;                ///< The peer may send the difference to
                                   ///< this generation; zero: everything.
  TimePoint giveUpAt_ = kNever;    ///< Timeout of the call in flight.
  TimePoint retryAt_ = kNever;     ///< When to try the next peer.
  std::set<DaemonId> failedPeers_; ///< Not to be tried now.
  std::uint32_t failures_ = 0;     ///< Since the last success.
  std::map<DaemonId, Generation> notices_; ///< Announced by peers directly.
};

/** Kinds of jobs. */
enum class JobKind : std::uint8_t
{
  Apply,
  Rollback,
  Repair, ///< The store reverted: publish what is in force again.
  End     ///< Number of kinds.
};

/** Step that a job has reached. */
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

/** Data that a job writes to publish a generation. */
struct PreparedWrite
{
  Content content_;                     ///< New content, with the new pointer.
  ConfigSet set_;                       ///< Objects of the new generation.
  std::vector<ChunkWrite> chunks_;      ///< Chunks that the store lacks.
  std::size_t nextChunk_ = 0;           ///< First chunk not sent yet.
  std::size_t written_ = 0;             ///< Number of chunks stored.
  std::deque<std::size_t> retryChunks_; ///< Chunks whose write failed.
  std::uint64_t swapVersion_ = 0; ///< Pointer version that the swap expects.
};

/** Publication of one change. */
struct PublishJob
{
  JobKind kind_ = JobKind::Apply;
  JobPhase phase_ = JobPhase::ReadPointer;
  OperatorRequestId operatorRequest_; ///< Zero if no operator waits.
  std::string changeId_;
  std::string document_;            ///< Hash of the change document.
  Change change_;                   ///< For Apply.
  Generation rollbackTo_;           ///< For Rollback.
  bool started_ = false;            ///< Its first read was sent.
  TimePoint giveUpAt_ = kNever;     ///< No attempt begins after this.
  TimePoint retryAt_ = kNever;      ///< When to retry after a failure.
  std::uint32_t failures_ = 0;      ///< Number of retries so far.
  bool swapOutcomeUnknown_ = false; ///< The reply to a swap was lost.
  Pointer storedPointer_;           ///< Pointer last read from the store.
  PreparedWrite write_;
};

/** Deletion of the content of a generation that is no longer retained. */
struct Sweep
{
  bool active_ = false;
  HistoryEntry oldEntry_;          ///< Entry whose content is deleted.
  HistoryEntry nextEntry_;         ///< Entry after it; its chunks are kept.
  std::uint32_t step_ = 0;         ///< Index into the steps of a sweep.
  std::set<std::string> keptKeys_; ///< Keys used by nextEntry_.
  std::map<std::string, std::uint64_t> garbage_; ///< Version by key to
                                                 ///< delete; zero until read.
  Generation sweptTo_;                           ///< Newest generation swept.
};

/** State of the publish package of one daemon. */
struct PublishState
{
  PublishSettings settings_;
  std::shared_ptr<const PublishedConfig> current_; ///< In force; may be null.
  std::shared_ptr<const Content> content_;         ///< Of current_; never null.
  /// Manifests of the last generations in force.
  std::map<Generation, Manifest> recentManifests_;
  std::shared_ptr<const std::vector<MemberRecord>> members_;
  bool started_ = false;           ///< The first event was handled.
  Duration startDelay_{};          ///< Before the first read.
  TimePoint startedAt_;            ///< Time of the first event.
  TimePoint firstPeerAt_ = kNever; ///< When the first live peer appeared.
  TimePoint settleAt_ = kNever;    ///< When the member list counts as complete.
  bool confirmed_ = false;         ///< See PublishIsConfirmed.
  bool storeEmpty_ = false;        ///< The store holds no pointer.
  bool storeUnreachable_ = false;  ///< The last store call got no reply.
  bool stopping_ = false;
  bool watcher_ = true;              ///< This daemon watches the pointer.
  std::uint64_t pointerVersion_ = 0; ///< Version last read from the store.
  Generation storeGeneration_;       ///< Generation last read from the store.
  std::string storeChangeId_;        ///< Change id of storeGeneration_.
  Generation highestEverAnnounced_;  ///< Highest one announced by any daemon.
  TimePoint repairAt_ = kNever;      ///< When to repair the store's pointer.
  std::string lastRefusal_; ///< Last refusal recorded, to record it only once.
  std::map<PlatformCallId, PendingCall> calls_;
  /// Requests of operators that wait for a read of the pointer.
  std::map<PlatformCallId, OperatorRequest> operatorQueries_;
  PointerReader reader_;
  PointerWatch watch_;
  DeferredLoad deferredLoad_;
  std::array<ContentLoad, static_cast<std::size_t>(LoadPurpose::End)> loads_;
  PeerFetch fetch_;
  std::deque<PublishJob> jobs_; ///< The first one is running.
  Sweep sweep_;
};

} // namespace camphorfield
