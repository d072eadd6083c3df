#ifndef HIBISCUSGLADE_UPSTREAM_INTERNAL_OPEN_CONNECTIONS_H_
#define HIBISCUSGLADE_UPSTREAM_INTERNAL_OPEN_CONNECTIONS_H_

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <map>
#include <string>
#include <tuple>

namespace hibiscusglade {

/// Both ends of a connection: local address and port, remote address and port.
using ConnectionEnds = std::tuple<std::string, int, std::string, int>;

/// The sockets of the connections that libcurl has opened.
class OpenConnections {
 public:
  void Add(const ConnectionEnds& ends, int socket) { sockets_[ends] = socket; }

  void Remove(int socket) {
    std::erase_if(sockets_,
                  [&](const auto& entry) { return entry.second == socket; });
  }

  /// @return whether no bytes wait on a connection, and it is open.
  bool IsClean(const ConnectionEnds& ends) const {
    const auto found = sockets_.find(ends);
    return found != sockets_.end() && IsOpenAndEmpty(found->second);
  }

  /// @param remote "ip:port".
  /// @return whether any connection to an address is clean.
  bool AnyIsClean(const std::string& remote) const {
    return std::ranges::any_of(sockets_, [&](const auto& entry) {
      const auto& [local_ip, local_port, ip, port] = entry.first;
      return ip + ":" + std::to_string(port) == remote &&
             IsOpenAndEmpty(entry.second);
    });
  }

 private:
  static bool IsOpenAndEmpty(int socket) {
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  std::map<ConnectionEnds, int> sockets_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_INTERNAL_OPEN_CONNECTIONS_H_
