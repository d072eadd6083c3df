#ifndef HIBISCUSGLADE_BASE_RESULT_CODE_H_
#define HIBISCUSGLADE_BASE_RESULT_CODE_H_

#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace hibiscusglade {

/// Whether the upstream may have executed a failed request.
enum class Certainty {
  kNotApplicable,  ///< The code does not describe the failure of a request.
  kNotRun,         ///< The request was not executed and never will be.
  kUnknown,        ///< The request may have been executed.
};

/// One row of docs/RESULT_CODES.md.
struct ResultCodeInfo {
  int number;
  std::string_view name;
  std::string_view text;
  int http_status;
  Certainty certainty;
  std::string_view action;  ///< What an operator does about it.
};

/// @return "not-run", "unknown" or, when not applicable, "-".
std::string_view CertaintyName(Certainty certainty);

/// Error category of a module, based on its table of result codes.
class ResultCodeCategory : public std::error_category {
 public:
  /// @param name the module's name.
  /// @param codes the module's table; it must outlive the category.
  ResultCodeCategory(const char* name, std::span<const ResultCodeInfo> codes)
      : name_(name), codes_(codes) {}

  const char* name() const noexcept override { return name_; }
  std::string message(int number) const override;

  /// @return the row of a code, or nullptr when the module has no such code.
  const ResultCodeInfo* Find(int number) const;

  /// @return all rows of the module.
  std::span<const ResultCodeInfo> Codes() const { return codes_; }

 private:
  const char* name_;
  std::span<const ResultCodeInfo> codes_;
};

/// @return the row of an error made from a ResultCodeCategory, else nullptr.
const ResultCodeInfo* FindResultCode(const std::error_code& error);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_RESULT_CODE_H_
