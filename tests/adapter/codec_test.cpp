// Decoding and encoding of the platform's documents and messages, malformed
// and forged ones included.
#include "adapter.h"
#include "config_codec.h"
#include "http_codec.h"
#include "settings_file.h"
#include "store_codec.h"

#include <CppUTest/TestHarness.h>
#include <random>
#include <string>
#include <vector>

using namespace camphorfield;
using namespace camphorfield::platform;

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

std::string
Replace(const std::string& aText,
        const std::string& aFrom,
        const std::string& aTo)
{
  std::string text = aText;
  const std::size_t at = text.find(aFrom);
  CHECK_TRUE(at != std::string::npos);
  text.replace(at, aFrom.size(), aTo);
  return text;
}

/** Replacement that makes a valid document invalid. */
struct ForgedCase
{
  const char* name_;
  const char* from_;
  const char* to_;
};

struct SettingCase
{
  const char* name_;
  const char* from_;
  const char* to_;
  const char* fault_; ///< Part of the message.
};

constexpr const char* kSettingsText = "node-name=edge-1\n"
                                      "ip=10.1.0.9\n"
                                      "zone=z1\n"
                                      "bind-addrs.front=10.1.0.9:8104\n"
                                      "bind-addrs.ready=10.1.0.9:8108\n"
                                      "bind-addrs.control=10.1.0.9:8106\n"
                                      "bind-addrs.directory=10.1.0.9:8100\n"
                                      "port-range=7380,7395\n"
                                      "seeds=10.1.0.9:8106,10.2.0.2:8106\n"
                                      "bounds.grace-s=6\n"
                                      "bounds.retry-budget-ratio=0.2\n"
                                      "bounds.budget-slack=52\n"
                                      "platform.address=10.200.1.7:8102\n"
                                      "some.new-field=1\n";

HttpResponse
ServerResponse(std::vector<HttpField> aFields)
{
  HttpResponse response;
  response.fields_ = std::move(aFields);
  response.body_ = "body";
  return response;
}

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

TEST_GROUP(StoreCodec){};

TEST(StoreCodec, EncodesCalls)
{
  StoreCall call;
  call.kind_ = "servers";
  STRCMP_EQUAL("/objects/servers", EncodeStoreCall(call).target_.c_str());
  call.after_ = "i 1";
  STRCMP_EQUAL("/objects/servers?after=i%201",
               EncodeStoreCall(call).target_.c_str());
  call.op_ = StoreOp::Watch;
  call.revision_ = 530;
  call.wait_ = seconds(20);
  STRCMP_EQUAL("/objects/servers?watch=530&wait-ms=20000",
               EncodeStoreCall(call).target_.c_str());
}

TEST(StoreCodec, DecodesReplyStatuses)
{
  struct Case
  {
    const char* name_;
    StoreOp op_;
    HttpEnd end_;
    std::uint32_t status_;
    const char* body_;
    StoreStatus expected_;
    std::size_t count_; ///< Items or changes.
  };
  const char* item = R"({"meta":{"name":"a","revision":3},"spec":{"x":1}})";
  const std::string list =
    std::string(R"({"items":[)") + item + R"(,7],"more":true,"as-of":9})";
  const std::string events = std::string(R"({"events":[{"deleted":true,)") +
                             R"("object":)" + item + R"(}],"as-of":9})";
  const std::vector<Case> cases{
    { "list",
      StoreOp::List,
      HttpEnd::Ok,
      200,
      list.c_str(),
      StoreStatus::Ok,
      1 },
    { "watch",
      StoreOp::Watch,
      HttpEnd::Ok,
      200,
      events.c_str(),
      StoreStatus::Ok,
      1 },
    { "history gone",
      StoreOp::Watch,
      HttpEnd::Ok,
      410,
      "",
      StoreStatus::HistoryGone,
      0 },
    { "over the rate",
      StoreOp::List,
      HttpEnd::Ok,
      429,
      "",
      StoreStatus::Refused,
      0 },
    { "busy", StoreOp::List, HttpEnd::Ok, 503, "", StoreStatus::Refused, 0 },
    { "reset", StoreOp::List, HttpEnd::Reset, 0, "", StoreStatus::Lost, 0 },
    { "silence",
      StoreOp::List,
      HttpEnd::TimedOut,
      0,
      "",
      StoreStatus::Lost,
      0 },
    { "cut off",
      StoreOp::List,
      HttpEnd::Truncated,
      200,
      list.c_str(),
      StoreStatus::Lost,
      0 },
    { "no JSON", StoreOp::List, HttpEnd::Ok, 200, "[", StoreStatus::Lost, 0 },
    { "no revision",
      StoreOp::List,
      HttpEnd::Ok,
      200,
      R"({"items":[]})",
      StoreStatus::Lost,
      0 },
  };
  for (const Case& one : cases) {
    StoreCall call;
    call.op_ = one.op_;
    HttpExchange exchange;
    exchange.end_ = one.end_;
    exchange.response_.status_ = one.status_;
    exchange.response_.body_ = one.body_;
    std::string fault;
    const StoreReply reply = DecodeStoreReply(call, exchange, fault);
    LONGS_EQUAL_TEXT(one.expected_, reply.status_, one.name_);
    LONGS_EQUAL_TEXT(
      one.count_, reply.items_.size() + reply.changes_.size(), one.name_);
    if (one.count_ > 0) {
      LONGS_EQUAL_TEXT(9, reply.revision_, one.name_);
      CHECK_TEXT(reply.more_ == (one.op_ == StoreOp::List), one.name_);
    }
  }
}

