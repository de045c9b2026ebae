// Remembers attempts without an answer until it is known whether their servers
// have crashed.
//
// A crashed process ends its connections; a crashed machine just answers
// nothing more, as a frozen one or one behind a broken link does. So an attempt
// that is lost to silence counts only once the server's entry has lapsed or
// another incarnation has its place, and no longer if the same one is back. The
// crash lies between the last answer and the time by which the server would
// have answered the lost attempt, however late it shows.
#include "gateway/crash/crash_guard.h"
#include "gateway/crash/crash_internal.h"
#include "gateway/crash/server_silence.h"
#include "gateway/request/route_times.h"

#include "core/hash_func.h"

#include <algorithm>

namespace camphorfield {

namespace {

bool
IsExpired(const LostAttempt& aLost, TimePoint aNow)
{
  const Duration window = aLost.loss_ == AttemptLoss::Broken
                            ? Duration(kCrashWindow)
                            : Duration(kSilentCrashWindow);
  return aLost.at_ + window < aNow;
}

/** Whether the server has answered on a newer connection so long ago that it
 * can't have been another incarnation, whose entry would be known. */
bool
AnsweredBefore(const LostAttempt& aLost, std::int64_t aNowUnixMicros)
{
  return aLost.answeredUnixMicros_ != 0 &&
         aNowUnixMicros - aLost.answeredUnixMicros_ >
           Duration(kRestartNotice).count();
}

void
SetCrashed(const GatewayStep& aStep, LostAttempt& aLost)
{
  const CrashTimes times = CrashTimesOf(aStep, aLost);
  aLost.aliveUnixMicros_ = times.aliveUnixMicros_;
  aLost.crashedByUnixMicros_ = times.crashedByUnixMicros_;
  if (AnsweredBefore(aLost, aStep.now_.unixMicros_)) {
    aLost.aliveUnixMicros_ =
      std::max(aLost.aliveUnixMicros_, aLost.answeredUnixMicros_);
  }
  aLost.crashed_ = true;
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
    ReportSuspicion(aStep, SuspicionEvent::Broke, one, aReason);
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
    if (!MayBeCause(lost)) {
      continue;
    }
    ReportSuspicion(aStep, SuspicionEvent::Crashed, lost, "silent");
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
    if (!MayBeCause(lost)) {
      continue;
    }
    ++aStep.state_.stats_.crashesSuspected_;
    ReportSuspicion(aStep, SuspicionEvent::Crashed, lost, aReason);
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
  for (LostAttempt& lost : aStep.state_.lost_) {
    if (lost.backend_ == key && lost.at_ < aSentAt &&
        lost.answeredUnixMicros_ == 0) {
      lost.answeredUnixMicros_ = aStep.now_.unixMicros_;
    }
  }
  DropLostAttempts(aStep, [=, &aStep](const LostAttempt& aOne) {
    if (aOne.backend_ != key) {
      return false;
    }
    if (aOne.loss_ == AttemptLoss::Broken) {
      return aOpenedAt < aOne.at_ && aOne.at_ < aSentAt;
    }
    if (!aOne.crashed_ && AnsweredBefore(aOne, aStep.now_.unixMicros_)) {
      return true;
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
