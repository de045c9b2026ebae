// Peer messages must survive encoding unchanged, and malformed payloads must be
// refused without a crash.
#include "core/hash_func.h"
#include "core/rng_type.h"
#include "peer/peer_codec.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <string>
#include <vector>

using namespace camphorfield;

namespace {

SharedText
Text(std::string aText)
{
  return std::make_shared<const std::string>(std::move(aText));
}

MemberRecord
FullRecord()
{
  MemberRecord record;
  record.name_ = "entry-1";
  record.id_.value_ = HashText(record.name_);
  record.incarnation_.value_ = 1764800000000000ULL;
  record.heartbeat_ = 17;
  record.state_ = MemberState::Leaving;
  record.peerAddress_ = "10.0.0.1:7000";
  record.callerAddress_ = "10.0.0.1:7001";
  record.operatorAddress_ = "10.0.0.1:7002";
  record.failureDomain_ = "kgl-a";
  record.ready_ = true;
  record.generation_.value_ = 991;
  record.load_ = 420;
  record.capacity_ = 250;
  return record;
}

MemberRecord
MinimalRecord()
{
  MemberRecord record;
  record.id_.value_ = 0xfedcba9876543210ULL;
  record.incarnation_.value_ = 5;
  return record;
}

PeerMessage
Message(PeerBody aBody)
{
  PeerMessage message;
  message.from_.value_ = 0x8000000000000001ULL;
  message.fromIncarnation_.value_ = 77;
  message.sent_ = HybridTime{ 1764800000000001, 4 };
  message.body_ = std::move(aBody);
  return message;
}

RelayBatch
FullBatch()
{
  RelayedSub sub;
  sub.request_.id_.value_ = 11;
  sub.request_.connection_.value_ = 12;
  sub.request_.kind_ = SubKind::Order;
  sub.request_.service_ = "order-desk-3";
  sub.request_.shard_ = "s7";
  sub.request_.version_.value_ = 9;
  sub.request_.key_ = "k";
  sub.request_.cancels_.value_ = 10;
  sub.request_.body_ = Text("query");
  sub.server_ = "b2";
  sub.remaining_ = Duration(67000);
  sub.fingerprint_.value_ = 0xffffffffffffffffULL;
  return RelayBatch{ PeerCallId{ 21 }, { sub, RelayedSub{} } };
}

RelayAnswers
FullAnswers()
{
  SubAnswer answer;
  answer.id_.value_ = 11;
  answer.connection_.value_ = 12;
  answer.status_ = SubStatus::WrongVersion;
  answer.statedId_.value_ = 13;
  answer.statedShard_ = "s7";
  answer.statedVersion_.value_ = 8;
  answer.draining_ = true;
  answer.closing_ = true;
  answer.load_ = 0.25;
  answer.versions_ = { SnapshotVersion{ 7 }, SnapshotVersion{ 8 } };
  answer.body_ = Text(std::string("\0binary\xff", 8));
  return RelayAnswers{ PeerCallId{ 21 }, { answer, SubAnswer{} } };
}

GossipPing
FullPing()
{
  return GossipPing{ 3,
                     { FullRecord(), MinimalRecord() },
                     { LeavingRumor{ "b1", false, 123, true },
                       QuarantineRumor{ Fingerprint{ 0x9000000000000000ULL },
                                        2,
                                        456,
                                        { 7,
                                          { 1, 2, 0x9000000000000000ULL },
                                          { 4, 5 },
                                          { 6 },
                                          0x9000000000000008ULL,
                                          12 } } },
                     0xaaaaaaaaaaaaaaaaULL,
                     true,
                     DaemonId{ 0xbbbbbbbbbbbbbbbbULL },
                     AdoptedSet{ Generation{ 4 },
                                 0xccccccccccccccccULL,
                                 std::string("\0\x81", 2) } };
}

/** One message of each kind. */
std::vector<PeerMessage>
AllKinds()
{
  const GossipPing ping = FullPing();
  std::vector<PeerMessage> all;
  all.push_back(Message(ping));
  all.push_back(Message(GossipAck{ ping.sequence_,
                                   ping.members_,
                                   ping.rumors_,
                                   ping.viewHash_,
                                   DaemonId{ 5 } }));
  all.push_back(Message(GossipProbe{ 6, FullRecord() }));
  all.push_back(Message(GenerationRequest{ PeerCallId{ 1 }, Generation{ 2 } }));
  all.push_back(Message(
    GenerationContent{ PeerCallId{ 1 }, Generation{ 2 }, "c", "d", "{}" }));
  all.push_back(Message(CapMessage{ CapMessageKind::Grant,
                                    0x9000000000000000ULL,
                                    3,
                                    4,
                                    true,
                                    DaemonId{ 5 },
                                    Duration(6),
                                    Duration(7) }));
  all.push_back(Message(OrderForward{ PeerCallId{ 4 },
                                      "parish",
                                      "reorder",
                                      "key",
                                      Text("body"),
                                      Duration(5000),
                                      Generation{ 6 } }));
  all.push_back(Message(OrderForwarded{
    PeerCallId{ 4 }, ResultCode::OutcomeUnknown, false, true, Text("out") }));
  all.push_back(Message(OrderOutcomeCopy{ "parish",
                                          "key",
                                          Fingerprint{ 7 },
                                          ResultCode::OrderRefused,
                                          Text("a"),
                                          8 }));
  all.push_back(Message(FullBatch()));
  all.push_back(Message(FullAnswers()));
  return all;
}

PeerMessage
RoundTrip(const PeerMessage& aMessage)
{
  absl::StatusOr<PeerMessage> decoded =
    DecodePeerMessage(EncodePeerMessage(aMessage));
  CHECK_TRUE(decoded.ok());
  return decoded.ok() ? *std::move(decoded) : PeerMessage{};
}

template<typename Body>
Body
RoundTripBody(const Body& aBody)
{
  const PeerMessage message = RoundTrip(Message(aBody));
  CHECK_TRUE(std::holds_alternative<Body>(message.body_));
  const Body* body = std::get_if<Body>(&message.body_);
  return body != nullptr ? *body : Body{};
}

void
CheckRecord(const MemberRecord& aExpected, const MemberRecord& aActual)
{
  CHECK_TRUE(aExpected.id_ == aActual.id_);
  CHECK_TRUE(aExpected.name_ == aActual.name_);
  CHECK_TRUE(aExpected.incarnation_ == aActual.incarnation_);
  CHECK_TRUE(aExpected.heartbeat_ == aActual.heartbeat_);
  CHECK_TRUE(aExpected.state_ == aActual.state_);
  CHECK_TRUE(aExpected.peerAddress_ == aActual.peerAddress_);
  CHECK_TRUE(aExpected.callerAddress_ == aActual.callerAddress_);
  CHECK_TRUE(aExpected.operatorAddress_ == aActual.operatorAddress_);
  CHECK_TRUE(aExpected.failureDomain_ == aActual.failureDomain_);
  CHECK_TRUE(aExpected.ready_ == aActual.ready_);
  CHECK_TRUE(aExpected.generation_ == aActual.generation_);
  CHECK_TRUE(aExpected.load_ == aActual.load_);
  CHECK_TRUE(aExpected.capacity_ == aActual.capacity_);
}

} // namespace