TEST(StoreCodec, RepliesNameTheEraOfTheStore)
{
  struct Case
  {
    const char* name_;
    std::uint32_t status_;
    const char* header_; ///< Null: none.
    std::uint64_t era_;
  };
  const std::vector<Case> cases{
    { "answer", 200, "3", 3 },
    { "history gone", 410, "4", 4 },
    { "rejection", 503, "5", 5 },
    { "no header", 200, nullptr, 0 },
    { "not a number", 200, "x", 0 },
    { "negative", 200, "-1", 0 },
    { "too large", 200, "99999999999999999999", 0 },
  };
  for (const Case& item : cases) {
    HttpExchange exchange;
    exchange.end_ = HttpEnd::Ok;
    exchange.response_.status_ = item.status_;
    exchange.response_.body_ = R"({"items":[],"as-of":9})";
    if (item.header_ != nullptr) {
      exchange.response_.fields_.push_back({ "Store-Era", item.header_ });
    }
    std::string fault;
    const StoreReply reply = DecodeStoreReply(StoreCall{}, exchange, fault);
    LONGS_EQUAL_TEXT(item.era_, reply.era_, item.name_);
  }
}

// Entries may come from another writer; one that can't be read names no server,
// and must not hide the others.
TEST(StoreCodec, OneUnreadableEntryHidesAllServers)
{
  struct Case
  {
    const char* name_;
    std::string entry_; ///< Between two sound ones.
    std::size_t decoded_;
  };
  const std::string nested = std::string(100, '[') + std::string(100, ']');
  const std::string abyss = std::string(200000, '[') + std::string(200000, ']');
  std::string objects;
  for (int i = 0; i < 5000; ++i) {
    objects += R"({"a":)";
  }
  objects += "1" + std::string(5000, '}');
  const std::vector<Case> cases{
    { "bytes that are no text",
      "{\"meta\":{\"name\":\"x\",\"revision\":7},\"spec\":\"\xff\xfe\"}",
      3 },
    { "bytes that are no text in its name",
      "{\"meta\":{\"name\":\"\xc3\x28\",\"revision\":7},\"spec\":{}}",
      3 },
    { "deeply nested",
      R"({"meta":{"name":"x","revision":7},"spec":)" + nested + "}",
      3 },
    { "huge numbers",
      R"({"meta":{"name":"x","revision":7},"spec":{"born":1e999}})",
      3 },
    { "very deeply nested lists",
      R"({"meta":{"name":"x","revision":7},"spec":)" + abyss + "}",
      3 },
    { "very deeply nested objects",
      R"({"meta":{"name":"x","revision":7},"spec":{"born":)" + objects + "}}",
      3 },
    { "an exponent too large for any number",
      R"({"meta":{"name":"x","revision":7},"spec":{"seq":1e99999999999}})",
      3 },
    { "a number of very many digits",
      R"({"meta":{"name":"x","revision":7},"spec":{"seq":)" +
        std::string(5000, '9') + "}}",
      3 },
    { "brackets and numbers in a text",
      R"({"meta":{"name":"x","revision":7},"spec":{"a":"[[\"1e99999999999"}})",
      3 },
    { "unpaired surrogates in its content",
      R"({"meta":{"name":"x","revision":7},"spec":{"service":"\udcff\udcfe"}})",
      3 },
    { "an unpaired surrogate in its name",
      R"({"meta":{"name":"\ud800","revision":7},"spec":{}})",
      2 },
    { "an unpaired surrogate as the name of a field",
      R"({"meta":{"name":"x","revision":7},"spec":{"\udcff":1}})",
      3 },
    { "an unpaired surrogate as the name of a field beside its content",
      R"({"meta":{"name":"x","revision":7},"\udcff":1,"spec":{}})",
      3 },
    { "an invalid escape",
      R"({"meta":{"name":"x","revision":7},"spec":{"a":"\x"}})",
      3 },
    { "no value", R"({"meta":{"name":"x","revision":7},"spec":})", 3 },
    { "nothing", "null", 2 },
    { "other types", R"({"meta":{"name":7,"revision":"x"},"spec":[]})", 2 },
  };
  for (const Case& item : cases) {
    for (const StoreOp op : { StoreOp::List, StoreOp::Watch }) {
      const auto wrap = [op](const std::string& aObject) {
        return op == StoreOp::List
                 ? aObject
                 : R"({"deleted":false,"object":)" + aObject + "}";
      };
      HttpExchange exchange;
      exchange.end_ = HttpEnd::Ok;
      exchange.response_.status_ = 200;
      exchange.response_.body_ =
        std::string(op == StoreOp::List ? R"({"items":[)" : R"({"events":[)") +
        wrap(R"({"meta":{"name":"a","revision":5},"spec":{}})") + "," +
        wrap(item.entry_) + "," +
        wrap(R"({"meta":{"name":"b","revision":6},"spec":{}})") +
        R"(],"as-of":9})";
      StoreCall call;
      call.op_ = op;
      std::string fault;
      const StoreReply reply = DecodeStoreReply(call, exchange, fault);
      LONGS_EQUAL_TEXT(StoreStatus::Ok, reply.status_, item.name_);
      LONGS_EQUAL_TEXT(
        item.decoded_, reply.items_.size() + reply.changes_.size(), item.name_);
    }
  }
}

