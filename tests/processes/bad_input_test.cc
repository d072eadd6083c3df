#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <thread>
#include <zmq.hpp>

#include "base/digest.h"
#include "tests/harness/load.h"
#include "tests/harness/mesh.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNetwork = 121;
constexpr int kCallerPort = 7000;
constexpr int kControlPort = 7001;
constexpr int kRequestPort = 7002;
constexpr int kOperatorPort = 7003;
constexpr int kAnnouncementPort = 7004;
constexpr int kMaxCallerConnections = 1000;
constexpr int kAnswerTimeoutMs = 3000;
constexpr uint32_t kWireVersion = 2;

constexpr char kFirstPatch[] = R"([
  {"op": "add", "path": "/services/plots", "value": {"max_queue": 64}},
  {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": 1000}},
  {"op": "add", "path": "/routes/plots", "value": {"path_prefix": "/plots/",
    "service": "plots", "class": "short", "repeatable": true}},
  {"op": "add", "path": "/routes/tags", "value": {"path_prefix": "/tags/",
    "service": "plots", "class": "short", "repeatable": false}}])";

/// A TCP client that sends arbitrary bytes.
class RawClient {
 public:
  RawClient(const std::string& ip, int port)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const timeval timeout{kAnswerTimeoutMs / 1000, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    connected_ = connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0;
  }
  ~RawClient() { close(fd_); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool Connected() const { return connected_; }

  void Send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return;
      bytes.remove_prefix(static_cast<size_t>(sent));
    }
  }

  /// @return the next bytes of the answer, at most 4096; empty at its end or
  /// after kAnswerTimeoutMs.
  std::string Read() const {
    std::string block(4096, '\0');
    const ssize_t received = recv(fd_, block.data(), block.size(), 0);
    block.resize(received > 0 ? static_cast<size_t>(received) : 0);
    return block;
  }

 private:
  int fd_;
  bool connected_ = false;
};

/// A caller that sends valid requests while the test sends bad input.
class WellBehavedCaller {
 public:
  explicit WellBehavedCaller(const Mesh& mesh)
      : thread_([this, &mesh] {
          while (!stop_) {
            for (const char* instance : {"x", "y"}) {
              const HttpAnswer answer =
                  SendHttp("GET", mesh.CallerUrl(instance) + "/plots/7");
              ++sent_;
              if (answer.body == "plots answers GET /plots/7\n") ++good_;
            }
            std::this_thread::sleep_for(milliseconds(5));
          }
        }) {}
  ~WellBehavedCaller() { StopAndCheck(); }

  /// Stops the caller and expects that all its requests were answered
  /// correctly.
  void StopAndCheck() {
    if (!thread_.joinable()) return;
    stop_ = true;
    thread_.join();
    EXPECT_GT(sent_, 0);
    EXPECT_EQ(good_, sent_);
  }

 private:
  std::atomic<bool> stop_{false};
  int sent_ = 0;
  int good_ = 0;
  std::thread thread_;
};

class BadInput : public testing::Test {
 protected:
  BadInput()
      : mesh_(kNetwork, {{"x", "a", "plots", 6, true, {}},
                         {"y", "b", "plots", 6, true, {}},
                         {"z", "c", "plots", 6, true, {}}}) {
    mesh_.Start();
  }

  void SetUp() override {
    ASSERT_TRUE(mesh_.WaitForUpstreams("x", 3, seconds(20)));
    ASSERT_TRUE(mesh_.WaitForUpstreams("y", 3, seconds(20)));
    ASSERT_EQ(mesh_.Propose("x", "first", 0, kFirstPatch).status, 200);
    ASSERT_TRUE(mesh_.WaitForVersion(1, seconds(20)));
    if (HasCaller()) caller_ = std::make_unique<WellBehavedCaller>(mesh_);
  }

  /// @return whether a well-behaved caller runs during the test.
  virtual bool HasCaller() const { return true; }

  void TearDown() override {
    caller_.reset();
    for (const char* instance : {"x", "y", "z"}) {
      EXPECT_TRUE(mesh_.Daemon(instance).Running()) << instance;
    }
  }

