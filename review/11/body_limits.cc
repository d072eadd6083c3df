// Requesters with kept connections send larger bodies after a configuration
// that allows them was acknowledged.
//   body_limits PROGRAM FOLDER RECORD TROUBLE
#include <iostream>

#include "installation.h"

namespace review {
namespace {

constexpr int kConnections = 40;
constexpr size_t kSmallBody = 2000;
constexpr size_t kLargeBody = 30000;
constexpr int kSmallLimit = 16384;
constexpr int kLargeLimit = 65536;
/// The bound config_apply_ms is 2,000.
constexpr milliseconds kAfterAcknowledgement{4000};
constexpr char kHost[] = "desk.example";

std::string Configuration(int version, int base, int max_body_bytes) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":{\"columns\":[\"name\",\"hostname\",\"path_prefix\","
         "\"route_type\",\"timeout_ms\",\"target_latency_ms\",\"priority\","
         "\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":[[\"r-1\","
         "\"desk.example\",\"/orders/\",\"unsafe\",1200,300,1,null,2,"
         "\"orders\"],[\"r-2\",\"desk.example\",\"/pages/\",\"safe\",1000,300,"
         "2,null,2,\"orders\"]]},\"services\":{\"columns\":[\"name\","
         "\"health_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":[["
         "\"orders\",\"/health\",130,\"h1\",false]]},\"limits\":{"
         "\"max_header_bytes\":16384,\"max_body_bytes\":" +
         std::to_string(max_body_bytes) +
         ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
         "\"base_version\":" +
         std::to_string(base) + "}";
}

std::string Order(const std::string& id, size_t bytes) {
  return "POST /orders/" + id + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nAttempt-Id: " + id +
         "\r\nTimeout-Ms: 1200\r\nContent-Type: "
         "text/plain\r\nContent-Length: " +
         std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x');
}

/// @return the status of the answer; 0 without one.
int SendOrder(const Socket& connection, Reader& reader, const std::string& id,
              size_t bytes, Record& record) {
  Message answer;
  if (!SendAll(connection, Order(id, bytes)) ||
      !reader.Read(answer, Clock::now() + milliseconds(2000))) {
    record.Line("order " + id + " of " + std::to_string(bytes) +
                " bytes: no answer");
    return 0;
  }
  record.Line("order " + id + " of " + std::to_string(bytes) +
              " bytes is answered " + std::to_string(answer.Status()));
  return answer.Status();
}

int Run(const std::string& program, const std::string& folder, Record& record,
        bool trouble) {
  Installation installation(program, folder);
  installation.StartCore();
  std::list<Server> servers;
  for (int i = 0; i < 3; ++i) {
    installation.StartSide(i, "orders");
    servers.emplace_back(
        installation.Side(i), Installation::Zone(i), "orders", 13,
        [](const Message&) { return Reaction{}; }, record);
  }
  const int first_limit = trouble ? kSmallLimit : kLargeLimit;
  if (!installation.Configure(Configuration(1, 0, first_limit), record) ||
      !installation.WaitUntilServed(0, kHost, "/pages/1")) {
    return 2;
  }
  // What the configuration of the whole installation is in force everywhere.
  std::this_thread::sleep_for(kAfterAcknowledgement);
  std::list<Socket> connections;
  std::list<Reader> readers;
  for (int i = 0; i < kConnections; ++i) {
    connections.push_back(ConnectTo(installation.Side(0), kOutboundPort));
    readers.emplace_back(connections.back());
    if (SendOrder(connections.back(), readers.back(),
                  "small-" + std::to_string(i), kSmallBody, record) != 200) {
      return 2;
    }
  }
  if (trouble &&
      !installation.Configure(Configuration(3, 1, kLargeLimit), record)) {
    return 2;
  }
  std::this_thread::sleep_for(kAfterAcknowledgement);
  int refused = 0;
  int number = 0;
  auto reader = readers.begin();
  for (const Socket& connection : connections) {
    const int status =
        SendOrder(connection, *reader++, "large-" + std::to_string(number++),
                  kLargeBody, record);
    if (status >= 400 && status < 500) ++refused;
  }
  // What a new connection is answered, for comparison.
  const Message fresh = Call(installation.Side(0), kOutboundPort,
                             Order("fresh", kLargeBody), milliseconds(2000));
  record.Line("order fresh on a new connection is answered " +
              std::to_string(fresh.Status()));
  const std::string result =
      std::to_string(refused) + " of " + std::to_string(kConnections) +
      " proper orders on kept connections were refused with a 4xx";
  record.Line(result);
  std::cout << result << "\n";
  return refused > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  review::Record record(argv[3]);
  return review::Run(argv[1], argv[2], record, std::string(argv[4]) != "0");
}
