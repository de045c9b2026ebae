/** Asynchronous HTTP client connection. */
#pragma once

#include "standin/http_type.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace camphorfield::standin {

/** Result of a request. */
struct HttpOutcome
{
  bool answered_ = false;  ///< A complete answer was received.
  bool sent_ = false;      ///< Part of the request may have been sent.
  bool keepAlive_ = false; ///< The connection can be used again.
  HttpReply reply_;        ///< The answer.
};

using HttpDone = std::function<void(HttpOutcome)>;

/** Connection to one address; connects at its first request. */
class HttpClient
{
public:
  /** @param aAddress "IP:port". */
  HttpClient(boost::asio::io_context& aContext, const std::string& aAddress);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /**
   * Send a request; the one before must have ended.
   * @param aTimeout Limit for connect, send and answer together.
   * @param aDone Called once from aContext, never from within Send.
   */
  void Send(const HttpRequest& aRequest, Millis aTimeout, HttpDone aDone);

  /** Whether the connection is open and kept for another request. */
  bool IsOpen() const;

  /** "IP:port" it connects to. */
  const std::string& Address() const { return address_; }

private:
  struct Impl;
  std::string address_;
  std::shared_ptr<Impl> impl_;
};

/**
 * Send a request on a new connection and run the context until its end.
 */
HttpOutcome
HttpRoundTrip(boost::asio::io_context& aContext,
              const std::string& aAddress,
              const HttpRequest& aRequest);

} // namespace camphorfield::standin
