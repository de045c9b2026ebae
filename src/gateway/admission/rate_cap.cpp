// Organisations whose callers are spread unevenly over the entry daemons, and
// move between them, while the sum over all daemons has to stay below a cap.
//
// Each cap has one owner, by rendezvous hash over the member view, with a token
// bucket. The others ask it for tokens when requests arrive; a request waits
// for the answer. What an owner grants is used within kLeaseTime.
//
// Two owners at a time would double the rate. A daemon that becomes the owner
// asks the one before to release the cap, and otherwise, e.g. if that one is
// dead, grants nothing for kTakeoverTime, in which the other's view changes,
// too; less if it has just started. Its bucket starts empty, since the other
// may have granted the burst just before. On a minority's side of a partition
// there is no owner.
#include "gateway/admission/rate_cap_internal.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorfield {

namespace {

/** A granted token is used within this time: it moves requests from one window
 * into the next, which the tolerance has to cover. */
constexpr Duration kLeaseTime = std::chrono::milliseconds(100);
/** Tokens are asked for ahead for the demand of this time. */
constexpr double kAheadSeconds = 0.03;
constexpr Duration kDemandHalfLife = std::chrono::milliseconds(500);
/** A request waits this long for a token: most of the usual objective of 80 ms
 * is left to it. */
constexpr Duration kTokenWait = std::chrono::milliseconds(50);
/** An owner that did not answer this many times is left alone for a while. */
constexpr std::uint32_t kTimeoutsToPause = 2;
/** An owner that did not answer is asked again after this time. */
constexpr Duration kSilentOwnerPause = std::chrono::milliseconds(200);
/** A longer gap between events is a pause of this daemon. Others need longer to
 * declare it dead. */
constexpr Duration kPauseGap = std::chrono::seconds(2);
/** Until then a daemon doesn't know how many others serve callers. */
constexpr Duration kFallbackAfter = std::chrono::seconds(10);
/** Part of the tolerance for daemons without an owner. A window may touch two
 * windows of it. */
constexpr double kFallbackPart = 0.25;

/** After a pause others may own what this daemon owned. */
void
CheckPause(RateCaps& aCaps, TimePoint aNow)
{
  if (aCaps.seenAt_ == TimePoint{}) {
    aCaps.startedAt_ = aNow;
    aCaps.seenAt_ = aNow;
  }
  const Duration gap = aNow - aCaps.seenAt_;
  aCaps.seenAt_ = aNow;
  if (gap > kPauseGap) {
    CapsAfterSuspension(aCaps, aNow);
  }
}

/** Takes one of the tokens that this daemon may use without an owner. */
bool
TakeFallback(RateCaps& aCaps, RateCap& aCap, TimePoint aNow, Rng& aRng)
{
  if (aCaps.mostEntryDaemons_ == 0 ||
      aNow < aCaps.startedAt_ + kFallbackAfter) {
    return false;
  }
  BorrowedCap& borrowed = aCap.borrowed_;
  const std::int64_t window =
    aNow.time_since_epoch() / aCaps.tolerance_.window_;
  if (window != borrowed.fallbackWindow_) {
    // The part of one daemon is less than a token in most cases; by lot the sum
    // is right.
    const double share = kFallbackPart * Allowance(aCaps, aCap) /
                         static_cast<double>(aCaps.mostEntryDaemons_);
    borrowed.fallbackWindow_ = window;
    borrowed.fallbackTokens_ = static_cast<std::uint32_t>(
      share + std::uniform_real_distribution<double>()(aRng));
  }
  if (borrowed.fallbackTokens_ == 0) {
    return false;
  }
  --borrowed.fallbackTokens_;
  ++aCaps.stats_.fallback_;
  return true;
}

void
Admit(std::uint64_t aRequest, CapOutput& aOut)
{
  aOut.verdicts_.push_back({ aRequest, true, Duration::zero(), "" });
}

void
Refuse(RateCaps& aCaps,
       RateCap& aCap,
       std::uint64_t aRequest,
       const char* aReason,
       TimePoint aNow,
       Rng& aRng,
       CapOutput& aOut)
{
  ++aCaps.stats_.refused_;
  BorrowedCap& borrowed = aCap.borrowed_;
  // Each daemon spreads its callers behind what the owner said.
  const Duration base =
    std::max<Duration>(borrowed.retryAfter_, borrowed.deniedUntil_ - aNow);
  const Duration step =
    FromSeconds(++borrowed.refused_ / std::max(aCap.perSecond_, 1e-3));
  const Duration spread =
    std::max<Duration>(step, std::chrono::milliseconds(20));
  const Duration wait =
    std::max<Duration>(base, std::chrono::milliseconds(20)) +
    Duration(static_cast<std::int64_t>(
      aRng() % static_cast<std::uint64_t>(spread.count())));
  aOut.verdicts_.push_back(
    { aRequest, false, std::min(wait, kMaxRetryAfter), aReason });
}

void
CountDemand(BorrowedCap& aBorrowed, TimePoint aNow)
{
  const double half = Seconds(kDemandHalfLife);
  aBorrowed.demand_ *= std::exp2(-Seconds(aNow - aBorrowed.demandAt_) / half);
  aBorrowed.demand_ += std::log(2.0) / half;
  aBorrowed.demandAt_ = aNow;
}

bool
TakeBorrowed(RateCap& aCap, TimePoint aNow)
{
  BorrowedCap& borrowed = aCap.borrowed_;
  if (borrowed.tokens_ < 1.0 || aNow >= borrowed.tokensUntil_) {
    borrowed.tokens_ = 0.0;
    return false;
  }
  borrowed.tokens_ -= 1.0;
  return true;
}

void
AskOwner(RateCaps& aCaps, RateCap& aCap, TimePoint aNow, CapOutput& aOut)
{
  BorrowedCap& borrowed = aCap.borrowed_;
  const DaemonId owner = aCap.hint_.IsValid() ? aCap.hint_ : aCap.owner_;
  if (borrowed.asking_ || !owner.IsValid() || owner == aCaps.self_) {
    return;
  }
  borrowed.asking_ = true;
  borrowed.askedAt_ = aNow;
  CapMessage ask;
  ask.organisation_ = aCap.organisation_;
  ask.tokens_ = static_cast<std::uint32_t>(aCap.waiting_.size()) +
                static_cast<std::uint32_t>(borrowed.demand_ * kAheadSeconds);
  ask.refused_ = std::exchange(borrowed.refused_, 0);
  ++aCaps.stats_.asks_;
  aOut.sends_.push_back({ owner, ask });
}

/** Refuses or lets through what waits, without an owner. */
void
ServeWithoutOwner(RateCaps& aCaps,
                  RateCap& aCap,
                  std::uint64_t aRequest,
                  TimePoint aNow,
                  Rng& aRng,
                  CapOutput& aOut)
{
  if (TakeFallback(aCaps, aCap, aNow, aRng)) {
    Admit(aRequest, aOut);
    return;
  }
  Refuse(aCaps, aCap, aRequest, "no owner of the cap", aNow, aRng, aOut);
}

/** Gives up waiting for an answer. A single one may have been lost. */
void
EndAsk(RateCap& aCap, TimePoint aNow)
{
  BorrowedCap& borrowed = aCap.borrowed_;
  if (!borrowed.asking_ || aNow < borrowed.askedAt_ + kTokenWait) {
    return;
  }
  borrowed.asking_ = false;
  // Whoever named another daemon may not know yet that it is dead.
  aCap.hint_ = DaemonId{};
  if (++borrowed.timeoutsInRow_ >= kTimeoutsToPause) {
    borrowed.silentUntil_ = aNow + kSilentOwnerPause;
  }
}

/** Gives tokens to what waits; refuses the rest if the owner has none. */
void
ServeWaiting(RateCaps& aCaps,
             RateCap& aCap,
             TimePoint aNow,
             Rng& aRng,
             CapOutput& aOut)
{
  while (!aCap.waiting_.empty()) {
    const std::uint64_t request = aCap.waiting_.front().request_;
    if (TakeBorrowed(aCap, aNow)) {
      Admit(request, aOut);
    } else if (aNow < aCap.borrowed_.deniedUntil_) {
      Refuse(aCaps, aCap, request, "above the cap", aNow, aRng, aOut);
    } else {
      break;
    }
    aCap.waiting_.erase(aCap.waiting_.begin());
  }
  if (!aCap.waiting_.empty()) {
    AskOwner(aCaps, aCap, aNow, aOut);
  }
}

void
TakeGrant(RateCaps& aCaps,
          DaemonId aFrom,
          RateCap& aCap,
          const CapMessage& aGrant,
          TimePoint aNow,
          Rng& aRng,
          CapOutput& aOut)
{
  BorrowedCap& borrowed = aCap.borrowed_;
  borrowed.asking_ = false;
  borrowed.silentUntil_ = TimePoint{};
  borrowed.timeoutsInRow_ = 0;
  borrowed.retryAfter_ = aGrant.retryAfter_;
  if (!aGrant.owner_) {
    // Another daemon is asked once: views that differ could send a request back
    // and forth.
    const bool follow = aGrant.hint_.IsValid() && aGrant.hint_ != aFrom &&
                        aGrant.hint_ != aCaps.self_ &&
                        aCap.hint_ != aGrant.hint_;
    aCap.hint_ = follow ? aGrant.hint_ : DaemonId{};
    if (follow) {
      AskOwner(aCaps, aCap, aNow, aOut);
      return;
    }
    borrowed.silentUntil_ = aNow + kSilentOwnerPause;
    while (!aCap.waiting_.empty()) {
      const std::uint64_t request = aCap.waiting_.front().request_;
      aCap.waiting_.erase(aCap.waiting_.begin());
      ServeWithoutOwner(aCaps, aCap, request, aNow, aRng, aOut);
    }
    return;
  }
  // The owner can't have granted them before it was asked.
  const TimePoint until = borrowed.askedAt_ + kTokenWait + kLeaseTime;
  if (aGrant.tokens_ > 0 && aNow < until) {
    borrowed.tokens_ =
      (aNow < borrowed.tokensUntil_ ? borrowed.tokens_ : 0.0) + aGrant.tokens_;
    borrowed.tokensUntil_ = std::min(until, aNow + kLeaseTime);
  }
  if (aGrant.nextToken_.count() > 0) {
    borrowed.deniedUntil_ =
      aNow + std::min<Duration>(aGrant.nextToken_, kSilentOwnerPause);
  }
  ServeWaiting(aCaps, aCap, aNow, aRng, aOut);
}

} // namespace

