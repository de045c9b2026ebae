// Peer connections: one fiber and a bounded queue for each outgoing address, so
// that a slow or dead peer delays only its own frames.
#include "runtime/peer_link.h"

#include "core/hash_func.h"
#include "peer/peer_codec.h"
#include "runtime/address_func.h"
#include "runtime/fiber_io.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace camphorfield {

using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kQueuedFrames = 1024;
constexpr std::size_t kHeaderBytes = 4;
constexpr auto kConnectTimeout = std::chrono::milliseconds(500);
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr auto kIdleLinkTimeout = std::chrono::seconds(60);
/** Longer frames are read in pieces of this size, as their length may be false.
 */
constexpr std::size_t kPieceBytes = 64UL * 1024;
/** Of one accepted connection: touched pages of its fiber's stack, and socket.
 */
constexpr std::uint64_t kConnectionBytes = 24ULL * 1024;
/** Of one frame beside its payload. */
constexpr std::uint64_t kFrameBytes = 128;

using Header = std::array<unsigned char, kHeaderBytes>;

Header
EncodeLength(std::size_t aLength)
{
  Header header{};
  for (std::size_t i = 0; i < kHeaderBytes; ++i) {
    const std::size_t shift = 8 * (kHeaderBytes - 1 - i);
    header[i] = static_cast<unsigned char>((aLength >> shift) & 0xffU);
  }
  return header;
}

std::size_t
DecodeLength(const Header& aHeader)
{
  std::size_t length = 0;
  for (const unsigned char byte : aHeader) {
    length = (length << 8U) | byte;
  }
  return length;
}

/** Outgoing connection to one address. Used only on one worker's thread. */
struct PeerLink
{
  PeerLink(std::string aAddress,
           boost::asio::io_context& aContext,
           MemoryAccount* aAccount)
    : address_(std::move(aAddress))
    , socket_(aContext)
    , hold_(aAccount, {}, []() {})
  {
  }

  std::string address_;
  tcp::socket socket_;
  std::deque<PeerFrame> frames_; ///< At most kQueuedFrames.
  std::uint64_t queuedBytes_ = 0;
  MemoryHold hold_;            ///< Of frames_.
  boost::fibers::mutex mutex_; ///< For arrived_; one thread uses frames_.
  boost::fibers::condition_variable arrived_;
  bool connected_ = false;
};

using LinkMap = std::unordered_map<std::string, std::shared_ptr<PeerLink>>;

} // namespace

/** Shared state. Each map of links_ is used only on its worker's thread. */
struct PeerLinksState
{
  PeerLinksState(WorkerPool& aPool,
                 EventSink aSink,
                 FrameHandler aHandler,
                 const PeerLimits& aLimits)
    : pool_(aPool)
    , sink_(std::move(aSink))
    , handler_(std::move(aHandler))
    , limits_(aLimits)
    , group_(aLimits.account_ == nullptr ? 0 : aLimits.account_->NewGroup())
    , links_(aPool.Size())
  {
  }

  WorkerPool& pool_;
  EventSink sink_;
  FrameHandler handler_;
  PeerLimits limits_;
  std::uint32_t group_; ///< Of accepted connections in the account.
  std::atomic<std::uint32_t> accepted_{ 0 }; ///< With the one accepted next.
  std::vector<LinkMap> links_;
  std::optional<tcp::acceptor> acceptor_;
};

namespace {

void
ReportUnreachable(PeerLinksState& aState, const PeerFrame& aFrame)
{
  aState.sink_(PeerUnreachable{ aFrame.to_, aFrame.address_, aFrame.call_ });
}

void
Disconnect(PeerLink& aLink)
{
  boost::system::error_code ignored;
  aLink.socket_.close(ignored);
  aLink.connected_ = false;
}

/** Closes a socket unless it is destroyed within a time. */
class SocketTimeout
{
public:
  SocketTimeout(tcp::socket& aSocket, Duration aTime)
    : timer_(aSocket.get_executor(), aTime)
    , outcome_(std::make_shared<Outcome>())
  {
    // The handler may already be queued when the timer is cancelled; the
    // outcome makes it do nothing.
    timer_.async_wait(
      [&aSocket, outcome = outcome_](const boost::system::error_code& aError) {
        if (!aError && outcome->isWaiting_) {
          outcome->hasExpired_ = true;
          boost::system::error_code ignored;
          aSocket.close(ignored);
        }
      });
  }
  ~SocketTimeout() { outcome_->isWaiting_ = false; }
  SocketTimeout(const SocketTimeout&) = delete;
  SocketTimeout& operator=(const SocketTimeout&) = delete;

  bool HasExpired() const { return outcome_->hasExpired_; }

private:
  struct Outcome
  {
    bool isWaiting_ = true;
    bool hasExpired_ = false;
  };

