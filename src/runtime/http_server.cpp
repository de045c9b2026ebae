// HTTP server with one fiber for each connection. Limits sizes, times and the
// number of sessions, so that slow or broken clients can't exhaust the daemon.
// A head is read before its body, so that a body for which there is no memory
// is rejected unread.
#include "runtime/http_server.h"

#include "runtime/address_func.h"
#include "runtime/fiber_io.h"
#include "runtime/http_beast.h"
#include "runtime/http_refusal.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/fiber/operations.hpp>
#include <iterator>
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
                  HttpHandler aHandler,
                  MemoryAccount* aAccount)
    : pool_(aPool)
    , limits_(std::make_shared<const HttpServerLimits>(aLimits))
    , handler_(std::move(aHandler))
    , account_(aAccount)
    , group_(aAccount == nullptr ? 0 : aAccount->NewGroup())
  {
  }

  WorkerPool& pool_;
  std::atomic<std::shared_ptr<const HttpServerLimits>> limits_;
  HttpHandler handler_;
  MemoryAccount* account_;
  std::uint32_t group_; ///< Of the sessions in the account.
  std::optional<tcp::acceptor> acceptor_;
  tcp::endpoint local_;
  std::atomic<bool> closing_{ false };
  std::atomic<std::uint32_t> sessions_{ 0 };
};

