// Runs queries of the baseline tier: one random replica for each shard, with
// one retry.
#include "standin/json_func.h"
#include "standin/plain_base.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace camphorfield::standin {

namespace json = boost::json;

namespace {

using PlainQueryPtr = std::shared_ptr<PlainQuery>;

constexpr std::uint32_t kAttempts = 2; ///< At one shard.
constexpr int kCodeOk = 1000;
constexpr int kCodePartial = 1001;

void
StartAttempt(const PlainQueryPtr& aQuery, std::size_t aPart);

std::string
ToJson(const PlainQuery& aQuery)
{
  json::array covered;
  json::array uncovered;
  for (std::size_t i = 0; i < aQuery.parts_.size(); ++i) {
    const PlainPart& part = aQuery.parts_[i];
    const std::string& shard = aQuery.tier_.shards_[i].name_;
    if (part.body_.empty()) {
      uncovered.push_back({ { "shard", shard }, { "reason", part.reason_ } });
    } else {
      covered.push_back(
        { { "shard", shard }, { "body", json::parse(part.body_) } });
    }
  }
  const bool isComplete = uncovered.empty();
  return json::serialize(
    json::object{ { "code", isComplete ? kCodeOk : kCodePartial },
                  { "result", isComplete ? "OK" : "PARTIAL" },
                  { "run", "ran" },
                  { "complete", isComplete },
                  { "version", aQuery.tier_.version_ },
                  { "covered", covered },
                  { "uncovered", uncovered } });
}

void
Answer(PlainQuery& aQuery)
{
  if (aQuery.isAnswered_) {
    return;
  }
  aQuery.isAnswered_ = true;
  aQuery.timer_.cancel();
  aQuery.respond_(
    { 200, { { "Content-Type", "application/json" } }, ToJson(aQuery) });
}

void
EndPart(PlainQuery& aQuery)
{
  if (--aQuery.pendingShards_ == 0) {
    Answer(aQuery);
  }
}

HttpRequest
MakeHttpRequest(const PlainQuery& aQuery, std::size_t aPart, Millis aLeft)
{
  PlainTier& tier = aQuery.tier_;
  HttpRequest request{ "POST", "/v1/query", {}, {}, aQuery.request_.body_ };
  request.headers_ = {
    { "X-Request-Id", std::to_string(tier.nextRequest_++) },
    { "X-Service", tier.shards_[aPart].service_ },
    { "X-Shard", tier.shards_[aPart].name_ },
    { "X-Index-Version", std::to_string(tier.version_) },
    { "X-Deadline-Ms", std::to_string(aLeft.count()) },
  };
  return request;
}

/** Whether a connection to the server is idle or can be opened. */
bool
HasFreeConnection(const PlainTier& aTier, const PlainServer& aServer)
{
  return !aServer.idle_.empty() || aServer.connections_ < aTier.connections_;
}

/** Return a connection and start attempts that wait for one. */
void
ReleaseConnection(const PlainTier& aTier,
                  PlainServer& aServer,
                  const std::shared_ptr<HttpClient>& aClient)
{
  if (aClient->IsOpen()) {
    aServer.idle_.push_back(aClient);
  } else {
    --aServer.connections_;
  }
  while (!aServer.waiting_.empty() && HasFreeConnection(aTier, aServer)) {
    const auto next = std::move(aServer.waiting_.front());
    aServer.waiting_.pop_front();
    next();
  }
}

void
RetryOrEnd(const PlainQueryPtr& aQuery, std::size_t aPart)
{
  if (aQuery->parts_[aPart].attempts_ >= kAttempts || aQuery->isAnswered_) {
    EndPart(*aQuery);
    return;
  }
  ++aQuery->tier_.retries_;
  StartAttempt(aQuery, aPart);
}

void
OnAnswer(const PlainQueryPtr& aQuery,
         std::size_t aPart,
         PlainServer& aServer,
         const std::shared_ptr<HttpClient>& aClient,
         const HttpOutcome& aOutcome)
{
  ReleaseConnection(aQuery->tier_, aServer, aClient);
  PlainPart& part = aQuery->parts_[aPart];
  if (aOutcome.answered_ && aOutcome.reply_.status_ == 200) {
    part.body_ = aOutcome.reply_.body_;
    EndPart(*aQuery);
    return;
  }
  part.reason_ = aOutcome.answered_ ? "refused" : "timeout";
  RetryOrEnd(aQuery, aPart);
}

Millis
TimeUntil(Clock::time_point aEnd)
{
  return std::chrono::duration_cast<Millis>(aEnd - Clock::now());
}

void
SendOnConnection(const PlainQueryPtr& aQuery,
                 std::size_t aPart,
                 PlainServer& aServer,
                 Clock::time_point aEnd)
{
  std::shared_ptr<HttpClient> client;
  if (aServer.idle_.empty()) {
    ++aServer.connections_;
    client =
      std::make_shared<HttpClient>(aQuery->tier_.context_, aServer.address_);
  } else {
    client = std::move(aServer.idle_.back());
    aServer.idle_.pop_back();
  }
  ++aQuery->tier_.sent_;
  const Millis left = TimeUntil(aEnd);
  client->Send(MakeHttpRequest(*aQuery, aPart, left),
               left,
               [aQuery, aPart, &aServer, client](const HttpOutcome& aOutcome) {
                 OnAnswer(aQuery, aPart, aServer, client, aOutcome);
               });
}

/** Another replica than the last one, if there is one. */
PlainServer&
ChooseReplica(PlainTier& aTier, const PlainShard& aShard, PlainPart& aPart)
{
  const std::size_t count = aShard.replicas_.size();
  std::size_t choice = aTier.rng_() % count;
  if (aPart.attempts_ > 0 && count > 1 && choice == aPart.replica_) {
    choice = (choice + 1) % count;
  }
  aPart.replica_ = choice;
  ++aPart.attempts_;
  return *aShard.replicas_[choice];
}

void
StartAttempt(const PlainQueryPtr& aQuery, std::size_t aPart)
{
  PlainTier& tier = aQuery->tier_;
  PlainServer& server =
    ChooseReplica(tier, tier.shards_[aPart], aQuery->parts_[aPart]);
  const Clock::time_point end =
    std::min(Clock::now() + tier.timeout_, aQuery->deadline_);
  if (HasFreeConnection(tier, server)) {
    SendOnConnection(aQuery, aPart, server, end);
    return;
  }
  server.waiting_.push_back([aQuery, aPart, &server, end] {
    if (TimeUntil(end).count() > 0 && !aQuery->isAnswered_) {
      SendOnConnection(aQuery, aPart, server, end);
      return;
    }
    aQuery->parts_[aPart].reason_ = "timeout";
    RetryOrEnd(aQuery, aPart);
  });
}

void
StartQuery(PlainTier& aTier,
           const HttpRequest& aRequest,
           const HttpRespond& aRespond)
{
  const auto query = std::make_shared<PlainQuery>(aTier, aRequest, aRespond);
  query->timer_.async_wait([query](auto aError) {
    if (!aError) {
      Answer(*query);
    }
  });
  for (std::size_t i = 0; i < query->parts_.size(); ++i) {
    StartAttempt(query, i);
  }
}

HttpReply
Counts(const PlainTier& aTier)
{
  return { 200,
           {},
           json::serialize(json::object{ { "sent", aTier.sent_ },
                                         { "retries", aTier.retries_ } }) };
}

PlainShard
ReadShard(PlainTier& aTier, const json::object& aFields)
{
  PlainShard shard;
  ReadField(aFields, "shard", shard.name_);
  ReadField(aFields, "service", shard.service_);
  for (const json::value& field : aFields.at("servers").as_array()) {
    const auto address = json::value_to<std::string>(field);
    auto& server = aTier.servers_[address];
    if (server == nullptr) {
      server = std::make_unique<PlainServer>();
      server->address_ = address;
    }
    shard.replicas_.push_back(server.get());
  }
  return shard;
}

} // namespace

