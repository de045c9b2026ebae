/** Functions shared by the sources of the publish package. */
#pragma once

#include "publish/content_func.h"
#include "publish/publish_func.h"

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

namespace camphorfield {

constexpr std::size_t kParallelCalls = 8; ///< Chunk calls in flight.
constexpr std::size_t kNoticeFanout = 6;  ///< Peers told of a new generation.
/** How long a daemon that starts waits to hear of its peers. */
constexpr Duration kStartPeerWait = std::chrono::milliseconds(600);
constexpr std::size_t kMaxJobs = 64;         ///< Changes waiting in one daemon.
constexpr std::size_t kMaxAsks = 64;         ///< Questions in flight.
constexpr std::size_t kRecentManifests = 16; ///< For content left out.
constexpr std::uint32_t kPeerTries = 3;      ///< Peers asked before the store.

/** One step of the package: what every function of it needs. */
struct PublishStep
{
  PublishState& state_;
  const Now& now_;
  Rng& rng_;
  Decisions& out_;
};

/** Generation in force; zero before the first. */
Generation
CurrentGeneration(const PublishState& aState);

/** Key of the pointer. */
std::string
PointerKey(const PublishState& aState);

/** Start a platform call; its id is drawn. */
void
StartCall(PublishStep& aStep, PlatformCall aCall, const PendingCall& aPending);

/** Start a read of one object. */
void
StartGet(PublishStep& aStep, const std::string& aKey, const PendingCall& aUse);

/** Time of the next attempt after a number of failures, with jitter. */
TimePoint
BackoffAt(PublishStep& aStep, std::uint32_t aFailures);

/** A duration drawn evenly between zero and a limit. */
Duration
DrawUpTo(PublishStep& aStep, Duration aLimit);

/** Add a time line record. */
void
Record(PublishStep& aStep,
       TimelineKind aKind,
       std::uint64_t aNumber,
       std::string_view aObject,
       std::string_view aText);

/** Keep track of whether the store answers. */
void
NoteStore(PublishStep& aStep, PlatformStatus aStatus);

/** Value of a reply, or null when it holds none. */
const PlatformObject*
ReplyObject(const PlatformReply& aReply);

/**
 * Put content in force if it is of a higher generation than the one in force.
 * @param aSource Where it came from, for the time line.
 * @return False when it was not higher, or not readable.
 */
bool
AdoptContent(PublishStep& aStep, Content aContent, std::string_view aSource);

/** Put content in force whose set is known already. */
bool
AdoptSet(PublishStep& aStep,
         Content aContent,
         ConfigSet aSet,
         std::string_view aSource);

/** Note in the time line, once, that something lower or unreadable was seen. */
void
RefuseGeneration(PublishStep& aStep,
                 Generation aGeneration,
                 std::string_view aReason);

/** Confirm the generation in force by the peers, if they allow it. */
void
ConfirmByPeers(PublishStep& aStep);

/** A pointer was read: follow it, confirm it or refuse it. */
void
OnPointerSeen(PublishStep& aStep, const PlatformObject& aObject);

/** The store says that there is no pointer. */
void
OnPointerAbsent(PublishStep& aStep);

/** Decide whether this daemon holds a watch. */
void
ElectWatchers(PublishStep& aStep);

/** Load a newer pointer's content, if no peer brought it in time. */
void
RunFollow(PublishStep& aStep);

/** Reads and watches that are due. */
void
RunReaders(PublishStep& aStep);

/** Replies to CallUse::Read and CallUse::Watch. */
void
OnPointerReply(PublishStep& aStep, const PlatformReply& aReply, CallUse aUse);

/** Begin to load the content of an entry. */
void
StartLoad(PublishStep& aStep,
          LoadUse aUse,
          const Pointer& aPointer,
          const HistoryEntry& aEntry);

/** Replies to CallUse::LoadManifest and CallUse::LoadChunk. */
void
OnLoadReply(PublishStep& aStep,
            const PlatformReply& aReply,
            const PendingCall& aPending);

/** Loads that are due for another attempt. */
void
RunLoads(PublishStep& aStep);

/** Largest generation that a live member or a notice tells of. */
Generation
HighestHeard(const PublishState& aState);

/** Whether a member can be expected to answer. */
bool
IsLivePeer(const PublishState& aState, const MemberRecord& aMember);

/** Ask a peer for a newer generation, if one has it. */
void
RunFetch(PublishStep& aStep);

/** The peers that were asked don't have it: go to the store. */
bool
FetchIsExhausted(const PublishState& aState);

/** Tell a few peers of the generation in force. */
void
SendNotices(PublishStep& aStep);

/** Answer a peer that asks for content. */
void
OnGenerationRequest(PublishStep& aStep,
                    DaemonId aFrom,
                    const GenerationRequest& aAsk);

/** Content or a notice from a peer. */
void
OnGenerationContent(PublishStep& aStep,
                    DaemonId aFrom,
                    const GenerationContent& aContent);

/** The first job goes on if it is due, or the next one starts. */
void
RunJobs(PublishStep& aStep);

/** Queue the publication of what is in force, once more. */
void
QueueRepair(PublishStep& aStep);

/** Replies to the calls of the first job. */
void
OnJobReply(PublishStep& aStep,
           const PlatformReply& aReply,
           const PendingCall& aPending);

/** A load that the first job waits for is done. */
void
OnJobLoaded(PublishStep& aStep, LoadUse aUse, Content aContent);

/** A load that the first job waits for found an object missing. */
void
OnJobLoadFailed(PublishStep& aStep);

/**
 * Work out what the first job is to write, on the generation in force.
 * @return False when the job has ended with an answer.
 */
bool
PrepareApply(PublishStep& aStep, PublishJob& aJob);

/** As PrepareApply, with the content of an earlier generation. */
bool
PrepareRollback(PublishStep& aStep, PublishJob& aJob, const Content& aOld);

/** As PrepareApply, with what is in force. */
bool
PrepareRepair(PublishStep& aStep, PublishJob& aJob);

/** Remove the first job and all that is in flight for it. */
void
PopJob(PublishStep& aStep);

/** End the first job with an answer to its operator. */
void
EndJob(PublishStep& aStep, ResultCode aCode, boost::json::object aFields);

/** Send an answer to an operator. */
void
AnswerOperator(PublishStep& aStep,
               OperatorRequestId aId,
               ResultCode aCode,
               boost::json::object aFields);

/** Answer to a change that is in the history. */
void
AnswerAccepted(PublishStep& aStep,
               OperatorRequestId aId,
               const HistoryEntry& aEntry,
               const std::string& aDocument);

/** Answer a question with a pointer; null: the store did not answer. */
void
AnswerAsk(PublishStep& aStep,
          const OperatorRequest& aRequest,
          const Pointer* aStored);

/** Requests of operators. */
void
HandleOperator(PublishStep& aStep, const OperatorRequest& aRequest);

/** Replies to CallUse::Ask. */
void
OnAskReply(PublishStep& aStep, const PlatformReply& aReply);

/** Begin to remove what only generations before the kept ones used. */
void
StartSweep(PublishStep& aStep);

/** Replies to CallUse::Sweep. */
void
OnSweepReply(PublishStep& aStep, const PlatformReply& aReply);

} // namespace camphorfield
