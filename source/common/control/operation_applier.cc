#include "common/control/operation_applier.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "common/control/api_call.h"
#include "common/control/order_subject.h"
#include "common/control/resource_rules.h"
#include "common/control/serving_rule.h"
#include "common/session/fleet_codec.h"

namespace juniperway::control {
namespace {

using resources::Resource;
using resources::ResourceId;

FleetItem ItemOf(const Resource& resource) {
  FleetItem item;
  item.kind = FleetItem::Kind::kResource;
  item.resource_kind = resource.id.kind;
  item.name = resource.id.name;
  if (const auto* snapshot =
          std::get_if<resources::IndexSnapshot>(&resource.specification)) {
    item.service = snapshot->service;
    item.index_version = snapshot->index_version;
  }
  return item;
}

// Returns the service whose serving version may change with this resource.
std::string ServiceOf(const Resource& resource) {
  if (const auto* backend =
          std::get_if<resources::Backend>(&resource.specification)) {
    return backend->service;
  }
  if (const auto* snapshot =
          std::get_if<resources::IndexSnapshot>(&resource.specification)) {
    return snapshot->service;
  }
  return resource.id.name;
}

// A resource that was removed has the version of one that never existed.
bool CreatesResource(const Resource& resource) { return resource.version == 0; }

bool SameReport(const session::BackendReport& left,
                const session::BackendReport& right) {
  return left.draining == right.draining &&
         left.held_versions == right.held_versions;
}

}  // namespace

protocol::OperationResultT OperationApplier::Apply(
    const protocol::OperationItemT& item) {
  based_on_ = item.based_on;
  return Apply(item.operation);
}

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::OperationUnion& operation) {
  switch (operation.type) {
    case protocol::Operation::ApplyResources:
      return Apply(*operation.AsApplyResources());
    case protocol::Operation::DeleteResource:
      return Apply(*operation.AsDeleteResource());
    case protocol::Operation::JoinMember:
      return Apply(*operation.AsJoinMember());
    case protocol::Operation::LeaveMember:
      return Apply(*operation.AsLeaveMember());
    case protocol::Operation::RemoveMember:
      return Apply(*operation.AsRemoveMember());
    case protocol::Operation::ClaimRequest:
      return Apply(*operation.AsClaimRequest());
    case protocol::Operation::RecordOutcome:
      return Apply(*operation.AsRecordOutcome());
    case protocol::Operation::ReportBackends:
      return Apply(*operation.AsReportBackends());
    case protocol::Operation::SetPlatformLeaving:
      return Apply(*operation.AsSetPlatformLeaving());
    case protocol::Operation::PutRouteTable:
      return Apply(*operation.AsPutRouteTable());
    case protocol::Operation::UpdateDiscovered:
      return Apply(*operation.AsUpdateDiscovered());
    case protocol::Operation::SetZoneEvacuation:
      return Apply(*operation.AsSetZoneEvacuation());
    case protocol::Operation::ReportCrash:
      return Apply(*operation.AsReportCrash());
    case protocol::Operation::JudgeCrashes:
      return Apply(*operation.AsJudgeCrashes());
    case protocol::Operation::StartRollout:
      return Apply(*operation.AsStartRollout());
    case protocol::Operation::AdvanceRollout:
      return Apply(*operation.AsAdvanceRollout());
    case protocol::Operation::RemoveRollout:
      return Apply(*operation.AsRemoveRollout());
    case protocol::Operation::NONE:
      break;
  }
  return Refuse({ErrorCode::kInvalidArgument, "", "unknown operation"});
}

// --- Resources ---------------------------------------------------------------

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::ApplyResourcesT& operation) {
  if (auto first = FindFirstOutcome(operation.change_id, operation.digest)) {
    return std::move(*first);
  }
  std::vector<Resource> set;
  std::vector<ResourceId> ids;
  for (const auto& record : operation.resources) {
    auto resource = session::DecodeResource(*record);
    if (!resource) {
      return Refuse(resource.error());
    }
    ids.push_back(resource->id);
    set.push_back(std::move(*resource));
  }
  if (std::ranges::any_of(set, CreatesResource)) {
    if (auto refused = RefuseOvertaken(kResourceRemovalSubject)) {
      return std::move(*refused);
    }
  }
  Outcome outcome;
  if (auto checked = CheckApply(state_.fleet_, set); checked) {
    outcome = WriteSet(std::move(set));
  } else {
    outcome = Refuse(checked.error());
    AttachCurrent(ids, outcome);
  }
  RecordChange(operation.change_id, operation.digest, outcome, ids);
  return outcome;
}

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::DeleteResourceT& operation) {
  if (auto first = FindFirstOutcome(operation.change_id, operation.digest)) {
    return std::move(*first);
  }
  const ResourceId id = session::DecodeResourceId(*operation.key);
  Outcome outcome;
  if (auto checked = CheckDelete(state_.fleet_, id, operation.version);
      checked) {
    outcome = Erase(id, operation.version);
    RecordOrder(kResourceRemovalSubject, operation.change_id);
  } else {
    outcome = Refuse(checked.error());
    AttachCurrent({id}, outcome);
  }
  RecordChange(operation.change_id, operation.digest, outcome, {id});
  return outcome;
}