RateCaps
MakeRateCaps(const CapTolerance& aTolerance, DaemonId aSelf)
{
  RateCaps caps;
  caps.tolerance_ = aTolerance;
  caps.self_ = aSelf;
  return caps;
}

void
CapsAdoptConfig(RateCaps& aCaps,
                const GatewayConfig& aConfig,
                TimePoint aNow,
                CapOutput& aOut)
{
  std::map<std::uint64_t, const Organisation*> capped;
  if (aConfig.organisations_ && aCaps.tolerance_.window_.count() > 0) {
    for (const Organisation& organisation : *aConfig.organisations_) {
      if (organisation.perSecond_ > 0.0) {
        capped[HashText(organisation.name_)] = &organisation;
      }
    }
  }
  for (auto item = aCaps.caps_.begin(); item != aCaps.caps_.end();) {
    // Requests that wait under a cap that is gone are let through.
    if (capped.count(item->first) == 0) {
      for (const CapWaiter& waiter : item->second.waiting_) {
        Admit(waiter.request_, aOut);
      }
      item = aCaps.caps_.erase(item);
    } else {
      ++item;
    }
  }
  for (const auto& [hash, organisation] : capped) {
    const auto [found, isNew] = aCaps.caps_.try_emplace(hash);
    RateCap& cap = found->second;
    cap.organisation_ = hash;
    cap.perSecond_ = organisation->perSecond_;
    cap.burst_ = organisation->burst_;
    if (isNew) {
      ChooseOwner(aCaps, cap);
      ApplyOwner(aCaps, cap, false, aNow, aOut);
    }
    // Tokens of the former burst must not outlive it.
    Refill(aCaps, cap, aNow);
  }
}

