#ifndef HIBISCUSGLADE_UPSTREAM_TESTS_SCRIPTED_UPSTREAM_H_
#define HIBISCUSGLADE_UPSTREAM_TESTS_SCRIPTED_UPSTREAM_H_

#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "upstream/tests/run_fixture.h"

namespace hibiscusglade {

enum class ConnectionEnd { kKept, kClosed, kReset };

/// What an upstream sends for one request, and what becomes of the connection.
struct ScriptedReply {
  std::string bytes;
  ConnectionEnd end = ConnectionEnd::kKept;
};

/// Sends the given bytes; for each connection, one reply for each request.
class AScriptedUpstream {
 public:
  explicit AScriptedUpstream(
      std::vector<std::vector<ScriptedReply>> connections)
      : script_(std::move(connections)), thread_([this] { Serve(); }) {}
  ~AScriptedUpstream() {
    listener_.Stop();
    {
      const std::lock_guard lock(mutex_);
      for (int socket : sockets_) shutdown(socket, SHUT_RDWR);
    }
    thread_.join();
    for (std::thread& thread : threads_) thread.join();
    for (int socket : sockets_) {
      if (socket >= 0) close(socket);
    }
  }
  AScriptedUpstream(const AScriptedUpstream&) = delete;
  AScriptedUpstream& operator=(const AScriptedUpstream&) = delete;

  const std::string& Address() const { return listener_.Address(); }

  /// @return for each connection, how many requests it has carried.
  std::vector<int> Requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

  /// Sends bytes that no request asked for.
  void SendNow(size_t connection, const std::string& bytes) const {
    const std::lock_guard lock(mutex_);
    send(sockets_.at(connection), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

 private:
  void Serve() {
    for (int socket = listener_.Accept(); socket >= 0;
         socket = listener_.Accept()) {
      const std::lock_guard lock(mutex_);
      const size_t index = sockets_.size();
      sockets_.push_back(socket);
      requests_.push_back(0);
      threads_.emplace_back([this, index, socket] { Answer(index, socket); });
    }
  }

  void Answer(size_t connection, int socket) {
    std::string request(4096, ' ');
    size_t next = 0;
    while (recv(socket, request.data(), request.size(), 0) > 0) {
      const std::lock_guard lock(mutex_);
      ++requests_[connection];
      if (connection >= script_.size()) continue;
      if (next >= script_[connection].size()) continue;
      const ScriptedReply& reply = script_[connection][next++];
      send(socket, reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
      if (reply.end == ConnectionEnd::kKept) continue;
      if (reply.end == ConnectionEnd::kReset) {
        const linger at_once{1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
      }
      close(socket);
      sockets_[connection] = -1;
      return;
    }
  }

  const std::vector<std::vector<ScriptedReply>> script_;
  LoopbackListener listener_;
  mutable std::mutex mutex_;
  std::vector<int> sockets_;  ///< -1: closed.
  std::vector<int> requests_;
  std::vector<std::thread> threads_;
  std::thread thread_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_TESTS_SCRIPTED_UPSTREAM_H_
