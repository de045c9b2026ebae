/** Frames between daemons over TCP. */
#pragma once

#include "core/id_type.h"
#include "runtime/event_sink.h"
#include "runtime/worker.h"

#include <absl/status/status.h>
#include <functional>
#include <memory>
#include <string>

namespace camphorfield {

/** One encoded message on its way to a daemon. */
struct PeerFrame
{
  DaemonId to_;         ///< Told back when it can't be delivered.
  std::string address_; ///< "IP:port".
  PeerCallId call_;     ///< Told back when it can't be delivered.
  std::string payload_; ///< Encoded message.
};

using FrameHandler = std::function<void(const std::string& aPayload)>;

/**
 * Connections to and from other daemons. A frame is four bytes of length, most
 * significant first, and the payload. All calls are thread-safe.
 */
class PeerLinks
{
public:
  /**
   * @param aSink Gets PeerUnreachable.
   * @param aHandler Gets each payload, on any worker's thread.
   */
  PeerLinks(WorkerPool& aPool, EventSink aSink, FrameHandler aHandler);

  /** Begins to accept; see HttpServer::Listen. */
  absl::Status Listen(const std::string& aAddress);

  /** Sends a frame; order is kept for each address. */
  void Send(PeerFrame aFrame);

private:
  std::shared_ptr<struct PeerLinksState> state_;
};

} // namespace camphorfield
