#include "base/socket_address.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>

namespace hibiscusglade {

std::optional<sockaddr_in> SocketAddressOf(const std::string& ip,
                                           uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  // inet_pton() would not see what stands after a null character.
  if (ip.find('\0') != std::string::npos ||
      inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

std::optional<sockaddr_in> ParseSocketAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end) return std::nullopt;
  return SocketAddressOf(text.substr(0, colon), port);
}

int ListenAt(const sockaddr_in& address, int backlog) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return -1;
  const int enabled = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const auto* generic_address = reinterpret_cast<const sockaddr*>(&address);
  if (bind(descriptor, generic_address, sizeof(address)) == 0 &&
      listen(descriptor, backlog) == 0) {
    return descriptor;
  }
  close(descriptor);
  return -1;
}

}  // namespace hibiscusglade