// Part of an unreadable entry must not name a server, and what was readable
// beside it must stay as it was written.
TEST(StoreCodec, UnreadableContentIsDroppedWhole)
{
  struct Case
  {
    const char* content_;
    const char* kept_;
    std::size_t unreadable_;
  };
  const Case cases[] = {
    { R"({"a":"[[\"","b":1})", R"({"a":"[[\"","b":1})", 0 },
    { R"({"service":"s","x":"\ud800"})", "null", 1 },
    { R"({"service":"s","x":[{"y":"\q"}]})", "null", 1 },
  };
  for (const Case& item : cases) {
    HttpExchange exchange;
    exchange.end_ = HttpEnd::Ok;
    exchange.response_.status_ = 200;
    exchange.response_.body_ =
      std::string(R"({"items":[{"meta":{"name":"x","revision":7},"spec":)") +
      item.content_ + R"(}],"as-of":9})";
    std::string fault;
    const StoreReply reply = DecodeStoreReply(StoreCall{}, exchange, fault);
    LONGS_EQUAL_TEXT(1, reply.items_.size(), item.content_);
    STRCMP_EQUAL(item.kept_, reply.items_[0].text_.c_str());
    LONGS_EQUAL_TEXT(item.unreadable_, reply.unreadable_, item.content_);
  }
}

// Replies with random bytes inside entries must never hide the sound entries.
TEST(StoreCodec, RandomBytesInOneEntryHideNoOther)
{
  std::mt19937_64 rng(11);
  const std::string pieces[] = { R"(\ud800)", R"(\u12)", R"(\x)", R"(\\)",
                                 R"(\")",     "\xff",    "\xe9",  "[",
                                 "}",         "{",       ",",     "a" };
  for (int i = 0; i < 2000; ++i) {
    std::string text;
    for (std::uint64_t n = rng() % 8; n > 0; --n) {
      text += pieces[rng() % std::size(pieces)];
    }
    HttpExchange exchange;
    exchange.end_ = HttpEnd::Ok;
    exchange.response_.status_ = 200;
    exchange.response_.body_ =
      R"({"items":[{"meta":{"name":"a"},"spec":{}},)"
      R"({"meta":{"name":"x"},"spec":{"service":")" +
      text + R"("}},{"meta":{"name":"b"},"spec":{}}],"as-of":9})";
    std::string fault;
    const StoreReply reply = DecodeStoreReply(StoreCall{}, exchange, fault);
    LONGS_EQUAL_TEXT(3, reply.items_.size(), text.c_str());
  }
}

