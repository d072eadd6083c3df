#ifndef HIBISCUSGLADE_PEER_PEER_TRANSPORT_H_
#define HIBISCUSGLADE_PEER_PEER_TRANSPORT_H_

#include <functional>
#include <memory>
#include <string>
#include <system_error>

#include "base/clock.h"
#include "base/event_loop.h"
#include "base/executor.h"
#include "base/metrics.h"

namespace hibiscusglade {

namespace wire {
class Envelope;
}  // namespace wire

/// Identifies this process to its peers.
struct PeerIdentity {
  std::string mesh;
  std::string instance;
  std::string failure_domain;
  uint64_t incarnation = 0;
  std::string source_address;  ///< IP address to connect from; may be empty.
};

/// Identifies the accepted connection that a message was received on, so that
/// it can be answered there. Empty when the message was received on a
/// connection that this process opened.
using ReturnPath = std::string;

/// What a transport holds.
struct TransportUsage {
  size_t connections = 0;       ///< Opened and accepted.
  size_t unsent_bytes = 0;      ///< Queued for peers.
  size_t send_capacity = 0;     ///< Bytes allocated for them.
  size_t receive_capacity = 0;  ///< Bytes allocated for incomplete messages.
};

/// Sends and receives messages between daemons on one plane (control or
/// requests). Methods are called and callbacks run on the thread that runs
/// Poll().
class PeerTransport {
 public:
  /// Called with each message of this mesh and wire version.
  /// @param from address of the peer when the message was received on a
  /// connection that this process opened; empty otherwise.
  /// @param path where to Reply(); empty when `from` is set.
  using Receiver =
      std::function<void(const std::string& from, const ReturnPath& path,
                         const wire::Envelope& message)>;

  /// Called when a connection that this process opened was lost, before
  /// anything is sent on the next connection to that address.
  /// @param reached false when the connection was never established, so that
  /// no message sent on it has arrived.
  using LossListener =
      std::function<void(const std::string& address, bool reached)>;

  virtual ~PeerTransport() = default;

  /// Starts listening.
  /// @param address "ip:port".
  virtual std::error_code Listen(const std::string& address) = 0;

  virtual void SetReceiver(Receiver receiver) = 0;

  /// Has no effect on a transport that reconnects by itself.
  virtual void SetLossListener(LossListener listener) {}

  /// Sends a message to an address and opens a connection first if there is
  /// none. Fills in mesh, wire version and sender.
  /// @return PeerCode::kBacklog when too much is queued on the connection or it
  /// can't be opened.
  virtual std::error_code Send(const std::string& address,
                               wire::Envelope& message) = 0;

  /// Answers on the connection that a message was received on.
  virtual std::error_code Reply(const ReturnPath& path,
                                wire::Envelope& message) = 0;

  /// Drops the connection to an address; the next Send() opens a new one.
  virtual void Reset(const std::string& address) = 0;

  /// Waits for messages and passes them to the receiver.
  /// @param wake_descriptor further descriptor that ends the wait when
  /// readable. A TCP transport ignores it: the owner of its event loop watches
  /// it there.
  virtual void Poll(int wake_descriptor, Duration max_wait) = 0;

  /// @return the number of connections opened by this process.
  virtual size_t OpenConnections() const = 0;

  /// @return what it holds; nothing for a transport that can't tell.
  virtual TransportUsage Usage() const { return {}; }
};

/// Makes a transport over ZeroMQ, which reconnects by itself.
/// @param plane label of the metrics, "control" or "request".
std::unique_ptr<PeerTransport> MakeZmqTransport(const PeerIdentity& identity,
                                                const std::string& plane,
                                                const Clock& clock,
                                                Metrics& metrics);

/// Makes a transport over plain TCP connections on the given event loop. It
/// reports a lost connection as soon as the socket does, and uses no threads of
/// its own: a request would have to cross them there and back
/// (docs/design/request-path.md).
std::unique_ptr<PeerTransport> MakeTcpTransport(const PeerIdentity& identity,
                                                const std::string& plane,
                                                EventLoop& loop,
                                                const Clock& clock,
                                                Metrics& metrics);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_PEER_PEER_TRANSPORT_H_
