// Who belongs to the group: look-ups, single-member changes, and the history of
// configurations in the log. A configuration is in force from the moment its
// entry is appended, so truncating the log takes it back.
#pragma once

#include <deque>
#include <vector>

#include "common/raft/types.h"

namespace juniperway::raft {

bool IsVoter(const Configuration& configuration, NodeId id);
bool IsLearner(const Configuration& configuration, NodeId id);
bool IsMember(const Configuration& configuration, NodeId id);
// Voters, then learners.
std::vector<Member> AllMembers(const Configuration& configuration);

// The configuration with one change made. The caller checked that it applies.
Configuration WithLearner(Configuration configuration, const Member& member);
Configuration WithPromotion(Configuration configuration, NodeId id);
Configuration WithoutMember(Configuration configuration, NodeId id);

// What the store of each of these voters holds at the first start of a group.
Snapshot MakeFirstSnapshot(std::vector<Member> voters);

class ConfigurationHistory {
 public:
  // `base` is in force up to and including `index`.
  ConfigurationHistory(Index index, Configuration base);

  const Configuration& latest() const { return records_.back().configuration; }
  // Position of the entry that brought latest() (or of the base).
  Index latest_index() const { return records_.back().index; }
  // The one in force after the entry at `index`.
  const Configuration& At(Index index) const;

  void Append(Index index, Configuration configuration);
  // Takes back configurations from entries at `first` and later.
  void TruncateFrom(Index first);
  // Forgets those that are no longer in force at `index`.
  void CompactTo(Index index);

 private:
  struct Record {
    Index index = 0;
    Configuration configuration;
  };
  std::deque<Record> records_;  // never empty, ascending
};

}  // namespace juniperway::raft
