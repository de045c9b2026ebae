/** Messages between daemons over TCP. */
#pragma once

#include "core/id_type.h"
#include "peer/frame_time.h"
#include "runtime/event_sink.h"
#include "runtime/memory_account.h"
#include "runtime/worker.h"

#include <absl/status/status.h>
#include <functional>
#include <memory>
#include <string>

namespace camphorfield {

/** Encoded message to a daemon. */
struct PeerFrame
{
  DaemonId to_;         ///< Reported when delivery fails.
  std::string address_; ///< "IP:port".
  PeerCallId call_;     ///< Reported when delivery fails.
  std::string payload_; ///< Encoded message.
};

using FrameHandler = std::function<void(const std::string& aPayload)>;

/** Bounds on what other daemons can make this one hold. */
struct PeerLimits
{
  MemoryAccount* account_ = nullptr;  ///< Of frames; null: no bound.
  std::uint32_t maxConnections_ = 0;  ///< Accepted ones; 0: no bound.
  Duration frameSlack_ = kFrameSlack; ///< See FrameTimeout.
};

/**
 * Connections to and from other daemons. A frame is four bytes of length, most
 * significant first, and the payload. All calls are thread-safe.
 */
class PeerLinks
{
public:
  /**
   * @param aSink Gets PeerUnreachable for each frame that fails.
   * @param aHandler Gets each payload, on any worker's thread.
   * @param aLimits Its account only with a pool of one worker.
   */
  PeerLinks(WorkerPool& aPool,
            EventSink aSink,
            FrameHandler aHandler,
            const PeerLimits& aLimits = {});

  /** Starts accepting connections; see HttpServer::Listen. */
  absl::Status Listen(const std::string& aAddress);

  /** Sends a frame; frames to one address stay in order. PeerUnreachable is
   * reported when its queue is full or the connection fails. */
  void Send(PeerFrame aFrame);

private:
  std::shared_ptr<struct PeerLinksState> state_;
};

} // namespace camphorfield
