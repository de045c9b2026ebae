// Encodes and decodes peer messages. Malformed or forged payloads are refused
// before they can crash the daemon or exhaust its memory.
#include "peer/peer_codec.h"

#include "peer/wire_internal.h"

#include <algorithm>
#include <memory>
#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <utility>

namespace camphorfield {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/** The deepest valid message nests six levels; more allows unknown fields. */
constexpr int kMaxNesting = 16;

void
SetBody(const GossipPing& aBody, wire::PeerFrame& aFrame)
{
  wire::Gossip gossip = GossipToWire(
    aBody.sequence_, aBody.members_, aBody.rumors_, aBody.viewHash_);
  if (aBody.sync_) {
    gossip.__set_sync(true);
    gossip.__set_syncAfter(IdToWire(aBody.syncAfter_));
  }
  SetAdopted(aBody.adopted_, gossip);
  aFrame.__set_ping(gossip);
}

void
SetBody(const GossipAck& aBody, wire::PeerFrame& aFrame)
{
  wire::Gossip gossip = GossipToWire(
    aBody.sequence_, aBody.members_, aBody.rumors_, aBody.viewHash_);
  if (aBody.syncNext_.IsValid()) {
    gossip.__set_syncNext(IdToWire(aBody.syncNext_));
  }
  SetAdopted(aBody.adopted_, gossip);
  aFrame.__set_ack(gossip);
}

void
SetBody(const GossipProbe& aBody, wire::PeerFrame& aFrame)
{
  wire::GossipProbe probe;
  probe.__set_sequence(static_cast<std::int64_t>(aBody.sequence_));
  probe.__set_target(MemberToWire(aBody.target_));
  aFrame.__set_probe(probe);
}

void
SetBody(const GenerationRequest& aBody, wire::PeerFrame& aFrame)
{
  wire::GenerationAsk ask;
  ask.__set_call(IdToWire(aBody.call_));
  ask.__set_generation(IdToWire(aBody.generation_));
  ask.__set_base(IdToWire(aBody.base_));
  aFrame.__set_generationAsk(ask);
}

void
SetBody(const GenerationContent& aBody, wire::PeerFrame& aFrame)
{
  wire::GenerationContent content;
  content.__set_call(IdToWire(aBody.call_));
  content.__set_generation(IdToWire(aBody.generation_));
  content.__set_changeId(aBody.changeId_);
  content.__set_digest(aBody.digest_);
  content.__set_content(aBody.content_);
  aFrame.__set_generationContent(content);
}

void
SetBody(const OrderForward& aBody, wire::PeerFrame& aFrame)
{
  aFrame.__set_orderForward(OrderForwardToWire(aBody));
}

void
SetBody(const OrderForwarded& aBody, wire::PeerFrame& aFrame)
{
  aFrame.__set_orderForwarded(OrderForwardedToWire(aBody));
}

void
SetBody(const OrderOutcomeCopy& aBody, wire::PeerFrame& aFrame)
{
  aFrame.__set_orderOutcomeCopy(OutcomeCopyToWire(aBody));
}

void
SetBody(const RelayBatch& aBody, wire::PeerFrame& aFrame)
{
  aFrame.__set_relayBatch(RelayBatchToWire(aBody));
}

void
SetBody(const RelayAnswers& aBody, wire::PeerFrame& aFrame)
{
  aFrame.__set_relayAnswers(RelayAnswersToWire(aBody));
}

void
SetBody(const CapMessage& aBody, wire::PeerFrame& aFrame)
{
  aFrame.__set_rateCap(CapToWire(aBody));
}

GossipPing
PingFromWire(const wire::Gossip& aWire)
{
  GossipPing out;
  out.sequence_ = static_cast<std::uint64_t>(aWire.sequence);
  out.viewHash_ = static_cast<std::uint64_t>(aWire.viewHash);
  out.sync_ = aWire.sync;
  IdFromWire(aWire.syncAfter, out.syncAfter_);
  out.adopted_ = AdoptedFromWire(aWire.adopted);
  GossipPayloadFromWire(aWire, out.members_, out.rumors_);
  return out;
}

GossipAck
AckFromWire(const wire::Gossip& aWire)
{
  GossipAck out;
  out.sequence_ = static_cast<std::uint64_t>(aWire.sequence);
  out.viewHash_ = static_cast<std::uint64_t>(aWire.viewHash);
  IdFromWire(aWire.syncNext, out.syncNext_);
  out.adopted_ = AdoptedFromWire(aWire.adopted);
  GossipPayloadFromWire(aWire, out.members_, out.rumors_);
  return out;
}

GenerationContent
ContentFromWire(const wire::GenerationContent& aWire)
{
  GenerationContent out;
  IdFromWire(aWire.call, out.call_);
  IdFromWire(aWire.generation, out.generation_);
  out.changeId_ = aWire.changeId;
  out.digest_ = aWire.digest;
  out.content_ = aWire.content;
  return out;
}

/** Counts the bodies of a frame; a valid frame has one. */
int
CountBodies(const wire::PeerFrame& aFrame)
{
  const auto& isset = aFrame.__isset;
  return isset.ping + isset.ack + isset.probe + isset.generationAsk +
         isset.generationContent + isset.orderForward + isset.orderForwarded +
         isset.orderOutcomeCopy + isset.relayBatch + isset.relayAnswers +
         isset.rateCap;
}

PeerBody
GossipBody(const wire::PeerFrame& aFrame)
{
  if (aFrame.__isset.ping) {
    return PingFromWire(aFrame.ping);
  }
  if (aFrame.__isset.ack) {
    return AckFromWire(aFrame.ack);
  }
  return GossipProbe{ static_cast<std::uint64_t>(aFrame.probe.sequence),
                      MemberFromWire(aFrame.probe.target) };
}

PeerBody
BodyFromWire(const wire::PeerFrame& aFrame)
{
  const auto& isset = aFrame.__isset;
  if (isset.ping || isset.ack || isset.probe) {
    return GossipBody(aFrame);
  }
  if (isset.generationAsk) {
    GenerationRequest ask;
    IdFromWire(aFrame.generationAsk.call, ask.call_);
    IdFromWire(aFrame.generationAsk.generation, ask.generation_);
    IdFromWire(aFrame.generationAsk.base, ask.base_);
    return ask;
  }
  if (isset.generationContent) {
    return ContentFromWire(aFrame.generationContent);
  }
  if (isset.orderForward) {
    return OrderForwardFromWire(aFrame.orderForward);
  }
  if (isset.orderForwarded) {
    return OrderForwardedFromWire(aFrame.orderForwarded);
  }
  if (isset.orderOutcomeCopy) {
    return OutcomeCopyFromWire(aFrame.orderOutcomeCopy);
  }
  if (isset.rateCap) {
    return CapFromWire(aFrame.rateCap);
  }
  if (isset.relayBatch) {
    return RelayBatchFromWire(aFrame.relayBatch);
  }
  return RelayAnswersFromWire(aFrame.relayAnswers);
}

void
ReadFrame(std::string_view aPayload, wire::PeerFrame& aFrame)
{
  // No string is longer than the payload, so a forged length is refused before
  // memory is allocated for it.
  const auto size = static_cast<std::uint32_t>(aPayload.size());
  const auto limit = static_cast<std::int32_t>(size);
  // Thrift counts some headers twice against the message limit.
  const int messageLimit = static_cast<int>(kMaxPeerFrameBytes) * 2;
  const auto config = std::make_shared<TConfiguration>(
    messageLimit, static_cast<int>(kMaxPeerFrameBytes), kMaxNesting);
  auto* bytes = reinterpret_cast<std::uint8_t*>(
    const_cast<char*>(aPayload.data())); // OBSERVE only reads
  const auto buffer = std::make_shared<TMemoryBuffer>(
    bytes, size, TMemoryBuffer::OBSERVE, config);
  TCompactProtocolT<TMemoryBuffer> protocol(
    buffer, limit, std::min(limit, kMaxPeerListElements));
  aFrame.read(&protocol);
  if (buffer->available_read() != 0) {
    throw WireError("bytes after the message");
  }
}

PeerMessage
MessageFromWire(const wire::PeerFrame& aFrame)
{
  if (CountBodies(aFrame) != 1) {
    throw WireError("a message holds exactly one body");
  }
  PeerMessage out;
  IdFromWire(aFrame.sender, out.from_);
  IdFromWire(aFrame.senderIncarnation, out.fromIncarnation_);
  out.sent_.unixMicros_ = aFrame.sentUnixMicros;
  out.sent_.logical_ = static_cast<std::uint32_t>(aFrame.sentLogical);
  out.body_ = BodyFromWire(aFrame);
  return out;
}

} // namespace

