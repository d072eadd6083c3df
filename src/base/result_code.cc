#include "base/result_code.h"

namespace hibiscusglade {

std::string_view CertaintyName(Certainty certainty) {
  switch (certainty) {
    case Certainty::kNotRun:
      return "not-run";
    case Certainty::kUnknown:
      return "unknown";
    case Certainty::kNotApplicable:
      break;
  }
  return "-";
}

std::string ResultCodeCategory::message(int number) const {
  const ResultCodeInfo* info = Find(number);
  if (info == nullptr) return "unlisted code " + std::to_string(number);
  return std::string(info->text);
}

const ResultCodeInfo* ResultCodeCategory::Find(int number) const {
  for (const ResultCodeInfo& info : codes_) {
    if (info.number == number) return &info;
  }
  return nullptr;
}

const ResultCodeInfo* FindResultCode(const std::error_code& error) {
  const auto* category =
      dynamic_cast<const ResultCodeCategory*>(&error.category());
  return category == nullptr ? nullptr : category->Find(error.value());
}

}  // namespace hibiscusglade
