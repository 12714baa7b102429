#include "common/control/member_repair.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace juniperway::control {
namespace {

bool IsReady(const raft::Progress& progress) {
  return progress.active && progress.caught_up && !progress.regressed;
}

// Whether another member is active at this member's address, which means that
// the control node has restarted without its data, under a new id.
bool IsSuperseded(const raft::Status& status, const raft::Progress& progress) {
  return !progress.active &&
         std::ranges::any_of(
             status.progress, [&progress](const raft::Progress& other) {
               return other.member.id != progress.member.id && other.active &&
                      other.member.address == progress.member.address;
             });
}

}  // namespace

void MemberRepair::UpdateInactivity(const raft::Status& status,
                                    MonotonicTime now) {
  // A new leader has heard nobody yet, so every member is inactive until its
  // first answer. What this node saw when it led before proves nothing now.
  if (std::exchange(term_, status.term) != status.term) {
    inactive_since_.clear();
  }
  std::map<raft::NodeId, MonotonicTime> inactive;
  for (const raft::Progress& progress : status.progress) {
    if (!progress.active) {
      const auto known = inactive_since_.find(progress.member.id);
      inactive[progress.member.id] =
          known == inactive_since_.end() ? now : known->second;
    }
  }
  inactive_since_ = std::move(inactive);
}

bool MemberRepair::IsLost(const raft::Status& status,
                          const raft::Progress& progress,
                          MonotonicTime now) const {
  const auto inactive = inactive_since_.find(progress.member.id);
  const bool unresponsive =
      inactive != inactive_since_.end() &&
      now - inactive->second >= options_.voter_replacement_delay;
  return progress.regressed || unresponsive || IsSuperseded(status, progress);
}

std::optional<MemberStep> MemberRepair::Next(const raft::Status& status,
                                             MonotonicTime now) {
  UpdateInactivity(status, now);
  const std::size_t voters = status.configuration.voters.size();
  std::vector<raft::NodeId> lost_voters;
  std::optional<raft::NodeId> ready_learner;
  for (const raft::Progress& progress : status.progress) {
    if (progress.voter && IsLost(status, progress, now)) {
      lost_voters.push_back(progress.member.id);
    }
    if (!progress.voter && IsReady(progress)) {
      ready_learner = progress.member.id;
    }
  }
  const std::size_t live_voters = voters - lost_voters.size();
  if (ready_learner && live_voters < options_.wanted_voters) {
    return PromoteStep{*ready_learner};
  }
  if (!lost_voters.empty() && voters > options_.wanted_voters) {
    return RemoveStep{lost_voters.front()};
  }
  for (const raft::Progress& progress : status.progress) {
    const auto inactive = inactive_since_.find(progress.member.id);
    const bool expired =
        inactive != inactive_since_.end() &&
        now - inactive->second >= options_.learner_removal_delay;
    if (!progress.voter && (expired || IsSuperseded(status, progress))) {
      return RemoveStep{progress.member.id};
    }
  }
  return std::nullopt;
}

}  // namespace juniperway::control
