#include "common/control/control_state.h"

#include <glog/logging.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "common/control/operation_applier.h"
#include "common/control/rollout_record.h"
#include "common/control/serving_rule.h"
#include "common/control/update_builder.h"
#include "common/session/fleet_codec.h"

namespace juniperway::control {
namespace {

template <typename Record>
std::string Serialize(const Record& record) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Record::TableType::Pack(builder, &record));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

// Returns the table in `data`, or null when `data` is not a valid `Table`.
template <typename Table>
const Table* Verify(std::string_view data) {
  flatbuffers::Verifier verifier(
      reinterpret_cast<const std::uint8_t*>(data.data()), data.size(),
      /*max_depth=*/64, /*max_tables=*/100'000'000);
  return verifier.VerifyBuffer<Table>(nullptr)
             ? flatbuffers::GetRoot<Table>(data.data())
             : nullptr;
}

protocol::CrashRecordT EncodeCrashRecord(RequestFingerprint request,
                                         const CrashRecord& record) {
  protocol::CrashRecordT encoded;
  encoded.fingerprint = request.value;
  encoded.ended_backends.assign(record.ended_backends.begin(),
                                record.ended_backends.end());
  encoded.quarantined = record.quarantined;
  encoded.since_us = record.since.time_since_epoch().count();
  encoded.latest_us = record.latest.time_since_epoch().count();
  return encoded;
}

CrashRecord DecodeCrashRecord(const protocol::CrashRecordT& record) {
  return {.ended_backends = {record.ended_backends.begin(),
                             record.ended_backends.end()},
          .quarantined = record.quarantined,
          .since = WallTime{Duration(record.since_us)},
          .latest = WallTime{Duration(record.latest_us)}};
}

}  // namespace

std::string EncodeCommand(const protocol::CommandT& command) {
  return Serialize(command);
}

AppliedCommand ControlState::Apply(std::string_view command) {
  const auto* table = Verify<protocol::Command>(command);
  CHECK(table != nullptr) << "a committed command does not decode";
  protocol::CommandT unpacked;
  table->UnPackTo(&unpacked);
  return Apply(unpacked);
}

AppliedCommand ControlState::Apply(const protocol::CommandT& command) {
  wall_time_ = std::max(wall_time_, WallTime{Duration(command.wall_time_us)});
  claims_.Expire(wall_time_);
  changes_.Expire(wall_time_);
  OperationApplier applier(*this);
  applier.ExpireCrashes();
  AppliedCommand applied;
  applied.results.reserve(command.operations.size());
  for (const auto& item : command.operations) {
    applied.results.push_back(applier.Apply(*item));
  }
  applied.changed_members = applier.TakeChangedMembers();
  return applied;
}

void ControlState::SkipRevisions(resources::Revision revisions,
                                 WallTime wall_time) {
  revision_ += revisions;
  orders_.Skip(revisions);
  log_.Reset(revision_);
  wall_time_ = std::max(wall_time_, wall_time);
  claims_.Expire(wall_time_);
  changes_.Expire(wall_time_);
}

void ControlState::Commit(std::vector<FleetItem> items) {
  ++revision_;
  log_.Record(revision_, std::move(items));
}

void ControlState::AdvanceServing(const std::set<std::string>& services) {
  for (const std::string& service : services) {
    const auto next = NextServingVersion(fleet_, service);
    if (!next) {
      continue;
    }
    fleet_.serving[service] = *next;
    FleetItem item;
    item.kind = FleetItem::Kind::kServing;
    item.name = service;
    Commit({item});
  }
}

protocol::FleetUpdateT ControlState::UpdateSince(
    resources::Revision from) const {
  UpdateBuilder builder(fleet_);
  const auto items = from == 0 ? std::nullopt : log_.ItemsSince(from);
  if (items) {
    for (const FleetItem& item : *items) {
      builder.Add(item);
    }
  } else {
    builder.AddEverything();
  }
  protocol::FleetUpdateT update = builder.Take();
  update.from_revision = items ? from : 0;
  update.to_revision = revision_;
  return update;
}

std::optional<std::vector<resources::ResourceId>>
ControlState::ResourcesChangedSince(resources::Revision from) const {
  const auto items = log_.ItemsSince(from);
  if (!items) {
    return std::nullopt;
  }
  std::vector<resources::ResourceId> ids;
  for (const FleetItem& item : *items) {
    if (item.kind == FleetItem::Kind::kResource) {
      ids.push_back({item.resource_kind, item.name});
    }
  }
  // Items with the same name and different index versions are adjacent.
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
  return ids;
}

