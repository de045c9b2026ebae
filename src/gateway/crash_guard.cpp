// Protects servers from a request that crashes each server that runs it and is
// retried by its caller. Content that was in flight on several servers when
// they crashed is quarantined; an answer to it clears the suspicion.
#include "gateway/gateway_func.h"
#include "gateway/gateway_internal.h"

#include "core/hash_func.h"
#include "table/suspicion_table.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace camphorfield {

namespace {

void
Report(GatewayStep& aStep,
       SuspicionEvent aEvent,
       const BrokenConnection& aBroken,
       std::string aReason)
{
  const Backend* backend = FindSlot(aStep.state_.backends_, aBroken.backend_);
  aStep.out_.emplace_back(
    SuspicionRecord{ aEvent,
                     backend == nullptr ? "gone" : backend->entry_.id_,
                     aBroken.requestId_,
                     aBroken.caller_,
                     aBroken.target_,
                     aBroken.fingerprint_,
                     std::move(aReason) });
}

} // namespace

std::uint64_t
MakeContentFingerprint(const ProxyRequest& aRequest)
{
  const ProxyMessage& message = *aRequest.message_;
  const std::uint64_t path =
    HashPair(HashText(message.host_), HashText(message.target_));
  return HashPair(
    path, HashPair(HashText(aRequest.caller_), HashText(message.body_)));
}

bool
IsQuarantined(const GatewayState& aState,
              std::uint64_t aFingerprint,
              TimePoint aNow)
{
  const auto found = aState.suspects_.find(aFingerprint);
  return found != aState.suspects_.end() && aNow < found->second.until_ &&
         found->second.crashes_ >= kCrashesToQuarantine;
}

void
RecordBrokenConnection(GatewayStep& aStep,
                       std::uint64_t aBackend,
                       const GatewayRun& aRun,
                       BackendEnd aEnd)
{
  std::vector<BrokenConnection>& broken = aStep.state_.broken_;
  std::erase_if(broken, [&aStep](const BrokenConnection& aOne) {
    return aOne.at_ + kCrashWindow < aStep.Time();
  });
  const ProxyMessage& message = *aRun.message_;
  broken.push_back({ aStep.Time(),
                     aBackend,
                     aRun.fingerprint_,
                     message.requestId_,
                     aRun.caller_,
                     message.host_ + message.target_ });
  Report(aStep,
         SuspicionEvent::Broke,
         broken.back(),
         kBackendEndNames[static_cast<std::size_t>(aEnd)]);
}

void
RecordRefusedConnect(GatewayStep& aStep, std::uint64_t aBackend)
{
  GatewayState& state = aStep.state_;
  std::vector<BrokenConnection> suspects;
  std::erase_if(state.broken_, [&](const BrokenConnection& aOne) {
    const bool here = aOne.backend_ == aBackend;
    if (here && aOne.at_ + kCrashWindow >= aStep.Time()) {
      suspects.push_back(aOne);
    }
    return here;
  });
  for (const BrokenConnection& one : suspects) {
    const std::uint64_t fingerprint = one.fingerprint_;
    const auto known = state.suspects_.find(fingerprint);
    const std::uint32_t before =
      known == state.suspects_.end() ? 0 : known->second.crashes_;
    GatewayAdoptSuspect(state, fingerprint, before + 1, aStep.now_);
    aStep.out_.emplace_back(SuspectFound{ fingerprint, before + 1 });
    ++state.stats_.crashesSuspected_;
    Report(aStep,
           SuspicionEvent::Crashed,
           one,
           absl::StrCat("connection refused; crash ", before + 1));
    if (before + 1 == kCrashesToQuarantine) {
      Report(aStep, SuspicionEvent::Quarantined, one, "crashed servers");
    }
  }
}

void
GatewayAdoptSuspect(GatewayState& aState,
                    std::uint64_t aFingerprint,
                    std::uint32_t aCrashes,
                    const Now& aNow)
{
  std::erase_if(aState.suspects_, [&aNow](const auto& aItem) {
    return aItem.second.until_ <= aNow.mono_;
  });
  if (aState.suspects_.size() >= kMaxSuspects) {
    return;
  }
  SuspectContent& suspect = aState.suspects_[aFingerprint];
  suspect.crashes_ = std::max(suspect.crashes_, aCrashes);
  suspect.until_ = aNow.mono_ + kSuspectTtl;
}

void
ClearSuspect(GatewayState& aState, std::uint64_t aFingerprint)
{
  if (!aState.suspects_.empty()) {
    aState.suspects_.erase(aFingerprint);
  }
  std::erase_if(aState.broken_, [aFingerprint](const BrokenConnection& aOne) {
    return aOne.fingerprint_ == aFingerprint;
  });
}

} // namespace camphorfield
