// Renders the metrics that show how a daemon copes with overload and with
// failing servers.
#include "ops/ops_metrics.h"

#include "core/result_func.h"
#include "daemon/daemon_func.h"
#include "order/order_func.h"
#include "publish/publish_func.h"
#include "route/route_func.h"
#include "table/uncovered_table.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace camphorfield {

namespace {

/** Copy of the rendered values, taken under the core's lock. */
struct Sample
{
  RouteStats route_;
  OrderStats order_;
  std::vector<ServerStatus> servers_;
  DaemonInFlight busy_;
  Generation generation_;
};

Sample
TakeSample(Host& aHost)
{
  return aHost.Read([](const DaemonState& aState) {
    Sample sample;
    sample.route_ = RouteStatistics(aState.route_);
    sample.order_ = OrderStatistics(aState.order_);
    sample.servers_ = RouteServers(aState.route_);
    sample.busy_ = GetInFlight(aState);
    const auto config = PublishCurrent(aState.publish_);
    sample.generation_ = config == nullptr ? Generation{} : config->generation_;
    return sample;
  });
}

/** Counter without labels. */
template<typename Stats>
struct CounterRow
{
  const char* name_;
  const char* help_;
  std::uint64_t Stats::*value_;
};

// clang-format off
constexpr CounterRow<RouteStats> kRouteCounters[] = {
  { "camphorfield_queries_total",              "Queries received",                     &RouteStats::queries_ },
  { "camphorfield_queries_complete_total",     "Queries answered with every shard",    &RouteStats::complete_ },
  { "camphorfield_queries_partial_total",      "Queries answered in part",             &RouteStats::partial_ },
  { "camphorfield_subs_primary_total",         "First attempts at a shard",            &RouteStats::primaries_ },
  { "camphorfield_subs_hedged_total",          "Duplicates against a slow server",     &RouteStats::hedges_ },
  { "camphorfield_subs_retried_total",         "Attempts after a failed one",          &RouteStats::retries_ },
  { "camphorfield_subs_discarded_total",       "Sub-answers with wrong labels",        &RouteStats::discarded_ },
  { "camphorfield_connections_opened_total",   "Connections asked for",                &RouteStats::opened_ },
  { "camphorfield_connections_silent_total",   "Connections closed as silent",         &RouteStats::silent_ },
  { "camphorfield_connections_over_cap_total", "Connections refused over the cap",     &RouteStats::overCap_ },
  { "camphorfield_servers_ejected_total",      "Ejections of servers",                 &RouteStats::ejections_ },
  { "camphorfield_server_crashes_total",       "Server crashes seen",                  &RouteStats::crashes_ },
  { "camphorfield_relayed_total",              "Sub-requests sent through home daemons", &RouteStats::relayed_ },
};

constexpr CounterRow<OrderStats> kOrderCounters[] = {
  { "camphorfield_orders_total",                 "Orders received",             &OrderStats::orders_ },
  { "camphorfield_order_claims_total",           "Claims stored",               &OrderStats::claims_ },
  { "camphorfield_order_platform_writes_total",  "Writes sent to the platform", &OrderStats::platformWrites_ },
  { "camphorfield_order_platform_reads_total",   "Reads sent to the platform",  &OrderStats::platformReads_ },
  { "camphorfield_orders_forwarded_total",       "Orders sent to other daemons", &OrderStats::forwarded_ },
  { "camphorfield_orders_dispatched_total",      "Orders given to a server",    &OrderStats::dispatched_ },
  { "camphorfield_orders_unknown_total",         "Outcomes told as unknown",    &OrderStats::unknown_ },
  { "camphorfield_orders_not_run_total",         "Outcomes told as not run",    &OrderStats::notRun_ },
};
// clang-format on

void
AddCounter(prometheus::Registry& aRegistry,
           const char* aName,
           const char* aHelp,
           const prometheus::Labels& aLabels,
           std::uint64_t aValue)
{
  prometheus::BuildCounter()
    .Name(aName)
    .Help(aHelp)
    .Register(aRegistry)
    .Add(aLabels)
    .Increment(static_cast<double>(aValue));
}

void
AddGauge(prometheus::Registry& aRegistry,
         const char* aName,
         const char* aHelp,
         const prometheus::Labels& aLabels,
         double aValue)
{
  prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(aRegistry)
    .Add(aLabels)
    .Set(aValue);
}

void
AddCodes(prometheus::Registry& aRegistry, const RouteStats& aStats)
{
  for (std::size_t i = 0; i < kResultCodes; ++i) {
    if (aStats.byCode_[i] > 0) {
      AddCounter(aRegistry,
                 "camphorfield_query_answers_total",
                 "Answers to queries by result",
                 { { "result", GetResultRow(ResultCode(i)).name_ } },
                 aStats.byCode_[i]);
    }
  }
  for (std::size_t i = 0; i < kUncoveredReasons; ++i) {
    AddCounter(aRegistry,
               "camphorfield_shards_uncovered_total",
               "Shards missing from answers by reason",
               { { "reason", kUncoveredReasonNames[i] } },
               aStats.uncovered_[i]);
  }
}

void
AddServers(prometheus::Registry& aRegistry,
           const std::vector<ServerStatus>& aServers)
{
  for (const ServerStatus& server : aServers) {
    const prometheus::Labels labels{ { "server", server.name_ },
                                     { "service", server.service_ } };
    AddGauge(aRegistry,
             "camphorfield_server_in",
             "1: the server gets new work",
             labels,
             server.in_ ? 1 : 0);
    AddGauge(aRegistry,
             "camphorfield_server_connections",
             "Connections counted against the lot",
             labels,
             server.connections_);
    AddGauge(aRegistry,
             "camphorfield_server_lot",
             "Connections that this daemon may hold",
             labels,
             server.connectionQuota_);
    AddGauge(aRegistry,
             "camphorfield_server_in_flight",
             "Requests on the server",
             labels,
             server.inFlight_);
  }
}

} // namespace

// Creates a registry for each request: the core owns the counters, and a
// lasting registry would be a second copy to keep in step.
std::string
RenderMetrics(Host& aHost)
{
  const Sample sample = TakeSample(aHost);
  prometheus::Registry registry;
  for (const CounterRow<RouteStats>& row : kRouteCounters) {
    AddCounter(registry, row.name_, row.help_, {}, sample.route_.*row.value_);
  }
  for (const CounterRow<OrderStats>& row : kOrderCounters) {
    AddCounter(registry, row.name_, row.help_, {}, sample.order_.*row.value_);
  }
  AddCodes(registry, sample.route_);
  AddServers(registry, sample.servers_);
  AddGauge(registry,
           "camphorfield_generation",
           "Configuration in force",
           {},
           static_cast<double>(sample.generation_.value_));
  AddGauge(registry,
           "camphorfield_queries_in_flight",
           "Queries without an answer yet",
           {},
           static_cast<double>(sample.busy_.queries_));
  AddGauge(registry,
           "camphorfield_orders_in_flight",
           "Orders without an answer yet",
           {},
           static_cast<double>(sample.busy_.orders_));
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, registry.Collect());
  return text.str();
}

} // namespace camphorfield
