// Chooses the daemons that a caller should use: spreads callers evenly over the
// fleet, by load and failure domain, without coordination between daemons.

#include "membership/membership_internal.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace camphorfield {

namespace {

/** A member of the caller's failure domain goes first while its score is at
 * most the mean plus this share of it. */
constexpr double kNearbyTolerance = 0.15;

/** Weight of load above the mean, in multiples of the mean caller count. */
constexpr double kLoadWeight = 0.5;

/** Load above the mean up to here is noise, per mille. */
constexpr double kLoadNoise = 100.0;

/** Count of one member at which all counts are halved. */
constexpr std::uint32_t kMaxHandedOut = 1U << 20U;

/** A member that may be listed, and its rank. */
struct Candidate
{
  const MemberRecord* record_ = nullptr;
  std::uint32_t* handedOut_ = nullptr;
  double score_ = 0.0; ///< Callers sent to it, plus a surcharge for load.
  std::uint64_t tieBreaker_ = 0;
};

bool
IsListable(const MemberRecord& aRecord)
{
  return aRecord.state_ == MemberState::Alive && aRecord.ready_ &&
         !aRecord.callerAddress_.empty();
}

std::vector<Candidate>
FindCandidates(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  std::vector<Candidate> found;
  if (IsListable(state.self_)) {
    found.push_back({ &state.self_, &state.selfHandedOut_, 0.0, aStep.rng_() });
  }
  for (auto& [id, member] : state.members_) {
    if (IsListable(member.record_) && !member.suspectedLocally_) {
      found.push_back(
        { &member.record_, &member.handedOut_, 0.0, aStep.rng_() });
    }
  }
  return found;
}

/** Sorts by callers already sent and by load; ties are broken at random. */
void
ScoreCandidates(std::vector<Candidate>& aCandidates)
{
  double load = 0.0;
  double handedOut = 0.0;
  for (const Candidate& candidate : aCandidates) {
    load += candidate.record_->load_;
    handedOut += *candidate.handedOut_;
  }
  const auto count = static_cast<double>(aCandidates.size());
  load /= count;
  handedOut /= count;
  for (Candidate& candidate : aCandidates) {
    const double above = candidate.record_->load_ - load;
    const double surcharge =
      above > kLoadNoise ? kLoadWeight * (handedOut + 1.0) * above / 1000.0
                         : 0.0;
    candidate.score_ = *candidate.handedOut_ + surcharge;
  }
  std::sort(aCandidates.begin(),
            aCandidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return std::tie(aLeft.score_, aLeft.tieBreaker_) <
                     std::tie(aRight.score_, aRight.tieBreaker_);
            });
}

/** Moves the best candidate of the caller's failure domain to the front, if
 * that keeps the spread even. */
void
PreferNearby(std::vector<Candidate>& aCandidates, const std::string& aDomain)
{
  const auto nearby =
    std::find_if(aCandidates.begin(),
                 aCandidates.end(),
                 [&aDomain](const Candidate& aCandidate) {
                   return aCandidate.record_->failureDomain_ == aDomain;
                 });
  if (nearby == aCandidates.end()) {
    return;
  }
  double mean = 0.0;
  for (const Candidate& candidate : aCandidates) {
    mean += candidate.score_ / static_cast<double>(aCandidates.size());
  }
  if (nearby->score_ <= mean * (1.0 + kNearbyTolerance)) {
    std::rotate(aCandidates.begin(), nearby, nearby + 1);
  }
}

/** Takes one of each failure domain in turn, so that a caller whose first
 * address fails has the next one in another domain. */
std::vector<Candidate>
AlternateDomains(const std::vector<Candidate>& aCandidates)
{
  std::map<std::string, std::size_t> seen;
  std::vector<std::pair<std::size_t, const Candidate*>> ranked;
  ranked.reserve(aCandidates.size());
  for (const Candidate& candidate : aCandidates) {
    ranked.emplace_back(seen[candidate.record_->failureDomain_]++, &candidate);
  }
  std::stable_sort(
    ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  std::vector<Candidate> out;
  for (const auto& [rank, candidate] : ranked) {
    if (out.size() < kMaxEntries) {
      out.push_back(*candidate);
    }
  }
  return out;
}

void
HalveCounts(MembershipState& aState)
{
  aState.selfHandedOut_ /= 2;
  for (auto& [id, member] : aState.members_) {
    member.handedOut_ /= 2;
  }
}

} // namespace

EntriesAnswer
ChooseEntries(MembershipStep& aStep, const EntriesRequest& aRequest)
{
  MembershipState& state = aStep.state_;
  EntriesAnswer answer;
  answer.id_ = aRequest.id_;
  answer.tokensRequested_ = aRequest.tokens_;
  answer.keepFor_ = state.settings_.entriesKeepFor_;
  std::vector<Candidate> candidates = FindCandidates(aStep);
  if (candidates.empty()) {
    answer.code_ = state.self_.state_ == MemberState::Leaving
                     ? ResultCode::Stopping
                     : ResultCode::NotReady;
    return answer;
  }
  ScoreCandidates(candidates);
  PreferNearby(candidates, aRequest.failureDomain_);
  candidates = AlternateDomains(candidates);
  if (++*candidates.front().handedOut_ >= kMaxHandedOut) {
    HalveCounts(state);
  }
  for (const Candidate& candidate : candidates) {
    const MemberRecord& record = *candidate.record_;
    answer.entries_.push_back(
      { record.callerAddress_, record.failureDomain_, record.name_ });
  }
  return answer;
}

} // namespace camphorfield
