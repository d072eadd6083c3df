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
#include "peer/sender_name.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

/// Enough for a body of 64 MB and the rest of its message.
constexpr uint32_t kMaxFrameBytes = 72U << 20U;
/// Limits the memory that a peer which does not read can occupy here.
constexpr size_t kMaxQueuedBytes = size_t{16} << 20U;
constexpr size_t kReadBufferBytes = size_t{64} << 10U;
constexpr int kListenBacklog = 256;
/// Limits how long one connection delays the others in one iteration of the
/// event loop.
constexpr size_t kMaxReadsPerEvent = 8;
/// Connecting takes a few milliseconds between failure domains; a peer that
/// did not accept within this time is unresponsive.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);
constexpr Duration kIdleConnectionTimeout = std::chrono::seconds(60);

/// One connection, opened by either side. A frame is a length of four bytes and
/// an envelope. The first envelope in each direction identifies the mesh, wire
/// version and sender; later ones omit them.
struct Connection {
  uint64_t id = 0;  ///< Unique; a descriptor is reused after close().
  int descriptor = -1;
  std::string address;     ///< The peer's listener; empty when accepted.
  ReturnPath return_path;  ///< Empty unless accepted.
  bool established = false;
  /// The first envelope was queued for sending.
  bool introduction_sent = false;
  /// The first envelope received matched mesh and wire version.
  bool peer_verified = false;
  std::string receive_buffer;
  std::string send_buffer;
  size_t send_offset = 0;  ///< Bytes of send_buffer that were sent.
  Instant connect_started;
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
    for (auto& [address, connection] : outgoing_) CloseSocket(*connection);
    for (auto& [return_path, connection] : accepted_) CloseSocket(*connection);
    if (listener_ >= 0) {
      loop_.Unwatch(listener_);
      close(listener_);
    }
  }

  std::error_code Listen(const std::string& address) override {
    const auto parsed = ParseSocketAddress(address);
    if (parsed.has_value()) listener_ = ListenAt(*parsed, kListenBacklog);
    if (listener_ < 0) return PeerCode::kListenFailed;
    loop_.Watch(listener_, EPOLLIN, [this](uint32_t) { AcceptPending(); });
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
    Connection* connection = GetOrConnect(address);
    if (connection == nullptr) return CountRefusal(PeerCode::kBacklog);
    return Enqueue(*connection, message);
  }

  std::error_code Reply(const ReturnPath& return_path,
                        wire::Envelope& message) override {
    auto found = accepted_.find(return_path);
    if (found == accepted_.end()) return CountRefusal(PeerCode::kBacklog);
    return Enqueue(*found->second, message);
  }

  void Reset(const std::string& address) override {
    auto found = outgoing_.find(address);
    if (found == outgoing_.end()) return;
    // What the peer has not received must not reach it later.
    const linger reset{1, 0};
    setsockopt(found->second->descriptor, SOL_SOCKET, SO_LINGER, &reset,
               sizeof(reset));
    CloseSocket(*found->second);
    outgoing_.erase(found);
  }

  void Poll(int, Duration max_wait) override {
    CloseStale();
    loop_.RunOnce(max_wait);
  }

  size_t OpenConnections() const override { return outgoing_.size(); }

  TransportUsage Usage() const override {
    TransportUsage usage;
    for (const auto& [id, connection] : connections_by_id_) {
      ++usage.connections;
      usage.unsent_bytes +=
          connection->send_buffer.size() - connection->send_offset;
      usage.send_capacity += connection->send_buffer.capacity();
      usage.receive_capacity += connection->receive_buffer.capacity();
    }
    return usage;
  }

 private:
  Connection* GetOrConnect(const std::string& address) {
    auto found = outgoing_.find(address);
    if (found != outgoing_.end()) return found->second.get();
    const auto parsed = ParseSocketAddress(address);
    if (!parsed.has_value() || parsed->sin_port == 0) return nullptr;
    const int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) return nullptr;
    BindSourceAddress(descriptor);
    const auto* generic_address = reinterpret_cast<const sockaddr*>(&*parsed);
    if (connect(descriptor, generic_address, sizeof(*parsed)) != 0 &&
        errno != EINPROGRESS) {
      close(descriptor);
      return nullptr;
    }
    auto connection = std::make_unique<Connection>();
    connection->descriptor = descriptor;
    connection->address = address;
    connection->connect_started = clock_.Now();
    Connection* result = connection.get();
    outgoing_[address] = std::move(connection);
    Register(*result, EPOLLIN | EPOLLOUT);
    return result;
  }

  void BindSourceAddress(int descriptor) {
    constexpr uint16_t kAnyPort = 0;
    const auto source = SocketAddressOf(identity_.source_address, kAnyPort);
    if (!source.has_value()) return;
    const int enable = 1;
    setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enable,
               sizeof(enable));
    const auto* generic_address = reinterpret_cast<const sockaddr*>(&*source);
    if (bind(descriptor, generic_address, sizeof(*source)) != 0) {
      // Connecting from the source that the system chooses works as well.
      CountRefusal(PeerCode::kListenFailed);
    }
  }

  void Register(Connection& connection, uint32_t events) {
    const int enable = 1;
    setsockopt(connection.descriptor, IPPROTO_TCP, TCP_NODELAY, &enable,
               sizeof(enable));
    connection.id = ++last_connection_id_;
    connections_by_id_[connection.id] = &connection;
    connection.last_used = clock_.Now();
    loop_.Watch(connection.descriptor, events,
                [this, &connection](uint32_t ready_events) {
                  OnEvents(connection, ready_events);
                });
  }

  void AcceptPending() {
    while (true) {
      const int descriptor =
          accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (descriptor < 0) return;
      auto connection = std::make_unique<Connection>();
      connection->descriptor = descriptor;
      connection->return_path = "in" + std::to_string(++accepted_count_);
      connection->established = true;
      Connection& accepted = *connection;
      accepted_[connection->return_path] = std::move(connection);
      Register(accepted, EPOLLIN);
    }
  }

  void OnEvents(Connection& connection, uint32_t ready_events) {
    if (!connection.established &&
        (ready_events & (EPOLLOUT | EPOLLERR)) != 0) {
      int error = 0;
      socklen_t length = sizeof(error);
      getsockopt(connection.descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
      if (error != 0) {
        CloseAndNotify(connection);
        return;
      }
      connection.established = true;
    }
    if ((ready_events & EPOLLOUT) != 0 && !Flush(connection)) return;
    if ((ready_events & (EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0) {
      Receive(connection);
    }
  }

  std::error_code Enqueue(Connection& connection, wire::Envelope& message) {
    if (connection.send_buffer.size() - connection.send_offset >
        kMaxQueuedBytes) {
      return CountRefusal(PeerCode::kBacklog);
    }
    if (!connection.introduction_sent) {
      connection.introduction_sent = true;
      message.set_mesh(mesh_digest_);
      message.set_wire_version(kWireVersion);
      NameSender(identity_, message);
    }
    const bool was_empty = connection.send_buffer.empty();
    const auto length = static_cast<uint32_t>(message.ByteSizeLong());
    std::array<char, sizeof(length)> header{};
    std::memcpy(header.data(), &length, sizeof(length));
    connection.send_buffer.append(header.data(), header.size());
    message.AppendToString(&connection.send_buffer);
    sent_bytes_.Add(length + sizeof(length));
    connection.last_used = clock_.Now();
    // Send the messages of one iteration of the event loop together.
    if (was_empty && connection.established) {
      loop_.Defer([this, id = connection.id] { FlushIfOpen(id); });
    }
    return {};
  }

  void FlushIfOpen(uint64_t id) {
    auto found = connections_by_id_.find(id);
    if (found != connections_by_id_.end()) Flush(*found->second);
  }

  /// @return false when the connection was lost.
  bool Flush(Connection& connection) {
    // Nothing may be sent before the connection is established: when connecting
    // fails, all queued messages are reported as never sent.
    if (!connection.established) return true;
    std::string& queued = connection.send_buffer;
    while (connection.send_offset < queued.size()) {
      const ssize_t sent =
          send(connection.descriptor, queued.data() + connection.send_offset,
               queued.size() - connection.send_offset, MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
      if (sent <= 0) {
        CloseAndNotify(connection);
        return false;
      }
      connection.send_offset += static_cast<size_t>(sent);
    }
    const bool all_sent = connection.send_offset == queued.size();
    if (all_sent) {
      // Free the memory of a large frame.
      if (queued.capacity() > kReadBufferBytes) std::string().swap(queued);
      queued.clear();
      connection.send_offset = 0;
    } else if (connection.send_offset >= kReadBufferBytes &&
               connection.send_offset >= queued.size() / 2) {
      // Free what was sent; at most as much is copied as was sent since the
      // last time.
      queued = queued.substr(connection.send_offset);
      connection.send_offset = 0;
    }
    loop_.ChangeEvents(connection.descriptor,
                       all_sent ? EPOLLIN : EPOLLIN | EPOLLOUT);
    return true;
  }

  void Receive(Connection& connection) {
    const int descriptor = connection.descriptor;
    for (size_t i = 0; i < kMaxReadsPerEvent; ++i) {
      const ssize_t received =
          recv(descriptor, buffer_.data(), buffer_.size(), 0);
      if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
      if (received <= 0) {
        CloseAndNotify(connection);
        return;
      }
      received_bytes_.Add(static_cast<uint64_t>(received));
      connection.receive_buffer.append(buffer_.data(),
                                       static_cast<size_t>(received));
      if (static_cast<size_t>(received) < buffer_.size()) break;
    }
    HandleFrames(connection);
  }

  void HandleFrames(Connection& connection) {
    // The receiver may close this connection, so work on copies.
    std::string receive_buffer = std::move(connection.receive_buffer);
    connection.receive_buffer.clear();
    const std::string address = connection.address;
    const ReturnPath return_path = connection.return_path;
    const uint64_t id = connection.id;
    connection.last_used = clock_.Now();
    size_t offset = 0;
    while (receive_buffer.size() - offset >= sizeof(uint32_t)) {
      uint32_t length = 0;
      std::memcpy(&length, receive_buffer.data() + offset, sizeof(length));
      if (length > kMaxFrameBytes) {
        CountRefusal(PeerCode::kDamagedMessage);
        if (connections_by_id_.contains(id)) CloseAndNotify(connection);
        return;
      }
      if (receive_buffer.size() - offset - sizeof(length) < length) break;
      wire::Envelope message;
      const bool parsed = message.ParseFromArray(
          receive_buffer.data() + offset + sizeof(length),
          static_cast<int>(length));
      offset += sizeof(length) + length;
      if (!parsed) {
        CountRefusal(PeerCode::kDamagedMessage);
        continue;
      }
      if (!connections_by_id_.contains(id)) return;
      if (!VerifyPeer(connection, message)) {
        if (connections_by_id_.contains(id)) CloseAndNotify(connection);
        return;
      }
      receiver_(address, return_path, message);
    }
    if (!connections_by_id_.contains(id)) return;
    connection.receive_buffer.assign(receive_buffer, offset, std::string::npos);
  }

  /// Checks wire version and mesh in the first envelope of a peer.
  /// @return false when the peer was rejected.
  bool VerifyPeer(Connection& connection, const wire::Envelope& message) {
    if (connection.peer_verified) return true;
    if (message.wire_version() != kWireVersion) {
      RejectPeer(connection, PeerCode::kWrongWireVersion);
      return false;
    }
    if (message.mesh() != mesh_digest_) {
      RejectPeer(connection, PeerCode::kWrongMesh);
      return false;
    }
    connection.peer_verified = true;
    return true;
  }

  /// Sends a peer of another mesh or wire version the reason for the
  /// disconnect.
  void RejectPeer(Connection& connection, PeerCode code) {
    CountRefusal(code);
    if (!connection.return_path.empty()) {
      wire::Envelope answer;
      answer.mutable_refused()->set_code(static_cast<int>(code));
      Enqueue(connection, answer);
      Flush(connection);
    }
  }

  /// Closes a connection that failed, timed out or was closed by the peer. If
  /// this process opened it, the listener is notified.
  void CloseAndNotify(Connection& connection) {
    const std::string address = connection.address;
    const bool reached = connection.established;
    CloseSocket(connection);
    if (address.empty()) {
      accepted_.erase(connection.return_path);
      return;
    }
    outgoing_.erase(address);
    // Not deferred: later messages use a new connection, and this notification
    // must not be mistaken for the loss of that one.
    if (loss_listener_) loss_listener_(address, reached);
  }

  void CloseSocket(Connection& connection) {
    if (connection.descriptor < 0) return;
    connections_by_id_.erase(connection.id);
    loop_.Unwatch(connection.descriptor);
    close(connection.descriptor);
    connection.descriptor = -1;
  }

  /// Closes opened connections that are idle or not established in time.
  void CloseStale() {
    const Instant now = clock_.Now();
    if (now < next_stale_check_) return;
    next_stale_check_ = now + kConnectTimeout / 4;
    std::vector<uint64_t> stale;
    for (auto& [address, connection] : outgoing_) {
      const bool unresponsive =
          !connection->established &&
          now - connection->connect_started > kConnectTimeout;
      const bool idle = now - connection->last_used > kIdleConnectionTimeout;
      if (unresponsive || idle) stale.push_back(connection->id);
    }
    // The loss listener may close further connections: look each one up.
    for (uint64_t id : stale) {
      auto found = connections_by_id_.find(id);
      if (found != connections_by_id_.end()) CloseAndNotify(*found->second);
    }
  }

  /// @return the code.
  std::error_code CountRefusal(PeerCode code) {
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
  std::map<std::string, std::unique_ptr<Connection>> outgoing_;
  std::map<ReturnPath, std::unique_ptr<Connection>> accepted_;
  uint64_t accepted_count_ = 0;
  std::map<uint64_t, Connection*> connections_by_id_;
  uint64_t last_connection_id_ = 0;
  Instant next_stale_check_;
  std::array<char, kReadBufferBytes> buffer_{};
};

}  // namespace

std::unique_ptr<PeerTransport> MakeTcpTransport(const PeerIdentity& identity,
                                                const std::string& plane,
                                                EventLoop& loop,
                                                const Clock& clock,
                                                Metrics& metrics) {
  return std::make_unique<TcpTransport>(identity, plane, loop, clock, metrics);
}

}  // namespace hibiscusglade
