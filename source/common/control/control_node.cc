#include "common/control/control_node.h"

#include <glog/logging.h>

#include <algorithm>
#include <asio/post.hpp>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/control/events.h"
#include "common/control/order_subject.h"
#include "common/net/address.h"
#include "common/raft/configuration.h"

namespace juniperway::control {
namespace {

constexpr Duration kTickInterval = milliseconds(50);
// Confirmations that arrive within this time advance the watermarks together,
// because each advance visits every lease.
constexpr Duration kAdvanceDelay = milliseconds(5);
// Longest wait for calls in flight after another member took over leadership.
constexpr Duration kStopDrainTimeout = milliseconds(500);
constexpr Duration kMetricsInterval = seconds(1);
constexpr Duration kListNeverRead = seconds(-1);
constexpr const char* kBackupFileName = "backup.db";

std::string_view RoleName(raft::Role role) {
  switch (role) {
    case raft::Role::kFollower:
      return "follower";
    case raft::Role::kPreCandidate:
      return "pre_candidate";
    case raft::Role::kCandidate:
      return "candidate";
    case raft::Role::kLeader:
      return "leader";
  }
  return "unknown";
}

Result<std::string> ReadFile(const std::filesystem::path& file) {
  std::ifstream stream(file, std::ios::binary);
  std::string content{std::istreambuf_iterator<char>(stream), {}};
  if (!stream) {
    return MakeError(ErrorCode::kIo, file.string(), "cannot be read");
  }
  return content;
}

}  // namespace

ControlNode::~ControlNode() { Close(); }

void ControlNode::Start() {
  logging::LogEvent(
      kControlStarted,
      {{"node", options_.node_id},
       {"http", net::FormatEndpoint(api_server_->local_endpoint())},
       {"peer", net::FormatEndpoint(listener_->local_endpoint())},
       {"revision", state_.revision()}});
  LogEvacuations("store");
  OnRaftChange();
  driver_->Start();
  if (poller_) {
    poller_->Start();
  }
  if (discovery_) {
    discovery_->Start();
  }
  ArmTick();
}

void ControlNode::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  *alive_ = false;
  tick_timer_.cancel();
  advance_timer_.cancel();
  poller_.reset();
  discovery_.reset();
  join_client_.reset();
  leader_client_->Stop();
  api_server_->Close();
  sessions_->Stop();
  observations_->Stop();
  listener_->Close();
  peers_->Stop();
  driver_->Stop();
}

// --- Consensus ---------------------------------------------------------------

void ControlNode::Apply(const raft::Entry& entry) {
  const resources::Revision before = state_.revision();
  AppliedCommand applied;
  if (entry.kind == raft::EntryKind::kCommand) {
    applied = state_.Apply(entry.data);
  }
  role_->OnApplied(entry, std::move(applied), ReadMonotonicClock());
  if (state_.revision() != before) {
    LogEvacuations("log");
    OnStateChanged();
  }
}

void ControlNode::Install(const raft::Snapshot& snapshot) {
  auto state = ControlState::DecodeSnapshot(snapshot.data);
  CHECK(state) << FormatError(state.error());
  state_ = std::move(*state);
  LogEvacuations("snapshot");
  OnStateChanged();
}

void ControlNode::LogEvacuations(std::string_view source) {
  const auto& evacuations = state_.fleet().evacuations;
  const auto log = [&](const std::string& zone, bool evacuated) {
    const AcceptedOrder* order = state_.orders().Find(EvacuationSubject(zone));
    logging::LogEvent(kEvacuationApplied,
                      {{"node", options_.node_id},
                       {"zone", zone},
                       {"evacuated", evacuated},
                       {"change", order == nullptr ? "" : order->change_id},
                       {"order", order == nullptr ? 0 : order->number},
                       {"revision", state_.revision()},
                       {"source", source}});
  };
  for (const auto& [zone, evacuation] : known_evacuations_) {
    if (!evacuations.contains(zone)) {
      log(zone, /*evacuated=*/false);
    }
  }
  for (const auto& [zone, evacuation] : evacuations) {
    const auto known = known_evacuations_.find(zone);
    if (known == known_evacuations_.end() || known->second != evacuation) {
      log(zone, /*evacuated=*/true);
    }
  }
  known_evacuations_ = evacuations;
}

