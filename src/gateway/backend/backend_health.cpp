// Tracks server health by the outcomes of requests alone, because servers
// crash, fail part of their requests or get slow while their health check stays
// good.
#include "gateway/backend/backend_internal.h"
#include "gateway/backend/cost_placement.h"
#include "gateway/crash/crash_guard.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace camphorfield {

namespace {

double
DecayedFailures(const Backend& aBackend, TimePoint aNow)
{
  const auto age = static_cast<double>((aNow - aBackend.failuresAt_).count());
  return aBackend.failures_ *
         std::exp2(-age / static_cast<double>(kFailureHalfLife.count()));
}

void
AddOutcome(Backend& aBackend, double aFailed, TimePoint aNow)
{
  const double before = DecayedFailures(aBackend, aNow);
  aBackend.failures_ = before + kFailureGain * (aFailed - before);
  aBackend.failuresAt_ = aNow;
}

void
AddLatencyRatioSample(Backend& aBackend, double aSample, TimePoint aNow)
{
  const auto age =
    static_cast<double>((aNow - aBackend.latencyRatioAt_).count());
  const double faded =
    1.0 +
    (aBackend.latencyRatio_ - 1.0) *
      std::exp2(-age / static_cast<double>(kLatencyRatioHalfLife.count()));
  const double sample =
    std::clamp(aSample, kLatencyRatioFloor, kLatencyRatioCeiling);
  aBackend.latencyRatio_ = faded + kLatencyGain * (sample - faded);
  aBackend.latencyRatioAt_ = aNow;
}

double
Ratio(Duration aTime, Duration aExpected)
{
  return static_cast<double>(aTime.count()) /
         static_cast<double>(std::max<std::int64_t>(aExpected.count(), 1));
}

void
Eject(GatewayStep& aStep, Backend& aBackend, const std::string& aReason)
{
  aBackend.ejection_ = std::clamp<Duration>(
    aBackend.ejection_ * 2, kEjectionFloor, kEjectionCeiling);
  aBackend.ejectedUntil_ = aStep.Time() + aBackend.ejection_;
  ++aStep.state_.stats_.ejections_;
  aStep.out_.emplace_back(BackendRecord{
    aBackend.entry_.id_, aBackend.entry_.service_, "ejected", aReason });
}

// An answer without a proof may come from anywhere, and says nothing.
void
TakeRequestLimit(GatewayStep& aStep,
                 Backend& aBackend,
                 const BackendAnswer& aAnswer)
{
  const bool known = aBackend.rateLimit_.perSecond_.has_value();
  const bool named = aAnswer.requestLimit_.has_value();
  const bool saysNone =
    (!aAnswer.proof_.empty() || aAnswer.notRun_) && !aAnswer.malformedGuidance_;
  if (!named && !(known && saysNone)) {
    return;
  }
  if (named != known) {
    aStep.state_.stats_.limits_ += named ? 1 : 0;
    aStep.out_.emplace_back(BackendRecord{
      aBackend.entry_.id_,
      aBackend.entry_.service_,
      named ? "limited" : "unlimited",
      named ? absl::StrCat("takes ", *aAnswer.requestLimit_, " requests/s")
            : "names no limit any more" });
  }
  UpdateRateLimit(aBackend.rateLimit_,
                  aAnswer.requestLimit_,
                  aStep.state_.limitShare_,
                  aStep.Time(),
                  aStep.rng_);
}

void
TakeLeaving(GatewayStep& aStep, Backend& aBackend)
{
  GatewayState& state = aStep.state_;
  std::erase_if(state.leavingSince_, [&aStep](const auto& aItem) {
    return aItem.second + kLeavingTtl < aStep.Time();
  });
  state.leavingSince_[{ aBackend.entry_.id_, aBackend.entry_.startedMillis_ }] =
    aStep.Time();
  aBackend.leaving_ = true;
  ++state.stats_.leavings_;
  aStep.out_.emplace_back(BackendRecord{ aBackend.entry_.id_,
                                         aBackend.entry_.service_,
                                         "draining",
                                         "said in an answer" });
  CloseIdle(aStep, aBackend);
}

// Daemons that were told together return one after the other.
void
TakePause(GatewayStep& aStep, Backend& aBackend, Duration aPause)
{
  const auto jitter = static_cast<std::uint64_t>(
    static_cast<double>(aPause.count()) * kPauseJitterShare);
  if (aStep.Time() >= aBackend.pausedUntil_) {
    aStep.out_.emplace_back(
      BackendRecord{ aBackend.entry_.id_,
                     aBackend.entry_.service_,
                     "paused",
                     absl::StrCat("for ", aPause.count() / 1000, " ms") });
  }
  ++aStep.state_.stats_.pauses_;
  aBackend.pausedUntil_ =
    aStep.Time() + aPause + Duration(aStep.rng_() % (jitter + 1));
}

void
CountMalformed(GatewayStep& aStep, const Backend& aBackend)
{
  GatewayState& state = aStep.state_;
  ++state.stats_.malformedGuidance_;
  if (aStep.Time() < state.malformedGuidanceLogAt_) {
    return;
  }
  state.malformedGuidanceLogAt_ = aStep.Time() + kMalformedGuidanceLogInterval;
  aStep.out_.emplace_back(
    BackendRecord{ aBackend.entry_.id_,
                   aBackend.entry_.service_,
                   "malformed",
                   "what it says of itself can't be read" });
}

/** The listed incarnation with the same id and start: the entry may have come
 * back while a connection from before was in use. */
Backend&
FindListed(GatewayState& aState, Backend& aBackend)
{
  const auto found = aState.backendOf_.find(
    { aBackend.entry_.id_, aBackend.entry_.startedMillis_ });
  Backend* listed = found == aState.backendOf_.end()
                      ? nullptr
                      : FindSlot(aState.backends_, found->second);
  return listed == nullptr ? aBackend : *listed;
}

void
ApplyGuidance(GatewayStep& aStep,
              Backend& aBackend,
              const BackendAnswer& aAnswer)
{
  if (aAnswer.malformedGuidance_) {
    CountMalformed(aStep, aBackend);
  }
  TakeRequestLimit(aStep, aBackend, aAnswer);
  if (aAnswer.leaving_ && !aBackend.leaving_) {
    TakeLeaving(aStep, aBackend);
  }
  if (aAnswer.retryAfter_.count() > 0) {
    TakePause(aStep, aBackend, aAnswer.retryAfter_);
  }
}

} // namespace

