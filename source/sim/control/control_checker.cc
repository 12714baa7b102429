#include "sim/control/control_checker.h"

#include <algorithm>

namespace juniperway::sim {
namespace {

std::string KeyOf(const resources::ResourceId& resource) {
  return std::string(resources::KindName(resource.kind)) + " " + resource.name;
}

}  // namespace

std::string_view ControlPromiseName(ControlPromise promise) {
  switch (promise) {
    case ControlPromise::kSameState:
      return "same state";
    case ControlPromise::kAcceptedKept:
      return "accepted kept";
    case ControlPromise::kOneEffect:
      return "one effect";
    case ControlPromise::kOneWinner:
      return "one winner";
    case ControlPromise::kNeverReverts:
      return "never reverts";
    case ControlPromise::kSameView:
      return "same view";
    case ControlPromise::kInForceTrue:
      return "in force true";
    case ControlPromise::kReleasedTrue:
      return "released true";
    case ControlPromise::kOneOwner:
      return "one owner";
    case ControlPromise::kClaimOnce:
      return "claim once";
  }
  return "unknown";
}

void ControlChecker::Expect(ControlPromise promise, bool holds,
                            const std::string& detail) {
  ++checks_[promise];
  if (!holds && !violation_) {
    violation_ = ControlViolation{promise, detail};
  }
}

void ControlChecker::ExpectSame(HashByIndex& known, raft::Index index,
                                std::uint64_t hash) {
  const auto [first, inserted] = known.emplace(index, hash);
  if (!inserted) {
    Expect(ControlPromise::kSameState, first->second == hash,
           "two states at index " + std::to_string(index));
  }
}

void ControlChecker::ObserveApplied(raft::Index index, std::uint64_t hash) {
  ExpectSame(applied_, index, hash);
}

void ControlChecker::ObserveSnapshot(raft::Index index, std::uint64_t hash) {
  ExpectSame(snapshots_, index, hash);
}

void ControlChecker::ObserveAccepted(const AcceptedChange& change) {
  const auto [effect, first] =
      effects_.emplace(change.change_id, change.revision);
  Expect(ControlPromise::kOneEffect, effect->second == change.revision,
         change.change_id + " made revision " + std::to_string(effect->second) +
             " and " + std::to_string(change.revision));
  if (!first) {
    return;
  }
  const auto [winner, won] =
      winners_[KeyOf(change.resource)].emplace(change.base, change.change_id);
  Expect(ControlPromise::kOneWinner, won,
         change.change_id + " and " + winner->second + " both won at version " +
             std::to_string(change.base) + " of " + change.resource.name);
  resources::Revision& highest = accepted_[KeyOf(change.resource)];
  highest = std::max(highest, change.revision);
}

void ControlChecker::ObserveTaken(const std::string& daemon_id,
                                  resources::Revision revision,
                                  std::uint64_t hash) {
  resources::Revision& before = taken_[daemon_id];
  Expect(ControlPromise::kNeverReverts, revision >= before,
         daemon_id + " went from revision " + std::to_string(before) + " to " +
             std::to_string(revision));
  before = std::max(before, revision);
  const auto [known, inserted] = views_.emplace(revision, hash);
  if (!inserted) {
    Expect(ControlPromise::kSameView, known->second == hash,
           daemon_id + " sees another content at revision " +
               std::to_string(revision));
  }
}

void ControlChecker::ObserveInForce(resources::Revision revision) {
  in_force_ = std::max(in_force_, revision);
}

void ControlChecker::ObserveReleased(const std::string& zone,
                                     resources::Revision revision) {
  resources::Revision& released = released_[zone];
  released = std::max(released, revision);
}

void ControlChecker::ObserveLeased(const LeasedDaemon& daemon) {
  Expect(ControlPromise::kInForceTrue, daemon.taken >= in_force_,
         daemon.daemon_id + " has a lease at revision " +
             std::to_string(daemon.taken) + " while " +
             std::to_string(in_force_) + " is called in force");
  if (daemon.gateway) {
    const resources::Revision announced = released_[daemon.zone];
    Expect(ControlPromise::kReleasedTrue, daemon.released >= announced,
           daemon.daemon_id + " has released " +
               std::to_string(daemon.released) + " while " +
               std::to_string(announced) + " is called released");
  }
}

void ControlChecker::ObserveUse(const std::string& backend,
                                const std::string& daemon_id,
                                const std::set<std::string>& others) {
  Expect(ControlPromise::kOneOwner, others.empty(),
         others.empty() ? ""
                        : daemon_id + " begins to use " + backend + " while " +
                              *others.begin() + " still does");
}

void ControlChecker::ObserveGranted(const std::string& request_id,
                                    const std::string& attempt) {
  const auto [known, inserted] = claims_.emplace(request_id, attempt);
  Expect(
      ControlPromise::kClaimOnce, inserted,
      request_id + " was granted to " + known->second + " and to " + attempt);
}

void ControlChecker::ObserveFinal(const resources::ResourceId& resource,
                                  resources::Revision version) {
  const resources::Revision accepted = accepted_[KeyOf(resource)];
  Expect(ControlPromise::kAcceptedKept, version >= accepted,
         resource.name + " is at version " + std::to_string(version) +
             " though " + std::to_string(accepted) + " was accepted");
}

}  // namespace juniperway::sim
