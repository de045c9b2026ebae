// Decoding of configurations and server entries, malformed and forged ones
// included.
#include "adapter/codec_fixture.h"
#include "config_codec.h"

#include <CppUTest/TestHarness.h>
#include <random>
#include <string>
#include <vector>

using namespace camphorfield;
using namespace camphorfield::platform;
using namespace camphorfield::test;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kConfigText =
  R"({"version":7,"routes":[)"
  R"({"name":"r1","host":"h.example","path-prefix":"/a/",)"
  R"("type":"idempotent","timeout-ms":800,"slo-ms":80,"priority":2,)"
  R"("gather":["s1","s2"],"max-attempts":2,"top-k":5,"min-coverage":0.75},)"
  R"({"name":"r2","host":"h.example","path-prefix":"/b/",)"
  R"("type":"non_idempotent","timeout-ms":500,)"
  R"("traffic-split":[{"service":"s1","weight":9},)"
  R"({"service":"s2","weight":1}]}],)"
  R"("services":[{"name":"s1","health-path":"/h","max-conns":25}],)"
  R"("limits":{"max-header-bytes":16384,"max-body-bytes":262144,)"
  R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";

constexpr const char* kServerText =
  R"({"service":"s1","address":"10.0.0.9:8080","zone":"z1","version":"v1",)"
  R"("concurrency":2,"state":"ready","warmup-left-ms":1500,"seq":4,)"
  R"("born":1700000000000})";

/** Replacement that makes a valid document invalid. */
struct ForgedCase
{
  const char* name_;
  const char* from_;
  const char* to_;
};

} // namespace

TEST_GROUP(ConfigCodec){};

TEST(ConfigCodec, DecodesRoutesServicesAndLimits)
{
  const auto config = DecodeConfig(kConfigText);
  CHECK_TRUE(config.ok());
  LONGS_EQUAL(7, (*config)->version_);
  const GatewayRoute& query = (*config)->routes_[0];
  CHECK_TRUE(query.IsQuery());
  LONGS_EQUAL(RequestKind::Idempotent, query.kind_);
  CHECK_TRUE(query.timeout_ == milliseconds(800));
  CHECK_TRUE(query.objective_ == milliseconds(80));
  LONGS_EQUAL(5, query.topRecords_);
  DOUBLES_EQUAL(0.75, query.minCoverage_, 1e-9);
  const GatewayRoute& split = (*config)->routes_[1];
  LONGS_EQUAL(RequestKind::NonIdempotent, split.kind_);
  DOUBLES_EQUAL(9.0, split.to_[0].weight_, 1e-9);
  LONGS_EQUAL(25, (*config)->services_.at("s1").maxConnections_);
  CHECK_TRUE((*config)->limits_.idleTimeout_ == seconds(15));
}

// Values outside of what a server can mean must not disable the limit, or make
// slots without end.
TEST(ConfigCodec, ColdPhasesAreReadWrongly)
{
  struct WarmupCase
  {
    const char* fields_;
    Duration warmup_;
    double perSecond_;
  };
  const std::vector<WarmupCase> cases{
    { "", Duration::zero(), 0.0 },
    { R"(,"warmup-s":3.0,"warmup-per-s":12.5)", seconds(3), 12.5 },
    { R"(,"warmup-s":3,"warmup-per-s":0)", seconds(3), 0.0 },
    { R"(,"warmup-s":-1,"warmup-per-s":-2)", Duration::zero(), 0.0 },
    { R"(,"warmup-s":1e9,"warmup-per-s":1e9)", seconds(86400), 10000.0 },
  };
  for (const WarmupCase& item : cases) {
    const auto config =
      DecodeConfig(Replace(kConfigText,
                           R"("max-conns":25)",
                           std::string(R"("max-conns":25)") + item.fields_));
    CHECK_TRUE_TEXT(config.ok(), item.fields_);
    const GatewayService& service = (*config)->services_.at("s1");
    CHECK_TRUE_TEXT(service.warmup_ == item.warmup_, item.fields_);
    DOUBLES_EQUAL_TEXT(
      item.perSecond_, service.warmupPerSecond_, 1e-9, item.fields_);
  }
}

