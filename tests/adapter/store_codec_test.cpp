// Calls of the platform's store and its replies, malformed ones included.
#include "store_codec.h"

#include <CppUTest/TestHarness.h>
#include <random>
#include <string>
#include <vector>

using namespace camphorfield;
using namespace camphorfield::platform;

using std::chrono::seconds;

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
