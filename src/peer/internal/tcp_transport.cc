#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "base/socket_address.h"
#include "peer/internal/wire_version.h"
#include "peer/peer_result_codes.h"
#include "peer/peer_transport.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

constexpr uint32_t kMaxFrameBytes = 72U << 20U;  ///< A body of 64 MB and more.
/// A peer that does not read holds no more than this of our memory.
constexpr size_t kMaxBacklogBytes = size_t{16} << 20U;
constexpr size_t kReadBytes = size_t{64} << 10U;
constexpr int kListenBacklog = 256;
/// Within one turn no connection keeps the others waiting for longer.
constexpr size_t kMaxReadsPerEvent = 8;
/// A connection that is not there by then finds a silent peer; links between
/// failure domains take a few milliseconds.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);
constexpr Duration kIdleConnectionLife = std::chrono::seconds(60);

/// One connection, made by either side. Frames are a length of four bytes and
/// an envelope; the first envelope each way names the sender, the others leave
/// that out.
struct Connection {
  uint64_t number = 0;  ///< Never used again, as a descriptor is.
  int descriptor = -1;
  std::string address;  ///< Of the peer's listener, for connections made here.
  ReturnPath path;      ///< For connections taken in.
  bool connected = false;
  bool greeted = false;  ///< The first envelope has been sent.
  bool known = false;    ///< The first envelope has been taken.
  std::string in;
  std::string out;
  size_t out_offset = 0;
  Instant opened;
  Instant last_used;
};

class TcpTransport : public PeerTransport {
 public:
  TcpTransport(PeerIdentity identity, const std::string& plane, EventLoop& loop,
               const Clock& clock, Metrics& metrics)
      : identity_(std::move(identity)),
        mesh_digest_(DigestOf(identity_.mesh)),
        loop_(loop),
        clock_(clock),
        sent_bytes_(metrics.CounterOf("peer_sent_bytes_total",
                                      "plane=\"" + plane + "\"")),
        received_bytes_(metrics.CounterOf("peer_received_bytes_total",
                                          "plane=\"" + plane + "\"")),
        metrics_(metrics) {}

  ~TcpTransport() override {
    for (auto& [address, connection] : made_) CloseSocket(*connection);
    for (auto& [path, connection] : taken_) CloseSocket(*connection);
    if (listener_ >= 0) {
      loop_.Forget(listener_);
      close(listener_);
    }
  }

  std::error_code Listen(const std::string& address) override {
    const auto parsed = ParseSocketAddress(address);
    if (parsed.has_value()) listener_ = ListenAt(*parsed, kListenBacklog);
    if (listener_ < 0) return PeerCode::kListenFailed;
    loop_.Watch(listener_, EPOLLIN, [this](uint32_t) { Accept(); });
    return {};
  }

  void SetReceiver(Receiver receiver) override {
    receiver_ = std::move(receiver);
  }

  void SetLossListener(LossListener listener) override {
    loss_listener_ = std::move(listener);
  }

  std::error_code Send(const std::string& address,
                       wire::Envelope& message) override {
    Connection* connection = ConnectionTo(address);
    if (connection == nullptr) return PeerCode::kBacklog;
    return Put(*connection, message);
  }

  std::error_code Reply(const ReturnPath& path,
                        wire::Envelope& message) override {
    auto found = taken_.find(path);
    if (found == taken_.end()) return Refused(PeerCode::kBacklog);
    return Put(*found->second, message);
  }

  void Reset(const std::string& address) override {
    auto found = made_.find(address);
    if (found == made_.end()) return;
    CloseSocket(*found->second);
    made_.erase(found);
  }

  void Poll(int, Duration longest) override {
    CloseStale();
    loop_.Turn(longest);
  }

  size_t OpenConnections() const override { return made_.size(); }