TEST(ConfigCodec, MalformedConfigurationsAreRefused)
{
  const std::vector<ForgedCase> cases{
    { "version is a text", "\"version\":7", "\"version\":\"7\"" },
    { "no version", "\"version\":7", "\"v\":7" },
    { "routes are no list", "\"routes\":[", "\"routes\":7,\"x\":[" },
    { "no host", "\"host\":\"h.example\",", "" },
    { "cut off", "\"limits\"", "\"limits" },
  };
  for (const ForgedCase& item : cases) {
    const std::string text = Replace(kConfigText, item.from_, item.to_);
    CHECK_FALSE_TEXT(DecodeConfig(text).ok(), item.name_);
  }
}

TEST(ConfigCodec, DecodesServers)
{
  const auto server = DecodeServer("i-1", kServerText);
  CHECK_TRUE(server.ok());
  STRCMP_EQUAL("s1", server->service_.c_str());
  STRCMP_EQUAL("10.0.0.9:8080", server->address_.c_str());
  STRCMP_EQUAL("z1", server->failureDomain_.c_str());
  LONGS_EQUAL(2, server->slots_);
  CHECK_FALSE(server->draining_);
  CHECK_TRUE(server->warmupLeft_ == milliseconds(1500));
  LONGS_EQUAL(4, server->sequence_);
  CHECK_TRUE(server->startedMillis_ == 1700000000000);
  const std::string leaving = Replace(kServerText, "ready", "draining");
  CHECK_TRUE(DecodeServer("i-1", leaving)->draining_);
}

// Entries that were not written by a server must not add a server.
TEST(ConfigCodec, ForgedServersAreIgnored)
{
  const std::vector<ForgedCase> cases{
    { "no service", "\"service\":\"s1\",", "" },
    { "service is a number", "\"service\":\"s1\"", "\"service\":1" },
    { "no address", "\"address\":\"10.0.0.9:8080\",", "" },
    { "address is a name", "10.0.0.9:8080", "server:8080" },
    { "no zone", "\"zone\":\"z1\",", "" },
    { "version is a number", "\"version\":\"v1\"", "\"version\":1" },
    { "slots are a text", "\"concurrency\":2", "\"concurrency\":\"2\"" },
    { "slots are negative", "\"concurrency\":2", "\"concurrency\":-2" },
    { "unknown state", "ready", "asleep" },
    { "state is null", "\"state\":\"ready\"", "\"state\":null" },
    { "no warm-up", "\"warmup-left-ms\":1500,", "" },
    { "no number of writes", "\"seq\":4,", "" },
    { "start is a fraction", "1700000000000", "1700000000000.5" },
    { "start is a text", "1700000000000", "\"1700000000000\"" },
    { "no JSON", "{", "" },
    { "port out of range", "10.0.0.9:8080", "10.0.0.9:88080" },
    { "port zero", "10.0.0.9:8080", "10.0.0.9:0" },
    { "negative port", "10.0.0.9:8080", "10.0.0.9:-1" },
    { "warm-up too long", ":1500", ":1e300" },
    { "warm-up beyond all numbers", ":1500", ":1e999" },
    { "start too large", "1700000000000", "18446744073709551615" },
    { "too many slots", "\"concurrency\":2", "\"concurrency\":4294967296" },
  };
  for (const ForgedCase& item : cases) {
    const std::string text = Replace(kServerText, item.from_, item.to_);
    CHECK_FALSE_TEXT(DecodeServer("i-1", text).ok(), item.name_);
  }
}

// Randomly mutated documents must not crash or hang the decoders.
TEST(ConfigCodec, MutatedDocumentsNeverCrash)
{
  std::mt19937_64 rng(11);
  for (int i = 0; i < 4000; ++i) {
    std::string text = i % 2 == 0 ? kConfigText : kServerText;
    for (std::uint64_t n = rng() % 4 + 1; n > 0; --n) {
      const std::size_t at = rng() % text.size();
      switch (rng() % 3) {
        case 0:
          text[at] = static_cast<char>(rng());
          break;
        case 1:
          text.erase(at, rng() % 8);
          break;
        default:
          text.insert(at, text.substr(rng() % text.size(), rng() % 12));
          break;
      }
      text += text.empty() ? "{" : "";
    }
    (void)DecodeConfig(text).ok();
    (void)DecodeServer("i-1", text).ok();
  }
}
