#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <fstream>
#include <list>
#include <mutex>
#include <thread>

#include "tests/harness/process_cost.h"
#include "tests/processes/claims_mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kUpstreamPort = 7005;
constexpr char kGoodAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";
constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Bytes that an upstream sends until its connection is closed.
struct EndlessAnswer {
  std::string name;  ///< Requests whose targets contain it get this answer.
  std::string begin;
  std::string repeated;
};

std::vector<EndlessAnswer> EndlessAnswers() {
  return {
      {"no-answer", "", std::string(4096, '#')},
      {"head-line", "HTTP/1.1 200 OK\r\nX-Field: ", std::string(4096, 'a')},
      {"head-fields", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
      {"interim-heads", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
      {"trailer", std::string(kChunkedHead) + "1\r\na\r\n0\r\n",
       "X-Field: value\r\nX-Other: value\r\nX-Third: value\r\n"},
      {"trailer-line", std::string(kChunkedHead) + "1\r\na\r\n0\r\nX-Field: ",
       std::string(4096, 'a')},
      {"extension", std::string(kChunkedHead) + "1;x=", std::string(4096, 'a')},
      {"after-answer", kGoodAnswer, std::string(4096, 'b')},
  };
}

/// Takes the place of a stand-in upstream.
class FaultyUpstream {
 public:
  explicit FaultyUpstream(const std::string& ip) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kUpstreamPort);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    EXPECT_EQ(
        bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
        0);
    EXPECT_EQ(listen(listener_, 64), 0);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~FaultyUpstream() {
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    for (int connection : connections_) shutdown(connection, SHUT_RDWR);
    for (std::thread& thread : threads_) thread.join();
    for (int connection : connections_) close(connection);
    close(listener_);
  }
  FaultyUpstream(const FaultyUpstream&) = delete;
  FaultyUpstream& operator=(const FaultyUpstream&) = delete;

 private:
  void Accept() {
    for (int connection = accept(listener_, nullptr, nullptr); connection >= 0;
         connection = accept(listener_, nullptr, nullptr)) {
      connections_.push_back(connection);
      threads_.emplace_back([this, connection] { Serve(connection); });
    }
  }

  void Serve(int connection) const {
    std::array<char, 4096> buffer{};
    ssize_t received = recv(connection, buffer.data(), buffer.size(), 0);
    while (received > 0) {
      const std::string request(buffer.data(), static_cast<size_t>(received));
      for (const EndlessAnswer& answer : answers_) {
        if (request.find("/" + answer.name + " ") == std::string::npos)
          continue;
        bool open = Send(connection, answer.begin);
        while (open) open = Send(connection, answer.repeated);
        return;
      }
      Send(connection, kGoodAnswer);
      received = recv(connection, buffer.data(), buffer.size(), 0);
    }
  }

  static bool Send(int connection, const std::string& bytes) {
    return bytes.empty() ||
           send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
  }

  const std::vector<EndlessAnswer> answers_ = EndlessAnswers();
  int listener_ = -1;
  std::thread acceptor_;
  std::vector<int> connections_;
  std::list<std::thread> threads_;
};

/// A mesh in which the upstream beside one daemon goes mad.
class AMeshWithAFaultyUpstream : public ClaimsMesh {
 protected:
  AMeshWithAFaultyUpstream()
      : ClaimsMesh(95, {{"x", "a", "orders", 20, true, {}},
                        {"y", "a", "", 6, true, {}},
                        {"z", "a", "", 6, true, {}}}) {}

  void StartFaultyUpstream() {
    PutFirstVersionInForce(1);
    mesh_.KillUpstream("x");
    upstream_.emplace(mesh_.IpOf("x"));
    announcer_ = std::jthread([this](const std::stop_token& stop) {
      while (!stop.stop_requested()) {
        Announce();
        std::this_thread::sleep_for(milliseconds(500));
      }
    });
    ASSERT_TRUE(Mesh::Eventually([this] { return IsServed(); }, seconds(10)));
    // The daemon's memory may not grow by more than this; growth beyond it ends
    // the daemon.
    constexpr rlim_t kGrowthBytes = rlim_t{64} << 20U;
    const rlim_t limit = AddressSpaceOf(mesh_.Daemon("x").Pid()) + kGrowthBytes;
    const rlimit bounded{limit, limit};
    ASSERT_EQ(prlimit(mesh_.Daemon("x").Pid(), RLIMIT_AS, &bounded, nullptr),
              0);
  }

  void Announce() const {
    SendHttp("PUT", "http://" + mesh_.IpOf("x") + ":7004/v1/announcement",
             R"({"service":"orders","address":")" + mesh_.IpOf("x") +
                 R"(","port":7005,"slots":20,"connections":100,)" +
                 R"("state":"serving"})");
  }

  static rlim_t AddressSpaceOf(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    rlim_t pages = 0;
    file >> pages;
    return pages * static_cast<rlim_t>(sysconf(_SC_PAGESIZE));
  }

  bool IsServed() const {
    return SendHttp("GET", mesh_.CallerUrl("y") + "/catalogue/1", "", {}, 2000)
               .body == "good";
  }

  /// Sends four requests at a time that get endless answers.
  /// @return their answers.
  std::vector<HttpAnswer> SendFour(const std::string& method,
                                   const std::string& target) {
    std::vector<HttpAnswer> answers(4);
    std::vector<std::jthread> callers;
    for (size_t i = 0; i < answers.size(); ++i) {
      callers.emplace_back([&, i] {
        const std::string key =
            "Idempotency-Key: " + target + std::to_string(i);
        answers[i] = SendHttp(method, mesh_.CallerUrl("y") + target, "",
                              {key, "X-Request-Timeout-Ms: 3000"}, 5000);
      });
    }
    callers.clear();
    return answers;
  }

  std::optional<FaultyUpstream> upstream_;
  std::jthread announcer_;
};

// Guards against a trailer without end, which took a daemon to 482 MB in 5 s.
TEST_F(AMeshWithAFaultyUpstream, KeepsItsMemoryAndServesOthers) {
  StartFaultyUpstream();
  const double resident_kb = ProcessResidentKb(mesh_.Daemon("x").Pid());
  for (const EndlessAnswer& answer : EndlessAnswers()) {
    for (const char* route : {"/catalogue/", "/deposits/"}) {
      SCOPED_TRACE(route + answer.name);
      const bool repeatable = route == std::string("/catalogue/");
      for (const HttpAnswer& received :
           SendFour(repeatable ? "GET" : "POST", route + answer.name)) {
        if (answer.name == "after-answer") {
          EXPECT_EQ(received.body, "good");
        } else {
          EXPECT_FALSE(received.complete && received.status == 200);
        }
      }
      EXPECT_TRUE(mesh_.Daemon("x").Running());
      EXPECT_TRUE(Mesh::Eventually([this] { return IsServed(); }, seconds(2)));
    }
  }
  EXPECT_LT(ProcessResidentKb(mesh_.Daemon("x").Pid()), resident_kb + 32'000);
}

}  // namespace
}  // namespace hibiscusglade