 private:
  Connection* ConnectionTo(const std::string& address) {
    auto found = made_.find(address);
    if (found != made_.end()) return found->second.get();
    const auto parsed = ParseSocketAddress(address);
    if (!parsed.has_value()) return nullptr;
    const int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) return nullptr;
    BindSource(descriptor);
    const auto* plain = reinterpret_cast<const sockaddr*>(&*parsed);
    if (connect(descriptor, plain, sizeof(*parsed)) != 0 &&
        errno != EINPROGRESS) {
      close(descriptor);
      return nullptr;
    }
    auto connection = std::make_unique<Connection>();
    connection->descriptor = descriptor;
    connection->address = address;
    connection->opened = clock_.Now();
    Connection* made = connection.get();
    made_[address] = std::move(connection);
    Start(*made, EPOLLIN | EPOLLOUT);
    return made;
  }

  void BindSource(int descriptor) {
    constexpr uint16_t kAnyPort = 0;
    const auto source = SocketAddressOf(identity_.source_address, kAnyPort);
    if (!source.has_value()) return;
    const int late = 1;
    setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &late,
               sizeof(late));
    const auto* plain = reinterpret_cast<const sockaddr*>(&*source);
    if (bind(descriptor, plain, sizeof(*source)) != 0) {
      // The system's own choice of a source serves as well.
      Refused(PeerCode::kListenFailed);
    }
  }

  void Start(Connection& connection, uint32_t events) {
    const int yes = 1;
    setsockopt(connection.descriptor, IPPROTO_TCP, TCP_NODELAY, &yes,
               sizeof(yes));
    connection.number = ++last_number_;
    open_[connection.number] = &connection;
    connection.last_used = clock_.Now();
    loop_.Watch(connection.descriptor, events,
                [this, &connection](uint32_t happened) {
                  OnEvents(connection, happened);
                });
  }

  void Accept() {
    while (true) {
      const int descriptor =
          accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (descriptor < 0) return;
      auto connection = std::make_unique<Connection>();
      connection->descriptor = descriptor;
      connection->path = "in" + std::to_string(++last_path_);
      connection->connected = true;
      Connection& taken = *connection;
      taken_[connection->path] = std::move(connection);
      Start(taken, EPOLLIN);
    }
  }

  void OnEvents(Connection& connection, uint32_t happened) {
    if (!connection.connected && (happened & (EPOLLOUT | EPOLLERR)) != 0) {
      int error = 0;
      socklen_t length = sizeof(error);
      getsockopt(connection.descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
      if (error != 0) {
        Lose(connection);
        return;
      }
      connection.connected = true;
    }
    if ((happened & EPOLLOUT) != 0 && !Flush(connection)) return;
    if ((happened & (EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0) {
      Read(connection);
    }
  }

  std::error_code Put(Connection& connection, wire::Envelope& message) {
    if (connection.out.size() - connection.out_offset > kMaxBacklogBytes) {
      return Refused(PeerCode::kBacklog);
    }
    if (!connection.greeted) {
      connection.greeted = true;
      message.set_mesh(mesh_digest_);
      message.set_wire_version(kWireVersion);
      message.set_instance(identity_.instance);
      message.set_failure_domain(identity_.failure_domain);
      message.set_incarnation(identity_.incarnation);
    }
    const bool was_empty = connection.out.empty();
    const auto length = static_cast<uint32_t>(message.ByteSizeLong());
    std::array<char, sizeof(length)> header{};
    std::memcpy(header.data(), &length, sizeof(length));
    connection.out.append(header.data(), header.size());
    message.AppendToString(&connection.out);
    sent_bytes_.Add(length + sizeof(length));
    connection.last_used = clock_.Now();
    // Messages of one turn leave together.
    if (was_empty && connection.connected) {
      loop_.Defer([this, number = connection.number] { FlushLater(number); });
    }
    return {};
  }

  void FlushLater(uint64_t number) {
    auto found = open_.find(number);
    if (found != open_.end()) Flush(*found->second);
  }

  /// @return false when the connection was lost.
  bool Flush(Connection& connection) {
    // Until a connection is there, nothing of it may leave: what it holds is
    // told as never sent when it does not come about.
    if (!connection.connected) return true;
    std::string& out = connection.out;
    while (connection.out_offset < out.size()) {
      const ssize_t sent =
          send(connection.descriptor, out.data() + connection.out_offset,
               out.size() - connection.out_offset, MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
      if (sent <= 0) {
        Lose(connection);
        return false;
      }
      connection.out_offset += static_cast<size_t>(sent);
    }
    const bool all = connection.out_offset == out.size();
    if (all) {
      // A large frame's memory is given back.
      if (out.capacity() > kReadBytes) out = std::string();
      out.clear();
      connection.out_offset = 0;
    }
    loop_.Change(connection.descriptor, all ? EPOLLIN : EPOLLIN | EPOLLOUT);
    return true;
  }

  void Read(Connection& connection) {
    const int descriptor = connection.descriptor;
    for (size_t i = 0; i < kMaxReadsPerEvent; ++i) {
      const ssize_t taken = recv(descriptor, buffer_.data(), buffer_.size(), 0);
      if (taken < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
      if (taken <= 0) {
        Lose(connection);
        return;
      }
      received_bytes_.Add(static_cast<uint64_t>(taken));
      connection.in.append(buffer_.data(), static_cast<size_t>(taken));
      if (static_cast<size_t>(taken) < buffer_.size()) break;
    }
    TakeFrames(connection);
  }

  void TakeFrames(Connection& connection) {
    // Handlers may close the connection; its frames are taken out first.
    std::string in = std::move(connection.in);
    connection.in.clear();
    const std::string address = connection.address;
    const ReturnPath path = connection.path;
    const uint64_t number = connection.number;
    connection.last_used = clock_.Now();
    size_t at = 0;
    while (in.size() - at >= sizeof(uint32_t)) {
      uint32_t length = 0;
      std::memcpy(&length, in.data() + at, sizeof(length));
      if (length > kMaxFrameBytes) {
        Refused(PeerCode::kDamagedMessage);
        if (open_.contains(number)) Lose(connection);
        return;
      }
      if (in.size() - at - sizeof(length) < length) break;
      wire::Envelope message;
      const bool read = message.ParseFromArray(in.data() + at + sizeof(length),
                                               static_cast<int>(length));
      at += sizeof(length) + length;
      if (!read) {
        Refused(PeerCode::kDamagedMessage);
        continue;
      }
      if (!open_.contains(number)) return;
      if (!Knows(connection, message)) {
        if (open_.contains(number)) Lose(connection);
        return;
      }
      receiver_(address, path, message);
    }
    if (!open_.contains(number)) return;
    connection.in.assign(in, at, std::string::npos);
  }

  /// @return whether the peer is one of this mesh; its first envelope tells.
  bool Knows(Connection& connection, const wire::Envelope& message) {
    if (connection.known) return true;
    if (message.wire_version() != kWireVersion) {
      TellRefused(connection, PeerCode::kWrongWireVersion);
      return false;
    }
    if (message.mesh() != mesh_digest_) {
      TellRefused(connection, PeerCode::kWrongMesh);
      return false;
    }
    connection.known = true;
    return true;
  }

  /// Tells a foreign peer why its connection ends.
  void TellRefused(Connection& connection, PeerCode code) {
    Refused(code);
    if (!connection.path.empty()) {
      wire::Envelope answer;
      answer.mutable_refused()->set_code(static_cast<int>(code));
      Put(connection, answer);
      Flush(connection);
    }
  }

  /// Ends a connection that the peer closed, refused or broke.
  void Lose(Connection& connection) {
    const std::string address = connection.address;
    const bool reached = connection.connected;
    CloseSocket(connection);
    if (address.empty()) {
      taken_.erase(connection.path);
      return;
    }
    made_.erase(address);
    // At once: what is sent later goes over a new connection, and this word
    // must not be taken for one on that.
    if (loss_listener_) loss_listener_(address, reached);
  }

  void CloseSocket(Connection& connection) {
    if (connection.descriptor < 0) return;
    open_.erase(connection.number);
    loop_.Forget(connection.descriptor);
    close(connection.descriptor);
    connection.descriptor = -1;
  }

  /// Gives up connections that are not there in time, and idle ones.
  void CloseStale() {
    const Instant now = clock_.Now();
    if (now < next_check_) return;
    next_check_ = now + kConnectTimeout / 4;
    std::vector<uint64_t> stale;
    for (auto& [address, connection] : made_) {
      const bool silent =
          !connection->connected && now - connection->opened > kConnectTimeout;
      const bool idle = now - connection->last_used > kIdleConnectionLife;
      if (silent || idle) stale.push_back(connection->number);
    }
    // What follows from one loss may end others.
    for (uint64_t number : stale) {
      auto found = open_.find(number);
      if (found != open_.end()) Lose(*found->second);
    }
  }

  std::error_code Refused(PeerCode code) {
    metrics_
        .CounterOf("peer_refusals_total",
                   "code=\"" + std::to_string(static_cast<int>(code)) + "\"")
        .Add();
    return code;
  }

  PeerIdentity identity_;
  uint64_t mesh_digest_;
  EventLoop& loop_;
  const Clock& clock_;
  Counter& sent_bytes_;
  Counter& received_bytes_;
  Metrics& metrics_;
  Receiver receiver_;
  LossListener loss_listener_;
  int listener_ = -1;
  std::map<std::string, std::unique_ptr<Connection>> made_;
  std::map<ReturnPath, std::unique_ptr<Connection>> taken_;
  uint64_t last_path_ = 0;
  std::map<uint64_t, Connection*> open_;  ///< All, by their numbers.
  uint64_t last_number_ = 0;
  Instant next_check_;
  std::array<char, kReadBytes> buffer_{};
};

}  // namespace

std::unique_ptr<PeerTransport> MakeLoopTransport(const PeerIdentity& identity,
                                                 const std::string& plane,
                                                 EventLoop& loop,
                                                 const Clock& clock,
                                                 Metrics& metrics) {
  return std::make_unique<TcpTransport>(identity, plane, loop, clock, metrics);
}

}  // namespace hibiscusglade
