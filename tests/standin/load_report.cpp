// Computes the figures of a load run and writes them as JSON.
#include "standin/load_type.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>

namespace camphorfield::standin {

namespace json = boost::json;

namespace {

constexpr double kMicrosPerMs = 1000;

double
RoundToMicros(double aMs)
{
  return std::round(aMs * kMicrosPerMs) / kMicrosPerMs;
}

/** Quantile of a sorted list; zero when it is empty. */
double
Quantile(const std::vector<double>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return 0;
  }
  const double rank =
    std::ceil(aQuantile * static_cast<double>(aSorted.size()));
  const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return RoundToMicros(aSorted[std::min(index, aSorted.size() - 1)]);
}

json::object
Quantiles(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return {
    { "count", aValues.size() },          { "p50", Quantile(aValues, 0.5) },
    { "p90", Quantile(aValues, 0.9) },    { "p99", Quantile(aValues, 0.99) },
    { "p999", Quantile(aValues, 0.999) }, { "max", Quantile(aValues, 1.0) }
  };
}

/** Figures over a set of requests. */
struct Figures
{
  std::vector<double> ms_;        ///< Of answers that carry a result.
  std::vector<double> refusedMs_; ///< Of answers "not run".
  std::map<std::string, std::uint64_t> codes_;
  std::map<std::string, std::uint64_t> runStates_;
  std::uint64_t sent_ = 0;
  std::uint64_t complete_ = 0;
  std::uint64_t goodInTime_ = 0;     ///< Complete and within the timeout.
  std::uint64_t late_ = 0;           ///< Ended after timeout and slack.
  std::uint64_t lateUnlabelled_ = 0; ///< Late, and complete or without answer.
  std::uint64_t mixed_ = 0;
  std::uint64_t mislabelled_ = 0;
  std::uint64_t resends_ = 0;
  double coverage_ = 0;
};

void
AddRequest(const LoadOptions& aOptions,
           const LoadRequest& aRequest,
           Figures& aFigures)
{
  const Attempt& last = aRequest.attempts_.back();
  const double timeout = static_cast<double>(aOptions.timeout_.count());
  const double slack = static_cast<double>(aOptions.slack_.count());
  ++aFigures.sent_;
  ++aFigures.codes_[std::to_string(last.code_)];
  ++aFigures.runStates_[last.run_];
  aFigures.resends_ += aRequest.attempts_.size() - 1;
  aFigures.mixed_ += aRequest.isMixed_ ? 1 : 0;
  aFigures.mislabelled_ += aRequest.isMislabelled_ ? 1 : 0;
  if (last.run_ == "not_run") {
    aFigures.refusedMs_.push_back(aRequest.ms_);
  } else {
    aFigures.ms_.push_back(aRequest.ms_);
  }
  const std::uint64_t shards = aRequest.covered_ + aRequest.uncovered_;
  if (shards > 0) {
    aFigures.coverage_ +=
      static_cast<double>(aRequest.covered_) / static_cast<double>(shards);
  }
  const bool isWhole =
    aRequest.route_->isOrder_ ? last.run_ == "ran" : aRequest.complete_;
  aFigures.complete_ += isWhole ? 1 : 0;
  aFigures.goodInTime_ += isWhole && aRequest.ms_ <= timeout ? 1 : 0;
  if (aRequest.ms_ > timeout + slack) {
    ++aFigures.late_;
    aFigures.lateUnlabelled_ += isWhole || last.code_ == 0 ? 1 : 0;
  }
}

json::object
CountsToJson(const std::map<std::string, std::uint64_t>& aCounts)
{
  json::object out;
  for (const auto& [name, count] : aCounts) {
    out[name] = count;
  }
  return out;
}

json::object
ToJson(const Figures& aFigures)
{
  const double sent = std::max<double>(1, static_cast<double>(aFigures.sent_));
  return { { "sent", aFigures.sent_ },
           { "ms", Quantiles(aFigures.ms_) },
           { "refused_ms", Quantiles(aFigures.refusedMs_) },
           { "codes", CountsToJson(aFigures.codes_) },
           { "told", CountsToJson(aFigures.runStates_) },
           { "coverage", aFigures.coverage_ / sent },
           { "complete", aFigures.complete_ },
           { "complete_share", static_cast<double>(aFigures.complete_) / sent },
           { "good_in_time", aFigures.goodInTime_ },
           { "late", aFigures.late_ },
           { "late_unlabelled", aFigures.lateUnlabelled_ },
           { "mixed_versions", aFigures.mixed_ },
           { "mislabelled", aFigures.mislabelled_ },
           { "resends", aFigures.resends_ } };
}

std::int64_t
WindowOf(const LoadRun& aRun, const LoadRequest& aRequest)
{
  return (aRequest.start_ - aRun.begin_) / aRun.options_.window_;
}

json::array
Windows(const LoadRun& aRun, const RouteLoad& aRoute)
{
  std::map<std::int64_t, Figures> windows;
  for (const LoadRequestPtr& request : aRun.done_) {
    if (request->route_ == &aRoute) {
      AddRequest(aRun.options_, *request, windows[WindowOf(aRun, *request)]);
    }
  }
  json::array out;
  for (const auto& [index, figures] : windows) {
    json::object row = ToJson(figures);
    row["from_ms"] = index * aRun.options_.window_.count();
    out.push_back(row);
  }
  return out;
}

} // namespace

std::string
RequestLine(const LoadRun& aRun, const LoadRequest& aRequest)
{
  json::array attempts;
  for (const Attempt& attempt : aRequest.attempts_) {
    attempts.push_back({ { "address", attempt.address_ },
                         { "code", attempt.code_ },
                         { "run", attempt.run_ },
                         { "replayed", attempt.replayed_ } });
  }
  const auto start = std::chrono::duration_cast<std::chrono::microseconds>(
    aRequest.start_ - aRun.begin_);
  return json::serialize(
    json::object{ { "route", aRequest.route_->route_ },
                  { "caller", aRun.callers_[aRequest.caller_].name_ },
                  { "key", aRequest.key_ },
                  { "start_ms", RoundToMicros(start.count() / kMicrosPerMs) },
                  { "ms", RoundToMicros(aRequest.ms_) },
                  { "told", aRequest.attempts_.back().run_ },
                  { "code", aRequest.attempts_.back().code_ },
                  { "covered", aRequest.covered_ },
                  { "uncovered", aRequest.uncovered_ },
                  { "complete", aRequest.complete_ },
                  { "attempts", attempts } });
}

std::string
LoadSummary(const LoadRun& aRun)
{
  json::array routes;
  for (const RouteLoad& route : aRun.options_.routes_) {
    Figures figures;
    for (const LoadRequestPtr& request : aRun.done_) {
      if (request->route_ == &route) {
        AddRequest(aRun.options_, *request, figures);
      }
    }
    json::object row = ToJson(figures);
    row["route"] = route.route_;
    row["order"] = route.isOrder_;
    row["per_second"] = route.perSecond_;
    row["windows"] = Windows(aRun, route);
    routes.push_back(row);
  }
  std::uint64_t entriesRequests = 0;
  for (const LoadCaller& caller : aRun.callers_) {
    entriesRequests += caller.entriesRequests_;
  }
  return json::serialize(
    json::object{ { "routes", routes },
                  { "entries_asked", entriesRequests },
                  { "peak_in_flight", aRun.peakInFlight_ } });
}

} // namespace camphorfield::standin
