#ifndef HIBISCUSGLADE_TESTS_HARNESS_RELAY_H_
#define HIBISCUSGLADE_TESTS_HARNESS_RELAY_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hibiscusglade {

/// What a relay does with the connections between two IP addresses.
enum class LinkMode {
  kPass,
  kReset,   ///< Closes connections and refuses new ones.
  kSilent,  ///< Drops every byte; connections stay open until a side closes.
};

/// TCP relay in front of daemons that can cut, silence and delay links.
class Relay {
 public:
  /// How the relay treats connections from one IP address to another.
  struct Link {
    LinkMode mode = LinkMode::kPass;
    std::chrono::microseconds delay{0};  ///< In each direction.
  };
  using Policy =
      std::function<Link(const std::string& from_ip, const std::string& to_ip)>;

  Relay();
  ~Relay();

  /// Forwards connections accepted at `listen_address` to `target`, both
  /// "ip:port". Outgoing connections have the connecting side's IP address.
  void Add(const std::string& listen_address, const std::string& target);

  /// Starts the relay's thread; call it after the last Add().
  void Start();

  /// Replaces the policy, also for connections that are already open.
  void SetPolicy(Policy policy);

  /// Drops all bytes that arrive from now on at connections already open; new
  /// connections are not affected.
  void SilenceOpenConnections();

  /// @return bytes forwarded so far, in both directions.
  uint64_t ForwardedBytes() const { return forwarded_bytes_; }

 private:
  struct Listener;
  struct Pipe;

  void Run();
  void Accept(Listener& listener);
  void Read(Pipe& pipe, int side);
  void Write(Pipe& pipe, int side);
  Link LinkOf(const Pipe& pipe);

  std::vector<Listener> listeners_;
  std::vector<std::unique_ptr<Pipe>> pipes_;
  std::mutex mutex_;
  Policy policy_;
  std::atomic<bool> silence_requested_{false};
  std::atomic<bool> stop_{false};
  std::atomic<uint64_t> forwarded_bytes_{0};
  std::thread thread_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_HARNESS_RELAY_H_
