#include <map>
#include <optional>
#include <utility>
#include <zmq.hpp>

#include "base/digest.h"
#include "base/socket_address.h"
#include "peer/internal/wire_version.h"
#include "peer/peer_result_codes.h"
#include "peer/peer_transport.h"
#include "peer/sender_name.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

constexpr int kHighWaterMark = 4000;
constexpr int kMaxMessageBytes = 64 << 20;
constexpr int kMinReconnectIntervalMs = 100;
// A restarted peer or a recovered network must be reconnected well within the
// 2 s after which a change has to be in force. After a loss of all daemons they
// come up one after the other, and elections wait for the connections.
constexpr int kMaxReconnectIntervalMs = 200;
constexpr int kHeartbeatIntervalMs = 1000;
constexpr int kHeartbeatTimeoutMs = 2500;
constexpr int kHandshakeTimeoutMs = 1000;
constexpr int kMaxMessagesPerPoll = 256;
/// How long the transport waits at its end for messages that are not sent yet,
/// such as the notice that this daemon leaves.
constexpr int kLingerMs = 250;
constexpr Duration kIdleConnectionTimeout = std::chrono::seconds(60);

class ZmqTransport : public PeerTransport {
 public:
  ZmqTransport(PeerIdentity identity, const std::string& plane,
               const Clock& clock, Metrics& metrics)
      : identity_(std::move(identity)),
        mesh_digest_(DigestOf(identity_.mesh)),
        clock_(clock),
        sent_bytes_(metrics.CounterOf("peer_sent_bytes_total",
                                      "plane=\"" + plane + "\"")),
        received_bytes_(metrics.CounterOf("peer_received_bytes_total",
                                          "plane=\"" + plane + "\"")),
        metrics_(metrics),
        context_(1),
        router_(context_, zmq::socket_type::router) {
    Configure(router_);
    router_.set(zmq::sockopt::router_mandatory, 1);
  }

  ~ZmqTransport() override {
    for (auto& [address, connection] : connections_) {
      connection.socket.set(zmq::sockopt::linger, kLingerMs);
    }
  }
  ZmqTransport(const ZmqTransport&) = delete;
  ZmqTransport& operator=(const ZmqTransport&) = delete;

  std::error_code Listen(const std::string& address) override {
    try {
      router_.bind("tcp://" + address);
    } catch (const zmq::error_t&) {
      return PeerCode::kListenFailed;
    }
    return {};
  }

  void SetReceiver(Receiver receiver) override {
    receiver_ = std::move(receiver);
  }

  std::error_code Send(const std::string& address,
                       wire::Envelope& message) override {
    Connection* connection = GetOrConnect(address);
    if (connection == nullptr) return CheckSent(std::nullopt, 0);
    connection->last_used = clock_.Now();
    const std::string frame = FillAndSerialize(message);
    return CheckSent(
        connection->socket.send(zmq::buffer(frame), zmq::send_flags::dontwait),
        frame.size());
  }

  std::error_code Reply(const ReturnPath& path,
                        wire::Envelope& message) override {
    const std::string frame = FillAndSerialize(message);
    try {
      auto sent =
          router_.send(zmq::buffer(path),
                       zmq::send_flags::sndmore | zmq::send_flags::dontwait);
      if (sent.has_value()) {
        sent = router_.send(zmq::buffer(frame), zmq::send_flags::dontwait);
      }
      return CheckSent(sent, frame.size());
    } catch (const zmq::error_t&) {
      // With router_mandatory, sending throws once the peer is disconnected.
      return CheckSent(std::nullopt, 0);
    }
  }

  void Reset(const std::string& address) override {
    connections_.erase(address);
  }

  void Poll(int wake_descriptor, Duration max_wait) override {
    CloseIdle();
    std::vector<zmq::pollitem_t> items;
    std::vector<std::string> addresses;
    items.push_back({nullptr, wake_descriptor, ZMQ_POLLIN, 0});
    items.push_back({router_.handle(), 0, ZMQ_POLLIN, 0});
    for (auto& [address, connection] : connections_) {
      items.push_back({connection.socket.handle(), 0, ZMQ_POLLIN, 0});
      addresses.push_back(address);
    }
    const auto wait_ms = std::chrono::ceil<std::chrono::milliseconds>(max_wait);
    try {
      zmq::poll(items, wait_ms);
    } catch (const zmq::error_t&) {
      return;
    }
    if ((items[1].revents & ZMQ_POLLIN) != 0) ReceiveFromRouter();
    for (size_t i = 0; i < addresses.size(); ++i) {
      if ((items[i + 2].revents & ZMQ_POLLIN) != 0) {
        ReceiveFromConnection(addresses[i]);
      }
    }
  }

  size_t OpenConnections() const override { return connections_.size(); }

 private:
  struct Connection {
    zmq::socket_t socket;
    Instant last_used;
  };

