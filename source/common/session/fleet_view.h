// What a daemon knows of the replicated state at one revision. Immutable: a
// new revision makes a new view, so a query keeps the one it started with.
// Views share the maps that did not change.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/base/copy_on_write_map.h"
#include "common/base/request_fingerprint.h"
#include "common/base/time.h"
#include "common/resources/resource.h"
#include "common/rollout/rollout.h"
#include "common/routes/route_table.h"

namespace juniperway::session {

// A daemon that holds a lease, as replicated.
struct Member {
  std::string daemon_id;
  // Changes with each start of the process.
  std::uint64_t incarnation = 0;
  std::string zone;
  std::string region;
  // "ip:port" of its internal (FlatBuffers) listener.
  std::string peer_address;
  bool gateway = false;
  // It has the router role: it forwards requests to discovered back ends.
  bool router = false;
  // It announced a planned stop: it owns nothing and gets no new work.
  bool leaving = false;

  bool operator==(const Member&) const = default;
};

// What the owner of a back end last reported about it, as replicated.
struct BackendReport {
  std::set<resources::IndexVersion> held_versions;
  bool draining = false;

  bool operator==(const BackendReport&) const = default;
};

// A back end that HTTP forwarding may use, from the discovery list.
struct DiscoveredBackend {
  // Mostly changes with each start of the back end; one that keeps it is told
  // from the process before it by `start`.
  std::string id;
  std::string service;
  std::string address;  // "ip:port"
  std::string zone;
  // Requests that it works on at the same time.
  std::uint32_t slots = 1;
  // It is leaving: it gets no new work.
  bool draining = false;
  // It has started a short while ago, and takes less work for now.
  bool cold = false;
  // When it started, by its own clock; the zero time: not known.
  WallTime start{};
  // Of its software. Daemons know it of services with a roll-out only.
  std::string version{};
  // It runs the target version of a roll-out that is under way: it gets the
  // share that RunningRollout says. Set for daemons only.
  bool canary = false;

  bool operator==(const DiscoveredBackend&) const = default;
};

// Names one run of the back end's process: its id, with its start where that is
// known.
std::string IncarnationName(const DiscoveredBackend& backend);

// An operator's order that no back end of a zone gets new work.
struct ZoneEvacuation {
  // When it was accepted, by the leader's clock.
  WallTime since{};
  // The change that ordered it.
  std::string change_id;

  bool operator==(const ZoneEvacuation&) const = default;
};

// A request under which back ends have ended, and which none has survived.
struct CrashingRequest {
  // It is to blame for that: nobody sends it to a back end any more.
  bool quarantined = false;
  std::uint32_t ended_backends = 0;
  // When the first of them was reported, by the leader's clock.
  WallTime since{};

  bool operator==(const CrashingRequest&) const = default;
};

// A roll-out that is under way; see rollout/rollout.h.
struct RunningRollout {
  rollout::RolloutNumber number = 0;
  std::uint32_t share_permille = 0;
  std::uint32_t base_share_permille = 0;

  // The share holds only while a leader renews it.
  bool IsRenewable() const { return share_permille > base_share_permille; }
  bool operator==(const RunningRollout&) const = default;
};

struct FleetView {
  resources::Revision revision = 0;
  CopyOnWriteMap<std::string, resources::Service> services;
  CopyOnWriteMap<std::string, resources::Backend> backends;
  CopyOnWriteMap<std::pair<std::string, resources::IndexVersion>,
                 resources::IndexSnapshot>
      snapshots;
  CopyOnWriteMap<std::string, resources::Machine> machines;
  // By daemon_id.
  CopyOnWriteMap<std::string, Member> members;
  // By back end name.
  CopyOnWriteMap<std::string, BackendReport> reports;
  // Service to the index version that new queries are pinned to. Never falls.
  CopyOnWriteMap<std::string, resources::IndexVersion> serving;
  // Null before the first one was written.
  routes::RouteTablePointer route_table;
  // By id.
  CopyOnWriteMap<std::string, DiscoveredBackend> discovered;
  // By zone.
  CopyOnWriteMap<std::string, ZoneEvacuation> evacuations;
  CopyOnWriteMap<RequestFingerprint, CrashingRequest> crashing_requests;
  // By service.
  CopyOnWriteMap<std::string, RunningRollout> rollouts;
};

using FleetViewPointer = std::shared_ptr<const FleetView>;

}  // namespace juniperway::session
