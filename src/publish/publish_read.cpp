// Reads and watches the pointer in the store. Few daemons watch and audits are
// spread, so that the load on the store doesn't grow with the fleet.
#include "core/hash_func.h"
#include "publish/publish_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

/** Head start of the peers before content is loaded from the store. */
constexpr Duration kPeerHeadStart = std::chrono::milliseconds(60);
/** Longest random delay of a repair. */
constexpr Duration kRepairSpread = std::chrono::seconds(2);

/** Whether peers announce a generation and may still supply its content. */
bool
PeersCanSupply(const PublishState& aState, Generation aGeneration)
{
  return HighestAnnounced(aState) >= aGeneration && !FetchIsExhausted(aState);
}

/** Load a newer pointer's content later, unless a peer sends it before. */
void
DeferLoad(PublishStep& aStep, const Pointer& aPointer)
{
  PublishState& state = aStep.state_;
  DeferredLoad& deferred = state.deferredLoad_;
  deferred.pointer_ = aPointer;
  if (deferred.at_ != kNever) {
    return;
  }
  // All watchers, and all daemons of a starting fleet, read a new pointer at
  // the same time. Peers get a random head start, so that few daemons load from
  // the store.
  const Duration wait =
    state.current_ == nullptr ? kStartPeerWait : kPeerHeadStart;
  deferred.at_ = aStep.now_.mono_;
  if (!FetchIsExhausted(state)) {
    deferred.at_ += wait / 2 + RandomDuration(aStep, wait / 2);
  }
}

/** Handle a stored entry that is older than or differs from that in force. */
void
OnPointerMismatch(PublishStep& aStep, const HistoryEntry& aEntry)
{
  RefuseGeneration(aStep,
                   aEntry.generation_,
                   "the store shows change '" + aEntry.changeId_ + "'");
  QueueRepair(aStep);
}

/**
 * Random time to the next audit. Its mean grows with the fleet, so that the
 * rate of all daemons together is constant.
 */
Duration
AuditDelay(PublishStep& aStep)
{
  const PublishState& state = aStep.state_;
  const std::size_t members =
    state.members_ == nullptr
      ? 1
      : std::max<std::size_t>(1, state.members_->size());
  const Duration mean =
    state.settings_.auditInterval_ * static_cast<Duration::rep>(members);
  return mean / 2 + RandomDuration(aStep, mean);
}

void
ScheduleRead(PublishStep& aStep, bool aFailed)
{
  PublishState& state = aStep.state_;
  PointerReader& reader = state.reader_;
  const bool urgent =
    (!state.confirmed_ && !reader.answered_) || FetchIsExhausted(state);
  reader.failures_ = aFailed || urgent ? reader.failures_ + 1 : 0;
  reader.nextAt_ = aFailed || urgent ? BackoffAt(aStep, reader.failures_)
                                     : aStep.now_.mono_ + AuditDelay(aStep);
  // A confirmed daemon need not retry while the store is down: the watchers do
  // so for the fleet.
  if (aFailed && state.confirmed_ && !FetchIsExhausted(state)) {
    reader.nextAt_ = aStep.now_.mono_ + AuditDelay(aStep);
  }
}

void
RunWatch(PublishStep& aStep)
{
  PublishState& state = aStep.state_;
  PointerWatch& watch = state.watch_;
  const bool due = watch.nextAt_ == kNever || watch.nextAt_ <= aStep.now_.mono_;
  if (!state.watcher_ || state.stopping_ || watch.inFlight_ || !due ||
      !state.reader_.answered_) {
    return;
  }
  watch.inFlight_ = true;
  watch.nextAt_ = kNever;
  PlatformCall call;
  call.op_ = PlatformOp::Watch;
  call.key_ = PointerKey(state);
  call.expectedVersion_ = state.pointerVersion_;
  call.timeout_ = state.settings_.watchTimeout_;
  StartCall(
    aStep, std::move(call), { CallPurpose::Watch, LoadPurpose::Adopt, 0 });
}

} // namespace

void
OnPointerRead(PublishStep& aStep, const PlatformObject& aObject)
{
  PublishState& state = aStep.state_;
  state.pointerVersion_ = aObject.version_;
  state.storeEmpty_ = false;
  const absl::StatusOr<Pointer> pointer = DecodePointer(aObject.value_);
  if (!pointer.ok()) {
    RefuseGeneration(aStep, {}, "the store's pointer can't be read");
    return;
  }
  const HistoryEntry& entry = NewestEntry(*pointer);
  const Generation current = CurrentGeneration(state);
  state.storeGeneration_ = entry.generation_;
  state.storeChangeId_ = entry.changeId_;
  if (entry.generation_ > current) {
    DeferLoad(aStep, *pointer);
    return;
  }
  const bool same =
    entry.generation_ == current &&
    entry.changeId_ == NewestEntry(state.content_->pointer_).changeId_;
  if (!same) {
    OnPointerMismatch(aStep, entry);
    return;
  }
  state.confirmed_ = true;
}

