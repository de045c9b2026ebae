// Keeping the smallest hashes makes the join commutative, associative and
// idempotent within a fixed size.
#include "core/crash_evidence.h"

#include <algorithm>

namespace camphorfield {

namespace {

void
Insert(std::vector<std::uint64_t>& aHashes,
       std::uint64_t aHash,
       std::size_t aMost)
{
  const auto place = std::lower_bound(aHashes.begin(), aHashes.end(), aHash);
  if (place != aHashes.end() && *place == aHash) {
    return;
  }
  aHashes.insert(place, aHash);
  aHashes.resize(std::min(aHashes.size(), aMost));
}

bool
HasTimes(const CrashEvidence& aEvidence)
{
  return !aEvidence.moments_.empty() || aEvidence.firstCrashedBy_ != 0 ||
         aEvidence.lastAliveAt_ != 0;
}

/** Least distance of the first crash and the last one, as far as it is known.
 * Servers that crash together may be found crashed at different times, but none
 * of them is alive after another one has crashed. */
std::uint64_t
ProvenDistance(const CrashEvidence& aEvidence)
{
  const std::vector<std::uint64_t>& moments = aEvidence.moments_;
  const std::uint64_t ofMoments =
    moments.empty() ? 0 : moments.back() - moments.front();
  const bool isApart = aEvidence.firstCrashedBy_ != 0 &&
                       aEvidence.lastAliveAt_ > aEvidence.firstCrashedBy_;
  return std::max(ofMoments,
                  isApart ? aEvidence.lastAliveAt_ - aEvidence.firstCrashedBy_
                          : std::uint64_t{ 0 });
}

bool
HasMoments(const CrashEvidence& aEvidence)
{
  if (!HasTimes(aEvidence)) {
    return true;
  }
  const std::uint64_t distance = ProvenDistance(aEvidence);
  if (IsExact(aEvidence)) {
    return distance > 1;
  }
  return aEvidence.moments_.size() >= kMomentsToQuarantine ||
         distance >= kDistantMoments;
}

void
JoinTimes(CrashEvidence& aInto,
          std::uint64_t aCrashedBy,
          std::uint64_t aAliveAt)
{
  if (aCrashedBy != 0 &&
      (aInto.firstCrashedBy_ == 0 || aCrashedBy < aInto.firstCrashedBy_)) {
    aInto.firstCrashedBy_ = aCrashedBy;
  }
  aInto.lastAliveAt_ = std::max(aInto.lastAliveAt_, aAliveAt);
}

} // namespace

void
AddCrash(CrashEvidence& aEvidence, const ServerCrash& aCrash)
{
  Insert(aEvidence.servers_, aCrash.server_, kServersToQuarantine);
  Insert(aEvidence.requests_, aCrash.request_, kRequestsToQuarantine);
  if (aCrash.moment_ != 0) {
    Insert(aEvidence.moments_, aCrash.moment_, kMomentsToQuarantine);
  }
  JoinTimes(aEvidence, aCrash.crashedBy_, aCrash.aliveAt_);
}

bool
RefuteEvidence(CrashEvidence& aEvidence)
{
  if (aEvidence.servers_.empty()) {
    return false;
  }
  aEvidence = CrashEvidence{ aEvidence.epoch_ + 1, {}, {}, {}, 0, 0 };
  return true;
}

bool
JoinEvidence(CrashEvidence& aInto, const CrashEvidence& aFrom)
{
  if (aFrom.epoch_ < aInto.epoch_) {
    return false;
  }
  const CrashEvidence before = aInto;
  if (aFrom.epoch_ > aInto.epoch_) {
    aInto = CrashEvidence{ aFrom.epoch_, {}, {}, {}, 0, 0 };
  }
  for (const std::uint64_t server : aFrom.servers_) {
    Insert(aInto.servers_, server, kServersToQuarantine);
  }
  for (const std::uint64_t request : aFrom.requests_) {
    Insert(aInto.requests_, request, kRequestsToQuarantine);
  }
  for (const std::uint64_t moment : aFrom.moments_) {
    Insert(aInto.moments_, moment, kMomentsToQuarantine);
  }
  JoinTimes(aInto, aFrom.firstCrashedBy_, aFrom.lastAliveAt_);
  return aInto != before;
}

bool
IsSilenceReport(const CrashEvidence& aEvidence)
{
  return aEvidence.servers_.size() == 1 && aEvidence.requests_.empty() &&
         aEvidence.firstCrashedBy_ != 0;
}

bool
IsExact(const CrashEvidence& aEvidence)
{
  const std::uint64_t moment =
    aEvidence.moments_.empty() ? 0 : aEvidence.moments_.front();
  const std::uint64_t times =
    moment | aEvidence.firstCrashedBy_ | aEvidence.lastAliveAt_;
  return !HasTimes(aEvidence) || (times & kExactMoment) != 0;
}

bool
IsConclusive(const CrashEvidence& aEvidence)
{
  return aEvidence.servers_.size() >= kServersToQuarantine &&
         aEvidence.requests_.size() >= kRequestsToQuarantine &&
         HasMoments(aEvidence);
}

} // namespace camphorfield
