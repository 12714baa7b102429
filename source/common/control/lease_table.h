// The leader's table of the daemons' leases and of what each daemon confirmed.
// Pure; not replicated. A new leader cannot know which leases the one before
// it gave, so it takes every member to hold one for a full lease time.
//
// Times: a grant counts on the daemon from when it sent the heartbeat, here
// from when the heartbeat arrived plus the drift of the two clocks. So a lease
// has always run out on the daemon before it has run out here.
//
// Watermarks: `in force` is a revision that every daemon with a lease has
// confirmed; `zone released` is one up to which every gateway of a zone with a
// lease has let go of back ends. Both only grow, also across leaders: a lease
// is given only to a daemon that has reached every watermark that may have been
// announced. The caller asks for new watermarks and grants only while it holds
// the leader lease of the consensus module.
//
// Where nobody holds a lease there is nobody to wait for, and a watermark could
// follow the newest revision at once. It stays a lease time behind instead, so
// that daemons that join during many changes can reach it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/base/time.h"
#include "common/resources/resource.h"
#include "common/session/fleet_view.h"

namespace juniperway::control {

// One start of one daemon.
struct DaemonKey {
  std::string daemon_id;
  std::uint64_t incarnation = 0;
  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const DaemonKey&) const = default;
};

struct HeartbeatFacts {
  DaemonKey daemon;
  resources::Revision confirmed = 0;
  resources::Revision released = 0;
  // Leader's term that the daemon was last answered in.
  std::uint64_t term = 0;
  // Its lease was valid when it sent this.
  bool holds_lease = false;
  // Watermarks it was told by any leader: true, so worth learning.
  resources::Revision known_in_force = 0;
  resources::Revision known_zone_released = 0;
};

enum class GrantOutcome {
  kGranted,
  kNotMember,
  // Must confirm a newer revision, or let go of back ends, first.
  kBehind,
  // Answered by another leader last: must send another heartbeat, so that its
  // lease is known to be valid in this term.
  kNewTerm,
  kSuperseded,
};

// How far a revision is, over the daemons with a lease.
struct RevisionProgress {
  std::size_t daemons = 0;
  std::size_t confirmed = 0;
  // Daemons with a lease that have not confirmed.
  std::vector<std::string> waiting_for;
  // Members without a lease: they refuse queries.
  std::vector<std::string> without_lease;
};

// Parts of the daemons with a lease that have confirmed a revision, and that
// have let go of what they may not use any more at it.
struct RevisionParts {
  double confirmed = 0;
  double released = 0;
};

class LeaseTable {
 public:
  struct Options {
    Duration lease = seconds(4);
    double maximum_clock_drift = 0.01;
    // A member whose lease ran out is removed after this further time.
    Duration removal_delay = seconds(2);
  };

  explicit LeaseTable(const Options& options) : options_(options) {}

  // This machine leads in `term` and has applied every entry of earlier terms;
  // `revision` is the state's.
  void Start(std::uint64_t term, resources::Revision revision,
             const std::map<std::string, session::Member>& members,
             MonotonicTime now);
  // Watermarks that earlier leaders announced: true, so worth learning.
  void Learn(resources::Revision in_force,
             const std::map<std::string, resources::Revision>& zones);
  // It no longer leads: everything is forgotten.
  void Stop();
  bool active() const { return active_; }
  std::uint64_t term() const { return term_; }

  // The replicated membership of a daemon changed; null: removed.
  void SetMember(const std::string& daemon_id, const session::Member* member,
                 MonotonicTime now);

  // Takes in a heartbeat and gives or refuses a lease of options.lease.
  GrantOutcome OnHeartbeat(const HeartbeatFacts& facts, MonotonicTime now);
  // The daemon has stopped and gave its lease back.
  void OnGoodbye(const DaemonKey& daemon);

  // Drops leases that ran out and moves the watermarks.
  // @param revision the state's, which bounds the watermarks.
  void Advance(resources::Revision revision, MonotonicTime now);

  // Members to be removed from the replicated membership. Each is named once;
  // from then on it gets no lease until it has been removed and joined again.
  std::vector<DaemonKey> TakeRemovals(MonotonicTime now);

  resources::Revision in_force() const { return in_force_; }
  // Watermark of a zone; zones without gateways stand at the state's revision.
  resources::Revision zone_released(const std::string& zone) const;
  const std::map<std::string, resources::Revision>& zones() const {
    return zone_released_;
  }

  // A start that a newer one of the same daemon has replaced is not counted:
  // its process has ended, though its lease has not.
  RevisionParts PartsOf(resources::Revision revision) const;

  RevisionProgress ProgressOf(resources::Revision revision) const;
  std::size_t leases() const { return leases_.size(); }

 private:
  struct Lease {
    // When it has run out for certain.
    MonotonicTime end;
    resources::Revision confirmed = 0;
    resources::Revision released = 0;
    std::string zone;
    bool gateway = false;
  };
  struct MemberEntry {
    std::uint64_t incarnation = 0;
    std::string zone;
    bool gateway = false;
    // Since when it has been without a lease; meaningless while it has one.
    MonotonicTime unleased_since;
    bool removal_pending = false;
  };

  bool MayGrant(const HeartbeatFacts& facts, const MemberEntry& member) const;
  void SettleRevision(MonotonicTime now);
  void DropEnded(MonotonicTime now);
  Duration LeaseTimeHere() const;

  Options options_;
  bool active_ = false;
  std::uint64_t term_ = 0;
  // The state's revision when this leader started: no earlier leader can have
  // announced a watermark above it.
  resources::Revision start_revision_ = 0;
  resources::Revision revision_ = 0;
  // The state's revision at least a lease time ago, and the one that is next.
  resources::Revision settled_revision_ = 0;
  resources::Revision settling_revision_ = 0;
  MonotonicTime settling_since_;
  resources::Revision in_force_ = 0;
  std::map<std::string, resources::Revision> zone_released_;
  std::map<DaemonKey, Lease> leases_;
  std::map<std::string, MemberEntry> members_;
};

}  // namespace juniperway::control