void
OnPointerAbsent(PublishStep& aStep)
{
  PublishState& state = aStep.state_;
  state.pointerVersion_ = 0;
  state.storeEmpty_ = true;
  if (state.current_ != nullptr) {
    OnPointerMismatch(aStep, {});
  }
}

void
RunDeferredLoad(PublishStep& aStep)
{
  PublishState& state = aStep.state_;
  DeferredLoad& deferred = state.deferredLoad_;
  if (deferred.at_ > aStep.now_.mono_) {
    return;
  }
  deferred.at_ = kNever;
  const HistoryEntry& entry = NewestEntry(deferred.pointer_);
  if (entry.generation_ <= CurrentGeneration(state)) {
    return;
  }
  // Check again later: the peers that announce it may fail to send it.
  if (PeersCanSupply(state, entry.generation_)) {
    deferred.at_ = aStep.now_.mono_ + kPeerHeadStart;
    return;
  }
  ContentLoad& load =
    state.loads_[static_cast<std::size_t>(LoadPurpose::Adopt)];
  const Generation loading = NewestEntry(load.content_.pointer_).generation_;
  if (!load.active_ || loading < entry.generation_) {
    StartLoad(aStep, LoadPurpose::Adopt, deferred.pointer_, entry);
  }
}

void
UpdateWatcherRole(PublishStep& aStep)
{
  PublishState& state = aStep.state_;
  if (state.members_ == nullptr) {
    return;
  }
  const std::string& domain = state.settings_.failureDomain_;
  const std::uint64_t seed = HashText(domain);
  const std::uint64_t own = HashPair(state.settings_.self_.value_, seed);
  std::uint32_t rankedAbove = 0;
  for (const MemberRecord& member : *state.members_) {
    const bool competes = member.failureDomain_ == domain &&
                          member.state_ == MemberState::Alive &&
                          member.id_ != state.settings_.self_;
    if (competes && HashPair(member.id_.value_, seed) > own) {
      rankedAbove++;
    }
  }
  state.watcher_ = rankedAbove < state.settings_.watchersPerDomain_;
}

void
RunReaders(PublishStep& aStep)
{
  PublishState& state = aStep.state_;
  PointerReader& reader = state.reader_;
  if (!reader.inFlight_ && reader.nextAt_ <= aStep.now_.mono_) {
    reader.inFlight_ = true;
    reader.nextAt_ = kNever;
    StartGet(
      aStep, PointerKey(state), { CallPurpose::Read, LoadPurpose::Adopt, 0 });
  }
  RunWatch(aStep);
}

void
OnPointerReply(PublishStep& aStep,
               const PlatformReply& aReply,
               CallPurpose aPurpose)
{
  PublishState& state = aStep.state_;
  const bool failed = aReply.status_ == PlatformStatus::Unreachable ||
                      aReply.status_ == PlatformStatus::Throttled;
  if (!failed) {
    state.reader_.answered_ = true;
  }
  const PlatformObject* object = ReplyObject(aReply);
  // A store that returns old and new versions in turn ends each watch at once:
  // pause as after a failure.
  const bool backwards =
    object != nullptr && object->version_ < state.pointerVersion_;
  if (object != nullptr) {
    OnPointerRead(aStep, *object);
  } else if (aReply.status_ == PlatformStatus::NotFound) {
    OnPointerAbsent(aStep);
  }
  if (aPurpose == CallPurpose::Read) {
    state.reader_.inFlight_ = false;
    ScheduleRead(aStep, failed);
    return;
  }
  state.watch_.inFlight_ = false;
  const bool pause = failed || backwards;
  state.watch_.failures_ = pause ? state.watch_.failures_ + 1 : 0;
  if (pause || aReply.status_ == PlatformStatus::NotFound) {
    state.watch_.nextAt_ = BackoffAt(aStep, state.watch_.failures_);
  }
}

void
QueueRepair(PublishStep& aStep)
{
  PublishState& state = aStep.state_;
  // All watchers see the store revert at the same time, but one repair is
  // enough: a random delay lets one of them come first.
  if (state.repairAt_ == kNever && !state.stopping_) {
    state.repairAt_ = aStep.now_.mono_ + RandomDuration(aStep, kRepairSpread);
  }
}

} // namespace camphorfield
