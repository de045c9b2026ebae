// Renders the metrics that show how a gateway copes with overload and with
// failing servers.
#include "ops/gateway_metrics.h"

#include "gateway/gateway_func.h"
#include "observe/log.h"
#include "ops/organisation_metrics.h"
#include "table/proxy_table.h"

#include <limits>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace camphorfield {

namespace {

/** Label values are bounded: anyone may write objects to the store. */
constexpr std::size_t kMaxDomainsShown = 32;

/** Counter without labels. */
struct CounterRow
{
  const char* name_;
  const char* help_;
  std::uint64_t GatewayStats::*value_;
};

// clang-format off
constexpr CounterRow kCounters[] = {
  { "camphorfield_gateway_late_total",             "Successes after their latency objective",     &GatewayStats::late_ },
  { "camphorfield_gateway_partial_total",          "Successes with shards left out",              &GatewayStats::partial_ },
  { "camphorfield_gateway_shards_asked_total",     "Shards of answered queries",                  &GatewayStats::shardsAsked_ },
  { "camphorfield_gateway_shards_missing_total",   "Of these, left out of the answer",            &GatewayStats::shardsMissing_ },
  { "camphorfield_gateway_callers_gone_total",     "Callers that left before the answer",         &GatewayStats::callersGone_ },
  { "camphorfield_gateway_first_sends_total",      "First requests to a service",                 &GatewayStats::firstSends_ },
  { "camphorfield_gateway_hedges_total",           "Requests sent to beat a slow server",         &GatewayStats::hedges_ },
  { "camphorfield_gateway_hedges_won_total",       "Of these, answered first",                    &GatewayStats::hedgesWon_ },
  { "camphorfield_gateway_retries_total",          "Requests sent after a failed one",            &GatewayStats::retries_ },
  { "camphorfield_gateway_far_sends_total",        "Sends to servers of other failure domains",   &GatewayStats::crossDomainSends_ },
  { "camphorfield_gateway_budget_denied_total",    "Hedges and retries that the budget denied",   &GatewayStats::budgetDenied_ },
  { "camphorfield_gateway_connects_total",         "Connections to servers asked for",            &GatewayStats::connects_ },
  { "camphorfield_gateway_connections_closed_total", "Idle connections to servers closed for others", &GatewayStats::connectionsClosed_ },
  { "camphorfield_gateway_connections_delayed_total", "Connections to servers that waited for a descriptor", &GatewayStats::connectionsDelayed_ },
  { "camphorfield_gateway_abandoned_total",        "Unneeded requests left to finish at servers", &GatewayStats::abandoned_ },
  { "camphorfield_gateway_shed_total",             "Answers of servers that say not run",         &GatewayStats::shed_ },
  { "camphorfield_gateway_ejections_total",        "Servers set aside",                           &GatewayStats::ejections_ },
  { "camphorfield_gateway_garbled_total",          "Answers that belong to no request",           &GatewayStats::garbled_ },
  { "camphorfield_gateway_leavings_total",         "Servers that said in answers that they leave", &GatewayStats::leavings_ },
  { "camphorfield_gateway_pauses_total",           "Answers of servers that asked for a pause",   &GatewayStats::pauses_ },
  { "camphorfield_gateway_malformed_guidance_total", "Answers of servers with unreadable guidance", &GatewayStats::malformedGuidance_ },
  { "camphorfield_gateway_limits_total",           "Times that a server began to name a limit",   &GatewayStats::limits_ },
  { "camphorfield_gateway_limit_rejections_total", "Requests rejected for limits of servers",     &GatewayStats::limitRejections_ },
  { "camphorfield_gateway_evacuations_total",      "Evacuations of failure domains begun",        &GatewayStats::evacuations_ },
  { "camphorfield_gateway_evacuated_parts_total",  "Waiting parts that lost all servers to evacuations", &GatewayStats::evacuatedParts_ },
  { "camphorfield_gateway_cold_phases_total",      "Times that a server with a limit became cold", &GatewayStats::coldPhases_ },
  { "camphorfield_gateway_cold_sends_total",       "Requests sent to cold servers",               &GatewayStats::coldSends_ },
  { "camphorfield_gateway_crashes_suspected_total", "Requests in flight when their server crashed", &GatewayStats::crashesSuspected_ },
  { "camphorfield_gateway_crashes_refuted_total", "Of these, whose server turned out to run",   &GatewayStats::crashesRefuted_ },
  { "camphorfield_gateway_silences_reported_total", "Reports to other daemons of silent servers", &GatewayStats::silencesReported_ },
  { "camphorfield_gateway_silent_attempts_total", "Requests without an answer from servers that were silent",   &GatewayStats::silentAttempts_ },
};

/** Counter of the spread of tables. */
struct SyncCounterRow
{
  const char* name_;
  const char* help_;
  std::uint64_t TableSyncStats::*value_;
};

constexpr SyncCounterRow kSyncCounters[] = {
  { "camphorfield_gateway_feed_gaps_total",        "Feed messages after ones that were lost",     &TableSyncStats::feedGaps_ },
  { "camphorfield_gateway_whole_tables_total",     "Whole tables taken from another gateway",     &TableSyncStats::wholeTables_ },
  { "camphorfield_gateway_stalled_watches_total",  "Watches of the store that a peer was ahead of", &TableSyncStats::stalledWatches_ },
  { "camphorfield_gateway_config_lags_total",      "Times that the configuration was behind",     &TableSyncStats::configLags_ },
};
// clang-format on

/** Registers the counters of a table whose values are members of aStats. */
template<typename Row, typename Stats, std::size_t N>
void
AddCounterRows(prometheus::Registry& aRegistry,
               const Row (&aRows)[N],
               const Stats& aStats)
{
  for (const Row& row : aRows) {
    prometheus::BuildCounter()
      .Name(row.name_)
      .Help(row.help_)
      .Register(aRegistry)
      .Add({})
      .Increment(static_cast<double>(aStats.*row.value_));
  }
}

void
AddCounters(prometheus::Registry& aRegistry, const GatewayStats& aStats)
{
  AddCounterRows(aRegistry, kCounters, aStats);
  auto& outcomes = prometheus::BuildCounter()
                     .Name("camphorfield_gateway_requests_total")
                     .Help("Requests by outcome")
                     .Register(aRegistry);
  for (const ProxyRow& row : kProxyTable) {
    const auto index = static_cast<std::size_t>(row.code_);
    outcomes.Add({ { "outcome", row.name_ } })
      .Increment(static_cast<double>(aStats.byCode_[index]));
  }
}

void
AddLimitCounters(prometheus::Registry& aRegistry, const MemoryAccount& aAccount)
{
  auto& family = prometheus::BuildCounter()
                   .Name("camphorfield_gateway_limit_reached_total")
                   .Help("Refusals and closed connections by limit")
                   .Register(aRegistry);
  for (std::size_t i = 0; i < static_cast<std::size_t>(MemoryLimit::End); ++i) {
    const auto limit = static_cast<MemoryLimit>(i);
    family.Add({ { "limit", std::string(LimitName(limit)) } })
      .Increment(static_cast<double>(aAccount.Counted(limit)));
  }
}

void
AddGauge(prometheus::Registry& aRegistry,
         const char* aName,
         const char* aHelp,
         double aValue)
{
  prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(aRegistry)
    .Add({})
    .Set(aValue);
}

void
AddEvacuationGauges(prometheus::Registry& aRegistry, const GatewayHost& aHost)
{
  const GatewayState& state = aHost.State();
  auto& domains = prometheus::BuildGauge()
                    .Name("camphorfield_gateway_evacuated")
                    .Help("Failure domains that are evacuated")
                    .Register(aRegistry);
  std::size_t shown = 0;
  for (const auto& [domain, since] : state.evacuations_.since_) {
    if (++shown > kMaxDomainsShown) {
      break;
    }
    domains.Add({ { "domain", domain } }).Set(1.0);
  }
  AddGauge(aRegistry,
           "camphorfield_gateway_evacuations_known",
           "Whether the table of evacuations has been read, if there is one",
           aHost.KnowsEvacuations() ? 1.0 : 0.0);
  AddGauge(aRegistry,
           "camphorfield_gateway_cold_servers",
           "Servers with a limit that are cold",
           static_cast<double>(CountColdServers(state)));
  AddGauge(aRegistry,
           "camphorfield_gateway_cold_owners",
           "Daemons that share the slots of cold servers; 0: this one has none",
           static_cast<double>(state.coldPlan_.owners_.size()));
}

void
AddGauges(prometheus::Registry& aRegistry, const GatewayHost& aHost)
{
  const GatewayState& state = aHost.State();
  AddGauge(aRegistry,
           "camphorfield_gateway_in_flight",
           "Requests without an answer",
           static_cast<double>(aHost.InFlight()));
  AddGauge(aRegistry,
           "camphorfield_gateway_config_version",
           "Configuration in force",
           state.config_ == nullptr
             ? 0.0
             : static_cast<double>(state.config_->version_));
  AddGauge(aRegistry,
           "camphorfield_gateway_servers",
           "Servers listed",
           static_cast<double>(state.backendOf_.size()));
  AddGauge(aRegistry,
           "camphorfield_gateway_daemons",
           "Daemons that share budgets and connections",
           static_cast<double>(state.daemons_));
  AddGauge(aRegistry,
           "camphorfield_gateway_store_calls",
           "Calls to the platform's store since the start",
           static_cast<double>(aHost.StoreCalls()));
  AddGauge(aRegistry,
           "camphorfield_gateway_unreadable_store_values",
           "Values in the store's replies that could not be read",
           static_cast<double>(aHost.UnreadableStoreValues()));
  const MemoryBudget& memory = aHost.Memory().Budget();
  AddGauge(aRegistry,
           "camphorfield_gateway_held_bytes",
           "Memory held for callers, servers and other gateways",
           static_cast<double>(memory.used_));
  AddGauge(aRegistry,
           "camphorfield_gateway_held_bytes_limit",
           "Limit of the memory held for others",
           static_cast<double>(memory.limit_));
  AddGauge(aRegistry,
           "camphorfield_gateway_holders",
           "Connections in the memory account",
           static_cast<double>(memory.holders_.size()));
  AddGauge(aRegistry,
           "camphorfield_gateway_evidence_calls",
           "Calls to the store for crash evidence since the start",
           static_cast<double>(aHost.Evidence().calls_));
  AddGauge(aRegistry,
           "camphorfield_gateway_evidence_calls_failed",
           "Of these, refused, without an answer or in conflict",
           static_cast<double>(aHost.Evidence().failedCalls_));
  AddEvacuationGauges(aRegistry, aHost);
  AddGauge(aRegistry,
           "camphorfield_log_lines_dropped",
           "Lines not written since the start",
           static_cast<double>(CountDroppedLines()));
}

/** Histogram of observed by expected answer times; empty by count. */
prometheus::MetricFamily
MakePlacementErrors(const PlacementState& aState)
{
  prometheus::MetricFamily family;
  family.name = "camphorfield_gateway_placement_error";
  family.help = "Observed by expected answer time of requests to servers";
  family.type = prometheus::MetricType::Histogram;
  prometheus::ClientMetric metric;
  std::uint64_t count = 0;
  for (std::size_t i = 0; i < aState.errorCounts_.size(); ++i) {
    count += aState.errorCounts_[i];
    metric.histogram.bucket.push_back(
      { count,
        i < kCostErrorBounds.size()
          ? kCostErrorBounds[i]
          : std::numeric_limits<double>::infinity() });
  }
  metric.histogram.sample_count = count;
  metric.histogram.sample_sum = aState.errorSum_;
  if (count > 0) {
    family.metric.push_back(std::move(metric));
  }
  return family;
}

} // namespace

