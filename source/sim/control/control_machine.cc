#include "sim/control/control_machine.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "common/raft/configuration.h"
#include "sim/control/sim_daemon.h"

namespace juniperway::sim {
namespace {

constexpr Duration kMinimumSync = microseconds(50);
constexpr Duration kMaximumSync = milliseconds(8);
constexpr Duration kRoleTick = milliseconds(50);
constexpr Duration kAdvanceDelay = milliseconds(5);
constexpr Duration kUpdateDelay = milliseconds(10);
constexpr Duration kFullDiskRetryInterval = milliseconds(100);
constexpr Duration kMaximumWallSkew = seconds(2);
constexpr Duration kWallStart = seconds(1'700'000'000);
// Snapshots are taken at every such index, by all machines alike.
constexpr raft::Index kSnapshotInterval = 40;
constexpr raft::Index kKeptEntries = 10;
constexpr std::size_t kLostTail = 2;

std::uint64_t Mix(std::uint64_t hash, std::uint64_t value) {
  constexpr std::uint64_t kPrime = 0x9E3779B97F4A7C15;
  return (hash ^ value) * kPrime + (hash >> 29U);
}

std::uint64_t HashText(std::string_view text) {
  return std::hash<std::string_view>()(text);
}

std::uint64_t HashResults(std::uint64_t hash, const raft::Entry& entry,
                          const control::AppliedCommand& applied) {
  hash = Mix(Mix(hash, entry.term), HashText(entry.data));
  for (const protocol::OperationResultT& result : applied.results) {
    hash = Mix(hash, result.revision);
    hash = Mix(hash, result.error ? 1 + result.error->code : 0);
    hash = Mix(hash, result.resources.size());
    if (result.claim) {
      hash = Mix(hash, static_cast<std::uint64_t>(result.claim->decision));
    }
  }
  return hash;
}

std::string Name(raft::NodeId id) { return "machine-" + std::to_string(id); }

// A snapshot's data: the hash of all results before it, then the state's.
std::string JoinSnapshot(std::uint64_t hash, const std::string& state) {
  std::string data(sizeof hash, '\0');
  std::memcpy(data.data(), &hash, sizeof hash);
  return data + state;
}

}  // namespace

ControlMachine::ControlMachine(Surroundings& surroundings,
                               const ControlSimOptions& options,
                               Network& network, ControlChecker& checker,
                               raft::NodeId id,
                               const raft::Configuration& initial)
    : Process(surroundings, static_cast<ProcessNumber>(id),
              options.clock_drift),
      options_(options),
      network_(network),
      checker_(checker),
      id_(id),
      disk_(initial),
      wall_skew_(surroundings.Between(-kMaximumWallSkew, kMaximumWallSkew)) {}

void ControlMachine::SetPeers(std::vector<ControlMachine*> machines) {
  machines_ = std::move(machines);
}

// --- Consensus ---------------------------------------------------------------

control::LeaderRole::Ports ControlMachine::MakePorts() {
  control::LeaderRole::Ports ports;
  ports.state = [this]() -> const control::ControlState& { return state_; };
  ports.raft_status = [this] { return fsm_->GetStatus(); };
  ports.has_leader_lease = [this](MonotonicTime now) {
    return options_.Has(ControlDefect::kGrantsWithoutLeaderLease)
               ? fsm_->GetStatus().role == raft::Role::kLeader
               : fsm_->HasLeaderLease(now);
  };
  ports.propose = [this](std::string command) {
    auto proposal = fsm_->Propose(std::move(command), Now());
    After(Duration(0), [this] { AfterInput(); });
    return proposal;
  };
  ports.promote_learner = [this](raft::NodeId learner) {
    After(Duration(0), [this] { AfterInput(); });
    return fsm_->PromoteLearner(learner, Now());
  };
  ports.remove_member = [this](raft::NodeId member) {
    After(Duration(0), [this] { AfterInput(); });
    return fsm_->RemoveMember(member, Now());
  };
  ports.announce = [this](const auto& in_force, const auto& zones) {
    Announce(in_force, zones);
  };
  ports.on_queued = [this] {
    After(Duration(0), [this] { role_->FlushOperations(WallNow()); });
  };
  ports.on_watermark_change = [this] {
    After(kAdvanceDelay, [this] { role_->Advance(Now()); });
  };
  return ports;
}

void ControlMachine::Start() {
  BeginRunning();
  wake_at_ = MonotonicTime::max();
  syncing_.reset();
  suspended_ = false;
  join_schedule_.emplace(Now());
  sessions_.clear();
  update_scheduled_ = false;
  raft::Options raft_options;
  raft_options.id = id_;
  raft_options.heartbeat_interval = options_.raft_heartbeat;
  raft_options.election_timeout = options_.raft_election_timeout;
  raft_options.kept_entries = kKeptEntries;
  raft_options.seed = surroundings_.random();
  applied_ = 0;
  hash_ = 0;
  state_ = control::ControlState();
  fsm_ = std::make_unique<raft::Fsm>(raft_options, disk_.state(), Now());
  if (!disk_.state().snapshot.data.empty()) {
    Restore(disk_.state().snapshot);
  }
  control::LeaderRole::Options role_options;
  role_options.leases.lease = options_.lease;
  role_options.leases.removal_delay = options_.lease / 2;
  role_ = std::make_unique<control::LeaderRole>(role_options, MakePorts());
  if (options_.learners > 0) {
    role_->EnableMemberRepair(
        {.wanted_voters = static_cast<std::size_t>(options_.machines),
         .voter_replacement_delay = options_.voter_replacement_delay,
         .learner_removal_delay = options_.learner_removal_delay});
  }
  AfterInput();
  TickRole();
}

void ControlMachine::Crash() {
  EndRunning();
  if (syncing_ && surroundings_.Chance(0.5)) {
    disk_.Write(*syncing_);
  }
  if (options_.Has(ControlDefect::kLosesSyncedTail)) {
    disk_.LoseTail(kLostTail);
  }
  for (const auto& session : sessions_) {
    const ConnectionPointer& connection = session.first;
    connection->to_daemon->Send([connection = connection] {
      connection->daemon->OnConnectionClosed(connection);
    });
  }
  sessions_.clear();
  role_.reset();
  fsm_.reset();
}

void ControlMachine::AfterInput() {
  role_->Update(fsm_->GetStatus(), Now());
  Pump();
  ScheduleWake();
}

void ControlMachine::ScheduleWake() {
  const MonotonicTime deadline =
      std::max(fsm_->NextDeadline(), Now() + microseconds(1));
  if (deadline >= wake_at_) {
    return;
  }
  wake_at_ = deadline;
  At(deadline, [this, deadline] {
    if (wake_at_ == deadline) {
      wake_at_ = MonotonicTime::max();
      fsm_->Tick(Now());
      AfterInput();
    }
  });
}

void ControlMachine::Pump() {
  while (!syncing_) {
    raft::Ready ready = fsm_->TakeReady();
    if (ready.empty()) {
      return;
    }
    SendConsensus(std::exchange(ready.appends, {}));
    const bool to_sync =
        ready.hard_state || ready.snapshot || !ready.entries.empty();
    if (!to_sync) {
      FinishReady(ready);
      continue;
    }
    syncing_ = std::move(ready);
    Sync();
  }
}

void ControlMachine::Sync() {
  suspended_ = surroundings_.timeline.now() < disk_full_until_;
  if (suspended_) {
    After(kFullDiskRetryInterval, [this] { Sync(); });
    return;
  }
  After(surroundings_.Between(kMinimumSync, kMaximumSync), [this] {
    const raft::Ready synced = std::move(*syncing_);
    syncing_.reset();
    FinishReady(synced);
    AfterInput();
  });
}

void ControlMachine::FillDisk(Duration duration) {
  disk_full_until_ = surroundings_.timeline.now() + duration;
}

void ControlMachine::OnConsensus(const raft::Message& message) {
  if (!suspended_) {
    fsm_->Step(message, Now());
    AfterInput();
  }
}

void ControlMachine::FinishReady(const raft::Ready& ready) {
  disk_.Write(ready);
  SendConsensus(ready.messages);
  if (ready.snapshot) {
    Restore(*ready.snapshot);
  }
  for (const raft::Entry& entry : ready.committed) {
    Apply(entry);
  }
  if (!ready.entries.empty()) {
    fsm_->Persisted(ready.entries.back().index, Now());
  } else if (ready.snapshot) {
    fsm_->Persisted(ready.snapshot->index, Now());
  }
}

void ControlMachine::Apply(const raft::Entry& entry) {
  control::AppliedCommand applied;
  if (entry.kind == raft::EntryKind::kCommand) {
    applied = state_.Apply(entry.data);
  }
  applied_ = entry.index;
  hash_ = HashResults(hash_, entry, applied);
  checker_.ObserveApplied(applied_, hash_);
  fsm_->Applied(applied_);
  role_->OnApplied(entry, std::move(applied), Now());
  if (!update_scheduled_) {
    update_scheduled_ = true;
    After(kUpdateDelay, [this] {
      update_scheduled_ = false;
      SendUpdates();
    });
  }
  CompactAt(entry.index);
}

void ControlMachine::CompactAt(raft::Index index) {
  if (index % kSnapshotInterval != 0) {
    return;
  }
  const std::string state = state_.EncodeSnapshot();
  checker_.ObserveSnapshot(index, HashText(state));
  const auto snapshot = fsm_->MakeSnapshot(index, JoinSnapshot(hash_, state));
  if (snapshot) {
    disk_.Compact(*snapshot, kKeptEntries);
    fsm_->Compacted(*snapshot);
  }
}

void ControlMachine::Restore(const raft::Snapshot& snapshot) {
  std::memcpy(&hash_, snapshot.data.data(), sizeof hash_);
  state_ = control::ControlState::DecodeSnapshot(
               std::string_view(snapshot.data).substr(sizeof hash_))
               .value();
  applied_ = snapshot.index;
  checker_.ObserveApplied(applied_, hash_);
  checker_.ObserveSnapshot(applied_, HashText(state_.EncodeSnapshot()));
  fsm_->Applied(applied_);
}

void ControlMachine::SendConsensus(const std::vector<raft::Message>& messages) {
  for (const raft::Message& message : messages) {
    ControlMachine& peer = *machines_.at(message.to - 1);
    network_.Send(number(), peer,
                  [&peer, message] { peer.OnConsensus(message); });
  }
}

void ControlMachine::TickRole() {
  role_->Tick(Now());
  AfterInput();
  SendUpdates();
  RequestMembership();
  After(kRoleTick, [this] { TickRole(); });
}

// --- Membership --------------------------------------------------------------

void ControlMachine::RequestMembership() {
  if (options_.learners == 0 || suspended_) {
    return;
  }
  const raft::Status status = fsm_->GetStatus();
  const bool is_member = raft::IsMember(status.configuration, id_);
  const bool knows_leader = status.leader != raft::kNoNode;
  if (!join_schedule_->IsRequestDue(Now(), is_member, knows_leader)) {
    return;
  }
  join_schedule_->OnRequestSent(Now());
  ControlMachine& seed = *machines_.at(surroundings_.Pick(machines_.size()));
  network_.Send(number(), seed, [&seed, member = raft::Member{id_, Name(id_)}] {
    seed.PassOnRequest(member);
  });
}

void ControlMachine::PassOnRequest(const raft::Member& member) {
  ControlMachine* leader = KnownLeader();
  if (leader == this) {
    AddMember(member);
  } else if (leader != nullptr) {
    network_.Send(number(), *leader,
                  [leader, member] { leader->AddMember(member); });
  }
}

void ControlMachine::AddMember(const raft::Member& member) {
  if (!raft::IsMember(fsm_->GetStatus().configuration, member.id)) {
    // A refusal is answered by the machine's next request.
    static_cast<void>(fsm_->AddLearner(member, Now()));
    AfterInput();
  }
}

bool ControlMachine::HasMember(raft::NodeId id) const {
  return raft::IsMember(fsm_->GetStatus().configuration, id);
}

WallTime ControlMachine::WallNow() const {
  return WallTime(kWallStart + wall_skew_ +
                  surroundings_.timeline.now().time_since_epoch());
}

ControlMachine* ControlMachine::KnownLeader() {
  const raft::NodeId leader = fsm_->GetStatus().leader;
  return leader == raft::kNoNode ? nullptr : machines_.at(leader - 1);
}

}  // namespace juniperway::sim
