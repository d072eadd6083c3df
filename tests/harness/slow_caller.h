#ifndef HIBISCUSGLADE_TESTS_HARNESS_SLOW_CALLER_H_
#define HIBISCUSGLADE_TESTS_HARNESS_SLOW_CALLER_H_

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace hibiscusglade {

/// A caller that reads the answer to its one request only when the test calls
/// Read().
class SlowCaller {
 public:
  /// @param ip and port of a daemon's listener for callers.
  SlowCaller(const std::string& ip, const std::string& port,
             const std::string& target) {
    socket_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(std::stoi(port)));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    EXPECT_EQ(connect(socket_, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)),
              0);
    Send("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
  }
  ~SlowCaller() { close(socket_); }
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;

  /// @return bytes read; 0 at the end of the answer.
  size_t Read(size_t max_bytes) {
    std::string data(max_bytes, ' ');
    const ssize_t count = recv(socket_, data.data(), max_bytes, 0);
    return count > 0 ? static_cast<size_t>(count) : 0;
  }

 private:
  void Send(const std::string& text) const {
    send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
  }

  int socket_ = -1;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_HARNESS_SLOW_CALLER_H_