  /// Sends bytes to a port of x.
  /// @return the first bytes of the answer.
  std::string SendRaw(int port, const std::string& bytes) {
    RawClient client(mesh_.IpOf("x"), port);
    EXPECT_TRUE(client.Connected());
    client.Send(bytes);
    return client.Read();
  }

  double PeerRefusals(int code) {
    return mesh_.Metric(
        "x", "peer_refusals_total{code=\"" + std::to_string(code) + "\"}");
  }

  bool EventuallyRefusesPeer(int code) {
    return Mesh::Eventually([&] { return PeerRefusals(code) > 0; }, seconds(5));
  }

  Mesh mesh_;
  std::unique_ptr<WellBehavedCaller> caller_;
};

class HttpThatIsDamaged : public BadInput {};

TEST_F(HttpThatIsDamaged, IsRefusedAtEachListener) {
  for (int port : {kCallerPort, kOperatorPort, kAnnouncementPort}) {
    EXPECT_NE(SendRaw(port, "GET\r\n\r\n").substr(0, 9), "HTTP/1.1 2") << port;
    EXPECT_EQ(SendRaw(port,
                      "GET /x HTTP/1.1\r\nHost: a\r\nContent-Length: x"
                      "\r\n\r\n")
                  .substr(0, 12),
              "HTTP/1.1 400")
        << port;
    const std::string large(200'000, 'a');
    EXPECT_EQ(SendRaw(port, "GET /x HTTP/1.1\r\nHost: a\r\nX-Large: " + large +
                                "\r\n\r\n")
                  .substr(0, 10),
              "HTTP/1.1 4")
        << port;
    SendRaw(port, std::string(5000, '\0') + "\xff\xfe\r\n\r\n");
  }
}

TEST_F(HttpThatIsDamaged, IsRefusedWithNumbersAboveTheHttpLayer) {
  const std::string operators = mesh_.OperatorUrl("x");
  const std::string callers = mesh_.CallerUrl("x");
  const std::string announcements =
      "http://" + mesh_.IpOf("x") + ":" + std::to_string(kAnnouncementPort);
  const std::string path = "/v1/announcement";
  EXPECT_NE(SendHttp("POST", operators + "/v1/patches", "{\"a\":\"\xff")
                .body.find("9502"),
            std::string::npos);
  EXPECT_NE(SendHttp("PUT", announcements + path, "{\"service\":\"\xff")
                .body.find("8002"),
            std::string::npos);
  EXPECT_NE(SendHttp("PUT", announcements + path, std::string(2'000'000, '['))
                .body.find("8002"),
            std::string::npos);
  EXPECT_NE(SendHttp("GET", announcements + "/v1/other").body.find("8001"),
            std::string::npos);
  EXPECT_NE(
      SendHttp("POST", operators + "/v1/patches", std::string(9 << 20, ' '))
          .body.find("9602"),
      std::string::npos);
  EXPECT_EQ(SendHttp("GET", callers + "/nowhere").Code(), 4001);
  EXPECT_EQ(SendHttp("TRACE", callers + "/plots/7").Code(), 7003);
  EXPECT_EQ(
      SendHttp("PUT", callers + "/plots/7", std::string(9 << 20, ' ')).Code(),
      7002);
}

TEST_F(HttpThatIsDamaged, IsRefusedOrServedWhenFieldsHoldForeignBytes) {
  const auto answer = [&](const std::string& target, const std::string& field) {
    return SendRaw(kCallerPort, "GET " + target + " HTTP/1.1\r\nHost: a\r\n" +
                                    field + "\r\n\r\n");
  };
  // While x's upstream drains, x forwards requests to other instances.
  SendHttp("POST", mesh_.OperatorUrl("x") + "/v1/drain");
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(answer("/plots/\xff", "X-A: b").substr(0, 10), "HTTP/1.1 2");
  }
  EXPECT_EQ(answer("/plots/7", "X-Owner: Jos\xe9").substr(0, 10), "HTTP/1.1 2");
  EXPECT_EQ(answer("/tags/7", "Idempotency-Key: \xe9").substr(0, 10),
            "HTTP/1.1 2");
  for (const char* field :
       {"X-Request-Timeout-Ms: soon", "X-Request-Timeout-Ms: -5",
        "X-Request-Timeout-Ms: 99999999999999999999", "X-Request-Depth: x"}) {
    EXPECT_NE(answer("/plots/7", field).find("X-Result-Code: 7004"),
              std::string::npos)
        << field;
  }
}