void
ServePlainCall(PlainTier& aTier,
               const HttpRequest& aRequest,
               const HttpRespond& aRespond)
{
  if (aRequest.path_.starts_with("/v1/query/")) {
    StartQuery(aTier, aRequest, aRespond);
  } else if (aRequest.path_ == "/admin/counts") {
    aRespond(Counts(aTier));
  } else {
    aRespond({ 404 });
  }
}

PlainQuery::PlainQuery(PlainTier& aTier,
                       HttpRequest aRequest,
                       HttpRespond aRespond)
  : tier_(aTier)
  , request_(std::move(aRequest))
  , respond_(std::move(aRespond))
  , parts_(aTier.shards_.size())
  , pendingShards_(aTier.shards_.size())
  , deadline_(Clock::now() + aTier.deadline_)
  , timer_(aTier.context_, deadline_)
{
  for (PlainPart& part : parts_) {
    part.reason_ = "timeout";
  }
}

PlainTier::PlainTier(boost::asio::io_context& aContext,
                     const json::object& aConfig)
  : context_(aContext)
{
  std::string listen = "127.0.0.1:0";
  std::uint64_t seed = 1;
  ReadField(aConfig, "listen", listen);
  ReadField(aConfig, "seed", seed);
  ReadField(aConfig, "timeout_ms", timeout_);
  ReadField(aConfig, "deadline_ms", deadline_);
  ReadField(aConfig, "connections_per_server", connections_);
  ReadField(aConfig, "version", version_);
  rng_.seed(seed);
  for (const json::value& shard : aConfig.at("shards").as_array()) {
    shards_.push_back(ReadShard(*this, shard.as_object()));
  }
  HttpHandlers handlers;
  handlers.request_ = [this](const HttpRequest& aRequest,
                             const HttpRespond& aRespond) {
    ServePlainCall(*this, aRequest, aRespond);
  };
  listener_ = std::make_unique<HttpListener>(aContext, listen, handlers);
}

} // namespace camphorfield::standin
