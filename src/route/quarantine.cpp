// Quarantine of contents that crash servers, so that retries and resends of one
// request do not crash one server after the other. A content in flight during a
// crash is suspected, run once in isolation, then cleared or quarantined.
#include "route/quarantine.h"

#include "core/hash_func.h"

#include <algorithm>

namespace camphorfield {

namespace {

constexpr std::uint64_t kBodySeed = 1; ///< Hash seed of bodies.

bool
IsExpired(const SuspectRecord& aSuspect, const Now& aNow)
{
  return aSuspect.untilUnix_ <= aNow.unixMicros_;
}

// Peers quarantine a content by its crash count. Unless it is quarantined here,
// the count sent stays below that limit: the loss of a failure domain counts
// many crashes against every content in flight.
void
SpreadSuspect(Step& aStep, Fingerprint aContent, const SuspectRecord& aSuspect)
{
  const std::uint32_t crashes =
    aSuspect.quarantined_
      ? aSuspect.crashes_
      : std::min(aSuspect.crashes_, kCrashesToQuarantine - 1);
  aStep.out_.emplace_back(
    SpreadRumor{ QuarantineRumor{ aContent, crashes, aSuspect.untilUnix_ } });
}

void
Quarantine(Step& aStep, Fingerprint aContent, SuspectRecord& aSuspect)
{
  aSuspect.quarantined_ = true;
  aSuspect.crashes_ = std::max(aSuspect.crashes_, kCrashesToQuarantine);
  aSuspect.untilUnix_ = aStep.now_.unixMicros_ + kQuarantineTtl.count();
  ++aStep.state_.stats_.quarantined_;
  aStep.out_.emplace_back(TimelineRecord{ TimelineKind::RequestQuarantined,
                                          0,
                                          "",
                                          aContent.value_,
                                          "its runs crashed servers" });
}

void
DropExpired(Step& aStep)
{
  std::map<Fingerprint, SuspectRecord>& all = aStep.state_.suspects_;
  std::erase_if(all, [&](const auto& aItem) {
    return IsExpired(aItem.second, aStep.now_);
  });
}

void
CountCrash(Step& aStep, ServerIndex aServer, SuspectRecord& aSuspect)
{
  const TimePoint now = aStep.now_.mono_;
  aSuspect.crashedServer_ = aServer;
  aSuspect.crashedAt_ = now;
  aSuspect.trialAfter_ = now + kSuspectRetryDelay;
  AddTimer(aStep.state_.timers_,
           { aSuspect.trialAfter_, 0, 0, TimerKind::SuspectTrial });
  ++aSuspect.crashes_;
  aSuspect.untilUnix_ =
    std::max(aSuspect.untilUnix_, aStep.now_.unixMicros_ + kSuspectTtl.count());
}

// Only an isolated run proves that a content crashes servers. When a failure
// domain is lost, any content in flight loses many servers at once, possibly
// with nothing else in flight on them.
void
AddCrash(Step& aStep, ServerIndex aServer, Fingerprint aContent, bool aProven)
{
  RouteState& state = aStep.state_;
  const TimePoint now = aStep.now_.mono_;
  if (state.suspects_.size() >= kMaxSuspects) {
    DropExpired(aStep);
  }
  if (state.suspects_.size() >= kMaxSuspects) {
    return;
  }
  SuspectRecord& suspect = state.suspects_[aContent];
  // Several connections that break in one crash count once.
  const bool sameCrash = suspect.crashedServer_ == aServer &&
                         now - suspect.crashedAt_ < kCrashWindow;
  suspect.proven_ |= aProven;
  if (!sameCrash) {
    CountCrash(aStep, aServer, suspect);
  }
  const bool shouldQuarantine = !suspect.quarantined_ && suspect.proven_ &&
                                suspect.crashes_ >= kCrashesToQuarantine;
  if (shouldQuarantine) {
    Quarantine(aStep, aContent, suspect);
    MarkWaitingServices(state);
  }
  if (!sameCrash || shouldQuarantine) {
    SpreadSuspect(aStep, aContent, suspect);
  }
}

void
SuspectBrokenRequests(Step& aStep, ServerIndex aServer)
{
  // Moved out: entries added meanwhile belong to another crash.
  std::vector<BrokenRequest> broken;
  broken.swap(aStep.state_.servers_[aServer].broken_);
  std::size_t blamed = 0;
  for (const BrokenRequest& request : broken) {
    const bool stale = aStep.now_.mono_ - request.at_ > kCrashWindow;
    if (!stale && blamed++ < kMaxSuspectsPerCrash) {
      AddCrash(aStep, aServer, request.fingerprint_, false);
    }
  }
}

void
RecordCrash(Step& aStep, ServerIndex aServer)
{
  ServerState& server = aStep.state_.servers_[aServer];
  const TimePoint now = aStep.now_.mono_;
  if (server.crashedAt_ == TimePoint{} ||
      now - server.crashedAt_ > kCrashWindow) {
    server.crashedAt_ = now;
    ++aStep.state_.stats_.crashes_;
  }
  SuspectBrokenRequests(aStep, aServer);
}

void
ClearContent(Step& aStep, Fingerprint aContent)
{
  RouteState& state = aStep.state_;
  if (state.suspects_.erase(aContent) == 0) {
    return;
  }
  aStep.out_.emplace_back(
    SpreadRumor{ QuarantineRumor{ aContent, 0, aStep.now_.unixMicros_ } });
  MarkWaitingServices(state);
}

void
RecordBrokenRequest(Step& aStep, const Connection& aConnection)
{
  const Sub* sub = FindSlot(aStep.state_.subs_, aConnection.sub_);
  if (sub == nullptr || !sub->fingerprint_.IsValid()) {
    return;
  }
  ServerState& server = aStep.state_.servers_[aConnection.server_];
  server.broken_.push_back({ sub->fingerprint_, aStep.now_.mono_ });
}

} // namespace

void
MarkWaitingServices(RouteState& aState)
{
  for (ServiceIndex i = 0; i < aState.services_.size(); ++i) {
    if (!aState.services_[i].queue_.heap_.empty()) {
      MarkService(aState, i);
    }
  }
}

Fingerprint
MakeFingerprint(std::string_view aCaller,
                std::string_view aRoute,
                const SharedText& aBody)
{
  const std::uint64_t body =
    aBody == nullptr ? kBodySeed : HashText(*aBody, kBodySeed);
  return { HashPair(HashPair(HashText(aCaller), HashText(aRoute)), body) };
}

SuspectVerdict
CheckContent(const RouteState& aState, Fingerprint aContent, const Now& aNow)
{
  if (aState.suspects_.empty()) {
    return SuspectVerdict::Clear;
  }
  const auto found = aState.suspects_.find(aContent);
  if (found == aState.suspects_.end() || IsExpired(found->second, aNow)) {
    return SuspectVerdict::Clear;
  }
  const SuspectRecord& suspect = found->second;
  if (suspect.quarantined_ || suspect.reportedByPeer_) {
    return SuspectVerdict::Refused;
  }
  const bool soon = aNow.mono_ < suspect.trialAfter_;
  return suspect.trial_ != 0 || soon ? SuspectVerdict::Wait
                                     : SuspectVerdict::Trial;
}

void
RecordTrial(RouteState& aState, Fingerprint aContent, std::uint64_t aSub)
{
  const auto found = aState.suspects_.find(aContent);
  if (found != aState.suspects_.end()) {
    found->second.trial_ = aSub;
  }
}

bool
IsRefusedContent(const RouteState& aState,
                 Fingerprint aContent,
                 const Now& aNow)
{
  // During an isolated run, more requests of this content could only add
  // crashes.
  const SuspectVerdict verdict = CheckContent(aState, aContent, aNow);
  return verdict == SuspectVerdict::Refused || verdict == SuspectVerdict::Wait;
}

void
RecordConnectionBreak(Step& aStep,
                      const Connection& aConnection,
                      const ConnectionEnded& aEvent)
{
  const ServerIndex index = aConnection.server_;
  ServerState& server = aStep.state_.servers_[index];
  const TimePoint now = aStep.now_.mono_;
  if (!aEvent.wasOpen_) {
    if (aEvent.reason_ == ConnectionEnd::Refused &&
        server.brokenConnections_ > 0 &&
        now - server.brokenAt_ < kCrashWindow) {
      RecordCrash(aStep, index);
    }
    return;
  }
  if (aEvent.reason_ != ConnectionEnd::Reset) {
    return;
  }
  if (now - server.brokenAt_ >= kCrashWindow) {
    server.brokenAt_ = now;
    server.brokenConnections_ = 0;
    server.broken_.clear();
  }
  ++server.brokenConnections_;
  if (aEvent.requestSent_) {
    RecordBrokenRequest(aStep, aConnection);
  }
  // A refused connect may be reported before this break.
  if (server.brokenConnections_ > 1 || server.connectFailures_ > 0) {
    RecordCrash(aStep, index);
  }
}

void
RecordRunOutcome(Step& aStep, const Sub& aSub, SubOutcome aOutcome)
{
  const auto found = aStep.state_.suspects_.find(aSub.fingerprint_);
  if (found == aStep.state_.suspects_.end() ||
      found->second.trial_ != aSub.key_) {
    return;
  }
  found->second.trial_ = 0;
  if (aOutcome == SubOutcome::Ok || aOutcome == SubOutcome::Rejected) {
    ClearContent(aStep, aSub.fingerprint_);
  } else if (aOutcome == SubOutcome::Lost) {
    // A connection lost in an isolated run counts as a crash at once: waiting
    // for a second sign could cost a third server.
    AddCrash(aStep, aSub.server_, aSub.fingerprint_, true);
  }
  MarkWaitingServices(aStep.state_);
}

void
ApplyQuarantineRumor(Step& aStep, const QuarantineRumor& aRumor)
{
  RouteState& state = aStep.state_;
  if (aRumor.crashes_ == 0) {
    state.suspects_.erase(aRumor.fingerprint_);
    MarkWaitingServices(state);
    return;
  }
  if (aRumor.untilUnixMicros_ <= aStep.now_.unixMicros_ ||
      state.suspects_.size() >= kMaxSuspects) {
    return;
  }
  SuspectRecord& suspect = state.suspects_[aRumor.fingerprint_];
  // Ignore an own rumor that comes back.
  if (suspect.untilUnix_ == aRumor.untilUnixMicros_ &&
      suspect.crashes_ == aRumor.crashes_) {
    return;
  }
  const bool known = suspect.crashes_ > 0 && !suspect.reportedByPeer_;
  suspect.reportedByPeer_ = true;
  suspect.quarantined_ |= aRumor.crashes_ >= kCrashesToQuarantine || known;
  suspect.crashes_ = std::max(suspect.crashes_, aRumor.crashes_);
  const std::int64_t peerExpiry =
    aStep.now_.unixMicros_ + kPeerSuspectTtl.count();
  const std::int64_t until = suspect.quarantined_
                               ? aRumor.untilUnixMicros_
                               : std::min(aRumor.untilUnixMicros_, peerExpiry);
  suspect.untilUnix_ = std::max(suspect.untilUnix_, until);
  MarkWaitingServices(state);
}

} // namespace camphorfield
