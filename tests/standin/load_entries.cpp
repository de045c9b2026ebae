// Requests entry daemons for a caller and caches the answer until it expires.
#include "standin/json_func.h"
#include "standin/load_type.h"

#include <boost/json/array.hpp>

namespace camphorfield::standin {

namespace json = boost::json;

namespace {

constexpr Millis kEntriesTimeout{ 1000 };
constexpr Millis kEntriesRetryDelay{ 50 }; ///< Pause after a failure.
constexpr std::size_t kTokenCount = 32;    ///< Tokens in one answer.

void
RequestEntries(LoadRun& aRun, std::size_t aCaller);

void
RunWaiting(LoadCaller& aCaller)
{
  const auto waiting = std::move(aCaller.waiting_);
  aCaller.waiting_.clear();
  for (const auto& then : waiting) {
    then();
  }
}

bool
ReadEntries(const HttpOutcome& aOutcome,
            const std::string& aDaemon,
            LoadCaller& aCaller)
{
  json::object body;
  if (aOutcome.reply_.status_ != 200 ||
      !ParseObject(aOutcome.reply_.body_, body)) {
    return false;
  }
  std::vector<std::string> entries;
  for (const json::value& entry : body.at("entries").as_array()) {
    entries.push_back(json::value_to<std::string>(entry.at("address")));
  }
  if (entries.empty()) {
    return false;
  }
  aCaller.entries_ = std::move(entries);
  Millis keep{ 1000 };
  ReadField(body, "keep_ms", keep);
  aCaller.entriesExpiry_ = Clock::now() + keep;
  aCaller.tokens_.clear();
  if (const json::value* tokens = body.if_contains("tokens")) {
    for (const json::value& token : tokens->as_array()) {
      aCaller.tokens_.push_back(
        { json::value_to<std::string>(token), aDaemon });
    }
  }
  return true;
}

void
RetryEntriesLater(LoadRun& aRun, std::size_t aCaller)
{
  auto timer = std::make_shared<boost::asio::steady_timer>(aRun.context_,
                                                           kEntriesRetryDelay);
  timer->async_wait(
    [timer, &aRun, aCaller](auto) { RequestEntries(aRun, aCaller); });
}

void
OnEntries(LoadRun& aRun,
          std::size_t aCaller,
          const std::string& aDaemon,
          const HttpOutcome& aOutcome)
{
  LoadCaller& caller = aRun.callers_[aCaller];
  const bool isRead =
    aOutcome.answered_ &&
    ReplyOrBadRequest([&] {
      return HttpReply{ ReadEntries(aOutcome, aDaemon, caller) ? 200U : 400U };
    }).status_ == 200;
  const Clock::time_point giveUp =
    aRun.begin_ + aRun.options_.duration_ + aRun.options_.timeout_;
  if (!isRead && Clock::now() < giveUp) {
    ++caller.nextDaemon_;
    RetryEntriesLater(aRun, aCaller);
    return;
  }
  caller.isRequestingEntries_ = false;
  RunWaiting(caller);
}

void
RequestEntries(LoadRun& aRun, std::size_t aCaller)
{
  LoadCaller& caller = aRun.callers_[aCaller];
  caller.isRequestingEntries_ = true;
  ++caller.entriesRequests_;
  const auto& daemons = aRun.options_.daemons_;
  const std::string daemon = daemons[caller.nextDaemon_ % daemons.size()];
  HttpRequest request;
  request.path_ = "/v1/entries";
  request.headers_["Caller"] = caller.name_;
  if (!aRun.options_.failureDomain_.empty()) {
    request.query_["failure_domain"] = aRun.options_.failureDomain_;
  }
  if (aRun.options_.usesTokens_) {
    request.query_["tokens"] = std::to_string(kTokenCount);
  }
  auto client = std::make_shared<HttpClient>(aRun.context_, daemon);
  client->Send(request,
               kEntriesTimeout,
               [client, &aRun, aCaller, daemon](const HttpOutcome& aOutcome) {
                 OnEntries(aRun, aCaller, daemon, aOutcome);
               });
}

} // namespace

void
WithEntries(LoadRun& aRun, std::size_t aCaller, std::function<void()> aThen)
{
  LoadCaller& caller = aRun.callers_[aCaller];
  if (!aRun.options_.usesEntries_) {
    caller.entries_ = aRun.options_.daemons_;
    const std::size_t shift = aCaller % caller.entries_.size();
    std::rotate(caller.entries_.begin(),
                caller.entries_.begin() + static_cast<std::ptrdiff_t>(shift),
                caller.entries_.end());
    aThen();
    return;
  }
  const bool wantsTokens = aRun.options_.usesTokens_ && caller.tokens_.empty();
  if (Clock::now() < caller.entriesExpiry_ && !wantsTokens) {
    aThen();
    return;
  }
  caller.waiting_.push_back(std::move(aThen));
  if (!caller.isRequestingEntries_) {
    RequestEntries(aRun, aCaller);
  }
}

} // namespace camphorfield::standin
