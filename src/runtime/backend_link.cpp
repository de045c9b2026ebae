// Backend connections of a gateway without fibers. Tells a refused connect, a
// timeout, an orderly close, a reset, a malformed answer and one for which this
// process has no memory apart.
#include "runtime/backend_link.h"

#include "runtime/address_func.h"
#include "runtime/http_beast.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace camphorfield {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kReadBytes = 4096;
constexpr std::uint64_t kMaxAnswerBytes = 4ULL * 1024 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 16U * 1024;
constexpr std::uint32_t kFirstFinalStatus = 200;
/** Of an open connection without a request: object and read buffer. */
constexpr std::uint64_t kLinkBytes = 8ULL * 1024;
/** Interim answers (1xx) to one request; a server could send them forever. */
constexpr std::uint32_t kMaxInterimAnswers = 8;
/** A server's word on itself may be under way when its request is cancelled;
 * what comes later than this is no longer expected to be known. */
constexpr Duration kLingerTime = std::chrono::milliseconds(500);
/** Connections that linger: more would take descriptors from other uses. */
constexpr std::size_t kMaxLingering = 128;

BackendEnd
ToConnectEnd(const boost::system::error_code& aError)
{
  return aError == boost::asio::error::connection_refused
           ? BackendEnd::Refused
           : BackendEnd::TimedOut;
}

} // namespace

/** One connection. A read is always pending, to detect that it was closed. */
class BackendLink : public std::enable_shared_from_this<BackendLink>
{
public:
  BackendLink(BackendLinks& aOwner, std::uint64_t aId)
    : owner_(aOwner)
    , id_(aId)
    , socket_(aOwner.context_)
    , timer_(aOwner.context_)
    , hold_(aOwner.account_, { .mayUseAll_ = true }, []() {})
  {
    hold_.Set(kLinkBytes);
  }

  void Connect(const BackendConnect& aConnect);
  void Send(std::string aText);
  void CloseSocket();
  /** Ends sending, and reports the answer if it comes soon. */
  void Linger(const BackendDisconnect& aDisconnect);
  /** The answer that has arrived but was not read, if it is whole. */
  std::optional<BackendAnswer> TakeUnread();

private:
  using Parser = http::response_parser<http::string_body>;

  void OnConnected(const boost::system::error_code& aError);
  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aBytes);
  void Parse();
  void HandleReadError(const boost::system::error_code& aError);
  void Deliver(bool aEnded);
  void MakeParser();
  std::optional<BackendAnswer> ReleaseAnswer(bool aEnded);
  void Fail(BackendEnd aEnd);
  void WriteRest(std::size_t aWritten);
  std::uint64_t HeldBytes() const;
  bool HasBegun() const { return parser_ && parser_->got_some(); }
  bool HasUnrequestedBytes() const;

  BackendLinks& owner_;
  std::uint64_t id_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string out_; ///< Request of which a part is not yet written.
  std::uint32_t interimAnswers_ = 0; ///< To the latest request.
  bool writing_ = false;
  bool awaitsAnswer_ = false;
  bool isClosed_ = false;
  MemoryHold hold_;
  std::optional<BackendDisconnect> lingering_;
};

void
BackendLink::Connect(const BackendConnect& aConnect)
{
  const auto endpoint = ParseAddress(aConnect.address_);
  if (!endpoint.ok()) {
    boost::asio::post(owner_.context_, [self = shared_from_this()]() {
      self->Fail(BackendEnd::Refused);
    });
    return;
  }
  timer_.expires_after(aConnect.timeout_);
  timer_.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError) {
        self->Fail(BackendEnd::TimedOut);
      }
    });
  socket_.async_connect(
    *endpoint,
    [self = shared_from_this()](const boost::system::error_code& aError) {
      self->OnConnected(aError);
    });
}

void
BackendLink::OnConnected(const boost::system::error_code& aError)
{
  if (isClosed_) {
    return;
  }
  timer_.cancel();
  if (aError) {
    Fail(ToConnectEnd(aError));
    return;
  }
  TuneSocket(socket_);
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  Read();
  owner_.sink_.opened_(BackendOpened{ ConnectionId{ id_ } });
}

/** Whether bytes have arrived that belong to no request. */
bool
BackendLink::HasUnrequestedBytes() const
{
  boost::system::error_code error;
  return HasBegun() || buffer_.size() > 0 || socket_.available(error) > 0;
}

