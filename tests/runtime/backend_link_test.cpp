// Connections to backend servers over loopback: answers that break off, and
// bytes that are no answer and never end.
#include "runtime/backend_link.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace camphorfield;
using boost::asio::ip::tcp;

namespace {

constexpr const char* kOk = "HTTP/1.1 200 OK\r\n";
constexpr std::size_t kEndlessBytes = 64UL << 20U; ///< More than any limit.
constexpr Duration kCaseTimeout = std::chrono::seconds(10);

std::string
EncodePlain(const BackendSend&)
{
  return "GET / HTTP/1.1\r\n\r\n";
}

BackendAnswer
DecodePlain(HttpResponse&& aResponse)
{
  BackendAnswer answer;
  answer.status_ = aResponse.status_;
  answer.body_ = std::move(aResponse.body_);
  return answer;
}

/** What the gateway saw of one connection. */
struct Seen
{
  std::vector<std::string> answers_; ///< Bodies.
  std::optional<BackendEnd> end_;
  std::size_t received_ = 0; ///< Bytes that the server could send.
};

/** Bytes that a server sends. */
struct Script
{
  std::string early_;   ///< Before the first request.
  std::string answer_;  ///< After it, once.
  std::string endless_; ///< Then again and again.
  bool reset_ = false;  ///< Ends with a reset instead of a FIN.
};

std::size_t
SendEndless(tcp::socket& aSocket, const std::string& aText)
{
  std::string block;
  while (block.size() < (64UL << 10U)) {
    block += aText;
  }
  std::size_t sent = 0;
  boost::system::error_code error;
  while (!error && sent < kEndlessBytes) {
    sent += boost::asio::write(aSocket, boost::asio::buffer(block), error);
  }
  return sent;
}

/** @param aEarlySent Set once the early bytes are written. */
std::size_t
Serve(tcp::acceptor& aAcceptor,
      const Script& aScript,
      std::promise<void>* aEarlySent = nullptr)
{
  tcp::socket socket = aAcceptor.accept();
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(aScript.early_), error);
  if (aEarlySent != nullptr) {
    aEarlySent->set_value();
  }
  std::array<char, 1024> request{};
  socket.read_some(boost::asio::buffer(request), error);
  std::size_t sent =
    boost::asio::write(socket, boost::asio::buffer(aScript.answer_), error);
  if (!aScript.endless_.empty()) {
    sent += SendEndless(socket, aScript.endless_);
  }
  if (aScript.reset_) {
    // Asio's destructor would close in order despite the option.
    socket.set_option(boost::asio::socket_base::linger(true, 0), error);
    socket.close(error);
  }
  return sent;
}

/** Sends one request to a server that follows the script. */
Seen
Exchange(const Script& aScript, MemoryAccount* aAccount = nullptr)
{
  boost::asio::io_context context;
  tcp::acceptor acceptor(context,
                         { boost::asio::ip::address_v4::loopback(), 0 });
  Seen seen;
  std::promise<void> earlySent;
  std::thread server(
    [&]() { seen.received_ = Serve(acceptor, aScript, &earlySent); });
  GatewayCodec codec{};
  codec.encodeSend_ = EncodePlain;
  codec.decodeAnswer_ = DecodePlain;
  const ConnectionId id{ 1 };
  BackendLinks* sender = nullptr;
  boost::asio::steady_timer pause(context);
  BackendLinks links(
    context,
    codec,
    BackendSink{
      [&](const BackendOpened&) {
        // The event loop blocks, so that early bytes are there but unread. The
        // connection is open before the server's thread has accepted it.
        earlySent.get_future().wait();
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        BackendSend send;
        send.connection_ = id;
        sender->Send(send);
      },
      [&](BackendAnswer&& aAnswer) { seen.answers_.push_back(aAnswer.body_); },
      [&](const BackendClosed& aClosed) {
        seen.end_ = aClosed.end_;
        context.stop();
      },
      [](const UnreadAnswer&) {} },
    aAccount);
  sender = &links;
  links.Connect(BackendConnect{
    id,
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
    std::chrono::seconds(1) });
  context.run_for(kCaseTimeout);
  server.join();
  return seen;
}

