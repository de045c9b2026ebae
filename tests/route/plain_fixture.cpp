// Baseline tier that the tests compare routing with.
#include "route/plain_fixture.h"

#include <algorithm>

namespace camphorfield {

namespace {

constexpr Duration kHop = microseconds(200);

/** One query of the baseline tier. */
struct PlainQuery
{
  TimePoint start_;
  std::size_t open_ = 0;
  bool failed_ = false;
};

using SharedPlain = std::shared_ptr<PlainQuery>;

void
EndShard(RouteWorld& aWorld,
         PlainTier& aTier,
         const SharedPlain& aQuery,
         bool aGood)
{
  aQuery->failed_ |= !aGood;
  if (--aQuery->open_ > 0) {
    return;
  }
  if (aQuery->failed_) {
    ++aTier.incomplete_;
    return;
  }
  aTier.times_.push_back(aWorld.now_ - aQuery->start_);
}

void
RunPlain(RouteWorld& aWorld,
         const std::string& aAddress,
         std::function<void()> aDone)
{
  FakeServer& server = aWorld.servers_[aAddress];
  if (server.running_ >= server.slots_) {
    server.waiting_.push_back([&aWorld, aAddress, aDone = std::move(aDone)] {
      RunPlain(aWorld, aAddress, aDone);
    });
    return;
  }
  ++server.running_;
  ++server.queries_;
  const auto done = [&aWorld, aAddress, aDone = std::move(aDone)] {
    FakeServer& self = aWorld.servers_[aAddress];
    --self.running_;
    if (!self.waiting_.empty()) {
      const std::function<void()> next = std::move(self.waiting_.front());
      self.waiting_.pop_front();
      next();
    }
    aDone();
  };
  aWorld.events_.emplace(aWorld.now_ + server.work_ + kHop, done);
}

void
SendPlainShard(RouteWorld& aWorld,
               PlainTier& aTier,
               const SharedPlain& aQuery,
               const ServiceSpec& aService,
               int aAttempt)
{
  const std::size_t choice = aWorld.rng_() % aService.servers_.size();
  const std::string address = aService.servers_[choice].address_;
  const auto ended = std::make_shared<bool>(false);
  ++aTier.attempts_;
  const auto timeout = [&aWorld, &aTier, aQuery, &aService, aAttempt, ended] {
    if (*ended) {
      return;
    }
    *ended = true;
    if (aAttempt == 0) {
      SendPlainShard(aWorld, aTier, aQuery, aService, 1);
    } else {
      EndShard(aWorld, aTier, aQuery, false);
    }
  };
  const auto answered = [&aWorld, &aTier, aQuery, ended] {
    if (!*ended) {
      *ended = true;
      EndShard(aWorld, aTier, aQuery, true);
    }
  };
  aWorld.events_.emplace(aWorld.now_ + kPlainTimeout, timeout);
  if (aWorld.servers_[address].up_) {
    aWorld.events_.emplace(aWorld.now_ + kHop, [&aWorld, address, answered] {
      RunPlain(aWorld, address, answered);
    });
  }
}

} // namespace

void
SendPlainQuery(RouteWorld& aWorld, PlainTier& aTier)
{
  const ConfigSet& set = aWorld.config_->set_;
  const auto query = std::make_shared<PlainQuery>();
  const std::vector<ShardSpec>& shards =
    set.indexes_.at("index").versions_.back().shards_;
  query->start_ = aWorld.now_;
  query->open_ = shards.size();
  for (const ShardSpec& shard : shards) {
    SendPlainShard(aWorld, aTier, query, set.services_.at(shard.service_), 0);
  }
}

Duration
PlainQuantile(const PlainTier& aTier, double aQuantile)
{
  std::vector<Duration> times = aTier.times_;
  if (times.empty()) {
    return {};
  }
  std::sort(times.begin(), times.end());
  const auto rank =
    static_cast<std::size_t>(aQuantile * static_cast<double>(times.size() - 1));
  return times[rank];
}

} // namespace camphorfield
