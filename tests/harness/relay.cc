#include "tests/harness/relay.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <deque>

namespace hibiscusglade {
namespace {

using Time = std::chrono::steady_clock::time_point;

constexpr int kPollMs = 1;
constexpr size_t kBlockBytes = 64 * 1024;
constexpr size_t kMaxQueuedBytes = 4 * 1024 * 1024;

sockaddr_in AddressOf(const std::string& host_port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const size_t colon = host_port.find(':');
  inet_pton(AF_INET, host_port.substr(0, colon).c_str(), &address.sin_addr);
  if (colon != std::string::npos) {
    address.sin_port =
        htons(static_cast<uint16_t>(std::stoi(host_port.substr(colon + 1))));
  }
  return address;
}

std::string IpOf(const sockaddr_in& address) {
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return text;
}

int NewSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

}  // namespace

struct Relay::Listener {
  int fd = -1;
  std::string listen;
  std::string target;
};

/// One relayed connection; side 0 is the connecting one, side 1 the target.
struct Relay::Pipe {
  struct Block {
    Time due;
    std::string bytes;
  };

  std::string from_ip;
  std::string to_ip;
  std::array<int, 2> fds{-1, -1};
  std::array<std::deque<Block>, 2> queues;  ///< Blocks to be sent to each side.
  std::array<size_t, 2> queued_bytes{0, 0};
  bool silenced = false;
  bool closing = false;
};

Relay::Relay() : policy_([](const auto&, const auto&) { return Link{}; }) {}

Relay::~Relay() {
  stop_ = true;
  if (thread_.joinable()) thread_.join();
  for (Listener& listener : listeners_) close(listener.fd);
  for (auto& pipe : pipes_) {
    for (int fd : pipe->fds) close(fd);
  }
}

void Relay::Add(const std::string& listen_address, const std::string& target) {
  Listener listener{NewSocket(), listen_address, target};
  const sockaddr_in address = AddressOf(listen_address);
  if (bind(listener.fd, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    perror(("relay " + listen_address).c_str());
  }
  listen(listener.fd, SOMAXCONN);
  listeners_.push_back(listener);
}

void Relay::Start() {
  thread_ = std::thread([this] { Run(); });
}

void Relay::SetPolicy(Policy policy) {
  std::lock_guard<std::mutex> lock(mutex_);
  policy_ = std::move(policy);
}

void Relay::SilenceOpenConnections() { silence_requested_ = true; }

Relay::Link Relay::LinkOf(const Pipe& pipe) {
  std::lock_guard<std::mutex> lock(mutex_);
  return policy_(pipe.from_ip, pipe.to_ip);
}

void Relay::Run() {
  while (!stop_) {
    std::vector<pollfd> items;
    for (Listener& listener : listeners_) {
      items.push_back({listener.fd, POLLIN, 0});
    }
    for (auto& pipe : pipes_) {
      for (int side = 0; side < 2; ++side) {
        short events =
            pipe->queued_bytes[1 - side] < kMaxQueuedBytes ? POLLIN : 0;
        const auto& queue = pipe->queues[side];
        if (!queue.empty() &&
            queue.front().due <= std::chrono::steady_clock::now()) {
          events |= POLLOUT;
        }
        items.push_back({pipe->fds[side], events, 0});
      }
    }
    poll(items.data(), items.size(), kPollMs);
    const size_t pipe_count = pipes_.size();
    for (size_t i = 0; i < pipe_count; ++i) {
      Pipe& pipe = *pipes_[i];
      if (silence_requested_) pipe.silenced = true;
      if (LinkOf(pipe).mode == LinkMode::kReset) pipe.closing = true;
      for (int side = 0; side < 2 && !pipe.closing; ++side) {
        const short ready = items[listeners_.size() + 2 * i + side].revents;
        if ((ready & (POLLIN | POLLHUP | POLLERR)) != 0) Read(pipe, side);
        Write(pipe, side);
      }
    }
    silence_requested_ = false;
    for (size_t i = 0; i < listeners_.size(); ++i) {
      if ((items[i].revents & POLLIN) != 0) Accept(listeners_[i]);
    }
    std::erase_if(pipes_, [](const std::unique_ptr<Pipe>& pipe) {
      if (!pipe->closing) return false;
      for (int fd : pipe->fds) close(fd);
      return true;
    });
  }
}

void Relay::Accept(Listener& listener) {
  sockaddr_in from{};
  socklen_t size = sizeof(from);
  const int fd = accept4(listener.fd, reinterpret_cast<sockaddr*>(&from), &size,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  auto pipe = std::make_unique<Pipe>();
  pipe->from_ip = IpOf(from);
  pipe->to_ip = listener.target.substr(0, listener.target.find(':'));
  const int outgoing = NewSocket();
  const sockaddr_in source = AddressOf(pipe->from_ip);
  if (bind(outgoing, reinterpret_cast<const sockaddr*>(&source),
           sizeof(source)) != 0) {
    pipe->closing = true;
  }
  const sockaddr_in target = AddressOf(listener.target);
  const int connected = connect(
      outgoing, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  pipe->fds = {fd, outgoing};
  if (connected != 0 && errno != EINPROGRESS) pipe->closing = true;
  pipes_.push_back(std::move(pipe));
}

void Relay::Read(Pipe& pipe, int side) {
  std::string block(kBlockBytes, '\0');
  const ssize_t received = read(pipe.fds[side], block.data(), block.size());
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (received <= 0) {
    // On a silenced connection the close isn't forwarded either.
    pipe.closing = !pipe.silenced;
    return;
  }
  const Link link = LinkOf(pipe);
  if (pipe.silenced || link.mode == LinkMode::kSilent) return;
  block.resize(static_cast<size_t>(received));
  forwarded_bytes_ += block.size();
  pipe.queued_bytes[1 - side] += block.size();
  pipe.queues[1 - side].push_back(
      {std::chrono::steady_clock::now() + link.delay, std::move(block)});
}

void Relay::Write(Pipe& pipe, int side) {
  auto& queue = pipe.queues[side];
  while (!queue.empty() &&
         queue.front().due <= std::chrono::steady_clock::now()) {
    std::string& bytes = queue.front().bytes;
    const ssize_t written =
        send(pipe.fds[side], bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (written < 0) {
      if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
        pipe.closing = true;
      }
      return;
    }
    pipe.queued_bytes[side] -= static_cast<size_t>(written);
    bytes.erase(0, static_cast<size_t>(written));
    if (!bytes.empty()) return;
    queue.pop_front();
  }
}

}  // namespace hibiscusglade
