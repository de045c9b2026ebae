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

} // namespace

void
AddCrash(CrashEvidence& aEvidence,
         std::uint64_t aServer,
         std::uint64_t aRequest)
{
  Insert(aEvidence.servers_, aServer, kCrashesToConvict);
  Insert(aEvidence.requests_, aRequest, kRequestsToConvict);
}

bool
RefuteEvidence(CrashEvidence& aEvidence)
{
  if (aEvidence.servers_.empty()) {
    return false;
  }
  ++aEvidence.epoch_;
  aEvidence.servers_.clear();
  aEvidence.requests_.clear();
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
    aInto = CrashEvidence{ aFrom.epoch_, {}, {} };
  }
  for (const std::uint64_t server : aFrom.servers_) {
    Insert(aInto.servers_, server, kCrashesToConvict);
  }
  for (const std::uint64_t request : aFrom.requests_) {
    Insert(aInto.requests_, request, kRequestsToConvict);
  }
  return aInto != before;
}

bool
IsConclusive(const CrashEvidence& aEvidence)
{
  return aEvidence.servers_.size() >= kCrashesToConvict &&
         aEvidence.requests_.size() >= kRequestsToConvict;
}

} // namespace camphorfield
