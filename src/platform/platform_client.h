/** Calls to the platform's object API over HTTP. */
#pragma once

#include "machine/platform_type.h"
#include "runtime/event_sink.h"
#include "runtime/http_type.h"
#include "runtime/worker.h"

#include <memory>
#include <string>

namespace camphorfield {

/** Runs platform calls. All functions are thread-safe. */
class PlatformClient
{
public:
  /**
   * @param aSink Gets one PlatformReply for each call.
   * @param aAddress "IP:port" of the object API.
   */
  PlatformClient(WorkerPool& aPool, EventSink aSink, std::string aAddress);

  /** Starts a call; PlatformReply follows within its timeout. */
  void Call(const PlatformCall& aCall);

private:
  std::shared_ptr<struct PlatformClientState> state_;
};

/** HTTP request for a call. */
HttpRequest
EncodePlatformCall(const PlatformCall& aCall);

/** Decodes the response to a call; status 0: there was none. */
PlatformReply
DecodePlatformReply(const PlatformCall& aCall, const HttpResponse& aResponse);

} // namespace camphorfield
