// Rumors of leaving servers and quarantined content: merged, sent a limited
// number of times, then in rotation for daemons that missed them or joined
// later.
//
// A crash of servers of many shards leaves weak evidence against each query in
// flight there, hundreds of rumors at once, which the budget delays by seconds.
// Evidence that is close to a decision goes first, and has a part of the budget
// for itself.

#include "core/hash_func.h"
#include "membership/membership_internal.h"

#include <algorithm>

namespace camphorfield {

namespace {

constexpr std::uint64_t kLeavingSeed = 1;
constexpr std::uint64_t kQuarantineSeed = 2;
constexpr std::size_t kRumorBytes = 26; ///< Without names and hashes.
constexpr std::size_t kHashBytes = 10;  ///< Hash in a message.

/** Reports of the same leaving server within this time count as one rumor:
 * several daemons detect it independently. */
constexpr Duration kDuplicateRumorWindow = 5s;

std::uint64_t
KeyOf(const Rumor& aRumor)
{
  if (const auto* leaving = std::get_if<LeavingRumor>(&aRumor)) {
    return HashText(leaving->server_, kLeavingSeed);
  }
  return HashPair(std::get<QuarantineRumor>(aRumor).fingerprint_.value_,
                  kQuarantineSeed);
}

std::int64_t
ExpiryOf(const Rumor& aRumor)
{
  if (const auto* leaving = std::get_if<LeavingRumor>(&aRumor)) {
    return leaving->unixMicros_ + kLeavingRumorLifetime.count();
  }
  return std::get<QuarantineRumor>(aRumor).untilUnixMicros_;
}

bool
IsNewer(const LeavingRumor& aNew, const LeavingRumor& aOld)
{
  if (aNew.leaving_ == aOld.leaving_) {
    return aNew.unixMicros_ > aOld.unixMicros_ + kDuplicateRumorWindow.count();
  }
  return aNew.unixMicros_ > aOld.unixMicros_;
}

/** Merges a rumor into the known one; true if that has changed. A later leaving
 * rumor replaces an earlier one. Crash count, evidence and expiry of a
 * quarantine are joined, so the order of arrival does not matter. */
bool
MergeRumor(const Rumor& aNew, Rumor& aOld)
{
  if (const auto* leaving = std::get_if<LeavingRumor>(&aNew)) {
    auto& old = std::get<LeavingRumor>(aOld);
    if (!IsNewer(*leaving, old)) {
      return false;
    }
    old = *leaving;
    return true;
  }
  const auto& fresh = std::get<QuarantineRumor>(aNew);
  auto& old = std::get<QuarantineRumor>(aOld);
  const bool joined = JoinEvidence(old.evidence_, fresh.evidence_);
  if (!joined && fresh.crashes_ <= old.crashes_ &&
      fresh.untilUnixMicros_ <= old.untilUnixMicros_) {
    return false;
  }
  old.crashes_ = std::max(old.crashes_, fresh.crashes_);
  old.untilUnixMicros_ = std::max(old.untilUnixMicros_, fresh.untilUnixMicros_);
  return true;
}

/** Evidence is conclusive with crashes under two requests for a content. One
 * request that was in flight on many servers when they crashed is frequent, but
 * its content is to be probed if it comes again. */
RumorRank
RankOf(const Rumor& aRumor)
{
  const auto* quarantine = std::get_if<QuarantineRumor>(&aRumor);
  if (quarantine == nullptr || quarantine->crashes_ > 0) {
    return RumorRank::First;
  }
  const CrashEvidence& evidence = quarantine->evidence_;
  return evidence.requests_.size() > 1 ? RumorRank::First
         : evidence.servers_.size() > 1 || IsSilenceReport(evidence)
           ? RumorRank::Second
           : RumorRank::Last;
}

std::size_t
RumorBytes(const Rumor& aRumor)
{
  if (const auto* leaving = std::get_if<LeavingRumor>(&aRumor)) {
    return kRumorBytes + leaving->server_.size();
  }
  const CrashEvidence& evidence = std::get<QuarantineRumor>(aRumor).evidence_;
  const std::size_t times = (evidence.firstCrashedBy_ != 0 ? 1U : 0U) +
                            (evidence.lastAliveAt_ != 0 ? 1U : 0U);
  return kRumorBytes +
         kHashBytes * (evidence.servers_.size() + evidence.requests_.size() +
                       evidence.moments_.size() + times);
}

bool
AddRumor(GossipPayload& aPayload, const Rumor& aRumor, std::size_t aBudget)
{
  const std::size_t bytes = RumorBytes(aRumor);
  if (aPayload.bytes_ + bytes > aBudget) {
    return false;
  }
  aPayload.bytes_ += bytes;
  aPayload.rumors_.push_back(aRumor);
  return true;
}

} // namespace

bool
LearnRumor(MembershipStep& aStep, const Rumor& aRumor)
{
  MembershipState& state = aStep.state_;
  if (ExpiryOf(aRumor) <= aStep.now_.unixMicros_) {
    return false;
  }
  const std::uint64_t key = KeyOf(aRumor);
  const auto found = state.rumors_.find(key);
  if (found != state.rumors_.end()) {
    if (!MergeRumor(aRumor, found->second.rumor_)) {
      return false;
    }
  } else if (state.rumors_.size() >= kMaxRumors) {
    return false;
  } else {
    state.rumors_[key].rumor_ = aRumor;
  }
  KnownRumor& known = state.rumors_[key];
  known.expiresUnixMicros_ = ExpiryOf(known.rumor_);
  // A refutation spreads like the evidence.
  const RumorRank rank = std::min(known.rank_, RankOf(known.rumor_));
  if (known.sendsLeft_ == 0 || rank != known.rank_) {
    state.rumorQueues_[static_cast<std::size_t>(rank)].push_front(key);
  }
  known.rank_ = rank;
  known.sendsLeft_ = RetransmitLimit(state, kRetransmitFactor);
  state.burstPending_ = state.burstPending_ || rank != RumorRank::Last;
  return true;
}

void
AddRumors(MembershipState& aState,
          GossipPayload& aPayload,
          RumorRank aRank,
          std::size_t aBudget)
{
  std::deque<std::uint64_t>& queue =
    aState.rumorQueues_[static_cast<std::size_t>(aRank)];
  std::vector<std::uint64_t> requeued;
  while (!queue.empty()) {
    const std::uint64_t key = queue.front();
    const auto found = aState.rumors_.find(key);
    if (found == aState.rumors_.end() || found->second.sendsLeft_ == 0 ||
        found->second.rank_ != aRank) {
      queue.pop_front();
      continue;
    }
    if (!AddRumor(aPayload, found->second.rumor_, aBudget)) {
      break;
    }
    queue.pop_front();
    if (--found->second.sendsLeft_ > 0) {
      requeued.push_back(key);
    }
  }
  queue.insert(queue.end(), requeued.begin(), requeued.end());
}

void
AddRotatedRumor(MembershipState& aState,
                GossipPayload& aPayload,
                std::size_t aBudget)
{
  auto next = aState.rumors_.upper_bound(aState.rumorRotation_);
  if (next == aState.rumors_.end()) {
    next = aState.rumors_.begin();
  }
  if (next != aState.rumors_.end() && next->second.sendsLeft_ == 0 &&
      AddRumor(aPayload, next->second.rumor_, aBudget)) {
    aState.rumorRotation_ = next->first;
  }
}

void
RemoveExpiredRumors(MembershipStep& aStep)
{
  const std::int64_t now = aStep.now_.unixMicros_;
  std::erase_if(aStep.state_.rumors_, [now](const auto& aEntry) {
    return aEntry.second.expiresUnixMicros_ <= now;
  });
}

} // namespace camphorfield
