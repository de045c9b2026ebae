// Starts requests of the load tool as a Poisson process.
#include "standin/load_type.h"

#include <array>
#include <cstdio>

namespace camphorfield::standin {

namespace {

/** Time to the next arrival of a Poisson process. */
Clock::duration
DrawInterarrivalTime(LoadRun& aRun, double aPerSecond)
{
  const double seconds = std::exponential_distribution<>(aPerSecond)(aRun.rng_);
  return std::chrono::duration_cast<Clock::duration>(
    std::chrono::duration<double>(seconds));
}

LoadRequestPtr
MakeRequest(LoadRun& aRun, const RouteLoad& aRoute, Clock::time_point aStart)
{
  auto request = std::make_shared<LoadRequest>();
  request->route_ = &aRoute;
  request->caller_ = aRun.rng_() % aRun.callers_.size();
  request->start_ = aStart;
  request->body_ = aRun.options_.body_;
  if (aRoute.isOrder_) {
    request->key_ = MakeUuid7(aRun.rng_);
    request->body_ = R"({"order":")" + request->key_ + "\"}";
  }
  return request;
}

// Requests start at their intended times, however late the timer fires and
// however many are in flight: a slow system must not reduce the load.
void
SendDueRequests(LoadRun& aRun, std::size_t aRoute)
{
  const RouteLoad& route = aRun.options_.routes_[aRoute];
  const Clock::time_point end = aRun.begin_ + aRun.options_.duration_;
  while (aRun.next_[aRoute] <= Clock::now() && aRun.next_[aRoute] < end) {
    StartRequest(aRun, MakeRequest(aRun, route, aRun.next_[aRoute]));
    aRun.next_[aRoute] += DrawInterarrivalTime(aRun, route.perSecond_);
  }
  if (aRun.next_[aRoute] >= end) {
    return;
  }
  aRun.arrivals_[aRoute].expires_at(aRun.next_[aRoute]);
  aRun.arrivals_[aRoute].async_wait([&aRun, aRoute](auto aError) {
    if (!aError) {
      SendDueRequests(aRun, aRoute);
    }
  });
}

} // namespace

LoadRun::LoadRun(boost::asio::io_context& aContext, const LoadOptions& aOptions)
  : context_(aContext)
  , options_(aOptions)
  , rng_(aOptions.seed_)
{
  for (std::uint32_t i = 0; i < options_.callers_; ++i) {
    LoadCaller caller;
    caller.name_ = options_.callerName_ + "-" + std::to_string(i);
    caller.nextDaemon_ = i;
    callers_.push_back(std::move(caller));
  }
  for (std::size_t i = 0; i < options_.routes_.size(); ++i) {
    arrivals_.emplace_back(aContext);
  }
}

void
StartLoad(LoadRun& aRun)
{
  aRun.begin_ = Clock::now();
  for (std::size_t i = 0; i < aRun.options_.routes_.size(); ++i) {
    const double perSecond = aRun.options_.routes_[i].perSecond_;
    aRun.next_.push_back(aRun.begin_ + DrawInterarrivalTime(aRun, perSecond));
    SendDueRequests(aRun, i);
  }
}

std::string
MakeUuid7(std::mt19937_64& aRng)
{
  const std::uint64_t millis =
    std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch())
      .count();
  const std::uint64_t random = aRng();
  const std::uint64_t tail = aRng() & 0xffffffffffffULL;
  std::array<char, 64> text{};
  std::snprintf(
    text.data(),
    text.size(),
    "%08llx-%04llx-7%03llx-%04llx-%012llx",
    static_cast<unsigned long long>(millis >> 16U),
    static_cast<unsigned long long>(millis & 0xffffU),
    static_cast<unsigned long long>(random & 0xfffU),
    static_cast<unsigned long long>(0x8000U | ((random >> 16U) & 0x3fffU)),
    static_cast<unsigned long long>(tail));
  return text.data();
}

} // namespace camphorfield::standin
