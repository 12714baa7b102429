#include "common/control/update_builder.h"

#include <utility>

#include "common/rollout/rollout.h"
#include "common/session/fleet_codec.h"

namespace juniperway::control {

using resources::Kind;
using resources::Resource;

std::unique_ptr<protocol::ServingVersionT> MakeServing(
    const std::string& service, resources::IndexVersion version) {
  auto serving = std::make_unique<protocol::ServingVersionT>();
  serving->service = service;
  serving->index_version = version;
  return serving;
}

std::unique_ptr<protocol::RouteTableRecordT> EncodeRouteTable(
    const StoredRouteTable& table) {
  auto record = std::make_unique<protocol::RouteTableRecordT>();
  record->version = table.version;
  record->content = table.content;
  return record;
}

void UpdateBuilder::Add(const FleetItem& item) {
  switch (item.kind) {
    case FleetItem::Kind::kResource:
      AddResource(item);
      break;
    case FleetItem::Kind::kMember:
      AddMember(item.name);
      break;
    case FleetItem::Kind::kReport:
      AddReport(item.name);
      break;
    case FleetItem::Kind::kServing:
      AddServing(item.name);
      break;
    case FleetItem::Kind::kRouteTable:
      AddRouteTable();
      break;
    case FleetItem::Kind::kDiscovered:
      AddDiscovered(item.name);
      break;
    case FleetItem::Kind::kEvacuation:
      AddEvacuation(item.name);
      break;
    case FleetItem::Kind::kCrashingRequest:
      AddCrashingRequest(item.request);
      break;
    case FleetItem::Kind::kRollout:
      AddRollout(item.name);
      break;
  }
}

void UpdateBuilder::AddEverything() {
  for (const auto& [id, resource] : fleet_.resources()) {
    Put(resource);
  }
  for (const auto& [name, member] : fleet_.members) {
    AddMember(name);
  }
  for (const auto& [backend, report] : fleet_.reports) {
    AddReport(backend);
  }
  for (const auto& [service, version] : fleet_.serving) {
    AddServing(service);
  }
  AddRouteTable();
  for (const auto& [id, backend] : fleet_.discovered) {
    AddDiscovered(id);
  }
  for (const auto& [zone, evacuation] : fleet_.evacuations) {
    AddEvacuation(zone);
  }
  for (const auto& [request, record] : fleet_.crashes) {
    AddCrashingRequest(request);
  }
  for (const auto& [service, rollout] : fleet_.rollouts) {
    AddRollout(service);
  }
}

void UpdateBuilder::AddResource(const FleetItem& item) {
  const resources::ResourceId id{item.resource_kind, item.name};
  const Resource* resource = fleet_.Find(id);
  if (item.resource_kind == Kind::kIndexSnapshot) {
    AddSnapshot(item, resource);
  } else if (resource != nullptr) {
    Put(*resource);
  } else {
    update_.removed_resources.push_back(
        std::make_unique<protocol::ResourceKeyT>(
            session::EncodeResourceId(id)));
  }
}

void UpdateBuilder::AddSnapshot(const FleetItem& item,
                                const Resource* resource) {
  if (resource != nullptr &&
      std::get<resources::IndexSnapshot>(resource->specification)
              .index_version == item.index_version) {
    Put(*resource);
    return;
  }
  update_.removed_snapshots.push_back(
      MakeServing(item.service, item.index_version));
}

void UpdateBuilder::Put(const Resource& resource) {
  protocol::ResourceRecordT record = session::EncodeResource(resource);
  if (auto* backend = record.specification.AsBackendSpecification()) {
    backend->drain =
        backend->drain || fleet_.platform_leaving.contains(record.name);
  }
  update_.resources.push_back(
      std::make_unique<protocol::ResourceRecordT>(std::move(record)));
}

void UpdateBuilder::AddMember(const std::string& name) {
  auto member = fleet_.members.find(name);
  if (member == fleet_.members.end()) {
    update_.removed_members.push_back(name);
    return;
  }
  auto record = std::make_unique<protocol::FleetMemberT>(
      session::EncodeMember(member->second));
  record->leaving = fleet_.IsLeaving(member->second);
  update_.members.push_back(std::move(record));
}

void UpdateBuilder::AddReport(const std::string& backend) {
  auto report = fleet_.reports.find(backend);
  if (report == fleet_.reports.end()) {
    update_.removed_reports.push_back(backend);
    return;
  }
  update_.reports.push_back(std::make_unique<protocol::BackendReportRecordT>(
      session::EncodeReport(backend, report->second)));
}

void UpdateBuilder::AddServing(const std::string& service) {
  auto serving = fleet_.serving.find(service);
  if (serving == fleet_.serving.end()) {
    update_.removed_serving.push_back(service);
    return;
  }
  update_.serving.push_back(MakeServing(service, serving->second));
}

void UpdateBuilder::AddRouteTable() {
  if (fleet_.route_table.version != 0) {
    update_.route_table = EncodeRouteTable(fleet_.route_table);
  }
}

void UpdateBuilder::AddDiscovered(const std::string& id) {
  auto backend = fleet_.discovered.find(id);
  if (backend == fleet_.discovered.end()) {
    update_.removed_discovered.push_back(id);
    return;
  }
  auto record = session::EncodeDiscovered(backend->second);
  const auto rollout = fleet_.rollouts.find(record.service);
  if (rollout == fleet_.rollouts.end()) {
    // Without a rollout, daemons do not need the version.
    record.version.clear();
  } else {
    record.canary = rollout::IsCanary(rollout->second, record.version);
    record.draining |= rollout::IsWithdrawn(rollout->second, record.version);
  }
  update_.discovered.push_back(
      std::make_unique<protocol::DiscoveredBackendRecordT>(std::move(record)));
}

void UpdateBuilder::AddEvacuation(const std::string& zone) {
  auto evacuation = fleet_.evacuations.find(zone);
  if (evacuation == fleet_.evacuations.end()) {
    update_.ended_evacuations.push_back(zone);
    return;
  }
  update_.evacuations.push_back(
      std::make_unique<protocol::ZoneEvacuationRecordT>(
          session::EncodeEvacuation(zone, evacuation->second)));
}

void UpdateBuilder::AddCrashingRequest(RequestFingerprint request) {
  const auto found = fleet_.crashes.find(request);
  if (found == fleet_.crashes.end()) {
    update_.cleared_requests.push_back(request.value);
    return;
  }
  const CrashRecord& record = found->second;
  update_.crashing_requests.push_back(
      std::make_unique<protocol::CrashingRequestRecordT>(
          session::EncodeCrashingRequest(
              request, {.quarantined = record.quarantined,
                        .ended_backends = static_cast<std::uint32_t>(
                            record.ended_backends.size()),
                        .since = record.since})));
}

void UpdateBuilder::AddRollout(const std::string& service) {
  const auto found = fleet_.rollouts.find(service);
  if (found == fleet_.rollouts.end() || !found->second.running()) {
    update_.ended_rollouts.push_back(service);
    return;
  }
  const rollout::Rollout& rollout = found->second;
  update_.rollouts.push_back(std::make_unique<protocol::RunningRolloutRecordT>(
      session::EncodeRunningRollout(
          service, {.number = rollout.number,
                    .share_permille = rollout.share_permille,
                    .base_share_permille = rollout.base_share_permille})));
}

}  // namespace juniperway::control