RateCap*
FindCap(RateCaps& aCaps, std::uint64_t aOrganisation)
{
  const auto found = aCaps.caps_.find(aOrganisation);
  return found == aCaps.caps_.end() ? nullptr : &found->second;
}

RateCap*
FindCap(RateCaps& aCaps, const Organisation& aOrganisation)
{
  return aCaps.caps_.empty() || aOrganisation.perSecond_ <= 0.0
           ? nullptr
           : FindCap(aCaps, HashText(aOrganisation.name_));
}

void
TakeCapToken(RateCaps& aCaps,
             RateCap& aCap,
             std::uint64_t aRequest,
             TimePoint aNow,
             Rng& aRng,
             CapOutput& aOut)
{
  CheckPause(aCaps, aNow);
  BorrowedCap& borrowed = aCap.borrowed_;
  CountDemand(borrowed, aNow);
  if (aCap.waiting_.empty() && TakeBorrowed(aCap, aNow)) {
    Admit(aRequest, aOut);
    return;
  }
  if (aNow < borrowed.deniedUntil_) {
    Refuse(aCaps, aCap, aRequest, "above the cap", aNow, aRng, aOut);
    return;
  }
  if (aCap.owned_.active_) {
    CapMessage ask;
    ask.tokens_ = 1;
    ask.refused_ = std::exchange(borrowed.refused_, 0);
    const CapMessage answer = AnswerAsk(aCaps, aCap, ask, aNow);
    if (answer.tokens_ > 0) {
      Admit(aRequest, aOut);
      return;
    }
    borrowed.retryAfter_ = answer.retryAfter_;
    if (!MayGrant(aCaps, aCap, aNow)) {
      ServeWithoutOwner(aCaps, aCap, aRequest, aNow, aRng, aOut);
      return;
    }
    borrowed.deniedUntil_ = aNow + answer.nextToken_;
    Refuse(aCaps, aCap, aRequest, "above the cap", aNow, aRng, aOut);
    return;
  }
  if (!aCap.owner_.IsValid() || aNow < borrowed.silentUntil_) {
    ServeWithoutOwner(aCaps, aCap, aRequest, aNow, aRng, aOut);
    return;
  }
  aCap.waiting_.push_back({ aRequest, aNow + kTokenWait });

  aCaps.waits_.push_back({ aCap.organisation_, aNow + kTokenWait });
  AskOwner(aCaps, aCap, aNow, aOut);
}