struct LinkCase
{
  const char* name_;
  Script script_;
  std::size_t answers_;
  BackendEnd end_;
};

/** Cancels a request while its answer waits in the socket. */
std::vector<UnreadAnswer>
Cancel(const std::string& aAnswer)
{
  boost::asio::io_context context;
  tcp::acceptor acceptor(context,
                         { boost::asio::ip::address_v4::loopback(), 0 });
  std::thread server([&]() { Serve(acceptor, { "", aAnswer, "", false }); });
  GatewayCodec codec{};
  codec.encodeSend_ = EncodePlain;
  codec.decodeAnswer_ = DecodePlain;
  const ConnectionId id{ 1 };
  std::vector<UnreadAnswer> unread;
  BackendLinks* sender = nullptr;
  BackendLinks links(
    context,
    codec,
    BackendSink{ [&](const BackendOpened&) {
                  BackendSend send;
                  send.connection_ = id;
                  sender->Send(send);
                  // The event loop is busy until the answer is there.
                  std::this_thread::sleep_for(std::chrono::milliseconds(50));
                  sender->Disconnect({ id, 7 });
                },
                 [](BackendAnswer&&) { FAIL("delivered"); },
                 [](const BackendClosed&) { FAIL("closed"); },
                 [&](const UnreadAnswer& aItem) { unread.push_back(aItem); } });
  sender = &links;
  links.Connect(BackendConnect{
    id,
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
    std::chrono::seconds(1) });
  context.run();
  server.join();
  return unread;
}

/** What a server saw of a cancelled request, and what it then sent. */
struct LateCase
{
  const char* name_;
  std::string answer_;
  std::chrono::milliseconds after_; ///< The end of the connection.
  std::size_t reported_;
};

/** Cancels a request whose server answers after it has seen the end.
 * @param aSeesEnd Set if the server saw it before the time for answers. */
std::vector<UnreadAnswer>
CancelBefore(const LateCase& aCase, bool& aSeesEnd)
{
  boost::asio::io_context context;
  tcp::acceptor acceptor(context,
                         { boost::asio::ip::address_v4::loopback(), 0 });
  std::thread server([&]() {
    tcp::socket socket = acceptor.accept();
    boost::system::error_code error;
    std::array<char, 1024> request{};
    socket.read_some(boost::asio::buffer(request), error);
    socket.read_some(boost::asio::buffer(request), error);
    aSeesEnd = error == boost::asio::error::eof;
    std::this_thread::sleep_for(aCase.after_);
    const std::size_t half = aCase.answer_.size() / 2;
    boost::asio::write(
      socket, boost::asio::buffer(aCase.answer_.substr(0, half)), error);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    boost::asio::write(
      socket, boost::asio::buffer(aCase.answer_.substr(half)), error);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  });
  GatewayCodec codec{};
  codec.encodeSend_ = EncodePlain;
  codec.decodeAnswer_ = DecodePlain;
  const ConnectionId id{ 1 };
  std::vector<UnreadAnswer> unread;
  BackendLinks* sender = nullptr;
  BackendLinks links(
    context,
    codec,
    BackendSink{ [&](const BackendOpened&) {
                  BackendSend send;
                  send.connection_ = id;
                  sender->Send(send);
                  sender->Disconnect({ id, 7, 9 });
                },
                 [](BackendAnswer&&) { FAIL("delivered"); },
                 [](const BackendClosed&) { FAIL("closed"); },
                 [&](const UnreadAnswer& aItem) { unread.push_back(aItem); } });
  sender = &links;
  links.Connect(BackendConnect{
    id,
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
    std::chrono::seconds(1) });
  context.run();
  server.join();
  return unread;
}

} // namespace

