/** Encoding of peer messages: Thrift's compact protocol. */
#pragma once

#include "machine/peer_type.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace camphorfield {

/** Version of the encoding; daemons refuse messages of other versions. */
constexpr std::int16_t kPeerProtocolVersion = 1;

/** Maximum payload of a frame in bytes; the largest is a generation's content.
 */
constexpr std::uint32_t kMaxPeerFrameBytes = 32U * 1024U * 1024U;

/** Maximum number of elements of one list in a message. */
constexpr std::int32_t kMaxPeerListElements = 16384;

/**
 * Encodes a message.
 * @param aMessage Any message.
 * @return Payload of a frame, without the length prefix.
 */
std::string
EncodePeerMessage(const PeerMessage& aMessage);

/**
 * Decodes a message.
 * @param aPayload Payload of a frame; may be malformed.
 * @return The message; InvalidArgument when it is malformed or exceeds a
 * limit, FailedPrecondition when its protocol version differs.
 */
absl::StatusOr<PeerMessage>
DecodePeerMessage(std::string_view aPayload);

} // namespace camphorfield