  boost::asio::steady_timer timer_;
  std::shared_ptr<Outcome> outcome_;
};

/** Awaits an operation on a link's socket, which a timeout closes. */
template<typename Initiate>
IoResult
AwaitWithin(PeerLink& aLink, Duration aTimeout, const Initiate& aInitiate)
{
  const SocketTimeout timeout(aLink.socket_, aTimeout);
  return AwaitIo(aInitiate);
}

bool
Connect(PeerLink& aLink)
{
  const auto endpoint = ParseAddress(aLink.address_);
  if (!endpoint.ok()) {
    return false;
  }
  const IoResult result =
    AwaitWithin(aLink, kConnectTimeout, [&](auto aHandler) {
      aLink.socket_.async_connect(*endpoint, aHandler);
    });
  if (result.error_ || !aLink.socket_.is_open()) {
    Disconnect(aLink);
    return false;
  }
  TuneSocket(aLink.socket_);
  aLink.connected_ = true;
  return true;
}

/** A peer sends nothing on connections it accepted: readable means closed. */
bool
IsClosed(PeerLink& aLink)
{
  char byte = 0;
  const ssize_t got =
    ::recv(aLink.socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool
Write(PeerLink& aLink, const PeerFrame& aFrame, Duration aTimeout)
{
  const Header header = EncodeLength(aFrame.payload_.size());
  const std::array<boost::asio::const_buffer, 2> buffers{
    boost::asio::buffer(header), boost::asio::buffer(aFrame.payload_)
  };
  const IoResult written = AwaitWithin(aLink, aTimeout, [&](auto aHandler) {
    boost::asio::async_write(aLink.socket_, buffers, aHandler);
  });
  return !written.error_;
}

void
Deliver(PeerLinksState& aState, PeerLink& aLink, const PeerFrame& aFrame)
{
  if (aLink.connected_ && IsClosed(aLink)) {
    Disconnect(aLink);
  }
  const bool ready = aLink.connected_ || Connect(aLink);
  const Duration timeout =
    FrameTimeout(aFrame.payload_.size(), aState.limits_.frameSlack_);
  if (!ready || !Write(aLink, aFrame, timeout)) {
    Disconnect(aLink);
    ReportUnreachable(aState, aFrame);
  }
}

void
RunLink(const std::shared_ptr<PeerLinksState>& aState,
        const std::shared_ptr<PeerLink>& aLink,
        std::uint64_t aWorker)
{
  std::unique_lock lock(aLink->mutex_);
  while (aLink->arrived_.wait_for(
    lock, kIdleLinkTimeout, [&aLink]() { return !aLink->frames_.empty(); })) {
    const PeerFrame frame = std::move(aLink->frames_.front());
    aLink->frames_.pop_front();
    Deliver(*aState, *aLink, frame);
    aLink->queuedBytes_ -= frame.payload_.size() + kFrameBytes;
    aLink->hold_.Set(aLink->queuedBytes_);
  }
  aState->links_[aWorker].erase(aLink->address_);
}

std::shared_ptr<PeerLink>
FindOrStart(const std::shared_ptr<PeerLinksState>& aState,
            const std::string& aAddress,
            std::uint64_t aWorker)
{
  LinkMap& links = aState->links_[aWorker];
  const auto found = links.find(aAddress);
  if (found != links.end()) {
    return found->second;
  }
  Worker& worker = aState->pool_.At(aWorker);
  auto link = std::make_shared<PeerLink>(
    aAddress, worker.Context(), aState->limits_.account_);
  links.emplace(aAddress, link);
  worker.Spawn([aState, link, aWorker]() { RunLink(aState, link, aWorker); });
  return link;
}

/** Accepted connection. */
struct Incoming
{
  Incoming(boost::asio::io_context& aContext,
           std::atomic<std::uint32_t>& aCount)
    : socket_(aContext)
    , count_(aCount)
  {
    ++count_;
  }
  ~Incoming() { --count_; }
  Incoming(const Incoming&) = delete;
  Incoming& operator=(const Incoming&) = delete;

  tcp::socket socket_;
  std::atomic<std::uint32_t>& count_;
  std::string payload_;
  std::optional<MemoryHold> hold_;
};

bool
ReadBytes(Incoming& aFrom, const boost::asio::mutable_buffer& aTo)
{
  const IoResult read = AwaitIo([&](auto aHandler) {
    boost::asio::async_read(aFrom.socket_, aTo, aHandler);
  });
  aFrom.hold_->RecordProgress();
  return !read.error_;
}

/** Reads the payload of a frame; the peer may have announced too much. */
bool
ReadPayload(PeerLinksState& aState, Incoming& aFrom, std::size_t aLength)
{
  aFrom.payload_.clear();
  for (std::size_t at = 0; at < aLength;) {
    const std::size_t piece = std::min(kPieceBytes, aLength - at);
    if (!aFrom.hold_->Reserve(
          kConnectionBytes + std::max(at + piece, aFrom.payload_.capacity()))) {
      CountLimit(aState.limits_.account_, MemoryLimit::Frame);
      return false;
    }
    aFrom.payload_.resize(at + piece);
    if (!ReadBytes(aFrom,
                   boost::asio::buffer(aFrom.payload_.data() + at, piece))) {
      return false;
    }
    at += piece;
  }
  return true;
}

// A peer that sends a byte from time to time makes progress with each read, so
// the frame has a time limit as a whole.
bool
ReadFrame(PeerLinksState& aState, Incoming& aFrom)
{
  Header header{};
  if (!ReadBytes(aFrom, boost::asio::buffer(header))) {
    return false;
  }
  const std::size_t length = DecodeLength(header);
  if (length > kMaxPeerFrameBytes) {
    return false;
  }
  aFrom.hold_->Enter(HolderState::Reading);
  const SocketTimeout timeout(aFrom.socket_,
                              FrameTimeout(length, aState.limits_.frameSlack_));
  if (ReadPayload(aState, aFrom, length)) {
    return true;
  }
  if (timeout.HasExpired()) {
    CountLimit(aState.limits_.account_, MemoryLimit::SlowFrame);
  }
  return false;
}

void
ServePeer(PeerLinksState& aState, Incoming& aFrom)
{
  while (ReadFrame(aState, aFrom)) {
    aFrom.hold_->Enter(HolderState::Running);
    aState.handler_(aFrom.payload_);
    aFrom.hold_->RecordServed();
    if (aFrom.payload_.capacity() > kPieceBytes) {
      aFrom.payload_ = std::string();
    }
    aFrom.hold_->Set(kConnectionBytes);
    aFrom.hold_->Enter(HolderState::Idle);
  }
}

/** Whether one more connection may be accepted; closes a stalled one for it. */
bool
HasRoom(PeerLinksState& aState)
{
  const PeerLimits& limits = aState.limits_;
  if (limits.account_ == nullptr || limits.maxConnections_ == 0 ||
      aState.accepted_ <= limits.maxConnections_) {
    return true;
  }
  limits.account_->Count(MemoryLimit::Connections);
  return limits.account_->CloseStalled(aState.group_);
}

void
AcceptLoop(const std::shared_ptr<PeerLinksState>& aState)
{
  std::uint64_t next = 0;
  while (true) {
    Worker& worker = aState->pool_.At(next++);
    auto incoming =
      std::make_shared<Incoming>(worker.Context(), aState->accepted_);
    const IoResult accepted = AwaitIo([&](auto aHandler) {
      aState->acceptor_->async_accept(incoming->socket_, aHandler);
    });
    if (accepted.error_ == boost::asio::error::operation_aborted) {
      return;
    }
    if (accepted.error_) {
      boost::this_fiber::sleep_for(kAcceptRetryDelay);
      continue;
    }
    if (!HasRoom(*aState)) {
      continue;
    }
    TuneSocket(incoming->socket_);
    incoming->hold_.emplace(
      aState->limits_.account_,
      MemoryHolder{ .group_ = aState->group_, .state_ = HolderState::Idle },
      [peer = incoming.get()]() {
        boost::system::error_code ignored;
        peer->socket_.close(ignored);
      });
    incoming->hold_->Set(kConnectionBytes);
    worker.Spawn([aState, incoming]() { ServePeer(*aState, *incoming); });
  }
}

} // namespace

PeerLinks::PeerLinks(WorkerPool& aPool,
                     EventSink aSink,
                     FrameHandler aHandler,
                     const PeerLimits& aLimits)
  : state_(std::make_shared<PeerLinksState>(aPool,
                                            std::move(aSink),
                                            std::move(aHandler),
                                            aLimits))
{
}

absl::Status
PeerLinks::Listen(const std::string& aAddress)
{
  state_->acceptor_.emplace(state_->pool_.At(0).Context());
  absl::Status status = ListenOn(*state_->acceptor_, aAddress);
  if (!status.ok()) {
    return status;
  }
  state_->pool_.At(0).Spawn([state = state_]() { AcceptLoop(state); });
  return absl::OkStatus();
}

void
PeerLinks::Send(PeerFrame aFrame)
{
  const std::uint64_t worker = HashText(aFrame.address_) % state_->pool_.Size();
  state_->pool_.At(worker).Post(
    [state = state_, worker, frame = std::move(aFrame)]() mutable {
      const std::shared_ptr<PeerLink> link =
        FindOrStart(state, frame.address_, worker);
      const std::uint64_t bytes = frame.payload_.size() + kFrameBytes;
      if (link->frames_.size() >= kQueuedFrames ||
          !link->hold_.Reserve(link->queuedBytes_ + bytes)) {
        ReportUnreachable(*state, frame);
        return;
      }
      link->queuedBytes_ += bytes;
      link->frames_.push_back(std::move(frame));
      link->arrived_.notify_one();
    });
}

} // namespace camphorfield
