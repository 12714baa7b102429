// Types of the consensus module. The state machine (fsm.h) is pure: time,
// randomness and messages are arguments; what is to be written and sent comes
// back as values (Ready). The driver in control/ does the I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/base/time.h"

namespace juniperway::raft {

using NodeId = std::uint64_t;  // never 0
using Term = std::uint64_t;
using Index = std::uint64_t;
inline constexpr NodeId kNoNode = 0;

struct Member {
  NodeId id = kNoNode;
  std::string address;  // "ip:port" of its internal listener
  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Member&) const = default;
};

// Who votes and who only receives (learners). A change adds or removes one
// voter at a time, and a new one only after it caught up as a learner.
struct Configuration {
  std::vector<Member> voters;
  std::vector<Member> learners;
  bool operator==(const Configuration&) const = default;
};

enum class EntryKind : std::uint8_t { kCommand, kConfiguration, kNoOperation };

struct Entry {
  Term term = 0;
  Index index = 0;
  EntryKind kind = EntryKind::kNoOperation;
  std::string data;  // the command, or a serialized Configuration
  bool operator==(const Entry&) const = default;
};

// Must be synced before any message that depends on it is sent.
struct HardState {
  Term term = 0;
  NodeId voted_for = kNoNode;
  bool operator==(const HardState&) const = default;
};

// State of the replicated machine up to and including `index`.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Configuration configuration;
  std::string data;
};

enum class MessageKind : std::uint8_t {
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,  // also the heartbeat, when it has no entries
  kAppendReply,
  kInstallSnapshot,
  kInstallSnapshotReply,
  kTimeoutNow,  // leadership transfer
};

struct Message {
  MessageKind kind = MessageKind::kAppend;
  NodeId from = kNoNode;
  NodeId to = kNoNode;
  Term term = 0;
  // kAppend: entry before `entries`. Votes: candidate's last entry.
  // kAppendReply: last index known to match (or hint when rejected).
  Index index = 0;
  Term log_term = 0;
  std::vector<Entry> entries;
  Index commit = 0;
  bool reject = false;
  // kVote: the leader asked this candidate to take over (kTimeoutNow), so
  // voters need not wait until they stop hearing that leader.
  bool leadership_transfer = false;
  // kAppend, kInstallSnapshot: the leader counts the receiver as a voter.
  bool receiver_votes = false;
  // Round of the leader's heartbeat that a reply answers: lease and reads.
  std::uint64_t round = 0;
  std::optional<Snapshot> snapshot;
};

enum class Role : std::uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

}  // namespace juniperway::raft
