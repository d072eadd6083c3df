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

/// What a relay does with the bytes between two ends.
enum class LinkMode {
  kPass,
  kReset,   ///< Closes connections and refuses new ones.
  kSilent,  ///< Keeps connections open and loses every byte.
};

/// Small TCP relay in front of daemons, to cut, silence and delay links.
class Relay {
 public:
  /// Tells how bytes pass from a connecting IP address to a listening one.
  struct Link {
    LinkMode mode = LinkMode::kPass;
    std::chrono::microseconds delay{0};  ///< In each direction.
  };
  using Policy =
      std::function<Link(const std::string& from_ip, const std::string& to_ip)>;

  Relay();
  ~Relay();

  /// Accepts on `listen` and connects on to `target`; both "ip:port". The
  /// connection onwards comes from the caller's own IP address.
  void Add(const std::string& listen, const std::string& target);

  /// Starts the thread; call it after the last Add().
  void Start();

  /// Replaces the policy; open connections follow it at once.
  void SetPolicy(Policy policy);

  /// Makes all connections open now silent for good; new ones work.
  void SilenceOpenConnections();

  /// @return bytes passed between different IP addresses so far.
  uint64_t PassedBytes() const { return passed_bytes_; }

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
  std::atomic<bool> silence_{false};
  std::atomic<bool> stop_{false};
  std::atomic<uint64_t> passed_bytes_{0};
  std::thread thread_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_HARNESS_RELAY_H_