OperationApplier::Outcome OperationApplier::WriteSet(
    std::vector<Resource> set) {
  FleetStore& fleet = state_.fleet_;
  std::vector<FleetItem> items;
  std::set<std::string> services;
  const resources::Revision revision = state_.revision_ + 1;
  Outcome outcome;
  for (Resource& resource : set) {
    if (const Resource* before = fleet.Find(resource.id)) {
      services.insert(ServiceOf(*before));
    }
    services.insert(ServiceOf(resource));
    resource.version = revision;
    fleet.Put(resource);
    if (const auto* snapshot =
            std::get_if<resources::IndexSnapshot>(&resource.specification)) {
      auto& published = fleet.published[snapshot->service];
      published = std::max(published, snapshot->index_version);
    }
    items.push_back(ItemOf(resource));
    if (fleet.members.contains(resource.id.name)) {
      // A Machine marked as leaving changes the daemon of the same name.
      items.push_back(NamedItem(FleetItem::Kind::kMember, resource.id.name));
    }
    outcome.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
        session::EncodeResource(resource)));
  }
  state_.Commit(std::move(items));
  outcome.revision = revision;
  state_.AdvanceServing(services);
  return outcome;
}

OperationApplier::Outcome OperationApplier::Erase(const ResourceId& id,
                                                  resources::Revision) {
  FleetStore& fleet = state_.fleet_;
  const Resource resource = *fleet.Find(id);
  std::vector<FleetItem> items = {ItemOf(resource)};
  fleet.Erase(id);
  if (id.kind == resources::Kind::kBackend && fleet.reports.erase(id.name)) {
    items.push_back(NamedItem(FleetItem::Kind::kReport, id.name));
  }
  if (const auto* snapshot =
          std::get_if<resources::IndexSnapshot>(&resource.specification)) {
    auto serving = fleet.serving.find(snapshot->service);
    if (serving != fleet.serving.end() &&
        serving->second == snapshot->index_version) {
      fleet.serving.erase(serving);
      items.push_back(NamedItem(FleetItem::Kind::kServing, snapshot->service));
    }
  }
  if (fleet.members.contains(id.name)) {
    items.push_back(NamedItem(FleetItem::Kind::kMember, id.name));
  }
  state_.Commit(std::move(items));
  return Done();
}

std::optional<OperationApplier::Outcome> OperationApplier::FindFirstOutcome(
    const std::string& change_id, std::uint64_t digest) const {
  const protocol::ChangeRecordT* change = state_.changes_.Find(change_id);
  if (change == nullptr) {
    return std::nullopt;
  }
  if (change->digest != digest) {
    return Refuse({ErrorCode::kInvalidArgument, "change_id",
                   "was used for a different change"});
  }
  Outcome outcome;
  outcome.resent = true;
  outcome.revision = change->revision;
  if (change->error) {
    outcome.error = std::make_unique<protocol::OperationErrorT>(*change->error);
  }
  std::vector<ResourceId> written;
  for (const auto& key : change->written) {
    written.push_back(session::DecodeResourceId(*key));
  }
  AttachCurrent(written, outcome);
  return outcome;
}

void OperationApplier::RecordChange(const std::string& change_id,
                                    std::uint64_t digest,
                                    const Outcome& outcome,
                                    const std::vector<ResourceId>& written) {
  protocol::ChangeRecordT record;
  record.change_id = change_id;
  record.digest = digest;
  record.wall_time_us = state_.wall_time_.time_since_epoch().count();
  record.revision = outcome.revision;
  if (outcome.error) {
    record.error = std::make_unique<protocol::OperationErrorT>(*outcome.error);
  }
  for (const ResourceId& id : written) {
    record.written.push_back(std::make_unique<protocol::ResourceKeyT>(
        session::EncodeResourceId(id)));
  }
  state_.changes_.Insert(std::move(record));
}

