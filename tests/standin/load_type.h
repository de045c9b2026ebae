/** Open-loop load generator for the callers' interface. */
#pragma once

#include "standin/http_client.h"
#include "standin/http_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace camphorfield::standin {

using Clock = std::chrono::steady_clock;

/** Load on one route. */
struct RouteLoad
{
  std::string route_;
  bool isOrder_ = false;
  double perSecond_ = 0; ///< Mean of a Poisson process.
};

/** Settings of a run. */
struct LoadOptions
{
  std::vector<std::string> daemons_; ///< Addresses that serve the list
                                     ///< of entries.
  std::vector<RouteLoad> routes_;    ///< What is sent.
  std::string callerName_ = "load";  ///< Prefix of callers' names.
  std::string failureDomain_;        ///< Of the callers.
  std::uint32_t callers_ = 4;        ///< Callers, each with its own entries.
  Millis duration_{ 5000 };          ///< Requests start within this.
  Millis timeout_{ 1000 };           ///< Of one attempt.
  Millis slack_{ 50 };               ///< Allowed for the way to the caller.
  Millis orderTotal_{ 10000 };       ///< Resends of an order end here.
  Millis window_{ 500 };             ///< Of the figures over time.
  std::uint64_t seed_ = 1;           ///< Of arrivals and keys.
  std::string body_ = R"({"find":"tape"})"; ///< Of queries.
  bool usesEntries_ = true; ///< False: daemons_ are the entries.
  bool usesTokens_ = false; ///< Tokens of the entries answer are order keys.
};

/** Answer to one attempt as the caller sees it. */
struct Attempt
{
  std::string address_;
  std::uint64_t code_ = 0; ///< Zero: no answer.
  std::string run_;        ///< "ran", "not_run", "may_have_run", "none".
  bool replayed_ = false;
};

/** One request with its attempts and result. */
struct LoadRequest
{
  const RouteLoad* route_ = nullptr;
  std::size_t caller_ = 0;
  std::string key_;         ///< Orders only.
  std::string body_;        ///< Payload.
  Clock::time_point start_; ///< Intended time of sending.
  std::vector<Attempt> attempts_;
  double ms_ = 0; ///< From the intended time to the end.
  std::uint64_t covered_ = 0;
  std::uint64_t uncovered_ = 0;
  bool complete_ = false;
  bool isMixed_ = false;       ///< Shards of more than one version.
  bool isMislabelled_ = false; ///< Labels contradict the content.
};

using LoadRequestPtr = std::shared_ptr<LoadRequest>;

/** Order key with the daemon that it is bound to. */
struct BoundKey
{
  std::string key_;
  std::string address_; ///< Empty: any daemon.
};

/** One caller with its cached list of entries. */
struct LoadCaller
{
  std::string name_;
  std::vector<std::string> entries_;
  std::deque<BoundKey> tokens_;
  Clock::time_point entriesExpiry_;
  std::size_t nextDaemon_ = 0; ///< Daemon for the next entries request.
  std::uint64_t entriesRequests_ = 0;
  bool isRequestingEntries_ = false;
  std::vector<std::function<void()>> waiting_;
};

/** State of a run. */
struct LoadRun
{
  LoadRun(boost::asio::io_context& aContext, const LoadOptions& aOptions);

  boost::asio::io_context& context_;
  LoadOptions options_;
  std::mt19937_64 rng_;
  std::vector<LoadCaller> callers_;
  std::vector<boost::asio::steady_timer> arrivals_; ///< One a route.
  std::vector<Clock::time_point> next_;             ///< Next arrivals.
  std::map<std::string, std::vector<std::shared_ptr<HttpClient>>> idle_;
  Clock::time_point begin_;
  std::vector<LoadRequestPtr> done_;
  std::uint64_t inFlight_ = 0;
  std::uint64_t peakInFlight_ = 0;
};

/** Start the arrivals; the run is over when the context has no more work. */
void
StartLoad(LoadRun& aRun);

/** Send a request, with resends as its rules allow, until it ends. */
void
StartRequest(LoadRun& aRun, const LoadRequestPtr& aRequest);

/** Call the function once the caller has valid entries. */
void
WithEntries(LoadRun& aRun, std::size_t aCaller, std::function<void()> aThen);

/** Decode an answer; updates the coverage and checks of the request. */
Attempt
ReadAnswer(const HttpOutcome& aOutcome, LoadRequest& aRequest);

/** UUID of version 7 from the wall clock and the run's generator. */
std::string
MakeUuid7(std::mt19937_64& aRng);

/** One JSON line for each request. */
std::string
RequestLine(const LoadRun& aRun, const LoadRequest& aRequest);

/** JSON document with the figures of the run. */
std::string
LoadSummary(const LoadRun& aRun);

} // namespace camphorfield::standin
