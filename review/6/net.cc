#include "review/6/net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace hibiscusglade::review {
namespace {

constexpr int kBacklog = 512;
const auto kStart = std::chrono::steady_clock::now();

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

std::string LowerCase(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

void ReadHead(const std::string& head, Message& message) {
  size_t at = head.find("\r\n");
  message.first_line = head.substr(0, at);
  while (at != std::string::npos && at + 2 < head.size()) {
    const size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(begin, at - begin);
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    message.fields[LowerCase(line.substr(0, colon))] = value;
  }
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::max<int64_t>(0, ms)));
}

Record::Record(const std::string& path) : path_(path) {
  std::ofstream(path_, std::ios::trunc).flush();
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f s  ",
                static_cast<double>(NowMs()) / 1000);
  std::ofstream(path_, std::ios::app) << time.data() << text << "\n";
}

std::string Message::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

int Message::Status() const {
  constexpr size_t kStatusAt = 9;
  return first_line.size() <= kStatusAt
             ? 0
             : std::atoi(first_line.c_str() + kStatusAt);
}

int ListenOn(const std::string& ip, uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(descriptor, kBacklog) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

int ConnectTo(const std::string& ip, uint16_t port, int64_t timeout_ms) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = AddressOf(ip, port);
  int failed = connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                       sizeof(address));
  if (failed != 0) {
    pollfd watched{descriptor, POLLOUT, 0};
    socklen_t length = sizeof(failed);
    if (poll(&watched, 1, static_cast<int>(timeout_ms)) == 1) {
      getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failed, &length);
    }
  }
  if (failed != 0) {
    close(descriptor);
    return -1;
  }
  fcntl(descriptor, F_SETFL, 0);
  const int yes = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  return descriptor;
}

bool SendAll(int descriptor, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t bytes =
        send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (bytes <= 0) return false;
    sent += static_cast<size_t>(bytes);
  }
  return true;
}

void ResetAndClose(int descriptor) {
  const linger reset{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(descriptor);
}

bool Stream::Fill(int64_t deadline_ms) {
  const int64_t left = deadline_ms - NowMs();
  pollfd watched{descriptor_, POLLIN, 0};
  if (left <= 0 || poll(&watched, 1, static_cast<int>(left)) != 1) return false;
  std::array<char, 65536> bytes{};
  const ssize_t received = recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (received <= 0) return false;
  unread_.append(bytes.data(), static_cast<size_t>(received));
  return true;
}

std::optional<Message> Stream::Read(int64_t deadline_ms) {
  size_t end = std::string::npos;
  while ((end = unread_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(deadline_ms)) return std::nullopt;
  }
  Message message;
  ReadHead(unread_.substr(0, end), message);
  unread_.erase(0, end + 4);
  const size_t length = static_cast<size_t>(
      std::strtoul(message.Field("content-length").c_str(), nullptr, 10));
  while (unread_.size() < length) {
    if (!Fill(deadline_ms)) return std::nullopt;
  }
  message.body = unread_.substr(0, length);
  unread_.erase(0, length);
  message.whole = true;
  return message;
}

Message Call(const std::string& ip, uint16_t port, const std::string& request,
             int64_t timeout_ms) {
  const int64_t deadline = NowMs() + timeout_ms;
  const int descriptor = ConnectTo(ip, port, timeout_ms);
  if (descriptor < 0) return {};
  Stream stream(descriptor);
  std::optional<Message> answer;
  if (SendAll(descriptor, request)) answer = stream.Read(deadline);
  close(descriptor);
  return answer.value_or(Message{});
}

std::string RequestText(const std::string& line, const std::string& head,
                        const std::string& body) {
  return line + " HTTP/1.1\r\n" + head +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace hibiscusglade::review
