/** Addresses of the form "IP:port" and socket options. */
#pragma once

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace camphorfield {

/**
 * Parses an address. Names are not resolved.
 * @param aText "IP:port", an IPv6 address in brackets.
 * @return The endpoint, or InvalidArgument.
 */
absl::StatusOr<boost::asio::ip::tcp::endpoint>
ParseAddress(std::string_view aText);

/**
 * Opens, binds and listens.
 * @param aAcceptor A closed acceptor.
 * @param aAddress "IP:port"; port zero lets the system choose.
 * @return An error when the address is malformed or can't be bound.
 */
absl::Status
ListenOn(boost::asio::ip::tcp::acceptor& aAcceptor,
         const std::string& aAddress);

/**
 * Sets the options of every connection: no delay, a limit on the time that sent
 * bytes may stay unacknowledged, and keep-alive probes.
 * @param aSocket An open socket.
 */
void
TuneSocket(boost::asio::ip::tcp::socket& aSocket);

} // namespace camphorfield
