/** HTTP/1.1 connection to a server, used by one fiber at a time. */
#pragma once

#include "core/time_type.h"
#include "runtime/http_type.h"

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
  Closed,    ///< Closed in order by the other side.
  Reset,     ///< Broken.
  TimedOut,  ///< Not done in the given time.
  Truncated, ///< The response ended before its stated length.
  Malformed, ///< The response is no HTTP, or too large.
  Aborted,   ///< Abort was called.
  End        ///< Number of ends.
};

/** Result of an exchange. */
struct HttpExchange
{
  HttpEnd end_ = HttpEnd::Ok;
  bool sent_ = false;     ///< At least one byte of the request went out.
  HttpResponse response_; ///< Status zero: no header arrived.
};

/** One client connection. Lives on the thread of its event loop. */
class HttpClient
{
public:
  explicit HttpClient(boost::asio::io_context& aContext);
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

  /** Reads a response that nothing asked for; suspends the fiber. */
  HttpExchange ReadUnsolicited();

  /** Calls a function once bytes or an end arrive on the idle connection. */
  void WatchIdle(std::function<void()> aOnReadable);

  /** Ends WatchIdle; its function is not called any more. */
  void EndIdleWatch();

  /** True when the idle connection was closed, or holds unasked bytes. */
  bool IsStale();

  /** Makes a suspended call end with HttpEnd::Aborted, and later ones too. */
  void Abort();

private:
  std::unique_ptr<struct HttpClientState> state_;
};

} // namespace camphorfield
