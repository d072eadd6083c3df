#include "tests/harness/mesh.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

namespace hibiscusglade {
namespace {

using nlohmann::json;

constexpr int kControlPort = 7001;
constexpr int kRequestPort = 7002;
constexpr int kCallerPort = 7000;
constexpr int kOperatorPort = 7003;
constexpr int kAnnouncementPort = 7004;
constexpr int kUpstreamPort = 7005;
constexpr int kRelayedControlPort = 7011;
constexpr int kRelayedRequestPort = 7012;
constexpr int kInstancesPerSubnet = 250;
constexpr std::chrono::milliseconds kPollInterval{20};

std::string ProgramPath(const std::string& name) {
  return std::string(HG_BINARY_DIR) + "/bin/" + name;
}

/// @return third octet of the first address, from HG_MESH_SUBNET, 0 to 250.
/// Checkouts that run the same tests at the same time need different values.
int FirstSubnet() {
  const char* subnet = std::getenv("HG_MESH_SUBNET");
  return subnet == nullptr ? 0 : std::atoi(subnet);
}

}  // namespace

struct Mesh::Instance {
  InstanceSpec spec;
  std::string ip;
  std::unique_ptr<ChildProcess> daemon;
  std::unique_ptr<ChildProcess> upstream;
};

Mesh::Mesh(int network, std::vector<InstanceSpec> instances)
    : network_(network),
      lock_(std::to_string(network) + "-" + std::to_string(FirstSubnet())) {
  folder_ = std::filesystem::temp_directory_path() /
            ("hibiscusglade-" + std::to_string(getpid()) + "-" +
             std::to_string(network));
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  int index = 0;
  for (InstanceSpec& spec : instances) {
    auto instance = std::make_unique<Instance>();
    instance->spec = std::move(spec);
    instance->ip = "127." + std::to_string(network) + "." +
                   std::to_string(FirstSubnet() + index / kInstancesPerSubnet) +
                   "." + std::to_string(index % kInstancesPerSubnet + 1);
    ++index;
    instances_.push_back(std::move(instance));
  }
  for (const auto& instance : instances_) {
    WriteSettings(*instance);
    auto add_relay = [&](int relayed_port, int port) {
      relay_.Add(instance->ip + ":" + std::to_string(relayed_port),
                 instance->ip + ":" + std::to_string(port));
    };
    add_relay(kRelayedControlPort, kControlPort);
    add_relay(kRelayedRequestPort, kRequestPort);
  }
  relay_.Start();
}

Mesh::~Mesh() {
  for (auto& instance : instances_) {
    instance->upstream.reset();
    instance->daemon.reset();
  }
  if (std::getenv("HG_KEEP_MESH") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
}

void Mesh::Start() {
  for (const auto& instance : instances_) {
    if (!instance->spec.replica) continue;
    ChildProcess command(
        {ProgramPath("hibiscusgladectl"), "found-replica", "--settings",
         folder_ + "/" + instance->spec.instance + ".jsonc"},
        LogFile(instance->spec.instance), folder_);
    if (command.Wait(5000) != 0)
      throw std::runtime_error("found-replica failed");
  }
  for (const auto& instance : instances_) {
    StartDaemon(instance->spec.instance);
    if (!instance->spec.service.empty()) StartUpstream(instance->spec.instance);
  }
}

void Mesh::StartDaemon(const std::string& instance) {
  auto& target = const_cast<Instance&>(InstanceNamed(instance));
  target.daemon.reset();
  target.daemon = std::make_unique<ChildProcess>(
      std::vector<std::string>{ProgramPath("hibiscusgladed"), "--settings",
                               folder_ + "/" + instance + ".jsonc"},
      LogFile(instance), folder_);
}

void Mesh::StartUpstream(const std::string& instance) {
  auto& target = const_cast<Instance&>(InstanceNamed(instance));
  target.upstream.reset();
  std::vector<std::string> command = {
      ProgramPath("standin_upstream"),
      "--service=" + target.spec.service,
      "--instance=" + instance,
      "--address=" + target.ip,
      "--port=" + std::to_string(kUpstreamPort),
      "--daemon=" + target.ip + ":" + std::to_string(kAnnouncementPort),
      "--slots=" + std::to_string(target.spec.slots)};
  for (const std::string& flag : target.spec.upstream_flags) {
    command.push_back(flag);
  }
  target.upstream =
      std::make_unique<ChildProcess>(command, LogFile(instance), folder_);
}

ChildProcess& Mesh::Daemon(const std::string& instance) {
  return *InstanceNamed(instance).daemon;
}

ChildProcess& Mesh::Upstream(const std::string& instance) {
  return *InstanceNamed(instance).upstream;
}

void Mesh::KillDaemon(const std::string& instance) {
  const_cast<Instance&>(InstanceNamed(instance)).daemon.reset();
}

void Mesh::KillUpstream(const std::string& instance) {
  const_cast<Instance&>(InstanceNamed(instance)).upstream.reset();
}

void Mesh::WipeData(const std::string& instance) {
  std::filesystem::remove_all(DataFolder(instance));
}

std::string Mesh::DataFolder(const std::string& instance) const {
  return folder_ + "/data-" + instance;
}

std::string Mesh::LogFile(const std::string& instance) const {
  return folder_ + "/" + instance + ".log";
}

std::string Mesh::IpOf(const std::string& instance) const {
  return InstanceNamed(instance).ip;
}

std::string Mesh::DomainOfIp(const std::string& ip) const {
  for (const auto& instance : instances_) {
    if (instance->ip == ip) return instance->spec.failure_domain;
  }
  return "";
}

std::string Mesh::CallerUrl(const std::string& instance) const {
  return "http://" + IpOf(instance) + ":" + std::to_string(kCallerPort);
}

std::string Mesh::OperatorUrl(const std::string& instance) const {
  return "http://" + IpOf(instance) + ":" + std::to_string(kOperatorPort);
}

std::string Mesh::UpstreamUrl(const std::string& instance) const {
  return "http://" + IpOf(instance) + ":" + std::to_string(kUpstreamPort);
}

HttpAnswer Mesh::Propose(const std::string& instance,
                         const std::string& patch_id, uint64_t base,
                         const std::string& patch) const {
  const json body = {
      {"patch_id", patch_id}, {"base", base}, {"patch", json::parse(patch)}};
  return SendHttp("POST", OperatorUrl(instance) + "/v1/patches", body.dump());
}

std::optional<uint64_t> Mesh::VersionInUse(const std::string& instance) const {
  const HttpAnswer answer =
      SendHttp("GET", OperatorUrl(instance) + "/v1/status", "", {}, 2000);
  if (answer.status != 200) return std::nullopt;
  return json::parse(answer.body).value("version_in_use", uint64_t{0});
}

bool Mesh::Eventually(const std::function<bool()>& condition,
                      std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

bool Mesh::WaitForVersion(uint64_t number,
                          std::chrono::milliseconds timeout) const {
  return Eventually(
      [&] {
        for (const auto& instance : instances_) {
          if (instance->daemon == nullptr) continue;
          if (VersionInUse(instance->spec.instance).value_or(0) < number) {
            return false;
          }
        }
        return true;
      },
      timeout);
}

bool Mesh::WaitForUpstreams(const std::string& instance, int count,
                            std::chrono::milliseconds timeout) const {
  return Eventually(
      [&] {
        const HttpAnswer answer =
            SendHttp("GET", OperatorUrl(instance) + "/v1/instances");
        if (answer.status != 200) return false;
        int serving = 0;
        for (const json& row : json::parse(answer.body)) {
          if (row["upstream"] == "serving" && row["state"] == "alive") {
            ++serving;
          }
        }
        return serving >= count;
      },
      timeout);
}

double Mesh::Metric(const std::string& instance,
                    const std::string& sample) const {
  const HttpAnswer answer = SendHttp("GET", OperatorUrl(instance) + "/metrics");
  // HELP and TYPE lines contain the name, too, but not at their start.
  const std::string line_start = "\nhibiscusglade_" + sample + " ";
  const size_t start = answer.body.find(line_start);
  if (start == std::string::npos) return 0;
  return std::strtod(answer.body.c_str() + start + line_start.size(), nullptr);
}

void Mesh::WriteSettings(const Instance& instance) const {
  json replicas = json::array();
  for (const auto& other : instances_) {
    if (!other->spec.replica) continue;
    replicas.push_back({{"instance", other->spec.instance},
                        {"failure_domain", other->spec.failure_domain},
                        {"address", other->ip},
                        {"port", kRelayedControlPort}});
  }
  json settings = {
      {"mesh", "test-" + std::to_string(network_)},
      {"instance", instance.spec.instance},
      {"failure_domain", instance.spec.failure_domain},
      {"peer",
       {{"address", instance.ip},
        {"control_port", kControlPort},
        {"request_port", kRequestPort},
        {"advertised",
         {{"address", instance.ip},
          {"control_port", kRelayedControlPort},
          {"request_port", kRelayedRequestPort}}}}},
      {"callers", {{"address", instance.ip}, {"port", kCallerPort}}},
      {"operators", {{"address", instance.ip}, {"port", kOperatorPort}}},
      {"upstream", {{"address", instance.ip}, {"port", kAnnouncementPort}}},
      {"replicas", replicas}};
  if (instance.spec.replica) {
    settings["replica"] = {{"data_folder", DataFolder(instance.spec.instance)}};
  }
  settings.update(json::parse(instance.spec.settings));
  std::ofstream file(folder_ + "/" + instance.spec.instance + ".jsonc");
  file << settings.dump(2) << "\n";
}

const Mesh::Instance& Mesh::InstanceNamed(const std::string& name) const {
  for (const auto& instance : instances_) {
    if (instance->spec.instance == name) return *instance;
  }
  throw std::out_of_range("no instance " + name);
}

}  // namespace hibiscusglade