void OperationApplier::AttachCurrent(const std::vector<ResourceId>& ids,
                                     Outcome& outcome) const {
  for (const ResourceId& id : ids) {
    if (const Resource* resource = state_.fleet_.Find(id)) {
      outcome.resources.push_back(std::make_unique<protocol::ResourceRecordT>(
          session::EncodeResource(*resource)));
    }
  }
}

// --- Membership --------------------------------------------------------------

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::JoinMemberT& operation) {
  const session::Member joining = session::DecodeMember(*operation.member);
  auto current = state_.fleet_.members.find(joining.daemon_id);
  if (current != state_.fleet_.members.end()) {
    if (current->second.incarnation == joining.incarnation) {
      return Done();
    }
    if (current->second.incarnation > joining.incarnation) {
      return Refuse({ErrorCode::kConflict, "incarnation",
                     "a later incarnation of this daemon has joined"});
    }
  }
  state_.fleet_.members[joining.daemon_id] = joining;
  changed_members_.insert(joining.daemon_id);
  state_.Commit({NamedItem(FleetItem::Kind::kMember, joining.daemon_id)});
  return Done();
}

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::LeaveMemberT& operation) {
  auto member = state_.fleet_.members.find(operation.daemon_id);
  if (member == state_.fleet_.members.end() ||
      member->second.incarnation != operation.incarnation ||
      member->second.leaving) {
    return Done();
  }
  member->second.leaving = true;
  changed_members_.insert(operation.daemon_id);
  state_.Commit({NamedItem(FleetItem::Kind::kMember, operation.daemon_id)});
  return Done();
}

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::RemoveMemberT& operation) {
  auto member = state_.fleet_.members.find(operation.daemon_id);
  if (member == state_.fleet_.members.end() ||
      member->second.incarnation != operation.incarnation) {
    return Done();
  }
  state_.fleet_.members.erase(member);
  changed_members_.insert(operation.daemon_id);
  state_.Commit({NamedItem(FleetItem::Kind::kMember, operation.daemon_id)});
  return Done();
}

// --- Claims ------------------------------------------------------------------

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::ClaimRequestT& operation) {
  const auto* service = state_.fleet_.FindService(operation.service);
  if (service == nullptr) {
    return Refuse({ErrorCode::kNotFound, "service",
                   "there is no Service " + operation.service});
  }
  const WallTime limit =
      state_.wall_time_ + service->maximum_expiry + kClaimClockAllowance;
  if (WallTime{Duration(operation.expiry_us)} > limit) {
    return Refuse({ErrorCode::kInvalidArgument, "expiry",
                   "is later than the service's maximum_expiry allows"});
  }
  if (state_.claims_.size() >= kMaximumClaims) {
    return Refuse(
        {ErrorCode::kTooLarge, "", "too many claims have not expired yet"});
  }
  const session::ClaimReply reply =
      state_.claims_.Claim(operation, state_.wall_time_);
  Outcome outcome = Done();
  outcome.claim = std::make_unique<protocol::ClaimResultT>();
  outcome.claim->decision =
      static_cast<protocol::ClaimDecisionCode>(reply.decision);
  outcome.claim->has_outcome = reply.recorded_outcome.has_value();
  outcome.claim->outcome = static_cast<std::uint8_t>(
      reply.recorded_outcome.value_or(ExecutionState::kMayHaveRun));
  return outcome;
}

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::RecordOutcomeT& operation) {
  state_.claims_.RecordOutcome(operation);
  return Done();
}

