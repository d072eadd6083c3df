#include <map>
#include <optional>
#include <utility>
#include <zmq.hpp>

#include "base/digest.h"
#include "peer/internal/wire_version.h"
#include "peer/peer_result_codes.h"
#include "peer/peer_transport.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

constexpr int kHighWaterMark = 4000;
constexpr int kMaxMessageBytes = 64 << 20;
constexpr int kReconnectLowestMs = 100;
// A peer that starts again, or a link that comes back, must be found well
// within the 2 s in which a change is to be in force.
constexpr int kReconnectHighestMs = 500;
constexpr int kHeartbeatMs = 1000;
constexpr int kHeartbeatTimeoutMs = 2500;
constexpr int kHandshakeTimeoutMs = 1000;
constexpr int kMaxMessagesPerTurn = 256;
constexpr Duration kIdleConnectionLife = std::chrono::seconds(60);

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
    Connection& connection = ConnectionTo(address);
    connection.last_used = clock_.Now();
    const std::string frame = FrameOf(message);
    return CheckSent(
        connection.socket.send(zmq::buffer(frame), zmq::send_flags::dontwait),
        frame.size());
  }

  std::error_code Reply(const ReturnPath& path,
                        wire::Envelope& message) override {
    const std::string frame = FrameOf(message);
    try {
      auto sent =
          router_.send(zmq::buffer(path),
                       zmq::send_flags::sndmore | zmq::send_flags::dontwait);
      if (sent.has_value()) {
        sent = router_.send(zmq::buffer(frame), zmq::send_flags::dontwait);
      }
      return CheckSent(sent, frame.size());
    } catch (const zmq::error_t&) {
      // The peer has gone.
      return CheckSent(std::nullopt, 0);
    }
  }

  void Reset(const std::string& address) override {
    connections_.erase(address);
  }

  void Poll(int wake, Duration longest) override {
    CloseIdle();
    std::vector<zmq::pollitem_t> items;
    std::vector<std::string> addresses;
    items.push_back({nullptr, wake, ZMQ_POLLIN, 0});
    items.push_back({router_.handle(), 0, ZMQ_POLLIN, 0});
    for (auto& [address, connection] : connections_) {
      items.push_back({connection.socket.handle(), 0, ZMQ_POLLIN, 0});
      addresses.push_back(address);
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(longest);
    try {
      zmq::poll(items, wait);
    } catch (const zmq::error_t&) {
      return;
    }
    if ((items[1].revents & ZMQ_POLLIN) != 0) ReadRouter();
    for (size_t i = 0; i < addresses.size(); ++i) {
      if ((items[i + 2].revents & ZMQ_POLLIN) != 0) {
        ReadConnection(addresses[i]);
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
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectLowestMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectHighestMs);
    // A connection begun while the link loses everything must not be waited
    // for long after the link is back.
    socket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
    socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
    socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
    socket.set(zmq::sockopt::tcp_keepalive, 1);
  }

  Connection& ConnectionTo(const std::string& address) {
    auto found = connections_.find(address);
    if (found != connections_.end()) return found->second;
    zmq::socket_t socket(context_, zmq::socket_type::dealer);
    Configure(socket);
    const std::string source = identity_.source_address.empty()
                                   ? ""
                                   : identity_.source_address + ":0;";
    socket.connect("tcp://" + source + address);
    return connections_
        .emplace(address, Connection{std::move(socket), clock_.Now()})
        .first->second;
  }

  void CloseIdle() {
    const Instant now = clock_.Now();
    std::erase_if(connections_, [now](const auto& item) {
      return now - item.second.last_used > kIdleConnectionLife;
    });
  }

  std::string FrameOf(wire::Envelope& message) const {
    message.set_mesh(mesh_digest_);
    message.set_wire_version(kWireVersion);
    message.set_instance(identity_.instance);
    message.set_failure_domain(identity_.failure_domain);
    message.set_incarnation(identity_.incarnation);
    return message.SerializeAsString();
  }

  std::error_code CheckSent(const zmq::send_result_t& sent, size_t bytes) {
    if (sent.has_value()) {
      sent_bytes_.Add(bytes);
      return {};
    }
    Count(PeerCode::kBacklog);
    return PeerCode::kBacklog;
  }

  void ReadRouter() {
    for (int i = 0; i < kMaxMessagesPerTurn; ++i) {
      zmq::message_t path;
      zmq::message_t frame;
      if (!router_.recv(path, zmq::recv_flags::dontwait)) return;
      if (!path.more() || !router_.recv(frame, zmq::recv_flags::dontwait)) {
        Count(PeerCode::kDamagedMessage);
        continue;
      }
      DropFurtherFrames(router_, frame);
      Handle("", path.to_string(), frame);
    }
  }

  void ReadConnection(const std::string& address) {
    for (int i = 0; i < kMaxMessagesPerTurn; ++i) {
      auto found = connections_.find(address);
      if (found == connections_.end()) return;
      zmq::message_t frame;
      if (!found->second.socket.recv(frame, zmq::recv_flags::dontwait)) return;
      DropFurtherFrames(found->second.socket, frame);
      found->second.last_used = clock_.Now();
      Handle(address, "", frame);
    }
  }

  static void DropFurtherFrames(zmq::socket_t& socket,
                                const zmq::message_t& frame) {
    bool more = frame.more();
    while (more) {
      zmq::message_t further;
      if (!socket.recv(further, zmq::recv_flags::dontwait)) return;
      more = further.more();
    }
  }

  void Handle(const std::string& from, const ReturnPath& path,
              const zmq::message_t& frame) {
    received_bytes_.Add(frame.size());
    wire::Envelope message;
    if (!message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
      Count(PeerCode::kDamagedMessage);
      return;
    }
    if (message.wire_version() != kWireVersion) {
      Refuse(path, PeerCode::kWrongWireVersion);
      return;
    }
    if (message.mesh() != mesh_digest_) {
      Refuse(path, PeerCode::kWrongMesh);
      return;
    }
    receiver_(from, path, message);
  }

  void Refuse(const ReturnPath& path, PeerCode code) {
    Count(code);
    if (path.empty()) return;
    wire::Envelope answer;
    answer.mutable_refused()->set_code(static_cast<int>(code));
    Reply(path, answer);
  }

  void Count(PeerCode code) {
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

std::unique_ptr<PeerTransport> MakePeerTransport(const PeerIdentity& identity,
                                                 const std::string& plane,
                                                 const Clock& clock,
                                                 Metrics& metrics) {
  return std::make_unique<ZmqTransport>(identity, plane, clock, metrics);
}

}  // namespace hibiscusglade
