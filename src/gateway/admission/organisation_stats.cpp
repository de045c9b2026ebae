// Thousands of organisations must not become as many time series; those that
// are refused most are the ones that operators are asked about.
#include "gateway/admission/organisation_stats.h"

#include <algorithm>

namespace camphorfield {

void
CountOutcome(OrganisationStats& aStats, ProxyCode aCode)
{
  if (aCode <= ProxyCode::Merged) {
    ++aStats.served_;
  } else if (aCode == ProxyCode::RateCapped) {
    ++aStats.rateCapped_;
  } else if (aCode == ProxyCode::Overloaded) {
    ++aStats.overloaded_;
  } else {
    ++aStats.other_;
  }
}

std::vector<std::pair<std::string, OrganisationStats>>
SummariseOrganisations(const std::map<std::string, OrganisationStats>& aAll,
                       std::size_t aMost)
{
  std::vector<std::pair<std::string, OrganisationStats>> all(aAll.begin(),
                                                             aAll.end());
  if (all.size() <= aMost) {
    return all;
  }
  std::stable_sort(
    all.begin(), all.end(), [](const auto& aLeft, const auto& aRight) {
      const auto rejected = [](const OrganisationStats& aStats) {
        return aStats.rateCapped_ + aStats.overloaded_;
      };
      return rejected(aLeft.second) > rejected(aRight.second);
    });
  OrganisationStats rest;
  for (std::size_t i = aMost; i < all.size(); ++i) {
    rest.served_ += all[i].second.served_;
    rest.rateCapped_ += all[i].second.rateCapped_;
    rest.overloaded_ += all[i].second.overloaded_;
    rest.other_ += all[i].second.other_;
  }
  all.resize(aMost);
  all.emplace_back("other", rest);
  return all;
}

} // namespace camphorfield
