// Decides which control nodes become or stop being voters when the control
// group repairs itself. A voter that is lost, or that has restarted without its
// data, is replaced by a learner. LeaderRole owns the MemberRepair and carries
// out one step at a time. Does no I/O; the time is an argument.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <variant>

#include "common/base/time.h"
#include "common/raft/fsm.h"

namespace juniperway::control {

// Make a learner a voter.
struct PromoteStep {
  raft::NodeId id = raft::kNoNode;
};
// Remove a voter or learner from the group.
struct RemoveStep {
  raft::NodeId id = raft::kNoNode;
};
using MemberStep = std::variant<PromoteStep, RemoveStep>;

// Tracks the inactivity of members and chooses the next step.
class MemberRepair {
 public:
  struct Options {
    // Target number of voters: 2 x tolerated losses + 1.
    std::size_t wanted_voters = 3;
    // The leader replaces a voter that has been inactive for this long when a
    // learner is ready.
    Duration voter_replacement_delay = seconds(1);
    // The leader removes a learner that has been inactive for this long.
    Duration learner_removal_delay = seconds(20);
  };

  explicit MemberRepair(const Options& options) : options_(options) {}

  // @param status consensus status of this node, which must be the leader.
  // @return the next change; nothing when no member has to be replaced or no
  //   learner is ready.
  std::optional<MemberStep> Next(const raft::Status& status, MonotonicTime now);

 private:
  void UpdateInactivity(const raft::Status& status, MonotonicTime now);
  bool IsLost(const raft::Status& status, const raft::Progress& progress,
              MonotonicTime now) const;

  Options options_;
  // Term in which inactive_since_ was seen.
  raft::Term term_ = 0;
  // Members that do not answer, with the start of their inactivity.
  std::map<raft::NodeId, MonotonicTime> inactive_since_;
};

}  // namespace juniperway::control
