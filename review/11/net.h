#ifndef HIBISCUSGLADE_REVIEW_11_NET_H_
#define HIBISCUSGLADE_REVIEW_11_NET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// A socket that is closed with its owner.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      Close();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int Fd() const { return fd_; }
  bool Ok() const { return fd_ >= 0; }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  /// Closes with a reset in place of an orderly end.
  void Reset() {
    const linger reset{1, 0};
    if (fd_ >= 0) {
      setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    Close();
  }

 private:
  int fd_ = -1;
};

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

inline Socket ListenOn(const std::string& ip, int port) {
  Socket socket_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(socket_fd.Fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(socket_fd.Fd(), reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(socket_fd.Fd(), 512) != 0) {
    socket_fd.Close();
  }
  return socket_fd;
}

inline Socket ConnectTo(const std::string& ip, int port) {
  Socket socket_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(socket_fd.Fd(), reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    socket_fd.Close();
    return socket_fd;
  }
  const int on = 1;
  setsockopt(socket_fd.Fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return socket_fd;
}

inline bool SendAll(const Socket& socket_fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(socket_fd.Fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

/// One HTTP message with a Content-Length.
struct Message {
  std::string first_line;
  std::string head;  ///< With the first line and the empty one.
  std::string body;

  int Status() const {
    return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9);
  }
  /// @return the value of a header field; empty when there is none.
  std::string Field(std::string_view name) const {
    size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
      const size_t begin = at + 2;
      at = head.find("\r\n", begin);
      const std::string_view line =
          std::string_view(head).substr(begin, at - begin);
      const size_t colon = line.find(':');
      if (colon != name.size() ||
          strncasecmp(line.data(), name.data(), colon) != 0) {
        continue;
      }
      const size_t value = line.find_first_not_of(' ', colon + 1);
      return value == std::string_view::npos ? ""
                                             : std::string(line.substr(value));
    }
    return "";
  }
};

/// Reads the messages of one connection.
class Reader {
 public:
  explicit Reader(const Socket& socket_fd) : socket_(socket_fd) {}

  /// @return false when the connection ended or the time was up first.
  bool Read(Message& message, Clock::time_point until) {
    message = {};
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) return false;
    }
    message.head = buffer_.substr(0, end + 4);
    message.first_line = message.head.substr(0, message.head.find("\r\n"));
    buffer_.erase(0, end + 4);
    const size_t length =
        std::strtoul(message.Field("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
      if (!Fill(until)) return false;
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }

  /// @return whether the connection has ended.
  bool Ended() const { return ended_; }

 private:
  bool Fill(Clock::time_point until) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd readable{socket_.Fd(), POLLIN, 0};
    if (left <= 0 || poll(&readable, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    std::string block(size_t{64} << 10U, '\0');
    const ssize_t got = recv(socket_.Fd(), block.data(), block.size(), 0);
    if (got <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(block, 0, static_cast<size_t>(got));
    return true;
  }

  const Socket& socket_;
  std::string buffer_;
  bool ended_ = false;
};

/// Sends one request on a connection of its own.
inline Message Call(const std::string& ip, int port, const std::string& request,
                    milliseconds wait) {
  Message answer;
  const Socket socket_fd = ConnectTo(ip, port);
  if (!socket_fd.Ok() || !SendAll(socket_fd, request)) return answer;
  Reader reader(socket_fd);
  if (!reader.Read(answer, Clock::now() + wait)) return {};
  return answer;
}

}  // namespace review

#endif  // HIBISCUSGLADE_REVIEW_11_NET_H_
