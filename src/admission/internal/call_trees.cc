#include "admission/call_trees.h"

#include <algorithm>
#include <map>

namespace hibiscusglade {
namespace {

/// Time over which runs are counted before the refused part is set anew: longer
/// than usual runs, so that most of the runs counted began under the last one.
constexpr Duration kWindow = std::chrono::milliseconds(500);
/// Fewer runs tell nothing; they are counted on.
constexpr int kMinRuns = 8;
/// A smaller part in vain is left to chance: refusing it would turn away as
/// many requests that can be served.
constexpr double kTolerated = 0.1;
/// No class is turned away wholly: the least that passes.
constexpr double kMostRefused = 0.75;
/// How far the refused part goes in one window towards the part in vain.
constexpr double kApproach = 0.6;
constexpr double kNegligible = 0.03;
/// Runs of a class that are older than this tell nothing of it now.
constexpr Duration kForgottenAfter = std::chrono::seconds(5);
/// By then the refused part is set anew.
constexpr Duration kRetryAfter = kWindow / 2;

class CallTreesImpl : public CallTrees {
 public:
  void OnCallRefused(Instant now) override { last_refused_call_ = now; }

  void OnRunEnded(const std::string& request_class, Instant started,
                  bool failed, Instant now) override {
    const bool in_vain = failed && last_refused_call_ >= started;
    auto found = classes_.find(request_class);
    // A class whose calls are served costs nothing.
    if (found == classes_.end()) {
      if (!in_vain) return;
      found = classes_.emplace(request_class, State{}).first;
      found->second.window_start = now;
    }
    State& state = found->second;
    ++state.runs;
    state.in_vain += in_vain ? 1 : 0;
    state.last_run = now;
    if (now < state.window_start + kWindow || state.runs < kMinRuns) return;
    SetRefused(state);
    state.window_start = now;
    state.runs = state.in_vain = 0;
    if (state.refused == 0) classes_.erase(found);
  }

  std::optional<Duration> RefuseNew(const std::string& request_class,
                                    Instant now) override {
    const auto found = classes_.find(request_class);
    if (found == classes_.end()) return std::nullopt;
    State& state = found->second;
    if (now >= state.last_run + kForgottenAfter) {
      classes_.erase(found);
      return std::nullopt;
    }
    state.due += state.refused;
    if (state.due < 1) return std::nullopt;
    state.due -= 1;
    return kRetryAfter;
  }

 private:
  struct State {
    Instant window_start;
    Instant last_run;
    int runs = 0;
    int in_vain = 0;
    double refused = 0;  ///< Part of new requests.
    double due = 0;      ///< Refusals due; below 1.
  };

  static void SetRefused(State& state) {
    const double in_vain = static_cast<double>(state.in_vain) / state.runs;
    const double target = in_vain > kTolerated ? in_vain : 0;
    state.refused += kApproach * (target - state.refused);
    state.refused = std::min(kMostRefused, state.refused);
    if (state.refused < kNegligible) state.refused = 0;
  }

  Instant last_refused_call_;
  std::map<std::string, State> classes_;
};

}  // namespace

std::unique_ptr<CallTrees> MakeCallTrees() {
  return std::make_unique<CallTreesImpl>();
}

}  // namespace hibiscusglade
