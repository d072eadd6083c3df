#include "admission/admission_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr ResultCodeInfo kCodes[] = {
    {5001, "not-serving", "the upstream is not serving", 503,
     Certainty::kNotRun, "Check that the upstream renews its announcement."},
    {5002, "draining", "the upstream is draining", 503, Certainty::kNotRun,
     "Nothing; callers are served elsewhere."},
    {5003, "queue-full", "the upstream's queue is full", 503,
     Certainty::kNotRun, "Add upstreams, or raise max_queue."},
    {5004, "waited-too-long", "no slot came free in time", 503,
     Certainty::kNotRun, "Add upstreams, or look for slow ones."},
    {5005, "deadline-too-near", "the request can't finish in time", 503,
     Certainty::kNotRun, "Allow more time, or add upstreams."},
    {5006, "quarantined", "the request is blamed for deaths of upstreams", 503,
     Certainty::kNotRun, "See OPERATIONS, A quarantined request."},
    {5007, "wrong-service", "the upstream runs another service", 503,
     Certainty::kNotRun, "Nothing; the entry learns the new service."},
    {5008, "shed", "less important work was refused under load", 503,
     Certainty::kNotRun, "Add upstreams, or raise the class's priority."},
    {5009, "rejected", "the upstream itself turned the request away", 503,
     Certainty::kNotRun, "See why the upstream sheds load."},
    {5010, "replaced", "another upstream uses the address now", 503,
     Certainty::kNotRun,
     "Nothing; requests go to it once it announces itself."},
    {5011, "body-broken", "the request's body did not arrive in order", 503,
     Certainty::kNotRun, "Report it: daemons of the mesh disagree."},
};

}  // namespace

const ResultCodeCategory& AdmissionCategory() {
  static const ResultCodeCategory category("admission", kCodes);
  return category;
}

std::error_code make_error_code(AdmissionCode code) {
  return {static_cast<int>(code), AdmissionCategory()};
}

}  // namespace hibiscusglade
