// Address parsing and socket options. The options detect peers that vanished
// without closing their connections.
#include "runtime/address_func.h"

#include <charconv>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>

namespace camphorfield {

namespace {

// A connection whose sent bytes stay unacknowledged for this time is broken
// even without a reset: a device in between may have lost its state.
constexpr int kUnacknowledgedMillis = 3000;

// Keep-alive for idle connections: first probe after this many seconds, then
// one each second; the connection is closed after this many unanswered probes.
constexpr int kProbeAfterSeconds = 2;
constexpr int kProbeEverySeconds = 1;
constexpr int kProbeCount = 2;

void
SetSocketOption(int aSocket, int aLevel, int aOption, int aValue)
{
  setsockopt(aSocket, aLevel, aOption, &aValue, sizeof(aValue));
}

absl::Status
AddressError(std::string_view aText)
{
  return absl::InvalidArgumentError("not an address IP:port: " +
                                    std::string(aText));
}

} // namespace

absl::StatusOr<boost::asio::ip::tcp::endpoint>
ParseAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return AddressError(aText);
  }
  std::string host(aText.substr(0, colon));
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return AddressError(aText);
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  if (error) {
    return AddressError(aText);
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

absl::Status
ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor, const std::string& aAddress)
{
  const auto endpoint = ParseAddress(aAddress);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  boost::system::error_code error;
  aAcceptor.open(endpoint->protocol(), error);
  aAcceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  aAcceptor.bind(*endpoint, error);
  if (!error) {
    aAcceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return absl::UnavailableError("can't listen on " + aAddress + ": " +
                                  error.message());
  }
  return absl::OkStatus();
}

void
TuneSocket(boost::asio::ip::tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const int handle = aSocket.native_handle();
  SetSocketOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMillis);
  SetSocketOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetSocketOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfterSeconds);
  SetSocketOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kProbeEverySeconds);
  SetSocketOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
}

} // namespace camphorfield
