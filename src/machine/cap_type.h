/** Messages between daemons about the rates of organisations. */
#pragma once

#include "core/id_type.h"
#include "core/time_type.h"

#include <cstdint>

namespace camphorfield {

enum class CapMessageKind : std::uint8_t
{
  Ask,      ///< To the owner: wants tokens.
  Grant,    ///< Answer to Ask.
  Takeover, ///< To the owner before: the sender is the owner now.
  Release,  ///< Answer to Takeover.
  End       ///< Number of kinds.
};

/** A message about the cap of one organisation. */
struct CapMessage
{
  CapMessageKind kind_ = CapMessageKind::Ask;
  std::uint64_t organisation_ = 0; ///< Hash of its name.
  /** Ask: tokens wanted. Grant: tokens granted. Release: tokens left, rounded
   * down. */
  std::uint32_t tokens_ = 0;
  std::uint32_t refused_ = 0; ///< Ask: requests refused since the last one.
  /** Grant: the sender owns the cap. Release: it did so until now. */
  bool owner_ = false;
  DaemonId hint_;         ///< Grant of another daemon: the owner, if known.
  Duration nextToken_{};  ///< Grant: none is free before.
  Duration retryAfter_{}; ///< Grant: for callers that are refused.
};

/** Event: a message of another daemon. */
struct CapReceived
{
  DaemonId from_;
  CapMessage message_;
};

/** Command: send a message to another daemon. */
struct CapSend
{
  DaemonId to_;
  CapMessage message_;
};

} // namespace camphorfield
