// Peer connections: one fiber and a bounded queue for each outgoing address, so
// that a slow or dead peer delays only its own frames.
#include "runtime/peer_link.h"

#include "core/hash_func.h"
#include "peer/peer_codec.h"
#include "runtime/address_func.h"
#include "runtime/fiber_io.h"

#include <array>
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
  PeerLink(std::string aAddress, boost::asio::io_context& aContext)
    : address_(std::move(aAddress))
    , socket_(aContext)
  {
  }

  std::string address_;
  tcp::socket socket_;
  std::deque<PeerFrame> frames_; ///< At most kQueuedFrames.
  boost::fibers::mutex mutex_;   ///< For arrived_; one thread uses frames_.
  boost::fibers::condition_variable arrived_;
  bool connected_ = false;
};

using LinkMap = std::unordered_map<std::string, std::shared_ptr<PeerLink>>;

} // namespace

/** Shared state. Each map of links_ is used only on its worker's thread. */
struct PeerLinksState
{
  PeerLinksState(WorkerPool& aPool, EventSink aSink, FrameHandler aHandler)
    : pool_(aPool)
    , sink_(std::move(aSink))
    , handler_(std::move(aHandler))
    , links_(aPool.Size())
  {
  }

  WorkerPool& pool_;
  EventSink sink_;
  FrameHandler handler_;
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

bool
Connect(PeerLink& aLink)
{
  const auto endpoint = ParseAddress(aLink.address_);
  if (!endpoint.ok()) {
    return false;
  }
  boost::asio::steady_timer timer(aLink.socket_.get_executor(),
                                  kConnectTimeout);
  // The timer's handler may already be queued when the timer is cancelled; the
  // flag makes it do nothing.
  auto waiting = std::make_shared<bool>(true);
  timer.async_wait([&aLink, waiting](const boost::system::error_code& aError) {
    if (!aError && *waiting) {
      Disconnect(aLink);
    }
  });
  const IoResult result = AwaitIo(
    [&](auto aHandler) { aLink.socket_.async_connect(*endpoint, aHandler); });
  *waiting = false;
  timer.cancel();
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
Write(PeerLink& aLink, const PeerFrame& aFrame)
{
  const Header header = EncodeLength(aFrame.payload_.size());
  const std::array<boost::asio::const_buffer, 2> buffers{
    boost::asio::buffer(header), boost::asio::buffer(aFrame.payload_)
  };
  const IoResult written = AwaitIo([&](auto aHandler) {
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
  if (!ready || !Write(aLink, aFrame)) {
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
  auto link = std::make_shared<PeerLink>(aAddress, worker.Context());
  links.emplace(aAddress, link);
  worker.Spawn([aState, link, aWorker]() { RunLink(aState, link, aWorker); });
  return link;
}

bool
ReadFrame(tcp::socket& aSocket, std::string& aPayload)
{
  Header header{};
  const IoResult head = AwaitIo([&](auto aHandler) {
    boost::asio::async_read(aSocket, boost::asio::buffer(header), aHandler);
  });
  const std::size_t length = DecodeLength(header);
  if (head.error_ || length > kMaxPeerFrameBytes) {
    return false;
  }
  aPayload.resize(length);
  const IoResult body = AwaitIo([&](auto aHandler) {
    boost::asio::async_read(aSocket, boost::asio::buffer(aPayload), aHandler);
  });
  return !body.error_;
}

void
AcceptLoop(const std::shared_ptr<PeerLinksState>& aState)
{
  std::uint64_t next = 0;
  while (true) {
    Worker& worker = aState->pool_.At(next++);
    auto socket = std::make_shared<tcp::socket>(worker.Context());
    const IoResult accepted = AwaitIo([&](auto aHandler) {
      aState->acceptor_->async_accept(*socket, aHandler);
    });
    if (accepted.error_ == boost::asio::error::operation_aborted) {
      return;
    }
    if (accepted.error_) {
      boost::this_fiber::sleep_for(kAcceptRetryDelay);
      continue;
    }
    TuneSocket(*socket);
    worker.Spawn([aState, socket]() {
      std::string payload;
      while (ReadFrame(*socket, payload)) {
        aState->handler_(payload);
      }
    });
  }
}

} // namespace

PeerLinks::PeerLinks(WorkerPool& aPool, EventSink aSink, FrameHandler aHandler)
  : state_(std::make_shared<PeerLinksState>(aPool,
                                            std::move(aSink),
                                            std::move(aHandler)))
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
      if (link->frames_.size() >= kQueuedFrames) {
        ReportUnreachable(*state, frame);
        return;
      }
      link->frames_.push_back(std::move(frame));
      link->arrived_.notify_one();
    });
}

} // namespace camphorfield