  static void Configure(zmq::socket_t& socket) {
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, kHighWaterMark);
    socket.set(zmq::sockopt::rcvhwm, kHighWaterMark);
    socket.set(zmq::sockopt::maxmsgsize, int64_t{kMaxMessageBytes});
    socket.set(zmq::sockopt::reconnect_ivl, kMinReconnectIntervalMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectIntervalMs);
    // A connection started while the network loses all packets must fail
    // soon, so that it is retried once the network recovers.
    socket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
    socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
    socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
    socket.set(zmq::sockopt::tcp_keepalive, 1);
  }

  /// @return nullptr when no connection can be opened.
  Connection* GetOrConnect(const std::string& address) {
    auto found = connections_.find(address);
    if (found != connections_.end()) return &found->second;
    // ZeroMQ would look up a host name, which delays all other connections.
    const auto parsed = ParseSocketAddress(address);
    if (!parsed.has_value() || parsed->sin_port == 0) return nullptr;
    const std::string source = identity_.source_address.empty()
                                   ? ""
                                   : identity_.source_address + ":0;";
    try {
      zmq::socket_t socket(context_, zmq::socket_type::dealer);
      Configure(socket);
      socket.connect("tcp://" + source + address);
      return &connections_
                  .emplace(address, Connection{std::move(socket), clock_.Now()})
                  .first->second;
    } catch (const zmq::error_t&) {
      return nullptr;  // For example because of too many open sockets.
    }
  }

  void CloseIdle() {
    const Instant now = clock_.Now();
    std::erase_if(connections_, [now](const auto& item) {
      return now - item.second.last_used > kIdleConnectionTimeout;
    });
  }

  std::string FillAndSerialize(wire::Envelope& message) const {
    message.set_mesh(mesh_digest_);
    message.set_wire_version(kWireVersion);
    NameSender(identity_, message);
    return message.SerializeAsString();
  }

  std::error_code CheckSent(const zmq::send_result_t& sent, size_t bytes) {
    if (sent.has_value()) {
      sent_bytes_.Add(bytes);
      return {};
    }
    CountRefusal(PeerCode::kBacklog);
    return PeerCode::kBacklog;
  }

  void ReceiveFromRouter() {
    for (int i = 0; i < kMaxMessagesPerPoll; ++i) {
      zmq::message_t path;
      zmq::message_t frame;
      if (!router_.recv(path, zmq::recv_flags::dontwait)) return;
      if (!path.more() || !router_.recv(frame, zmq::recv_flags::dontwait)) {
        CountRefusal(PeerCode::kDamagedMessage);
        continue;
      }
      DiscardFurtherFrames(router_, frame);
      HandleFrame("", path.to_string(), frame);
    }
  }

  void ReceiveFromConnection(const std::string& address) {
    for (int i = 0; i < kMaxMessagesPerPoll; ++i) {
      auto found = connections_.find(address);
      if (found == connections_.end()) return;
      zmq::message_t frame;
      if (!found->second.socket.recv(frame, zmq::recv_flags::dontwait)) return;
      DiscardFurtherFrames(found->second.socket, frame);
      found->second.last_used = clock_.Now();
      HandleFrame(address, "", frame);
    }
  }

  static void DiscardFurtherFrames(zmq::socket_t& socket,
                                   const zmq::message_t& frame) {
    bool more = frame.more();
    while (more) {
      zmq::message_t further;
      if (!socket.recv(further, zmq::recv_flags::dontwait)) return;
      more = further.more();
    }
  }

  void HandleFrame(const std::string& from, const ReturnPath& path,
                   const zmq::message_t& frame) {
    received_bytes_.Add(frame.size());
    wire::Envelope message;
    if (!message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
      CountRefusal(PeerCode::kDamagedMessage);
      return;
    }
    if (message.wire_version() != kWireVersion) {
      RejectPeer(path, PeerCode::kWrongWireVersion);
      return;
    }
    if (message.mesh() != mesh_digest_) {
      RejectPeer(path, PeerCode::kWrongMesh);
      return;
    }
    receiver_(from, path, message);
  }

  void RejectPeer(const ReturnPath& path, PeerCode code) {
    CountRefusal(code);
    if (path.empty()) return;
    wire::Envelope answer;
    answer.mutable_refused()->set_code(static_cast<int>(code));
    Reply(path, answer);
  }

  void CountRefusal(PeerCode code) {
    metrics_
        .CounterOf("peer_refusals_total",
                   "code=\"" + std::to_string(static_cast<int>(code)) + "\"")
        .Add();
  }

  PeerIdentity identity_;
  uint64_t mesh_digest_;
  const Clock& clock_;
  Counter& sent_bytes_;
  Counter& received_bytes_;
  Metrics& metrics_;
  Receiver receiver_;
  zmq::context_t context_;
  zmq::socket_t router_;
  std::map<std::string, Connection> connections_;
};

}  // namespace

std::unique_ptr<PeerTransport> MakeZmqTransport(const PeerIdentity& identity,
                                                const std::string& plane,
                                                const Clock& clock,
                                                Metrics& metrics) {
  return std::make_unique<ZmqTransport>(identity, plane, clock, metrics);
}

}  // namespace hibiscusglade
