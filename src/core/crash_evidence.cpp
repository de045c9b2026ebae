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
HasMoments(const std::vector<std::uint64_t>& aMoments)
{
  if (aMoments.empty()) {
    return true;
  }
  if ((aMoments.front() & kExactMoment) != 0) {
    return aMoments.back() - aMoments.front() > 1;
  }
  return aMoments.size() >= kMomentsToQuarantine ||
         aMoments.back() - aMoments.front() >= kDistantMoments;
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
}

bool
RefuteEvidence(CrashEvidence& aEvidence)
{
  if (aEvidence.servers_.empty()) {
    return false;
  }
  aEvidence = CrashEvidence{ aEvidence.epoch_ + 1, {}, {}, {} };
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
    aInto = CrashEvidence{ aFrom.epoch_, {}, {}, {} };
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
  return aInto != before;
}

bool
IsConclusive(const CrashEvidence& aEvidence)
{
  return aEvidence.servers_.size() >= kServersToQuarantine &&
         aEvidence.requests_.size() >= kRequestsToQuarantine &&
         HasMoments(aEvidence.moments_);
}

} // namespace camphorfield
