#ifndef HIBISCUSGLADE_BASE_SOCKET_ADDRESS_H_
#define HIBISCUSGLADE_BASE_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>

namespace hibiscusglade {

/// @param ip IPv4 address in dotted-decimal notation.
/// @return nullopt when `ip` is not such an address.
std::optional<sockaddr_in> SocketAddressOf(const std::string& ip,
                                           uint16_t port);

/// @param text "ip:port".
/// @return nullopt when `text` is not a dotted-decimal IPv4 address with a
/// port.
std::optional<sockaddr_in> ParseSocketAddress(const std::string& text);

/// Opens a non-blocking TCP socket that listens on an address.
/// @return its descriptor; -1 when the address can't be used.
int ListenAt(const sockaddr_in& address, int backlog);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_SOCKET_ADDRESS_H_
