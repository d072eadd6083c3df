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

/// Who this process is towards its peers.
struct PeerIdentity {
  std::string mesh;
  std::string instance;
  std::string failure_domain;
  uint64_t incarnation = 0;
  std::string source_address;  ///< IP address to connect from; may be empty.
};

/// Names the connection a message came in on, for an answer. Empty for an
/// answer that came in on a connection of this process's own.
using ReturnPath = std::string;

/// Messages between daemons on one plane (control or requests). All calls and
/// callbacks are on the thread that runs Poll().
class PeerTransport {
 public:
  /// Called with each message of this mesh and wire version.
  /// @param from address of the peer when the message is an answer on a
  /// connection of this process's own; empty otherwise.
  using Receiver =
      std::function<void(const std::string& from, const ReturnPath& path,
                         const wire::Envelope& message)>;

  /// Called when a connection of this process's own was lost.
  /// It is told before anything is sent on the next one.
  /// @param reached false: it was never there, so that nothing sent on it has
  /// arrived.
  using LossListener =
      std::function<void(const std::string& address, bool reached)>;

  virtual ~PeerTransport() = default;

  /// Starts listening.
  /// @param address "ip:port".
  virtual std::error_code Listen(const std::string& address) = 0;

  virtual void SetReceiver(Receiver receiver) = 0;

  /// Not told by a transport that reconnects by itself.
  virtual void SetLossListener(LossListener listener) {}

  /// Sends over this process's own connection to an address; connects first
  /// when there is none. Fills in mesh, version and sender.
  /// @return PeerCode::kBacklog when the connection takes no more.
  virtual std::error_code Send(const std::string& address,
                               wire::Envelope& message) = 0;

  /// Answers on the connection that a message came in on.
  virtual std::error_code Reply(const ReturnPath& path,
                                wire::Envelope& message) = 0;

  /// Drops the connection to an address; the next Send() makes a new one.
  virtual void Reset(const std::string& address) = 0;

  /// Waits for messages and hands them on.
  /// @param wake further descriptor that ends the wait when readable.
  /// @param longest longest wait.
  virtual void Poll(int wake, Duration longest) = 0;

  /// @return connections of this process's own that are open.
  virtual size_t OpenConnections() const = 0;
};

/// @param plane label of the metrics, "control" or "request".
std::unique_ptr<PeerTransport> MakePeerTransport(const PeerIdentity& identity,
                                                 const std::string& plane,
                                                 const Clock& clock,
                                                 Metrics& metrics);

/// Makes a transport of plain TCP connections on the caller's event loop. It
/// tells of lost connections at once and hands nothing to other threads, which
/// a request's path pays for twice; docs/design/request-path.md.
std::unique_ptr<PeerTransport> MakeLoopTransport(const PeerIdentity& identity,
                                                 const std::string& plane,
                                                 EventLoop& loop,
                                                 const Clock& clock,
                                                 Metrics& metrics);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_PEER_PEER_TRANSPORT_H_
