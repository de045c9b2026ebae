/**
 * Baseline tier for comparison: random replica, fixed timeout, one retry, no
 * hedges, no limits.
 */
#pragma once

#include "standin/http_client.h"
#include "standin/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace camphorfield::standin {

using Clock = std::chrono::steady_clock;

/** One backend server with the connections to it. */
struct PlainServer
{
  std::string address_;
  std::uint32_t connections_ = 0; ///< Open or being opened.
  std::vector<std::shared_ptr<HttpClient>> idle_;
  std::list<std::function<void()>> waiting_; ///< Wait for a connection.
};

/** One shard with its replicas. */
struct PlainShard
{
  std::string name_;
  std::string service_;
  std::vector<PlainServer*> replicas_;
};

/** Result of one shard of a query. */
struct PlainPart
{
  std::string body_;   ///< Empty: not covered.
  std::string reason_; ///< Why it is not covered.
  std::uint32_t attempts_ = 0;
  std::size_t replica_ = 0; ///< Index of the last one tried.
};

struct PlainTier;

/** One query in flight. */
struct PlainQuery
{
  PlainQuery(PlainTier& aTier, HttpRequest aRequest, HttpRespond aRespond);

  PlainTier& tier_;
  HttpRequest request_;
  HttpRespond respond_;
  std::vector<PlainPart> parts_;
  std::size_t pendingShards_ = 0; ///< Shards without a result yet.
  Clock::time_point deadline_;
  boost::asio::steady_timer timer_;
  bool isAnswered_ = false;
};

/** The tier: its settings, its servers and its listener. */
struct PlainTier
{
  PlainTier(boost::asio::io_context& aContext,
            const boost::json::object& aConfig);

  boost::asio::io_context& context_;
  std::mt19937_64 rng_{ 1 };
  Millis timeout_{ 200 };          ///< Of one attempt at one shard.
  Millis deadline_{ 1000 };        ///< Of a query.
  std::uint32_t connections_ = 4;  ///< To one server.
  std::uint64_t version_ = 1;      ///< Index version asked for.
  std::vector<PlainShard> shards_; ///< All shards; a query asks each.
  std::map<std::string, std::unique_ptr<PlainServer>> servers_;
  std::uint64_t nextRequest_ = 1;
  std::uint64_t sent_ = 0;    ///< Sub-requests sent.
  std::uint64_t retries_ = 0; ///< Of them retries.
  std::unique_ptr<HttpListener> listener_;
};

/** Serve one call of a caller or an admin. */
void
ServePlainCall(PlainTier& aTier,
               const HttpRequest& aRequest,
               const HttpRespond& aRespond);

} // namespace camphorfield::standin
