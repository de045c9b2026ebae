// The owner's side of rate caps, see rate_cap.cpp: a token bucket, and its
// transfer to the next owner while views of the fleet differ.
#include "gateway/admission/rate_cap_internal.h"

#include "core/hash_func.h"
#include "gateway/fleet/fleet_majority.h"

#include <algorithm>
#include <iterator>

namespace camphorfield {

namespace {

/** The same when the change is the start of this daemon: the others have
 * received the gossip of it, and the view of a starting fleet has grown to its
 * size. Gossip reaches all of 600 daemons in 0.2 s (docs/CAPACITY.md). */
constexpr Duration kJoinTime = std::chrono::milliseconds(500);
/** A daemon that has released a cap and is still the owner in its own view does
 * not grant for this time. */
constexpr Duration kReleaseTime = std::chrono::seconds(5);
/** Part of the tolerance that makes up for tokens that are granted and not
 * used. */
constexpr double kCapacityPart = 0.25;
/** Part of the tolerance's slack that a daemon that has just started may grant.
 * Without it organisations of less than a request a second are refused for
 * seconds after all daemons were killed. */
constexpr double kStartPart = 0.25;
/** Time in which a daemon counts as just started. */
constexpr Duration kStartTime = std::chrono::seconds(3);

/** The owner if this daemon weren't there. */
DaemonId
FindPredecessor(const RateCaps& aCaps, std::uint64_t aOrganisation)
{
  DaemonId best;
  std::uint64_t bestRank = 0;
  for (const DaemonId member : aCaps.view_.members_) {
    const std::uint64_t rank = Rank(aOrganisation, member);
    if (member != aCaps.self_ && rank > bestRank) {
      best = member;
      bestRank = rank;
    }
  }
  return best;
}

/** Sets when the owner begins to grant; its tokens count from then on. */
void
GrantFrom(OwnedCap& aOwned, TimePoint aFrom)
{
  aOwned.grantsFrom_ = aFrom;
  aOwned.tokensAt_ = aFrom;
  aOwned.nextFree_ = aFrom;
}

/** Waits longer while this daemon gets to know the members of the fleet. */
void
AwaitMembers(OwnedCap& aOwned, TimePoint aNow)
{
  if (aOwned.joinedAt_ == TimePoint{} || aNow >= aOwned.grantsFrom_) {
    return;
  }
  GrantFrom(aOwned,
            std::min(aNow + kJoinTime, aOwned.joinedAt_ + kTakeoverTime));
}

/** When callers that are refused now should return, one after the other. */
Duration
QueueRefused(RateCap& aCap, std::uint32_t aRefused, TimePoint aNow)
{
  OwnedCap& owned = aCap.owned_;
  const double perSecond = std::max(aCap.perSecond_, 1e-3);
  const TimePoint free =
    aNow + FromSeconds(std::max(1.0 - owned.tokens_, 0.0) / perSecond);
  owned.nextFree_ = std::max(owned.nextFree_, free);
  const Duration wait = std::min(owned.nextFree_ - aNow, kMaxRetryAfter);
  owned.nextFree_ = std::min(
    owned.nextFree_ + FromSeconds(aRefused / perSecond), aNow + kMaxRetryAfter);
  return wait;
}

} // namespace

double
Allowance(const RateCaps& aCaps, const RateCap& aCap)
{
  const CapTolerance& tolerance = aCaps.tolerance_;
  return tolerance.overage_ *
           (aCap.perSecond_ * Seconds(tolerance.window_) + aCap.burst_) +
         tolerance.slack_;
}

void
Refill(const RateCaps& aCaps, RateCap& aCap, TimePoint aNow)
{
  OwnedCap& owned = aCap.owned_;
  const double capacity =
    std::max(aCap.burst_ + kCapacityPart * Allowance(aCaps, aCap), 1.0);
  const double passed = Seconds(std::max(aNow - owned.tokensAt_, Duration()));
  owned.tokens_ = std::min(owned.tokens_ + passed * aCap.perSecond_, capacity);
  owned.tokensAt_ = std::max(aNow, owned.tokensAt_);
}

std::uint64_t
Rank(std::uint64_t aOrganisation, DaemonId aMember)
{
  return HashPair(aOrganisation, aMember.value_);
}

void
ChooseOwner(const RateCaps& aCaps, RateCap& aCap)
{
  aCap.owner_ = DaemonId{};
  aCap.ownerRank_ = 0;
  for (const DaemonId member : aCaps.view_.members_) {
    const std::uint64_t rank = Rank(aCap.organisation_, member);
    if (rank > aCap.ownerRank_) {
      aCap.owner_ = member;
      aCap.ownerRank_ = rank;
    }
  }
}

void
StartOver(OwnedCap& aOwned, Duration aWait, TimePoint aNow)
{
  GrantFrom(aOwned, aNow + aWait);
  aOwned.joinedAt_ = TimePoint{};
  aOwned.tokens_ = 0.0;
}

// A daemon that was killed and comes back at once has stayed the owner in the
// others' views, and one that is new outranks the owner before as soon as that
// one hears of it.
void
ApplyOwner(RateCaps& aCaps,
           RateCap& aCap,
           bool aOwnerLost,
           TimePoint aNow,
           CapOutput& aOut)
{
  OwnedCap& owned = aCap.owned_;
  const bool owner = aCap.owner_ == aCaps.self_ && aCaps.self_.IsValid();
  if (owner == owned.active_) {
    return;
  }
  owned.active_ = owner;
  if (!owner) {
    owned.endedAt_ = aNow;
    return;
  }
  ++aCaps.stats_.takeovers_;
  const bool starts = aNow < aCaps.startedAt_ + kStartTime;
  const bool joins = starts && !aOwnerLost;
  StartOver(owned, joins ? kJoinTime : kTakeoverTime, aNow);
  owned.joinedAt_ = joins ? aNow : TimePoint{};
  if (starts) {
    owned.tokens_ = kStartPart * aCaps.tolerance_.slack_;
  }
  const DaemonId predecessor = FindPredecessor(aCaps, aCap.organisation_);
  if (predecessor.IsValid()) {
    CapMessage message;
    message.kind_ = CapMessageKind::Takeover;
    message.organisation_ = aCap.organisation_;
    aOut.sends_.push_back({ predecessor, message });
  }
}

bool
MayGrant(const RateCaps& aCaps, const RateCap& aCap, TimePoint aNow)
{
  const OwnedCap& owned = aCap.owned_;
  return owned.active_ && aCaps.view_.majority_ && aNow >= owned.grantsFrom_ &&
         aNow >= owned.releasedUntil_;
}

CapMessage
AnswerAsk(RateCaps& aCaps,
          RateCap& aCap,
          const CapMessage& aAsk,
          TimePoint aNow)
{
  CapMessage answer;
  answer.kind_ = CapMessageKind::Grant;
  answer.organisation_ = aAsk.organisation_;
  OwnedCap& owned = aCap.owned_;
  if (!owned.active_ || aNow < owned.releasedUntil_) {
    answer.hint_ = owned.active_ ? owned.releasedTo_ : aCap.owner_;
    return answer;
  }
  answer.retryAfter_ =
    std::max<Duration>(owned.grantsFrom_ - aNow, Duration::zero());
  if (!MayGrant(aCaps, aCap, aNow)) {
    return answer;
  }
  answer.owner_ = true;
  Refill(aCaps, aCap, aNow);
  answer.tokens_ =
    std::min(aAsk.tokens_, static_cast<std::uint32_t>(owned.tokens_));
  owned.tokens_ -= answer.tokens_;
  const std::uint32_t missing =
    aAsk.refused_ + (answer.tokens_ == 0 ? aAsk.tokens_ : 0);
  if (owned.tokens_ < 1.0) {
    answer.nextToken_ =
      FromSeconds((1.0 - owned.tokens_) / std::max(aCap.perSecond_, 1e-3));
    answer.retryAfter_ = QueueRefused(aCap, missing, aNow);
  }
  return answer;
}

void
TakeRelease(RateCaps& aCaps,
            RateCap& aCap,
            const CapMessage& aRelease,
            TimePoint aNow)
{
  OwnedCap& owned = aCap.owned_;
  if (!owned.active_ || !aRelease.owner_ || aNow >= owned.grantsFrom_) {
    return;
  }
  GrantFrom(owned, aNow);
  owned.tokens_ = aRelease.tokens_;
  Refill(aCaps, aCap, aNow);
}

// Only a daemon that has granted, or could have, knows what is left; otherwise
// a third one may still grant.
CapMessage
ReleaseCap(RateCaps& aCaps, DaemonId aTo, RateCap& aCap, TimePoint aNow)
{
  OwnedCap& owned = aCap.owned_;
  CapMessage answer;
  answer.kind_ = CapMessageKind::Release;
  const bool known = owned.active_ || (owned.endedAt_ != TimePoint{} &&
                                       aNow < owned.endedAt_ + kReleaseTime);
  if (known && aNow >= owned.grantsFrom_ && aNow >= owned.releasedUntil_) {
    Refill(aCaps, aCap, aNow);
    answer.owner_ = true;
    answer.tokens_ = static_cast<std::uint32_t>(owned.tokens_);
    owned.releasedTo_ = aTo;
    owned.releasedUntil_ = aNow + kReleaseTime;
    // Should it be the owner again, then of an empty bucket.
    owned.tokens_ = 0.0;
  }
  return answer;
}

// The change of one member costs one hash for each cap, and a search over all
// members only for the caps that it owned.
void
CapsAdoptView(RateCaps& aCaps,
              const CapView& aView,
              TimePoint aNow,
              CapOutput& aOut)
{
  const std::vector<DaemonId> before = std::move(aCaps.view_.members_);
  aCaps.view_ = aView;
  aCaps.mostEntryDaemons_ =
    std::max(aCaps.mostEntryDaemons_, aView.entryDaemons_);
  std::vector<DaemonId> added;
  std::set_difference(aView.members_.begin(),
                      aView.members_.end(),
                      before.begin(),
                      before.end(),
                      std::back_inserter(added));
  const bool removed = before.size() + added.size() > aView.members_.size();
  if (added.empty() && !removed) {
    return;
  }
  const bool grows = HasGrown(aCaps.grownTo_, aView.members_.size());
  for (auto& [organisation, cap] : aCaps.caps_) {
    cap.hint_ = DaemonId{};
    const bool ownerLost = removed && cap.owner_.IsValid() &&
                           !std::binary_search(aView.members_.begin(),
                                               aView.members_.end(),
                                               cap.owner_);
    if (ownerLost) {
      ChooseOwner(aCaps, cap);
    }
    if (grows) {
      AwaitMembers(cap.owned_, aNow);
    }
    for (const DaemonId member : added) {
      const std::uint64_t rank = Rank(organisation, member);
      if (rank > cap.ownerRank_) {
        cap.owner_ = member;
        cap.ownerRank_ = rank;
      }
    }
    ApplyOwner(aCaps, cap, ownerLost, aNow, aOut);
  }
}

} // namespace camphorfield