TEST_GROUP(BackendLink){};

// A rejection that is on the network when its request is cancelled.
TEST(BackendLink, GuidanceUnderWayToACancelledRequestIsLost)
{
  using std::chrono::milliseconds;
  const std::string whole = std::string(kOk) + "Content-Length: 2\r\n\r\nhi";
  const std::vector<LateCase> cases{
    { "at once", whole, milliseconds(0), 1 },
    { "after 50 ms", whole, milliseconds(50), 1 },
    { "no answer", "", milliseconds(50), 0 },
    { "too late", whole, milliseconds(900), 0 },
    { "garbled", "HTTP/1.1 9x\r\n\r\n", milliseconds(0), 0 },
  };
  for (const LateCase& item : cases) {
    bool seesEnd = false;
    const std::vector<UnreadAnswer> unread = CancelBefore(item, seesEnd);
    CHECK_TEXT(seesEnd, item.name_);
    LONGS_EQUAL_TEXT(item.reported_, unread.size(), item.name_);
    for (const UnreadAnswer& seen : unread) {
      LONGS_EQUAL(7, seen.backend_);
      LONGS_EQUAL(9, seen.requestHash_);
    }
  }
}

// A server that rejects a request doesn't know that it has been cancelled.
TEST(BackendLink, GuidanceToACancelledRequestIsLost)
{
  struct Case
  {
    const char* name_;
    std::string answer_;
    std::size_t reported_;
  };
  const std::string whole = std::string(kOk) + "Content-Length: 2\r\n\r\nhi";
  const std::vector<Case> cases{
    { "whole", whole, 1 },
    { "cut in its body", whole.substr(0, whole.size() - 1), 0 },
    { "cut in its head", whole.substr(0, 20), 0 },
    { "interim", "HTTP/1.1 100 Continue\r\n\r\n", 0 },
    { "none", "", 0 },
  };
  for (const Case& item : cases) {
    const std::vector<UnreadAnswer> unread = Cancel(item.answer_);
    LONGS_EQUAL_TEXT(item.reported_, unread.size(), item.name_);
    for (const UnreadAnswer& seen : unread) {
      LONGS_EQUAL(7, seen.backend_);
      LONGS_EQUAL(200, seen.answer_.status_);
    }
  }
}

