#include "common/control/leader_role.h"

#include <algorithm>
#include <utility>

#include "common/control/events.h"
#include "common/raft/configuration.h"
#include "common/session/answer_report_codec.h"
#include "common/session/control_frames.h"
#include "common/session/fleet_codec.h"

namespace juniperway::control {
namespace {

protocol::HeartbeatOutcome ToOutcome(GrantOutcome outcome) {
  switch (outcome) {
    case GrantOutcome::kGranted:
      return protocol::HeartbeatOutcome::kGranted;
    case GrantOutcome::kNotMember:
      return protocol::HeartbeatOutcome::kNotMember;
    case GrantOutcome::kBehind:
      return protocol::HeartbeatOutcome::kBehind;
    case GrantOutcome::kNewTerm:
      return protocol::HeartbeatOutcome::kNewTerm;
    case GrantOutcome::kSuperseded:
      return protocol::HeartbeatOutcome::kSuperseded;
  }
  return protocol::HeartbeatOutcome::kNoLeader;
}

template <typename Operation>
Operations OneOperation(Operation operation) {
  Operations operations;
  operations.push_back(std::make_unique<protocol::OperationItemT>(
      session::MakeOperation(std::move(operation))));
  return operations;
}

}  // namespace

LeaderRole::LeaderRole(const Options& options, Ports ports)
    : lease_(options.leases.lease),
      ports_(std::move(ports)),
      leases_(options.leases),
      tenant_quotas_(options.tenant_tolerance,
                     options.leases.maximum_clock_drift),
      rollout_judge_(options.exposure),
      alive_(std::make_shared<bool>(true)) {}

LeaderRole::~LeaderRole() { *alive_ = false; }

bool LeaderRole::IsInGroup(raft::NodeId node) {
  if (raft::IsMember(group_, node)) {
    refused_nodes_.erase(node);
    return true;
  }
  if (refused_nodes_.insert(node).second) {
    logging::LogEvent(kHeartbeatsRefused, {{"node", node_id_}, {"from", node}});
  }
  return false;
}

void LeaderRole::RecordPools(const raft::Status& status, MonotonicTime now) {
  for (const raft::Member& member : raft::AllMembers(status.configuration)) {
    pools_[PoolName(member.id)] = now;
  }
}

std::set<std::string> LeaderRole::PoolsWithTokens(MonotonicTime now) const {
  std::set<std::string> pools;
  for (const auto& [name, seen] : pools_) {
    if (now - seen < 2 * quota::kRateLeaseDuration) {
      pools.insert(name);
    }
  }
  return pools;
}

void LeaderRole::Update(const raft::Status& status, MonotonicTime now) {
  node_id_ = status.id;
  if (group_ != status.configuration) {
    group_ = status.configuration;
  }
  RecordPools(status, now);
  const bool leads = status.role == raft::Role::kLeader;
  if (pipeline_term_ != 0 && (!leads || status.term != pipeline_term_)) {
    pipeline_term_ = 0;
    pipeline_.FailAll();
  }
  if (leases_.active() && (!leads || status.term != leases_.term())) {
    leases_.Stop();
    tenant_quotas_.Stop();
    rollout_judge_.Stop();
    removals_.clear();
  }
  if (!leads) {
    return;
  }
  pipeline_term_ = status.term;
  // A node that holds the leader lease has applied an entry of this term.
  if (!leases_.active() && ports_.has_leader_lease(now)) {
    const ControlState& state = ports_.state();
    leases_.Start(status.term, state.revision(), state.fleet().members, now);
    leases_.MergeWatermarks(announced_in_force_, announced_zones_);
    tenant_quotas_.Start(status.term, state.fleet().members,
                         PoolsWithTokens(now), now);
    logging::LogEvent(kLeasesStarted,
                      {{"node", status.id},
                       {"term", status.term},
                       {"revision", state.revision()},
                       {"members", state.fleet().members.size()}});
  }
}

void LeaderRole::OnApplied(const raft::Entry& entry, AppliedCommand applied,
                           MonotonicTime now) {
  const auto& members = ports_.state().fleet().members;
  for (const std::string& daemon_id : applied.changed_members) {
    auto member = members.find(daemon_id);
    leases_.SetMember(daemon_id,
                      member == members.end() ? nullptr : &member->second, now);
  }
  pipeline_.OnApplied(entry.index, entry.term, std::move(applied.results));
  ports_.on_watermark_change();
}

// --- Leases ------------------------------------------------------------------

bool LeaderRole::IsLeading(MonotonicTime now) const {
  return leases_.active() && ports_.has_leader_lease(now);
}

HeartbeatReplies LeaderRole::OnHeartbeats(raft::NodeId from,
                                          const Heartbeats& heartbeats,
                                          MonotonicTime now) {
  HeartbeatReplies replies;
  replies.reserve(heartbeats.size());
  const bool leading = IsLeading(now) && IsInGroup(from);
  for (const auto& item : heartbeats) {
    if (!item->heartbeat) {
      continue;
    }
    auto& reply = replies.emplace_back(
        std::make_unique<protocol::MemberHeartbeatReplyT>());
    reply->daemon_id = item->daemon_id;
    reply->incarnation = item->incarnation;
    reply->reply = std::make_unique<protocol::HeartbeatReplyT>();
    if (leading && pools_.contains(item->daemon_id)) {
      *reply->reply = AnswerPool(*item, now);
    } else if (leading) {
      *reply->reply = AnswerHeartbeat(*item, now);
    } else {
      reply->reply->sequence = item->heartbeat->sequence;
      reply->reply->outcome = protocol::HeartbeatOutcome::kNoLeader;
    }
  }
  if (leading) {
    ports_.on_watermark_change();
  }
  return replies;
}

protocol::HeartbeatReplyT LeaderRole::AnswerHeartbeat(
    const protocol::MemberHeartbeatT& item, MonotonicTime now) {
  const protocol::HeartbeatT& heartbeat = *item.heartbeat;
  HeartbeatFacts facts;
  facts.daemon = {item.daemon_id, item.incarnation};
  facts.confirmed = heartbeat.confirmed_revision;
  facts.released = heartbeat.released_revision;
  facts.term = heartbeat.term;
  facts.holds_lease = heartbeat.holds_lease;
  facts.known_in_force = heartbeat.in_force_revision;
  facts.known_zone_released = heartbeat.zone_released_revision;
  const GrantOutcome outcome = leases_.OnHeartbeat(facts, now);
  protocol::HeartbeatReplyT reply;
  reply.sequence = heartbeat.sequence;
  reply.outcome = ToOutcome(outcome);
  if (outcome == GrantOutcome::kGranted) {
    reply.granted_us = lease_.count();
    reply.renewed_rollouts = rollout_judge_.RenewedShares();
  }
  reply.term = leases_.term();
  reply.in_force_revision = leases_.in_force();
  reply.leader_revision = ports_.state().revision();
  const auto& members = ports_.state().fleet().members;
  auto member = members.find(item.daemon_id);
  if (member != members.end()) {
    auto zone = leases_.zones().find(member->second.zone);
    reply.zone_released_revision =
        zone == leases_.zones().end() ? 0 : zone->second;
    if (member->second.router &&
        member->second.incarnation == item.incarnation) {
      tenant_quotas_.OnHeartbeat(item, /*is_pool=*/false,
                                 ports_.state().fleet().route_table, now,
                                 reply);
      rollout_judge_.OnReport(item.daemon_id, item.incarnation,
                              session::DecodeAnswerReports(heartbeat),
                              ports_.state().fleet().rollouts, now);
      // The daemon knew this leader before it sent the heartbeat, so it has
      // sent all its reports to this leader.
      if (heartbeat.term == leases_.term()) {
        rollout_judge_.OnFullReport(item.daemon_id);
      }
    }
  }
  return reply;
}

protocol::HeartbeatReplyT LeaderRole::AnswerPool(
    const protocol::MemberHeartbeatT& item, MonotonicTime now) {
  protocol::HeartbeatReplyT reply;
  reply.sequence = item.heartbeat->sequence;
  reply.outcome = protocol::HeartbeatOutcome::kGranted;
  reply.term = leases_.term();
  tenant_quotas_.OnHeartbeat(item, /*is_pool=*/true,
                             ports_.state().fleet().route_table, now, reply);
  return reply;
}

void LeaderRole::OnGoodbye(const DaemonKey& daemon) {
  if (leases_.active()) {
    leases_.OnGoodbye(daemon);
    ports_.on_watermark_change();
  }
}

void LeaderRole::OnAnnounced(
    resources::Revision in_force,
    const std::map<std::string, resources::Revision>& zones) {
  announced_in_force_ = std::max(announced_in_force_, in_force);
  for (const auto& [zone, released] : zones) {
    resources::Revision& known = announced_zones_[zone];
    known = std::max(known, released);
  }
}

void LeaderRole::Advance(MonotonicTime now) {
  if (!IsLeading(now)) {
    return;
  }
  leases_.Advance(ports_.state().revision(), now);
  if (leases_.in_force() == announced_in_force_ &&
      leases_.zones() == announced_zones_) {
    return;
  }
  announced_in_force_ = leases_.in_force();
  announced_zones_ = leases_.zones();
  ports_.announce(announced_in_force_, announced_zones_);
}

void LeaderRole::Tick(MonotonicTime now) {
  Update(ports_.raft_status(), now);
  if (!IsLeading(now)) {
    return;
  }
  Advance(now);
  for (DaemonKey& daemon : leases_.TakeRemovals(now)) {
    removals_.push_back(std::move(daemon));
  }
  ProposeRemovals();
  JudgeCrashes(now);
  AdvanceRollouts(now);
  if (repair_) {
    RepairMembers(now);
  } else {
    PromoteLearners();
  }
}

void LeaderRole::ProposeRemovals() {
  for (DaemonKey& daemon : std::exchange(removals_, {})) {
    protocol::RemoveMemberT remove;
    remove.daemon_id = daemon.daemon_id;
    remove.incarnation = daemon.incarnation;
    Submit(
        OneOperation(std::move(remove)),
        [this, alive = alive_, daemon](const Result<OperationResults>& result) {
          if (!*alive || !leases_.active()) {
            return;
          }
          if (!result) {
            // The lease table returns each removal only once, so the leader
            // keeps the removal for the next Tick.
            removals_.push_back(daemon);
            return;
          }
          logging::LogEvent(kDaemonRemoved,
                            {{"daemon", daemon.daemon_id},
                             {"incarnation", daemon.incarnation}});
        });
  }
}

void LeaderRole::JudgeCrashes(MonotonicTime now) {
  const FleetStore& fleet = ports_.state().fleet();
  if (crash_decision_in_flight_ || fleet.crashes.empty()) {
    return;
  }
  const CrashJudge::Judgement judgement = crash_judge_.Judge(
      fleet.crashes,
      [&fleet](const std::string& incarnation) {
        return IsListed(fleet.discovered, incarnation);
      },
      now);
  if (judgement.empty()) {
    return;
  }
  protocol::JudgeCrashesT operation;
  for (const RequestFingerprint request : judgement.quarantine) {
    operation.quarantine.push_back(request.value);
    logging::LogEvent(
        kRequestQuarantined,
        {{"fingerprint", ToText(request)},
         {"ended_backends", fleet.crashes.at(request).ended_backends.size()}});
  }
  for (const RequestFingerprint request : judgement.release) {
    operation.release.push_back(request.value);
    logging::LogEvent(kRequestReleased,
                      {{"fingerprint", ToText(request)},
                       {"reason", "discovery still lists its backends"}});
  }
  crash_decision_in_flight_ = true;
  Submit(OneOperation(std::move(operation)),
         [this, alive = alive_](const Result<OperationResults>&) {
           // After a failure, the next Tick evaluates the crashes again.
           if (*alive) {
             crash_decision_in_flight_ = false;
           }
         });
}

void LeaderRole::AdvanceRollouts(MonotonicTime now) {
  const FleetStore& fleet = ports_.state().fleet();
  if (fleet.rollouts.empty()) {
    return;
  }
  const auto routers = static_cast<std::size_t>(std::ranges::count_if(
      fleet.members, [](const auto& entry) { return entry.second.router; }));
  const rollout::RolloutJudge::Fleet facts{
      .wall_time = ports_.state().wall_time(),
      .routers = routers,
      .progress =
          [this](resources::Revision revision) {
            const RevisionShares parts = leases_.SharesOf(revision);
            return rollout::RouterProgress{.confirmed = parts.confirmed,
                                           .released = parts.released};
          },
      .count_backends =
          [&fleet](const std::string& service, const std::string& version) {
            return fleet.CountDiscovered(service, version);
          }};
  for (const rollout::ServiceStep& due :
       rollout_judge_.TakeSteps(fleet.rollouts, facts, now)) {
    if (!rollout_steps_in_flight_.insert(due.service).second) {
      continue;
    }
    protocol::AdvanceRolloutT operation;
    operation.service = due.service;
    operation.number = due.rollout;
    operation.state = static_cast<std::uint8_t>(due.step.state);
    operation.phase = static_cast<std::uint8_t>(due.step.phase);
    operation.share_permille = due.step.share_permille;
    operation.reason = due.step.reason;
    operation.canary_answers = due.evidence.canary_answers;
    const bool is_rolled_back =
        due.step.state == rollout::RolloutState::kRolledBack;
    logging::LogEvent(is_rolled_back ? kRolloutRolledBack : kRolloutAdvanced,
                      {{"service", due.service},
                       {"rollout", due.rollout},
                       {"state", rollout::NameOf(due.step.state)},
                       {"phase", rollout::NameOf(due.step.phase)},
                       {"share_permille", due.step.share_permille},
                       {"reason", due.step.reason},
                       {"canary_answers", due.evidence.canary_answers},
                       {"canary_bad", due.evidence.canary_bad},
                       {"other_answers", due.evidence.baseline_answers},
                       {"other_bad_share", due.evidence.baseline_bad_share},
                       {"score", due.evidence.score},
                       {"witnesses", due.evidence.witnesses}});
    Submit(OneOperation(std::move(operation)),
           [this, alive = alive_,
            service = due.service](const Result<OperationResults>&) {
             // After a failure, the next Tick proposes the step again.
             if (*alive) {
               rollout_steps_in_flight_.erase(service);
             }
           });
  }
}

void LeaderRole::PromoteLearners() {
  for (const raft::Progress& progress : ports_.raft_status().progress) {
    const bool ready = !progress.voter && progress.active &&
                       progress.caught_up && !progress.regressed;
    // The group refuses a promotion while another change is pending; the next
    // Tick proposes it again.
    if (ready && ports_.promote_learner(progress.member.id)) {
      logging::LogEvent(kMemberPromoted, {{"node", progress.member.id},
                                          {"match", progress.match}});
    }
  }
}

void LeaderRole::RepairMembers(MonotonicTime now) {
  const auto step = repair_->Next(ports_.raft_status(), now);
  if (!step) {
    return;
  }
  // The group refuses a step while another change is pending; the next Tick
  // proposes it again.
  if (const auto* promote = std::get_if<PromoteStep>(&*step)) {
    if (ports_.promote_learner(promote->id)) {
      logging::LogEvent(kMemberPromoted, {{"node", promote->id}});
    }
    return;
  }
  const raft::NodeId id = std::get<RemoveStep>(*step).id;
  if (ports_.remove_member(id)) {
    logging::LogEvent(kMemberRemoved, {{"node", id}});
  }
}

// --- Operations --------------------------------------------------------------

void LeaderRole::Submit(Operations operations,
                        CommandPipeline::Callback callback) {
  pipeline_.Add(std::move(operations), std::move(callback));
  ports_.on_queued();
}

void LeaderRole::FlushOperations(WallTime now) {
  // Proposals of an earlier term must fail before new proposals take their log
  // indexes.
  const raft::Status status = ports_.raft_status();
  const bool same_term = status.term == pipeline_term_;
  if (status.role != raft::Role::kLeader || !same_term) {
    pipeline_term_ = 0;
    pipeline_.FailAll();
    return;
  }
  pipeline_.Flush(now, ports_.propose);
}

void LeaderRole::OnDiscoveryList(const DiscoveryList& list) {
  if (!leases_.active() || discovery_update_in_flight_) {
    return;
  }
  const auto& stored = ports_.state().fleet().discovered;
  protocol::UpdateDiscoveredT operation;
  std::size_t ignored_starts = 0;
  for (const auto& [id, listed] : list) {
    const auto known = stored.find(id);
    session::DiscoveredBackend backend = listed;
    if (known != stored.end()) {
      backend.start = CombineStartTimes(known->second.start, listed.start);
      const bool has_listed_start = listed.start != WallTime{};
      ignored_starts +=
          has_listed_start && backend.start != listed.start ? 1 : 0;
    }
    if (known == stored.end() || known->second != backend) {
      operation.backends.push_back(
          std::make_unique<protocol::DiscoveredBackendRecordT>(
              session::EncodeDiscovered(backend)));
    }
  }
  LogIgnoredStarts(ignored_starts);
  for (const auto& [id, backend] : stored) {
    if (!list.contains(id)) {
      operation.removed.push_back(id);
    }
  }
  if (operation.backends.empty() && operation.removed.empty()) {
    return;
  }
  discovery_update_in_flight_ = true;
  const std::size_t changed = operation.backends.size();
  const std::size_t removed = operation.removed.size();
  Submit(OneOperation(std::move(operation)),
         [this, alive = alive_, changed, removed,
          listed = list.size()](const Result<OperationResults>& result) {
           if (!*alive) {
             return;
           }
           // After a failure, the leader proposes the next discovery list.
           discovery_update_in_flight_ = false;
           if (result) {
             logging::LogEvent(kDiscoveryChanged, {{"changed", changed},
                                                   {"removed", removed},
                                                   {"listed", listed}});
           }
         });
}

void LeaderRole::LogIgnoredStarts(std::size_t backends) {
  if (std::exchange(ignored_start_count_, backends) != backends &&
      backends > 0) {
    logging::LogEvent(kBackendStartIgnored, {{"backends", backends}});
  }
}

void LeaderRole::OnPlatformList(const PlatformList& list) {
  if (!leases_.active() || platform_update_in_flight_) {
    return;
  }
  const FleetStore& fleet = ports_.state().fleet();
  const std::set<std::string> leaving = MergeLeavingNames(
      list, fleet.platform_leaving, [&fleet](const std::string& name) {
        return fleet.members.contains(name) ||
               fleet.Find({resources::Kind::kBackend, name}) != nullptr;
      });
  if (leaving == fleet.platform_leaving) {
    return;
  }
  protocol::SetPlatformLeavingT operation;
  operation.names.assign(leaving.begin(), leaving.end());
  platform_update_in_flight_ = true;
  Submit(OneOperation(std::move(operation)),
         [this, alive = alive_,
          count = leaving.size()](const Result<OperationResults>& result) {
           if (!*alive) {
             return;
           }
           // After a failure, the leader proposes the next platform list.
           platform_update_in_flight_ = false;
           if (result) {
             logging::LogEvent(kPlatformListChanged, {{"leaving", count}});
           }
         });
}

}  // namespace juniperway::control
