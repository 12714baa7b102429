#include "sim/raft_disk.h"

#include <algorithm>

namespace juniperway::sim {

void RaftDisk::Write(const raft::Ready& ready) {
  state_.commit = std::max(state_.commit, ready.commit);
  if (ready.hard_state) {
    state_.hard_state = *ready.hard_state;
  }
  if (ready.snapshot) {
    state_.snapshot = *ready.snapshot;
    state_.entries.clear();
  }
  if (ready.entries.empty()) {
    return;
  }
  const raft::Index first = ready.entries.front().index;
  std::erase_if(state_.entries, [first](const raft::Entry& entry) {
    return entry.index >= first;
  });
  state_.entries.insert(state_.entries.end(), ready.entries.begin(),
                        ready.entries.end());
}

void RaftDisk::Compact(const raft::Snapshot& snapshot, raft::Index kept) {
  state_.snapshot = snapshot;
  std::erase_if(state_.entries, [&](const raft::Entry& entry) {
    return entry.index + kept <= snapshot.index;
  });
}

void RaftDisk::LoseTail(std::size_t entries) {
  while (entries > 0 && !state_.entries.empty() &&
         state_.entries.back().index > state_.snapshot.index) {
    state_.entries.pop_back();
    --entries;
  }
}

}  // namespace juniperway::sim
