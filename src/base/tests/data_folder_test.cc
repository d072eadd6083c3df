#include "base/data_folder.h"

#include <gtest/gtest.h>

#include <filesystem>

namespace hibiscusglade {
namespace {

class ADataFolder : public testing::Test {
 protected:
  void SetUp() override {
    std::filesystem::remove_all(path_);
    folder_ = OpenDataFolder(path_, error_);
    ASSERT_NE(folder_, nullptr);
  }
  void TearDown() override {
    folder_.reset();
    std::filesystem::remove_all(path_);
  }

  std::string path_ =
      testing::TempDir() + "data_folder_test." +
      testing::UnitTest::GetInstance()->current_test_info()->name();
  std::error_code error_;
  std::unique_ptr<DataFolder> folder_;
};

TEST_F(ADataFolder, ReplacesTheContentOfAFile) {
  EXPECT_FALSE(folder_->WriteAtomically("term", "1"));
  EXPECT_FALSE(folder_->WriteAtomically("term", "22"));
  EXPECT_EQ(folder_->Read("term", error_), "22");
  EXPECT_EQ(folder_->Names(), std::vector<std::string>{"term"});
}

TEST_F(ADataFolder, KeepsAppendedBytesInOrder) {
  auto file = folder_->OpenAppend("log", error_);
  ASSERT_NE(file, nullptr);
  EXPECT_FALSE(file->Append("ab"));
  EXPECT_FALSE(file->Append("cd"));
  EXPECT_FALSE(file->Sync());
  EXPECT_FALSE(file->Truncate(3));
  EXPECT_EQ(folder_->Read("log", error_), "abc");
}

TEST_F(ADataFolder, KeepsASecondProcessOut) {
  std::error_code error;
  EXPECT_EQ(OpenDataFolder(path_, error), nullptr);
  EXPECT_TRUE(error);
}

}  // namespace
}  // namespace hibiscusglade