class AnErraticClient : public BadInput {};

TEST_F(AnErraticClient, MaySendByteByByteOrDisconnect) {
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(
        std::make_unique<RawClient>(mesh_.IpOf("x"), kCallerPort));
  }
  const std::string request = "GET /plots/9 HTTP/1.1\r\nHost: a\r\n\r\n";
  for (char byte : request) {
    for (auto& client : clients) client->Send({&byte, 1});
    std::this_thread::sleep_for(milliseconds(10));
  }
  for (auto& client : clients) {
    EXPECT_EQ(client->Read().substr(0, 12), "HTTP/1.1 200");
  }
  for (int i = 0; i < 200; ++i) {
    for (int port : {kCallerPort, kOperatorPort, kAnnouncementPort}) {
      RawClient abandoned(mesh_.IpOf("x"), port);
      abandoned.Send("PUT /plots/9 HTTP/1.1\r\nContent-Length: 500\r\n\r\nabc");
    }
  }
}

class ConnectionsBeyondTheLimit : public BadInput {
 protected:
  bool HasCaller() const override { return false; }
};

TEST_F(ConnectionsBeyondTheLimit, LeaveOtherListenersAvailable) {
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 3 * kMaxCallerConnections; ++i) {
    clients.push_back(
        std::make_unique<RawClient>(mesh_.IpOf("x"), kCallerPort));
  }
  EXPECT_EQ(SendHttp("GET", mesh_.CallerUrl("y") + "/plots/7").status, 200);
  EXPECT_EQ(SendHttp("GET", mesh_.OperatorUrl("x") + "/v1/status").status, 200);
  clients.clear();
  EXPECT_TRUE(Mesh::Eventually(
      [&] {
        return SendHttp("GET", mesh_.CallerUrl("x") + "/plots/7").status == 200;
      },
      seconds(10)));
}

class AWrongProtocol : public BadInput {};

