// A simulated disk of one consensus node: what a store would hold.
#pragma once

#include <cstddef>
#include <vector>

#include "common/raft/fsm.h"

namespace juniperway::sim {

class RaftDisk {
 public:
  explicit RaftDisk(const raft::Configuration& initial) {
    state_.snapshot.configuration = initial;
  }

  const raft::InitialState& state() const { return state_; }

  // What a synced write of `ready` leaves.
  void Write(const raft::Ready& ready);
  // Stores a local snapshot and drops entries up to it, except `kept`.
  void Compact(const raft::Snapshot& snapshot, raft::Index kept);

  // Defects of a disk or driver, for the tests of the checker.
  void ForgetVote() { state_.hard_state.voted_for = raft::kNoNode; }
  void LoseTail(std::size_t entries);

 private:
  raft::InitialState state_;
};

}  // namespace juniperway::sim