void ControlNode::OnStateChanged() {
  sessions_->OnStateChanged();
  api_server_->OnStateChanged();
}

void ControlNode::OnRaftChange() {
  const raft::Status status = driver_->GetStatus();
  const MonotonicTime now = ReadMonotonicClock();
  const bool leadership_changed = status.leader != known_status_.leader ||
                                  status.role != known_status_.role ||
                                  status.term != known_status_.term;
  if (leadership_changed) {
    LogRoleChange(status);
  }
  UpdateMembers(status);
  known_status_ = status;
  role_->Update(status, now);
  if (leadership_changed) {
    leader_client_->Tick(now);
  }
}

void ControlNode::LogRoleChange(const raft::Status& status) {
  logging::LogEvent(kRoleChanged, {{"node", options_.node_id},
                                   {"role", RoleName(status.role)},
                                   {"term", status.term},
                                   {"leader", status.leader}});
}

void ControlNode::UpdateMembers(const raft::Status& status) {
  if (status.configuration != known_status_.configuration) {
    const auto members = raft::AllMembers(status.configuration);
    peers_->SetPeers(members);
    sessions_->SetControlMembers(members);
  }
  for (const raft::Progress& progress : status.progress) {
    if (progress.regressed &&
        members_with_lost_data_.insert(progress.member.id).second) {
      logging::LogEvent(kMemberLostData, {{"node", progress.member.id},
                                          {"match", progress.match}});
    }
  }
}

raft::NodeId ControlNode::KnownLeader() const {
  if (known_status_.role == raft::Role::kLeader) {
    return driver_->suspended() ? raft::kNoNode : options_.node_id;
  }
  return known_status_.leader == options_.node_id ? raft::kNoNode
                                                  : known_status_.leader;
}

// --- Resource API ------------------------------------------------------------

Result<void> ControlNode::AddMember(const raft::Member& member) {
  const auto members = raft::AllMembers(driver_->GetStatus().configuration);
  if (std::ranges::find(members, member) != members.end()) {
    return {};  // The same request was sent before.
  }
  return driver_->AddLearner(member).map(
      [](const raft::Fsm::Proposal& /*proposal*/) {});
}

Result<void> ControlNode::RemoveMember(raft::NodeId id) {
  if (id != options_.node_id) {
    return driver_->RemoveMember(id).map(
        [](const raft::Fsm::Proposal& /*proposal*/) {});
  }
  // Status 503 makes the forwarding node send the call again, then to the new
  // leader.
  if (auto transferred = TransferLeadership(); !transferred) {
    return transferred;
  }
  return MakeError(ErrorCode::kUnavailable, "id",
                   "is the leader; leadership is transferred before removal");
}

nlohmann::json ControlNode::DescribeNode() const {
  const raft::Status status = driver_->GetStatus();
  return {{"node_id", status.id},
          {"cluster", options_.cluster},
          {"role", RoleName(status.role)},
          {"term", status.term},
          {"leader", status.leader},
          {"commit", status.commit},
          {"applied", status.applied},
          {"last", status.last},
          {"local_revision", state_.revision()},
          {"sessions", sessions_->size()}};
}

Result<std::string> ControlNode::MakeBackup() {
  const std::filesystem::path file = options_.data_folder / kBackupFileName;
  if (auto made = driver_->Backup(file); !made) {
    return tl::unexpected(made.error());
  }
  auto content = ReadFile(file);
  std::error_code ignored;
  std::filesystem::remove(file, ignored);
  return content;
}

// --- Time --------------------------------------------------------------------

