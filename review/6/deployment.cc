#include "review/6/deployment.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <utility>

namespace hibiscusglade::review {
namespace {

constexpr int kZones = 3;
constexpr int64_t kBeatMs = 1500;
constexpr int64_t kRestartMs = 300;
constexpr int64_t kCheckInTimeoutMs = 1000;
constexpr int64_t kOrderTimeoutMs = 5000;

std::string ZoneName(size_t number) {
  return "zone-" + std::string(1, static_cast<char>('a' + number % kZones));
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

/// Ends a process and waits for its end.
void EndProcess(pid_t process) {
  if (process <= 0) return;
  kill(process, SIGKILL);
  waitpid(process, nullptr, 0);
}

}  // namespace

Deployment::Deployment(std::string daemon, std::string folder,
                       const std::vector<std::string>& services, Record& record)
    : daemon_(std::move(daemon)), folder_(std::move(folder)), record_(record) {
  std::random_device device;
  // Addresses of its own, so that other programs' ports don't matter.
  net_ = "127." + std::to_string(20 + device() % 200) + "." +
         std::to_string(1 + device() % 250) + ".";
  const auto base = static_cast<uint16_t>(20000 + device() % 12000);
  ports_ = {base,
            static_cast<uint16_t>(base + 2),
            static_cast<uint16_t>(base + 3),
            static_cast<uint16_t>(base + 4),
            static_cast<uint16_t>(base + 5),
            static_cast<uint16_t>(base + 6)};
  size_t host = 1;
  for (size_t i = 0; i < kZones; ++i) {
    core_.push_back({net_ + std::to_string(host++), ZoneName(i), ""});
  }
  for (const Machine& seed : core_) {
    seeds_.push_back(seed.ip + ":" + std::to_string(ports_.control));
  }
  for (size_t i = 0; i < services.size(); ++i) {
    sidecars_.push_back(
        {net_ + std::to_string(host++), ZoneName(i), services[i]});
  }
}

Deployment::~Deployment() {
  for (const Machine& machine : sidecars_) EndProcess(machine.process);
  for (const Machine& machine : core_) EndProcess(machine.process);
}

bool Deployment::Start() {
  for (Machine& machine : core_) {
    if (!Begin(machine)) return false;
  }
  for (Machine& machine : sidecars_) {
    if (!Begin(machine)) return false;
  }
  return true;
}

bool Deployment::AddCore(const std::string& zone) {
  constexpr size_t kFirstHostOfAdded = 100;
  Machine machine{net_ + std::to_string(kFirstHostOfAdded + core_.size()), zone,
                  ""};
  machine.first_start = false;
  core_.push_back(machine);
  return Begin(core_.back());
}

void Deployment::Stop(Machine& machine, int64_t grace_ms) {
  record_.Line("SIGTERM to the daemon of " + machine.ip);
  kill(machine.process, SIGTERM);
  const int64_t end = NowMs() + grace_ms;
  while (waitpid(machine.process, nullptr, WNOHANG) == 0) {
    if (NowMs() > end) {
      EndProcess(machine.process);
      break;
    }
    SleepMs(20);
  }
  machine.process = -1;
  record_.Line("the daemon of " + machine.ip + " has ended");
}

void Deployment::Kill(Machine& machine) {
  EndProcess(std::exchange(machine.process, -1));
  record_.Line("the daemon of " + machine.ip + " was killed");
}

uint64_t Deployment::RestartThoseAbove(uint64_t max_bytes) {
  const auto page = static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
  uint64_t most = 0;
  for (Machine& machine : sidecars_) {
    if (machine.process <= 0) continue;
    std::ifstream statm("/proc/" + std::to_string(machine.process) + "/statm");
    uint64_t all = 0;
    uint64_t resident = 0;
    statm >> all >> resident;
    most = std::max(most, resident * page);
    if (resident * page <= max_bytes) continue;
    record_.Line("the daemon of " + machine.ip + " uses " +
                 std::to_string(resident * page / 1000) +
                 " kB, more than its machine allows");
    Kill(machine);
    ++machine.ends;
    SleepMs(kRestartMs);
    Begin(machine);
  }
  return most;
}

bool Deployment::RestartWithoutDisk(Machine& machine) {
  std::error_code error;
  std::filesystem::remove_all(folder_ + "/" + machine.ip + "/data", error);
  machine.first_start = false;
  record_.Line("the disk of " + machine.ip + " is empty");
  return Begin(machine);
}

bool Deployment::Begin(Machine& machine) {
  const std::string path = folder_ + "/" + machine.ip;
  mkdir(path.c_str(), 0750);
  std::ofstream(path + "/settings.json") << SettingsOf(machine);
  const pid_t process = fork();
  if (process < 0) return false;
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        open((path + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("HIBISCUSGLADE_CONFIG", (path + "/settings.json").c_str(), 1);
    execl(daemon_.c_str(), daemon_.c_str(), nullptr);
    _exit(127);
  }
  machine.process = process;
  record_.Line("starts the daemon of " + machine.ip + " in " + machine.zone +
               (machine.service.empty() ? " (core)" : ", " + machine.service));
  return true;
}

/// As deploy/settings.json.template gives them.
std::string Deployment::SettingsOf(const Machine& machine) const {
  std::string seeds;
  for (const std::string& seed : seeds_) {
    seeds += (seeds.empty() ? "" : ",") + Quoted(seed);
  }
  const auto at = [&machine](uint16_t port) {
    return Quoted(machine.ip + ":" + std::to_string(port));
  };
  std::string text =
      "{\"interface\": \"platform\", \"mesh\": \"hibiscusglade\","
      "\"instance\": " +
      Quoted(machine.ip) + ", \"failure_domain\": " + Quoted(machine.zone) +
      ", \"failure_domains\": [\"zone-a\",\"zone-b\",\"zone-c\"]"
      ", \"region\": \"region\", \"peer\": {\"address\": " +
      Quoted(machine.ip) +
      ", \"control_port\": " + std::to_string(ports_.control_plane) +
      ", \"request_port\": " + std::to_string(ports_.control_plane + 1) +
      ", \"seed_hosts\": [" + seeds + "]},\n";
  if (machine.service.empty()) {
    text += "\"operators\": {\"host_port\": " + at(ports_.control) +
            "}, \"replica\": {\"data_folder\": " +
            Quoted(folder_ + "/" + machine.ip + "/data") +
            ", \"founds_mesh\": " + (machine.first_start ? "true" : "false") +
            ", \"claims\": false},\n";
  } else {
    text += "\"callers\": {\"host_port\": " + at(ports_.outbound) +
            ", \"max_connections\": 3000}, \"upstream\": {\"host_port\": " +
            at(ports_.control) + ", \"service\": " + Quoted(machine.service) +
            ", \"upstream_address\": " + at(ports_.app) +
            "}, \"readiness\": {\"host_port\": " + at(ports_.ready) + "},\n";
  }
  return text + "\"link_mbps\": 1000.0, \"metrics\": {\"address\": " +
         Quoted(machine.ip) + ", \"port\": " + std::to_string(ports_.metrics) +
         "}, \"stop_notice_ms\": 2500, \"stop_timeout_s\": 5}\n";
}

int Deployment::SendConfig(const std::string& config) {
  const std::string request = RequestText(
      "POST /-/config/replace",
      "Host: control\r\nContent-Type: application/json\r\n", config);
  for (int tries = 0; tries < 40; ++tries) {
    const Machine& machine = core_[static_cast<size_t>(tries) % core_.size()];
    const Message answer =
        Call(machine.ip, ports_.control, request, kOrderTimeoutMs);
    const int status = answer.Status();
    record_.Line("the operator sends a configuration to " + machine.ip +
                 " and gets " + std::to_string(status) + " " + answer.body);
    if (status >= 200 && status < 500) return status;
    SleepMs(500);
  }
  return 0;
}

Message Deployment::ReadConfig(const Machine& machine) {
  return Call(machine.ip, ports_.control,
              RequestText("GET /-/config/get", "Host: control\r\n", ""),
              kOrderTimeoutMs);
}

bool Deployment::WaitUntilReady(int64_t timeout_ms) {
  const int64_t end = NowMs() + timeout_ms;
  for (const Machine& machine : sidecars_) {
    int status = 0;
    while (status != 200) {
      if (NowMs() > end) return false;
      status = Call(machine.ip, ports_.ready,
                    RequestText("GET /-/readiness", "Host: ready\r\n", ""), 500)
                   .Status();
      if (status != 200) SleepMs(100);
    }
  }
  return true;
}

Server::Server(std::string id, const Machine& machine, const Ports& ports,
               Record& record)
    : id_(std::move(id)),
      machine_(machine),
      ports_(ports),
      record_(record),
      born_ms_(UnixMs()) {}

Server::~Server() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  if (listener_ >= 0) close(listener_);
}

bool Server::Start() {
  listener_ = ListenOn(machine_.ip, ports_.app);
  if (listener_ < 0) return false;
  threads_.emplace_back([this] { Accept(); });
  threads_.emplace_back([this] { Beat(); });
  return true;
}

void Server::CheckIn() {
  const std::string address = machine_.ip + ":" + std::to_string(ports_.app);
  const std::string body =
      "{\"service\":" + Quoted(machine_.service) +
      ",\"address\":" + Quoted(address) + ",\"zone\":" + Quoted(machine_.zone) +
      ",\"version\":\"v1\",\"slots\":13,\"state\":\"ready\""
      ",\"cold_remaining_ms\":0,\"sequence\":" +
      std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_ms_) +
      "}";
  Call(machine_.ip, ports_.control,
       RequestText("POST /-/instances/" + id_ + "/heartbeat",
                   "Host: control\r\nContent-Type: application/json\r\n", body),
       kCheckInTimeoutMs);
}

void Server::Beat() {
  int64_t next = NowMs();
  while (!stopping_) {
    if (NowMs() >= next) {
      next = NowMs() + kBeatMs;
      CheckIn();
    }
    SleepMs(20);
  }
}

void Server::Accept() {
  std::vector<std::thread> connections;
  while (!stopping_) {
    pollfd watched{listener_, POLLIN, 0};
    if (poll(&watched, 1, 50) != 1) continue;
    const int descriptor = accept(listener_, nullptr, nullptr);
    if (descriptor < 0) continue;
    connections.emplace_back([this, descriptor] { Serve(descriptor); });
  }
  for (std::thread& connection : connections) connection.join();
}

void Server::Serve(int descriptor) {
  Stream stream(descriptor);
  while (!stopping_) {
    pollfd watched{descriptor, POLLIN, 0};
    if (poll(&watched, 1, 50) == 0) continue;
    const auto request = stream.Read(NowMs() + 5000);
    if (!request.has_value()) break;
    if (!Answer(descriptor, *request)) return;
  }
  close(descriptor);
}

/// @return false when the connection was closed.
bool Server::Answer(int descriptor, const Message& request) {
  if (request.first_line.starts_with("GET /health ")) {
    return SendAll(descriptor, "HTTP/1.1 200 OK\r\nInstance-Id: " + id_ +
                                   "\r\nContent-Length: 0\r\n\r\n");
  }
  const std::string attempt = request.Field("attempt-id");
  const std::string expected = request.Field("expected-instance");
  if (attempt.empty() || (!expected.empty() && expected != id_)) {
    return SendAll(
        descriptor,
        std::string("HTTP/1.1 ") +
            (attempt.empty() ? "400 Bad Request" : "421 Misdirected") +
            "\r\nAttempt-Id: " + attempt + "\r\nInstance-Id: " + id_ +
            "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  }
  record_.Line("server " + id_ + " begins " + attempt + " (" +
               request.first_line + ", Timeout-Ms " +
               request.Field("timeout-ms") + ")");
  on_run(request);
  SleepMs(work(request));
  if (ending(request) == Outcome::kReset) {
    record_.Line("server " + id_ + " has run " + attempt +
                 "; its answer is lost by a reset");
    ResetAndClose(descriptor);
    return false;
  }
  const std::string body = "body of " + attempt;
  return SendAll(descriptor,
                 "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                     "\r\nResponse-Signature: " + id_ + "." + attempt +
                     "\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body);
}

}  // namespace hibiscusglade::review