std::string ControlState::EncodeSnapshot() const {
  protocol::StateSnapshotT snapshot;
  snapshot.revision = revision_;
  snapshot.wall_time_us = wall_time_.time_since_epoch().count();
  for (const auto& [id, resource] : fleet_.resources()) {
    snapshot.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
        session::EncodeResource(resource)));
  }
  for (const auto& [name, member] : fleet_.members) {
    snapshot.members.push_back(std::make_unique<protocol::FleetMemberT>(
        session::EncodeMember(member)));
  }
  for (const auto& [backend, report] : fleet_.reports) {
    snapshot.reports.push_back(std::make_unique<protocol::BackendReportRecordT>(
        session::EncodeReport(backend, report)));
  }
  for (const auto& [service, version] : fleet_.serving) {
    snapshot.serving.push_back(MakeServing(service, version));
  }
  for (const auto& [service, version] : fleet_.published) {
    snapshot.published.push_back(MakeServing(service, version));
  }
  snapshot.platform_leaving.assign(fleet_.platform_leaving.begin(),
                                   fleet_.platform_leaving.end());
  for (auto& claim : claims_.Encode()) {
    snapshot.claims.push_back(
        std::make_unique<protocol::ClaimRecordT>(std::move(claim)));
  }
  for (const auto* change : changes_.Records()) {
    snapshot.changes.push_back(
        std::make_unique<protocol::ChangeRecordT>(*change));
  }
  if (fleet_.route_table.version != 0) {
    snapshot.route_table = EncodeRouteTable(fleet_.route_table);
  }
  for (const auto& [id, backend] : fleet_.discovered) {
    snapshot.discovered.push_back(
        std::make_unique<protocol::DiscoveredBackendRecordT>(
            session::EncodeDiscovered(backend)));
  }
  for (const auto& [zone, evacuation] : fleet_.evacuations) {
    snapshot.evacuations.push_back(
        std::make_unique<protocol::ZoneEvacuationRecordT>(
            session::EncodeEvacuation(zone, evacuation)));
  }
  for (const auto& [service, rollout] : fleet_.rollouts) {
    snapshot.rollouts.push_back(std::make_unique<protocol::RolloutRecordT>(
        EncodeRollout(service, rollout)));
  }
  for (const auto& [request, record] : fleet_.crashes) {
    snapshot.crashes.push_back(std::make_unique<protocol::CrashRecordT>(
        EncodeCrashRecord(request, record)));
  }
  snapshot.order_table =
      std::make_unique<protocol::OrderTableRecordT>(orders_.Encode());
  return Serialize(snapshot);
}

Result<ControlState> ControlState::DecodeSnapshot(std::string_view data) {
  const auto* table = Verify<protocol::StateSnapshot>(data);
  if (table == nullptr) {
    return MakeError(ErrorCode::kCorrupt, "",
                     "the data is not a valid snapshot of the control state");
  }
  protocol::StateSnapshotT snapshot;
  table->UnPackTo(&snapshot);
  ControlState state;
  state.revision_ = snapshot.revision;
  state.wall_time_ = WallTime{Duration(snapshot.wall_time_us)};
  state.log_.Reset(snapshot.revision);
  for (const auto& record : snapshot.resources) {
    auto resource = session::DecodeResource(*record);
    if (!resource) {
      return MakeError(ErrorCode::kCorrupt, record->name,
                       resource.error().message);
    }
    state.fleet_.Put(*resource);
  }
  for (const auto& member : snapshot.members) {
    state.fleet_.members[member->daemon_id] = session::DecodeMember(*member);
  }
  for (const auto& report : snapshot.reports) {
    state.fleet_.reports[report->backend] = session::DecodeReport(*report);
  }
  for (const auto& serving : snapshot.serving) {
    state.fleet_.serving[serving->service] = serving->index_version;
  }
  for (const auto& published : snapshot.published) {
    state.fleet_.published[published->service] = published->index_version;
  }
  state.fleet_.platform_leaving.insert(snapshot.platform_leaving.begin(),
                                       snapshot.platform_leaving.end());
  for (const auto& claim : snapshot.claims) {
    state.claims_.Insert(*claim);
  }
  for (const auto& change : snapshot.changes) {
    state.changes_.Insert(std::move(*change));
  }
  if (snapshot.route_table) {
    state.fleet_.route_table = {snapshot.route_table->version,
                                std::move(snapshot.route_table->content)};
  }
  for (const auto& backend : snapshot.discovered) {
    state.fleet_.discovered[backend->id] = session::DecodeDiscovered(*backend);
  }
  for (const auto& evacuation : snapshot.evacuations) {
    state.fleet_.evacuations[evacuation->zone] =
        session::DecodeEvacuation(*evacuation);
  }
  for (const auto& rollout : snapshot.rollouts) {
    state.fleet_.rollouts[rollout->service] = DecodeRollout(*rollout);
  }
  for (const auto& crash : snapshot.crashes) {
    state.fleet_.crashes[RequestFingerprint{crash->fingerprint}] =
        DecodeCrashRecord(*crash);
  }
  if (snapshot.order_table) {
    state.orders_ = OrderTable::Decode(*snapshot.order_table);
  }
  return state;
}

}  // namespace juniperway::control
