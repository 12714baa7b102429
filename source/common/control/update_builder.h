// Builds the updates that control nodes send to daemons from the replicated
// state.
#pragma once

#include <memory>
#include <string>

#include "common/base/request_fingerprint.h"
#include "common/control/fleet_store.h"
#include "common/control/revision_log.h"
#include "common/protocol/fleet_generated.h"

namespace juniperway::control {

// Encodes the index version that a service serves.
std::unique_ptr<protocol::ServingVersionT> MakeServing(
    const std::string& service, resources::IndexVersion version);

// Encodes a stored route table for an update.
std::unique_ptr<protocol::RouteTableRecordT> EncodeRouteTable(
    const StoredRouteTable& table);

// Adds items to an update in the form in which daemons use them: an item's
// draining and leaving state combines the platform's list with the operator's
// resources, and the backends of a rollout's versions carry the rollout's
// effects. A caller owns one builder per update.
class UpdateBuilder {
 public:
  // @param fleet must outlive the builder.
  explicit UpdateBuilder(const FleetStore& fleet) : fleet_(fleet) {}

  // Adds the current content of one item, or its removal if it no longer
  // exists.
  void Add(const FleetItem& item);
  void AddEverything();

  // Moves the update out of the builder.
  protocol::FleetUpdateT Take() { return std::move(update_); }

 private:
  void AddResource(const FleetItem& item);
  // A snapshot's name may have been deleted and reused for another index
  // version, so the item's index version decides whether it still exists.
  void AddSnapshot(const FleetItem& item, const resources::Resource* resource);
  void Put(const resources::Resource& resource);
  void AddMember(const std::string& name);
  void AddReport(const std::string& backend);
  void AddServing(const std::string& service);
  void AddRouteTable();
  void AddDiscovered(const std::string& id);
  void AddEvacuation(const std::string& zone);
  void AddCrashingRequest(RequestFingerprint request);
  void AddRollout(const std::string& service);

  const FleetStore& fleet_;
  protocol::FleetUpdateT update_;
};

}  // namespace juniperway::control
