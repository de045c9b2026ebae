// Retries and connection reuse of the baseline tier.
#include "standin/http_client.h"
#include "standin/json_func.h"
#include "standin/plain_base.h"
#include "standin/server_base.h"

#include <CppUTest/TestHarness.h>
#include <boost/json/array.hpp>

using namespace camphorfield::standin;

namespace {

boost::json::object
Parsed(const std::string& aText)
{
  boost::json::object out;
  CHECK_TRUE(ParseObject(aText, out));
  return out;
}

struct Fixture
{
  Fixture()
    : farm_(context_,
            Parsed(R"({"services":[{"name":"s","service_ms":{"dist":"fixed",)"
                   R"("mean":0},"versions":[7],)"
                   R"("servers":[{"name":"s1"},{"name":"s2"}]}]})"))
    , tier_(context_, Config())
  {
  }

  boost::json::object Config() const
  {
    const std::string first = farm_.servers_[0]->listener_->Address();
    const std::string second = farm_.servers_[1]->listener_->Address();
    return Parsed(
      R"({"version":7,"connections_per_server":1,"timeout_ms":10000,)"
      R"("deadline_ms":20000,"shards":[{"shard":"a","service":"s",)"
      R"("servers":[")" +
      first + R"(",")" + second + R"("]}]})");
  }

  boost::json::object Query()
  {
    const HttpRequest request{ "POST", "/v1/query/r", {}, {}, "find" };
    const HttpOutcome outcome =
      HttpRoundTrip(context_, tier_.listener_->Address(), request);
    return Parsed(outcome.reply_.body_);
  }

  boost::asio::io_context context_;
  ServerFarm farm_;
  PlainTier tier_;
};

} // namespace

TEST_GROUP(PlainTier){};

TEST(PlainTier, RetriesOnceOnAnotherReplica)
{
  struct Case
  {
    const char* name_;
    std::vector<std::size_t> down_;
    bool complete_;
  };
  const Case cases[] = {
    { "all up", {}, true },
    { "first down", { 0 }, true },
    { "second down", { 1 }, true },
    { "both down", { 0, 1 }, false },
  };
  for (const Case& row : cases) {
    Fixture fixture;
    for (const std::size_t server : row.down_) {
      ShutDownServer(*fixture.farm_.servers_[server]);
    }
    for (int i = 0; i < 8; ++i) {
      CHECK_EQUAL_TEXT(
        row.complete_, fixture.Query().at("complete").as_bool(), row.name_);
    }
  }
}

TEST(PlainTier, KeepsItsConnections)
{
  Fixture fixture;
  for (int i = 0; i < 20; ++i) {
    CHECK_TRUE(fixture.Query().at("complete").as_bool());
  }
  for (const auto& server : fixture.farm_.servers_) {
    CHECK_EQUAL(1U, server->serverStats_.accepted_);
  }
}