TEST_GROUP(PeerCodec){};

TEST(PeerCodec, HeaderRoundTrips)
{
  for (const PeerMessage& message : AllKinds()) {
    const PeerMessage back = RoundTrip(message);
    CHECK_TRUE(back.from_ == message.from_);
    CHECK_TRUE(back.fromIncarnation_ == message.fromIncarnation_);
    CHECK_TRUE(back.sent_ == message.sent_);
    CHECK_EQUAL(message.body_.index(), back.body_.index());
    CHECK_TRUE(EncodePeerMessage(back) == EncodePeerMessage(message));
  }
  CHECK_EQUAL(std::variant_size_v<PeerBody>, AllKinds().size());
}

TEST(PeerCodec, GossipRoundTrips)
{
  const GossipPing ping = RoundTripBody(FullPing());
  LONGS_EQUAL(3, ping.sequence_);
  CHECK_TRUE(ping.viewHash_ == 0xaaaaaaaaaaaaaaaaULL);
  CHECK_EQUAL(2U, ping.members_.size());
  CheckRecord(FullRecord(), ping.members_[0]);
  CheckRecord(MinimalRecord(), ping.members_[1]);
  CHECK_EQUAL(2U, ping.rumors_.size());
  const auto& leaving = std::get<LeavingRumor>(ping.rumors_[0]);
  CHECK_TRUE(leaving.server_ == "b1");
  CHECK_FALSE(leaving.leaving_);
  LONGS_EQUAL(123, leaving.unixMicros_);
  CHECK_TRUE(leaving.listed_);
  CHECK_TRUE(ping.sync_);
  CHECK_TRUE(ping.syncAfter_ == FullPing().syncAfter_);
  const auto ack = RoundTripBody(
    GossipAck{ 9, {}, {}, 8, DaemonId{ 7 }, FullPing().adopted_ });
  LONGS_EQUAL(9, ack.sequence_);
  LONGS_EQUAL(8, ack.viewHash_);
  LONGS_EQUAL(7, ack.syncNext_.value_);
  for (const AdoptedSet& set : { ping.adopted_, ack.adopted_ }) {
    LONGS_EQUAL(4, set.generation_.value_);
    CHECK_TRUE(set.rosterHash_ == FullPing().adopted_.rosterHash_);
    CHECK_TRUE(set.members_ == FullPing().adopted_.members_);
  }
  const auto& quarantine = std::get<QuarantineRumor>(ping.rumors_[1]);
  CHECK_TRUE(quarantine.fingerprint_.value_ == 0x9000000000000000ULL);
  LONGS_EQUAL(2, quarantine.crashes_);
  LONGS_EQUAL(456, quarantine.untilUnixMicros_);
  CHECK_TRUE(quarantine.evidence_ ==
             (CrashEvidence{ 7,
                             { 1, 2, 0x9000000000000000ULL },
                             { 4, 5 },
                             { 6 },
                             0x9000000000000008ULL,
                             12 }));
  const GossipProbe probe = RoundTripBody(GossipProbe{ 6, FullRecord() });
  LONGS_EQUAL(6, probe.sequence_);
  CheckRecord(FullRecord(), probe.target_);
}