std::string
RenderGatewayMetrics(const GatewayHost& aHost)
{
  prometheus::Registry registry;
  const GatewayState& state = aHost.State();
  AddCounters(registry, state.stats_);
  AddCounterRows(registry, kSyncCounters, aHost.SyncStats());
  AddLimitCounters(registry, aHost.Memory());
  AddGauges(registry, aHost);
  AddOrganisationMetrics(registry, state);
  std::vector<prometheus::MetricFamily> families = registry.Collect();
  prometheus::MetricFamily latency;
  latency.name = "camphorfield_gateway_request_seconds";
  latency.help = "Time from a request's arrival to its success";
  latency.type = prometheus::MetricType::Histogram;
  for (const auto& [route, load] : state.loads_) {
    prometheus::ClientMetric metric;
    metric.label.push_back({ "route", route });
    std::uint64_t count = 0;
    for (std::size_t i = 0; i < load.answerTimeCounts_.size(); ++i) {
      count += load.answerTimeCounts_[i];
      const double bound =
        i < kAnswerTimeBounds.size()
          ? static_cast<double>(kAnswerTimeBounds[i].count()) / 1e6
          : std::numeric_limits<double>::infinity();
      metric.histogram.bucket.push_back({ count, bound });
    }
    metric.histogram.sample_count = count;
    metric.histogram.sample_sum = load.answerTimeSum_;
    if (count > 0) {
      latency.metric.push_back(std::move(metric));
    }
  }
  families.push_back(std::move(latency));
  families.push_back(MakePlacementErrors(state.placement_));
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, families);
  return text.str();
}

} // namespace camphorfield