namespace {

constexpr std::size_t kReadBytes = 4096;
/** A read of a body; smaller ones cost more processor time. */
constexpr std::size_t kBodyReadBytes = 65536;
/** Of one connection without a request: touched pages of its fiber's stack,
 * session and first read buffer; 18 KB were measured. */
constexpr std::uint64_t kSessionBytes = 24ULL * 1024;
/** Bounds on reading the rest of a rejected request: closing with unread bytes
 * resets the connection, and the client may lose the answer. */
constexpr Duration kDrainTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxDrainBytes = 1024UL * 1024;
/** Of one header field beside its text, decoded and as the parser keeps it. */
constexpr std::uint64_t kFieldBytes = 160;
/** Receive buffer of a socket in the kernel, which else grows to megabytes for
 * a client that sends ahead. */
constexpr int kSocketBytes = 128 * 1024;
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
    , hold_(server_->account_,
            { .group_ = server_->group_, .state_ = HolderState::Idle },
            [this]() { stream_.close(); })
  {
    ++server_->sessions_;
  }
  ~Session() override { --server_->sessions_; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  std::uint32_t WorkerIndex() const override { return worker_; }
  std::string PeerIp() const override;
  void WatchDisconnect(std::function<void()> aOnDisconnect) override;

  /** Whether there is memory for one more connection. */
  bool HasMemory() { return hold_.Reserve(kSessionBytes); }

  /** Serves requests until the connection ends. */
  void Run();

private:
  bool ServeRequest();
  bool AwaitRequest(const HttpServerLimits& aLimits);
  boost::system::error_code ReadRequest(Parser& aParser,
                                        const HttpServerLimits& aLimits);
  boost::system::error_code Receive(const HttpServerLimits& aLimits,
                                    HttpRequest& aRequest,
                                    bool& aKeepAlive);
  boost::system::error_code ReadMore(std::size_t aBytes);
  bool ReserveFor(const Parser& aParser);
  static std::size_t BytesToRead(const Parser& aParser);
  bool Answer(HttpResponse&& aResponse, bool aKeepAlive);
  bool Reject(const boost::system::error_code& aError);
  void Drain();

  std::shared_ptr<HttpServerState> server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::uint32_t worker_;
  MemoryHold hold_;
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

/** Answers a request that could not be read, if it can be answered. */
bool
Session::Reject(const boost::system::error_code& aError)
{
  std::optional<HttpRefusal> refusal = MakeRefusal(aError);
  if (!refusal) {
    return false;
  }
  if (refusal->limit_) {
    CountLimit(server_->account_, *refusal->limit_);
  }
  if (Answer(std::move(refusal->response_), false)) {
    Drain();
  }
  return false;
}

void
Session::Drain()
{
  boost::system::error_code error;
  stream_.socket().shutdown(tcp::socket::shutdown_send, error);
  stream_.expires_after(kDrainTimeout);
  hold_.Enter(HolderState::Closing);
  for (std::size_t drained = 0; !error && drained < kMaxDrainBytes;) {
    buffer_.consume(buffer_.size());
    error = ReadMore(kReadBytes);
    drained += buffer_.size();
  }
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

boost::system::error_code
Session::ReadMore(std::size_t aBytes)
{
  const IoResult read = AwaitIo([&](auto aHandler) {
    stream_.async_read_some(buffer_.prepare(aBytes), aHandler);
  });
  buffer_.commit(read.bytes_);
  hold_.RecordProgress();
  return read.error_ == boost::asio::error::eof ? http::error::end_of_stream
                                                : read.error_;
}

/** Reserves memory for a request of which at least the head has arrived. */
bool
Session::ReserveFor(const Parser& aParser)
{
  const Request& message = aParser.get();
  const auto fields =
    static_cast<std::uint64_t>(std::distance(message.begin(), message.end()));
  const std::uint64_t declared = aParser.content_length().value_or(0);
  return hold_.Reserve(
    kSessionBytes + buffer_.capacity() + fields * kFieldBytes +
    std::max<std::uint64_t>(declared, message.body().capacity()));
}

// The parser asks for more while a head, a chunk's head or the trailers are not
// whole, without a limit of its own for the latter two.
boost::system::error_code
Session::ReadRequest(Parser& aParser, const HttpServerLimits& aLimits)
{
  aParser.body_limit(aLimits.maxBodyBytes_);
  aParser.header_limit(aLimits.maxHeaderBytes_);
  while (true) {
    boost::system::error_code error;
    if (buffer_.size() > 0) {
      buffer_.consume(aParser.put(buffer_.data(), error));
      if (error && error != http::error::need_more) {
        return error;
      }
    }
    if (aParser.is_done()) {
      return {};
    }
    const bool isBody = aParser.is_header_done();
    if (isBody && !ReserveFor(aParser)) {
      return NoMemoryError();
    }
    if (isBody && !aParser.eager()) {
      aParser.eager(true);
      if (buffer_.size() > 0) {
        continue;
      }
    }
    if (buffer_.size() > aLimits.maxHeaderBytes_) {
      return http::error::header_limit;
    }
    error = ReadMore(isBody ? BytesToRead(aParser) : kReadBytes);
    if (error) {
      return error;
    }
  }
}

/** Next read of a body: what is left of it, if that is known. */
std::size_t
Session::BytesToRead(const Parser& aParser)
{
  const auto left = aParser.content_length_remaining();
  return left ? std::clamp<std::uint64_t>(*left, kReadBytes, kBodyReadBytes)
              : kBodyReadBytes;
}

/** Reads and decodes a request. What was read of a request that is rejected is
 * freed before its rejection is written. */
boost::system::error_code
Session::Receive(const HttpServerLimits& aLimits,
                 HttpRequest& aRequest,
                 bool& aKeepAlive)
{
  Parser parser;
  const boost::system::error_code error = ReadRequest(parser, aLimits);
  if (error) {
    return error;
  }
  if (!ReserveFor(parser)) {
    return NoMemoryError();
  }
  Request message = parser.release();
  aRequest.method_ = FromVerb(message.method());
  aRequest.methodText_ = std::string(message.method_string());
  aRequest.target_ = std::string(message.target());
  CopyFields(message.base(), aRequest.fields_);
  aRequest.body_ = std::move(message.body());
  aKeepAlive = message.keep_alive();
  return {};
}

// The limits in force when the first byte has arrived apply to the request.
bool
Session::ServeRequest()
{
  hold_.Enter(HolderState::Idle);
  if (!AwaitRequest(*server_->limits_.load())) {
    return false;
  }
  const std::shared_ptr<const HttpServerLimits> limits = server_->limits_;
  hold_.Enter(HolderState::Reading);
  HttpRequest request;
  bool keepAlive = false;
  stream_.expires_after(limits->requestTimeout_);
  if (const auto error = Receive(*limits, request, keepAlive)) {
    return Reject(error);
  }
  stream_.expires_never();
  if (buffer_.capacity() > kReadBytes && buffer_.size() == 0) {
    buffer_.shrink_to_fit();
  }
  hold_.Enter(HolderState::Running);
  HttpResponse response = server_->handler_(request, *this);
  *watching_ = false;
  request = HttpRequest();
  keepAlive = keepAlive && !response.close_ && !server_->closing_;
  return Answer(std::move(response), keepAlive) && keepAlive;
}

bool
Session::Answer(HttpResponse&& aResponse, bool aKeepAlive)
{
  http::response<http::string_body> message;
  message.version(11);
  message.result(aResponse.status_);
  for (const HttpField& field : aResponse.fields_) {
    message.insert(field.name_, field.value_);
  }
  message.keep_alive(aKeepAlive);
  message.body() = std::move(aResponse.body_);
  message.prepare_payload();
  if (!hold_.ReserveOrExceed(kSessionBytes + buffer_.capacity() +
                             message.body().capacity())) {
    CountLimit(server_->account_, MemoryLimit::Answer);
    return false;
  }
  hold_.Enter(HolderState::Writing);
  stream_.expires_after(kWriteTimeout);
  http::response_serializer<http::string_body> serializer(message);
  while (!serializer.is_done()) {
    const IoResult written = AwaitIo([&](auto aHandler) {
      http::async_write_some(stream_, serializer, aHandler);
    });
    if (written.error_) {
      return false;
    }
    hold_.RecordProgress();
  }
  hold_.RecordServed();
  hold_.Set(kSessionBytes);
  return true;
}

void
StartSession(const std::shared_ptr<HttpServerState>& aServer,
             tcp::socket aSocket,
             std::uint32_t aWorker)
{
  TuneSocket(aSocket);
  auto session =
    std::make_shared<Session>(aServer, std::move(aSocket), aWorker);
  if (!session->HasMemory()) {
    CountLimit(aServer->account_, MemoryLimit::Connections);
    return;
  }
  aServer->pool_.At(aWorker).Spawn([session]() { session->Run(); });
}

/** Closes a session that makes no progress; false if there is none. */
bool
CloseStalled(HttpServerState& aServer)
{
  return aServer.account_ != nullptr &&
         aServer.limits_.load()->closesStalled_ &&
         aServer.account_->CloseStalled(aServer.group_);
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
      CloseStalled(*aServer);
      boost::this_fiber::sleep_for(kAcceptRetryDelay);
      continue;
    }
    if (aServer->sessions_ >= aServer->limits_.load()->maxSessions_) {
      CountLimit(aServer->account_, MemoryLimit::Connections);
      if (!CloseStalled(*aServer)) {
        continue;
      }
    }
    StartSession(aServer, std::move(socket), worker);
  }
}

} // namespace

HttpServer::HttpServer(WorkerPool& aPool,
                       HttpServerLimits aLimits,
                       HttpHandler aHandler,
                       MemoryAccount* aAccount)
  : state_(std::make_shared<HttpServerState>(aPool,
                                             aLimits,
                                             std::move(aHandler),
                                             aAccount))
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
  if (state_->account_ != nullptr) {
    boost::system::error_code ignored;
    state_->acceptor_->set_option(
      boost::asio::socket_base::receive_buffer_size(kSocketBytes), ignored);
  }
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
