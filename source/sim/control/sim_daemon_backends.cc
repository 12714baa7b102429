// The lease, and the use of back ends; see sim_daemon.h.
#include "sim/control/sim_daemon.h"

namespace juniperway::sim {
namespace {

constexpr Duration kShortestPause = milliseconds(5);
constexpr Duration kLongestPause = milliseconds(60);
constexpr Duration kLongestRequest = milliseconds(120);

}  // namespace

void SimDaemon::LetGo(const std::string& backend) {
  const bool idle = work_ != nullptr ? work_->IsIdle(backend)
                                     : running_requests_[backend] == 0;
  const bool busy = !idle && !options_.Has(ControlDefect::kReleasesWhileInUse);
  if (busy || letting_go_.erase(backend) == 0) {
    return;
  }
  tracker_->OnBackendReleased(backend);
  ReportReleased();
}

void SimDaemon::LetGoOfIdle() {
  for (const std::string& backend : std::set<std::string>(letting_go_)) {
    LetGo(backend);
  }
}

void SimDaemon::ReportReleased() { state_->OnReleased(tracker_->released()); }

void SimDaemon::CheckLease() {
  const bool has_lease = state_->HasLease(Now());
  if (has_lease != leased_) {
    leased_ = has_lease;
    if (has_lease) {
      tracker_->OnLeaseGained();
    } else if (!options_.Has(ControlDefect::kIgnoresLeaseEnd)) {
      ++cut_offs_;
      running_requests_.clear();
      if (work_ != nullptr) {
        work_->OnLeaseLost();
      }
      letting_go_.clear();
      tracker_->OnLeaseLost();
    }
  }
  if (has_lease) {
    checker_.ObserveLeased(
        {id_, zone_, true, state_->taken(), tracker_->released()});
  }
}

void SimDaemon::PollLease() {
  CheckLease();
  if (work_ != nullptr) {
    work_->OnAccess();
    LetGoOfIdle();
  }
  ReportReleased();
  After(options_.lease_poll, [this] { PollLease(); });
}

std::set<std::string> SimDaemon::OpenBackends() const {
  std::set<std::string> open;
  for (const std::string& backend : owned_) {
    const owner::GateAccess access = tracker_->AccessTo(backend);
    const bool uses_early = options_.Has(ControlDefect::kUsesBeforeReleased) &&
                            access == owner::GateAccess::kAwaitingRelease;
    if (access == owner::GateAccess::kOpen || uses_early) {
      open.insert(backend);
    }
  }
  return open;
}

void SimDaemon::UseBackends() {
  if (work_ != nullptr) {
    return;
  }
  CheckLease();
  for (const std::string& backend : OpenBackends()) {
    if (surroundings_.Chance(0.7)) {
      BeginRequest(backend);
    }
  }
  After(surroundings_.Between(kShortestPause, kLongestPause),
        [this] { UseBackends(); });
}

void SimDaemon::NoteUse(const std::string& backend) {
  std::set<std::string> others;
  for (const SimDaemon* daemon : daemons_) {
    if (daemon != this && daemon->IsUsing(backend)) {
      others.insert(daemon->id());
    }
  }
  checker_.ObserveUse(backend, id_, others);
}

void SimDaemon::BeginRequest(const std::string& backend) {
  NoteUse(backend);
  ++running_requests_[backend];
  After(surroundings_.Between(milliseconds(1), kLongestRequest),
        [this, backend, cut_offs = cut_offs_] {
          CheckLease();
          if (cut_offs == cut_offs_) {
            --running_requests_[backend];
            LetGo(backend);
          }
        });
}

bool SimDaemon::IsUsing(const std::string& backend) const {
  if (!running() || (IsFrozen() && !HasLease())) {
    return false;
  }
  if (work_ != nullptr) {
    return !work_->IsIdle(backend);
  }
  const auto requests = running_requests_.find(backend);
  return requests != running_requests_.end() && requests->second > 0;
}

}  // namespace juniperway::sim
