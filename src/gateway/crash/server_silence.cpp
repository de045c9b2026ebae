// Finds the time at which a silent server crashed. One daemon alone sends a
// server few requests: it may have seen it alive long ago, and can't tell a
// request that crashed the server from one that it sent there later. So daemons
// report to each other since when a server is silent, and those that have seen
// it alive later reply.
//
// A report is crash evidence without a request, and spreads like other
// evidence. Its times are in microseconds, to be compared with those of
// requests.
#include "gateway/crash/server_silence.h"
#include "gateway/gateway_func.h"

#include "core/hash_func.h"

#include <algorithm>
#include <iterator>

namespace camphorfield {

namespace {

/** Counts a report; false if this daemon has sent enough of them. */
bool
TakeReport(GatewayState& aState, TimePoint aNow)
{
  if (aNow >= aState.silenceReportsFrom_ + seconds(1)) {
    aState.silenceReportsFrom_ = aNow;
    aState.silenceReports_ = 0;
  }
  if (aState.silenceReports_ >= kMaxSilenceReports) {
    return false;
  }
  ++aState.silenceReports_;
  ++aState.stats_.silencesReported_;
  return true;
}

void
AddReport(GatewayState& aState,
          std::uint64_t aIncarnation,
          const SilenceReport& aReport,
          TimePoint aNow)
{
  for (auto at = aState.silences_.begin(); at != aState.silences_.end();) {
    std::erase_if(at->second, [aNow](const SilenceReport& aOne) {
      return aOne.until_ <= aNow;
    });
    at = at->second.empty() ? aState.silences_.erase(at) : std::next(at);
  }
  if (aState.silences_.size() >= kMaxSilentServers &&
      aState.silences_.count(aIncarnation) == 0) {
    return;
  }
  std::vector<SilenceReport>& reports = aState.silences_[aIncarnation];
  if (reports.size() >= kMaxReportsOfServer) {
    reports.erase(reports.begin());
  }
  reports.push_back(aReport);
}

// Each report has a fingerprint of its own, because reports on different
// silences of one server must not be joined.
SuspectFound
EncodeReport(std::uint64_t aIncarnation, const SilenceReport& aReport)
{
  SuspectFound found;
  CrashEvidence& evidence = found.evidence_;
  evidence.servers_ = { aIncarnation };
  evidence.lastAliveAt_ = static_cast<std::uint64_t>(aReport.aliveUnixMicros_);
  evidence.firstCrashedBy_ =
    static_cast<std::uint64_t>(aReport.crashedByUnixMicros_);
  found.fingerprint_ = HashPair(
    aIncarnation, HashPair(evidence.lastAliveAt_, evidence.firstCrashedBy_));
  return found;
}

SilenceReport
DecodeReport(const CrashEvidence& aEvidence, TimePoint aNow)
{
  return { static_cast<std::int64_t>(aEvidence.lastAliveAt_),
           static_cast<std::int64_t>(aEvidence.firstCrashedBy_),
           aNow + kSilentCrashWindow };
}

const std::vector<SilenceReport>&
ReportsOf(const GatewayState& aState, std::uint64_t aIncarnation)
{
  static const std::vector<SilenceReport> kNone;
  const auto found = aState.silences_.find(aIncarnation);
  return found == aState.silences_.end() ? kNone : found->second;
}

/** When a server answered this daemon last before it was silent; zero: unknown.
 */
std::int64_t
LifeSignBefore(const GatewayState& aState,
               std::uint64_t aIncarnation,
               std::int64_t aSilentSince,
               const Now& aNow)
{
  const auto toUnix = [&aNow](TimePoint aAt) {
    return aNow.unixMicros_ - (aNow.mono_ - aAt).count();
  };
  for (const Backend& backend : aState.backends_.slots_) {
    const LifeSign& sign = backend.lifeSign_;
    // A later connection may be to an incarnation that isn't known yet.
    if (backend.key_ != 0 && backend.incarnation_ == aIncarnation &&
        sign.at_ > TimePoint{} && toUnix(sign.openedAt_) < aSilentSince) {
      return toUnix(sign.at_);
    }
  }
  return 0;
}

} // namespace

CrashTimes
CrashTimesOf(const GatewayStep& aStep, const LostAttempt& aLost)
{
  const GatewayState& state = aStep.state_;
  CrashTimes times{ 0, aStep.now_.unixMicros_ };
  const auto forEachView = [&state, &aLost](const auto& aFunction) {
    for (const LostAttempt& other : state.lost_) {
      if (other.serverHash_ == aLost.serverHash_) {
        aFunction(other.aliveUnixMicros_, other.crashedByUnixMicros_);
      }
    }
    for (const SilenceReport& report : ReportsOf(state, aLost.serverHash_)) {
      aFunction(report.aliveUnixMicros_, report.crashedByUnixMicros_);
    }
  };
  forEachView([&times](std::int64_t aAlive, std::int64_t) {
    times.aliveUnixMicros_ = std::max(times.aliveUnixMicros_, aAlive);
  });
  bool wasSilent = false;
  forEachView([&times, &wasSilent](std::int64_t, std::int64_t aCrashedBy) {
    // Before its last answer, too, requests may have got none.
    if (aCrashedBy != 0 && aCrashedBy >= times.aliveUnixMicros_) {
      wasSilent = true;
      times.crashedByUnixMicros_ =
        std::min(times.crashedByUnixMicros_, aCrashedBy);
    }
  });
  if (!wasSilent && aLost.loss_ == AttemptLoss::Broken) {
    // It ran until its connections ended.
    return { aLost.lostUnixMicros_, aLost.lostUnixMicros_ };
  }
  return times;
}

void
ReportSilences(GatewayStep& aStep)
{
  GatewayState& state = aStep.state_;
  for (LostAttempt& lost : state.lost_) {
    if (lost.reported_ || lost.crashed_ || lost.crashedByUnixMicros_ == 0 ||
        lost.loss_ == AttemptLoss::Broken ||
        aStep.Time() < lost.sentAt_ + kSilenceFloor) {
      continue;
    }
    const CrashTimes times = CrashTimesOf(aStep, lost);
    const std::vector<SilenceReport>& reports =
      ReportsOf(state, lost.serverHash_);
    lost.reported_ = std::any_of(
      reports.begin(), reports.end(), [&times](const SilenceReport& aReport) {
        return aReport.aliveUnixMicros_ >= times.aliveUnixMicros_ &&
               aReport.crashedByUnixMicros_ <= times.crashedByUnixMicros_;
      });
    if (lost.reported_) {
      continue;
    }
    if (!TakeReport(state, aStep.Time())) {
      return;
    }
    lost.reported_ = true;
    const SilenceReport report{ times.aliveUnixMicros_,
                                times.crashedByUnixMicros_,
                                aStep.Time() + kSilentCrashWindow };
    AddReport(state, lost.serverHash_, report, aStep.Time());
    aStep.out_.emplace_back(EncodeReport(lost.serverHash_, report));
  }
}

void
AdoptSilenceReport(GatewayState& aState,
                   const CrashEvidence& aReport,
                   const Now& aNow)
{
  const SilenceReport report = DecodeReport(aReport, aNow.mono_);
  if (report.aliveUnixMicros_ <= aNow.unixMicros_ + kClockTolerance.count()) {
    AddReport(aState, aReport.servers_.front(), report, aNow.mono_);
  }
}

std::optional<SuspectFound>
GatewayReplyToReport(GatewayState& aState,
                     const CrashEvidence& aEvidence,
                     const Now& aNow)
{
  if (!IsSilenceReport(aEvidence)) {
    return std::nullopt;
  }
  const std::uint64_t incarnation = aEvidence.servers_.front();
  SilenceReport reply = DecodeReport(aEvidence, aNow.mono_);
  const std::int64_t sign =
    LifeSignBefore(aState, incarnation, reply.crashedByUnixMicros_, aNow);
  const std::vector<SilenceReport>& reports = ReportsOf(aState, incarnation);
  const bool isLatest = sign > reply.aliveUnixMicros_ &&
                        std::all_of(reports.begin(),
                                    reports.end(),
                                    [sign](const SilenceReport& aReport) {
                                      return aReport.aliveUnixMicros_ < sign;
                                    });
  if (!isLatest || !TakeReport(aState, aNow.mono_)) {
    return std::nullopt;
  }
  reply.aliveUnixMicros_ = sign;
  AddReport(aState, incarnation, reply, aNow.mono_);
  return EncodeReport(incarnation, reply);
}

} // namespace camphorfield