TEST(PeerCodec, GenerationsRoundTrip)
{
  const auto ask = RoundTripBody(
    GenerationRequest{ PeerCallId{ 1 }, Generation{ 2 }, Generation{ 3 } });
  LONGS_EQUAL(1, ask.call_.value_);
  LONGS_EQUAL(2, ask.generation_.value_);
  LONGS_EQUAL(3, ask.base_.value_);
  const auto content = RoundTripBody(
    GenerationContent{ PeerCallId{ 1 }, Generation{ 2 }, "c", "d", "{}" });
  LONGS_EQUAL(1, content.call_.value_);
  LONGS_EQUAL(2, content.generation_.value_);
  CHECK_TRUE(content.changeId_ == "c");
  CHECK_TRUE(content.digest_ == "d");
  CHECK_TRUE(content.content_ == "{}");
}

TEST(PeerCodec, OrdersRoundTrip)
{
  const auto forward = RoundTripBody(OrderForward{
    PeerCallId{ 4 }, "p", "r", "k", Text("b"), Duration(50), Generation{ 6 } });
  LONGS_EQUAL(4, forward.call_.value_);
  CHECK_TRUE(forward.caller_ == "p");
  CHECK_TRUE(forward.route_ == "r");
  CHECK_TRUE(forward.key_ == "k");
  CHECK_TRUE(*forward.body_ == "b");
  CHECK_TRUE(forward.remaining_ == Duration(50));
  LONGS_EQUAL(6, forward.generation_.value_);
  const auto done = RoundTripBody(OrderForwarded{
    PeerCallId{ 4 }, ResultCode::OutcomeUnknown, false, true, nullptr });
  LONGS_EQUAL(4, done.call_.value_);
  CHECK_TRUE(done.code_ == ResultCode::OutcomeUnknown);
  CHECK_FALSE(done.accepted_);
  CHECK_TRUE(done.replayed_);
  CHECK_TRUE(done.body_ == nullptr);
  const auto copy = RoundTripBody(OrderOutcomeCopy{
    "p", "k", Fingerprint{ 7 }, ResultCode::OrderRefused, Text("a"), 8 });
  CHECK_TRUE(copy.caller_ == "p");
  CHECK_TRUE(copy.key_ == "k");
  LONGS_EQUAL(7, copy.body_.value_);
  CHECK_TRUE(copy.code_ == ResultCode::OrderRefused);
  CHECK_TRUE(*copy.answer_ == "a");
  LONGS_EQUAL(8, copy.unixMicros_);
}

