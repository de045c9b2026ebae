// HTTP client connection. Reports how an exchange ended and whether any byte of
// the request was sent, so that the caller knows if it may have run.
#include "runtime/http_client.h"

#include "runtime/address_func.h"
#include "runtime/fiber_io.h"
#include "runtime/http_beast.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <sys/socket.h>

namespace camphorfield {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kMaxResponseBytes = 4ULL * 1024 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 16U * 1024;
/** Trailers and the heads of chunks must fit in the read buffer; the parser has
 * no limit for them. */
constexpr std::size_t kMaxBufferBytes = 64UL * 1024;
constexpr unsigned kHttp11 = 11;

HttpEnd
ToHttpEnd(const boost::system::error_code& aError)
{
  namespace error = boost::asio::error;
  if (!aError) {
    return HttpEnd::Ok;
  }
  if (aError == beast::error::timeout || aError == error::timed_out) {
    return HttpEnd::TimedOut;
  }
  if (aError == error::connection_refused) {
    return HttpEnd::Refused;
  }
  if (aError == http::error::end_of_stream || aError == error::eof) {
    return HttpEnd::Closed;
  }
  if (aError == http::error::partial_message) {
    return HttpEnd::Truncated;
  }
  const boost::system::error_code parse = http::error::bad_version;
  if (aError.category() == parse.category()) {
    return HttpEnd::Malformed;
  }
  return HttpEnd::Reset;
}

void
SetTimeout(beast::tcp_stream& aStream, Duration aTimeout)
{
  if (aTimeout.count() == 0) {
    aStream.expires_never();
    return;
  }
  aStream.expires_after(aTimeout);
}

} // namespace

/** Socket and read buffer of an HttpClient. */
struct HttpClientState
{
  HttpClientState(boost::asio::io_context& aContext, MemoryAccount* aAccount)
    : stream_(aContext)
    , account_(aAccount)
    , hold_(aAccount, { .mayUseAll_ = true }, []() {})
  {
  }

  HttpEnd EndOrAborted(const boost::system::error_code& aError) const
  {
    return aborted_ ? HttpEnd::Aborted : ToHttpEnd(aError);
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_{ kMaxBufferBytes };
  bool aborted_ = false;
  MemoryAccount* account_;
  MemoryHold hold_; ///< Of the response while it is read.
  // Shared with the watch handlers, which may run after the client's end.
  std::shared_ptr<std::uint64_t> watchNumber_ =
    std::make_shared<std::uint64_t>(0);
};

namespace {

HttpExchange
ReadResponse(HttpClientState& aState)
{
  HttpExchange exchange;
  exchange.response_.status_ = 0;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  parser.header_limit(kMaxHeaderBytes);
  parser.eager(true);
  boost::system::error_code error;
  while (!error && !parser.is_done()) {
    error =
      AwaitIo([&](auto aHandler) {
        http::async_read_some(aState.stream_, aState.buffer_, parser, aHandler);
      }).error_;
    if (!aState.hold_.ReserveOrExceed(aState.buffer_.capacity() +
                                      parser.get().body().capacity())) {
      CountLimit(aState.account_, MemoryLimit::StoreReply);
      error = http::error::body_limit;
    }
  }
  // The caller decodes the response before the next event.
  aState.hold_.Set(aState.buffer_.capacity());
  exchange.end_ = aState.EndOrAborted(error);
  if (!parser.is_header_done()) {
    return exchange;
  }
  http::response<http::string_body> message = parser.release();
  exchange.response_.status_ = message.result_int();
  CopyFields(message.base(), exchange.response_.fields_);
  exchange.response_.body_ = std::move(message.body());
  exchange.response_.close_ = !message.keep_alive();
  return exchange;
}

} // namespace

HttpClient::HttpClient(boost::asio::io_context& aContext,
                       MemoryAccount* aAccount)
  : state_(std::make_unique<HttpClientState>(aContext, aAccount))
{
}

HttpClient::~HttpClient()
{
  ++*state_->watchNumber_;
}

HttpEnd
HttpClient::Connect(const std::string& aAddress, Duration aTimeout)
{
  const auto endpoint = ParseAddress(aAddress);
  if (!endpoint.ok()) {
    return HttpEnd::Refused;
  }
  SetTimeout(state_->stream_, aTimeout);
  const IoResult result = AwaitIo(
    [&](auto aHandler) { state_->stream_.async_connect(*endpoint, aHandler); });
  if (result.error_ || state_->aborted_) {
    return state_->EndOrAborted(result.error_);
  }
  TuneSocket(state_->stream_.socket());
  return HttpEnd::Ok;
}

HttpExchange
HttpClient::Exchange(const HttpRequest& aRequest, Duration aTimeout)
{
  HttpExchange exchange;
  if (state_->aborted_) {
    exchange.end_ = HttpEnd::Aborted;
    return exchange;
  }
  http::request<http::string_body> message(
    ToVerb(aRequest.method_), aRequest.target_, kHttp11);
  SetFields(aRequest.fields_, message.base());
  message.set(http::field::host, "camphorfield");
  message.body() = aRequest.body_;
  message.prepare_payload();
  SetTimeout(state_->stream_, aTimeout);
  const IoResult written = AwaitIo([&](auto aHandler) {
    http::async_write(state_->stream_, message, aHandler);
  });
  exchange.sent_ = written.bytes_ > 0;
  if (written.error_) {
    exchange.end_ = state_->EndOrAborted(written.error_);
    return exchange;
  }
  exchange = ReadResponse(*state_);
  exchange.sent_ = true;
  return exchange;
}

HttpExchange
HttpClient::ReadUnsolicited()
{
  constexpr Duration kWait = std::chrono::seconds(1);
  SetTimeout(state_->stream_, kWait);
  return ReadResponse(*state_);
}

void
HttpClient::WatchIdle(std::function<void()> aOnReadable)
{
  const std::uint64_t number = ++*state_->watchNumber_;
  state_->stream_.socket().async_wait(
    boost::asio::ip::tcp::socket::wait_read,
    [number, current = state_->watchNumber_, function = std::move(aOnReadable)](
      const boost::system::error_code& aError) {
      if (number == *current &&
          aError != boost::asio::error::operation_aborted) {
        function();
      }
    });
}

// The pending wait isn't cancelled: it reads no bytes, and its handler sees
// that its number is outdated. That saves a system call for each request.
void
HttpClient::EndIdleWatch()
{
  ++*state_->watchNumber_;
}

bool
HttpClient::IsStale()
{
  boost::asio::ip::tcp::socket& socket = state_->stream_.socket();
  char byte = 0;
  const ssize_t got =
    ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void
HttpClient::Abort()
{
  state_->aborted_ = true;
  ++*state_->watchNumber_;
  state_->stream_.close();
}

} // namespace camphorfield
