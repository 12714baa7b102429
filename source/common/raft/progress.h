// What a leader knows of one peer: how far its log agrees, what is under way to
// it, and when it last answered.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

#include "common/base/time.h"
#include "common/raft/types.h"

namespace juniperway::raft {

enum class PeerState {
  kProbe,      // where the logs agree isn't known; one append at a time
  kReplicate,  // appends are pipelined
  kSnapshot,   // a snapshot is under way
};

// A heartbeat broadcast by the leader.
struct HeartbeatRound {
  std::uint64_t number = 0;
  MonotonicTime sent_at;
  // What a peer must hold to count as caught up when it answers this round.
  Index required_index = 0;
};

struct PeerProgress {
  PeerState state = PeerState::kProbe;
  Index match = 0;  // known to be held and synced there
  Index next = 1;   // next entry to send
  // kProbe: an append awaits its answer (or the next heartbeat's).
  bool probe_sent = false;
  // kReplicate: last index of each append without an answer, ascending.
  std::deque<Index> in_flight;
  // kSnapshot: what was sent, and when.
  Index snapshot_index = 0;
  MonotonicTime snapshot_sent_at;

  bool heartbeat_due = false;
  // Highest commit index that it was told.
  Index sent_commit = 0;
  std::optional<MonotonicTime> last_heard;
  // The latest round that it answered.
  std::optional<HeartbeatRound> answered;
  // It denied entries that it had acknowledged as synced: its disk was lost or
  // replaced. It can't be trusted until it is replaced under a new id.
  bool regressed = false;

  bool IsActive(MonotonicTime now, Duration election_timeout) const {
    return last_heard && now - *last_heard < election_timeout;
  }
  bool IsCaughtUp() const {
    return !regressed && answered && match >= answered->required_index;
  }
  void BecomeProbe(Index next_index) {
    state = PeerState::kProbe;
    next = next_index;
    probe_sent = false;
    in_flight.clear();
  }
  void BecomeReplicate() {
    state = PeerState::kReplicate;
    next = std::max(next, match + 1);
    probe_sent = false;
  }
};

}  // namespace juniperway::raft
