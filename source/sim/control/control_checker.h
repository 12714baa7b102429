// What control promises, checked against what a simulated fleet did. It is told
// of every observation and keeps the first violation; it knows nothing of how
// the fleet is run.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "common/raft/types.h"
#include "common/resources/resource.h"

namespace juniperway::sim {

enum class ControlPromise {
  kSameState,     // control machines agree on the state at each log index
  kAcceptedKept,  // an accepted change stays
  kOneEffect,     // a change that is sent again has one effect
  kOneWinner,     // of changes at an equal version one wins
  kNeverReverts,  // a daemon's revision never falls, also across its restarts
  kSameView,      // daemons at one revision see the same
  kInForceTrue,   // every daemon with a lease has what is called in force
  kReleasedTrue,  // every gateway with a lease has let go as announced
  kOneOwner,      // no two gateways use a back end at once
  kClaimOnce,     // a request id is granted to one attempt only
};

std::string_view ControlPromiseName(ControlPromise promise);

struct ControlViolation {
  ControlPromise promise = ControlPromise::kSameState;
  std::string detail;
};

// An operator was told that a change is accepted.
struct AcceptedChange {
  std::string change_id;
  resources::ResourceId resource;
  // Version that the operator saw, and the one that the change made.
  resources::Revision base = 0;
  resources::Revision revision = 0;
};

// A daemon with a valid lease, at this moment.
struct LeasedDaemon {
  std::string daemon_id;
  std::string zone;
  bool gateway = false;
  resources::Revision taken = 0;
  resources::Revision released = 0;
};

class ControlChecker {
 public:
  // A machine applied an entry; `hash` is of all results up to it.
  void ObserveApplied(raft::Index index, std::uint64_t hash);
  // A machine made a snapshot; `hash` is of its content.
  void ObserveSnapshot(raft::Index index, std::uint64_t hash);
  void ObserveAccepted(const AcceptedChange& change);
  // A daemon uses the view at `revision`; `hash` is of its content.
  void ObserveTaken(const std::string& daemon_id, resources::Revision revision,
                    std::uint64_t hash);
  // A leader announced watermarks.
  void ObserveInForce(resources::Revision revision);
  void ObserveReleased(const std::string& zone, resources::Revision revision);
  void ObserveLeased(const LeasedDaemon& daemon);
  // A gateway sends something to a back end while `others` still use it.
  void ObserveUse(const std::string& backend, const std::string& daemon_id,
                  const std::set<std::string>& others);
  void ObserveGranted(const std::string& request_id,
                      const std::string& attempt);
  // At the end, with all faults over: the version of a resource.
  void ObserveFinal(const resources::ResourceId& resource,
                    resources::Revision version);

  const std::optional<ControlViolation>& violation() const {
    return violation_;
  }
  // How often each promise was really tested.
  const std::map<ControlPromise, std::uint64_t>& checks() const {
    return checks_;
  }
  std::uint64_t accepted() const { return effects_.size(); }
  std::uint64_t granted() const { return claims_.size(); }
  resources::Revision in_force() const { return in_force_; }

 private:
  using HashByIndex = std::map<raft::Index, std::uint64_t>;

  void Expect(ControlPromise promise, bool holds, const std::string& detail);
  void ExpectSame(HashByIndex& known, raft::Index index, std::uint64_t hash);

  std::optional<ControlViolation> violation_;
  std::map<ControlPromise, std::uint64_t> checks_;
  HashByIndex applied_;
  HashByIndex snapshots_;
  // Change id to the revision that it made.
  std::map<std::string, resources::Revision> effects_;
  // By resource: version to the change that won there.
  std::map<std::string, std::map<resources::Revision, std::string>> winners_;
  // Highest accepted version.
  std::map<std::string, resources::Revision> accepted_;
  std::map<std::string, resources::Revision> taken_;
  std::map<resources::Revision, std::uint64_t> views_;
  resources::Revision in_force_ = 0;
  std::map<std::string, resources::Revision> released_;
  std::map<std::string, std::string> claims_;
};

}  // namespace juniperway::sim
