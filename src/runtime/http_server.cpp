// HTTP server with one fiber for each connection. Limits sizes, times and the
// number of sessions, so that slow or broken clients can't exhaust the daemon.
#include "runtime/http_server.h"

#include "runtime/address_func.h"
#include "runtime/fiber_io.h"
#include "runtime/http_beast.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/fiber/operations.hpp>
#include <optional>
#include <sstream>

namespace camphorfield {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/** State shared by the acceptor's and the sessions' fibers. */
struct HttpServerState
{
  HttpServerState(WorkerPool& aPool,
                  HttpServerLimits aLimits,
                  HttpHandler aHandler)
    : pool_(aPool)
    , limits_(std::make_shared<const HttpServerLimits>(aLimits))
    , handler_(std::move(aHandler))
  {
  }

  WorkerPool& pool_;
  std::atomic<std::shared_ptr<const HttpServerLimits>> limits_;
  HttpHandler handler_;
  std::optional<tcp::acceptor> acceptor_;
  tcp::endpoint local_;
  std::atomic<bool> closing_{ false };
  std::atomic<std::uint32_t> sessions_{ 0 };
};

namespace {

constexpr std::size_t kReadBytes = 4096;
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr Duration kWriteTimeout = std::chrono::seconds(10);

using Request = http::request<http::string_body>;
using Parser = http::request_parser<http::string_body>;

/** One accepted connection. */
class Session final : public HttpSession
{
public:
  Session(std::shared_ptr<HttpServerState> aServer,
          tcp::socket aSocket,
          std::uint32_t aWorker)
    : server_(std::move(aServer))
    , stream_(std::move(aSocket))
    , worker_(aWorker)
  {
    ++server_->sessions_;
  }
  ~Session() override { --server_->sessions_; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  std::uint32_t WorkerIndex() const override { return worker_; }
  std::string PeerIp() const override;
  void WatchDisconnect(std::function<void()> aOnDisconnect) override;

  /** Serves requests until the connection ends. */
  void Run();

private:
  bool ServeRequest();
  bool AwaitRequest(const HttpServerLimits& aLimits);
  bool Answer(const HttpResponse& aResponse, bool aKeepAlive);
  bool RejectMalformed(const boost::system::error_code& aError);

  std::shared_ptr<HttpServerState> server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::uint32_t worker_;
  std::shared_ptr<bool> watching_ = std::make_shared<bool>(false);
};

void
Session::WatchDisconnect(std::function<void()> aOnDisconnect)
{
  watching_ = std::make_shared<bool>(true);
  stream_.socket().async_wait(
    tcp::socket::wait_read,
    [this, watching = watching_, function = std::move(aOnDisconnect)](
      const boost::system::error_code& aError) {
      if (!*watching || aError == boost::asio::error::operation_aborted) {
        return;
      }
      // Readable with bytes is a pipelined request; without, a disconnect.
      boost::system::error_code failed;
      if (stream_.socket().available(failed) == 0 || failed) {
        function();
      }
    });
}

void
Session::Run()
{
  while (ServeRequest()) {
  }
  boost::system::error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

std::string
Session::PeerIp() const
{
  boost::system::error_code error;
  const tcp::endpoint peer = stream_.socket().remote_endpoint(error);
  return error ? std::string() : peer.address().to_string();
}

bool
Session::RejectMalformed(const boost::system::error_code& aError)
{
  const boost::system::error_code known = http::error::bad_version;
  if (aError.category() != known.category() ||
      aError == http::error::end_of_stream ||
      aError == http::error::partial_message) {
    return false;
  }
  HttpResponse response;
  response.status_ = 400;
  if (aError == http::error::body_limit) {
    response.status_ = 413;
  }
  if (aError == http::error::header_limit) {
    response.status_ = 431;
  }
  response.fields_.push_back({ "Content-Type", "application/json" });
  response.body_ = response.status_ == 413
                     ? R"({"code":1102,"result":"TOO_LARGE"})"
                     : R"({"code":1100,"result":"BAD_REQUEST"})";
  Answer(response, false);
  return false;
}

/** Waits for the first byte of a request; false on timeout or disconnect. */
bool
Session::AwaitRequest(const HttpServerLimits& aLimits)
{
  if (buffer_.size() > 0) {
    return true;
  }
  stream_.expires_after(aLimits.idleTimeout_);
  const IoResult first = AwaitIo([&](auto aHandler) {
    stream_.async_read_some(buffer_.prepare(kReadBytes), aHandler);
  });
  buffer_.commit(first.bytes_);
  return !first.error_;
}

bool
Session::ServeRequest()
{
  const std::shared_ptr<const HttpServerLimits> limits = server_->limits_;
  if (!AwaitRequest(*limits)) {
    return false;
  }
  Parser parser;
  parser.body_limit(limits->maxBodyBytes_);
  parser.header_limit(limits->maxHeaderBytes_);
  stream_.expires_after(limits->requestTimeout_);
  const IoResult read = AwaitIo([&](auto aHandler) {
    http::async_read(stream_, buffer_, parser, aHandler);
  });
  if (read.error_) {
    return RejectMalformed(read.error_);
  }
  stream_.expires_never();
  Request message = parser.release();
  HttpRequest request;
  request.method_ = FromVerb(message.method());
  request.methodText_ = std::string(message.method_string());
  request.target_ = std::string(message.target());
  CopyFields(message.base(), request.fields_);
  request.body_ = std::move(message.body());
  const HttpResponse response = server_->handler_(request, *this);
  *watching_ = false;
  const bool keepAlive =
    message.keep_alive() && !response.close_ && !server_->closing_;
  return Answer(response, keepAlive) && keepAlive;
}

bool
Session::Answer(const HttpResponse& aResponse, bool aKeepAlive)
{
  http::response<http::string_body> message;
  message.version(11);
  message.result(aResponse.status_);
  for (const HttpField& field : aResponse.fields_) {
    message.insert(field.name_, field.value_);
  }
  message.keep_alive(aKeepAlive);
  message.body() = aResponse.body_;
  message.prepare_payload();
  stream_.expires_after(kWriteTimeout);
  const IoResult written = AwaitIo(
    [&](auto aHandler) { http::async_write(stream_, message, aHandler); });
  return !written.error_;
}

void
StartSession(const std::shared_ptr<HttpServerState>& aServer,
             tcp::socket aSocket,
             std::uint32_t aWorker)
{
  TuneSocket(aSocket);
  auto session =
    std::make_shared<Session>(aServer, std::move(aSocket), aWorker);
  aServer->pool_.At(aWorker).Spawn([session]() { session->Run(); });
}

void
AcceptLoop(const std::shared_ptr<HttpServerState>& aServer)
{
  std::uint32_t next = 0;
  while (true) {
    const std::uint32_t worker = next++ % aServer->pool_.Size();
    tcp::socket socket(aServer->pool_.At(worker).Context());
    const IoResult accepted = AwaitIo([&](auto aHandler) {
      aServer->acceptor_->async_accept(socket, aHandler);
    });
    if (accepted.error_ == boost::asio::error::operation_aborted ||
        !aServer->acceptor_->is_open()) {
      return;
    }
    if (accepted.error_) {
      // Out of file descriptors: retry after others were closed.
      boost::this_fiber::sleep_for(kAcceptRetryDelay);
      continue;
    }
    if (aServer->sessions_ >= aServer->limits_.load()->maxSessions_) {
      continue;
    }
    StartSession(aServer, std::move(socket), worker);
  }
}

} // namespace

HttpServer::HttpServer(WorkerPool& aPool,
                       HttpServerLimits aLimits,
                       HttpHandler aHandler)
  : state_(
      std::make_shared<HttpServerState>(aPool, aLimits, std::move(aHandler)))
{
}

absl::Status
HttpServer::Listen(const std::string& aAddress)
{
  state_->acceptor_.emplace(state_->pool_.At(0).Context());
  absl::Status status = ListenOn(*state_->acceptor_, aAddress);
  if (!status.ok()) {
    return status;
  }
  state_->local_ = state_->acceptor_->local_endpoint();
  state_->pool_.At(0).Spawn([state = state_]() { AcceptLoop(state); });
  return absl::OkStatus();
}

std::string
HttpServer::LocalAddress() const
{
  std::ostringstream text;
  text << state_->local_;
  return text.str();
}

void
HttpServer::SetLimits(const HttpServerLimits& aLimits)
{
  state_->limits_ = std::make_shared<const HttpServerLimits>(aLimits);
}

// Connections in the listen backlog are open for their callers, who may have
// sent requests on them; closing the acceptor resets what it still holds.
void
HttpServer::StopAccepting()
{
  boost::system::error_code error;
  state_->acceptor_->non_blocking(true, error);
  while (!error) {
    tcp::socket socket(state_->pool_.At(0).Context());
    state_->acceptor_->accept(socket, error);
    if (!error) {
      StartSession(state_, std::move(socket), 0);
    }
  }
  boost::system::error_code ignored;
  state_->acceptor_->close(ignored);
}

void
HttpServer::BeginClosing()
{
  state_->closing_ = true;
}

} // namespace camphorfield
