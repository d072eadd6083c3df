#include "app/result_code_catalog.h"

#include <sstream>

#include "admission/admission_result_codes.h"
#include "base/base_result_codes.h"
#include "caller/caller_result_codes.h"
#include "claims/claims_result_codes.h"
#include "consensus/consensus_result_codes.h"
#include "http/http_result_codes.h"
#include "operator/operator_result_codes.h"
#include "peer/peer_result_codes.h"
#include "routing/routing_result_codes.h"
#include "upstream/upstream_result_codes.h"
#include "versions/versions_result_codes.h"

namespace hibiscusglade {

std::vector<const ResultCodeCategory*> AllResultCodeCategories() {
  return {&BaseCategory(),     &VersionsCategory(),  &ConsensusCategory(),
          &RoutingCategory(),  &AdmissionCategory(), &ClaimsCategory(),
          &CallerCategory(),   &UpstreamCategory(),  &PeerCategory(),
          &OperatorCategory(), &HttpCategory()};
}

std::string DescribeResultCodes() {
  std::ostringstream out;
  out << "| code | name | meaning | HTTP | outcome | what to do |\n"
      << "|---|---|---|---|---|---|\n";
  for (const ResultCodeCategory* category : AllResultCodeCategories()) {
    for (const ResultCodeInfo& info : category->Codes()) {
      out << "| " << info.number << " | " << category->name() << " "
          << info.name << " | " << info.text << " | " << info.http_status
          << " | " << CertaintyName(info.certainty) << " | " << info.action
          << " |\n";
    }
  }
  return out.str();
}

}  // namespace hibiscusglade