void ControlNode::ScheduleFlush() {
  if (flush_scheduled_ || closed_) {
    return;
  }
  flush_scheduled_ = true;
  asio::post(context_, [this, alive = alive_] {
    if (*alive) {
      flush_scheduled_ = false;
      role_->FlushOperations(ReadWallClock());
    }
  });
}

void ControlNode::ScheduleAdvance() {
  if (advance_scheduled_ || closed_) {
    return;
  }
  advance_scheduled_ = true;
  advance_timer_.expires_after(kAdvanceDelay);
  advance_timer_.async_wait([this, alive = alive_](const asio::error_code& e) {
    if (!e && *alive) {
      advance_scheduled_ = false;
      role_->Advance(ReadMonotonicClock());
    }
  });
}

void ControlNode::ArmTick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this, alive = alive_](const asio::error_code& error) {
    if (error || !*alive) {
      return;
    }
    Tick(ReadMonotonicClock());
    if (*alive) {
      ArmTick();
    }
  });
}

void ControlNode::Tick(MonotonicTime now) {
  peers_->Tick(now);
  listener_->Tick(now);
  role_->Tick(now);
  leader_client_->Tick(now);
  sessions_->Tick(now);
  api_server_->Tick(now);
  RequestMembership(now);
  UpdateMetrics(now);
  if (on_stopped_) {
    ContinueStop(now);
  }
}

void ControlNode::UpdateMetrics(MonotonicTime now) {
  if (now < next_metrics_update_) {
    return;
  }
  next_metrics_update_ = now + kMetricsInterval;
  const bool was_read = discovery_list_read_at_ != MonotonicTime::min();
  metrics_.Update(
      driver_->GetStatus(), state_.revision(),
      state_.fleet().route_table.version, sessions_->size(),
      was_read ? Duration(now - discovery_list_read_at_) : kListNeverRead);
}

void ControlNode::RequestMembership(MonotonicTime now) {
  // A suspended node could not take part; it asks once it can write again.
  if (!join_client_ || on_stopped_ || driver_->suspended()) {
    return;
  }
  const bool is_member =
      raft::IsMember(known_status_.configuration, options_.node_id);
  const bool knows_leader = known_status_.leader != raft::kNoNode;
  join_client_->Tick(now, is_member, knows_leader);
}

void ControlNode::SetSeeds(const std::vector<std::string>& seeds) {
  if (join_client_) {
    join_client_->SetSeeds(seeds);
  }
}

void ControlNode::Stop(Duration timeout, std::function<void()> done) {
  stop_deadline_ = ReadMonotonicClock() + timeout;
  on_stopped_ = std::move(done);
  api_server_->StopAccepting();
  // Tick() calls ContinueStop() until the shutdown is complete.
}

Result<void> ControlNode::TransferLeadership() {
  const raft::Status status = driver_->GetStatus();
  const raft::Progress* successor = nullptr;
  for (const raft::Progress& progress : status.progress) {
    const bool eligible = progress.member.id != options_.node_id &&
                          progress.voter && progress.active &&
                          progress.caught_up && !progress.regressed;
    if (eligible &&
        (successor == nullptr || progress.match > successor->match)) {
      successor = &progress;
    }
  }
  if (successor == nullptr) {
    return MakeError(ErrorCode::kUnavailable, "",
                     "no other voter is active and caught up");
  }
  return driver_->TransferLeadership(successor->member.id);
}

void ControlNode::ContinueStop(MonotonicTime now) {
  const bool leads = known_status_.role == raft::Role::kLeader;
  const bool is_only_voter = known_status_.configuration.voters.size() <= 1;
  if (leads && !is_only_voter && now < stop_deadline_) {
    static_cast<void>(TransferLeadership());  // Each tick retries.
    return;
  }
  stop_deadline_ = std::min(stop_deadline_, now + kStopDrainTimeout);
  const bool idle =
      (leader_client_->idle() && api_server_->idle()) || is_only_voter;
  if (!idle && now < stop_deadline_) {
    return;
  }
  const auto done = std::exchange(on_stopped_, nullptr);
  Close();
  done();
}

}  // namespace juniperway::control