TEST_GROUP(HttpCodec){};

TEST(HttpCodec, RequestsAreForwardedUnchanged)
{
  HttpRequest request;
  request.methodText_ = "POST";
  request.target_ = "/a/b?c=d";
  request.body_ = "payload";
  request.fields_ = { { "Host", "h.example" },
                      { "Request-Id", "r1" },
                      { "Deadline-Ms", "500" },
                      { "X-Own", "1" },
                      { "Connection", "keep-alive, X-Hop" },
                      { "X-Hop", "2" },
                      { "Transfer-Encoding", "chunked" },
                      { "Expect-Instance", "i-forged" } };
  const GatewayCodec& codec = GetGatewayCodec();
  const ProxyRequest decoded = codec.decodeRequest_(std::move(request));
  CHECK_TRUE(decoded.callerTimeout_ == milliseconds(500));
  STRCMP_EQUAL("/a/b", decoded.message_->path_.c_str());
  BackendSend send;
  send.message_ = decoded.message_;
  send.remaining_ = milliseconds(420);
  send.expectedServer_ = "i-1";
  STRCMP_EQUAL("POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\n"
               "Request-Id: r1\r\nDeadline-Ms: 420\r\n"
               "Expect-Instance: i-1\r\nX-Own: 1\r\n"
               "Content-Length: 7\r\n\r\npayload",
               codec.encodeSend_(send).c_str());
}

TEST(HttpCodec, DecodesCallerDeadlines)
{
  struct Case
  {
    const char* text_;
    std::int64_t millis_;
  };
  const std::vector<Case> cases{
    { "500", 500 }, { "0", 0 }, { "-5", 0 }, { "soon", 0 }, { "", 0 },
  };
  for (const Case& item : cases) {
    HttpRequest request;
    request.fields_ = { { "Deadline-Ms", item.text_ } };
    CHECK_TEXT(
      GetGatewayCodec().decodeRequest_(std::move(request)).callerTimeout_ ==
        milliseconds(item.millis_),
      item.text_);
  }
}

TEST(HttpCodec, AnswersOfServers)
{
  const BackendAnswer answer = GetGatewayCodec().decodeAnswer_(
    ServerResponse({ { "Request-Id", "r1" },
                     { "Server-Stamp", "stamp" },
                     { "Server-Load", "3,1,8,250" },
                     { "Keep-Alive", "timeout=5, max=100" },
                     { "Content-Type", "x/y" } }));
  STRCMP_EQUAL("r1", answer.requestId_.c_str());
  STRCMP_EQUAL("stamp", answer.proof_.c_str());
  CHECK_TRUE(answer.load_.known_);
  LONGS_EQUAL(1, answer.load_.waiting_);
  LONGS_EQUAL(250, answer.load_.slowness_);
  CHECK_TRUE(answer.keepAlive_ == seconds(5));
  // Id, proof, load and type go through to the caller.
  LONGS_EQUAL(4, answer.fields_.size());
}

