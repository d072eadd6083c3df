// Requesters send a further safe request behind a download. A faulty server
// breaks off some downloads; the further request runs at a sound one.
//   broken_front PROGRAM FOLDER RECORD TROUBLE
#include <iostream>
#include <optional>

#include "installation.h"

namespace review {
namespace {

constexpr int kThreads = 4;
constexpr int kRoundsOfThread = 100;
constexpr size_t kArchiveBytes = size_t{1} << 20U;
/// What the faulty server sends of an archive that it breaks off.
constexpr int64_t kBrokenBytes = 300000;
/// The faulty one of two servers breaks off one answer in 20.
constexpr int kBreaksEvery = 20;
constexpr milliseconds kPlotWork{120};
constexpr milliseconds kTimeLimit{2000};
constexpr char kHost[] = "desk.example";
constexpr char kConfiguration[] =
    R"({"version":1,"routes":{"columns":["name","hostname","path_prefix",)"
    R"("route_type","timeout_ms","target_latency_ms","priority",)"
    R"("traffic_split","max_attempts","service"],"rows":[["r-1",)"
    R"("desk.example","/archives/","download",2000,1000,2,null,2,"archives"],)"
    R"(["r-2","desk.example","/plots/","safe",2000,600,2,null,2,"plots"]]},)"
    R"("services":{"columns":["name","health_path","max_connections",)"
    R"("protocol","tls"],"rows":[["archives","/health",130,"h1",false],)"
    R"(["plots","/health",130,"h1",false]]},"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":67108864,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000},"base_version":0})";

std::string Get(const std::string& path, const std::string& id) {
  return "GET " + path + id + " HTTP/1.1\r\nHost: " + kHost +
         "\r\nAttempt-Id: " + id +
         "\r\nTimeout-Ms: " + std::to_string(kTimeLimit.count()) + "\r\n\r\n";
}

/// Sends pairs of an archive and a plot on kept connections.
/// @return the plots that were not answered as the connection ended.
std::vector<std::string> SendPairs(const std::string& ip, int thread,
                                   Record& record) {
  std::vector<std::string> lost;
  Socket connection;
  std::optional<Reader> reader;
  for (int round = 0; round < kRoundsOfThread; ++round) {
    const std::string number =
        std::to_string(thread) + "-" + std::to_string(round);
    const auto until = Clock::now() + kTimeLimit;
    Message answer;
    if (!connection.Ok()) {
      connection = ConnectTo(ip, kOutboundPort);
      reader.emplace(connection);
      const std::string first = "first-" + number;
      if (!SendAll(connection, Get("/plots/", first)) ||
          !reader->Read(answer, until)) {
        connection.Close();
        continue;
      }
    }
    const std::string archive = "archive-" + number;
    const std::string plot = "plot-" + number;
    std::string sent = "sent on one connection: ";
    sent.append(archive).append(", ").append(plot);
    record.Line(sent);
    SendAll(connection, Get("/archives/", archive) + Get("/plots/", plot));
    const bool has_archive = reader->Read(answer, until + milliseconds(500));
    record.Line(archive +
                (has_archive ? " is answered " + std::to_string(answer.Status())
                             : " gets no whole answer"));
    const bool has_plot =
        has_archive && reader->Read(answer, until + milliseconds(500));
    if (has_plot) {
      record.Line(plot + " is answered " + std::to_string(answer.Status()));
      continue;
    }
    record.Line(plot + " gets no answer" +
                (reader->Ended() ? ": the connection was closed" : ""));
    if (reader->Ended()) lost.push_back(plot);
    connection.Close();
  }
  return lost;
}

int Run(const std::string& program, const std::string& folder, Record& record,
        bool trouble) {
  Installation installation(program, folder);
  installation.StartCore();
  std::list<Server> servers;
  std::atomic<int> archives_of_faulty{0};
  const auto start = [&](int number, const std::string& service,
                         const Server::Handler& handler) {
    installation.StartSide(number, service);
    servers.emplace_back(installation.Side(number), Installation::Zone(number),
                         service, 13, handler, record);
  };
  const auto plot = [](const Message&) {
    Reaction reaction;
    reaction.work = kPlotWork;
    return reaction;
  };
  const auto archive = [](const Message&) {
    Reaction reaction;
    reaction.body = std::string(kArchiveBytes, 'a');
    return reaction;
  };
  start(0, "plots", plot);
  start(1, "plots", plot);
  start(2, "archives", archive);
  start(3, "archives", [&](const Message& request) {
    Reaction reaction = archive(request);
    if (trouble && ++archives_of_faulty % kBreaksEvery == 0) {
      reaction.sent = kBrokenBytes;
      reaction.before_end = milliseconds(40);
    }
    return reaction;
  });
  if (!installation.Configure(kConfiguration, record) ||
      !installation.WaitUntilServed(0, kHost, "/plots/") ||
      !installation.WaitUntilServed(0, kHost, "/archives/")) {
    return 2;
  }
  // All machines are in touch from here on.
  std::this_thread::sleep_for(milliseconds(4000));
  std::vector<std::vector<std::string>> lost(kThreads);
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] {
      lost[static_cast<size_t>(i)] = SendPairs(installation.Side(0), i, record);
    });
  }
  for (std::thread& thread : threads) thread.join();
  int passed_on = 0;
  for (const auto& plots : lost) {
    for (const std::string& id : plots) {
      for (Server& server : servers) {
        if (server.RunsOf(id) == 0) continue;
        ++passed_on;
        record.Line(id + " was passed on to a sound server and lost");
      }
    }
  }
  const std::string result =
      std::to_string(passed_on) + " of " +
      std::to_string(kThreads * kRoundsOfThread) +
      " requests at sound servers were lost with their kept connection";
  record.Line(result);
  std::cout << result << "\n";
  return passed_on > 3 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  review::Record record(argv[3]);
  return review::Run(argv[1], argv[2], record, std::string(argv[4]) != "0");
}
