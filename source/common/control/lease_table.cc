#include "common/control/lease_table.h"

#include <algorithm>

namespace juniperway::control {

void LeaseTable::Start(std::uint64_t term, resources::Revision revision,
                       const std::map<std::string, session::Member>& members,
                       MonotonicTime now) {
  Stop();
  active_ = true;
  term_ = term;
  start_revision_ = revision;
  revision_ = revision;
  next_delayed_revision_ = revision;
  next_delayed_since_ = now;
  for (const auto& [daemon_id, member] : members) {
    SetMember(daemon_id, &member, now);
    leases_[{daemon_id, member.incarnation}] =
        Lease{.expires_at = now + LeaseDurationWithDrift(),
              .confirmed = 0,
              .released = 0,
              .zone = member.zone,
              .gateway = member.gateway};
  }
}

void LeaseTable::Stop() {
  const Options options = options_;
  *this = LeaseTable(options);
}

void LeaseTable::SetMember(const std::string& daemon_id,
                           const session::Member* member, MonotonicTime now) {
  if (!active_) {
    return;
  }
  if (member == nullptr) {
    members_.erase(daemon_id);
    return;
  }
  auto [entry, inserted] = members_.try_emplace(daemon_id);
  if (!inserted && entry->second.incarnation == member->incarnation) {
    return;
  }
  entry->second = MemberEntry{.incarnation = member->incarnation,
                              .zone = member->zone,
                              .gateway = member->gateway,
                              .unleased_since = now,
                              .removal_pending = false};
}

GrantOutcome LeaseTable::OnHeartbeat(const HeartbeatFacts& facts,
                                     MonotonicTime now) {
  auto member = members_.find(facts.daemon.daemon_id);
  if (member == members_.end() ||
      member->second.incarnation < facts.daemon.incarnation ||
      member->second.removal_pending) {
    return GrantOutcome::kNotMember;
  }
  if (member->second.incarnation > facts.daemon.incarnation) {
    return GrantOutcome::kSuperseded;
  }
  MergeWatermarks(facts.known_in_force,
                  {{member->second.zone, facts.known_zone_released}});
  auto lease = leases_.find(facts.daemon);
  if (lease != leases_.end() && lease->second.expires_at <= now) {
    leases_.erase(lease);
    lease = leases_.end();
    member->second.unleased_since = now;
  }
  if (lease != leases_.end()) {
    lease->second.confirmed =
        std::max(lease->second.confirmed, facts.confirmed);
    lease->second.released = std::max(lease->second.released, facts.released);
  }
  const bool renewal =
      lease != leases_.end() && facts.holds_lease && facts.term == term_;
  if (!renewal && !MayGrant(facts, member->second)) {
    const bool may_renew = lease != leases_.end() && facts.holds_lease;
    return may_renew ? GrantOutcome::kNewTerm : GrantOutcome::kBehind;
  }
  Lease& granted = leases_[facts.daemon];
  granted.expires_at =
      std::max(granted.expires_at, now + LeaseDurationWithDrift());
  granted.confirmed = std::max(granted.confirmed, facts.confirmed);
  granted.released = std::max(granted.released, facts.released);
  granted.zone = member->second.zone;
  granted.gateway = member->second.gateway;
  return GrantOutcome::kGranted;
}

// A daemon that is not known to hold a lease in this term must have reached
// every watermark that this leader announced or an earlier leader may have
// announced.
bool LeaseTable::MayGrant(const HeartbeatFacts& facts,
                          const MemberEntry& member) const {
  if (facts.confirmed < std::max(in_force_, start_revision_)) {
    return false;
  }
  if (!member.gateway) {
    return true;
  }
  auto zone = zone_released_.find(member.zone);
  const resources::Revision released =
      zone == zone_released_.end() ? 0 : zone->second;
  return facts.released >= std::max(released, start_revision_);
}

void LeaseTable::MergeWatermarks(
    resources::Revision in_force,
    const std::map<std::string, resources::Revision>& zones) {
  // No leader can have announced a watermark above the revision of the state.
  in_force_ = std::max(in_force_, std::min(in_force, revision_));
  for (const auto& [zone, known] : zones) {
    resources::Revision& released = zone_released_[zone];
    released = std::max(released, std::min(known, revision_));
  }
}

void LeaseTable::OnGoodbye(const DaemonKey& daemon) {
  leases_.erase(daemon);
  auto member = members_.find(daemon.daemon_id);
  if (member != members_.end() &&
      member->second.incarnation == daemon.incarnation) {
    // The daemon has shut down, so its removal needs no delay.
    member->second.unleased_since = MonotonicTime::min();
  }
}

void LeaseTable::Advance(resources::Revision revision, MonotonicTime now) {
  if (!active_) {
    return;
  }
  revision_ = revision;
  UpdateDelayedRevision(now);
  EraseExpiredLeases(now);
  resources::Revision confirmed =
      leases_.empty() ? delayed_revision_ : revision;
  std::map<std::string, resources::Revision> released;
  for (const auto& [key, lease] : leases_) {
    confirmed = std::min(confirmed, lease.confirmed);
    if (lease.gateway) {
      auto zone = released.try_emplace(lease.zone, revision).first;
      zone->second = std::min(zone->second, lease.released);
    }
  }
  for (const auto& [daemon_id, member] : members_) {
    released.try_emplace(member.zone, delayed_revision_);
  }
  in_force_ = std::max(in_force_, confirmed);
  for (const auto& [zone, zone_revision] : released) {
    resources::Revision& watermark = zone_released_[zone];
    watermark = std::max(watermark, zone_revision);
  }
}

void LeaseTable::UpdateDelayedRevision(MonotonicTime now) {
  if (now - next_delayed_since_ < options_.lease) {
    return;
  }
  delayed_revision_ = next_delayed_revision_;
  next_delayed_revision_ = revision_;
  next_delayed_since_ = now;
}

void LeaseTable::EraseExpiredLeases(MonotonicTime now) {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.expires_at > now) {
      ++lease;
      continue;
    }
    auto member = members_.find(lease->first.daemon_id);
    if (member != members_.end() &&
        member->second.incarnation == lease->first.incarnation) {
      member->second.unleased_since = now;
    }
    lease = leases_.erase(lease);
  }
}