// What can't be read says nothing.
TEST(HttpCodec, GuidanceOfServers)
{
  struct Case
  {
    const char* field_;
    const char* text_;
    std::uint32_t status_;
    double limit_; ///< Requests a second; below 0: none.
    bool leaving_;
    Duration retryAfter_;
    bool malformed_ = false;
  };
  const Duration none = Duration::zero();
  const std::vector<Case> cases{
    { "Server-Limit", "21.5", 200, 21.5, false, none },
    { "Server-Limit", "0", 503, 0.0, false, none },
    { "Server-Limit", "-1", 200, -1.0, false, none, true },
    { "Server-Limit", "nan", 200, -1.0, false, none, true },
    { "Server-Limit", "inf", 200, -1.0, false, none, true },
    { "Server-Limit", "", 200, -1.0, false, none, true },
    { "Server-Limit", "12 a second", 200, -1.0, false, none, true },
    { "Server-Leaving", "1", 200, -1.0, true, none },
    { "server-leaving", "1", 500, -1.0, true, none },
    { "Server-Leaving", "0", 200, -1.0, false, none },
    { "Retry-After", "1.5", 503, -1.0, false, milliseconds(1500) },
    { "Retry-After", "1.5", 200, -1.0, false, none },
    { "Retry-After", "-3", 503, -1.0, false, none, true },
    { "Retry-After", "1e9", 503, -1.0, false, none, true },
    { "Retry-After",
      "Fri, 04 Dec 2026 20:00:00 GMT",
      503,
      -1.0,
      false,
      none,
      true },
  };
  for (const Case& item : cases) {
    HttpResponse response = ServerResponse({ { item.field_, item.text_ } });
    response.status_ = item.status_;
    const BackendAnswer answer =
      GetGatewayCodec().decodeAnswer_(std::move(response));
    DOUBLES_EQUAL_TEXT(
      item.limit_, answer.requestLimit_.value_or(-1.0), 1e-9, item.text_);
    CHECK_TEXT(answer.leaving_ == item.leaving_, item.text_);
    CHECK_TEXT(answer.retryAfter_ == item.retryAfter_, item.text_);
    CHECK_TEXT(answer.malformedGuidance_ == item.malformed_, item.text_);
  }
  // A field that is there twice says nothing.
  for (const char* field :
       { "Server-Limit", "Server-Leaving", "Retry-After" }) {
    HttpResponse response = ServerResponse({ { field, "1" }, { field, "1" } });
    response.status_ = 503;
    const BackendAnswer answer =
      GetGatewayCodec().decodeAnswer_(std::move(response));
    CHECK_TEXT(answer.malformedGuidance_, field);
    CHECK_TEXT(!answer.requestLimit_ && !answer.leaving_, field);
    CHECK_TEXT(answer.retryAfter_ == none, field);
  }
}

TEST(HttpCodec, AnswersToCallers)
{
  struct Case
  {
    const char* name_;
    ProxyCode code_;
    std::uint32_t status_;
    bool hasRetryAfter_;
  };
  const std::vector<Case> cases{
    { "no route", ProxyCode::NoRoute, 404, false },
    { "no configuration", ProxyCode::NotReady, 503, true },
    { "overloaded", ProxyCode::Overloaded, 503, true },
    { "no server", ProxyCode::NoServer, 503, true },
    { "not run", ProxyCode::NotRun, 503, true },
    { "crashes servers", ProxyCode::Quarantined, 503, true },
    { "failed", ProxyCode::Failed, 502, false },
    { "too late", ProxyCode::TimedOut, 504, false },
    { "too few shards", ProxyCode::LowCoverage, 502, false },
  };
  for (const Case& item : cases) {
    ProxyAnswer answer;
    answer.code_ = item.code_;
    answer.retryAfter_ = milliseconds(250);
    const HttpResponse response =
      GetGatewayCodec().encodeAnswer_(std::move(answer));
    LONGS_EQUAL_TEXT(item.status_, response.status_, item.name_);
    const std::string after(FindField(response.fields_, "Retry-After"));
    STRCMP_EQUAL_TEXT(
      item.hasRetryAfter_ ? "0.25" : "", after.c_str(), item.name_);
  }
  ProxyAnswer merged;
  merged.code_ = ProxyCode::Merged;
  merged.proofs_ = { "p1", "p2" };
  merged.missing_ = 1;
  const HttpResponse response =
    GetGatewayCodec().encodeAnswer_(std::move(merged));
  LONGS_EQUAL(200, response.status_);
  STRCMP_EQUAL("p1, p2",
               std::string(FindField(response.fields_, "Part-Stamps")).c_str());
  STRCMP_EQUAL(
    "1", std::string(FindField(response.fields_, "Missing-Parts")).c_str());
}

