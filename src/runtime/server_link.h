/** Connections to backend servers. */
#pragma once

#include "machine/server_type.h"
#include "runtime/event_sink.h"
#include "runtime/http_type.h"
#include "runtime/worker.h"

#include <memory>
#include <string>
#include <vector>

namespace camphorfield {

/** Carries out what concerns backend servers. All calls are thread-safe. */
class ServerLinks
{
public:
  /**
   * @param aLife Text unique to this life of the daemon; begins request ids.
   */
  ServerLinks(WorkerPool& aPool, EventSink aSink, std::string aIdPrefix);

  /** Opens a connection; ConnectionOpened or ConnectionEnded follows. */
  void Open(const OpenConnection& aOpen);

  /** Closes a connection; ConnectionEnded follows if it was there. */
  void Close(const CloseConnection& aClose);

  /** Sends a request; SubAnswer, SubNotSent or ConnectionEnded follows. */
  void Send(const SubRequest& aRequest);

private:
  std::shared_ptr<struct ServerLinksState> state_;
};

/**
 * HTTP form of a request to a backend server.
 * @param aLife Begins the request id.
 * @param aNow For the time left.
 */
HttpRequest
EncodeSubRequest(const SubRequest& aRequest,
                 const std::string& aIdPrefix,
                 TimePoint aNow);

/**
 * Reads a backend server's response.
 * @param aTruncated The body ended before its stated length.
 */
SubAnswer
DecodeSubAnswer(const SubRequest& aRequest,
                const std::string& aIdPrefix,
                const HttpResponse& aResponse,
                bool aTruncated);

} // namespace camphorfield
