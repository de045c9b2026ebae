// Protects servers from a request that crashes each server that runs it and is
// retried by its caller. Evidence against content is a server that crashed
// while it ran a request which then got no answer; an answer refutes it. The
// daemons join their evidence, since retries reach different ones.
#include "gateway/crash/crash_guard.h"
#include "gateway/gateway_func.h"

#include "core/hash_func.h"
#include "table/suspicion_table.h"

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
       const BrokenConnection& aBroken,
       std::string aReason)
{
  aStep.out_.emplace_back(SuspicionRecord{ aEvent,
                                           aBroken.server_,
                                           aBroken.requestId_,
                                           aBroken.caller_,
                                           aBroken.target_,
                                           aBroken.content_.exact_,
                                           std::move(aReason) });
}

std::uint64_t
HashIncarnation(const Backend& aBackend)
{
  const BackendEntry& entry = aBackend.entry_;
  return HashPair(
    HashText(entry.id_, static_cast<std::uint64_t>(entry.startedMillis_)),
    aBackend.restarts_);
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

/** What a broken connection adds to the evidence under a key. */
ServerCrash
CrashUnder(const BrokenConnection& aBroken, std::uint64_t aContent)
{
  const bool exact = aContent == aBroken.content_.exact_;
  return { aBroken.serverHash_,
           HashText(aBroken.requestId_),
           exact ? aBroken.moment_ | kExactMoment : aBroken.moment_ };
}

/** Whether a crash under a run without any answer completes the evidence. The
 * run may go on to crash a second server, and others follow it meanwhile. */
bool
CompletesEvidence(GatewayState& aState, const BrokenConnection& aBroken)
{
  const GatewayRun* run = FindSlot(aState.runs_, aBroken.run_);
  if (run == nullptr || run->done_ > 0) {
    return false;
  }
  const auto keys = AllKeys(aBroken.content_);
  return std::any_of(
    keys.begin(), keys.end(), [&aState, &aBroken](std::uint64_t aKey) {
      const auto found = aState.suspects_.find(aKey);
      if (found == aState.suspects_.end()) {
        return false;
      }
      CrashEvidence evidence = found->second.evidence_;
      AddCrash(evidence, CrashUnder(aBroken, aKey));
      return IsConclusive(evidence);
    });
}

void
AddEvidence(GatewayStep& aStep, const BrokenConnection& aBroken)
{
  bool quarantined = false;
  for (const std::uint64_t content : AllKeys(aBroken.content_)) {
    const std::uint64_t key =
      aBroken.isPartial_ ? PartKey(content, aBroken.service_) : content;
    SuspectContent& suspect = FindOrAddSuspect(aStep.state_, key, aStep.Time());
    const bool before = IsConclusive(suspect.evidence_);
    AddCrash(suspect.evidence_, CrashUnder(aBroken, content));
    suspect.until_ = aStep.Time() + EvidenceTimeToLive(suspect.evidence_);
    aStep.out_.emplace_back(SuspectFound{ key, suspect.evidence_ });
    if (!aBroken.isPartial_) {
      NoteCrashWave(aStep.state_, suspect.evidence_, aStep.Time());
    }
    quarantined = quarantined || (!before && IsConclusive(suspect.evidence_));
  }
  if (quarantined) {
    Report(aStep, SuspicionEvent::Quarantined, aBroken, "crashed servers");
  }
}

} // namespace

