// Protects servers from a request that crashes each server that runs it and is
// retried by its caller. Evidence against content is a server that crashed
// while it ran a request which then got no answer; an answer refutes it. The
// daemons join their evidence, since retries reach different ones.
//
// A crashed process ends its connections; a crashed machine just answers
// nothing more, as a frozen one or one behind a broken link does. So an attempt
// that is lost to silence counts only once the server's entry has lapsed or
// another incarnation has its place, and no longer if the same one is back. The
// crash lies between the last answer and the time by which the server would
// have answered the lost attempt, however late it shows.
#include "gateway/crash/crash_guard.h"
#include "gateway/crash/server_silence.h"
#include "gateway/gateway_func.h"
#include "gateway/request/route_times.h"

#include "core/hash_func.h"

#include <algorithm>
#include <array>

namespace camphorfield {

namespace {

constexpr std::uint64_t kPathSeed = 1;
/** Crashes within this time may have one cause, such as a loss of power. */
constexpr Duration kMomentLength = milliseconds(500);

void
Report(GatewayStep& aStep,
       SuspicionEvent aEvent,
       const LostAttempt& aLost,
       std::string aReason)
{
  aStep.out_.emplace_back(SuspicionRecord{ aEvent,
                                           aLost.server_,
                                           aLost.requestId_,
                                           aLost.caller_,
                                           aLost.target_,
                                           aLost.content_.exact_,
                                           std::move(aReason) });
}

/** Bits of a key that content alone determines. */
constexpr std::uint64_t kContentBits = ~std::uint64_t{ 0xffffffff };

/** Key of evidence against content on one shard. A request that other shards
 * answer doesn't crash each server: without this, content that is in flight
 * while others crash servers here and there would soon seem to. */
std::uint64_t
PartKey(std::uint64_t aContent, std::uint64_t aService)
{
  return (aContent & kContentBits) | (aService & ~kContentBits);
}

/** Key of the evidence that a lost attempt is, under a key of its content. */
std::uint64_t
EvidenceKey(const LostAttempt& aLost, std::uint64_t aContent)
{
  return aLost.isPartial_ ? PartKey(aContent, aLost.service_) : aContent;
}

/** Whether a condition holds for some record of content or of its parts. */
template<typename Suspects, typename Function>
bool
AnyRecord(Suspects& aSuspects, std::uint64_t aKey, const Function& aFunction)
{
  for (auto at = aSuspects.lower_bound(aKey & kContentBits);
       at != aSuspects.end() &&
       (at->first & kContentBits) == (aKey & kContentBits);
       ++at) {
    if (aFunction(at->first, at->second)) {
      return true;
    }
  }
  return false;
}

std::array<std::uint64_t, 4>
AllKeys(const ContentKeys& aContent)
{
  return { aContent.exact_,
           aContent.shared_[0],
           aContent.shared_[1],
           aContent.shared_[2] };
}

/** Returns the record of a content; a full table drops the one with the least
 * evidence. */
SuspectContent&
FindOrAddSuspect(GatewayState& aState,
                 std::uint64_t aFingerprint,
                 TimePoint aNow)
{
  std::erase_if(aState.suspects_, [aNow](const auto& aItem) {
    return aItem.second.until_ <= aNow;
  });
  if (aState.suspects_.size() >= kMaxSuspects &&
      aState.suspects_.count(aFingerprint) == 0) {
    aState.suspects_.erase(std::min_element(
      aState.suspects_.begin(),
      aState.suspects_.end(),
      [](const auto& aLeft, const auto& aRight) {
        return std::pair(aLeft.second.evidence_.servers_.size(),
                         aLeft.second.until_) <
               std::pair(aRight.second.evidence_.servers_.size(),
                         aRight.second.until_);
      }));
  }
  return aState.suspects_[aFingerprint];
}

/** Other content may crash servers, too, from now on. */
void
NoteCrashWave(GatewayState& aState,
              const CrashEvidence& aEvidence,
              TimePoint aNow)
{
  const std::size_t servers = aEvidence.servers_.size();
  if (servers >= kServersOfWave ||
      (servers > 0 && aNow < aState.crashWaveUntil_)) {
    aState.crashWaveUntil_ = aNow + kCrashWaveTime;
  }
}

/** @param aUnixMicros Zero: unknown. */
std::uint64_t
ToMoment(std::int64_t aUnixMicros, bool aIsExact)
{
  const auto moment =
    static_cast<std::uint64_t>(aUnixMicros / kMomentLength.count());
  return aUnixMicros <= 0 ? 0 : aIsExact ? moment | kExactMoment : moment;
}

/** What a lost attempt adds to the evidence under a key. Crashes that happen
 * together have moments that differ by one at most. */
ServerCrash
CrashUnder(const LostAttempt& aLost, std::uint64_t aContent)
{
  const bool exact = aContent == aLost.content_.exact_;
  ServerCrash crash;
  crash.server_ = aLost.serverHash_;
  crash.request_ = HashText(aLost.requestId_);
  crash.aliveAt_ = ToMoment(aLost.aliveUnixMicros_, exact);
  crash.crashedBy_ = ToMoment(aLost.crashedByUnixMicros_, exact);
  if (crash.aliveAt_ != 0 && crash.crashedBy_ - crash.aliveAt_ <= 1) {
    crash.moment_ = crash.crashedBy_;
  }
  return crash;
}

bool
IsExpired(const LostAttempt& aLost, TimePoint aNow)
{
  const Duration window = aLost.loss_ == AttemptLoss::Broken
                            ? Duration(kCrashWindow)
                            : Duration(kSilentCrashWindow);
  return aLost.at_ + window < aNow;
}

/** Whether the crash of its server may be due to a lost attempt. */
bool
MayBeCause(const LostAttempt& aLost)
{
  // Sent to a server that had crashed already, or given up before.
  return aLost.sentUnixMicros_ <= aLost.crashedByUnixMicros_ &&
         aLost.aliveUnixMicros_ <= aLost.lostUnixMicros_;
}

/** Whether a crash under a run without any answer completes the evidence. The
 * run may go on to crash a second server, and others follow it meanwhile. */
bool
CompletesEvidence(GatewayState& aState, const LostAttempt& aLost)
{
  const GatewayRun* run = FindSlot(aState.runs_, aLost.run_);
  if (run == nullptr || run->done_ > 0) {
    return false;
  }
  const auto keys = AllKeys(aLost.content_);
  return std::any_of(
    keys.begin(), keys.end(), [&aState, &aLost](std::uint64_t aKey) {
      const auto found = aState.suspects_.find(aKey);
      if (found == aState.suspects_.end()) {
        return false;
      }
      CrashEvidence evidence = found->second.evidence_;
      AddCrash(evidence, CrashUnder(aLost, aKey));
      return IsConclusive(evidence);
    });
}

/** Whether a server went silent before other content was found that crashes
 * servers. That content explains the crash better; without this, much of what
 * is in flight while servers go dark one after the other would be quarantined.
 */
bool
IsExplained(const GatewayStep& aStep, const LostAttempt& aLost)
{
  return aLost.loss_ != AttemptLoss::Broken &&
         aLost.crashedByUnixMicros_ < aStep.state_.culpritUnixMicros_ &&
         !IsQuarantined(aStep.state_, aLost.content_, aStep.Time());
}

void
SetCrashed(const GatewayStep& aStep, LostAttempt& aLost)
{
  const CrashTimes times = CrashTimesOf(aStep, aLost);
  aLost.aliveUnixMicros_ = times.aliveUnixMicros_;
  aLost.crashedByUnixMicros_ = times.crashedByUnixMicros_;
  aLost.crashed_ = true;
}

void
AddEvidence(GatewayStep& aStep, const LostAttempt& aLost)
{
  if (!MayBeCause(aLost) || IsExplained(aStep, aLost)) {
    return;
  }
  bool quarantined = false;
  for (const std::uint64_t content : AllKeys(aLost.content_)) {
    const std::uint64_t key = EvidenceKey(aLost, content);
    SuspectContent& suspect = FindOrAddSuspect(aStep.state_, key, aStep.Time());
    const bool before = IsConclusive(suspect.evidence_);
    AddCrash(suspect.evidence_, CrashUnder(aLost, content));
    suspect.until_ = aStep.Time() + EvidenceTimeToLive(suspect.evidence_);
    aStep.out_.emplace_back(SuspectFound{ key, suspect.evidence_ });
    if (!aLost.isPartial_) {
      NoteCrashWave(aStep.state_, suspect.evidence_, aStep.Time());
    }
    quarantined = quarantined || (!before && IsConclusive(suspect.evidence_));
  }
  if (quarantined) {
    aStep.state_.culpritUnixMicros_ = aStep.now_.unixMicros_;
    Report(aStep, SuspicionEvent::Quarantined, aLost, "crashed servers");
  }
}

/** Drops the evidence from a crash that did not happen. Evidence of several
 * crashes can't be divided: that from others under the same content goes, too.
 */
void
DropEvidence(GatewayStep& aStep, const LostAttempt& aLost)
{
  ++aStep.state_.stats_.crashesRefuted_;
  Report(aStep, SuspicionEvent::Refuted, aLost, "it still runs");
  for (const std::uint64_t content : AllKeys(aLost.content_)) {
    const std::uint64_t key = EvidenceKey(aLost, content);
    const auto found = aStep.state_.suspects_.find(key);
    if (found != aStep.state_.suspects_.end() &&
        RefuteEvidence(found->second.evidence_)) {
      aStep.out_.emplace_back(SuspectFound{ key, found->second.evidence_ });
    }
  }
}

/** Drops the lost attempts that a condition selects, because their server has
 * not crashed under them. */
template<typename Function>
void
DropLostAttempts(GatewayStep& aStep, const Function& aIsRefuted)
{
  std::vector<LostAttempt> refuted;
  std::erase_if(aStep.state_.lost_, [&](const LostAttempt& aOne) {
    const bool drop = aIsRefuted(aOne);
    // A process whose connection broke may have started again.
    if (drop && aOne.crashed_ && aOne.loss_ != AttemptLoss::Broken) {
      refuted.push_back(aOne);
    }
    return drop;
  });
  for (const LostAttempt& one : refuted) {
    DropEvidence(aStep, one);
  }
}

/** Drops the oldest lost attempts while their time is over. */
void
DropExpired(GatewayStep& aStep)
{
  std::deque<LostAttempt>& all = aStep.state_.lost_;
  while (!all.empty() && IsExpired(all.front(), aStep.Time())) {
    const LostAttempt oldest = std::move(all.front());
    all.pop_front();
    if (oldest.isAssumed_) {
      DropEvidence(aStep, oldest);
    }
  }
}

/** Whether content has crashed as many servers as suffice, alone or in the same
 * shard, under too few requests or at too few moments. Not if it has ever been
 * answered, like most of what is in flight when servers lose power. */
bool
HasCrashedMany(const GatewayState& aState,
               const ContentKeys& aContent,
               std::uint64_t aService)
{
  const auto keys = AllKeys(aContent);
  return std::any_of(keys.begin(), keys.end(), [&](std::uint64_t aKey) {
    for (const std::uint64_t key : { aKey, PartKey(aKey, aService) }) {
      const auto found = aState.suspects_.find(key);
      if (found != aState.suspects_.end() &&
          found->second.evidence_.epoch_ == 0 &&
          found->second.evidence_.servers_.size() >= kServersToQuarantine) {
        return true;
      }
    }
    return false;
  });
}

/** When a server is known to have run last, as Unix time in microseconds; zero:
 * unknown.
 * @param aAttempt Attempt in flight to it. */
std::int64_t
LatestLifeSign(const GatewayStep& aStep,
               const Backend& aBackend,
               const Attempt& aAttempt)
{
  const GatewayState& state = aStep.state_;
  // The incarnation at the other end of a later connection may be another one.
  TimePoint at = aBackend.lifeSign_.openedAt_ < aAttempt.sentAt_
                   ? aBackend.lifeSign_.at_
                   : aAttempt.aliveAt_;
  if (aBackend.listed_ && state.settings_.entryLapse_.count() > 0) {
    at = std::max(at,
                  std::min(state.tablesAsOf_, aStep.Time()) -
                    state.settings_.entryLapse_);
  }
  return at <= TimePoint{}
           ? 0
           : aStep.now_.unixMicros_ - (aStep.Time() - at).count();
}

std::uint64_t
ServiceHash(const GatewayStep& aStep,
            const GatewayRun& aRun,
            const Attempt& aAttempt)
{
  const RequestPart& part = aRun.parts_[aAttempt.part_];
  return HashText(aStep.state_.services_[part.service_].name_);
}

/** Whether a server has answered other requests while an attempt to it waited;
 * not counted is the first half of the wait, in which the request may have been
 * queued. */
bool
AnswersOthers(const GatewayStep& aStep,
              const Backend& aBackend,
              const Attempt& aAttempt)
{
  const Duration waited = aStep.Time() - aAttempt.sentAt_;
  return aBackend.lifeSign_.openedAt_ < aAttempt.sentAt_ &&
         aBackend.lifeSign_.at_ > aAttempt.sentAt_ + waited / 2;
}

/** Time within which a server that runs answers most requests. */
Duration
UsualTime(const GatewayRun& aRun)
{
  return Duration(static_cast<std::int64_t>(
    kStallFactor *
    static_cast<double>(TypicalLatency(*aRun.load_, *aRun.route_).count())));
}

/** Sets what a lost attempt tells of the time of a crash. A connection that
 * ends soon after the send tells nothing more. */
void
SetCrashTimes(GatewayStep& aStep,
              const Backend& aBackend,
              const GatewayRun& aRun,
              const Attempt& aAttempt,
              LostAttempt& aLost)
{
  aLost.aliveUnixMicros_ = LatestLifeSign(aStep, aBackend, aAttempt);
  const Duration waited = aStep.Time() - aAttempt.sentAt_;
  const bool wasSilent =
    aLost.loss_ != AttemptLoss::Broken ||
    (waited >= kSilenceFloor && !AnswersOthers(aStep, aBackend, aAttempt));
  if (wasSilent) {
    aLost.crashedByUnixMicros_ =
      aLost.sentUnixMicros_ + UsualTime(aRun).count();
  }
}

} // namespace

std::uint64_t
HashIncarnation(const Backend& aBackend)
{
  const BackendEntry& entry = aBackend.entry_;
  return HashPair(
    HashText(entry.id_, static_cast<std::uint64_t>(entry.startedMillis_)),
    aBackend.restarts_);
}

Duration
EvidenceTimeToLive(const CrashEvidence& aEvidence)
{
  return IsExact(aEvidence) ? kSuspectTtl : kSharedSuspectTtl;
}

// The same content may come again with another query string, such as the number
// of a page, and from another address.
ContentKeys
MakeContentKeys(const ProxyRequest& aRequest)
{
  const ProxyMessage& message = *aRequest.message_;
  const std::uint64_t base =
    HashPair(HashText(message.host_), HashText(message.body_));
  const std::uint64_t caller = HashText(aRequest.caller_);
  const std::uint64_t target = HashText(message.target_);
  // Seeded: equal to the target where there is no query string.
  const std::uint64_t path = HashText(message.path_, kPathSeed);
  return { HashPair(HashPair(base, target), caller),
           { HashPair(HashPair(base, path), caller),
             HashPair(base, target),
             HashPair(base, path) } };
}

bool
IsQuarantined(const GatewayState& aState,
              const ContentKeys& aContent,
              TimePoint aNow)
{
  if (aState.suspects_.empty()) {
    return false;
  }
  const auto keys = AllKeys(aContent);
  return std::any_of(
    keys.begin(), keys.end(), [&aState, aNow](std::uint64_t aKey) {
      return AnyRecord(aState.suspects_,
                       aKey,
                       [aNow](std::uint64_t, const SuspectContent& aSuspect) {
                         return aNow < aSuspect.until_ &&
                                IsConclusive(aSuspect.evidence_);
                       });
    });
}

bool
IsSuspected(const GatewayState& aState, const ContentKeys& aContent)
{
  const auto keys = AllKeys(aContent);
  return std::any_of(keys.begin(), keys.end(), [&aState](std::uint64_t aKey) {
    return AnyRecord(aState.suspects_,
                     aKey,
                     [](std::uint64_t, const SuspectContent& aSuspect) {
                       return !aSuspect.evidence_.servers_.empty();
                     });
  });
}

bool
IsSuspectedOnAllShards(const GatewayState& aState, const ContentKeys& aContent)
{
  const auto keys = AllKeys(aContent);
  return std::any_of(keys.begin(), keys.end(), [&aState](std::uint64_t aKey) {
    const auto found = aState.suspects_.find(aKey);
    return found != aState.suspects_.end() &&
           !found->second.evidence_.servers_.empty();
  });
}

void
RecordLostAttempt(GatewayStep& aStep,
                  const GatewayRun& aRun,
                  const Attempt& aAttempt,
                  AttemptLoss aLoss,
                  const char* aReason)
{
  const Backend& backend = *FindSlot(aStep.state_.backends_, aAttempt.backend_);
  if (aLoss != AttemptLoss::Broken) {
    if (aAttempt.isLost_ || aStep.Time() - aAttempt.sentAt_ < UsualTime(aRun) ||
        AnswersOthers(aStep, backend, aAttempt)) {
      return;
    }
    ++aStep.state_.stats_.silentAttempts_;
  }
  std::deque<LostAttempt>& all = aStep.state_.lost_;
  DropExpired(aStep);
  if (all.size() >= kMaxLostAttempts) {
    all.pop_front();
  }
  const ProxyMessage& message = *aRun.message_;
  const BackendEntry& entry = backend.entry_;
  LostAttempt& one = all.emplace_back();
  one.at_ = aStep.Time();
  one.lostUnixMicros_ = aStep.now_.unixMicros_;
  one.sentUnixMicros_ =
    aStep.now_.unixMicros_ - (aStep.Time() - aAttempt.sentAt_).count();
  one.sentAt_ = aAttempt.sentAt_;
  one.loss_ = aLoss;
  one.backend_ = backend.key_;
  one.server_ = entry.id_;
  one.startedMillis_ = entry.startedMillis_;
  one.serverHash_ = backend.incarnation_;
  one.run_ = aRun.key_;
  one.part_ = aAttempt.part_;
  one.content_ = aRun.content_;
  one.service_ = ServiceHash(aStep, aRun, aAttempt);
  SetCrashTimes(aStep, backend, aRun, aAttempt, one);
  one.requestId_ = message.requestId_;
  one.caller_ = aRun.caller_;
  one.target_ = message.host_ + message.target_;
  if (aLoss == AttemptLoss::Broken) {
    Report(aStep, SuspicionEvent::Broke, one, aReason);
  }
  // Its entry went first: nobody connects to it again.
  if (!backend.listed_ && !entry.draining_ && !backend.leaving_) {
    RecordCrash(aStep, backend.key_, CrashSign::Gone, "no longer listed");
  }
}

// The server's fate shows seconds later, when the content has come again many
// times.
void
AssumeCrashes(GatewayStep& aStep)
{
  GatewayState& state = aStep.state_;
  if (state.suspects_.empty()) {
    return;
  }
  DropExpired(aStep);
  const TimePoint silentSince = aStep.Time() - kSuspectSilence;
  for (Attempt& attempt : state.attempts_.slots_) {
    const GatewayRun* run =
      attempt.key_ == 0 ? nullptr : FindSlot(state.runs_, attempt.run_);
    if (run != nullptr && !attempt.isLost_ && attempt.sentAt_ <= silentSince &&
        HasCrashedMany(
          state, run->content_, ServiceHash(aStep, *run, attempt))) {
      RecordLostAttempt(aStep, *run, attempt, AttemptLoss::Silent);
      attempt.isLost_ = true;
    }
  }
  for (LostAttempt& lost : state.lost_) {
    if (lost.crashed_ || lost.loss_ == AttemptLoss::Broken ||
        lost.sentAt_ > silentSince ||
        !HasCrashedMany(state, lost.content_, lost.service_)) {
      continue;
    }
    SetCrashed(aStep, lost);
    lost.isAssumed_ = true;
    Report(aStep, SuspicionEvent::Crashed, lost, "silent");
    if (lost.run_ == 0 || CompletesEvidence(state, lost)) {
      AddEvidence(aStep, lost);
    }
  }
}

void
RecordCrash(GatewayStep& aStep,
            std::uint64_t aBackend,
            CrashSign aSign,
            const std::string& aReason)
{
  if (Backend* backend = FindSlot(aStep.state_.backends_, aBackend)) {
    backend->crashed_ = true;
  }
  for (LostAttempt& lost : aStep.state_.lost_) {
    const bool shows =
      aSign == CrashSign::Gone || lost.loss_ == AttemptLoss::Broken;
    if (lost.backend_ != aBackend || !shows || IsExpired(lost, aStep.Time())) {
      continue;
    }
    lost.isAssumed_ = false;
    if (lost.crashed_) {
      continue;
    }
    SetCrashed(aStep, lost);
    ++aStep.state_.stats_.crashesSuspected_;
    Report(aStep, SuspicionEvent::Crashed, lost, aReason);
    if (lost.run_ == 0 || CompletesEvidence(aStep.state_, lost)) {
      AddEvidence(aStep, lost);
    }
  }
}

void
RecordLifeSign(GatewayStep& aStep,
               Backend& aBackend,
               TimePoint aOpenedAt,
               TimePoint aSentAt)
{
  aBackend.lifeSign_ = { aStep.Time(), aOpenedAt };
  if (aStep.state_.lost_.empty()) {
    return;
  }
  const std::uint64_t key = aBackend.key_;
  DropLostAttempts(aStep, [=, &aStep](const LostAttempt& aOne) {
    if (aOne.backend_ != key) {
      return false;
    }
    if (aOne.loss_ == AttemptLoss::Broken) {
      return aOpenedAt < aOne.at_ && aOne.at_ < aSentAt;
    }
    // The same connection as before: its server has not started again.
    return aOpenedAt < aOne.sentAt_ &&
           (aOne.at_ < aSentAt || aOne.sentAt_ + kSilenceFloor < aStep.Time());
  });
}

void
RecordLateAnswer(GatewayStep& aStep,
                 Backend& aBackend,
                 const std::string& aRequestId)
{
  // The connection was opened before any attempt that is in flight now.
  aBackend.lifeSign_ = { aStep.Time(), TimePoint{} };
  const std::uint64_t key = aBackend.key_;
  DropLostAttempts(aStep, [key, &aRequestId](const LostAttempt& aOne) {
    return aOne.backend_ == key && aOne.requestId_ == aRequestId;
  });
}

void
RefuteCrash(GatewayStep& aStep, const BackendEntry& aEntry)
{
  DropLostAttempts(aStep, [&aEntry](const LostAttempt& aOne) {
    return aOne.crashed_ && aOne.loss_ != AttemptLoss::Broken &&
           aOne.server_ == aEntry.id_ &&
           aOne.startedMillis_ == aEntry.startedMillis_;
  });
}

bool
GatewayAdoptSuspect(GatewayState& aState,
                    std::uint64_t aFingerprint,
                    const CrashEvidence& aEvidence,
                    const Now& aNow,
                    Duration aLeft)
{
  if (IsSilenceReport(aEvidence)) {
    AdoptSilenceReport(aState, aEvidence, aNow);
    return false;
  }
  SuspectContent& suspect = FindOrAddSuspect(aState, aFingerprint, aNow.mono_);
  const bool before = IsConclusive(suspect.evidence_);
  if (JoinEvidence(suspect.evidence_, aEvidence)) {
    NoteCrashWave(aState, suspect.evidence_, aNow.mono_);
  }
  const Duration left = std::min(aLeft, EvidenceTimeToLive(suspect.evidence_));
  suspect.until_ = std::max(suspect.until_, aNow.mono_ + left);
  const bool quarantined = !before && IsConclusive(suspect.evidence_);
  if (quarantined) {
    aState.culpritUnixMicros_ = aNow.unixMicros_;
  }
  return quarantined;
}

void
RefuteSuspicion(GatewayStep& aStep, const GatewayRun& aRun)
{
  GatewayState& state = aStep.state_;
  std::erase_if(state.lost_, [&aRun](const LostAttempt& aOne) {
    return aOne.content_ == aRun.content_;
  });
  for (const std::uint64_t key : AllKeys(aRun.content_)) {
    AnyRecord(
      state.suspects_,
      key,
      [&aStep](std::uint64_t aKey, SuspectContent& aSuspect) {
        if (RefuteEvidence(aSuspect.evidence_)) {
          aStep.out_.emplace_back(SuspectFound{ aKey, aSuspect.evidence_ });
        }
        return false;
      });
  }
}

void
SettleSuspicion(GatewayStep& aStep, const GatewayRun& aRun)
{
  std::deque<LostAttempt>& all = aStep.state_.lost_;
  std::erase_if(all, [&aRun](const LostAttempt& aOne) {
    return aOne.run_ == aRun.key_ &&
           aRun.parts_[aOne.part_].phase_ == PartPhase::Done;
  });
  for (LostAttempt& lost : all) {
    if (lost.run_ != aRun.key_) {
      continue;
    }
    lost.run_ = 0;
    lost.isPartial_ = aRun.done_ > 0;
    if (lost.crashed_) {
      AddEvidence(aStep, lost);
    }
  }
}

} // namespace camphorfield
