// Updates of daemons' views, made of the replicated state.
#pragma once

#include <memory>
#include <string>

#include "common/base/request_fingerprint.h"
#include "common/control/fleet_store.h"
#include "common/control/revision_log.h"
#include "common/protocol/fleet_generated.h"

namespace juniperway::control {

std::unique_ptr<protocol::ServingVersionT> MakeServing(
    const std::string& service, resources::IndexVersion version);

std::unique_ptr<protocol::RouteTableRecordT> EncodeRouteTable(
    const StoredRouteTable& table);

// Writes items into an update as daemons should see them: what the platform
// and the operator say about leaving is merged in, and so is what a roll-out
// does to back ends of its versions.
class UpdateBuilder {
 public:
  // @param fleet outlives the builder.
  explicit UpdateBuilder(const FleetStore& fleet) : fleet_(fleet) {}

  void Add(const FleetItem& item);
  void AddEverything();

  protocol::FleetUpdateT Take() { return std::move(update_); }

 private:
  void AddResource(const FleetItem& item);
  // A name may have been deleted and used again for another version: each item
  // stands for its own version.
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
