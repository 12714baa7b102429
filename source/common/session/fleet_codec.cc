#include "common/session/fleet_codec.h"

#include <memory>
#include <utility>

#include "common/base/compression.h"

namespace juniperway::session {
namespace {

using resources::Backend;
using resources::IndexSnapshot;
using resources::Kind;
using resources::Machine;
using resources::Service;

protocol::ServiceSpecificationT EncodeSpecification(const Service& service) {
  protocol::ServiceSpecificationT record;
  record.minimum_deadline_us = service.minimum_deadline.count();
  record.maximum_deadline_us = service.maximum_deadline.count();
  record.default_deadline_us = service.default_deadline.count();
  for (const auto& request_class : service.request_classes) {
    auto& item = record.request_classes.emplace_back(
        std::make_unique<protocol::RequestClassRecordT>());
    item->name = request_class.name;
    item->repeatable = request_class.repeatable;
    item->weight = request_class.weight;
  }
  record.answer_policy = static_cast<std::uint8_t>(service.answer_policy);
  record.soft_deadline_us = service.soft_deadline.count();
  record.minimum_coverage = service.minimum_coverage;
  record.hedging = service.hedging;
  record.hedge_quantile = service.hedge_quantile;
  record.retry_budget = service.retry_budget;
  record.maximum_ejected_share = service.maximum_ejected_share;
  record.required_holders = service.required_holders;
  record.serve_unconfirmed = service.serve_unconfirmed;
  record.queue_limit = service.queue_limit;
  record.maximum_expiry_us = service.maximum_expiry.count();
  record.maximum_rows = service.maximum_rows;
  return record;
}

protocol::BackendSpecificationT EncodeSpecification(const Backend& backend) {
  protocol::BackendSpecificationT record;
  record.service = backend.service;
  record.address = backend.address;
  record.zone = backend.zone;
  record.slots = backend.slots;
  record.maximum_connections = backend.maximum_connections;
  record.shards.assign(backend.shards.begin(), backend.shards.end());
  record.drain = backend.drain;
  record.slow_start_us = backend.slow_start.count();
  return record;
}

protocol::IndexSnapshotSpecificationT EncodeSpecification(
    const IndexSnapshot& snapshot) {
  protocol::IndexSnapshotSpecificationT record;
  record.service = snapshot.service;
  record.index_version = snapshot.index_version;
  for (const auto& partition : snapshot.partitions) {
    auto& item = record.partitions.emplace_back(
        std::make_unique<protocol::PartitionRecordT>());
    item->begin = partition.range.begin;
    item->end = partition.range.end;
    item->shard = partition.shard;
  }
  return record;
}

protocol::MachineSpecificationT EncodeSpecification(const Machine& machine) {
  protocol::MachineSpecificationT record;
  record.zone = machine.zone;
  record.region = machine.region;
  record.address = machine.address;
  record.leaving = machine.leaving;
  return record;
}

Result<Service> Decode(const protocol::ServiceSpecificationT& record) {
  if (record.answer_policy >
      static_cast<std::uint8_t>(resources::AnswerPolicy::kCoverage)) {
    return MakeError(ErrorCode::kInvalidArgument, "spec.answer_policy",
                     "unknown number");
  }
  Service service;
  service.minimum_deadline = Duration(record.minimum_deadline_us);
  service.maximum_deadline = Duration(record.maximum_deadline_us);
  service.default_deadline = Duration(record.default_deadline_us);
  service.request_classes.clear();
  for (const auto& item : record.request_classes) {
    service.request_classes.push_back(
        {item->name, item->repeatable, item->weight});
  }
  service.answer_policy =
      static_cast<resources::AnswerPolicy>(record.answer_policy);
  service.soft_deadline = Duration(record.soft_deadline_us);
  service.minimum_coverage = record.minimum_coverage;
  service.hedging = record.hedging;
  service.hedge_quantile = record.hedge_quantile;
  service.retry_budget = record.retry_budget;
  service.maximum_ejected_share = record.maximum_ejected_share;
  service.required_holders = record.required_holders;
  service.serve_unconfirmed = record.serve_unconfirmed;
  service.queue_limit = record.queue_limit;
  service.maximum_expiry = Duration(record.maximum_expiry_us);
  service.maximum_rows = record.maximum_rows;
  return service;
}

Result<Backend> Decode(const protocol::BackendSpecificationT& record) {
  Backend backend;
  backend.service = record.service;
  backend.address = record.address;
  backend.zone = record.zone;
  backend.slots = record.slots;
  backend.maximum_connections = record.maximum_connections;
  backend.shards.insert(record.shards.begin(), record.shards.end());
  backend.drain = record.drain;
  backend.slow_start = Duration(record.slow_start_us);
  return backend;
}

Result<IndexSnapshot> Decode(
    const protocol::IndexSnapshotSpecificationT& record) {
  IndexSnapshot snapshot;
  snapshot.service = record.service;
  snapshot.index_version = record.index_version;
  for (const auto& item : record.partitions) {
    snapshot.partitions.push_back({{item->begin, item->end}, item->shard});
  }
  return snapshot;
}

Result<Machine> Decode(const protocol::MachineSpecificationT& record) {
  Machine machine;
  machine.zone = record.zone;
  machine.region = record.region;
  machine.address = record.address;
  machine.leaving = record.leaving;
  return machine;
}

template <typename Record>
Result<resources::Resource> Assemble(const protocol::ResourceRecordT& record,
                                     Kind kind, const Record& specification) {
  auto decoded = Decode(specification);
  if (!decoded) {
    return tl::unexpected(decoded.error());
  }
  return resources::Resource{
      {kind, record.name}, record.version, std::move(*decoded)};
}

void PutResource(const resources::Resource& resource, FleetView& view) {
  const std::string& name = resource.id.name;
  switch (resource.id.kind) {
    case Kind::kService:
      view.services[name] = std::get<Service>(resource.specification);
      break;
    case Kind::kBackend:
      view.backends[name] = std::get<Backend>(resource.specification);
      break;
    case Kind::kIndexSnapshot: {
      const auto& snapshot = std::get<IndexSnapshot>(resource.specification);
      view.snapshots[{snapshot.service, snapshot.index_version}] = snapshot;
      break;
    }
    case Kind::kMachine:
      view.machines[name] = std::get<Machine>(resource.specification);
      break;
  }
}

void RemoveResource(const resources::ResourceId& id, FleetView& view) {
  switch (id.kind) {
    case Kind::kService:
      view.services.erase(id.name);
      break;
    case Kind::kBackend:
      view.backends.erase(id.name);
      break;
    case Kind::kIndexSnapshot:
      break;  // comes as removed_snapshots
    case Kind::kMachine:
      view.machines.erase(id.name);
      break;
  }
}

}  // namespace

protocol::ResourceRecordT EncodeResource(const resources::Resource& resource) {
  protocol::ResourceRecordT record;
  record.name = resource.id.name;
  record.version = resource.version;
  std::visit(
      [&record](const auto& specification) {
        record.specification.Set(EncodeSpecification(specification));
      },
      resource.specification);
  return record;
}

Result<resources::Resource> DecodeResource(
    const protocol::ResourceRecordT& record) {
  const auto& specification = record.specification;
  switch (specification.type) {
    case protocol::ResourceSpecification::ServiceSpecification:
      return Assemble(record, Kind::kService,
                      *specification.AsServiceSpecification());
    case protocol::ResourceSpecification::BackendSpecification:
      return Assemble(record, Kind::kBackend,
                      *specification.AsBackendSpecification());
    case protocol::ResourceSpecification::IndexSnapshotSpecification:
      return Assemble(record, Kind::kIndexSnapshot,
                      *specification.AsIndexSnapshotSpecification());
    case protocol::ResourceSpecification::MachineSpecification:
      return Assemble(record, Kind::kMachine,
                      *specification.AsMachineSpecification());
    case protocol::ResourceSpecification::NONE:
      break;
  }
  return MakeError(ErrorCode::kInvalidArgument, "spec",
                   "the record has no specification");
}

protocol::ResourceKeyT EncodeResourceId(const resources::ResourceId& id) {
  protocol::ResourceKeyT key;
  key.kind = static_cast<protocol::ResourceKind>(id.kind);
  key.name = id.name;
  return key;
}

resources::ResourceId DecodeResourceId(const protocol::ResourceKeyT& key) {
  return {static_cast<Kind>(key.kind), key.name};
}

protocol::FleetMemberT EncodeMember(const Member& member) {
  protocol::FleetMemberT record;
  record.daemon_id = member.daemon_id;
  record.incarnation = member.incarnation;
  record.zone = member.zone;
  record.region = member.region;
  record.peer_address = member.peer_address;
  record.gateway = member.gateway;
  record.router = member.router;
  record.leaving = member.leaving;
  return record;
}

Member DecodeMember(const protocol::FleetMemberT& record) {
  Member member;
  member.daemon_id = record.daemon_id;
  member.incarnation = record.incarnation;
  member.zone = record.zone;
  member.region = record.region;
  member.peer_address = record.peer_address;
  member.gateway = record.gateway;
  member.router = record.router;
  member.leaving = record.leaving;
  return member;
}

protocol::BackendReportRecordT EncodeReport(const std::string& backend,
                                            const BackendReport& report) {
  protocol::BackendReportRecordT record;
  record.backend = backend;
  record.held_versions.assign(report.held_versions.begin(),
                              report.held_versions.end());
  record.draining = report.draining;
  return record;
}

BackendReport DecodeReport(const protocol::BackendReportRecordT& record) {
  BackendReport report;
  report.held_versions.insert(record.held_versions.begin(),
                              record.held_versions.end());
  report.draining = record.draining;
  return report;
}

protocol::DiscoveredBackendRecordT EncodeDiscovered(
    const DiscoveredBackend& backend) {
  protocol::DiscoveredBackendRecordT record;
  record.id = backend.id;
  record.service = backend.service;
  record.address = backend.address;
  record.zone = backend.zone;
  record.slots = backend.slots;
  record.draining = backend.draining;
  record.cold = backend.cold;
  record.start_us = backend.start.time_since_epoch().count();
  record.version = backend.version;
  record.canary = backend.canary;
  return record;
}

DiscoveredBackend DecodeDiscovered(
    const protocol::DiscoveredBackendRecordT& record) {
  DiscoveredBackend backend;
  backend.id = record.id;
  backend.service = record.service;
  backend.address = record.address;
  backend.zone = record.zone;
  backend.slots = record.slots;
  backend.draining = record.draining;
  backend.cold = record.cold;
  backend.start = WallTime(Duration(record.start_us));
  backend.version = record.version;
  backend.canary = record.canary;
  return backend;
}

protocol::ZoneEvacuationRecordT EncodeEvacuation(
    const std::string& zone, const ZoneEvacuation& evacuation) {
  protocol::ZoneEvacuationRecordT record;
  record.zone = zone;
  record.since_us = evacuation.since.time_since_epoch().count();
  record.change_id = evacuation.change_id;
  return record;
}

ZoneEvacuation DecodeEvacuation(const protocol::ZoneEvacuationRecordT& record) {
  return {.since = WallTime{Duration(record.since_us)},
          .change_id = record.change_id};
}

protocol::CrashingRequestRecordT EncodeCrashingRequest(
    RequestFingerprint fingerprint, const CrashingRequest& request) {
  protocol::CrashingRequestRecordT record;
  record.fingerprint = fingerprint.value;
  record.quarantined = request.quarantined;
  record.ended_backends = request.ended_backends;
  record.since_us = request.since.time_since_epoch().count();
  return record;
}

CrashingRequest DecodeCrashingRequest(
    const protocol::CrashingRequestRecordT& record) {
  return {.quarantined = record.quarantined,
          .ended_backends = record.ended_backends,
          .since = WallTime{Duration(record.since_us)}};
}

protocol::RunningRolloutRecordT EncodeRunningRollout(
    const std::string& service, const RunningRollout& rollout) {
  protocol::RunningRolloutRecordT record;
  record.service = service;
  record.number = rollout.number;
  record.share_permille = rollout.share_permille;
  record.base_share_permille = rollout.base_share_permille;
  return record;
}

RunningRollout DecodeRunningRollout(
    const protocol::RunningRolloutRecordT& record) {
  return {.number = record.number,
          .share_permille = record.share_permille,
          .base_share_permille = record.base_share_permille};
}

bool IsApplicable(const protocol::FleetUpdateT& update,
                  resources::Revision revision) {
  return update.from_revision <= revision && update.to_revision > revision;
}

Result<FleetViewPointer> ApplyUpdate(const FleetView& base,
                                     const protocol::FleetUpdateT& update) {
  const bool full = update.from_revision == 0;
  auto view =
      full ? std::make_shared<FleetView>() : std::make_shared<FleetView>(base);
  view->revision = update.to_revision;
  for (const auto& key : update.removed_resources) {
    RemoveResource(DecodeResourceId(*key), *view);
  }
  for (const auto& snapshot : update.removed_snapshots) {
    view->snapshots.erase({snapshot->service, snapshot->index_version});
  }
  for (const auto& record : update.resources) {
    auto resource = DecodeResource(*record);
    if (!resource) {
      return tl::unexpected(resource.error());
    }
    PutResource(*resource, *view);
  }
  for (const auto& name : update.removed_members) {
    view->members.erase(name);
  }
  for (const auto& member : update.members) {
    view->members[member->daemon_id] = DecodeMember(*member);
  }
  for (const auto& backend : update.removed_reports) {
    view->reports.erase(backend);
  }
  for (const auto& report : update.reports) {
    view->reports[report->backend] = DecodeReport(*report);
  }
  for (const auto& service : update.removed_serving) {
    view->serving.erase(service);
  }
  for (const auto& serving : update.serving) {
    view->serving[serving->service] = serving->index_version;
  }
  for (const auto& id : update.removed_discovered) {
    view->discovered.erase(id);
  }
  for (const auto& backend : update.discovered) {
    view->discovered[backend->id] = DecodeDiscovered(*backend);
  }
  for (const auto& zone : update.ended_evacuations) {
    view->evacuations.erase(zone);
  }
  for (const auto& evacuation : update.evacuations) {
    view->evacuations[evacuation->zone] = DecodeEvacuation(*evacuation);
  }
  for (const std::uint64_t fingerprint : update.cleared_requests) {
    view->crashing_requests.erase(RequestFingerprint{fingerprint});
  }
  for (const auto& request : update.crashing_requests) {
    view->crashing_requests[RequestFingerprint{request->fingerprint}] =
        DecodeCrashingRequest(*request);
  }
  for (const auto& service : update.ended_rollouts) {
    view->rollouts.erase(service);
  }
  for (const auto& rollout : update.rollouts) {
    view->rollouts[rollout->service] = DecodeRunningRollout(*rollout);
  }
  if (update.route_table) {
    const auto text = Decompress(update.route_table->content);
    if (!text) {
      return tl::unexpected(text.error());
    }
    auto table = routes::ParseRouteTable(*text);
    if (!table) {
      return tl::unexpected(table.error());
    }
    view->route_table =
        std::make_shared<const routes::RouteTable>(std::move(*table));
  }
  return view;
}

}  // namespace juniperway::session
