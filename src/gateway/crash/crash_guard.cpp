// Protects servers from a request that crashes each server that runs it and is
// retried by its caller. Evidence against content is a server that crashed
// while it ran a request which then got no answer; an answer refutes it. The
// daemons join their evidence, since retries reach different ones.
#include "gateway/crash/crash_guard.h"
#include "gateway/crash/crash_internal.h"
#include "gateway/crash/server_silence.h"
#include "gateway/gateway_func.h"

#include "core/hash_func.h"

#include <algorithm>
#include <array>

namespace camphorfield {

namespace {

constexpr std::uint64_t kPathSeed = 1;
/** Crashes within this time may have one cause, such as a loss of power. */
constexpr Duration kMomentLength = milliseconds(500);

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

} // namespace

void
ReportSuspicion(GatewayStep& aStep,
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

bool
MayBeCause(const LostAttempt& aLost)
{
  // Sent to a server that had crashed already, or given up before.
  return aLost.sentUnixMicros_ <= aLost.crashedByUnixMicros_ &&
         aLost.aliveUnixMicros_ <= aLost.lostUnixMicros_;
}

// The run may go on to crash a second server, and others follow it meanwhile.
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
    ReportSuspicion(
      aStep, SuspicionEvent::Quarantined, aLost, "crashed servers");
  }
}

// Evidence of several crashes can't be divided: that from others under the same
// content goes, too.
void
DropEvidence(GatewayStep& aStep, const LostAttempt& aLost)
{
  ++aStep.state_.stats_.crashesRefuted_;
  ReportSuspicion(aStep, SuspicionEvent::Refuted, aLost, "it still runs");
  for (const std::uint64_t content : AllKeys(aLost.content_)) {
    const std::uint64_t key = EvidenceKey(aLost, content);
    const auto found = aStep.state_.suspects_.find(key);
    if (found != aStep.state_.suspects_.end() &&
        RefuteEvidence(found->second.evidence_)) {
      aStep.out_.emplace_back(SuspectFound{ key, found->second.evidence_ });
    }
  }
}

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

} // namespace camphorfield
