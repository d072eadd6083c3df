#include "review/fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <utility>

#include "review/net.h"

namespace review {
namespace {

constexpr int64_t kGraceMs = 6000;
constexpr mode_t kFileMode = 0644;

bool Ended(pid_t pid) { return waitpid(pid, nullptr, WNOHANG) == pid; }

void EndNow(pid_t& pid) {
  if (pid <= 0) return;
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  pid = -1;
}

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::string HostPort(const std::string& ip, uint16_t port) {
  return Quoted(ip + ":" + std::to_string(port));
}

}  // namespace

Fleet::Fleet(std::string daemon, std::string folder)
    : daemon_(std::move(daemon)), folder_(std::move(folder)) {
  ChoosePorts();
}

Fleet::~Fleet() {
  for (Machine& machine : machines_) {
    EndNow(machine.daemon);
    EndNow(machine.server);
  }
}

/// Takes a network of loopback addresses that belongs to this process, and
/// ports that are free on its first address.
void Fleet::ChoosePorts() {
  constexpr int kNetworks = 200;
  constexpr uint16_t kLowest = 21000;
  const int pid = getpid();
  prefix_ = "127." + std::to_string(20 + pid % kNetworks) + "." +
            std::to_string(pid / kNetworks % kNetworks) + ".";
  uint16_t next = kLowest;
  for (uint16_t* port : {&ports_.control, &ports_.outbound, &ports_.ready,
                         &ports_.app, &ports_.internal}) {
    while (true) {
      const int first = Listen(prefix_ + "1", next);
      const int second = Listen(prefix_ + "1", next + 1);
      if (first >= 0) close(first);
      if (second >= 0) close(second);
      const uint16_t tried = next;
      next += 2;
      if (first < 0 || second < 0) continue;
      *port = tried;
      break;
    }
  }
}

std::string Fleet::NextIp() {
  return prefix_ + std::to_string(machines_.size() + 1);
}

void Fleet::AddCore(const std::string& zone) {
  Machine machine;
  machine.ip = NextIp();
  machine.zone = zone;
  machine.name = "core-" + std::to_string(machines_.size() + 1);
  machines_.push_back(machine);
}

void Fleet::AddSidecar(const std::string& zone, const std::string& service) {
  Machine machine;
  machine.ip = NextIp();
  machine.zone = zone;
  machine.service = service;
  machine.name = "sidecar-" + std::to_string(machines_.size() + 1);
  machines_.push_back(machine);
}

/// The fields of deploy/settings.json.template, filled in as it says.
std::string Fleet::SettingsOf(const Machine& machine) const {
  std::string seeds;
  for (const Machine& other : machines_) {
    if (!other.service.empty()) continue;
    seeds += (seeds.empty() ? "" : ",") + HostPort(other.ip, ports_.control);
  }
  std::string text =
      "{\"interface\":\"platform\",\"mesh\":\"hibiscusglade\",\"instance\":" +
      Quoted(machine.ip) + ",\"failure_domain\":" + Quoted(machine.zone) +
      ",\"region\":\"region\",\"peer\":{\"address\":" + Quoted(machine.ip) +
      ",\"control_port\":" + std::to_string(ports_.internal) +
      ",\"request_port\":" + std::to_string(ports_.internal + 1) +
      ",\"seed_hosts\":[" + seeds + "]},";
  if (machine.service.empty()) {
    text +=
        "\"operators\":{\"host_port\":" + HostPort(machine.ip, ports_.control) +
        "},\"replica\":{\"data_folder\":" +
        Quoted(folder_ + "/data-" + machine.name) +
        ",\"founds_mesh\":" + (machine.bootstrap ? "true" : "false") +
        ",\"claims\":false},";
  } else {
    text +=
        "\"callers\":{\"host_port\":" + HostPort(machine.ip, ports_.outbound) +
        ",\"max_connections\":3000},\"upstream\":{\"host_port\":" +
        HostPort(machine.ip, ports_.control) +
        ",\"service\":" + Quoted(machine.service) +
        ",\"upstream_address\":" + HostPort(machine.ip, ports_.app) +
        "},\"readiness\":{\"host_port\":" + HostPort(machine.ip, ports_.ready) +
        "},";
  }
  return text +
         "\"link_mbps\":1000,\"metrics\":{\"address\":" + Quoted(machine.ip) +
         ",\"port\":9464},\"stop_notice_ms\":2500,\"stop_timeout_s\":5}\n";
}

void Fleet::StartDaemon(Machine& machine) {
  const std::string settings = folder_ + "/" + machine.name + ".json";
  std::ofstream(settings) << SettingsOf(machine);
  machine.bootstrap = false;
  machine.daemon = fork();
  if (machine.daemon == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const std::string log = folder_ + "/" + machine.name + ".log";
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kFileMode);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    setenv("HIBISCUSGLADE_CONFIG", settings.c_str(), 1);
    execl(daemon_.c_str(), daemon_.c_str(), nullptr);
    _exit(127);
  }
  Record("daemon " + machine.name + " started");
}

