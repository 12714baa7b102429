#include "property/owner/zone_control.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace juniperway::owner::testing {
namespace {

using resources::Revision;

constexpr Duration kRemovalDelay = milliseconds(300);

}  // namespace

void ZoneControl::Publish(
    const std::function<void(session::FleetView&)>& change) {
  auto view = views_.empty()
                  ? std::make_shared<session::FleetView>()
                  : std::make_shared<session::FleetView>(*views_.back());
  view->revision = views_.size() + 1;
  change(*view);
  views_.push_back(std::move(view));
}

bool ZoneControl::OnHeartbeat(const Heartbeat& heartbeat, MonotonicTime now) {
  Record& record = records_[heartbeat.owner];
  if (!newest().members.contains(heartbeat.owner)) {
    Publish([&heartbeat](session::FleetView& view) {
      session::Member& member = view.members[heartbeat.owner];
      member.daemon_id = heartbeat.owner;
      member.incarnation = 1;
      member.zone = kZone;
      member.gateway = true;
    });
    record.unleased_since = now;
    return false;
  }
  const bool renewal = record.lease_end && heartbeat.holds_lease;
  const bool behind =
      heartbeat.confirmed < in_force_ || heartbeat.released < zone_released_;
  if (record.lease_end || !behind) {
    record.confirmed = std::max(record.confirmed, heartbeat.confirmed);
    record.released = std::max(record.released, heartbeat.released);
  }
  if (!renewal && behind) {
    return false;
  }
  record.lease_end = now + kLease;
  return true;
}

void ZoneControl::Tick(MonotonicTime now) {
  for (auto& [name, record] : records_) {
    if (record.lease_end && *record.lease_end <= now) {
      record.lease_end.reset();
      record.unleased_since = now;
    }
    if (!record.lease_end && newest().members.contains(name) &&
        now > record.unleased_since + kRemovalDelay) {
      Publish([&member = name](session::FleetView& view) {
        view.members.erase(member);
      });
    }
  }
  AdvanceWatermarks();
}

void ZoneControl::AdvanceWatermarks() {
  Revision confirmed = newest().revision;
  Revision released = newest().revision;
  bool any = false;
  for (const auto& [name, record] : records_) {
    if (!record.lease_end) {
      continue;
    }
    any = true;
    confirmed = std::min(confirmed, record.confirmed);
    released = std::min(released, record.released);
  }
  if (any) {
    in_force_ = std::max(in_force_, confirmed);
    zone_released_ = std::max(zone_released_, released);
  }
}

}  // namespace juniperway::owner::testing