TEST(HttpCodec, DirectoryAndReadiness)
{
  EntriesAnswer answer;
  LONGS_EQUAL(503, EncodeResolve(answer).status_);
  answer.entries_.push_back({ "10.1.0.9:8104", "z1", "edge-1" });
  answer.keepFor_ = seconds(2);
  STRCMP_EQUAL(R"({"addrs":["10.1.0.9:8104"],"ttl_s":2})",
               EncodeResolve(answer).body_.c_str());
  HttpRequest request;
  request.target_ = "/resolve?name=h.example&region=r&zone=z1";
  CHECK_TRUE(IsResolve(request));
  STRCMP_EQUAL("z1", DecodeResolve(request).c_str());
  request.target_ = "/ready";
  LONGS_EQUAL(200, EncodeReady(request, true).status_);
  LONGS_EQUAL(503, EncodeReady(request, false).status_);
}

TEST_GROUP(SettingsFile){};

TEST(SettingsFile, DecodesUsedKeys)
{
  const auto settings = DecodeSettings(kSettingsText);
  CHECK_TRUE(settings.ok());
  STRCMP_EQUAL("edge-1", settings->name_.c_str());
  STRCMP_EQUAL("10.1.0.9:7380", settings->metricsAddress_.c_str());
  // The daemon's own address is removed from the seeds.
  LONGS_EQUAL(1, settings->seeds_.size());
  DOUBLES_EQUAL(52.0, settings->budget_.slack_, 1e-9);
  CHECK_TRUE(settings->stopGrace_ == seconds(6));
}

// Each further table that is read costs calls of the store.
TEST(SettingsFile, EvacuationsAreFollowedWithoutTheirBound)
{
  const auto without = DecodeSettings(kSettingsText);
  CHECK_TRUE(without.ok());
  CHECK_TRUE(MakeHostSettings(*without).evacuationsKind_.empty());
  DOUBLES_EQUAL(0.0, without->warmupOverage_ + without->warmupSlack_, 1e-9);
  const auto with =
    DecodeSettings(std::string(kSettingsText) + "bounds.evacuate-ms=5000\n"
                                                "bounds.warmup-overage=1.5\n"
                                                "bounds.warmup-slack=5\n"
                                                "zones.z1=north\n");
  CHECK_TRUE(with.ok());
  const GatewayHostSettings host = MakeHostSettings(*with);
  STRCMP_EQUAL("evacuations", host.evacuationsKind_.c_str());
  CHECK_TRUE(host.evacuateWithin_ == seconds(5));
  STRCMP_EQUAL("north", host.gateway_.regionOf_.at("z1").c_str());
  DOUBLES_EQUAL(1.5, host.gateway_.warmupOverage_, 1e-9);
  DOUBLES_EQUAL(5.0, host.gateway_.warmupSlack_, 1e-9);
}

TEST(SettingsFile, ErrorsNameKeyAndValue)
{
  const std::vector<SettingCase> cases{
    { "no name", "node-name=edge-1\n", "", "6100: node-name=" },
    { "no store",
      "platform.address=10.200.1.7:8102",
      "",
      "6100: platform.address=" },
    { "address", "10.1.0.9:8104", "front", "6101: bind-addrs.front=front" },
    { "seed", "10.2.0.2:8106", "seed", "6101: seeds=seed" },
    { "number", "slack=52", "slack=many", "6102: bounds.budget-slack=many" },
    { "negative", "slack=52", "slack=-1", "6102: bounds.budget-slack=-1" },
  };
  for (const SettingCase& item : cases) {
    const auto settings =
      DecodeSettings(Replace(kSettingsText, item.from_, item.to_));
    CHECK_FALSE_TEXT(settings.ok(), item.name_);
    const std::string message(settings.status().message());
    CHECK_TEXT(message.find(item.fault_) != std::string::npos, message.c_str());
  }
}
