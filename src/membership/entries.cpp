#include "membership/membership_internal.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace camphorfield {

namespace {

/** A member of the caller's own failure domain goes first while it has had
 * no more callers than the least used member and this share of the mean. */
constexpr double kNearbyShare = 0.15;

/** Weight of reported load above the mean, in mean shares. */
constexpr double kLoadWeight = 0.5;

/** Load above the mean that is not noise, per mille. */
constexpr double kLoadNoise = 100.0;

/** Callers handed out by one daemon before the counts are halved. */
constexpr std::uint32_t kHandedOutMost = 1U << 20U;

/** A member that may be listed. */
struct Candidate
{
  const MemberRecord* record_ = nullptr;
  std::uint32_t* handedOut_ = nullptr;
  double score_ = 0.0; ///< Callers had, with a surcharge for load.
  std::uint64_t tie_ = 0;
};

bool
MayBeListed(const MemberRecord& aRecord)
{
  return aRecord.state_ == MemberState::Alive && aRecord.ready_ &&
         !aRecord.callerAddress_.empty();
}

std::vector<Candidate>
FindCandidates(MembershipStep& aStep)
{
  MembershipState& state = aStep.state_;
  std::vector<Candidate> found;
  if (MayBeListed(state.self_)) {
    found.push_back({ &state.self_, &state.selfHandedOut_, 0.0, aStep.rng_() });
  }
  for (auto& [id, member] : state.members_) {
    if (MayBeListed(member.record_) && !member.doubted_) {
      found.push_back(
        { &member.record_, &member.handedOut_, 0.0, aStep.rng_() });
    }
  }
  return found;
}

/** Lower is better. */
void
Score(std::vector<Candidate>& aCandidates)
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
              return std::tie(aLeft.score_, aLeft.tie_) <
                     std::tie(aRight.score_, aRight.tie_);
            });
}

/** The nearest one goes first when that keeps the spread even. */
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
  if (nearby->score_ <= mean * (1.0 + kNearbyShare)) {
    std::rotate(aCandidates.begin(), nearby, nearby + 1);
  }
}

/** Takes one of each failure domain in turn, so that a caller that loses the
 * first address finds the next one elsewhere. */
std::vector<Candidate>
SpreadDomains(const std::vector<Candidate>& aCandidates)
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
    if (out.size() < kEntriesMost) {
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
  Score(candidates);
  PreferNearby(candidates, aRequest.failureDomain_);
  candidates = SpreadDomains(candidates);
  if (++*candidates.front().handedOut_ >= kHandedOutMost) {
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
