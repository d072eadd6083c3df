#ifndef HIBISCUSGLADE_OWNER_INTERNAL_JOB_TABLE_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_JOB_TABLE_H_

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "admission/admission.h"
#include "owner/internal/job.h"
#include "owner/owner.h"

namespace hibiscusglade {

/// The attempts that one owner is handling.
class JobTable {
 public:
  /// Adds the job of an attempt that the table does not contain.
  /// @return its id; later jobs have greater ones.
  SlotRequestId Add(Job job) {
    const SlotRequestId id = ++last_id_;
    by_attempt_[job.attempt.id] = id;
    jobs_[id] = std::move(job);
    return id;
  }

  /// @return nullptr when there is no such job.
  Job* Find(SlotRequestId id) {
    auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
  }

  /// @return the job with an id that the table contains.
  Job& operator[](SlotRequestId id) { return jobs_.at(id); }

  std::optional<SlotRequestId> IdOf(const AttemptId& attempt) const {
    auto found = by_attempt_.find(attempt);
    if (found == by_attempt_.end()) return std::nullopt;
    return found->second;
  }

  void Remove(SlotRequestId id) {
    auto found = jobs_.find(id);
    by_attempt_.erase(found->second.attempt.id);
    jobs_.erase(found);
  }

  std::vector<SlotRequestId> Ids() const {
    std::vector<SlotRequestId> ids;
    for (const auto& [id, job] : jobs_) ids.push_back(id);
    return ids;
  }

  /// @return the jobs at a stage whose deadline is later than `after`.
  std::vector<SlotRequestId> IdsAt(JobStage stage, Instant after = {}) const {
    std::vector<SlotRequestId> ids;
    for (const auto& [id, job] : jobs_) {
      if (job.stage == stage && job.deadline > after) ids.push_back(id);
    }
    return ids;
  }

  bool Empty() const { return jobs_.empty(); }

  /// @return the latest deadline of a job; Instant{} if there is none.
  Instant LatestDeadline() const {
    Instant latest{};
    for (const auto& [id, job] : jobs_) latest = std::max(latest, job.deadline);
    return latest;
  }

  OwnerUsage Usage() const {
    OwnerUsage usage;
    for (const auto& [id, job] : jobs_) {
      ++usage.jobs;
      usage.request_bytes +=
          job.attempt.request.body.size() + job.run_body_bytes;
      usage.answer_bytes += job.body.size() + job.encoded_answer.size();
    }
    return usage;
  }

 private:
  std::map<SlotRequestId, Job> jobs_;
  std::map<AttemptId, SlotRequestId> by_attempt_;
  SlotRequestId last_id_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_JOB_TABLE_H_