void Fleet::StartServer(Machine& machine) {
  ++machine.lifetimes;
  const std::string id =
      "i-" + machine.name + "-" + std::to_string(machine.lifetimes);
  const std::string app_port = std::to_string(ports_.app);
  const std::string control_port = std::to_string(ports_.control);
  const std::string start = std::to_string(RecordStart());
  const std::string garble_every = std::to_string(machine.garble_every);
  const std::string flag = GarbleFlag();
  const std::string leave = LeaveFlag(machine);
  machine.server_down_ms = 0;
  Record("server " + id + " started");
  machine.server = fork();
  if (machine.server == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execl("/proc/self/exe", "standin", "server", RecordPath().c_str(),
          start.c_str(), machine.ip.c_str(), app_port.c_str(),
          control_port.c_str(), machine.service.c_str(), machine.zone.c_str(),
          id.c_str(), garble_every.c_str(), flag.c_str(), leave.c_str(),
          nullptr);
    _exit(127);
  }
}

void Fleet::StopDaemon(Machine& machine) {
  Record("daemon " + machine.name + " SIGTERM");
  kill(machine.daemon, SIGTERM);
  const int64_t deadline = NowMs() + kGraceMs;
  while (NowMs() < deadline) {
    if (Ended(machine.daemon)) {
      machine.daemon = -1;
      Record("daemon " + machine.name + " ended");
      return;
    }
    SleepMs(20);
  }
  EndNow(machine.daemon);
  Record("daemon " + machine.name + " killed after its grace");
}

void Fleet::KillDaemon(Machine& machine) {
  Record("daemon " + machine.name + " SIGKILL");
  EndNow(machine.daemon);
}

void Fleet::RestartEndedServers(int64_t after_ms) {
  for (Machine& machine : machines_) {
    if (machine.service.empty()) continue;
    if (machine.server > 0 && Ended(machine.server)) {
      machine.server = -1;
      machine.server_down_ms = NowMs();
      Record("server of " + machine.name + " crashed");
    }
    if (machine.server_down_ms != 0 &&
        NowMs() - machine.server_down_ms >= after_ms) {
      StartServer(machine);
    }
  }
}

bool Fleet::Configure(const std::string& body, int64_t deadline_ms) {
  constexpr int kAnswerMs = 1000;
  size_t next = 0;
  while (NowMs() < deadline_ms) {
    const Machine& machine = machines_[next++ % machines_.size()];
    if (!machine.service.empty()) continue;
    const int status =
        Call(machine.ip, ports_.control,
             JsonCall("POST", "/-/config/replace", body), kAnswerMs);
    Record("configuration sent to " + machine.name + ": " +
           std::to_string(status));
    if (status == 200) return true;
    SleepMs(100);
  }
  return false;
}

bool Fleet::AllReady() {
  constexpr int kAnswerMs = 500;
  for (const Machine& machine : machines_) {
    if (machine.service.empty()) continue;
    if (Call(machine.ip, ports_.ready,
             "GET /-/readiness HTTP/1.1\r\nHost: platform\r\n\r\n",
             kAnswerMs) != 200) {
      return false;
    }
  }
  return true;
}

}  // namespace review
