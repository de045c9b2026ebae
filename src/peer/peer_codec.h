/** Encoding of peer messages: Thrift's compact protocol. */
#pragma once

#include "machine/peer_type.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace camphorfield {

/** Version of the encoding; daemons of different versions don't talk. */
constexpr std::int16_t kPeerProtocolVersion = 1;

/** Largest payload of a frame; a generation's content is the largest one. */
constexpr std::uint32_t kMaxPeerFrameBytes = 32U * 1024U * 1024U;

/** Most elements of one list in a message. */
constexpr std::int32_t kMaxPeerListElements = 16384;

/**
 * Encodes a message.
 * @param aMessage Any message.
 * @return Payload of a frame, without the length in front.
 */
std::string
EncodePeerMessage(const PeerMessage& aMessage);

/**
 * Decodes a message.
 * @param aPayload Payload of a frame; any bytes.
 * @return The message; InvalidArgument when it is malformed or exceeds a
 * limit, FailedPrecondition when it is of another protocol version.
 */
absl::StatusOr<PeerMessage>
DecodePeerMessage(std::string_view aPayload);

} // namespace camphorfield
