// Choice of a server: power of two choices by expected completion time. Slow,
// ejected or already tried servers are avoided while others are usable.
#include "route/server_choice.h"

#include "route/conn_pool.h"
#include "route/server_health.h"

#include <algorithm>
#include <array>

namespace camphorfield {

namespace {

constexpr std::size_t kMaxCandidates = 16;

/** Servers of one tier that could take the request. */
struct Candidates
{
  std::array<ServerIndex, kMaxCandidates> free_{};
  std::size_t freeCount_ = 0; ///< Valid entries of free_.
  std::uint32_t usable_ = 0;  ///< Free or not.
};

/** Servers of a service, sorted into tiers; best tier first. */
struct Survey
{
  Candidates fresh_;             ///< Neither tried nor ejected.
  Candidates ejected_;           ///< Not tried but ejected.
  Candidates tried_;             ///< Tried before.
  ServerIndex probe_ = kNoIndex; ///< Ejected server that is due for a probe.
  bool lacking_ = false;         ///< Some server lacks the snapshot.
  bool anyFree_ = false;
};

bool
IsTried(const ChoiceDemand& aDemand, ServerIndex aServer)
{
  return std::find(aDemand.tried_.begin(), aDemand.tried_.end(), aServer) !=
         aDemand.tried_.end();
}

double
SlowStartLimit(const ServerState& aServer, TimePoint aNow)
{
  const double left =
    static_cast<double>((aServer.slowStartUntil_ - aNow).count()) /
    static_cast<double>(kSlowStart.count());
  const double quota = aServer.connectionQuota_;
  return std::max(1.0, quota * (1.0 - left));
}

std::uint32_t
CurrentLimit(const ServerState& aServer,
             Priority aPriority,
             bool aInteractiveRecently,
             TimePoint aNow)
{
  double limit = aServer.limit_;
  if (aServer.slowStartUntil_ > aNow) {
    limit = std::min(limit, SlowStartLimit(aServer, aNow));
  }
  auto places = static_cast<std::uint32_t>(limit);
  // Batch tasks leave one place free while interactive tasks arrive, since a
  // running request cannot be interrupted.
  if (aPriority == Priority::Batch && aInteractiveRecently && places > 1) {
    --places;
  }
  return places;
}

// A server that is avoided gives no new samples. Its latency decays with idle
// time, so that it is tried again.
double
DecayedLatency(const ServerState& aServer, TimePoint aNow)
{
  if (aServer.samples_ == 0) {
    return static_cast<double>(kDefaultLatency.count());
  }
  const Duration idle = aNow - aServer.sampledAt_;
  const double halfLives = static_cast<double>(idle.count()) /
                           static_cast<double>(kLatencyHalfLife.count());
  return aServer.latency_ / (1.0 + halfLives);
}

// Expected completion time: requests in flight times latency. Lower is better.
double
Score(const ServerState& aServer, TimePoint aNow)
{
  const double latency = DecayedLatency(aServer, aNow);
  double score = (aServer.inFlight_ + 1.0) * latency;
  if (aServer.slowStartUntil_ > aNow) {
    const double left =
      static_cast<double>((aServer.slowStartUntil_ - aNow).count()) /
      static_cast<double>(kSlowStart.count());
    score *= 1.0 + kSlowStartFactor * left;
  }
  return score;
}

// Score factor of the reported load; its weight decreases with age.
double
ReportBias(const ServerState& aServer, TimePoint aNow)
{
  const Duration age = aNow - aServer.loadAt_;
  if (age >= kLoadReportTtl) {
    return 1.0;
  }
  const double freshness = 1.0 - static_cast<double>(age.count()) /
                                   static_cast<double>(kLoadReportTtl.count());
  return 1.0 + kLoadReportWeight * aServer.load_ * freshness;
}

bool
AreNear(double aFirst, double aSecond, double aBand)
{
  return aFirst <= aSecond * aBand && aSecond <= aFirst * aBand;
}

void
AddCandidate(Candidates& aCandidates, ServerIndex aServer, bool aFree)
{
  ++aCandidates.usable_;
  if (aFree && aCandidates.freeCount_ < kMaxCandidates) {
    aCandidates.free_[aCandidates.freeCount_++] = aServer;
  }
}

bool
IsServable(const RouteState& aState, ServerIndex aServer)
{
  const ServerState& server = aState.servers_[aServer];
  return server.configured_ && !IsLeaving(server) && !IsDown(aState, aServer);
}

void
ClassifyServer(Step& aStep,
               const ChoiceDemand& aDemand,
               ServerIndex aServer,
               Survey& aSurvey)
{
  const TimePoint now = aStep.now_.mono_;
  const ServerState& server = aStep.state_.servers_[aServer];
  if (aDemand.only_ != kNoIndex && aDemand.only_ != aServer) {
    return;
  }
  if (!IsServable(aStep.state_, aServer)) {
    return;
  }
  const bool accepts =
    CanAcceptRequest(aStep.state_, aServer, aDemand.priority_, now);
  aSurvey.anyFree_ |= accepts;
  if (aDemand.version_.IsValid() &&
      LacksVersion(server, aDemand.version_, now)) {
    aSurvey.lacking_ = true;
    return;
  }
  const bool free = accepts && (!aDemand.alone_ || server.inFlight_ == 0);
  if (IsTried(aDemand, aServer)) {
    AddCandidate(aSurvey.tried_, aServer, free);
  } else if (IsEjected(server)) {
    AddCandidate(aSurvey.ejected_, aServer, free);
    if (free && now >= server.nextProbe_ && now >= server.ejectedUntil_) {
      aSurvey.probe_ = aServer;
    }
  } else {
    AddCandidate(aSurvey.fresh_, aServer, free);
  }
}

ServerIndex
BetterOf(const RouteState& aState,
         ServerIndex aFirst,
         ServerIndex aSecond,
         TimePoint aNow)
{
  const ServerState& first = aState.servers_[aFirst];
  const ServerState& second = aState.servers_[aSecond];
  double firstScore = Score(first, aNow);
  double secondScore = Score(second, aNow);
  // Load reports lag and may be wrong, so they count only when own observations
  // show no clear difference.
  if (AreNear(firstScore, secondScore, kReportBand)) {
    firstScore *= ReportBias(first, aNow);
    secondScore *= ReportBias(second, aNow);
  }
  const bool tie = AreNear(firstScore, secondScore, kTieBand);
  if (tie && first.sameDomain_ != second.sameDomain_) {
    return first.sameDomain_ ? aFirst : aSecond;
  }
  return firstScore <= secondScore ? aFirst : aSecond;
}

ServerIndex
PickOfTwo(Step& aStep, const Candidates& aCandidates)
{
  const std::size_t count = aCandidates.freeCount_;
  if (count == 1) {
    return aCandidates.free_[0];
  }
  const std::uint64_t random = aStep.rng_();
  const std::size_t first = random % count;
  const std::size_t step = 1 + (random >> 32U) % (count - 1);
  const std::size_t second = (first + step) % count;
  return BetterOf(aStep.state_,
                  aCandidates.free_[first],
                  aCandidates.free_[second],
                  aStep.now_.mono_);
}

Choice
ChooseFrom(Step& aStep, const Candidates& aCandidates)
{
  Choice choice;
  choice.state_ = ChoiceState::Busy;
  if (aCandidates.freeCount_ > 0) {
    choice.state_ = ChoiceState::Chosen;
    choice.server_ = PickOfTwo(aStep, aCandidates);
  }
  return choice;
}

Choice
ChooseByTier(Step& aStep, const ChoiceDemand& aDemand, const Survey& aSurvey)
{
  Choice choice;
  if (aSurvey.probe_ != kNoIndex && !aDemand.mustDiffer_ && !aDemand.alone_) {
    choice.state_ = ChoiceState::Chosen;
    choice.server_ = aSurvey.probe_;
    choice.probe_ = true;
    return choice;
  }
  if (aSurvey.fresh_.usable_ > 0) {
    return ChooseFrom(aStep, aSurvey.fresh_);
  }
  if (aSurvey.ejected_.usable_ > 0) {
    return ChooseFrom(aStep, aSurvey.ejected_);
  }
  if (aSurvey.tried_.usable_ > 0 && !aDemand.mustDiffer_) {
    return ChooseFrom(aStep, aSurvey.tried_);
  }
  if (aSurvey.lacking_) {
    choice.reason_ = UncoveredReason::WrongVersion;
  }
  return choice;
}

} // namespace

bool
CanAcceptRequest(RouteState& aState,
                 ServerIndex aServer,
                 Priority aPriority,
                 TimePoint aNow)
{
  const ServerState& server = aState.servers_[aServer];
  const ServiceState& service = aState.services_[server.service_];
  if (server.exclusive_ || server.pausedUntil_ > aNow) {
    return false;
  }
  const bool interactiveRecently =
    aNow - service.interactiveAt_ < kInteractiveWindow;
  if (server.inFlight_ >=
      CurrentLimit(server, aPriority, interactiveRecently, aNow)) {
    return false;
  }
  if (!server.isHome_) {
    return server.relayAfter_ <= aNow && !server.homes_.empty();
  }
  return FindIdle(aState, aServer) != nullptr;
}

Choice
ChooseServer(Step& aStep, const ChoiceDemand& aDemand)
{
  Survey survey;
  for (const ServerIndex index :
       aStep.state_.services_[aDemand.service_].servers_) {
    ClassifyServer(aStep, aDemand, index, survey);
  }
  Choice choice = ChooseByTier(aStep, aDemand, survey);
  choice.anyFree_ = survey.anyFree_;
  return choice;
}

bool
IsVersionUsable(const RouteState& aState,
                ServiceIndex aService,
                SnapshotVersion aVersion,
                TimePoint aNow)
{
  for (const ServerIndex index : aState.services_[aService].servers_) {
    const ServerState& server = aState.servers_[index];
    const bool held = server.heldVersions_.empty() ||
                      std::find(server.heldVersions_.begin(),
                                server.heldVersions_.end(),
                                aVersion) != server.heldVersions_.end();
    if (held && IsServable(aState, index) &&
        !LacksVersion(server, aVersion, aNow)) {
      return true;
    }
  }
  return false;
}

} // namespace camphorfield
