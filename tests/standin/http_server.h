/** HTTP listener whose connections can be dropped or stop answering. */
#pragma once

#include "standin/http_type.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace camphorfield::standin {

/** Whether and when a new connection is served. */
struct HttpAdmission
{
  bool overCap_ = false; ///< Answered with the refusal and closed.
  Millis delay_{};       ///< Time before its first request is read.
};

/** Callbacks of a listener. */
struct HttpHandlers
{
  std::function<HttpAdmission()> admit_; ///< A connection was accepted.
  std::function<void()> closed_;         ///< An admitted connection ended.
  std::function<void(HttpRequest, HttpRespond)> request_; ///< A request came.
};

class HttpConnection;

/** Connections and functions of one listener. */
struct HttpListenerState
{
  HttpHandlers handlers_;
  std::set<std::shared_ptr<HttpConnection>> connections_;
};

/** Listener on one address of the loopback interface. */
class HttpListener
{
public:
  /**
   * Listen.
   * @param aAddress "IP:port"; port 0: a free one is chosen.
   * @param aHandlers Functions to call; they run in aContext.
   */
  HttpListener(boost::asio::io_context& aContext,
               const std::string& aAddress,
               HttpHandlers aHandlers);

  /** "IP:port" with the port in use. */
  std::string Address() const;

  /** Drop all connections and refuse new ones, as a crashed process does. */
  void StopListening();

  /** Accept again on the same port. */
  void StartListening();

  /** Close all connections and go on listening. */
  void DropAll();

  /**
   * Stop answering on open connections for good; new ones are served.
   * @param aShare Share of them, 0 to 1.
   */
  void Silence(double aShare, std::mt19937_64& aRng);

  /** Number of open connections. */
  std::size_t OpenCount() const { return state_->connections_.size(); }

private:
  void Bind();
  void Accept();
  void Admit(boost::asio::ip::tcp::socket aSocket);

  boost::asio::ip::tcp::endpoint endpoint_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<HttpListenerState> state_;
  bool isUp_ = false;
};

/** Endpoint of a text "IP:port"; throws for anything else. */
boost::asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aAddress);

} // namespace camphorfield::standin