// A second copy of an earlier answer may have arrived since the event loop last
// read; it would be taken for the answer to this request. The socket's send
// buffer nearly always has room for the whole request, so a synchronous write
// is tried first.
void
BackendLink::Send(std::string aText)
{
  if (HasUnrequestedBytes()) {
    boost::asio::post(owner_.context_, [self = shared_from_this()]() {
      self->Fail(BackendEnd::Malformed);
    });
    return;
  }
  interimAnswers_ = 0;
  awaitsAnswer_ = true;
  out_ = std::move(aText);
  boost::system::error_code error;
  const std::size_t written =
    socket_.write_some(boost::asio::buffer(out_), error);
  if (written < out_.size()) {
    hold_.Set(HeldBytes());
    WriteRest(error ? 0 : written);
  } else {
    out_ = std::string();
  }
}

std::uint64_t
BackendLink::HeldBytes() const
{
  return kLinkBytes + out_.capacity() + buffer_.capacity() +
         (parser_ ? parser_->get().body().capacity() : 0);
}

void
BackendLink::WriteRest(std::size_t aWritten)
{
  writing_ = true;
  boost::asio::async_write(
    socket_,
    boost::asio::buffer(out_) + aWritten,
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t) {
      self->writing_ = false;
      self->out_ = std::string();
      self->hold_.Set(self->HeldBytes());
      if (aError && !self->isClosed_) {
        self->Fail(BackendEnd::Reset);
      }
    });
}

// The server sees the end of the connection as with a close. The pending read
// holds a buffer from before TakeUnread, so it is begun again.
void
BackendLink::Linger(const BackendDisconnect& aDisconnect)
{
  if (isClosed_ || !awaitsAnswer_ || writing_ ||
      owner_.lingering_ >= kMaxLingering) {
    CloseSocket();
    return;
  }
  ++owner_.lingering_;
  lingering_ = aDisconnect;
  boost::system::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  socket_.cancel(ignored);
  timer_.expires_after(kLingerTime);
  timer_.async_wait(
    [self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError) {
        self->Fail(BackendEnd::TimedOut);
      }
    });
}

