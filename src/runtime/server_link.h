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

/** Executes decisions about backend connections. All calls are thread-safe. */
class ServerLinks
{
public:
  /**
   * @param aIdPrefix Prefix of request ids, unique to this incarnation.
   */
  ServerLinks(WorkerPool& aPool, EventSink aSink, std::string aIdPrefix);

  /** Opens a connection; ConnectionOpened or ConnectionEnded follows. */
  void Open(const OpenConnection& aOpen);

  /** Closes a connection; ConnectionEnded follows if it existed. */
  void Close(const CloseConnection& aClose);

  /** Sends a request; SubAnswer, SubNotSent or ConnectionEnded follows. */
  void Send(const SubRequest& aRequest);

private:
  std::shared_ptr<struct ServerLinksState> state_;
};

/**
 * HTTP form of a request to a backend server.
 * @param aIdPrefix Prefix of the request id.
 * @param aNow Current time, to compute the time left to the deadline.
 */
HttpRequest
EncodeSubRequest(const SubRequest& aRequest,
                 const std::string& aIdPrefix,
                 TimePoint aNow);

/**
 * Decodes a backend server's response. A successful one becomes Corrupt when
 * it is truncated or echoes another request id, shard or version.
 * @param aTruncated The body ended before its stated length.
 */
SubAnswer
DecodeSubAnswer(const SubRequest& aRequest,
                const std::string& aIdPrefix,
                const HttpResponse& aResponse,
                bool aTruncated);

} // namespace camphorfield
