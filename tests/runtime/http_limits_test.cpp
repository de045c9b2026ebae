// HTTP server with a memory account over loopback. Guards against requests that
// grow beyond all limits while they are read, against refusals of requests that
// have been passed on, and against limits of an older configuration.
#include "runtime/http_server.h"

#include <CppUTest/TestHarness.h>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <string>
#include <thread>

using namespace camphorfield;
using boost::asio::ip::tcp;

namespace {

constexpr std::uint64_t kBodyLimit = 400UL * 1024;
constexpr std::uint64_t kHeldLimit = 512UL * 1024;

HttpServerLimits
MakeLimits(std::uint64_t aBodyLimit)
{
  HttpServerLimits limits;
  limits.maxBodyBytes_ = aBodyLimit;
  limits.maxHeaderBytes_ = 4096;
  return limits;
}

std::string
Post(const std::string& aFields, const std::string& aBody)
{
  return "POST / HTTP/1.1\r\n" + aFields + "\r\n" + aBody;
}

/** One server on a worker of its own; never destroyed, as its acceptor's fiber
 * waits until the process ends. */
struct Bench
{
  WorkerPool pool_{ 1 };
  MemoryAccount account_{ kHeldLimit };
  std::atomic<int> handled_{ 0 };
  HttpServer server_{ pool_,
                      MakeLimits(kBodyLimit),
                      [this](const HttpRequest& aRequest, HttpSession&) {
                        ++handled_;
                        HttpResponse response;
                        response.body_ = std::to_string(aRequest.body_.size());
                        return response;
                      },
                      &account_ };

  tcp::socket Connect(boost::asio::io_context& aContext) const
  {
    const std::string address = server_.LocalAddress();
    tcp::socket socket(aContext);
    socket.connect({ boost::asio::ip::address_v4::loopback(),
                     static_cast<std::uint16_t>(
                       std::stoi(address.substr(address.rfind(':') + 1))) });
    return socket;
  }

  /** Bytes that the account counts. */
  std::uint64_t Held()
  {
    std::promise<std::uint64_t> held;
    pool_.At(0).Post([&]() { held.set_value(account_.Budget().used_); });
    return held.get_future().get();
  }
};

std::string
ReadAnswer(tcp::socket& aSocket)
{
  std::string answer;
  boost::system::error_code error;
  boost::asio::read_until(
    aSocket, boost::asio::dynamic_buffer(answer), "\r\n\r\n", error);
  return answer;
}

struct LimitCase
{
  const char* name_;
  std::string bytes_;
  const char* begin_;
  int handled_;
};

} // namespace

TEST_GROUP(HttpLimits){};

TEST(HttpLimits, RequestsBeyondLimitsAreNotPassedOn)
{
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string mega(1UL << 20U, 'x');
  const LimitCase cases[] = {
    { "body", Post("Content-Length: 3\r\n", "abc"), "HTTP/1.1 200", 1 },
    { "chunks, extension, trailer",
      Post(chunked, "2;a=b\r\nab\r\n1\r\nc\r\n0\r\nT: x\r\n\r\n"),
      "HTTP/1.1 200",
      1 },
    { "old version", "GET / HTTP/1.0\r\n\r\n", "HTTP/1.1 200", 1 },
    { "upgrade",
      "GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: w\r\n\r\n",
      "HTTP/1.1 200",
      1 },
    { "largest body",
      Post("Content-Length: 300000\r\n", std::string(300000, 'x')),
      "HTTP/1.1 200",
      1 },
    { "declared body over limit",
      Post("Content-Length: 500000\r\n", ""),
      "HTTP/1.1 413",
      0 },
    { "chunked body over limit",
      Post(chunked, "100000\r\n" + mega + "\r\n0\r\n\r\n"),
      "HTTP/1.1 413",
      0 },
    { "endless trailers", Post(chunked, "0\r\nT: " + mega), "HTTP/1.1 431", 0 },
    { "endless trailer fields",
      Post(
        chunked,
        "0\r\n" +
          [] {
            std::string text;
            for (int i = 0; i < 5000; ++i) {
              text += "T: x\r\n";
            }
            return text;
          }()),
      "HTTP/1.1 431",
      0 },
    { "endless chunk extension",
      Post(chunked, "1;a=" + mega),
      "HTTP/1.1 431",
      0 },
    { "no memory for the declared length",
      Post("Content-Length: 400000\r\n", ""),
      "HTTP/1.1 503",
      0 },
  };
  Bench& bench = *new Bench;
  CHECK_TRUE(bench.server_.Listen("127.0.0.1:0").ok());
  for (const LimitCase& test : cases) {
    const int before = bench.handled_;
    boost::asio::io_context context;
    tcp::socket socket = bench.Connect(context);
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(test.bytes_), error);
    const std::string answer = ReadAnswer(socket);
    const std::string begin = test.begin_;
    // A refusal can be lost to the reset that the unread bytes cause.
    CHECK_TRUE_TEXT(answer.substr(0, begin.size()) == begin ||
                      (answer.empty() && test.bytes_.size() > mega.size()),
                    test.name_);
    CHECK_TRUE_TEXT(begin != "HTTP/1.1 503" ||
                      answer.find("Retry-After: 1\r\n") != std::string::npos,
                    test.name_);
    LONGS_EQUAL_TEXT(test.handled_, bench.handled_ - before, test.name_);
  }
  // Everything is given back when the connections have ended.
  for (int i = 0; i < 1000 && bench.Held() > 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  LONGS_EQUAL(0, bench.Held());
}

// Guards against a connection that was idle while the configuration changed
// serving its next request under the limits of the older one.
TEST(HttpLimits, LimitsInForceWhenTheRequestBeginsApply)
{
  Bench& bench = *new Bench;
  CHECK_TRUE(bench.server_.Listen("127.0.0.1:0").ok());
  boost::asio::io_context context;
  tcp::socket socket = bench.Connect(context);
  const std::string request =
    Post("Content-Length: 200000\r\n", std::string(200000, 'x'));
  boost::asio::write(socket, boost::asio::buffer(request));
  CHECK_TRUE(ReadAnswer(socket).substr(0, 12) == "HTTP/1.1 200");
  // The connection is idle by then.
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  bench.server_.SetLimits(MakeLimits(100000));
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(request), error);
  CHECK_TRUE(ReadAnswer(socket).substr(0, 12) == "HTTP/1.1 413");
}