// --- Backends ----------------------------------------------------------------

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::ReportBackendsT& operation) {
  std::vector<FleetItem> items;
  std::set<std::string> services;
  for (const auto& record : operation.reports) {
    const auto* backend = state_.fleet_.FindBackend(record->backend);
    if (backend == nullptr) {
      continue;
    }
    const session::BackendReport report = session::DecodeReport(*record);
    auto [current, inserted] =
        state_.fleet_.reports.try_emplace(record->backend);
    if (!inserted && SameReport(current->second, report)) {
      continue;
    }
    current->second = report;
    items.push_back(NamedItem(FleetItem::Kind::kReport, record->backend));
    services.insert(backend->service);
  }
  if (!items.empty()) {
    state_.Commit(std::move(items));
    state_.AdvanceServing(services);
  }
  return Done();
}

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::SetPlatformLeavingT& operation) {
  FleetStore& fleet = state_.fleet_;
  std::set<std::string> names(operation.names.begin(), operation.names.end());
  std::vector<std::string> changed;
  std::ranges::set_symmetric_difference(names, fleet.platform_leaving,
                                        std::back_inserter(changed));
  if (changed.empty()) {
    return Done();
  }
  fleet.platform_leaving = std::move(names);
  std::vector<FleetItem> items;
  std::set<std::string> services;
  for (const std::string& name : changed) {
    if (const Resource* resource =
            fleet.Find({resources::Kind::kBackend, name})) {
      items.push_back(ItemOf(*resource));
      services.insert(ServiceOf(*resource));
    }
    if (fleet.members.contains(name)) {
      items.push_back(NamedItem(FleetItem::Kind::kMember, name));
      changed_members_.insert(name);
    }
  }
  if (!items.empty()) {
    state_.Commit(std::move(items));
    state_.AdvanceServing(services);
  }
  return Done();
}

// --- HTTP forwarding ---------------------------------------------------------

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::PutRouteTableT& operation) {
  StoredRouteTable& stored = state_.fleet_.route_table;
  // Operators may write concurrently, and a resent table may arrive after a
  // newer one. The state keeps the table with the highest version; of two
  // tables with the same version, it keeps the first.
  if (operation.route_table->version <= stored.version) {
    return Done();
  }
  stored = {operation.route_table->version, operation.route_table->content};
  state_.Commit({NamedItem(FleetItem::Kind::kRouteTable, "")});
  return Done();
}

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::UpdateDiscoveredT& operation) {
  auto& discovered = state_.fleet_.discovered;
  std::vector<FleetItem> items;
  for (const std::string& id : operation.removed) {
    if (discovered.erase(id) > 0) {
      items.push_back(NamedItem(FleetItem::Kind::kDiscovered, id));
    }
  }
  for (const auto& record : operation.backends) {
    session::DiscoveredBackend backend = session::DecodeDiscovered(*record);
    session::DiscoveredBackend& stored = discovered[record->id];
    if (stored == backend) {
      continue;
    }
    stored = std::move(backend);
    items.push_back(NamedItem(FleetItem::Kind::kDiscovered, record->id));
  }
  if (!items.empty()) {
    state_.Commit(std::move(items));
  }
  return Done();
}

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::SetZoneEvacuationT& operation) {
  // A control node may send a call to another control node twice, and the
  // second copy may arrive after a later order has reversed the first.
  if (auto first = FindFirstOutcome(operation.change_id, operation.digest)) {
    return std::move(*first);
  }
  const std::string subject = EvacuationSubject(operation.zone);
  if (auto refused = RefuseOvertaken(subject)) {
    return std::move(*refused);
  }
  RecordOrder(subject, operation.change_id);
  SetEvacuation(operation);
  Outcome outcome = Done();
  RecordChange(operation.change_id, operation.digest, outcome, {});
  return outcome;
}

void OperationApplier::SetEvacuation(
    const protocol::SetZoneEvacuationT& operation) {
  auto& evacuations = state_.fleet_.evacuations;
  const bool evacuated = evacuations.contains(operation.zone);
  if (evacuated == operation.evacuated) {
    return;
  }
  if (operation.evacuated) {
    evacuations[operation.zone] = {.since = state_.wall_time_,
                                   .change_id = operation.change_id};
  } else {
    evacuations.erase(operation.zone);
  }
  state_.Commit({NamedItem(FleetItem::Kind::kEvacuation, operation.zone)});
}

// --- Requests that crashed backends ------------------------------------------

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::ReportCrashT& operation) {
  const RequestFingerprint request{operation.fingerprint};
  CrashRecords& crashes = state_.fleet_.crashes;
  if (operation.survived) {
    if (crashes.erase(request) > 0) {
      CommitCrash(request);
    }
    return Done();
  }
  if (!crashes.contains(request) && crashes.size() >= kMaximumCrashRecords) {
    EvictOldestCrash();
  }
  CrashRecord& record = crashes[request];
  const std::size_t known_backends = record.ended_backends.size();
  for (const std::string& backend : operation.ended_backends) {
    if (record.ended_backends.size() < kMaximumEndedBackends) {
      record.ended_backends.insert(backend);
    }
  }
  if (known_backends == 0) {
    record.since = state_.wall_time_;
  }
  record.latest = state_.wall_time_;
  if (record.ended_backends.size() != known_backends) {
    CommitCrash(request);
  }
  return Done();
}

