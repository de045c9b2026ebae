// Chooses servers when requests that look alike cost very different amounts of
// work: one in a hundred five times as much, or two kinds on one route. A
// number of requests ahead then says little about the time until an answer.
#include "gateway/backend/cost_placement.h"

#include "core/hash_func.h"
#include "gateway/backend/backend_internal.h"
#include "gateway/backend/work_estimate.h"
#include "gateway/request/route_times.h"

#include <algorithm>
#include <cmath>

namespace camphorfield {

namespace {

/** Share of the time that servers pause: 120 to 250 ms every 3 to 6 s. */
constexpr double kPauseShare = 0.04;
/** Without reports the usual number fades too: a server that was avoided for
 * its reports is tried again. */
constexpr Duration kOthersHalfLife = milliseconds(400);
/** Work left of a request of another daemon, as a share of the mean. */
constexpr double kOthersRest = 0.75;
constexpr double kSpeedFloor = 0.5;
/** A server that claims to be faster than this is not believed: nothing else
 * would correct it at a daemon that rarely sends to it. */
constexpr double kReportedFloor = 0.9;
constexpr double kSpeedCeiling = 30.0;
constexpr double kRatioGain = 0.15;
/** A sample moves the ratio at most towards this multiple of it: a single
 * expensive request says little of the server. */
constexpr double kRatioStep = 3.0;
constexpr double kRatioFloor = 0.2;
constexpr double kReportGain = 0.1; ///< Of moving averages of reports.
constexpr double kWorkGain = 0.05;
/** A report of waiting requests is wrong if the answer took less than this
 * share of the time that it implies. */
constexpr double kFalseShare = 0.4;
constexpr double kTrustLoss = 0.7;
constexpr double kTrustGain = 0.05;
/** Survival at which an attempt is first considered for a hedge. */
constexpr double kHedgeSurvival = 0.25;
/** Least part of that time that passes before, as an earlier age says little.
 */
constexpr double kEarliestCheck = 0.4;
/** A hedge must be expected to be this much faster. */
constexpr double kHedgeMargin = 1.5;
/** The same if the first server may miss the objective: gain in the probability
 * of an answer in time. */
constexpr double kHedgeGain = 0.1;
/** A server with a longer wait, as a share of the work, has no free slot. */
constexpr double kFreeWaitShare = 0.5;
constexpr double kSurePause = 0.5;
/** Weight of a sample that may contain a pause. */
constexpr double kUncertainWeight = 0.25;
/** Less of the distribution is left beyond the age of an attempt without an
 * answer: its age says something of the work. */
constexpr double kInformativeSurvival = 0.5;

double
Micros(Duration aTime)
{
  return static_cast<double>(aTime.count());
}

/** Learned ratio of a server, which fades while there are no answers. */
double
RatioOf(const BackendWork& aWork, TimePoint aNow)
{
  return 1.0 + (aWork.ratio_ - 1.0) *
                 Decay(aNow - aWork.ratioAt_, kLatencyRatioHalfLife);
}

double
SpeedOf(const Backend& aBackend, double aRatio, TimePoint aNow)
{
  const BackendWork& work = aBackend.work_;
  double speed = aRatio;
  if (aBackend.load_.known_) {
    const double reported =
      std::max(aBackend.load_.slowness_ / 100.0, kReportedFloor);
    speed *=
      work.slowness_ + (reported - work.slowness_) *
                         Decay(aNow - aBackend.loadAt_, kSlownessHalfLife);
  }
  if (aNow < aBackend.warmUntil_) {
    speed *= kWarmupFactor;
  }
  return std::clamp(speed, kRatioFloor, kSpeedCeiling);
}

/** Progress of an attempt, in microseconds. */
struct Progress
{
  double service_ = 0.0; ///< Time since its expected start; may be negative.
  double worked_ = 0.0;  ///< The same at usual speed, of the key's mean work.
  double silent_ = 0.0;  ///< Time since the start or the server's last answer.
  double scale_ = 1.0;   ///< Work at its service relative to the key's.
  double explained_ = 1.0; ///< Probability of the silence without a pause.
};

Progress
ProgressOf(const Backend& aBackend, const Attempt& aAttempt, TimePoint aNow)
{
  Progress progress;
  const PlacementEstimate& sent = aAttempt.estimate_;
  const CostEstimate& cost = *aAttempt.cost_;
  const double age = Micros(aNow - aAttempt.sentAt_);
  progress.service_ = age - sent.wait_ * sent.speed_ - sent.stall_;
  progress.scale_ = sent.work_ / std::max(cost.work_.mean_, 1.0);
  const double unit = sent.speed_ * progress.scale_;
  progress.worked_ = std::max(progress.service_, 0.0) / unit;
  const double sinceAnswer = Micros(aNow - aBackend.work_.answeredAt_);
  progress.silent_ = std::max(std::min(progress.service_, sinceAnswer), 0.0);
  if (progress.silent_ > 0.0) {
    const double before = progress.worked_ - progress.silent_ / unit;
    progress.explained_ = Survival(cost.work_, progress.worked_) /
                          std::max(Survival(cost.work_, before), 1e-6);
  }
  return progress;
}

double
PauseProbability(double aExplained)
{
  return kPauseShare / (kPauseShare + aExplained);
}

/** Rest of the work of an attempt at usual speed, without pauses. */
double
RestOfWork(const Attempt& aAttempt, const Progress& aProgress)
{
  if (aProgress.service_ <= 0.0) {
    return aAttempt.estimate_.work_;
  }
  return (MeanBeyond(aAttempt.cost_->work_, aProgress.worked_) -
          aProgress.worked_) *
         aProgress.scale_;
}

/** Requests of other daemons, corrected for the age of the report: the surplus
 * over the usual number is worked off. */
double
OthersNow(const Backend& aBackend, TimePoint aNow)
{
  if (!aBackend.load_.known_) {
    return 0.0;
  }
  const BackendWork& work = aBackend.work_;
  return work.trust_ *
         (work.othersMean_ * Decay(aNow - aBackend.loadAt_, kOthersHalfLife) +
          (work.others_ - work.othersMean_) *
            Decay(aNow - aBackend.loadAt_, kReportedLoadHalfLife));
}

void
AddRatio(BackendWork& aWork, double aSample, TimePoint aNow)
{
  const double faded = RatioOf(aWork, aNow);
  const double sample =
    std::clamp(aSample, faded / kRatioStep, faded * kRatioStep);
  aWork.ratio_ = std::clamp(
    faded + kRatioGain * (sample - faded), kRatioFloor, kSpeedCeiling);
  aWork.ratioAt_ = aNow;
}

void
TakeReport(Backend& aBackend, const ReportedLoad& aLoad)
{
  if (!aLoad.known_) {
    return;
  }
  BackendWork& work = aBackend.work_;
  work.others_ = std::max(static_cast<double>(aLoad.running_ + aLoad.waiting_) -
                            aBackend.inFlight_,
                          0.0);
  const double gain = std::max(1.0 / ++work.reports_, kReportGain);
  work.othersMean_ += gain * (work.others_ - work.othersMean_);
  work.slowness_ +=
    gain * (std::max(aLoad.slowness_ / 100.0, kReportedFloor) - work.slowness_);
}

void
CountError(PlacementState& aState, double aRatio)
{
  const auto* bound =
    std::lower_bound(kCostErrorBounds.begin(), kCostErrorBounds.end(), aRatio);
  ++aState
      .errorCounts_[static_cast<std::size_t>(bound - kCostErrorBounds.begin())];
  aState.errorSum_ += aRatio;
}

} // namespace

bool
IsCostMode(const GatewayState& aState)
{
  return aState.settings_.policy_.mode_ == PlacementMode::Cost;
}

void
PrepareCost(GatewayState& aState, GatewayRun& aRun, TimePoint aNow)
{
  if (!IsCostMode(aState) || aRun.cost_ != nullptr) {
    return;
  }
  const ProxyMessage& message = *aRun.message_;
  const CostKeys keys = MakeCostKeys(HashText(aRun.route_->name_),
                                     message.target_,
                                     message.path_.size(),
                                     message.body_.size());
  aRun.cost_ = std::make_shared<const CostEstimate>(
    EstimateCost(aState.placement_.costs_,
                 keys,
                 Micros(TypicalLatency(*aRun.load_, *aRun.route_)),
                 aNow));
}

double
WorkAt(const GatewayState& aState,
       const CostEstimate& aCost,
       ServiceNumber aService)
{
  return aCost.work_.mean_ * ServiceRatio(aState.placement_.costs_, aService);
}

// Requests in flight are told apart by their expected rest. A pause is the more
// likely the less the costs of all of them explain the server's silence.
PlacementEstimate
EstimatePlacement(const GatewayState& aState,
                  const Backend& aBackend,
                  double aWork,
                  TimePoint aNow)
{
  PlacementEstimate estimate;
  estimate.work_ = aWork;
  estimate.ratio_ = RatioOf(aBackend.work_, aNow);
  estimate.speed_ = SpeedOf(aBackend, estimate.ratio_, aNow);
  double rest = 0.0;
  double own = 0.0;
  double explained = 1.0;
  double silent = 0.0;
  if (aBackend.inFlight_ > 0) {
    for (const std::uint64_t key : aBackend.connections_) {
      const BackendConn& conn = aState.connections_.slots_[key & kSlotMask];
      if (conn.state_ != BackendConnState::Busy) {
        continue;
      }
      const Attempt& attempt =
        aState.attempts_.slots_[conn.attempt_ & kSlotMask];
      own += 1.0;
      if (attempt.cost_ == nullptr) {
        rest += aWork;
        continue;
      }
      const Progress progress = ProgressOf(aBackend, attempt, aNow);
      rest += RestOfWork(attempt, progress);
      explained *= progress.explained_;
      silent = std::max(silent, progress.silent_);
    }
  }
  const double others = OthersNow(aBackend, aNow);
  const double mean = aBackend.work_.work_ > 0.0 ? aBackend.work_.work_ : aWork;
  const double count = own + others;
  const auto slots = static_cast<double>(std::max(aBackend.entry_.slots_, 1U));
  const double queued = count + 1.0 - slots;
  if (queued > 0.0) {
    rest += others * mean * kOthersRest;
    estimate.wait_ = rest / count * queued / slots;
    estimate.reported_ = others > own;
  }
  estimate.stall_ = PauseProbability(explained) * silent;
  return estimate;
}

double
PenalisedMicros(const GatewayState& aState,
                const Backend& aBackend,
                const PlacementEstimate& aEstimate,
                Duration aTypicalLatency,
                TimePoint aNow)
{
  double micros = (aEstimate.work_ + aEstimate.wait_) * aEstimate.speed_;
  micros *= 1.0 + kFailureWeight * aBackend.failures_ *
                    Decay(aNow - aBackend.failuresAt_, kFailureHalfLife);
  if (!IsSameDomain(aState, aBackend)) {
    micros += kOtherDomainWeight * Micros(aTypicalLatency);
  }
  return micros + aEstimate.stall_;
}

// Connections that are being opened and requests in flight both make room.
double
MicrosUntilRoom(const Backend& aBackend,
                const PlacementEstimate& aEstimate,
                double aAhead)
{
  const double perMicro =
    aBackend.inFlight_ / std::max(aEstimate.Total(), 1.0) +
    aBackend.opening_ / Micros(kNewConnectionCost);
  if (perMicro > 0.0) {
    return aAhead / perMicro;
  }
  // Nothing is open: one is opened at once, unless that has failed.
  return Micros(aBackend.reconnect_.count() > 0 ? kBackendConnectTimeout
                                                : kNewConnectionCost) *
         aAhead;
}

double
ExpectedRest(const GatewayState& aState,
             const Attempt& aAttempt,
             TimePoint aNow)
{
  const Backend& backend =
    aState.backends_.slots_[aAttempt.backend_ & kSlotMask];
  const Progress progress = ProgressOf(backend, aAttempt, aNow);
  const double pause = PauseProbability(progress.explained_);
  return std::max(-progress.service_, 0.0) +
         RestOfWork(aAttempt, progress) * aAttempt.estimate_.speed_ +
         pause * progress.silent_;
}

// In time for a second server to meet the objective, if it has one.
Duration
FirstHedgeCheck(const GatewayRun& aRun, const Attempt& aAttempt)
{
  const TailTable& error = aAttempt.cost_->error_;
  const double expected = aAttempt.estimate_.Total() / 1000.0;
  const double slow = ValueAtSurvival(error, kHedgeSurvival) * expected;
  const double left = Micros(aRun.softAt_ - aAttempt.sentAt_);
  const double last = left - error.mean_ * expected;
  const double delay =
    last > 0.0 ? std::min(slow, std::max(last, slow * kEarliestCheck)) : slow;
  return std::max(Duration(static_cast<std::int64_t>(delay)),
                  Duration(kHedgeFloor));
}

// The part of the error that belongs to the request itself is met again on the
// second server; how large it is, is learned from earlier hedges.
bool
IsHedgeWorthwhile(const GatewayState& aState,
                  const GatewayRun& aRun,
                  const Attempt& aAttempt,
                  const Backend& aSecond,
                  TimePoint aNow,
                  double& aRepeatedError)
{
  const Backend& first = aState.backends_.slots_[aAttempt.backend_ & kSlotMask];
  const CostEstimate& cost = *aAttempt.cost_;
  const TailTable& error = cost.error_;
  const double expected = std::max(aAttempt.estimate_.Total(), 1.0);
  const double age = Micros(aNow - aAttempt.sentAt_) / expected * 1000.0;
  const Progress progress = ProgressOf(first, aAttempt, aNow);
  const double pause = PauseProbability(progress.explained_);
  const double beyond = MeanBeyond(error, age);
  const double rest =
    std::max((beyond - age) * expected / 1000.0, pause * progress.silent_);
  aRepeatedError = pause < kSurePause ? beyond : 0.0;
  const double repeated =
    std::max(cost.repeatable_ * (1.0 - pause) * (beyond - error.mean_), 0.0);
  const PlacementEstimate estimate =
    EstimatePlacement(aState, aSecond, aAttempt.estimate_.work_, aNow);
  // Under overload a hedge takes the capacity of a first send.
  const bool isScarce = !aState.services_[aSecond.service_].queue_.empty() ||
                        estimate.wait_ > kFreeWaitShare * estimate.work_;
  if (isScarce && pause < kSurePause) {
    return false;
  }
  const double second = estimate.Total() / 1000.0;
  if (rest > kHedgeMargin * second * (error.mean_ + repeated)) {
    return true;
  }
  // In time for the objective, which the first server would probably miss.
  const double left = Micros(aRun.softAt_ - aNow);
  const double firstLate = Survival(error, age + left / expected * 1000.0) /
                           std::max(Survival(error, age), 1e-6);
  const double secondLate = Survival(error,
                                     left / std::max(second, 1e-3) *
                                       error.mean_ / (error.mean_ + repeated));
  return left > 0.0 && firstLate * (1.0 - secondLate) > kHedgeGain;
}

void
LearnFromAnswer(GatewayStep& aStep,
                Backend& aBackend,
                const Attempt& aAttempt,
                const BackendAnswer& aAnswer)
{
  PlacementState& state = aStep.state_.placement_;
  BackendWork& work = aBackend.work_;
  const TimePoint now = aStep.Time();
  const PlacementEstimate& sent = aAttempt.estimate_;
  const CostEstimate& cost = *aAttempt.cost_;
  const double took = Micros(now - aAttempt.sentAt_);
  const Progress progress = ProgressOf(aBackend, aAttempt, now);
  const double pause = PauseProbability(progress.explained_);
  const double error = took / std::max(sent.Total(), 1.0);
  CountError(state, error);
  AddError(state.costs_, cost.keys_, error * 1000.0);
  if (sent.reported_) {
    const bool wrong = took < kFalseShare * sent.Total();
    work.trust_ = wrong ? work.trust_ * kTrustLoss
                        : work.trust_ + kTrustGain * (1.0 - work.trust_);
  }
  // The ratio is relative to the speed that the server reports.
  const double reportedSpeed = sent.speed_ / sent.ratio_;
  AddRatio(
    work, took / std::max((sent.work_ + sent.wait_) * reportedSpeed, 1.0), now);
  // Waiting is known only roughly: what follows it counts less the longer it
  // was, and a server that claims to be slow but isn't is not believed.
  const double wait = std::min(sent.wait_ * sent.speed_, took * 0.8);
  const double slowness =
    work.ratio_ < kSpeedFloor ? 1.0 : std::max(reportedSpeed, 1.0);
  const double service = (took - wait) / slowness;
  const double certain = sent.work_ / (sent.work_ + sent.wait_ + 1.0);
  const double weight = certain * std::max(1.0 - pause, kUncertainWeight);
  AddServiceSample(
    state.costs_, aBackend.service_, service / std::max(cost.work_.mean_, 1.0));
  const double mean = service / ServiceRatio(state.costs_, aBackend.service_);
  AddCost(state.costs_, cost.keys_, mean, weight, now);
  work.work_ = work.work_ > 0.0
                 ? work.work_ + kWorkGain * weight * (service - work.work_)
                 : service;
  const double spread = aAttempt.repeatedError_ - cost.error_.mean_;
  if (aAttempt.hedge_ && spread > 0.0) {
    AddRepeatSample(
      state.costs_, cost.keys_, (error * 1000.0 - cost.error_.mean_) / spread);
  }
  TakeReport(aBackend, aAnswer.load_);
  work.answeredAt_ = now;
}

void
LearnFromCancelled(GatewayStep& aStep,
                   Backend& aBackend,
                   const Attempt& aAttempt)
{
  const TimePoint now = aStep.Time();
  const PlacementEstimate& sent = aAttempt.estimate_;
  const Progress progress = ProgressOf(aBackend, aAttempt, now);
  const CostEstimate& cost = *aAttempt.cost_;
  if (Survival(cost.work_, progress.worked_) > kInformativeSurvival) {
    return;
  }
  BackendWork& work = aBackend.work_;
  const double ratio = Micros(now - aAttempt.sentAt_) /
                       std::max((sent.work_ + sent.wait_) * sent.speed_, 1.0) *
                       work.ratio_;
  if (ratio > work.ratio_ && progress.explained_ < kPauseShare) {
    AddRatio(work, ratio, now);
  }
  const double weight = 1.0 - PauseProbability(progress.explained_);
  const double error =
    Micros(now - aAttempt.sentAt_) / std::max(sent.Total(), 1.0) * 1000.0;
  AddError(
    aStep.state_.placement_.costs_, cost.keys_, MeanBeyond(cost.error_, error));
  if (weight > kUncertainWeight) {
    AddCost(aStep.state_.placement_.costs_,
            cost.keys_,
            MeanBeyond(cost.work_, progress.worked_),
            weight,
            now);
  }
}

} // namespace camphorfield
