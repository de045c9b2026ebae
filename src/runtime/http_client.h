/** HTTP/1.1 client connection, used by one fiber at a time. */
#pragma once

#include "core/time_type.h"
#include "runtime/http_type.h"
#include "runtime/memory_account.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace camphorfield {

/** How a connect or an exchange ended. */
enum class HttpEnd : std::uint8_t
{
  Ok,
  Refused,   ///< No process listens at the address.
  Closed,    ///< Orderly close by the other side.
  Reset,     ///< The connection broke.
  TimedOut,  ///< Not completed within the timeout.
  Truncated, ///< The response ended before its stated length.
  /** The response isn't valid HTTP, is too large, or doesn't fit in memory. */
  Malformed,
  Aborted, ///< Abort was called.
  End      ///< Number of ends.
};

/** Result of an exchange. */
struct HttpExchange
{
  HttpEnd end_ = HttpEnd::Ok;
  bool sent_ = false;     ///< At least one byte of the request was sent.
  HttpResponse response_; ///< Status zero: no header arrived.
};

/** One client connection. Used only on its event loop's thread. */
class HttpClient
{
public:
  /** @param aAccount Of responses while they are read; null: not counted. */
  explicit HttpClient(boost::asio::io_context& aContext,
                      MemoryAccount* aAccount = nullptr);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /**
   * Opens the connection; suspends the fiber.
   * @param aAddress "IP:port".
   * @param aTimeout Give up after this.
   */
  HttpEnd Connect(const std::string& aAddress, Duration aTimeout);

  /**
   * Sends a request and reads the response; suspends the fiber.
   * @param aTimeout Give up after this; zero: wait until Abort.
   */
  HttpExchange Exchange(const HttpRequest& aRequest, Duration aTimeout);

  /** Reads a response that came without a request; suspends the fiber. */
  HttpExchange ReadUnsolicited();

  /** Calls a function once the idle connection receives bytes or is closed. */
  void WatchIdle(std::function<void()> aOnReadable);

  /** Cancels WatchIdle; its function is no longer called. */
  void EndIdleWatch();

  /** Whether the idle connection was closed or received unsolicited bytes. */
  bool IsStale();

  /** Closes the connection; suspended and later calls end with Aborted. */
  void Abort();

private:
  std::unique_ptr<struct HttpClientState> state_;
};

} // namespace camphorfield
