#include "app/internal/settings_watcher.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace hibiscusglade {
namespace {

class AReloadOfTheSettings : public testing::Test {
 protected:
  ~AReloadOfTheSettings() override { std::filesystem::remove(path_); }

  void Write(const std::string& text) const { std::ofstream(path_) << text; }
  void WriteSeeds(const std::string& seeds) const {
    Write(R"({"mesh":"m","instance":"x","failure_domain":"a",
      "peer":{"address":"10.0.0.1","control_port":7000,"request_port":7001,
      "seed_hosts":[)" +
          seeds + "]}}");
  }

  const std::string path_ =
      testing::TempDir() + "settings-" + std::to_string(getpid()) + ".json";
};

TEST_F(AReloadOfTheSettings, PassesOverOddFilesAndTakesTheNextGoodOne) {
  WriteSeeds(R"("10.0.0.2:7000")");
  const SettingsLoadResult load = LoadDaemonSettings(path_);
  ASSERT_FALSE(load.error);
  SettingsWatcher watcher(path_, *load.settings);
  for (const std::string& seed :
       {std::string("18446744073709551616"), std::string("1e999"),
        std::string(100'000, '['), std::string("\"\xff\xfe\"")}) {
    WriteSeeds(R"("10.0.0.2:7000",)" + seed);
    EXPECT_FALSE(watcher.ReloadIfChanged().has_value()) << seed.substr(0, 30);
  }
  for (const char* text : {"", "[]", "{", "7"}) {
    Write(text);
    EXPECT_FALSE(watcher.ReloadIfChanged().has_value()) << text;
  }
  std::filesystem::remove(path_);
  EXPECT_FALSE(watcher.ReloadIfChanged().has_value());
  WriteSeeds(R"("10.0.0.2:7000","10.0.0.3:65536","10.0.0.4:7000")");
  const auto changed = watcher.ReloadIfChanged();
  ASSERT_TRUE(changed.has_value());
  EXPECT_EQ(changed->seeds,
            (std::vector<std::string>{"10.0.0.2:7000", "10.0.0.4:7000"}));
}

}  // namespace
}  // namespace hibiscusglade
