// Connections between daemons: memory, order and loss of frames.
#include "runtime/peer_link.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <fstream>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace camphorfield;

namespace {

using std::chrono::seconds;

/** Memory for control of a daemon, and the fleet it is planned for. */
constexpr std::size_t kControlBytes = 256UL << 20U;
constexpr std::size_t kPlannedDaemons = 2400;
/** Share of it that connections to other daemons may take. */
constexpr std::size_t kLinkShare = 4;
constexpr std::size_t kQueuedFrames = 1024;

std::size_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

PeerFrame
MakeFrame(const std::string& aAddress, std::uint64_t aNumber)
{
  return PeerFrame{
    DaemonId{ aNumber }, aAddress, PeerCallId{ 0 }, std::to_string(aNumber)
  };
}

/** Waits until a count is reached; false after ten seconds. */
bool
WaitFor(const std::atomic<std::size_t>& aCount, std::size_t aExpected)
{
  constexpr int kTries = 1000;
  for (int i = 0; i < kTries && aCount < aExpected; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return aCount >= aExpected;
}

/** Daemon's connections, and what was reported of them. A worker ends only
 * after its fibers, which wait for frames: it is never destroyed. */
struct Bench
{
  explicit Bench(const PeerLimits& aLimits = {})
    : limits_(aLimits)
  {
  }

  PeerLimits limits_;
  std::mutex mutex_;
  std::vector<std::string> received_;
  std::atomic<std::size_t> arrived_{ 0 };
  std::atomic<std::size_t> unreachable_{ 0 };
  WorkerPool pool_{ 1 };
  PeerLinks links_{ pool_,
                    [this](const Event&) { ++unreachable_; },
                    [this](const std::string& aPayload) {
                      const std::lock_guard lock(mutex_);
                      received_.push_back(aPayload);
                      ++arrived_;
                    },
                    limits_ };
};

} // namespace

TEST_GROUP(PeerLinks){};

TEST(PeerLinks, IdleConnectionsTakeMemoryForFullQueues)
{
  constexpr std::size_t kPeers = 300;
  Bench& bench = *new Bench;
  // Nobody listens there; the queue of each stays for the next frame.
  const auto send = [&bench](std::size_t aPeer) {
    bench.links_.Send(MakeFrame("127.1." + std::to_string(aPeer / 200) + "." +
                                  std::to_string(1 + aPeer % 200) + ":9",
                                aPeer));
  };
  send(kPeers);
  CHECK_TRUE(WaitFor(bench.unreachable_, 1));
  const std::size_t before = ResidentBytes();
  for (std::size_t i = 0; i < kPeers; ++i) {
    send(i);
  }
  CHECK_TRUE(WaitFor(bench.unreachable_, kPeers + 1));
  const std::size_t bytes = (ResidentBytes() - before) / kPeers;
  CHECK_TEXT(bytes <= kControlBytes / kLinkShare / kPlannedDaemons,
             std::to_string(bytes).c_str());
}

TEST(PeerLinks, FramesArriveInOrder)
{
  constexpr std::size_t kFrames = 500;
  const std::string address = "127.1.9.1:17390";
  Bench& bench = *new Bench;
  CHECK_TRUE(bench.links_.Listen(address).ok());
  for (std::size_t i = 0; i < kFrames; ++i) {
    bench.links_.Send(MakeFrame(address, i));
  }
  CHECK_TRUE(WaitFor(bench.arrived_, kFrames));
  const std::lock_guard lock(bench.mutex_);
  for (std::size_t i = 0; i < kFrames; ++i) {
    STRCMP_EQUAL(std::to_string(i).c_str(), bench.received_[i].c_str());
  }
  LONGS_EQUAL(0, bench.unreachable_);
}

// A peer that takes nothing must not fill the memory.
TEST(PeerLinks, FramesBeyondTheQueueAreReported)
{
  constexpr std::size_t kExtra = 10;
  Bench& bench = *new Bench;
  std::promise<std::size_t> reported;
  bench.pool_.At(0).Post([&]() {
    // The fiber of the connection runs after these handlers.
    for (std::size_t i = 0; i < kQueuedFrames + kExtra; ++i) {
      bench.links_.Send(MakeFrame("127.1.9.2:9", i));
    }
    bench.pool_.At(0).Post([&]() { reported.set_value(bench.unreachable_); });
  });
  CHECK_TRUE(reported.get_future().get() >= kExtra);
  CHECK_TRUE(WaitFor(bench.unreachable_, kQueuedFrames + kExtra));
}

// A frame that arrives byte by byte would hold its memory for ever, as each
// byte is progress.
TEST(PeerLinks, AFrameHasATimeLimitAsAWhole)
{
  using boost::asio::ip::tcp;
  constexpr auto kSlack = std::chrono::milliseconds(300);
  constexpr auto kPause = std::chrono::milliseconds(20);
  constexpr int kMaxBytes = 250;
  auto& account = *new MemoryAccount(1UL << 20U);
  Bench& bench = *new Bench({ &account, 0, kSlack });
  CHECK_TRUE(bench.links_.Listen("127.1.9.3:17391").ok());
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect({ boost::asio::ip::make_address("127.1.9.3"), 17391 });
  // Whole frames may follow each other for longer than the limit of one.
  constexpr std::size_t kWhole = 20;
  const std::array<unsigned char, 5> whole{ 0, 0, 0, 1, 'x' };
  for (std::size_t i = 0; i < kWhole; ++i) {
    boost::asio::write(socket, boost::asio::buffer(whole));
    std::this_thread::sleep_for(kPause);
  }
  CHECK_TRUE(WaitFor(bench.arrived_, kWhole));
  const std::array<unsigned char, 4> header{ 0, 0, 4, 0 };
  boost::asio::write(socket, boost::asio::buffer(header));
  boost::system::error_code error;
  int sent = 0;
  while (!error && sent < kMaxBytes) {
    boost::asio::write(socket, boost::asio::buffer("x", 1), error);
    std::this_thread::sleep_for(kPause);
    ++sent;
  }
  CHECK_TRUE(error.failed());
  LONGS_EQUAL(1, account.Counted(MemoryLimit::SlowFrame));
  LONGS_EQUAL(kWhole, bench.arrived_);
}

// The largest legal frame on the slowest link, 20 Mbit/s, takes 13.4 s.
TEST(PeerLinks, LegalFramesMeetTheTimeLimit)
{
  constexpr std::size_t kLargest = 32UL << 20U;
  CHECK_TRUE(FrameTimeout(0) == seconds(10));
  CHECK_TRUE(FrameTimeout(kLargest) >
             seconds(10) + std::chrono::milliseconds(13400));
  CHECK_TRUE(FrameTimeout(kLargest) < seconds(30));
}
