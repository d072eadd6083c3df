#include "control/internal/start_reporter.h"

#include <chrono>
#include <string>

#include "base/log.h"

namespace hibiscusglade {
namespace {

std::string NameOf(StartStage stage) {
  switch (stage) {
    case StartStage::kPeers:
      return "peers";
    case StartStage::kLeader:
      return "leader";
    case StartStage::kFloor:
      return "floor";
    case StartStage::kVersion:
      return "version";
    case StartStage::kUpstream:
      break;
  }
  return "upstream";
}

}  // namespace

void StartReporter::OnStage(StartStage stage, Instant now) {
  if (!reached_.insert(stage).second) return;
  const Duration taken = now - started_;
  metrics_.SetGauge("start_stage_seconds", "stage=\"" + NameOf(stage) + "\"",
                    std::chrono::duration<double>(taken).count());
  Log(LogLevel::kInfo, "control", "A stage of the start is reached.",
      {{"stage", NameOf(stage)}, {"after_ms", MillisText(taken)}});
}

}  // namespace hibiscusglade
