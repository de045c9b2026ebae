// Sends queries and orders of the load tool, resends them as a caller would,
// and checks that answers match their labels.
#include "standin/json_func.h"
#include "standin/load_type.h"

#include <algorithm>
#include <boost/json/array.hpp>

namespace camphorfield::standin {

namespace json = boost::json;

namespace {

constexpr std::uint64_t kNotReady = 1200;   ///< Result NOT_READY.
constexpr std::uint64_t kStopping = 1208;   ///< Result STOPPING.
constexpr std::uint64_t kUnknown = 2001;    ///< Result OUTCOME_UNKNOWN.
constexpr std::uint64_t kInProgress = 2005; ///< Result IN_PROGRESS.
constexpr std::size_t kQueryAttempts = 3;   ///< Of one query.
constexpr std::size_t kUnknownAttempts = 3; ///< With OUTCOME_UNKNOWN.
constexpr Millis kResendPause{ 100 };       ///< Before an order's resend.
constexpr Millis kSocketSlack{ 1000 };      ///< Beyond the timeout.

void
SendAttempt(LoadRun& aRun, const LoadRequestPtr& aRequest);

Millis
AgeOf(const LoadRequest& aRequest)
{
  return std::chrono::duration_cast<Millis>(Clock::now() - aRequest.start_);
}

std::shared_ptr<HttpClient>
TakeClient(LoadRun& aRun, const std::string& aAddress)
{
  auto& idle = aRun.idle_[aAddress];
  if (idle.empty()) {
    return std::make_shared<HttpClient>(aRun.context_, aAddress);
  }
  std::shared_ptr<HttpClient> client = std::move(idle.back());
  idle.pop_back();
  return client;
}

HttpRequest
MakeHttpRequest(const LoadRun& aRun, const LoadRequest& aRequest)
{
  HttpRequest http;
  http.method_ = "POST";
  http.path_ = (aRequest.route_->isOrder_ ? "/v1/order/" : "/v1/query/") +
               aRequest.route_->route_;
  http.headers_["Caller"] = aRun.callers_[aRequest.caller_].name_;
  http.headers_["Timeout-Ms"] = std::to_string(aRun.options_.timeout_.count());
  if (aRequest.route_->isOrder_) {
    http.headers_["Idempotency-Key"] = aRequest.key_;
  }
  http.body_ = aRequest.body_;
  return http;
}

/** Whether a resend may tell the outcome of an order. */
bool
ShouldResendOrder(const LoadRun& aRun, const LoadRequest& aRequest)
{
  const Attempt& last = aRequest.attempts_.back();
  if (AgeOf(aRequest) >= aRun.options_.orderTotal_) {
    return false;
  }
  if (last.code_ == kUnknown) {
    const auto unknowns = std::count_if(
      aRequest.attempts_.begin(),
      aRequest.attempts_.end(),
      [](const Attempt& aAttempt) { return aAttempt.code_ == kUnknown; });
    return static_cast<std::size_t>(unknowns) < kUnknownAttempts;
  }
  return last.code_ == 0 || last.code_ == kInProgress;
}

/** Whether another daemon may answer a query in time. */
bool
ShouldResendQuery(const LoadRun& aRun, const LoadRequest& aRequest)
{
  const std::uint64_t code = aRequest.attempts_.back().code_;
  return AgeOf(aRequest) < aRun.options_.timeout_ &&
         aRequest.attempts_.size() < kQueryAttempts &&
         (code == 0 || code == kNotReady || code == kStopping);
}

void
Finish(LoadRun& aRun, const LoadRequestPtr& aRequest)
{
  aRequest->ms_ =
    std::chrono::duration<double, std::milli>(Clock::now() - aRequest->start_)
      .count();
  --aRun.inFlight_;
  aRun.done_.push_back(aRequest);
}

void
ResendLater(LoadRun& aRun, const LoadRequestPtr& aRequest)
{
  auto timer =
    std::make_shared<boost::asio::steady_timer>(aRun.context_, kResendPause);
  timer->async_wait([timer, &aRun, aRequest](auto) {
    WithEntries(aRun, aRequest->caller_, [&aRun, aRequest] {
      SendAttempt(aRun, aRequest);
    });
  });
}

void
OnOutcome(LoadRun& aRun,
          const LoadRequestPtr& aRequest,
          const std::shared_ptr<HttpClient>& aClient,
          const HttpOutcome& aOutcome)
{
  if (aClient->IsOpen()) {
    aRun.idle_[aClient->Address()].push_back(aClient);
  }
  Attempt attempt = ReadAnswer(aOutcome, *aRequest);
  attempt.address_ = aClient->Address();
  aRequest->attempts_.push_back(attempt);
  // The preferred entry is gone or leaving: move it to the end.
  const bool isGone = attempt.code_ == 0 || attempt.code_ == kNotReady ||
                      attempt.code_ == kStopping;
  LoadCaller& caller = aRun.callers_[aRequest->caller_];
  if (isGone && !caller.entries_.empty() &&
      caller.entries_.front() == attempt.address_) {
    std::rotate(caller.entries_.begin(),
                caller.entries_.begin() + 1,
                caller.entries_.end());
  }
  if (aRequest->route_->isOrder_ && ShouldResendOrder(aRun, *aRequest)) {
    ResendLater(aRun, aRequest);
  } else if (!aRequest->route_->isOrder_ &&
             ShouldResendQuery(aRun, *aRequest)) {
    SendAttempt(aRun, aRequest);
  } else {
    Finish(aRun, aRequest);
  }
}

/** Entry for the next attempt: the preferred one, then the others in turn. */
std::string
ChooseAddress(LoadRun& aRun, LoadRequest& aRequest)
{
  LoadCaller& caller = aRun.callers_[aRequest.caller_];
  if (aRequest.attempts_.empty()) {
    const bool isBound = aRequest.route_->isOrder_ && !caller.tokens_.empty();
    if (!isBound) {
      return caller.entries_.front();
    }
    const BoundKey token = caller.tokens_.front();
    caller.tokens_.pop_front();
    aRequest.key_ = token.key_;
    return token.address_;
  }
  const std::string& last = aRequest.attempts_.back().address_;
  const auto& entries = caller.entries_;
  const auto found = std::find(entries.begin(), entries.end(), last);
  const std::size_t index =
    found == entries.end() ? 0 : found - entries.begin() + 1;
  return entries[index % entries.size()];
}

void
SendAttempt(LoadRun& aRun, const LoadRequestPtr& aRequest)
{
  if (aRun.callers_[aRequest->caller_].entries_.empty()) {
    aRequest->attempts_.push_back({ {}, 0, "none", false });
    Finish(aRun, aRequest);
    return;
  }
  const std::shared_ptr<HttpClient> client =
    TakeClient(aRun, ChooseAddress(aRun, *aRequest));
  client->Send(MakeHttpRequest(aRun, *aRequest),
               aRun.options_.timeout_ + kSocketSlack,
               [&aRun, aRequest, client](const HttpOutcome& aOutcome) {
                 OnOutcome(aRun, aRequest, client, aOutcome);
               });
}

/** Check that the shards of an answer are what its labels say. */
void
CheckCovered(const json::object& aBody, LoadRequest& aRequest)
{
  const std::int64_t version =
    json::value_to<std::int64_t>(aBody.at("version"));
  for (const json::value& covered : aBody.at("covered").as_array()) {
    const json::value& body = covered.at("body");
    if (!body.is_object()) {
      aRequest.isMislabelled_ = true;
      continue;
    }
    if (json::value_to<std::int64_t>(body.at("version")) != version) {
      aRequest.isMixed_ = true;
    }
    if (body.at("shard") != covered.at("shard")) {
      aRequest.isMislabelled_ = true;
    }
  }
}

void
ReadCoverage(const json::object& aBody, LoadRequest& aRequest)
{
  if (!aBody.contains("covered") || !aBody.contains("uncovered")) {
    return;
  }
  aRequest.covered_ = aBody.at("covered").as_array().size();
  aRequest.uncovered_ = aBody.at("uncovered").as_array().size();
  ReadField(aBody, "complete", aRequest.complete_);
  CheckCovered(aBody, aRequest);
  const bool isWhole = aRequest.uncovered_ == 0 && aRequest.covered_ > 0;
  if (aRequest.complete_ != isWhole) {
    aRequest.isMislabelled_ = true;
  }
}

} // namespace

Attempt
ReadAnswer(const HttpOutcome& aOutcome, LoadRequest& aRequest)
{
  Attempt attempt;
  attempt.run_ = "none";
  json::object body;
  if (!aOutcome.answered_ || !ParseObject(aOutcome.reply_.body_, body)) {
    return attempt;
  }
  const HttpReply read = ReplyOrBadRequest([&] {
    ReadField(body, "code", attempt.code_);
    ReadField(body, "run", attempt.run_);
    ReadField(body, "replayed", attempt.replayed_);
    ReadCoverage(body, aRequest);
    return HttpReply();
  });
  if (read.status_ != 200) {
    aRequest.isMislabelled_ = true;
  }
  return attempt;
}

void
StartRequest(LoadRun& aRun, const LoadRequestPtr& aRequest)
{
  ++aRun.inFlight_;
  aRun.peakInFlight_ = std::max(aRun.peakInFlight_, aRun.inFlight_);
  WithEntries(aRun, aRequest->caller_, [&aRun, aRequest] {
    SendAttempt(aRun, aRequest);
  });
}

} // namespace camphorfield::standin
