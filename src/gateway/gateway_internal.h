/** Functions that the sources of the gateway share. */
#pragma once

#include "gateway/gateway_base.h"
#include "gateway/gateway_const.h"

#include <string>

namespace camphorfield {

/** Context of the handling of one event. */
struct GatewayStep
{
  GatewayState& state_;
  const Now& now_;
  Rng& rng_;
  GatewayDecisions& out_;

  TimePoint Time() const { return now_.mono_; }
};

/** Outcome of an unsuccessful attempt. */
enum class AttemptEnd : std::uint8_t
{
  NotRun,  ///< The server reports that it did not run it.
  Failed,  ///< Complete answer with a failure; it may have run.
  Broken,  ///< No complete answer; it may have run.
  Garbled, ///< Invalid answer; it may have run.
  Dropped, ///< No memory for the answer; it may have run.
  End      ///< Number of outcomes; also stands for a success.
};

} // namespace camphorfield