OperationApplier::Outcome OperationApplier::Apply(
    const protocol::JudgeCrashesT& operation) {
  if (operation.change_id.empty()) {
    Judge(operation);
    return Done();
  }
  // A second copy of an order must not release a request that was quarantined
  // after the first copy.
  if (auto first = FindFirstOutcome(operation.change_id, operation.digest)) {
    return std::move(*first);
  }
  for (const std::uint64_t fingerprint : operation.release) {
    const std::string subject = CrashingRequestSubject({fingerprint});
    if (auto refused = RefuseOvertaken(subject)) {
      return std::move(*refused);
    }
  }
  Judge(operation);
  Outcome outcome = Done();
  RecordChange(operation.change_id, operation.digest, outcome, {});
  return outcome;
}

void OperationApplier::Judge(const protocol::JudgeCrashesT& operation) {
  CrashRecords& crashes = state_.fleet_.crashes;
  for (const std::uint64_t value : operation.quarantine) {
    const auto record = crashes.find(RequestFingerprint{value});
    if (record != crashes.end() && !record->second.quarantined) {
      record->second.quarantined = true;
      RecordOrder(CrashingRequestSubject(record->first), operation.change_id);
      CommitCrash(record->first);
    }
  }
  for (const std::uint64_t value : operation.release) {
    const RequestFingerprint request{value};
    RecordOrder(CrashingRequestSubject(request), operation.change_id);
    if (crashes.erase(request) > 0) {
      CommitCrash(request);
    }
  }
}

void OperationApplier::ExpireCrashes() {
  CrashRecords& crashes = state_.fleet_.crashes;
  for (auto record = crashes.begin(); record != crashes.end();) {
    const Duration time_to_live = record->second.quarantined
                                      ? kQuarantineTimeToLive
                                      : kSuspicionTimeToLive;
    if (state_.wall_time_ - record->second.latest < time_to_live) {
      ++record;
      continue;
    }
    const RequestFingerprint request = record->first;
    record = crashes.erase(record);
    CommitCrash(request);
  }
}

void OperationApplier::EvictOldestCrash() {
  CrashRecords& crashes = state_.fleet_.crashes;
  const auto oldest =
      std::ranges::min_element(crashes, {}, [](const auto& entry) {
        return std::pair(entry.second.quarantined, entry.second.latest);
      });
  const RequestFingerprint request = oldest->first;
  crashes.erase(oldest);
  CommitCrash(request);
}

void OperationApplier::CommitCrash(RequestFingerprint request) {
  FleetItem item;
  item.kind = FleetItem::Kind::kCrashingRequest;
  item.request = request;
  state_.Commit({item});
}

// --- Results -----------------------------------------------------------------

std::optional<OperationApplier::Outcome> OperationApplier::RefuseOvertaken(
    const std::string& subject) const {
  const auto later =
      based_on_ ? state_.orders_.FindLater(subject, *based_on_) : std::nullopt;
  if (!later) {
    return std::nullopt;
  }
  const std::string change = later->change_id.empty()
                                 ? "no longer kept"
                                 : "change " + later->change_id;
  return Refuse({ErrorCode::kConflict, kBasedOnParameter,
                 "the order on " + subject + " is based on order " +
                     std::to_string(*based_on_) + ", and order " +
                     std::to_string(later->number) + " (" + change +
                     ") came later"});
}

void OperationApplier::RecordOrder(const std::string& subject,
                                   const std::string& change_id) {
  state_.orders_.Record(subject, change_id, based_on_.value_or(0));
}

OperationApplier::Outcome OperationApplier::Done() const {
  Outcome outcome;
  outcome.revision = state_.revision_;
  return outcome;
}

OperationApplier::Outcome OperationApplier::Refuse(const Error& error) const {
  Outcome outcome = Done();
  outcome.error = std::make_unique<protocol::OperationErrorT>();
  outcome.error->code = static_cast<std::uint8_t>(error.code);
  outcome.error->field = error.field;
  outcome.error->message = error.message;
  return outcome;
}

}  // namespace juniperway::control