std::vector<DaemonKey> LeaseTable::TakeRemovals(MonotonicTime now) {
  std::vector<DaemonKey> removals;
  for (auto& [daemon_id, member] : members_) {
    const DaemonKey key{daemon_id, member.incarnation};
    if (member.removal_pending || leases_.contains(key)) {
      continue;
    }
    const bool has_released_lease =
        member.unleased_since == MonotonicTime::min();
    if (has_released_lease ||
        now - member.unleased_since > options_.removal_delay) {
      member.removal_pending = true;
      removals.push_back(key);
    }
  }
  return removals;
}

RevisionShares LeaseTable::SharesOf(resources::Revision revision) const {
  double counted = 0;
  RevisionShares parts;
  for (const auto& [key, lease] : leases_) {
    const auto member = members_.find(key.daemon_id);
    const bool replaced = member != members_.end() &&
                          member->second.incarnation > key.incarnation;
    if (replaced) {
      continue;
    }
    ++counted;
    parts.confirmed += lease.confirmed >= revision ? 1 : 0;
    parts.released += lease.released >= revision ? 1 : 0;
  }
  if (counted == 0) {
    return {};
  }
  return {.confirmed = parts.confirmed / counted,
          .released = parts.released / counted};
}

resources::Revision LeaseTable::zone_released(const std::string& zone) const {
  auto watermark = zone_released_.find(zone);
  return watermark == zone_released_.end() ? revision_ : watermark->second;
}

RevisionProgress LeaseTable::ProgressOf(resources::Revision revision) const {
  RevisionProgress progress;
  for (const auto& [key, lease] : leases_) {
    ++progress.daemons;
    if (lease.confirmed >= revision) {
      ++progress.confirmed;
    } else {
      progress.waiting_for.push_back(key.daemon_id);
    }
  }
  for (const auto& [daemon_id, member] : members_) {
    if (!leases_.contains({daemon_id, member.incarnation})) {
      progress.without_lease.push_back(daemon_id);
    }
  }
  return progress;
}

Duration LeaseTable::LeaseDurationWithDrift() const {
  const double lease_with_drift = static_cast<double>(options_.lease.count()) *
                                  (1.0 + 2.0 * options_.maximum_clock_drift);
  return Duration(static_cast<Duration::rep>(lease_with_drift) + 1);
}

}  // namespace juniperway::control