void
KeepGuidance(GatewayStep& aStep, const Backend& aBackend)
{
  auto& kept = aStep.state_.keptGuidance_;
  std::erase_if(kept, [&aStep](const auto& aItem) {
    return aItem.second.keptUntil_ <= aStep.Time();
  });
  if (aStep.Time() < aBackend.pausedUntil_ ||
      aBackend.rateLimit_.perSecond_.has_value()) {
    kept[{ aBackend.entry_.id_, aBackend.entry_.startedMillis_ }] = {
      aBackend.pausedUntil_,
      aBackend.rateLimit_,
      std::max(aStep.Time() + kGuidanceTtl, aBackend.pausedUntil_)
    };
  }
}

void
RestoreGuidance(GatewayStep& aStep, Backend& aBackend)
{
  auto& kept = aStep.state_.keptGuidance_;
  const auto found =
    kept.find({ aBackend.entry_.id_, aBackend.entry_.startedMillis_ });
  if (found != kept.end()) {
    aBackend.pausedUntil_ = found->second.pausedUntil_;
    aBackend.rateLimit_ = found->second.rateLimit_;
    kept.erase(found);
  }
}

void
RecordGuidance(GatewayStep& aStep,
               Backend& aBackend,
               const BackendAnswer& aAnswer)
{
  if (aAnswer.status_ == kStatusMisdirected) {
    return; // Another server has the address and speaks of itself.
  }
  Backend& listed = FindListed(aStep.state_, aBackend);
  ApplyGuidance(aStep, listed, aAnswer);
  if (!listed.listed_) {
    KeepGuidance(aStep, listed);
  }
}

void
RecordSuccess(GatewayStep& aStep,
              Backend& aBackend,
              const Attempt& aAttempt,
              const BackendAnswer& aAnswer)
{
  const TimePoint now = aStep.Time();
  AddOutcome(aBackend, 0.0, now);
  aBackend.failedInRow_ = 0;
  if (aBackend.ejection_.count() > 0) {
    aBackend.ejection_ = Duration::zero();
    aBackend.ejectedUntil_ = now;
    aStep.out_.emplace_back(BackendRecord{
      aBackend.entry_.id_, aBackend.entry_.service_, "restored", "answered" });
  }
  AddLatencyRatioSample(
    aBackend, Ratio(now - aAttempt.sentAt_, aAttempt.expected_), now);
  aBackend.limit_ =
    std::min(aBackend.limit_ + 1.0 / aBackend.limit_, kLimitCeiling);
  if (aAttempt.cost_ != nullptr) {
    LearnFromAnswer(aStep, aBackend, aAttempt, aAnswer);
  }
  if (aAnswer.load_.known_) {
    aBackend.load_ = aAnswer.load_;
    aBackend.loadAt_ = now;
  }
}

// Only a time above the known latency ratio is a sample, because the answer may
// still arrive at any moment.
void
RecordPendingTime(GatewayStep& aStep,
                  Backend& aBackend,
                  const Attempt& aAttempt)
{
  const double ratio =
    Ratio(aStep.Time() - aAttempt.sentAt_, aAttempt.expected_);
  if (ratio > aBackend.latencyRatio_) {
    AddLatencyRatioSample(aBackend, ratio, aStep.Time());
  }
}

void
RecordFailure(GatewayStep& aStep, Backend& aBackend, const std::string& aReason)
{
  AddOutcome(aBackend, 1.0, aStep.Time());
  if (++aBackend.failedInRow_ >= kFailuresToEject &&
      aStep.Time() >= aBackend.ejectedUntil_) {
    Eject(aStep, aBackend, aReason);
  }
}

void
RecordShed(GatewayStep& aStep, Backend& aBackend)
{
  ++aStep.state_.stats_.shed_;
  AddOutcome(aBackend, 1.0, aStep.Time());
  if (aStep.Time() >= aBackend.limitCutAt_ + kLimitPause) {
    aBackend.limitCutAt_ = aStep.Time();
    aBackend.limit_ = std::max(aBackend.limit_ * kLimitDecrease, kLimitFloor);
  }
}

void
EjectMisdirected(GatewayStep& aStep, Backend& aBackend)
{
  RecordCrash(
    aStep, aBackend.key_, CrashSign::Gone, "another server has its address");
  aBackend.ejection_ = kEjectionCeiling;
  Eject(aStep, aBackend, "another server has its address");
}

} // namespace camphorfield
