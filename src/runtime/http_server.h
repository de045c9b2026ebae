/** HTTP/1.1 server; each session is a fiber. */
#pragma once

#include "core/time_type.h"
#include "runtime/http_type.h"
#include "runtime/memory_account.h"
#include "runtime/worker.h"

#include <absl/status/status.h>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace camphorfield {

/** Limits that protect the daemon from its clients. */
struct HttpServerLimits
{
  std::uint32_t maxHeaderBytes_ = 16U * 1024;   ///< Larger headers: 431.
  std::uint64_t maxBodyBytes_ = 1024ULL * 1024; ///< Larger bodies: 413.
  std::uint32_t maxSessions_ = 4096;            ///< Others are closed.
  bool closesStalled_ = false; ///< At maxSessions_ a stalled session is closed
                               ///< instead of the new one, if there is one.
  Duration idleTimeout_ = std::chrono::seconds(60);    ///< Between requests.
  Duration requestTimeout_ = std::chrono::seconds(60); ///< From the first
                                                       ///< byte of a request
                                                       ///< to its last.
};

/** Connection on which a request arrived. */
class HttpSession
{
public:
  virtual ~HttpSession() = default;

  /** Index of the worker that the session runs on. */
  virtual std::uint32_t WorkerIndex() const = 0;

  /** IP address of the client; empty when the connection is broken. */
  virtual std::string PeerIp() const = 0;

  /** Calls a function, at most once, if the client closes the connection
   * before the handler returns. */
  virtual void WatchDisconnect(std::function<void()> aOnDisconnect) = 0;
};

/** May move content out of the request. */
using HttpHandler = std::function<HttpResponse(HttpRequest&, HttpSession&)>;

/** Server that listens on one address. */
class HttpServer
{
public:
  /**
   * @param aHandler Called in a fiber for each request; may suspend it.
   * @param aAccount Account of what sessions hold; only with a pool of one
   * worker.
   */
  HttpServer(WorkerPool& aPool,
             HttpServerLimits aLimits,
             HttpHandler aHandler,
             MemoryAccount* aAccount = nullptr);

  /**
   * Starts accepting connections.
   * @param aAddress "IP:port"; port zero lets the system choose.
   * @return An error when the address can't be bound.
   */
  absl::Status Listen(const std::string& aAddress);

  /** Address that Listen has bound. */
  std::string LocalAddress() const;

  /** Replaces the limits; they apply to requests that begin afterwards. */
  void SetLimits(const HttpServerLimits& aLimits);

  /** Closes each connection after its next response. */
  void BeginClosing();

  /** Closes the listening socket; call on worker 0's thread. */
  void StopAccepting();

private:
  std::shared_ptr<struct HttpServerState> state_;
};

} // namespace camphorfield
