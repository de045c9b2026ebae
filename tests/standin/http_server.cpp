// HTTP listener of the stand-ins, with connection faults: refusals over the
// cap, dropped and silent connections, truncated, duplicate and lost replies.
#include "standin/http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>
#include <cmath>
#include <optional>
#include <stdexcept>
#include <vector>

namespace camphorfield::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::uint64_t kBodyLimit = 16U << 20U; ///< Bytes.
constexpr const char* kOverCapReply =
  "HTTP/1.1 503 -\r\nX-Over-Cap: 1\r\nX-Not-Run: 1\r\n"
  "Connection: close\r\nContent-Length: 0\r\n\r\n";

HttpRequest
FromBeast(http::request<http::string_body>& aRequest)
{
  HttpRequest plain;
  plain.method_ = std::string(aRequest.method_string());
  SplitTarget(std::string(aRequest.target()), plain);
  for (const auto& field : aRequest) {
    std::string name(field.name_string());
    for (char& c : name) {
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    plain.headers_[name] = std::string(field.value());
  }
  plain.body_ = std::move(aRequest.body());
  return plain;
}

} // namespace

/** One accepted connection; one request at a time. */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  HttpConnection(Tcp::socket aSocket,
                 const std::shared_ptr<HttpListenerState>& aState)
    : socket_(std::move(aSocket))
    , timer_(socket_.get_executor())
    , state_(aState)
  {
  }

  /** Read the first request after a delay. */
  void Start(Millis aDelay)
  {
    if (aDelay.count() == 0) {
      Read();
      return;
    }
    timer_.expires_after(aDelay);
    timer_.async_wait([self = shared_from_this()](auto aError) {
      if (!aError) {
        self->Read();
      }
    });
  }

  /** Send the refusal of a connection over the cap and close. */
  void RefuseOverCap()
  {
    isRefused_ = true;
    out_ = kOverCapReply;
    Write(true);
  }

  /** Close at once, without a byte. */
  void Drop()
  {
    boost::system::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    Finish();
  }

  /** Answer nothing any more. */
  void Silence() { isSilent_ = true; }

private:
  void Read()
  {
    parser_.emplace();
    parser_->body_limit(kBodyLimit);
    http::async_read(socket_,
                     buffer_,
                     *parser_,
                     [self = shared_from_this()](auto aError, std::size_t) {
                       self->OnRead(aError);
                     });
  }

  void OnRead(const boost::system::error_code& aError)
  {
    if (aError) {
      Drop();
      return;
    }
    if (isSilent_) {
      Drain();
      return;
    }
    const auto state = state_.lock();
    if (state == nullptr) {
      return;
    }
    state->handlers_.request_(
      FromBeast(parser_->get()),
      [weak = weak_from_this()](const HttpReply& aReply) {
        if (const auto self = weak.lock()) {
          self->Reply(aReply);
        }
      });
  }

  void Reply(const HttpReply& aReply)
  {
    if (isFinished_) {
      return;
    }
    if (isSilent_) {
      Drain();
      return;
    }
    if (aReply.replyDelivery_ == ReplyDelivery::Lost) {
      Drop();
      return;
    }
    out_ = EncodeReply(aReply);
    if (aReply.replyDelivery_ == ReplyDelivery::Twice) {
      out_ += out_;
    }
    Write(aReply.replyDelivery_ == ReplyDelivery::Close ||
          aReply.replyDelivery_ == ReplyDelivery::Truncated);
  }

  void Write(bool aClose)
  {
    asio::async_write(
      socket_,
      asio::buffer(out_),
      [self = shared_from_this(), aClose](auto aError, std::size_t) {
        if (aError) {
          self->Drop();
        } else if (aClose) {
          self->Linger();
        } else {
          self->Read();
        }
      });
  }

  // Closing with unread input would send a reset, which may overtake the
  // bytes just written.
  void Linger()
  {
    boost::system::error_code ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    Finish();
    Drain();
  }

  void Drain()
  {
    socket_.async_read_some(
      asio::buffer(scratch_),
      [self = shared_from_this()](auto aError, std::size_t) {
        if (aError) {
          self->Drop();
        } else {
          self->Drain();
        }
      });
  }

  void Finish()
  {
    if (isFinished_) {
      return;
    }
    isFinished_ = true;
    const auto state = state_.lock();
    if (state == nullptr) {
      return;
    }
    state->connections_.erase(shared_from_this());
    if (!isRefused_ && state->handlers_.closed_) {
      state->handlers_.closed_();
    }
  }

  Tcp::socket socket_;
  asio::steady_timer timer_;
  std::weak_ptr<HttpListenerState> state_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string out_;
  std::array<char, 1024> scratch_{};
  bool isSilent_ = false;
  bool isRefused_ = false;
  bool isFinished_ = false;
};

HttpListener::HttpListener(asio::io_context& aContext,
                           const std::string& aAddress,
                           HttpHandlers aHandlers)
  : endpoint_(ParseEndpoint(aAddress))
  , acceptor_(aContext)
  , state_(std::make_shared<HttpListenerState>())
{
  state_->handlers_ = std::move(aHandlers);
  Bind();
  endpoint_ = acceptor_.local_endpoint();
  StartListening();
}

std::string
HttpListener::Address() const
{
  return endpoint_.address().to_string() + ":" +
         std::to_string(endpoint_.port());
}

void
HttpListener::Bind()
{
  acceptor_.open(endpoint_.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint_);
}

// The port stays bound without listening, so that connecting is refused and no
// other process can take the port meanwhile.
void
HttpListener::StopListening()
{
  if (!isUp_) {
    return;
  }
  isUp_ = false;
  acceptor_.close();
  Bind();
  DropAll();
}

void
HttpListener::StartListening()
{
  if (isUp_) {
    return;
  }
  isUp_ = true;
  acceptor_.listen();
  Accept();
}

void
HttpListener::DropAll()
{
  const auto connections = state_->connections_;
  for (const auto& connection : connections) {
    connection->Drop();
  }
}

void
HttpListener::Silence(double aShare, std::mt19937_64& aRng)
{
  std::vector<std::shared_ptr<HttpConnection>> open(
    state_->connections_.begin(), state_->connections_.end());
  std::shuffle(open.begin(), open.end(), aRng);
  const double count = aShare * static_cast<double>(open.size());
  open.resize(
    std::min(open.size(), static_cast<std::size_t>(std::lround(count))));
  for (const auto& connection : open) {
    connection->Silence();
  }
}

void
HttpListener::Accept()
{
  acceptor_.async_accept([this](auto aError, Tcp::socket aSocket) {
    if (aError == asio::error::operation_aborted) {
      return;
    }
    if (!aError) {
      Admit(std::move(aSocket));
    }
    if (isUp_) {
      Accept();
    }
  });
}

void
HttpListener::Admit(Tcp::socket aSocket)
{
  aSocket.set_option(Tcp::no_delay(true));
  const HttpAdmission admission =
    state_->handlers_.admit_ ? state_->handlers_.admit_() : HttpAdmission();
  auto connection =
    std::make_shared<HttpConnection>(std::move(aSocket), state_);
  if (admission.overCap_) {
    connection->RefuseOverCap();
    return;
  }
  state_->connections_.insert(connection);
  connection->Start(admission.delay_);
}

Tcp::endpoint
ParseEndpoint(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("not IP:port: " + aAddress);
  }
  const int port = std::stoi(aAddress.substr(colon + 1));
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<std::uint16_t>(port) };
}

} // namespace camphorfield::standin
