#ifndef HIBISCUSGLADE_UPSTREAM_INTERNAL_OPEN_CONNECTIONS_H_
#define HIBISCUSGLADE_UPSTREAM_INTERNAL_OPEN_CONNECTIONS_H_

#include <sys/socket.h>

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
    if (found == sockets_.end()) return false;
    char byte = 0;
    return recv(found->second, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }

 private:
  std::map<ConnectionEnds, int> sockets_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_INTERNAL_OPEN_CONNECTIONS_H_
