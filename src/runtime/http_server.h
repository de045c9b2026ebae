/** HTTP/1.1 server; each session is a fiber. */
#pragma once

#include "core/time_type.h"
#include "runtime/http_type.h"
#include "runtime/worker.h"

#include <absl/status/status.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace camphorfield {

/** Bounds that protect the daemon from its clients. */
struct HttpServerLimits
{
  std::uint32_t maxHeaderBytes_ = 16U * 1024;   ///< Larger headers: 431.
  std::uint64_t maxBodyBytes_ = 1024ULL * 1024; ///< Larger bodies: 413.
  std::uint32_t maxSessions_ = 4096;            ///< Further ones are closed.
  Duration idleTimeout_ = std::chrono::seconds(60);    ///< Between requests.
  Duration requestTimeout_ = std::chrono::seconds(60); ///< From the first
                                                       ///< byte of a request
                                                       ///< to its last.
};

/** Connection that a request came on. */
class HttpSession
{
public:
  virtual ~HttpSession() = default;

  /** Index of the worker that the session runs on. */
  virtual std::uint32_t WorkerIndex() const = 0;

  /** IP number of the client. */
  virtual std::string PeerIp() const = 0;

  /** Calls a function, at most once, if the client closes the connection
   * before the handler returns. */
  virtual void WatchDisconnect(std::function<void()> aOnDisconnect) = 0;
};

using HttpHandler =
  std::function<HttpResponse(const HttpRequest&, HttpSession&)>;

/** Server on one address. */
class HttpServer
{
public:
  /** @param aHandler Called in a fiber for each request; may wait. */
  HttpServer(WorkerPool& aPool, HttpServerLimits aLimits, HttpHandler aHandler);

  /**
   * Begins to accept.
   * @param aAddress "IP:port"; port zero lets the system choose.
   * @return An error when the address can't be bound.
   */
  absl::Status Listen(const std::string& aAddress);

  /** Address that Listen has bound. */
  std::string LocalAddress() const;

  /** Puts other limits in force, from each session's next request on. */
  void SetLimits(const HttpServerLimits& aLimits);

  /** From now on each response ends its connection. */
  void BeginClosing();

  /** Refuses new connections; call on the first worker's thread. */
  void StopAccepting();

private:
  std::shared_ptr<struct HttpServerState> state_;
};

} // namespace camphorfield