Duration
EvidenceTimeToLive(const CrashEvidence& aEvidence)
{
  const bool exact = aEvidence.moments_.empty() ||
                     (aEvidence.moments_.front() & kExactMoment) != 0;
  return exact ? kSuspectTtl : kSharedSuspectTtl;
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
RecordBrokenConnection(GatewayStep& aStep,
                       const Backend& aBackend,
                       const GatewayRun& aRun,
                       std::uint32_t aPart,
                       BackendEnd aEnd)
{
  std::deque<BrokenConnection>& broken = aStep.state_.broken_;
  while (!broken.empty() &&
         (broken.size() >= kMaxBroken ||
          broken.front().at_ + kCrashWindow < aStep.Time())) {
    broken.pop_front();
  }
  const ProxyMessage& message = *aRun.message_;
  const BackendEntry& entry = aBackend.entry_;
  BrokenConnection& one = broken.emplace_back();
  one.at_ = aStep.Time();
  one.backend_ = aBackend.key_;
  one.server_ = entry.id_;
  one.serverHash_ = HashIncarnation(aBackend);
  one.run_ = aRun.key_;
  one.part_ = aPart;
  one.content_ = aRun.content_;
  one.service_ =
    HashText(aStep.state_.services_[aRun.parts_[aPart].service_].name_);
  one.moment_ =
    static_cast<std::uint64_t>(aStep.now_.unixMicros_ / kMomentLength.count());
  one.requestId_ = message.requestId_;
  one.caller_ = aRun.caller_;
  one.target_ = message.host_ + message.target_;
  Report(aStep,
         SuspicionEvent::Broke,
         one,
         kBackendEndNames[static_cast<std::size_t>(aEnd)]);
  // Its entry went first: nobody connects to it again.
  if (!aBackend.listed_ && !entry.draining_ && !aBackend.leaving_) {
    RecordCrash(aStep, aBackend.key_, "no longer listed");
  }
}

void
RecordCrash(GatewayStep& aStep,
            std::uint64_t aBackend,
            const std::string& aReason)
{
  if (Backend* backend = FindSlot(aStep.state_.backends_, aBackend)) {
    backend->crashed_ = true;
  }
  for (BrokenConnection& broken : aStep.state_.broken_) {
    if (broken.backend_ != aBackend || broken.crashed_ ||
        broken.at_ + kCrashWindow < aStep.Time()) {
      continue;
    }
    broken.crashed_ = true;
    ++aStep.state_.stats_.crashesSuspected_;
    Report(aStep, SuspicionEvent::Crashed, broken, aReason);
    if (broken.run_ == 0 || CompletesEvidence(aStep.state_, broken)) {
      AddEvidence(aStep, broken);
    }
  }
}

void
RefuteCrash(GatewayState& aState,
            std::uint64_t aBackend,
            TimePoint aOpenedAt,
            TimePoint aSentAt)
{
  std::erase_if(aState.broken_, [=](const BrokenConnection& aOne) {
    return aOne.backend_ == aBackend && aOpenedAt < aOne.at_ &&
           aOne.at_ < aSentAt;
  });
}

bool
GatewayAdoptSuspect(GatewayState& aState,
                    std::uint64_t aFingerprint,
                    const CrashEvidence& aEvidence,
                    const Now& aNow,
                    Duration aLeft)
{
  SuspectContent& suspect = FindOrAddSuspect(aState, aFingerprint, aNow.mono_);
  const bool before = IsConclusive(suspect.evidence_);
  if (JoinEvidence(suspect.evidence_, aEvidence)) {
    NoteCrashWave(aState, suspect.evidence_, aNow.mono_);
  }
  const Duration left = std::min(aLeft, EvidenceTimeToLive(suspect.evidence_));
  suspect.until_ = std::max(suspect.until_, aNow.mono_ + left);
  return !before && IsConclusive(suspect.evidence_);
}

void
RefuteSuspicion(GatewayStep& aStep, const GatewayRun& aRun)
{
  GatewayState& state = aStep.state_;
  std::erase_if(state.broken_, [&aRun](const BrokenConnection& aOne) {
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
  std::deque<BrokenConnection>& all = aStep.state_.broken_;
  std::erase_if(all, [&aRun](const BrokenConnection& aOne) {
    return aOne.run_ == aRun.key_ &&
           aRun.parts_[aOne.part_].phase_ == PartPhase::Done;
  });
  for (BrokenConnection& broken : all) {
    if (broken.run_ != aRun.key_) {
      continue;
    }
    broken.run_ = 0;
    broken.isPartial_ = aRun.done_ > 0;
    if (broken.crashed_) {
      AddEvidence(aStep, broken);
    }
  }
}

} // namespace camphorfield
