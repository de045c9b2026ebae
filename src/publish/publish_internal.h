/** Functions shared by the sources of the publish package. */
#pragma once

#include "publish/content_func.h"
#include "publish/publish_func.h"

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

namespace camphorfield {

constexpr std::size_t kMaxParallelChunkCalls = 8; ///< Per load or job.
constexpr std::size_t kNoticeFanout = 6;          ///< Peers notified at once.
/**
 * Head start of the peers over the store, and of the first read over the first
 * watch, when this daemon starts.
 */
constexpr Duration kStartPeerWait = std::chrono::milliseconds(600);
constexpr std::size_t kMaxJobs = 64; ///< Changes queued in one daemon.
constexpr std::size_t kMaxOperatorQueries = 64; ///< In flight.
constexpr std::size_t kMaxRecentManifests = 16; ///< Bases of partial content.
/** Failed fetches from peers before the store is used. */
constexpr std::uint32_t kMaxPeerTries = 3;

/** Context of handling one event, passed to all functions of the package. */
struct PublishStep
{
  PublishState& state_;
  const Now& now_;
  Rng& rng_;
  Decisions& out_;
};

/** Generation in force; zero before the first one. */
Generation
CurrentGeneration(const PublishState& aState);

/** Key of the pointer. */
std::string
PointerKey(const PublishState& aState);

/** Start a platform call under a random id. */
void
StartCall(PublishStep& aStep, PlatformCall aCall, const PendingCall& aPending);

/** Start a read of one object. */
void
StartGet(PublishStep& aStep,
         const std::string& aKey,
         const PendingCall& aPending);

/** Time of the next attempt after a number of failures, with jitter. */
TimePoint
BackoffAt(PublishStep& aStep, std::uint32_t aFailures);

/** A random duration, uniform between zero and a limit. */
Duration
RandomDuration(PublishStep& aStep, Duration aLimit);

/** Add a record to the time line. */
void
Record(PublishStep& aStep,
       TimelineKind aKind,
       std::uint64_t aNumber,
       std::string_view aObject,
       std::string_view aText);

/** Record in the time line when the store is lost or found again. */
void
TrackStoreReachability(PublishStep& aStep, PlatformStatus aStatus);

/** First object of a successful reply; null when there is none. */
const PlatformObject*
ReplyObject(const PlatformReply& aReply);

/**
 * Put content in force if its generation is higher than the one in force.
 * @param aSource Origin of the content, for the time line.
 * @return False when its generation isn't higher or it can't be decoded.
 */
bool
AdoptContent(PublishStep& aStep, Content aContent, std::string_view aSource);

/** As AdoptContent, for content whose set is decoded already. */
bool
AdoptSet(PublishStep& aStep,
         Content aContent,
         ConfigSet aSet,
         std::string_view aSource);

/** Record once in the time line that a generation was refused. */
void
RefuseGeneration(PublishStep& aStep,
                 Generation aGeneration,
                 std::string_view aReason);

/**
 * Confirm the generation in force when the member list has settled and no live
 * peer announces a higher one.
 */
void
ConfirmByPeers(PublishStep& aStep);

/** Handle a pointer read from the store: load, confirm or refuse it. */
void
OnPointerRead(PublishStep& aStep, const PlatformObject& aObject);

/** Handle the reply that the store holds no pointer. */
void
OnPointerAbsent(PublishStep& aStep);

/** Decide whether this daemon watches the pointer. */
void
UpdateWatcherRole(PublishStep& aStep);

/** Load the content of a newer pointer if no peer sent it in time. */
void
RunDeferredLoad(PublishStep& aStep);

/** Start the read and the watch that are due. */
void
RunReaders(PublishStep& aStep);

/** Handle replies to CallPurpose::Read and CallPurpose::Watch. */
void
OnPointerReply(PublishStep& aStep,
               const PlatformReply& aReply,
               CallPurpose aPurpose);

/** Start to load the content of an entry from the store. */
void
StartLoad(PublishStep& aStep,
          LoadPurpose aPurpose,
          const Pointer& aPointer,
          const HistoryEntry& aEntry);

/** Handle replies to CallPurpose::LoadManifest and LoadChunk. */
void
OnLoadReply(PublishStep& aStep,
            const PlatformReply& aReply,
            const PendingCall& aPending);

/** Retry the loads that are due. */
void
RunLoads(PublishStep& aStep);

/** Highest generation announced by a live member or by a notice. */
Generation
HighestAnnounced(const PublishState& aState);

/** Whether a member is another daemon and not dead. */
bool
IsLivePeer(const PublishState& aState, const MemberRecord& aMember);

/** Request a newer generation from a peer that announces one. */
void
RunFetch(PublishStep& aStep);

/**
 * Whether a newer generation is announced, but fetching it from peers failed
 * too often, so that the store is used.
 */
bool
FetchIsExhausted(const PublishState& aState);

/** Notify a few peers of the generation in force. */
void
SendNotices(PublishStep& aStep);

/** Answer a peer's request for content. */
void
OnGenerationRequest(PublishStep& aStep,
                    DaemonId aFrom,
                    const GenerationRequest& aAsk);

/** Handle content, or the notice of a generation, from a peer. */
void
OnGenerationContent(PublishStep& aStep,
                    DaemonId aFrom,
                    const GenerationContent& aContent);

/** Continue the first job if it is due, or start the next one. */
void
RunJobs(PublishStep& aStep);

/** Schedule a repair: the generation in force is published again. */
void
QueueRepair(PublishStep& aStep);

/** Handle replies to the calls of the first job. */
void
OnJobReply(PublishStep& aStep,
           const PlatformReply& aReply,
           const PendingCall& aPending);

/** Continue the first job with content loaded for it. */
void
OnJobLoaded(PublishStep& aStep, LoadPurpose aPurpose, Content aContent);

/** Retry the first job after a load for it found no usable content. */
void
OnJobLoadFailed(PublishStep& aStep);

/**
 * Prepare the writes of the first job, based on the generation in force.
 * @return False when the job has ended with an answer.
 */
bool
PrepareApply(PublishStep& aStep, PublishJob& aJob);

/** As PrepareApply, to publish the content of an earlier generation. */
bool
PrepareRollback(PublishStep& aStep, PublishJob& aJob, const Content& aOld);

/** As PrepareApply, to publish the generation in force again. */
bool
PrepareRepair(PublishStep& aStep, PublishJob& aJob);

/** Remove the first job and forget its calls in flight. */
void
PopJob(PublishStep& aStep);

/** End the first job with an answer to its operator. */
void
EndJob(PublishStep& aStep, ResultCode aCode, boost::json::object aFields);

/** Send an answer to an operator; none for the zero id. */
void
AnswerOperator(PublishStep& aStep,
               OperatorRequestId aId,
               ResultCode aCode,
               boost::json::object aFields);

/** Answer a request whose change id is in the history. */
void
AnswerAccepted(PublishStep& aStep,
               OperatorRequestId aId,
               const HistoryEntry& aEntry,
               const std::string& aDocument);

/** Answer a query for the history or a change; null if the store failed. */
void
AnswerOperatorQuery(PublishStep& aStep,
                    const OperatorRequest& aRequest,
                    const Pointer* aStored);

/** Handle a request of an operator. */
void
HandleOperator(PublishStep& aStep, const OperatorRequest& aRequest);

/** Handle replies to CallPurpose::OperatorQuery. */
void
OnOperatorQueryReply(PublishStep& aStep, const PlatformReply& aReply);

/** Start to delete content used only by generations not retained. */
void
StartSweep(PublishStep& aStep);

/** Handle replies to CallPurpose::Sweep. */
void
OnSweepReply(PublishStep& aStep, const PlatformReply& aReply);

} // namespace camphorfield