std::string
EncodePeerMessage(const PeerMessage& aMessage)
{
  wire::PeerFrame frame;
  frame.__set_protocolVersion(kPeerProtocolVersion);
  frame.__set_sender(IdToWire(aMessage.from_));
  frame.__set_senderIncarnation(IdToWire(aMessage.fromIncarnation_));
  frame.__set_sentUnixMicros(aMessage.sent_.unixMicros_);
  frame.__set_sentLogical(static_cast<std::int32_t>(aMessage.sent_.logical_));
  std::visit([&frame](const auto& aBody) { SetBody(aBody, frame); },
             aMessage.body_);
  const auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  frame.write(&protocol);
  return buffer->getBufferAsString();
}

absl::StatusOr<PeerMessage>
DecodePeerMessage(std::string_view aPayload)
{
  if (aPayload.empty() || aPayload.size() > kMaxPeerFrameBytes) {
    return absl::InvalidArgumentError("size of the payload out of range");
  }
  try {
    wire::PeerFrame frame;
    ReadFrame(aPayload, frame);
    if (frame.protocolVersion != kPeerProtocolVersion) {
      return absl::FailedPreconditionError("another protocol version");
    }
    return MessageFromWire(frame);
  } catch (const apache::thrift::TException& error) {
    return absl::InvalidArgumentError(error.what());
  } catch (const WireError& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

} // namespace camphorfield