void
ReturnCapToken(RateCaps& aCaps, RateCap& aCap, TimePoint aNow)
{
  if (MayGrant(aCaps, aCap, aNow)) {
    aCap.owned_.tokens_ += 1.0;
    return;
  }
  BorrowedCap& borrowed = aCap.borrowed_;
  borrowed.tokens_ =
    (aNow < borrowed.tokensUntil_ ? borrowed.tokens_ : 0.0) + 1;
  borrowed.tokensUntil_ = aNow + kLeaseTime;
}

void
CapsOnMessage(RateCaps& aCaps,
              DaemonId aFrom,
              const CapMessage& aMessage,
              TimePoint aNow,
              Rng& aRng,
              CapOutput& aOut)
{
  const auto found = aCaps.caps_.find(aMessage.organisation_);
  if (found == aCaps.caps_.end()) {
    return;
  }
  CheckPause(aCaps, aNow);
  RateCap& cap = found->second;
  CapMessage answer;
  switch (aMessage.kind_) {
    case CapMessageKind::Ask:
      answer = AnswerAsk(aCaps, cap, aMessage, aNow);
      aCaps.stats_.granted_ += answer.tokens_;
      aOut.sends_.push_back({ aFrom, answer });
      break;
    case CapMessageKind::Grant:
      TakeGrant(aCaps, aFrom, cap, aMessage, aNow, aRng, aOut);
      break;
    case CapMessageKind::Takeover:
      answer = ReleaseCap(aCaps, aFrom, cap, aNow);
      answer.organisation_ = aMessage.organisation_;
      aOut.sends_.push_back({ aFrom, answer });
      break;
    default:
      TakeRelease(aCaps, cap, aMessage, aNow);
      break;
  }
}

void
CapsOnTick(RateCaps& aCaps, TimePoint aNow, Rng& aRng, CapOutput& aOut)
{
  CheckPause(aCaps, aNow);
  while (!aCaps.waits_.empty() && aCaps.waits_.front().until_ <= aNow) {
    const auto found = aCaps.caps_.find(aCaps.waits_.front().organisation_);
    aCaps.waits_.pop_front();
    if (found == aCaps.caps_.end()) {
      continue;
    }
    RateCap& cap = found->second;
    while (!cap.waiting_.empty() && cap.waiting_.front().until_ <= aNow) {
      const std::uint64_t request = cap.waiting_.front().request_;
      cap.waiting_.erase(cap.waiting_.begin());
      ++aCaps.stats_.timeouts_;
      EndAsk(cap, aNow);
      ServeWithoutOwner(aCaps, cap, request, aNow, aRng, aOut);
    }
    if (!cap.waiting_.empty()) {
      AskOwner(aCaps, cap, aNow, aOut);
    }
  }
}

TimePoint
CapsNextWake(const RateCaps& aCaps)
{
  return aCaps.waits_.empty() ? kNever : aCaps.waits_.front().until_;
}

void
CapsAfterSuspension(RateCaps& aCaps, TimePoint aNow)
{
  for (auto& [organisation, cap] : aCaps.caps_) {
    cap.borrowed_.tokens_ = 0.0;
    if (cap.owned_.active_) {
      StartOver(cap.owned_, kTakeoverTime, aNow);
    }
  }
}

} // namespace camphorfield
