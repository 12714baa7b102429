// The leader's table of the leases that it granted to daemons and of the
// revisions that each daemon confirmed. LeaderRole owns it. The table does no
// I/O, takes the time as an argument, and is not replicated: a new leader does
// not know which leases the previous leader granted, so it assumes that every
// member holds a lease for a full lease duration.
//
// Expiry: the daemon counts a lease from the time it sent the heartbeat. The
// table counts it from the arrival of the heartbeat and adds the maximum clock
// drift of both sides. A lease therefore always expires on the daemon first.
//
// Watermarks: `in force` is a revision that every daemon with a lease has
// confirmed. `zone released` is a revision up to which every gateway with a
// lease in a zone has released the backends that it no longer owns. Both only
// grow, also across leaders: the table grants a lease only to a daemon that has
// reached every watermark that may have been announced. The caller may grant
// leases and advance watermarks only while it holds the leader lease of the
// consensus module.
//
// While no daemon holds a lease, a watermark could follow the newest revision
// at once. The watermark stays one lease duration behind instead, so that
// daemons that join during many changes can reach it.
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

// One incarnation of one daemon.
struct DaemonKey {
  std::string daemon_id;
  std::uint64_t incarnation = 0;
  // clang-tidy 14 takes the defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const DaemonKey&) const = default;
};

// The fields of a daemon's heartbeat that decide about its lease.
struct HeartbeatFacts {
  DaemonKey daemon;
  resources::Revision confirmed = 0;
  resources::Revision released = 0;
  // Term of the leader that last answered this daemon.
  std::uint64_t term = 0;
  // The daemon's lease was valid when it sent the heartbeat.
  bool holds_lease = false;
  // Watermarks that any leader announced to the daemon. A new leader raises its
  // own watermarks to them.
  resources::Revision known_in_force = 0;
  resources::Revision known_zone_released = 0;
};

// Whether the table granted a lease for a heartbeat, or why it refused.
enum class GrantOutcome {
  kGranted,
  kNotMember,
  // The daemon must first confirm a newer revision or release backends.
  kBehind,
  // Another leader answered the daemon last. The daemon must send another
  // heartbeat, which shows that its lease is valid in this term.
  kNewTerm,
  // A later incarnation of the daemon is a member.
  kSuperseded,
};

// How many of the daemons with a lease have confirmed a revision.
struct RevisionProgress {
  std::size_t daemons = 0;
  std::size_t confirmed = 0;
  // Daemons with a lease that have not confirmed.
  std::vector<std::string> waiting_for;
  // Members without a lease. They refuse queries.
  std::vector<std::string> without_lease;
};

// Shares (0 to 1) of the daemons with a lease that have confirmed a revision,
// and that have released everything that they may no longer use at that
// revision.
struct RevisionShares {
  double confirmed = 0;
  double released = 0;
};

class LeaseTable {
 public:
  struct Options {
    Duration lease = seconds(4);
    double maximum_clock_drift = 0.01;
    // The leader removes a member that has been without a lease for this long.
    Duration removal_delay = seconds(2);
  };

  explicit LeaseTable(const Options& options) : options_(options) {}

  // Starts the table when this node leads in `term` and has applied every entry
  // of earlier terms.
  // @param revision of the replicated state.
  void Start(std::uint64_t term, resources::Revision revision,
             const std::map<std::string, session::Member>& members,
             MonotonicTime now);
  // Raises the watermarks to those that earlier leaders announced, at most to
  // the revision of the state.
  void MergeWatermarks(resources::Revision in_force,
                       const std::map<std::string, resources::Revision>& zones);
  // Discards all leases and watermarks when this node no longer leads.
  void Stop();
  bool active() const { return active_; }
  std::uint64_t term() const { return term_; }

  // Applies a change of the replicated membership.
  // @param member null when the daemon was removed.
  void SetMember(const std::string& daemon_id, const session::Member* member,
                 MonotonicTime now);

  // Records a heartbeat and grants or refuses a lease of options.lease.
  GrantOutcome OnHeartbeat(const HeartbeatFacts& facts, MonotonicTime now);
  // Handles that the daemon has shut down and released its lease.
  void OnGoodbye(const DaemonKey& daemon);

  // Drops expired leases and advances the watermarks.
  // @param revision of the replicated state; it bounds the watermarks.
  void Advance(resources::Revision revision, MonotonicTime now);

  // Returns members to be removed from the replicated membership. Each member
  // is returned once; from then on the member gets no lease until it has been
  // removed and has joined again.
  std::vector<DaemonKey> TakeRemovals(MonotonicTime now);

  resources::Revision in_force() const { return in_force_; }
  // Returns the watermark of a zone, or the revision of the state for an
  // unknown zone.
  resources::Revision zone_released(const std::string& zone) const;
  const std::map<std::string, resources::Revision>& zones() const {
    return zone_released_;
  }

  // Returns the shares of the daemons with a lease that have confirmed and
  // released `revision`. A lease of an incarnation that a later incarnation of
  // the same daemon has replaced does not count: the process of the earlier
  // incarnation has ended, although its lease is still valid.
  RevisionShares SharesOf(resources::Revision revision) const;

  RevisionProgress ProgressOf(resources::Revision revision) const;
  std::size_t leases() const { return leases_.size(); }

 private:
  struct Lease {
    // The lease has expired on the daemon by this time.
    MonotonicTime expires_at;
    resources::Revision confirmed = 0;
    resources::Revision released = 0;
    std::string zone;
    bool gateway = false;
  };
  struct MemberEntry {
    std::uint64_t incarnation = 0;
    std::string zone;
    bool gateway = false;
    // Start of the time without a lease; not used while the member has a lease.
    // MonotonicTime::min() when the daemon released its lease.
    MonotonicTime unleased_since;
    bool removal_pending = false;
  };

  bool MayGrant(const HeartbeatFacts& facts, const MemberEntry& member) const;
  void UpdateDelayedRevision(MonotonicTime now);
  void EraseExpiredLeases(MonotonicTime now);
  Duration LeaseDurationWithDrift() const;

  Options options_;
  bool active_ = false;
  std::uint64_t term_ = 0;
  // Revision of the state when this leader started. No earlier leader can have
  // announced a higher watermark.
  resources::Revision start_revision_ = 0;
  resources::Revision revision_ = 0;
  // Revision of the state at least one lease duration ago.
  resources::Revision delayed_revision_ = 0;
  // Becomes delayed_revision_ one lease duration after next_delayed_since_.
  resources::Revision next_delayed_revision_ = 0;
  MonotonicTime next_delayed_since_;
  resources::Revision in_force_ = 0;
  std::map<std::string, resources::Revision> zone_released_;
  std::map<DaemonKey, Lease> leases_;
  std::map<std::string, MemberEntry> members_;
};

}  // namespace juniperway::control
