#include "versions/document_editor.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include "versions/config_reader.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;

constexpr char kDocument[] = R"({
  "services": {"plots": {}, "tags": {"max_queue": 5}},
  "classes": {"short": {}, "a/b": {"priority": 3}},
  "limits": {},
  "customers": {"acme": {"keys": ["00000000000000000000000000000001"]}},
  "routes": {
    "r0": {"path_prefix": "/0/", "service": "plots", "class": "short"},
    "r1": {"path_prefix": "/1/", "class": "a/b",
           "shares": [{"service": "plots", "weight": 1},
                      {"service": "tags", "weight": 2}]}}})";

ConfigVersionPtr BaseVersion() {
  std::vector<SettingsFault> faults;
  return MakeConfigVersion(1, 0, json::parse(kDocument).dump(), "", faults);
}

/// A patch operation that may or may not apply, and may make the document
/// invalid.
json RandomOperation() {
  const auto kind = *rc::gen::element<std::string>(
      "add", "replace", "remove", "test", "move", "copy", "other");
  const auto path = *rc::gen::element<std::string>(
      "/routes/r0", "/routes/r1", "/routes/new", "/routes/r0/timeout_ms",
      "/routes/r1/shares/0/weight", "/routes/r1/shares/-", "/routes/none/x",
      "/classes/a~1b", "/classes/a~1b/priority", "/classes/~2",
      "/services/tags", "/services/tags/max_queue", "/services/-",
      "/customers/acme", "/customers/acme/keys/0", "/customers/acme/burst",
      "/customers/new", "/customers", "/keys_required",
      "/limits/max_owner_tries", "/limits", "/routes", "/other", "", "routes");
  const auto value = *rc::gen::element<std::string>(
      "7", "{}", "null", "\"text\"",
      R"({"keys": ["00000000000000000000000000000001"]})",
      R"({"max_queue": 7})", R"({"service": "tags", "weight": 4})",
      R"({"path_prefix": "/n/", "service": "tags", "class": "short"})",
      R"({"path_prefix": "/n/", "service": "gone", "class": "short"})");
  json operation = {{"op", kind}, {"path", path}};
  if (kind != "remove") operation["value"] = json::parse(value);
  if (kind == "move" || kind == "copy") {
    operation["from"] = *rc::gen::element<std::string>(
        "/routes/r0", "/routes/none", "/services/tags");
  }
  return operation;
}

RC_GTEST_PROP(AnEditorOfRandomPatches, GivesTheSameVersionAsTheWholeDocument,
              ()) {
  ConfigVersionPtr expected = BaseVersion();
  DocumentEditor editor(expected);
  const int patches = *rc::gen::inRange(1, 6);
  for (int i = 0; i < patches; ++i) {
    json operations = json::array();
    const int count = *rc::gen::inRange(0, 4);
    for (int n = 0; n < count; ++n) operations.push_back(RandomOperation());
    const std::string patch = operations.dump();
    std::vector<SettingsFault> faults;
    std::vector<SettingsFault> expected_faults;
    DocumentEditor next = editor;
    const bool applies = next.Apply(patch, faults);
    const auto text = ApplyPatch(expected->text, patch, expected_faults);
    RC_ASSERT(applies == text.has_value());
    if (!applies) continue;
    RC_ASSERT(next.Text() == *text);
    const uint64_t number = expected->number + 1;
    const auto version = next.Build(number, expected->number, patch, faults);
    const auto expected_version = MakeConfigVersion(
        number, expected->number, *text, patch, expected_faults);
    RC_ASSERT((version == nullptr) == (expected_version == nullptr));
    RC_ASSERT(faults == expected_faults);
    if (version == nullptr) continue;
    RC_ASSERT(*version == *expected_version);
    editor = next;
    expected = expected_version;
  }
}

class AnEditorOfOneVersion : public testing::Test {
 protected:
  bool Apply(const std::string& patch) { return editor_.Apply(patch, faults_); }

  std::vector<SettingsFault> faults_;
  DocumentEditor editor_{BaseVersion()};
};

TEST_F(AnEditorOfOneVersion, HasTheTextOfTheVersionAtFirst) {
  EXPECT_EQ(editor_.Text(), BaseVersion()->text);
}

TEST_F(AnEditorOfOneVersion, BuildsAVersionOfSeveralPatches) {
  ASSERT_TRUE(Apply(
      R"([{"op": "replace", "path": "/routes/r1/shares/0/weight",
           "value": 9}])"));
  ASSERT_TRUE(Apply(R"([{"op": "remove", "path": "/routes/r0"}])"));
  const ConfigVersionPtr version = editor_.Build(4, 1, "", faults_);
  ASSERT_NE(version, nullptr);
  EXPECT_EQ(version->document.routes.size(), 1U);
  EXPECT_EQ(version->document.routes.at("r1").shares.at(0).weight, 9U);
  EXPECT_EQ(editor_.Base(), version);
}

TEST_F(AnEditorOfOneVersion, NamesTheFaultsOfAnInvalidDocument) {
  ASSERT_TRUE(Apply(R"([{"op": "remove", "path": "/services/tags"}])"));
  EXPECT_EQ(editor_.Build(2, 1, "", faults_), nullptr);
  ASSERT_EQ(faults_.size(), 1U);
  EXPECT_EQ(faults_[0].pointer, "/routes/r1/shares");
}

}  // namespace
}  // namespace hibiscusglade