TEST(PeerCodec, RelayedRequestsRoundTrip)
{
  const RelayBatch expected = FullBatch();
  const RelayBatch batch = RoundTripBody(expected);
  LONGS_EQUAL(21, batch.call_.value_);
  CHECK_EQUAL(2U, batch.subs_.size());
  const RelayedSub& sub = batch.subs_[0];
  LONGS_EQUAL(11, sub.request_.id_.value_);
  LONGS_EQUAL(12, sub.request_.connection_.value_);
  CHECK_TRUE(sub.request_.kind_ == SubKind::Order);
  CHECK_TRUE(sub.request_.service_ == "order-desk-3");
  CHECK_TRUE(sub.request_.shard_ == "s7");
  LONGS_EQUAL(9, sub.request_.version_.value_);
  CHECK_TRUE(sub.request_.key_ == "k");
  LONGS_EQUAL(10, sub.request_.cancels_.value_);
  CHECK_TRUE(*sub.request_.body_ == "query");
  CHECK_TRUE(sub.server_ == "b2");
  CHECK_TRUE(sub.remaining_ == Duration(67000));
  CHECK_TRUE(sub.fingerprint_ == expected.subs_[0].fingerprint_);
  CHECK_TRUE(batch.subs_[1].request_.body_ == nullptr);
}

TEST(PeerCodec, RelayedAnswersRoundTrip)
{
  const RelayAnswers expected = FullAnswers();
  const RelayAnswers answers = RoundTripBody(expected);
  LONGS_EQUAL(21, answers.call_.value_);
  CHECK_EQUAL(2U, answers.answers_.size());
  const SubAnswer& answer = answers.answers_[0];
  LONGS_EQUAL(11, answer.id_.value_);
  LONGS_EQUAL(12, answer.connection_.value_);
  CHECK_TRUE(answer.status_ == SubStatus::WrongVersion);
  LONGS_EQUAL(13, answer.statedId_.value_);
  CHECK_TRUE(answer.statedShard_ == "s7");
  LONGS_EQUAL(8, answer.statedVersion_.value_);
  CHECK_TRUE(answer.draining_);
  CHECK_TRUE(answer.closing_);
  DOUBLES_EQUAL(0.25, answer.load_, 0.0);
  CHECK_TRUE(answer.versions_ == expected.answers_[0].versions_);
  CHECK_TRUE(*answer.body_ == *expected.answers_[0].body_);
  DOUBLES_EQUAL(-1.0, answers.answers_[1].load_, 0.0);
}

namespace {

/** Payload that must be refused. */
struct MalformedCase
{
  const char* name_;
  std::string payload_;
  const char* error_; ///< Part of the error's text.
};

std::string
Bytes(std::vector<unsigned char> aBytes)
{
  return { aBytes.begin(), aBytes.end() };
}

} // namespace