TEST_F(AWrongProtocol, DoesNotStopTheDaemon) {
  for (int port : {kControlPort, kRequestPort}) {
    SendRaw(port, "GET /plots/7 HTTP/1.1\r\nHost: a\r\n\r\n");
    SendRaw(port, std::string(100'000, '\xff'));
  }
  zmq::context_t context(1);
  for (int port : {kCallerPort, kOperatorPort, kAnnouncementPort}) {
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.connect("tcp://" + mesh_.IpOf("x") + ":" + std::to_string(port));
    socket.send(zmq::str_buffer("hello"), zmq::send_flags::dontwait);
    std::this_thread::sleep_for(milliseconds(300));
  }
}

class AForeignPeer : public BadInput {
 protected:
  /// Sends a frame to x's control or request port.
  /// @return the result code of the refusal; 0 without an answer.
  int SendFrame(int port, const std::string& frame) {
    if (port == kRequestPort) return SendRequestPlaneFrame(frame);
    zmq::socket_t socket(context_, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::rcvtimeo, kAnswerTimeoutMs);
    socket.connect("tcp://" + mesh_.IpOf("x") + ":" + std::to_string(port));
    socket.send(zmq::buffer(frame), zmq::send_flags::none);
    zmq::message_t answer;
    wire::Envelope envelope;
    if (!socket.recv(answer).has_value()) return 0;
    envelope.ParseFromArray(answer.data(), static_cast<int>(answer.size()));
    return envelope.refused().code();
  }

  /// Sends a frame as the request plane expects it, with its length in four
  /// bytes in front, and reads the answer until the connection closes.
  int SendRequestPlaneFrame(const std::string& frame) {
    const int peer = ConnectTo(kRequestPort);
    const auto length = static_cast<uint32_t>(frame.size());
    std::string bytes(reinterpret_cast<const char*>(&length), sizeof(length));
    bytes += frame;
    EXPECT_EQ(send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
    const timeval timeout{kAnswerTimeoutMs / 1000, 0};
    setsockopt(peer, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    std::string answer;
    char buffer[512];
    for (ssize_t received = recv(peer, buffer, sizeof(buffer), 0); received > 0;
         received = recv(peer, buffer, sizeof(buffer), 0)) {
      answer.append(buffer, static_cast<size_t>(received));
    }
    close(peer);
    wire::Envelope envelope;
    if (answer.size() <= sizeof(length)) return 0;
    envelope.ParseFromString(answer.substr(sizeof(length)));
    return envelope.refused().code();
  }

  int ConnectTo(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, mesh_.IpOf("x").c_str(), &address.sin_addr);
    const int peer = socket(AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ(
        connect(peer, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
        0);
    return peer;
  }

  static std::string GossipFrame(const std::string& mesh,
                                 uint32_t wire_version) {
    wire::Envelope envelope;
    envelope.set_mesh(DigestOf(mesh));
    envelope.set_wire_version(wire_version);
    envelope.set_instance("stranger");
    envelope.mutable_gossip();
    return envelope.SerializeAsString();
  }

  zmq::context_t context_{1};
};

TEST_F(AForeignPeer, IsRefusedAtItsFirstMessageAndCounted) {
  for (int port : {kControlPort, kRequestPort}) {
    EXPECT_EQ(SendFrame(port, GossipFrame("another-mesh", kWireVersion)), 9003);
    EXPECT_EQ(SendFrame(port, GossipFrame("test-121", kWireVersion + 1)), 9004);
  }
  EXPECT_TRUE(EventuallyRefusesPeer(9003));
  EXPECT_TRUE(EventuallyRefusesPeer(9004));
}

TEST_F(AForeignPeer, MaySendDamagedFrames) {
  for (int i = 0; i < 100; ++i) {
    // A correct length in front of bytes that are not an envelope.
    const int peer = ConnectTo(kRequestPort);
    const auto length = static_cast<uint32_t>(i * 100);
    std::string bytes(reinterpret_cast<const char*>(&length), sizeof(length));
    bytes += std::string(length, '\xff');
    send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    close(peer);
  }
  for (int port : {kControlPort, kRequestPort}) {
    for (int i = 0; i < 100; ++i) {
      zmq::socket_t socket(context_, zmq::socket_type::dealer);
      socket.set(zmq::sockopt::linger, 500);
      socket.connect("tcp://" + mesh_.IpOf("x") + ":" + std::to_string(port));
      const std::string valid = GossipFrame("test-121", kWireVersion);
      socket.send(zmq::buffer(valid.substr(0, i % valid.size())),
                  zmq::send_flags::sndmore);
      socket.send(zmq::buffer(std::string(i * 100, '\xff')),
                  zmq::send_flags::none);
    }
  }
  EXPECT_TRUE(EventuallyRefusesPeer(9005));
}

class TheOperatorsTool : public BadInput {
 protected:
  int RunCtl(const std::string& api,
             const std::vector<std::string>& arguments) {
    std::vector<std::string> command = {
        std::string(HG_BINARY_DIR) + "/bin/hibiscusgladectl", "--api=" + api};
    command.insert(command.end(), arguments.begin(), arguments.end());
    return ChildProcess(command, mesh_.LogFile("ctl"), "/").Wait(20000);
  }
};

TEST_F(TheOperatorsTool, DistinguishesADeadDaemonFromAnUnresponsiveOne) {
  EXPECT_EQ(RunCtl(mesh_.IpOf("x") + ":1", {"status"}), 7);
  EXPECT_EQ(RunCtl("nonsense", {"status"}), 7);
  EXPECT_EQ(RunCtl(mesh_.IpOf("x") + ":1",
                   {"propose", "--base=1", "--patch_id=p", "--restore=1"}),
            7);
  caller_.reset();
  mesh_.Daemon("z").Signal(SIGSTOP);
  EXPECT_EQ(RunCtl(mesh_.IpOf("z") + ":7003",
                   {"propose", "--base=1", "--patch_id=p", "--restore=1"}),
            5);
  mesh_.Daemon("z").Signal(SIGCONT);
}

}  // namespace
}  // namespace hibiscusglade
