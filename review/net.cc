#include "review/net.h"

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
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

int record_file = -1;
std::string record_path;
int64_t record_start_ms = 0;

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

const sockaddr* Generic(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

bool WaitReadable(int fd, int64_t deadline_ms) {
  const int64_t left = deadline_ms - NowMs();
  if (left <= 0) return false;
  pollfd entry{fd, POLLIN, 0};
  return poll(&entry, 1, static_cast<int>(left)) > 0;
}

/// @return bytes read, 0 at the end of the connection, -1 on failure.
ssize_t ReadMore(int fd, std::string& to, int64_t deadline_ms) {
  if (!WaitReadable(fd, deadline_ms)) return -1;
  std::array<char, 65536> block{};
  const ssize_t got = recv(fd, block.data(), block.size(), 0);
  if (got > 0) to.append(block.data(), static_cast<size_t>(got));
  return got;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

void ParseHead(const std::string& head, HttpMessage& message) {
  size_t at = head.find("\r\n");
  message.start_line = head.substr(0, at);
  while (at != std::string::npos && at + 2 < head.size()) {
    const size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(begin, at - begin);
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const size_t value = line.find_first_not_of(" \t", colon + 1);
    message.fields[Lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
}

bool ReadChunks(int fd, std::string& rest, int64_t deadline_ms,
                std::string& body) {
  while (true) {
    size_t line_end = rest.find("\r\n");
    while (line_end == std::string::npos) {
      if (ReadMore(fd, rest, deadline_ms) <= 0) return false;
      line_end = rest.find("\r\n");
    }
    const size_t size = std::strtoul(rest.c_str(), nullptr, 16);
    while (rest.size() < line_end + 2 + size + 2) {
      if (ReadMore(fd, rest, deadline_ms) <= 0) return false;
    }
    body.append(rest, line_end + 2, size);
    rest.erase(0, line_end + 2 + size + 2);
    if (size == 0) return true;
  }
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void BeginRecord(const std::string& path) {
  unlink(path.c_str());
  ContinueRecord(path, NowMs());
}

void ContinueRecord(const std::string& path, int64_t start_ms) {
  constexpr mode_t kMode = 0644;
  record_file =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
  record_path = path;
  record_start_ms = start_ms;
}

std::string RecordPath() { return record_path; }

int64_t RecordStart() { return record_start_ms; }

void Record(const std::string& line) {
  const std::string text =
      std::to_string(NowMs() - record_start_ms) + " " + line + "\n";
  if (write(record_file, text.data(), text.size()) < 0) std::abort();
}

int Listen(const std::string& ip, uint16_t port) {
  constexpr int kBacklog = 256;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(fd, Generic(address), sizeof(address)) != 0 ||
      listen(fd, kBacklog) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

int Connect(const std::string& ip, uint16_t port, int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = AddressOf(ip, port);
  int error = 0;
  if (connect(fd, Generic(address), sizeof(address)) != 0) {
    error = errno;
    pollfd entry{fd, POLLOUT, 0};
    if (error == EINPROGRESS && poll(&entry, 1, timeout_ms) > 0) {
      socklen_t length = sizeof(error);
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
    }
  }
  if (error != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int yes = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  return fd;
}

bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t now =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (now <= 0) return false;
    sent += static_cast<size_t>(now);
  }
  return true;
}

std::string HttpMessage::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

int HttpMessage::Status() const {
  constexpr size_t kStatusAt = 9;
  return start_line.size() > kStatusAt
             ? std::atoi(start_line.c_str() + kStatusAt)
             : 0;
}

bool ReadMessage(int fd, std::string& rest, int64_t deadline_ms,
                 HttpMessage& message) {
  message = {};
  size_t head_end = rest.find("\r\n\r\n");
  while (head_end == std::string::npos) {
    if (ReadMore(fd, rest, deadline_ms) <= 0) return false;
    head_end = rest.find("\r\n\r\n");
  }
  ParseHead(rest.substr(0, head_end), message);
  rest.erase(0, head_end + 4);
  if (message.Field("transfer-encoding") == "chunked") {
    return ReadChunks(fd, rest, deadline_ms, message.body);
  }
  const std::string length = message.Field("content-length");
  const bool is_answer = message.start_line.starts_with("HTTP/");
  if (length.empty() && is_answer) {
    ssize_t got = 1;
    while (got > 0) got = ReadMore(fd, rest, deadline_ms);
    message.body = rest;
    rest.clear();
    return got == 0;
  }
  const size_t bytes = std::strtoul(length.c_str(), nullptr, 10);
  while (rest.size() < bytes) {
    if (ReadMore(fd, rest, deadline_ms) <= 0) return false;
  }
  message.body = rest.substr(0, bytes);
  rest.erase(0, bytes);
  return true;
}

int Call(const std::string& ip, uint16_t port, const std::string& request,
         int timeout_ms, HttpMessage* answer) {
  const int64_t deadline = NowMs() + timeout_ms;
  const int fd = Connect(ip, port, timeout_ms);
  if (fd < 0) return 0;
  HttpMessage read;
  std::string rest;
  const bool whole =
      SendAll(fd, request) && ReadMessage(fd, rest, deadline, read);
  close(fd);
  if (answer != nullptr) *answer = read;
  return whole ? read.Status() : 0;
}

std::string JsonCall(const std::string& method, const std::string& path,
                     const std::string& body) {
  return method + " " + path +
         " HTTP/1.1\r\nHost: platform\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review