TEST(PeerCodec, MalformedPayloadsAreRefused)
{
  const std::string valid =
    EncodePeerMessage(Message(GenerationRequest{ PeerCallId{ 1 }, {} }));
  // Field headers of the compact protocol: delta << 4 | type.
  // clang-format off
  const std::vector<MalformedCase> cases{
    { "empty", "", "size" },
    { "cut short", valid.substr(0, valid.size() - 1), "No more data" },
    { "bytes after the end", valid + "x", "after the message" },
    { "no body", Bytes({ 0x14, 0x02, 0x00 }), "exactly one body" },
    { "two bodies", Bytes({ 0x14, 0x02, 0x9c, 0x00, 0x1c, 0x00, 0x00 }), "exactly one body" },
    { "state 9 of a member", Bytes({ 0x14, 0x02, 0xbc, 0x2c, 0x54, 0x12, 0x00, 0x00, 0x00 }), "enumerator" },
    { "list of 2^31 members", Bytes({ 0x14, 0x02, 0x9c, 0x29, 0xfc, 0xff, 0xff, 0xff, 0xff, 0x07, 0x00 }), "size limit" },
    { "text of 2^31 bytes", Bytes({ 0x14, 0x02, 0xdc, 0x38, 0xff, 0xff, 0xff, 0xff, 0x07, 0x00 }), "size limit" },
    { "negative length", Bytes({ 0x14, 0x02, 0xdc, 0x38, 0xff, 0xff, 0xff, 0xff, 0x0f, 0x00 }), "egative size" },
    { "order's answer without a result", Bytes({ 0x14, 0x02, 0x0c, 0x20, 0x16, 0x02, 0x00, 0x00 }), "lacks its result" },
    { "sub-answer without a status", Bytes({ 0x14, 0x02, 0x0c, 0x26, 0x29, 0x1c, 0x00, 0x00, 0x00 }), "lacks its status" },
    { "endless nesting", Bytes({ 0x14, 0x02, 0x9c }) + std::string(5000, 0x7c), "epth" },
  };
  // clang-format on
  for (const MalformedCase& row : cases) {
    const absl::Status status = DecodePeerMessage(row.payload_).status();
    CHECK_TRUE_TEXT(absl::IsInvalidArgument(status), row.name_);
    STRCMP_CONTAINS_TEXT(
      row.error_, std::string(status.message()).c_str(), row.name_);
  }
}

TEST(PeerCodec, OtherVersionsAreRefused)
{
  for (const unsigned char zigzag : { 0x00, 0x01, 0x04 }) {
    std::string payload =
      EncodePeerMessage(Message(GenerationRequest{ PeerCallId{ 1 }, {} }));
    payload[1] = static_cast<char>(zigzag);
    CHECK_TRUE(absl::IsFailedPrecondition(DecodePeerMessage(payload).status()));
  }
}

TEST(PeerCodec, MutatedPayloadsNeverCrash)
{
  constexpr int kRounds = 3000;
  Rng rng(20261204);
  std::size_t refused = 0;
  for (const PeerMessage& message : AllKinds()) {
    const std::string valid = EncodePeerMessage(message);
    for (int round = 0; round < kRounds; ++round) {
      std::string payload = valid;
      for (std::uint64_t flips = 1 + rng() % 4; flips > 0; --flips) {
        payload[rng() % payload.size()] = static_cast<char>(rng());
      }
      if (rng() % 8 == 0) {
        payload.resize(rng() % payload.size());
      }
      const absl::StatusOr<PeerMessage> decoded = DecodePeerMessage(payload);
      if (!decoded.ok()) {
        ++refused;
        continue;
      }
      // An accepted message must be valid when it is encoded again.
      CHECK_TRUE(DecodePeerMessage(EncodePeerMessage(*decoded)).ok());
    }
  }
  CHECK_TRUE(refused > 0);
}