void
BackendLink::CloseSocket()
{
  owner_.lingering_ -= lingering_ && !isClosed_ ? 1 : 0;
  isClosed_ = true;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void
BackendLink::Fail(BackendEnd aEnd)
{
  if (isClosed_) {
    return;
  }
  const bool begun = HasBegun();
  CloseSocket();
  if (!lingering_) {
    owner_.Close(id_, aEnd, begun);
  }
}

void
BackendLink::Read()
{
  socket_.async_read_some(
    buffer_.prepare(kReadBytes),
    [self = shared_from_this()](const boost::system::error_code& aError,
                                std::size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void
BackendLink::OnRead(const boost::system::error_code& aError, std::size_t aBytes)
{
  if (isClosed_) {
    return;
  }
  if (lingering_ && aError == boost::asio::error::operation_aborted) {
    Read();
    return;
  }
  if (aError) {
    HandleReadError(aError);
    return;
  }
  buffer_.commit(aBytes);
  Parse();
  if (isClosed_) {
    return;
  }
  if (!hold_.Reserve(HeldBytes())) {
    CountLimit(owner_.account_, MemoryLimit::Answer);
    Fail(BackendEnd::NoMemory);
    return;
  }
  Read();
}

void
BackendLink::MakeParser()
{
  if (!parser_) {
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(kMaxAnswerBytes);
    parser_->header_limit(kMaxHeaderBytes);
  }
}

// A busy event loop may cancel a request whose answer is waiting in the socket.
std::optional<BackendAnswer>
BackendLink::TakeUnread()
{
  if (isClosed_ || !awaitsAnswer_) {
    return std::nullopt;
  }
  boost::system::error_code error;
  buffer_.commit(socket_.read_some(buffer_.prepare(kReadBytes), error));
  if (error) {
    return std::nullopt;
  }
  MakeParser();
  buffer_.consume(parser_->put(buffer_.data(), error));
  if (error || !parser_->is_done()) {
    return std::nullopt;
  }
  return ReleaseAnswer(false);
}

// Bytes after a complete answer are parsed as a further answer; a duplicate is
// recognized by its request id.
void
BackendLink::Parse()
{
  while (buffer_.size() > 0 && !isClosed_) {
    MakeParser();
    boost::system::error_code error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == http::error::need_more) {
      // The parser waits for the end of a line without a limit of its own.
      if (buffer_.size() > kMaxHeaderBytes) {
        Fail(BackendEnd::Malformed);
      }
      return;
    }
    if (error) {
      Fail(BackendEnd::Malformed);
      return;
    }
    if (!parser_->is_done()) {
      return;
    }
    Deliver(false);
  }
}

// An answer without a length is complete only if the connection ends with an
// orderly close.
void
BackendLink::HandleReadError(const boost::system::error_code& aError)
{
  const bool inOrder = aError == boost::asio::error::eof;
  if (inOrder && HasBegun() && parser_->is_header_done() &&
      parser_->need_eof()) {
    boost::system::error_code error;
    parser_->put_eof(error);
    if (!error && parser_->is_done()) {
      Deliver(true);
      return;
    }
  }
  Fail(inOrder ? BackendEnd::Closed : BackendEnd::Reset);
}

/** Decodes what the parser holds; none for an interim answer. */
std::optional<BackendAnswer>
BackendLink::ReleaseAnswer(bool aEnded)
{
  http::response<http::string_body> message = parser_->release();
  parser_.reset();
  if (message.result_int() < kFirstFinalStatus) {
    return std::nullopt;
  }
  awaitsAnswer_ = false;
  HttpResponse response;
  response.status_ = message.result_int();
  // A server that answers before it has read the whole request would read the
  // next request as the rest of this one, so the connection isn't reused.
  response.close_ = aEnded || writing_ || !message.keep_alive();
  CopyFields(message.base(), response.fields_);
  response.body_ = std::move(message.body());
  BackendAnswer answer = owner_.codec_.decodeAnswer_(std::move(response));
  answer.connection_ = ConnectionId{ id_ };
  return answer;
}

void
BackendLink::Deliver(bool aEnded)
{
  std::optional<BackendAnswer> answer = ReleaseAnswer(aEnded);
  if (!answer) {
    if (++interimAnswers_ > kMaxInterimAnswers) {
      Fail(BackendEnd::Malformed);
    }
    return;
  }
  if (lingering_) {
    CloseSocket();
    owner_.sink_.unread_(UnreadAnswer{
      lingering_->backend_, *std::move(answer), lingering_->requestHash_ });
    return;
  }
  owner_.sink_.answered_(*std::move(answer));
  if (aEnded) {
    Fail(BackendEnd::Closed);
  }
}

BackendLinks::BackendLinks(boost::asio::io_context& aContext,
                           const GatewayCodec& aCodec,
                           BackendSink aSink,
                           MemoryAccount* aAccount)
  : context_(aContext)
  , codec_(aCodec)
  , sink_(std::move(aSink))
  , account_(aAccount)
{
}

BackendLinks::~BackendLinks() = default;

void
BackendLinks::Connect(const BackendConnect& aConnect)
{
  const std::uint64_t id = aConnect.connection_.value_;
  const auto link = std::make_shared<BackendLink>(*this, id);
  links_[id] = link;
  link->Connect(aConnect);
}

void
BackendLinks::Send(const BackendSend& aSend)
{
  const auto found = links_.find(aSend.connection_.value_);
  if (found != links_.end()) {
    found->second->Send(codec_.encodeSend_(aSend));
  }
}

void
BackendLinks::Disconnect(const BackendDisconnect& aDisconnect)
{
  const auto found = links_.find(aDisconnect.connection_.value_);
  if (found != links_.end()) {
    const std::shared_ptr<BackendLink> link = found->second;
    links_.erase(found);
    if (std::optional<BackendAnswer> unread = link->TakeUnread()) {
      boost::asio::post(context_,
                        [this,
                         item = UnreadAnswer{ aDisconnect.backend_,
                                              *std::move(unread),
                                              aDisconnect.requestHash_ }]() {
                          sink_.unread_(item);
                        });
      link->CloseSocket();
      return;
    }
    link->Linger(aDisconnect);
  }
}

void
BackendLinks::Close(std::uint64_t aId, BackendEnd aEnd, bool aAnswerBegun)
{
  if (links_.erase(aId) > 0) {
    sink_.closed_(BackendClosed{ ConnectionId{ aId }, aEnd, aAnswerBegun });
  }
}

} // namespace camphorfield
