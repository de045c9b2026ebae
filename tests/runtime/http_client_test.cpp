// HTTP client with a memory account over loopback. Guards against replies of
// the store that are held without being counted.
#include "runtime/http_client.h"

#include "runtime/worker.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <string>
#include <thread>

using namespace camphorfield;
using boost::asio::ip::tcp;

namespace {

struct ReplyCase
{
  const char* name_;
  std::uint64_t limit_; ///< Of the account; zero: no account.
  bool chunked_;
  std::size_t body_;
  HttpEnd end_;
  std::uint64_t refused_;
};

std::string
MakeReply(const ReplyCase& aCase)
{
  const std::string body(aCase.body_, 'x');
  const std::string head = "HTTP/1.1 200 OK\r\n";
  if (!aCase.chunked_) {
    return head + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kChunk = 1000; // 3e8 in hexadecimal.
  for (std::size_t at = 0; at < body.size(); at += kChunk) {
    text += "3e8\r\n" + body.substr(at, kChunk) + "\r\n";
  }
  return text + "0\r\n\r\n";
}

void
Serve(tcp::acceptor& aAcceptor, const std::string& aReply)
{
  tcp::socket socket = aAcceptor.accept();
  std::array<char, 1024> request{};
  boost::system::error_code error;
  socket.read_some(boost::asio::buffer(request), error);
  boost::asio::write(socket, boost::asio::buffer(aReply), error);
}

} // namespace

TEST_GROUP(HttpClient){};

TEST(HttpClient, RepliesAreCountedWhileTheyAreRead)
{
  constexpr std::uint64_t kLarge = 8UL << 20U;
  constexpr std::size_t kBody = 1000UL * 1000;
  const ReplyCase cases[] = {
    { "no account", 0, false, kBody, HttpEnd::Ok, 0 },
    { "room", kLarge, false, kBody, HttpEnd::Ok, 0 },
    { "room, chunked", kLarge, true, kBody, HttpEnd::Ok, 0 },
    { "small", 100UL << 10U, false, 1000, HttpEnd::Ok, 0 },
    { "no room", 100UL << 10U, false, kBody, HttpEnd::Malformed, 1 },
    { "no room, chunked", 100UL << 10U, true, kBody, HttpEnd::Malformed, 1 },
  };
  for (const ReplyCase& item : cases) {
    boost::asio::io_context context;
    tcp::acceptor acceptor(context,
                           { boost::asio::ip::address_v4::loopback(), 0 });
    std::thread server([&]() { Serve(acceptor, MakeReply(item)); });
    MemoryAccount account(item.limit_);
    // A worker ends only after its fibers: it is never destroyed.
    WorkerPool& pool = *new WorkerPool(1);
    std::promise<HttpExchange> result;
    pool.At(0).Spawn([&]() {
      HttpExchange exchange;
      {
        HttpClient client(pool.At(0).Context(),
                          item.limit_ == 0 ? nullptr : &account);
        client.Connect("127.0.0.1:" +
                         std::to_string(acceptor.local_endpoint().port()),
                       std::chrono::seconds(5));
        exchange = client.Exchange(HttpRequest{}, std::chrono::seconds(5));
      }
      result.set_value(std::move(exchange));
    });
    const HttpExchange exchange = result.get_future().get();
    server.join();
    LONGS_EQUAL_TEXT(item.end_, exchange.end_, item.name_);
    if (item.end_ == HttpEnd::Ok) {
      LONGS_EQUAL_TEXT(item.body_, exchange.response_.body_.size(), item.name_);
    }
    LONGS_EQUAL_TEXT(
      item.refused_, account.Counted(MemoryLimit::StoreReply), item.name_);
    LONGS_EQUAL_TEXT(0, account.Budget().used_, item.name_);
  }
}
