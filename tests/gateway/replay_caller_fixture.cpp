// Callers of a replay: loads, returns after a rejection, and results.
#include "gateway/replay_fixture.h"

#include <algorithm>

namespace camphorfield {

double
ReplayResult::OnTimeShare() const
{
  return asked_ == 0 ? 1.0 : static_cast<double>(onTime_) / asked_;
}

double
ReplayResult::MeanQuality() const
{
  return asked_ == 0 ? 1.0 : quality_ / asked_;
}

void
Replay::Offer(const ReplayLoad& aLoad,
              ReplayResult& aResult,
              TimePoint aBegun,
              std::uint32_t aRetriesLeft)
{
  const TimePoint sent = now_;
  const std::size_t daemon = rng_() % daemons_.size();
  waiters_[nextRequest_] = [this, &aLoad, &aResult, aBegun, sent, aRetriesLeft](
                             const ProxyAnswer& aAnswer) {
    const auto route = std::find_if(
      config_.routes_.begin(),
      config_.routes_.end(),
      [&aLoad](const GatewayRoute& aRoute) {
        return aLoad.target_.substr(0, aRoute.prefix_.size()) == aRoute.prefix_;
      });
    if (aAnswer.code_ <= ProxyCode::Merged) {
      const bool late = now_ - aBegun > route->objective_;
      const auto shards =
        static_cast<double>(std::max<std::size_t>(route->shards_.size(), 1));
      const double coverage = 1.0 - aAnswer.missing_ / shards;
      ++(late ? aResult.late_ : aResult.onTime_);
      aResult.quality_ += late ? 0.0 : coverage * coverage;
      aResult.took_.push_back(now_ - aBegun);
      return;
    }
    if (aAnswer.retryAfter_.count() == 0) {
      ++aResult.failed_;
      return;
    }
    aResult.rejectedAfter_.push_back(now_ - sent);
    if (aRetriesLeft == 0) {
      ++aResult.rejected_;
      return;
    }
    At(aAnswer.retryAfter_, [this, &aLoad, &aResult, aBegun, aRetriesLeft]() {
      Offer(aLoad, aResult, aBegun, aRetriesLeft - 1);
    });
  };
  const TimePoint deadline = aBegun + aLoad.callerTimeout_;
  SendRequest(daemon, aLoad.target_, deadline - now_);
}

std::map<std::string, ReplayResult>
Replay::Run(const std::vector<ReplayLoad>& aLoads, Duration aTime)
{
  std::map<std::string, ReplayResult> results;
  for (const ReplayLoad& load : aLoads) {
    workOf_[load.target_] = load.work_;
    std::exponential_distribution<double> gap(load.perSecond_);
    for (double at = gap(rng_); at < static_cast<double>(aTime.count()) / 1e6;
         at += gap(rng_)) {
      ReplayResult& result = results[load.target_];
      At(Duration(static_cast<std::int64_t>(at * 1e6)),
         [this, &load, &result]() {
           ++result.asked_;
           Offer(load, result, now_, load.retries_);
         });
    }
  }
  Advance(aTime + std::chrono::seconds(10));
  return results;
}

} // namespace camphorfield