TEST(BackendLink, OnlyWholeAnswersAreDelivered)
{
  const std::string ok = kOk;
  const std::string whole = ok + "Content-Length: 2\r\n\r\nhi";
  const std::vector<LinkCase> cases{
    { "whole", { "", whole, "", false }, 1, BackendEnd::Closed },
    { "half a body, FIN",
      { "", ok + "Content-Length: 9\r\n\r\nhi", "", false },
      0,
      BackendEnd::Closed },
    { "half a body, reset",
      { "", ok + "Content-Length: 9\r\n\r\nhi", "", true },
      0,
      BackendEnd::Reset },
    { "no last chunk, FIN",
      { "", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", "", false },
      0,
      BackendEnd::Closed },
    { "cut in the trailer",
      { "",
        ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nA: b",
        "",
        false },
      0,
      BackendEnd::Closed },
    { "no length, FIN",
      { "", ok + "Connection: close\r\n\r\nhi", "", false },
      1,
      BackendEnd::Closed },
    { "no length, reset",
      { "", ok + "Connection: close\r\n\r\nhi", "", true },
      0,
      BackendEnd::Reset },
    { "half a header",
      { "", "HTTP/1.1 200 O", "", false },
      0,
      BackendEnd::Closed },
    { "a copy before the request is written",
      { whole, whole, "", false },
      0,
      BackendEnd::Malformed },
    { "half a copy before it",
      { "HTTP/1.1 2", whole, "", false },
      0,
      BackendEnd::Malformed },
  };
  for (const LinkCase& item : cases) {
    const Seen seen = Exchange(item.script_);
    LONGS_EQUAL_TEXT(item.answers_, seen.answers_.size(), item.name_);
    CHECK_TRUE_TEXT(seen.end_.has_value(), item.name_);
    LONGS_EQUAL_TEXT(item.end_, *seen.end_, item.name_);
  }
}

TEST(BackendLink, AnAnswerCutInItsHeadPassesForAWholeOne)
{
  const std::string head =
    std::string(kOk) + "A: b\r\nContent-Length: 0\r\n\r\n";
  const std::string open = std::string(kOk) + "Connection: close\r\n\r\n";
  for (const std::string& text : { head, open }) {
    for (const bool reset : { false, true }) {
      for (std::size_t length = 0; length < text.size(); ++length) {
        const Seen seen = Exchange({ "", text.substr(0, length), "", reset });
        LONGS_EQUAL_TEXT(
          0, seen.answers_.size(), text.substr(0, length).c_str());
        CHECK_TRUE(seen.end_.has_value());
      }
    }
  }
}

// Each is cut off after a bounded number of bytes, with no answer delivered.
TEST(BackendLink, EndlessBytesAreCutOff)
{
  const std::string ok = kOk;
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<LinkCase> cases{
    { "noise", { "", "", "x", false }, 0, BackendEnd::Malformed },
    { "empty lines", { "", "", "\r\n", false }, 0, BackendEnd::Malformed },
    { "one header line",
      { "", ok + "A: ", "x", false },
      0,
      BackendEnd::Malformed },
    { "header lines", { "", ok, "A: b\r\n", false }, 0, BackendEnd::Malformed },
    { "interim answers",
      { "", "", "HTTP/1.1 100 Continue\r\n\r\n", false },
      0,
      BackendEnd::Malformed },
    { "body without a length",
      { "", ok + "Connection: close\r\n\r\n", "x", false },
      0,
      BackendEnd::Malformed },
    { "body over the limit",
      { "", ok + "Content-Length: 99999999999\r\n\r\n", "x", false },
      0,
      BackendEnd::Malformed },
    { "chunks",
      { "", chunked, "4\r\nabcd\r\n", false },
      0,
      BackendEnd::Malformed },
    { "size of a chunk",
      { "", chunked, "0", false },
      0,
      BackendEnd::Malformed },
    { "extension of a chunk",
      { "", chunked + "4;a=", "x", false },
      0,
      BackendEnd::Malformed },
    { "trailer",
      { "", chunked + "0\r\n", "A: b\r\n", false },
      0,
      BackendEnd::Malformed },
  };
  for (const LinkCase& item : cases) {
    const Seen seen = Exchange(item.script_);
    LONGS_EQUAL_TEXT(item.answers_, seen.answers_.size(), item.name_);
    CHECK_TRUE_TEXT(seen.end_.has_value(), item.name_);
    LONGS_EQUAL_TEXT(item.end_, *seen.end_, item.name_);
    CHECK_TRUE_TEXT(seen.received_ < kEndlessBytes, item.name_);
  }
}

// An answer for which this process has no memory was taken for an invalid one,
// which counts as a failure of its server.
TEST(BackendLink, AnAnswerWithoutMemoryIsNotMalformed)
{
  MemoryAccount account(64UL << 10U);
  const std::string head = std::string(kOk) + "Content-Length: 1000000\r\n\r\n";
  const Seen seen = Exchange(
    { "", head + std::string(200UL << 10U, 'x'), "", false }, &account);
  CHECK_TRUE(seen.end_.has_value());
  LONGS_EQUAL(BackendEnd::NoMemory, *seen.end_);
  LONGS_EQUAL(0, seen.answers_.size());
  LONGS_EQUAL(1, account.Counted(MemoryLimit::Answer));
  LONGS_EQUAL(0, account.Budget().used_);
}
