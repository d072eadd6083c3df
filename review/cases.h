#ifndef HIBISCUSGLADE_REVIEW_CASES_H_
#define HIBISCUSGLADE_REVIEW_CASES_H_

#include <string>

namespace review {

struct CaseSettings {
  std::string daemon;  ///< Path of the program of the deploy file.
  std::string folder;  ///< Temporary folder.
  bool trouble = true;
};

/// @return the exit status of the case's script.
int CrashingRequest(const CaseSettings& settings);
int FirstConfiguration(const CaseSettings& settings);
int ForgottenLeave(const CaseSettings& settings);
int LargeBody(const CaseSettings& settings);
int PipelinedDownload(const CaseSettings& settings);

}  // namespace review

#endif  // HIBISCUSGLADE_REVIEW_CASES_H_
