#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>

#include "distribution/tests/ask_directories.h"
#include "distribution/version_follower.h"
#include "versions/config_reader.h"

namespace hibiscusglade {
namespace {

constexpr uint64_t kVersions = 12;

/// Versions 1 to kVersions, each with one service more than the one before.
std::vector<ConfigVersionPtr> History() {
  std::vector<ConfigVersionPtr> versions = {EmptyConfigVersion()};
  for (uint64_t number = 1; number <= kVersions; ++number) {
    std::vector<SettingsFault> faults;
    const std::string patch = R"([{"op":"add","path":"/services/s)" +
                              std::to_string(number) + R"(","value":{}}])";
    auto text = ApplyPatch(versions.back()->text, patch, faults);
    versions.push_back(
        MakeConfigVersion(number, number - 1, *text, patch, faults));
  }
  return versions;
}

/// Answer to a pull from version `base`, by a peer whose latest is `to`.
VersionPullAnswer AnswerOf(const std::vector<ConfigVersionPtr>& versions,
                           uint64_t base, uint64_t to, bool whole) {
  VersionPullAnswer answer;
  answer.number = to;
  answer.digest = versions[to]->digest;
  if (whole) {
    answer.whole = versions[to]->text;
    return answer;
  }
  answer.base_number = base;
  answer.base_digest = versions[base]->digest;
  for (uint64_t number = base + 1; number <= to; ++number) {
    answer.steps.push_back({number, versions[number]->patch});
  }
  return answer;
}

RC_GTEST_PROP(AFollowerOfRandomMessages, ActivatesOnlyNewerAcceptedVersions,
              ()) {
  const auto versions = History();
  Instant now(std::chrono::seconds(1000));
  EmptyAskDirectory directory;
  auto follower = MakeVersionFollower({"x", "a"}, 1, now, directory);
  follower->SetPeers({{"z", "a", "z", false}});
  const auto floor = *rc::gen::inRange<uint64_t>(0, kVersions);
  std::optional<uint64_t> in_use;  // Version 0 can be in use, too.
  const int steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    const auto base = *rc::gen::inRange<uint64_t>(0, kVersions);
    const auto to = *rc::gen::inRange<uint64_t>(base + 1, kVersions + 1);
    FollowerEffects effects;
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        effects = follower->OnCommitted(versions[to], now);
        break;
      case 1:
        effects = follower->OnLatestRead(floor, now, now);
        break;
      default: {
        VersionPullAnswer answer =
            AnswerOf(versions, base, to, *rc::gen::arbitrary<bool>());
        answer.unsolicited = *rc::gen::arbitrary<bool>();
        answer.forward_to = *rc::gen::inRange(0U, 2U);
        effects = follower->OnMessage("y", answer, now);
        if (effects.activate == nullptr) {
          effects = follower->ApplyReceived(now);
        }
      }
    }
    if (effects.activate == nullptr) continue;
    RC_ASSERT(follower->FloorKnown());
    RC_ASSERT(effects.activate->number >= floor);
    RC_ASSERT(!in_use.has_value() || effects.activate->number > *in_use);
    in_use = effects.activate->number;
    RC_ASSERT(effects.activate->text == versions[*in_use]->text);
  }
}

}  // namespace
}  // namespace hibiscusglade
