// Renders who is refused by which limit. Labels hold names of organisations, at
// most kMaxOrganisationLabels and "other", and never keys.
#include "ops/organisation_metrics.h"

#include <prometheus/counter.h>

namespace camphorfield {

namespace {

/** Counter of the caps. */
struct CapCounterRow
{
  const char* name_;
  const char* help_;
  std::uint64_t CapStats::*value_;
};

// clang-format off
constexpr CapCounterRow kCapCounters[] = {
  { "camphorfield_gateway_cap_asks_total",      "Messages to owners of caps",                    &CapStats::asks_ },
  { "camphorfield_gateway_cap_granted_total",   "Tokens granted to other gateways",              &CapStats::granted_ },
  { "camphorfield_gateway_cap_refused_total",   "Requests refused above a cap",                  &CapStats::refused_ },
  { "camphorfield_gateway_cap_timeouts_total",  "Requests whose cap's owner did not answer",     &CapStats::timeouts_ },
  { "camphorfield_gateway_cap_fallback_total",  "Requests admitted without an owner of the cap", &CapStats::fallback_ },
  { "camphorfield_gateway_cap_takeovers_total", "Caps that this gateway became the owner of",    &CapStats::takeovers_ },
};

struct OutcomeRow
{
  const char* name_;
  std::uint64_t OrganisationStats::*value_;
};

constexpr OutcomeRow kOutcomes[] = {
  { "served",      &OrganisationStats::served_ },
  { "rate_capped", &OrganisationStats::rateCapped_ },
  { "overloaded",  &OrganisationStats::overloaded_ },
  { "other",       &OrganisationStats::other_ },
};
// clang-format on

void
AddCounter(prometheus::Registry& aRegistry,
           const char* aName,
           const char* aHelp,
           std::uint64_t aValue)
{
  prometheus::BuildCounter()
    .Name(aName)
    .Help(aHelp)
    .Register(aRegistry)
    .Add({})
    .Increment(static_cast<double>(aValue));
}

} // namespace

void
AddOrganisationMetrics(prometheus::Registry& aRegistry,
                       const GatewayState& aState)
{
  if (!aState.organisations_.configured_ && aState.organisationStats_.empty()) {
    return;
  }
  AddCounter(aRegistry,
             "camphorfield_gateway_stale_keys_total",
             "Unknown keys rejected with 503 while tables were stale",
             aState.stats_.staleKeyRejections_);
  AddCounter(aRegistry,
             "camphorfield_gateway_revoked_requests_total",
             "Requests in flight whose key was withdrawn",
             aState.stats_.revokedRuns_);
  for (const CapCounterRow& row : kCapCounters) {
    AddCounter(
      aRegistry, row.name_, row.help_, aState.caps_.stats_.*row.value_);
  }
  auto& outcomes =
    prometheus::BuildCounter()
      .Name("camphorfield_gateway_organisation_requests_total")
      .Help("Requests by organisation; the most often refused, and the others")
      .Register(aRegistry);
  for (const auto& [name, stats] : SummariseOrganisations(
         aState.organisationStats_, kMaxOrganisationLabels)) {
    for (const OutcomeRow& row : kOutcomes) {
      outcomes.Add({ { "organisation", name }, { "outcome", row.name_ } })
        .Increment(static_cast<double>(stats.*row.value_));
    }
  }
}

} // namespace camphorfield
