// Asynchronous HTTP client of the load tool, the baseline tier and the tests.
#include "standin/http_client.h"
#include "standin/http_server.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>
#include <optional>

namespace camphorfield::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kBodyLimit = 64U << 20U; ///< Bytes.
constexpr Millis kRoundTripTimeout{ 20000 };

HttpReply
FromBeast(http::response<http::string_body>& aReply)
{
  HttpReply plain;
  plain.status_ = aReply.result_int();
  for (const auto& field : aReply) {
    std::string name(field.name_string());
    for (char& c : name) {
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    plain.headers_[name] = std::string(field.value());
  }
  plain.body_ = std::move(aReply.body());
  return plain;
}

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl>
{
  Impl(asio::io_context& aContext, const std::string& aAddress)
    : stream_(aContext)
    , endpoint_(ParseEndpoint(aAddress))
  {
  }

  void Send(const HttpRequest& aRequest, Millis aTimeout, HttpDone aDone)
  {
    done_ = std::move(aDone);
    outcome_ = HttpOutcome();
    out_ = EncodeRequest(aRequest);
    stream_.expires_after(aTimeout);
    if (isOpen_) {
      Write();
      return;
    }
    stream_.async_connect(endpoint_, [self = shared_from_this()](auto aError) {
      self->OnConnected(aError);
    });
  }

  void OnConnected(const boost::system::error_code& aError)
  {
    if (aError) {
      End();
      return;
    }
    isOpen_ = true;
    buffer_.clear();
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    Write();
  }

  void Write()
  {
    outcome_.sent_ = true;
    asio::async_write(stream_,
                      asio::buffer(out_),
                      [self = shared_from_this()](auto aError, std::size_t) {
                        if (aError) {
                          self->End();
                        } else {
                          self->Read();
                        }
                      });
  }

  void Read()
  {
    parser_.emplace();
    parser_->body_limit(kBodyLimit);
    http::async_read(stream_,
                     buffer_,
                     *parser_,
                     [self = shared_from_this()](auto aError, std::size_t) {
                       self->OnRead(aError);
                     });
  }

  void OnRead(const boost::system::error_code& aError)
  {
    if (!aError) {
      outcome_.answered_ = true;
      outcome_.keepAlive_ = parser_->get().keep_alive();
      outcome_.reply_ = FromBeast(parser_->get());
    }
    End();
  }

  void End()
  {
    stream_.expires_never();
    if (!outcome_.keepAlive_) {
      Close();
    }
    // The callback may destroy the client or send the next request.
    const HttpDone done = std::move(done_);
    done_ = nullptr;
    if (done) {
      done(std::move(outcome_));
    }
  }

  void Close()
  {
    isOpen_ = false;
    stream_.close();
  }

  boost::beast::tcp_stream stream_;
  asio::ip::tcp::endpoint endpoint_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string out_;
  HttpOutcome outcome_;
  HttpDone done_;
  bool isOpen_ = false;
};

HttpClient::HttpClient(asio::io_context& aContext, const std::string& aAddress)
  : address_(aAddress)
  , impl_(std::make_shared<Impl>(aContext, aAddress))
{
}

HttpClient::~HttpClient()
{
  impl_->done_ = nullptr;
  impl_->Close();
}

void
HttpClient::Send(const HttpRequest& aRequest, Millis aTimeout, HttpDone aDone)
{
  impl_->Send(aRequest, aTimeout, std::move(aDone));
}

bool
HttpClient::IsOpen() const
{
  return impl_->isOpen_;
}

HttpOutcome
HttpRoundTrip(asio::io_context& aContext,
              const std::string& aAddress,
              const HttpRequest& aRequest)
{
  HttpClient client(aContext, aAddress);
  std::optional<HttpOutcome> outcome;
  client.Send(aRequest, kRoundTripTimeout, [&outcome](HttpOutcome aOutcome) {
    outcome = std::move(aOutcome);
  });
  while (!outcome) {
    aContext.restart();
    aContext.run_one();
  }
  return *outcome;
}

} // namespace camphorfield::standin
